"""Fires the ticks of a gateway in virtual time, for the tests of several packages."""

from __future__ import annotations

from thymeflow.decision.actions import Action
from thymeflow.decision.context import TimerKind
from thymeflow.decision.events import TimerFired
from thymeflow.decision.gateway import Gateway


def fire_ticks(gateway: Gateway, start: float, seconds: float) -> list[Action]:
    """Fire the tick timer every 0.1 s for some seconds, and return all actions."""
    actions: list[Action] = []
    for tick in range(int(seconds * 10)):
        tokens = [t for t, (kind, _) in gateway.timers.items() if kind is TimerKind.TICK]
        actions += gateway.handle(start + tick * 0.1, TimerFired(tokens[0]))
    return actions
