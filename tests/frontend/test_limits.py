"""Limits of the client connections: a full table, and limits that two processes share."""

from __future__ import annotations

import pytest

from tests.limiter import command
from tests.network_support import InMemoryNetwork, make_limiter, world
from thymeflow.limiter.assembly import MIN_CONNECTIONS

__all__ = ["world"]


def test_client_is_accepted_when_all_connections_are_taken_by_silent_ones(world: InMemoryNetwork) -> None:
    front = make_limiter(world, 64).frontend
    silent_clients = [world.connected(front.buildProtocol(None)) for _ in range(16)]  # all the room there is
    world.reactor.advance(0.04)
    assert front.buildProtocol(None) is None  # they may be about to ask
    world.reactor.advance(0.02)
    ordinary_client = world.connected(front.buildProtocol(None))
    ordinary_client.dataReceived(command(b"PING"))
    assert ordinary_client.transport.value()
    assert silent_clients[0].transport.disconnected
    assert not any(client.transport.disconnected for client in silent_clients[1:])


@pytest.mark.parametrize("open_connections", [0, 50, 150, 1000])
def test_both_processes_stay_within_the_limits_of_one_when_a_predecessor_runs(
    world: InMemoryNetwork, open_connections: int
) -> None:
    limiter = make_limiter(world, 256)

    def budgets() -> tuple[int, ...]:
        front, core = limiter.frontend, limiter.dispatcher
        return (
            front._max_clients,
            limiter.backends._max_connections,
            front.response_memory.max_bytes,
            front._max_unfinished_input_bytes,
            core._requests._memory_limit,
        )

    alone = budgets()
    limiter.share_limits_with_predecessor(open_connections)
    both = budgets()
    assert both[0] + both[1] + open_connections <= sum(alone[:2]) or both[0] + both[1] == MIN_CONNECTIONS
    assert all(2 * part <= whole + 1 for part, whole in zip(both[2:], alone[2:], strict=True))
    limiter.share_limits_with_predecessor(None)
    assert budgets() == alone
