"""A quota split into a base and a pool, with reservations at the counter for units of the pool. No I/O, no clock.

Of a quota (rate r, burst b) each limiter of the customer's set has an even slice of a base, a bucket of its own that
needs no message from others. The rest is a pool of rate p whose units lie along time: p of them in a second. A unit
becomes active at its moment and expires w seconds later. Time is divided into windows of that length w, each with a
total of its own at the counter: a limiter that adds k and reads the total t has reserved the units from t - k to t of
that window, whichever limiters reserve in whichever order. What can be used between two moments so lies between the
first less w and the second: over any time T all limiters together use at most

    base + pool  <=  (b - p w) + (r - p) T  +  p w + p T  =  b + r T.

A counter that loses its totals hands out again what is active then, which adds p w at most, each time. One that is
down hands out nothing, and the base is left. The derivations: docs/design/budgets.md.
"""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass
from math import ceil, floor
from typing import NamedTuple

# The base is what is left without a counter. More of the rate would be wasted where traffic is uneven: a limiter of
# three with 70% of it can use 0.4 / 3 + 0.6 = 73% of the quota.
BASE_RATE_FRACTION = 0.4
BASE_BURST_FRACTION = 0.3
PREFETCH_SECONDS = 0.25  # of local demand: reserved beyond what is missing now
ROUND_TRIP_SECONDS = 0.1  # of a call; what it reserves must not expire by then
MAX_WINDOW_SECONDS = 25.0  # a counter name expires after 60 s at most, and two windows are reserved from
STEPS_PER_UNIT = 64.0  # amounts are integral numbers of steps: totals are exact to seven digits
RESERVATION_NAMES = 64  # top byte from which names of reservations begin; names of counter updates lie below


@dataclass(frozen=True, slots=True)
class QuotaSplit:
    """Base and pool of a quota, over the complete set."""

    base_rate: float  # units a second
    base_burst: float
    pool_rate: float  # 0: there is no pool
    window_seconds: float

    @property
    def window_units(self) -> float:
        """Units of the pool in a window."""
        return self.pool_rate * self.window_seconds


def split_quota(rate: float, burst: float, limiter_count: int = 2) -> QuotaSplit:
    """Split the quota of a set; a limiter alone has nothing to share, and needs no counter."""
    without_pool = QuotaSplit(rate, burst, 0.0, 1.0)
    if rate <= 0.0 or limiter_count == 1:
        return without_pool
    pool_rate = (1.0 - BASE_RATE_FRACTION) * rate
    window = min(MAX_WINDOW_SECONDS, (1.0 - BASE_BURST_FRACTION) * burst / pool_rate)
    if window <= 0.0:
        return without_pool
    return QuotaSplit(rate - pool_rate, burst - pool_rate * window, pool_rate, window)


def build_window_name(customer_id: int, rate: float, burst: float, window: int) -> int:
    """Return a window's counter name; limiters that know another quota of the customer use another one."""
    quota = hashlib.blake2b(struct.pack("<dd", rate, burst), digest_size=1).digest()[0] % RESERVATION_NAMES
    return (RESERVATION_NAMES | quota) << 56 | customer_id << 24 | window % 2**24


class Reservation(NamedTuple):
    """What to add to which window's total."""

    window: int
    units: float


class ActiveSpan(NamedTuple):
    """Reserved units, by the moments at which the first and the last of them become active."""

    first: float
    last: float


class ReservationPool:
    """One limiter's reservations for one customer.

    Moments are seconds on a clock that all limiters of the set share, and never go back.
    """

    def __init__(self, split: QuotaSplit, customer_id: int) -> None:
        self.split = split
        self._phase = customer_id % 1000 / 1000.0  # windows of different customers begin at different times
        self.window = -1
        self._window_started_at = 0.0
        self._totals = [0.0, 0.0]  # as last read: of the previous window, and of this one
        self._spans: list[ActiveSpan] = []

    def advance(self, moment: float) -> None:
        """Drop expired reservations, and begin a new total with its window."""
        length = self.split.window_seconds
        turns = moment / length + self._phase
        window = floor(turns)
        if window > self.window:
            self._totals = [self._totals[1] if window == self.window + 1 else 0.0, 0.0]
            self.window = window
            self._window_started_at = moment - (turns - window) * length
        if self._spans and self._spans[0].first < moment - length:
            self._spans = [
                ActiveSpan(max(moment - length, span.first), span.last)
                for span in self._spans
                if span.last > moment - length
            ]

    def count_active_units(self, moment: float) -> float:
        """Return the units that may be used now."""
        self.advance(moment)
        active = (min(moment, span.last) - span.first for span in self._spans if span.first < moment)
        return sum(active) * self.split.pool_rate

    def use(self, units: float, moment: float) -> float:
        """Use active units, the oldest first and at most so many; return how many were used."""
        left = units
        remaining: list[ActiveSpan] = []
        rate = self.split.pool_rate
        self.advance(moment)
        for first, last in self._spans:
            used = max(0.0, min(left, (min(moment, last) - first) * rate))
            left -= used
            if last - first > (used + 1e-9) / rate:
                remaining.append(ActiveSpan(first + used / rate, last))
        self._spans = remaining
        return units - left

    def plan_reservation(self, missing: float, demand: float, moment: float) -> Reservation | None:
        """Return the reservation that may bring what is missing, and some of a demand in units a second.

        Others have reserved at least what was last read, so where that leaves too little no call is made.
        In the previous window, units that have expired are skipped by reserving them too: at worst some are skipped
        that have not expired, and nobody gets these.
        """
        self.advance(moment)
        rate = self.split.pool_rate
        active = rate * (moment - self._window_started_at)
        expired = rate * (moment + ROUND_TRIP_SECONDS - self._window_started_at)  # of the previous window
        available = active - self._totals[1]
        previous = self.split.window_units - max(self._totals[0], expired)
        if max(available, 0.0) + max(previous, 0.0) < missing:
            return None
        if available >= missing or available >= previous:
            prefetched = min(demand * PREFETCH_SECONDS, available)
            return Reservation(self.window, ceil(max(missing, prefetched) * STEPS_PER_UNIT) / STEPS_PER_UNIT)
        skipped = max(0.0, expired - self._totals[0])
        return Reservation(self.window - 1, ceil((skipped + missing) * STEPS_PER_UNIT) / STEPS_PER_UNIT)

    def on_reserved(self, window: int, units: float, total: float, moment: float) -> None:
        """Take in the counter's total after a reservation; in a window that is two back all has expired."""
        self.advance(moment)
        position = window - self.window + 1
        if position not in (0, 1):
            return
        self._totals[position] = total
        rate = self.split.pool_rate
        length = self.split.window_seconds
        started_at = self._window_started_at - (1 - position) * length
        first = max(started_at + (total - units) / rate, moment - length)
        last = min(started_at + total / rate, started_at + length)
        if last > first:
            self._spans = sorted([*self._spans, ActiveSpan(first, last)])
