"""A customer's token bucket whose units come from a base slice and from reservations at the counter."""

from __future__ import annotations

from math import exp, inf

from thymeflow.decision.actions import AddToCounter
from thymeflow.decision.settings import Plan
from thymeflow.quota import counter_encoding, reservations
from thymeflow.quota.buckets import IDLE_BUCKET_TTL_SECONDS
from thymeflow.quota.token_bucket import DEMAND_MEMORY_SECONDS, TokenBucket

RESERVED_WINDOWS = 2.0  # Number of windows during which units are reserved under one counter name
LATE_CALL_SECONDS = 1.0  # Added to the lifetime of a counter name, for calls that arrive late


class StrictTokenBucket(TokenBucket):
    """A customer's base slice and the customer's reservations.

    `level` is the level of the base slice only; reserved units are in `_pool`.
    """

    def __init__(
        self,
        plan: Plan,
        customer_id: int,
        now: float,
        started_at: float,
        initial_fill: float,
        *,
        index: int,
        clock_offset: float,
    ) -> None:
        """Create a bucket that has not joined a set yet.

        `index` is the number of this limiter. Adding `clock_offset` seconds to the time of an event gives the time on
        the clock that all limiters of the set share.
        """
        self._index = index
        self._clock_offset = clock_offset
        self._initial_fill = initial_fill
        self._split_inputs = (plan, 1)
        self._current_split = reservations.split_quota(plan.rate, plan.burst, 1)
        self._pool = reservations.ReservationPool(self._current_split, customer_id)
        super().__init__(plan, customer_id, now, started_at, initial_fill)

    def _get_split(self) -> reservations.QuotaSplit:
        plan, member_count = self._split_inputs
        # Reservations made under another plan or set size belong to another quota, and are dropped.
        if plan is not self.plan or member_count != self.member_count:
            self._split_inputs = (self.plan, self.member_count)
            self._current_split = reservations.split_quota(self.plan.rate, self.plan.burst, self.member_count)
            self._pool = reservations.ReservationPool(self._current_split, self.customer_id)
        return self._current_split

    def _compute_base_fraction(self) -> float:
        return 1.0 / self.member_count if self._index in self.members else 0.0

    def _compute_shared_time(self) -> float:
        return self.refreshed_at + self._clock_offset

    @property
    def local_rate_decay_seconds(self) -> float:
        """The time constant in seconds of the local demand's decay, which does not depend on the set's size here."""
        return DEMAND_MEMORY_SECONDS

    def join_set(self, first_limiter: int, set_size: int, limiter_count: int, started_at: float) -> None:
        """Join a set and take its base slice, with the level that it has refilled to since the gateway started.

        When the set changes, the level of the slice never grows. If the limiter is alone in its set, the level begins
        at a fraction of the burst and otherwise at 0, because the use of an earlier incarnation is not known.
        """
        has_joined_before = bool(self.members)
        was_member = self._index in self.members
        previous_count = self.member_count
        self.must_rejoin_set = False
        self.member_count = min(max(1, set_size), limiter_count)
        self.members = counter_encoding.compute_rendezvous_order(
            self.customer_id, first_limiter, self.member_count, limiter_count
        )
        split = self._get_split()
        elapsed = max(0.0, self.refreshed_at - started_at)
        if not has_joined_before:
            # The customer may have had a bucket that was dropped as idle. A new bucket only shows that the customer
            # requested nothing during the time-to-live of an idle bucket, so the slice refills for that time at most.
            filled = self._initial_fill * split.base_burst if self.member_count == 1 else 0.0
            filled += split.base_rate * min(IDLE_BUCKET_TTL_SECONDS, elapsed)
            self.level = self._compute_base_fraction() * min(split.base_burst, filled)
        elif not was_member:
            self.level = min(self.level, 0.0)
        else:
            self.level = min(self.level, self.level * previous_count / self.member_count)
        ceiling = min(self.plan.ceiling_burst, self.plan.ceiling_rate * elapsed) / self.member_count
        self.ceiling_level = min(self.ceiling_level, ceiling) if has_joined_before else ceiling

    def compute_quota_fraction(self, local_rate: float) -> float:  # noqa: ARG002 (overrides)
        """Return the units of a full base slice as a fraction of the burst."""
        return self._get_split().base_burst * self._compute_base_fraction() / max(1e-9, self.plan.burst)

    def refresh(self, now: float) -> None:
        """Refill the base slice and the ceiling, and decay the local demand, for the time since the last refresh."""
        elapsed = max(0.0, now - self.refreshed_at)
        self.refreshed_at = now
        self.local_rate *= exp(-elapsed / self.local_rate_decay_seconds)
        if self.members:
            split = self._get_split()
            fraction = self._compute_base_fraction()
            self.level = min(fraction * split.base_burst, self.level + fraction * split.base_rate * elapsed)
            self.ceiling_level = min(
                self.plan.ceiling_burst / self.member_count,
                self.ceiling_level + self.plan.ceiling_rate / self.member_count * elapsed,
            )

    def compute_missing_units(self, units: float) -> float:
        """Return the units that the bucket lacks to admit a request of `units`, or 0 if it lacks none."""
        active = self._pool.count_active_units(self._compute_shared_time()) if self._get_split().pool_rate else 0.0
        return max(0.0, units - max(0.0, self.level) - active - 1e-9) if self.plan.rate > 0 else 0.0

    def can_admit(self, units: float, sample: float) -> bool:  # noqa: ARG002 (overrides)
        """Return whether the base and reservations, the hard ceiling and the concurrency cap all admit a request."""
        plan = self.plan
        max_in_flight = max(1, plan.max_concurrency // self.member_count) if plan.max_concurrency else inf
        if self.attempts_in_flight >= max_in_flight or (plan.ceiling_rate > 0 and units > self.ceiling_level):
            return False
        return self.compute_missing_units(units) <= 0.0

    def charge(self, units: float) -> None:
        """Charge units to the base first, because it refills without a counter call, and then to the reservations.

        Negative units, from a settlement below the charge, go back to the base.
        """
        self.charged_units += units
        uncovered = units - max(0.0, min(units, self.level))
        used = (
            self._pool.use(uncovered, self._compute_shared_time())
            if uncovered > 0.0 and self._get_split().pool_rate
            else 0.0
        )
        self.level -= units - used

    def needs_counter_update(self, now: float) -> bool:  # noqa: ARG002 (overrides)
        """Return False, because units are reserved only when a request needs them."""
        return False

    def build_reservation_call(self, missing: float) -> AddToCounter | None:
        """Return the counter call that may reserve the missing units, or None if no call can."""
        split = self._get_split()
        if not split.pool_rate:
            return None
        demand = max(0.0, self.local_rate - split.base_rate * self._compute_base_fraction())
        reservation = self._pool.plan_reservation(missing, demand, self._compute_shared_time())
        if reservation is None:
            return None
        name_lifetime = RESERVED_WINDOWS * split.window_seconds + LATE_CALL_SECONDS
        return AddToCounter(self._build_window_name(reservation.window), reservation.units, name_lifetime)

    def _build_window_name(self, window: int) -> int:
        return reservations.build_window_name(self.customer_id, self.plan.rate, self.plan.burst, window)

    def on_counter_total(self, name: int, amount: float, total: float, now: float) -> None:
        """Add the units that a call reserved, from the total in its reply."""
        moment = now + self._clock_offset
        self._get_split()
        self._pool.advance(moment)
        for window in (self._pool.window - 1, self._pool.window):
            if name == self._build_window_name(window):
                self._pool.on_reserved(window, amount, total, moment)

    def on_counter_uncertain(self, name: int, amount: float) -> None:
        """Do nothing: no limiter uses the units that the call may have reserved, and they expire soon."""

    def on_counter_rejected(self, name: int, amount: float) -> None:
        """Do nothing, because the call reserved no units."""
