"""State that the components of a gateway share: time, settings and bounds in force, and the actions decided so far."""

from __future__ import annotations

import random
from enum import Enum
from math import inf
from typing import NamedTuple

from thymeflow.decision.actions import Action, SetTimer
from thymeflow.decision.fleet_bounds import FleetBounds, FleetResource, LocalBounds
from thymeflow.decision.settings import GatewaySettings


class TimerKind(Enum):
    """Purpose of a timer."""

    TICK = "tick"
    SUBSCRIBE = "subscribe"
    DEADLINE = "deadline"
    COUNTER = "counter"


class Timer(NamedTuple):
    """Purpose of a timer, and the id of the request or customer that it concerns."""

    kind: TimerKind
    subject: str = ""


class DecisionContext:
    """State that all components of one gateway share."""

    def __init__(self, settings: GatewaySettings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0  # Time of the current event in seconds.
        self.started_at = -inf  # Time of the first event in seconds.
        self.actions: list[Action] = []  # Actions decided for the current event so far.
        self.timers: dict[int, Timer] = {}  # Timers by token.
        self.cancelled_timers: list[int] = []  # Tokens of timers that need not fire any more
        self._last_token = 0
        self.fleet_bounds: FleetBounds = LocalBounds()
        self.apply_settings(settings)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Put settings in force, and update the values derived from them."""
        self.settings = settings
        self.limits = settings.limits
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        self.even_fraction = 1.0 / settings.limiter_count  # Each limiter's even fraction of a fleet resource.

    def set_fleet_bounds(self, fleet_bounds: FleetBounds) -> None:
        """Replace the fleet bounds that apply to all later decisions."""
        self.fleet_bounds = fleet_bounds

    def get_resource_fraction(self, resource: str) -> float:
        """Return the fraction of a fleet resource that this limiter may use."""
        return self.fleet_bounds.get_resource_fraction(resource, self.even_fraction)

    def get_resource_limit(self, resource: str) -> float:
        """Return the amount of a fleet resource that this limiter may use, or infinity if the fleet sets no limit."""
        return self.fleet_bounds.get_resource_limit(resource, self.even_fraction)

    def compute_probe_interval(self) -> float:
        """Return the minimum interval between half-open probes of one backend in seconds; 0 without a fleet."""
        return 1.0 / max(1e-9, self.get_resource_limit(FleetResource.HALF_OPEN_PROBES))

    def begin_event(self, now: float) -> list[Action]:
        """Start to handle an event at the time `now`; return the list that collects the actions of the event."""
        self.now = now
        self.actions = []
        return self.actions

    def emit(self, action: Action) -> None:
        """Append an action to the actions of the current event."""
        self.actions.append(action)

    def set_timer(self, delay_seconds: float, kind: TimerKind, subject: str = "") -> int:
        """Request a `TimerFired` event after a delay, record the purpose of the timer, and return its token."""
        self._last_token += 1
        self.timers[self._last_token] = Timer(kind, subject)
        self.actions.append(SetTimer(self._last_token, max(0.0, delay_seconds)))
        return self._last_token

    def cancel_timer(self, token: int) -> None:
        """Forget a timer; its event is ignored if it comes, and an adapter may take the timer back."""
        if self.timers.pop(token, None) is not None:
            self.cancelled_timers.append(token)

    def take_cancelled_timers(self) -> list[int]:
        """Return the tokens of the timers that were cancelled since the last call."""
        tokens = self.cancelled_timers
        self.cancelled_timers = []
        return tokens
