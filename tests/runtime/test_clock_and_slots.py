"""The order of deadlines and their single timer, and handles of slots that are used again."""

from __future__ import annotations

from tests.network_support import (
    InMemoryNetwork,
    network,
)
from thymeflow.runtime import clock
from thymeflow.runtime.slot_table import SlotTable

__all__ = ["network"]


def test_deadlines_fire_in_order_behind_one_timer_and_not_when_cancelled(network: InMemoryNetwork) -> None:
    fired: list[int] = []
    entries = [network.deadlines.schedule(clock.now() + n, fired.append, n) for n in (5, 1, 3, 2, 4)]
    assert len(network.reactor.getDelayedCalls()) == 1
    network.deadlines.cancel(entries[2])
    network.reactor.pump([1.0] * 6)
    assert fired == [1, 2, 4, 5]
    assert not network.reactor.getDelayedCalls()


def test_handle_finds_nothing_when_its_slot_is_used_again() -> None:
    table: SlotTable[str] = SlotTable(1)
    old = table.add("old")
    assert (table.is_full(), table.remove(old)) == (True, "old")
    new = table.add("new")
    assert (table.get(old), table.remove(old), table.get(new)) == (None, None, "new")
