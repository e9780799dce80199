"""One customer's token bucket at this limiter, with the customer's estimated use at the other limiters."""

from __future__ import annotations

from math import exp, inf
from typing import NamedTuple

from thymeflow.decision.settings import Plan
from thymeflow.quota import counter_encoding, probabilistic_admission
from thymeflow.quota.counter_ledger import CounterLedger

DEMAND_MEMORY_SECONDS = 1.5  # Time constant of the decay of measured demand
# In a set of more limiters, each limiter sees fewer requests and remembers demand for longer.
MAX_SMALL_SET_SIZE = 4.0
# Demand that is assumed in any set, as a fraction of the plan's rate. It splits the quota evenly for new customers.
PRIOR_DEMAND_FRACTION = 0.1
REPORT_TTL_SECONDS = 2.0  # Older reports are ignored, and slices return to an even split.
# Units above a mean request that the set's bucket is assumed to hold while demand exceeds the quota, as a fraction of
# the part of the burst above a mean request
ASSUMED_RESERVE_FRACTION = 0.4
# Ratio of use to quota that is assumed, as a minimum, while reports include only the demand and not the set's level
MIN_USAGE_RATIO = 2.0
# Bounds on the time constant of reported demand, which is one second per limiter of the set
MIN_REMOTE_MEMORY_SECONDS = 5.0
MAX_REMOTE_MEMORY_SECONDS = 40.0
# Minimum unreported demand that justifies a counter call, as a fraction of the burst
MIN_UNREPORTED_FRACTION = 0.05
# Minimum demand of the set that justifies a counter call, as a fraction of the plan's rate
MIN_REPORTED_DEMAND_FRACTION = 0.3
MIN_CALL_INTERVAL_SECONDS = 0.5  # Minimum time between counter calls for one customer


class PeerReport(NamedTuple):
    """The last gossip report of one peer about a customer. Amounts are in units since the peer created its bucket."""

    incarnation: int
    requested: float
    charged: float
    received_at: float


class TokenBucket:
    """A customer's slice of its quota, which follows demand, and the estimated level of the complete set."""

    def __init__(self, plan: Plan, customer_id: int, now: float, started_at: float, initial_fill: float) -> None:
        """Create a bucket that has not joined a set yet.

        `started_at` is the gateway's start time, and `initial_fill` the level assumed then, as a fraction of the burst.
        """
        self.plan = plan
        self.customer_id = customer_id
        self.refreshed_at = now
        self.last_seen_at = now
        self.local_rate = 0.0  # Demand at this limiter in units per second
        self.remote_rate = 0.0  # Demand at the other limiters in units per second
        self.requested_units = 0.0  # Units requested since this bucket was created
        self.charged_units = 0.0  # Units charged since this bucket was created
        self.mean_cost = 0.0  # Running mean of the units per request
        # Units above a mean request that the set's bucket is assumed to hold while demand exceeds the quota
        self.assumed_reserve_units = 0.0
        self.usage_ratio = MIN_USAGE_RATIO  # Metered use over the quota
        self.remote_rate_decay_seconds = DEMAND_MEMORY_SECONDS  # Time constant of the remote demand's decay in s
        # True if this limiter sums up remote use itself, from peers' reports or counter totals.
        # False if it takes remote use from another limiter's aggregates.
        self.has_first_hand_reports = False
        self.last_remote_report_at = -inf  # Time of the last report of a peer or the counter, on any customer
        self.counter_called_at = -inf
        self.counter_ledger = CounterLedger(now)
        self.predicted_remote_usage = 0.0  # Units deducted for charges of other limiters before these report them
        self.last_customer_report_at = -inf  # Time of the last report on this customer
        self.attempts_in_flight = 0
        self.peer_reports: dict[int, PeerReport] = {}
        # The use before a restart is not known. The level begins as a fraction of the burst at the gateway's start, and
        # is refilled for the time since then.
        fill = min(1.0, initial_fill + (now - started_at) * plan.rate / max(plan.burst, 1e-9))
        self.set_level = plan.burst * fill  # Estimated level of the complete set's bucket in units
        self.members: list[int] = []
        self.member_count = 1
        self.must_rejoin_set = False  # Whether the fleet's size changed since the bucket joined its set
        self.level = 0.0  # Level of this limiter's slice in units
        self.ceiling_level = 0.0  # Level of this limiter's slice of the hard ceiling in units
        self.set_notified_at = -inf  # Time of the last gossip message to all members of the set

    def join_set(self, first_limiter: int, set_size: int, limiter_count: int, started_at: float) -> None:
        """Join the set of `set_size` limiters from `first_limiter` on, and take a slice of the quota.

        When the set changes, the level of the slice never grows.
        """
        previous_count = self.member_count if self.members else 0
        self.must_rejoin_set = False
        self.member_count = min(max(1, set_size), limiter_count)
        self.members = counter_encoding.compute_rendezvous_order(
            self.customer_id, first_limiter, self.member_count, limiter_count
        )
        # In a larger set every member's slice shrinks. In a smaller set no slice grows, so that no units are created.
        remaining_fraction = min(1.0, previous_count / self.member_count)
        if previous_count:
            self.level = min(self.level, self.level * remaining_fraction)
        else:
            self.level = self.set_level / self.member_count
        # A limiter of a large set seldom sees the customer and decides the customer's next request by an old report,
        # so it has to remember reported demand for longer.
        if not self.has_first_hand_reports:
            self.remote_rate_decay_seconds = min(
                MAX_REMOTE_MEMORY_SECONDS, max(MIN_REMOTE_MEMORY_SECONDS, self.member_count)
            )
        # The hard ceiling must hold without reports of other limiters, so each limiter has an even slice of the
        # ceiling's rate and burst. The slice is empty when the gateway starts.
        refilled = self.plan.ceiling_rate * (self.refreshed_at - started_at)
        even_slice = min(self.plan.ceiling_burst, refilled) / self.member_count
        self.ceiling_level = (
            min(self.ceiling_level, self.ceiling_level * remaining_fraction) if previous_count else even_slice
        )

    @property
    def local_rate_decay_seconds(self) -> float:
        """The time constant of the local demand's decay in seconds."""
        return DEMAND_MEMORY_SECONDS * max(1.0, self.member_count / MAX_SMALL_SET_SIZE)

    def has_recent_remote_reports(self) -> bool:
        """Return whether the last report of a peer or the counter, on any customer, is recent enough to be used."""
        return self.refreshed_at - self.last_remote_report_at <= REPORT_TTL_SECONDS

    def compute_quota_fraction(self, local_rate: float) -> float:
        """Return this limiter's fraction of the quota: by demand, or an even split while no reports arrive.

        While reports arrive only for other customers, the fraction is halfway between the two.
        """
        prior = PRIOR_DEMAND_FRACTION * self.plan.rate + 1e-9
        even = 1.0 / self.member_count
        # Local demand is known before the demand of other limiters is reported. A split by demand without recent
        # reports would give each limiter the complete bucket.
        by_demand = even
        if self.has_recent_remote_reports():
            by_demand = (local_rate + prior / self.member_count) / (local_rate + self.remote_rate + prior)
        if self.refreshed_at - self.last_customer_report_at <= REPORT_TTL_SECONDS:
            return by_demand
        return 0.5 * (by_demand + even)

    def refresh(self, now: float) -> None:
        """Refill the levels and decay the demand for the time since the last refresh.

        A change of this limiter's fraction of the quota creates no units.
        """
        elapsed = max(0.0, now - self.refreshed_at)
        rate_before = self.local_rate
        self.refreshed_at = now
        decay = exp(-elapsed / self.local_rate_decay_seconds)
        self.local_rate = rate_before * decay
        self.remote_rate = self.remote_rate * exp(-elapsed / self.remote_rate_decay_seconds)
        self.assumed_reserve_units = (
            ASSUMED_RESERVE_FRACTION * max(self.mean_cost, self.plan.burst - self.mean_cost) + 1e-9
        )
        self._refill_set_level(elapsed, rate_before)
        self._refill_slice(elapsed, rate_before, decay)
        self.ceiling_level = min(
            self.plan.ceiling_burst / self.member_count,
            self.ceiling_level + self.plan.ceiling_rate / self.member_count * elapsed,
        )

    def _refill_set_level(self, elapsed: float, rate_before: float) -> None:
        rate = self.plan.rate
        if self.has_first_hand_reports:
            # Charges of other limiters are reported late. Until then all their requested units count as charged.
            predicted = min(self.remote_rate * elapsed, max(0.0, self.set_level))
            self.predicted_remote_usage += predicted
            self.set_level = self.set_level + rate * elapsed - predicted
        elif self.has_small_slices():
            refilled = self.set_level + (rate - self.remote_rate) * elapsed
            self.set_level = max(min(self.set_level, 0.0), refilled)
        elif self.remote_rate <= rate:
            self.set_level += (rate - self.remote_rate) * elapsed
        else:
            # The units that other limiters admit beyond the quota are not known yet, and the limiters are assumed to
            # share the remaining units equally. So the set's level approaches a mean request plus the assumed reserve
            # units, and rises at most at this limiter's fraction of the rate plus half of the remaining rate.
            missing_units = self.mean_cost + self.assumed_reserve_units - self.set_level
            change = missing_units * (1.0 - exp(-elapsed * self.remote_rate / self.assumed_reserve_units))
            self.set_level += min(rate * (0.5 + 0.5 * self.compute_quota_fraction(rate_before)) * elapsed, change)
        self.set_level = min(self.plan.burst, self.set_level)

    def _refill_slice(self, elapsed: float, rate_before: float, decay: float) -> None:
        mean_rate = rate_before
        if elapsed > 0:
            mean_rate = rate_before * (1.0 - decay) * self.local_rate_decay_seconds / elapsed
        self.level += self.plan.rate * self.compute_quota_fraction(mean_rate) * elapsed
        if self.has_recent_remote_reports():
            target = self.compute_quota_fraction(self.local_rate) * self.set_level
            self.level += (target - self.level) * (1.0 - decay)
        self.level = min(self.level, self.plan.burst * self.compute_quota_fraction(self.local_rate))

    def has_small_slices(self) -> bool:
        """Return whether an even slice is smaller than a mean request; requests are then admitted by sampling."""
        return self.member_count > MAX_SMALL_SET_SIZE and self.plan.burst < self.mean_cost * self.member_count

    def _is_admitted_by_sampling(self, units: float, sample: float) -> bool:
        # Earlier local demand is known at once, and each other limiter probably had as much.
        previous_rate = max(0.0, self.local_rate - units / self.local_rate_decay_seconds)
        demand = max(previous_rate + self.remote_rate, previous_rate * self.member_count)
        has_reports = self.has_recent_remote_reports()
        is_current = self.refreshed_at <= self.last_customer_report_at
        remaining_units = max(0.0, self.set_level - units) if has_reports else 0.0
        # If use over the quota has no cost, requests are admitted beyond the level of the set.
        is_covered = units <= self.set_level or (has_reports and not self.plan.over_quota_cost)
        bias = 1.0 if is_current else probabilistic_admission.compute_demand_bias(self.plan.over_quota_cost)
        return is_covered and probabilistic_admission.is_admitted(sample, demand, self.plan.rate, remaining_units, bias)

    def can_admit(self, units: float, sample: float) -> bool:
        """Return whether the bucket, the hard ceiling and the concurrency cap all admit a request.

        `sample` is a random number from [0, 1), which decides whether this limiter's slice borrows units of the
        set: a request is then admitted although the slice's level is too low.
        """
        plan = self.plan
        fraction = self.compute_quota_fraction(self.local_rate)
        max_in_flight = max(1, int(plan.max_concurrency * fraction)) if plan.max_concurrency else inf
        if self.attempts_in_flight >= max_in_flight or (plan.ceiling_rate > 0 and units > self.ceiling_level):
            return False
        if plan.rate <= 0 or units <= self.level:
            return True
        if self.has_small_slices():
            return self._is_admitted_by_sampling(units, sample)
        if not self.has_recent_remote_reports():
            # A slice that is at least 99.9% full admits one request of any size. The missing units become debt.
            return min(units, plan.burst * fraction * 0.999) <= self.level
        # The slice borrows units of the set by sampling, because otherwise all limiters would use the same units at
        # once.
        borrowed = sample * self.usage_ratio * self.remote_rate / plan.rate * self.assumed_reserve_units
        # While only metered usage is reported, the local debt is the only sign that the set's bucket is empty.
        is_in_debt = self.usage_ratio > 1.0 and self.level <= 0.0
        return borrowed <= self.set_level - units and not is_in_debt

    def needs_counter_update(self, now: float) -> bool:
        """Return whether a counter call for this customer would report enough units to justify its cost."""
        unreported = self.requested_units - self.counter_ledger.reported_units
        demand = self.local_rate + self.remote_rate
        is_worthwhile = (
            unreported >= MIN_UNREPORTED_FRACTION * self.plan.burst
            or demand >= MIN_REPORTED_DEMAND_FRACTION * self.plan.rate
        )
        return now - self.counter_called_at >= MIN_CALL_INTERVAL_SECONDS and is_worthwhile

    def on_counter_total(self, name: int, amount: float, total: float, now: float) -> None:
        """Update remote demand and the set's level from the total in the reply to a call that added `amount`."""
        requested, charged, seconds = self.counter_ledger.apply_total(name, total, amount, now, self.customer_id)
        self.remote_rate = (requested + self.remote_rate * DEMAND_MEMORY_SECONDS) / (seconds + DEMAND_MEMORY_SECONDS)
        self.charge_remote(charged - self.predicted_remote_usage)
        self.has_first_hand_reports = True
        self.usage_ratio = 1.0
        self.predicted_remote_usage = 0.0

    def on_counter_rejected(self, name: int, amount: float) -> None:
        """Count the amount as unreported, because the counter did not add it; the next call reports it again."""
        self.counter_ledger.retract(name, amount)

    def on_counter_uncertain(self, name: int, amount: float) -> None:
        """Record that the amount was probably added, so that the next total's increase is not taken for remote use."""
        self.counter_ledger.mark_uncertain(name, amount)

    def charge_remote(self, units: float) -> None:
        """Deduct units that other limiters charged; the set's level doesn't fall below 0, as these reports are late."""
        self.set_level = min(self.plan.burst, max(min(self.set_level, 0.0), self.set_level - units))

    def charge(self, units: float) -> None:
        """Charge declared units, or the difference at their settlement; an overrun becomes debt."""
        self.level -= units
        self.charged_units += units
        self.set_level = min(self.plan.burst, self.set_level - units)
