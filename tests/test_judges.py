"""The judges of the stand-ins: what the rules forbid is named, and what they allow is not."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.testing import MemoryReactorClock

from thymeflow.runtime import clock
from thymeflow.testkit.fakes import World
from thymeflow.testkit.fakes.site import KEYED, WINDOW


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> World:
    reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
    monkeypatch.setattr(clock, "now", lambda: 1e9 + reactor.seconds())
    return World(reactor, 3, servers=2)


def sent(world: World, server: int, work: float = 0.01, cut: bool = False) -> None:
    """One pass of the one request, at that server, which then works for about so long; `cut`: its connection ends."""
    world.servers[server].mean = work
    arrival = world.servers[server].take("c", "r", {"c": KEYED}, True, lambda answer: None)
    assert arrival is not None
    if cut:
        arrival.over = clock.now()


def test_a_repeat_after_a_reset_in_its_window_is_lawful_and_one_effect(world: World) -> None:
    sent(world, 0, cut=True)
    world.reactor.advance(1.0)
    sent(world, 1)
    world.reactor.advance(1.0)
    assert world.unlawful() == [] and world.keys.effects == {"r": 1}


def test_two_out_at_once_are_caught(world: World) -> None:
    sent(world, 0, work=1e6)
    world.reactor.advance(0.2)
    sent(world, 1)
    assert world.unlawful() == ["r: out at s0 and s1 at once"]


def test_a_repeat_past_its_window_is_caught_with_its_second_effect(world: World) -> None:
    sent(world, 0)
    world.reactor.advance(WINDOW + 1.0)
    sent(world, 1)
    world.reactor.advance(WINDOW + 1.0)
    faults = world.unlawful()
    assert "r: 2 effects" in faults and any("repeated 3.00 s" in fault for fault in faults)
