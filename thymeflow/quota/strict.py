"""A customer's token bucket whose units come from a base slice, and from reservations at the counter."""

from __future__ import annotations

from math import exp, inf

from thymeflow.decision.actions import AddToCounter
from thymeflow.decision.settings import Plan
from thymeflow.quota import counter_encoding, reservations
from thymeflow.quota.buckets import IDLE_BUCKET_TTL_SECONDS
from thymeflow.quota.token_bucket import DEMAND_MEMORY_SECONDS, TokenBucket

RESERVED_WINDOWS = 2.0  # windows for which a counter name is reserved from
LATE_CALL_SECONDS = 1.0  # added to the lifetime of a counter name, for calls that are late


class StrictTokenBucket(TokenBucket):
    """A customer's base slice, in `level`, and its reservations."""

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
        """`clock_offset`: seconds from the clock of events to the one that the set shares."""
        self._index = index
        self._clock_offset = clock_offset
        self._initial_fill = initial_fill
        self._split_inputs = (plan, 1)
        self._current_split = reservations.split_quota(plan.rate, plan.burst, 1)
        self._pool = reservations.ReservationPool(self._current_split, customer_id)
        super().__init__(plan, customer_id, now, started_at, initial_fill)

    def _update_split(self) -> reservations.QuotaSplit:
        plan, member_count = self._split_inputs
        if plan is not self.plan or member_count != self.member_count:  # earlier reservations are of another quota
            self._split_inputs = (self.plan, self.member_count)
            self._current_split = reservations.split_quota(self.plan.rate, self.plan.burst, self.member_count)
            self._pool = reservations.ReservationPool(self._current_split, self.customer_id)
        return self._current_split

    def _compute_base_fraction(self) -> float:
        return 1.0 / self.member_count if self._index in self.members else 0.0

    def _compute_shared_time(self) -> float:
        return self.refreshed_at + self._clock_offset

    @property
    def local_rate_memory(self) -> float:
        """Seconds over which local demand is remembered, whatever the size of the set."""
        return DEMAND_MEMORY_SECONDS

    def join_set(self, first_limiter: int, set_size: int, limiter_count: int, started_at: float) -> None:
        """Take the base slice of a set: filled as since the start; in another set it never grows.

        The bucket of a limiter that is alone begins at a fraction of its burst, as what an earlier incarnation spent
        is not known.
        """
        was_member_of_set = bool(self.members)
        was_inside = self._index in self.members
        previous_count = self.member_count
        self.set_changed = False
        self.member_count = min(max(1, set_size), limiter_count)
        self.members = counter_encoding.compute_rendezvous_order(
            self.customer_id, first_limiter, self.member_count, limiter_count
        )
        split = self._update_split()
        elapsed = max(0.0, self.refreshed_at - started_at)
        if not was_member_of_set:
            # A customer that was dropped requested nothing during the time-to-live; more is not known of it.
            filled = self._initial_fill * split.base_burst if self.member_count == 1 else 0.0
            filled += split.base_rate * min(IDLE_BUCKET_TTL_SECONDS, elapsed)
            self.level = self._compute_base_fraction() * min(split.base_burst, filled)
        elif not was_inside:
            self.level = min(self.level, 0.0)
        else:
            self.level = min(self.level, self.level * previous_count / self.member_count)
        ceiling = min(self.plan.ceiling_burst, self.plan.ceiling_rate * elapsed) / self.member_count
        self.ceiling_level = min(self.ceiling_level, ceiling) if was_member_of_set else ceiling

    def compute_quota_fraction(self, local_rate: float) -> float:  # noqa: ARG002 (overrides)
        """Return the fraction of the burst that a full base slice has."""
        return self._update_split().base_burst * self._compute_base_fraction() / max(1e-9, self.plan.burst)

    def refresh(self, now: float) -> None:
        """Refill for the time that has passed."""
        elapsed = max(0.0, now - self.refreshed_at)
        self.refreshed_at = now
        self.local_rate *= exp(-elapsed / self.local_rate_memory)
        if self.members:
            split = self._update_split()
            fraction = self._compute_base_fraction()
            self.level = min(fraction * split.base_burst, self.level + fraction * split.base_rate * elapsed)
            self.ceiling_level = min(
                self.plan.ceiling_burst / self.member_count,
                self.ceiling_level + self.plan.ceiling_rate / self.member_count * elapsed,
            )

    def compute_missing_units(self, units: float) -> float:
        """Return the units that are not there for a request, which would be admitted with them."""
        active = self._pool.count_active_units(self._compute_shared_time()) if self._update_split().pool_rate else 0.0
        return max(0.0, units - max(0.0, self.level) - active - 1e-9) if self.plan.rate > 0 else 0.0

    def can_admit(self, units: float, sample: float) -> bool:  # noqa: ARG002 (overrides)
        """Return whether base and reservations, hard ceiling and concurrency cap admit a request."""
        plan = self.plan
        max_in_flight = max(1, plan.max_concurrency // self.member_count) if plan.max_concurrency else inf
        if self.attempts_in_flight >= max_in_flight or (plan.ceiling_rate > 0 and units > self.ceiling_level):
            return False
        return self.compute_missing_units(units) <= 0.0

    def charge(self, units: float) -> None:
        """Charge the base first, as it refills without a call; units settled below their charge go back to it."""
        self.charged_units += units
        uncovered = units - max(0.0, min(units, self.level))
        used = (
            self._pool.use(uncovered, self._compute_shared_time())
            if uncovered > 0.0 and self._update_split().pool_rate
            else 0.0
        )
        self.level -= units - used

    def needs_counter_update(self, now: float) -> bool:  # noqa: ARG002 (overrides)
        """Return False: units are reserved when a request wants them."""
        return False

    def build_reservation_call(self, missing: float) -> AddToCounter | None:
        """Return the counter call that may bring what is missing, None where none can."""
        split = self._update_split()
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
        """Take in the total after a reservation."""
        moment = now + self._clock_offset
        self._update_split()
        self._pool.advance(moment)
        for window in (self._pool.window - 1, self._pool.window):
            if name == self._build_window_name(window):
                self._pool.on_reserved(window, amount, total, moment)

    def on_counter_uncertain(self, name: int, amount: float) -> None:
        """Do nothing: what the call may have reserved is used by no limiter, and expires soon."""

    def on_counter_rejected(self, name: int, amount: float) -> None:
        """Do nothing: nothing was reserved."""
