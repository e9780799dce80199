"""The event that is being decided on: its time, the settings and bounds in force, and the actions decided."""

from __future__ import annotations

import random
from enum import Enum
from math import inf
from typing import NamedTuple

from thymeflow.decision.actions import Action, SetTimer
from thymeflow.decision.fleet_bounds import FleetBounds, FleetResource, LocalBounds
from thymeflow.decision.settings import GatewaySettings


class TimerKind(Enum):
    """What a timer was set for."""

    TICK = "tick"
    SUBSCRIBE = "subscribe"
    DEADLINE = "deadline"
    COUNTER = "counter"


class Timer(NamedTuple):
    """A timer's purpose, and the request or customer that it concerns."""

    kind: TimerKind
    subject: str = ""


class DecisionContext:
    """What all components of a gateway share."""

    def __init__(self, settings: GatewaySettings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0  # s: time of the event
        self.started_at = -inf  # s: time of the first event
        self.actions: list[Action] = []  # decided on this event so far
        self.timers: dict[int, Timer] = {}  # by token
        self._last_token = 0
        self.fleet_bounds: FleetBounds = LocalBounds()
        self.apply_settings(settings)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Put settings in force, with what derives from them."""
        self.settings = settings
        self.limits = settings.limits
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        self.even_fraction = 1.0 / settings.limiter_count  # of a resource of the fleet, for each limiter

    def set_fleet_bounds(self, fleet_bounds: FleetBounds) -> None:
        """Apply the bounds of a fleet from now on."""
        self.fleet_bounds = fleet_bounds

    def get_resource_fraction(self, resource: str) -> float:
        """Return the fraction of a resource of the fleet that may be used here."""
        return self.fleet_bounds.get_resource_fraction(resource, self.even_fraction)

    def get_resource_limit(self, resource: str) -> float:
        """Return how much of a resource may be used here, infinity where the fleet does not limit it."""
        return self.fleet_bounds.get_resource_limit(resource, self.even_fraction)

    def probe_interval_seconds(self) -> float:
        """Return the seconds between half-open probes of one backend."""
        return 1.0 / max(1e-9, self.get_resource_limit(FleetResource.HALF_OPEN_PROBES))

    def begin_event(self, now: float) -> list[Action]:
        """Set the time of the next event; return the list that collects its actions."""
        self.now = now
        self.actions = []
        return self.actions

    def emit(self, action: Action) -> None:
        """Add an action to those of this event."""
        self.actions.append(action)

    def set_timer(self, delay_seconds: float, kind: TimerKind, subject: str = "") -> None:
        """Request a `TimerFired` after a delay, and record its purpose."""
        self._last_token += 1
        self.timers[self._last_token] = Timer(kind, subject)
        self.actions.append(SetTimer(self._last_token, max(0.0, delay_seconds)))
