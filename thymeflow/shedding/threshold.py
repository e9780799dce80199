"""How much the whole fleet sheds, as one figure, and in which order: events in, a level out; no I/O, no clock.

Each member tells how pressed the back end looks to it (mean answer time over the aim, 0 to 1). The fleet goes by the
median of those that are heard, so that neither one that is cut off, and sees nothing but time-outs, nor one that lies
moves it. The level rises while that is over `pressure.PRESSURE_THRESHOLD` and falls while it is under, in small steps.

A level L from 0 to 1 says which requests are shed, the same at every member: requests stand in an order, first by worth
(of the class, times the price of the plan, as the settings tell), then by customer, and those that stand under L go.
Who is beyond its quota is turned away before, by `units`, whatever the level.
"""

from __future__ import annotations

import hashlib
import struct
from bisect import bisect_left
from dataclasses import dataclass
from math import floor, inf, isfinite
from statistics import median_low

from thymeflow.decision.gateway import Gateway
from thymeflow.decision.gateway_state import MAX_FLEET_RETRY_BUDGET
from thymeflow.decision.request_state import RequestState
from thymeflow.decision.settings import GatewaySettings, Plan, RequestClass
from thymeflow.health.pressure import PRESSURE_THRESHOLD

HEARD = 2.0  # s: what a member said counts for so long; four of the words that members say
LEASE = 3.0  # s: a level holds at a member for so long; then each sheds by its own pressure
BEAT = 0.25  # s: between steps
GAIN = 0.1  # of the level, a step, for each aim over the goal. Answers tell of what was let in an aim ago, so
#                  what a step does is seen after 1 to 2 s, 4 to 8 steps: faster than 1 / 8 a step it swings
RISE, FALL = 0.06, 0.02  # most of the level in a step: all but the best are shed within 4 s of an overload, and
#                            the way back takes up to 12 s and so stays behind what cold servers can bear
MOST = 0.95  # some of the best always go through: who refuses all hears no answers and never learns of a way back
TURN = 10.0  # s: after which other customers of the same worth come first


@dataclass(slots=True)
class Said:
    """What a member said last."""

    at: float
    pressure: float


class AdmissionThreshold:
    """The fleet's level, and what it goes by."""

    def __init__(self) -> None:
        self.level, self.pressure = 0.0, 0.0
        self.reports: dict[str, Said] = {}

    def on_report(self, member: str, pressure: object, now: float) -> None:
        """A member tells how pressed the back end looks; ValueError where that is no such figure."""
        if (
            isinstance(pressure, bool)
            or not isinstance(pressure, int | float)
            or not isfinite(pressure)
            or not 0.0 <= pressure <= 1.0
        ):
            raise ValueError(f"pressure is {str(pressure)[:40]!r}, no figure from 0 to 1")
        self.reports[member] = Said(now, float(pressure))

    def on_member_gone(self, member: str) -> None:
        """A member has ended or is not heard."""
        self.reports.pop(member, None)

    def tick(self, now: float) -> float:
        """One step by what is known now; where nobody is heard, the level falls."""
        heard = [said.pressure for said in self.reports.values() if now - said.at <= HEARD]
        self.pressure = median_low(heard) if heard else 0.0
        step = max(-FALL, min(RISE, GAIN * (self.pressure - PRESSURE_THRESHOLD)))
        self.level = max(0.0, min(MOST, self.level + step))
        return self.level


class PriorityOrder:
    """Where requests stand, the same at each member that has the same settings."""

    def __init__(self, settings: GatewaySettings) -> None:
        self._worths = sorted({c.priority_weight * p.price for c in settings.classes for p in settings.plans})

    def place(self, cls: RequestClass, plan: Plan, customer: int, moment: float) -> float:
        """From 0, shed first, to 1. `moment`: on a clock that all members share, s."""
        bands = max(1, len(self._worths))
        band = min(bands - 1, bisect_left(self._worths, cls.priority_weight * plan.price))
        turn = floor(moment / TURN + customer % 1000 / 1000.0)  # not all change places at once
        drawn = hashlib.blake2b(struct.pack("<QQ", customer, turn), digest_size=4).digest()
        return (band + int.from_bytes(drawn, "little") / 2**32) / bands


class LoadShedder:
    """A member's side: sheds by the fleet's level while it has heard of one, else by its own pressure."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway, self._settings, self._order = gateway, gateway.settings, PriorityOrder(gateway.settings)
        self._level, self._until, self._offset = 0.0, -inf, 0.0
        gateway.adjust_shedding = self.shed_fraction

    def on_threshold(self, level: object, now: float, moment: float) -> None:
        """The fleet's level, for a lease from now on; `moment`: now on the clock that all members share.

        ValueError where it is no level.
        """
        if isinstance(level, bool) or not isinstance(level, int | float) or not 0.0 <= level <= 1.0:
            raise ValueError(f"level is {str(level)[:40]!r}, no figure from 0 to 1")
        self._level, self._until, self._offset = float(level), now + LEASE, moment - now

    def limit_retries(self) -> None:
        """Save up fewer further attempts the more is shed: what is let in then is little, and repeats would be much.

        The one that every gateway may save up is part of its share here, or the sum would grow with the fleet.
        """
        whole = self._gateway.fraction_of

        def share(kind: str) -> float:
            if kind != "attempts":
                return whole(kind)
            level = self._level if self._gateway.now < self._until else 0.0
            return max(0.0, whole(kind) * (1.0 - level) - 1.0 / MAX_FLEET_RETRY_BUDGET)

        self._gateway.fraction_of = share

    def shed_fraction(self, job: RequestState, own: float) -> float:
        """How much of what is asked for like this is shed; `own`: by what this member has seen itself."""
        now = self._gateway.now
        if now >= self._until:
            return own
        if self._settings is not self._gateway.settings:  # other worths hold since then
            self._settings, self._order = self._gateway.settings, PriorityOrder(self._gateway.settings)
        place = self._order.place(job.request_class, job.bucket.plan, job.bucket.customer_id, now + self._offset)
        return float(place < self._level)
