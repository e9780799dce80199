"""Drivers of gateways in virtual time, which several packages' tests use."""

from __future__ import annotations

from thymeflow.decision.actions import Action
from thymeflow.decision.context import TimerKind
from thymeflow.decision.events import TimerFired
from thymeflow.decision.gateway import Gateway


def fire_ticks(gateway: Gateway, start: float, seconds: float) -> list[Action]:
    """Fire the upkeep timer for a while and collect what is done."""
    done: list[Action] = []
    for step in range(int(seconds * 10)):
        tokens = [t for t, (kind, _) in gateway.timers.items() if kind is TimerKind.TICK]
        done += gateway.handle(start + step * 0.1, TimerFired(tokens[0]))
    return done
