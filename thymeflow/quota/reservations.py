"""Splits a quota into a base and a pool, and reserves units of the pool at the counter. No I/O, no clock.

A quota has the rate r and the burst b. Each limiter of the customer's set has an even slice of the base, which is a
bucket of its own that needs no messages from other limiters. The remaining quota is the pool, with the rate p. The
pool creates p units per second. Each unit becomes active at a fixed time and expires w seconds later. Time is divided
into windows of the length w, and each window has its own total at the counter. A limiter that adds k units and reads
the total t has reserved the units from t - k to t of that window. The reservations of different limiters never
overlap, in whatever order they are made. Units that are used between the times x and y became active between x - w and
y. So all limiters together use, during any time T, at most

    base + pool  <=  (b - p w) + (r - p) T  +  p w + p T  =  b + r T.

If the counter loses its totals, the units that are active then can be reserved again. Each loss adds at most p w units.
While the counter is down nothing can be reserved, and only the base remains. See docs/design/budgets.md for the
derivations.
"""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass
from math import ceil, floor
from typing import NamedTuple

# The base is the part of the quota that works without a counter. A larger base would waste more of the rate when
# traffic is uneven, because a limiter cannot use the base slices of others. With a fraction of 0.4, one limiter of
# three that gets 70% of the traffic can use 0.4 / 3 + 0.6 = 73% of the quota.
BASE_RATE_FRACTION = 0.4
BASE_BURST_FRACTION = 0.3
# A reservation in the current window covers the local demand of this time in s, if that is more than the missing units.
PREFETCH_SECONDS = 0.25
ROUND_TRIP_SECONDS = 0.1  # Assumed duration of a counter call; units must not expire before its reply
# A counter name expires after 60 s at most, and reservations use the names of two windows at a time.
MAX_WINDOW_SECONDS = 25.0
STEPS_PER_UNIT = 64.0  # Amounts are multiples of 1/64 unit, because totals are exact to seven digits only.
# Lowest top byte in the counter names of reservations. Names from `counter_encoding` have lower top bytes.
MIN_RESERVATION_NAME_BYTE = 64


@dataclass(frozen=True, slots=True)
class QuotaSplit:
    """The base and the pool of a quota, summed over all limiters of the set."""

    base_rate: float  # Units per second
    base_burst: float  # Units
    pool_rate: float  # Units per second; 0 if there is no pool
    window_seconds: float

    @property
    def window_units(self) -> float:
        """The number of units that the pool creates in one window."""
        return self.pool_rate * self.window_seconds


def split_quota(rate: float, burst: float, limiter_count: int = 2) -> QuotaSplit:
    """Return the split of a set's quota; a limiter that is alone in its set gets all of it as base, without a pool."""
    without_pool = QuotaSplit(rate, burst, 0.0, 1.0)
    if rate <= 0.0 or limiter_count == 1:
        return without_pool
    pool_rate = (1.0 - BASE_RATE_FRACTION) * rate
    window = min(MAX_WINDOW_SECONDS, (1.0 - BASE_BURST_FRACTION) * burst / pool_rate)
    if window <= 0.0:
        return without_pool
    return QuotaSplit(rate - pool_rate, burst - pool_rate * window, pool_rate, window)


def build_window_name(customer_id: int, rate: float, burst: float, window: int) -> int:
    """Return a window's counter name; limiters that know different quotas of the customer use different names."""
    quota = hashlib.blake2b(struct.pack("<dd", rate, burst), digest_size=1).digest()[0] % MIN_RESERVATION_NAME_BYTE
    return (MIN_RESERVATION_NAME_BYTE | quota) << 56 | customer_id << 24 | window % 2**24


class Reservation(NamedTuple):
    """Units to add to the total of a window."""

    window: int
    units: float


class ActiveSpan(NamedTuple):
    """Reserved units, given by the times in s at which the first and the last unit become active."""

    first_at: float
    last_at: float


class ReservationPool:
    """One limiter's reservations for one customer.

    Each `moment` is a time in s on a clock that all limiters of the set share; it must never go back.
    """

    def __init__(self, split: QuotaSplit, customer_id: int) -> None:
        self.split = split
        self._phase = customer_id % 1000 / 1000.0  # Windows of different customers begin at different times.
        self.window = -1
        self._window_started_at = 0.0
        self._totals = [0.0, 0.0]  # Last totals that were read for the previous and the current window
        self._spans: list[ActiveSpan] = []

    def advance(self, moment: float) -> None:
        """Drop expired units, and begin with a total of 0 when a new window has begun."""
        length = self.split.window_seconds
        window_position = moment / length + self._phase
        window = floor(window_position)
        if window > self.window:
            self._totals = [self._totals[1] if window == self.window + 1 else 0.0, 0.0]
            self.window = window
            self._window_started_at = moment - (window_position - window) * length
        if self._spans and self._spans[0].first_at < moment - length:
            self._spans = [
                ActiveSpan(max(moment - length, span.first_at), span.last_at)
                for span in self._spans
                if span.last_at > moment - length
            ]

    def count_active_units(self, moment: float) -> float:
        """Return the number of reserved units that are active at a moment."""
        self.advance(moment)
        active_seconds = (min(moment, span.last_at) - span.first_at for span in self._spans if span.first_at < moment)
        return sum(active_seconds) * self.split.pool_rate

    def use(self, units: float, moment: float) -> float:
        """Use up to `units` active units, the oldest first; return the number of used units."""
        unused_units = units
        remaining: list[ActiveSpan] = []
        rate = self.split.pool_rate
        self.advance(moment)
        for first_at, last_at in self._spans:
            used = max(0.0, min(unused_units, (min(moment, last_at) - first_at) * rate))
            unused_units -= used
            if last_at - first_at > (used + 1e-9) / rate:
                remaining.append(ActiveSpan(first_at + used / rate, last_at))
        self._spans = remaining
        return units - unused_units

    def plan_reservation(self, missing: float, demand: float, moment: float) -> Reservation | None:
        """Return a reservation for missing and prefetched units, or None if too few units are available.

        `missing` is in units, `demand` in units per second. All limiters together have reserved at least the totals
        that were last read, so no call is made if these totals leave too few units. A total counts from the oldest unit
        of its window on, so to get unexpired units of the previous window, the reservation must include the expired
        ones. At worst it includes some units that have not expired, and no limiter uses these.
        """
        self.advance(moment)
        rate = self.split.pool_rate
        active_in_current = rate * (moment - self._window_started_at)
        # Units of the previous window that will have expired when the reply arrives. A unit expires exactly one window
        # after it became active, so their number follows from the age of the current window.
        expired_in_previous = rate * (moment + ROUND_TRIP_SECONDS - self._window_started_at)
        available_in_current = active_in_current - self._totals[1]
        available_in_previous = self.split.window_units - max(self._totals[0], expired_in_previous)
        if max(available_in_current, 0.0) + max(available_in_previous, 0.0) < missing:
            return None
        if available_in_current >= missing or available_in_current >= available_in_previous:
            prefetched = min(demand * PREFETCH_SECONDS, available_in_current)
            return Reservation(self.window, ceil(max(missing, prefetched) * STEPS_PER_UNIT) / STEPS_PER_UNIT)
        skipped = max(0.0, expired_in_previous - self._totals[0])
        return Reservation(self.window - 1, ceil((skipped + missing) * STEPS_PER_UNIT) / STEPS_PER_UNIT)

    def on_reserved(self, window: int, units: float, total: float, moment: float) -> None:
        """Record a window's total and the reserved units.

        Replies for windows before the previous one are ignored, because their units have expired.
        """
        self.advance(moment)
        total_index = window - self.window + 1
        if total_index not in (0, 1):
            return
        self._totals[total_index] = total
        rate = self.split.pool_rate
        length = self.split.window_seconds
        started_at = self._window_started_at - (1 - total_index) * length
        first_at = max(started_at + (total - units) / rate, moment - length)
        last_at = min(started_at + total / rate, started_at + length)
        if last_at > first_at:
            self._spans = sorted([*self._spans, ActiveSpan(first_at, last_at)])
