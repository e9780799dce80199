"""One customer's token bucket at this limiter, with what is known of the customer at the others."""

from __future__ import annotations

from math import exp, inf
from typing import NamedTuple

from thymeflow.decision.settings import Plan
from thymeflow.quota import counter_encoding, probabilistic_admission
from thymeflow.quota.counter_ledger import CounterLedger

DEMAND_MEMORY_SECONDS = 1.5
SMALL_SET_SIZE = 4.0  # limiters; in a larger set each sees fewer requests, and remembers demand for longer
PRIOR_DEMAND_FRACTION = 0.1  # of the rate: least demand assumed of the set, so new customers split evenly
REPORT_TTL_SECONDS = 2.0  # older reports are not used, and slices go back to even
RESERVE_FRACTION = 0.4  # of the burst beyond a mean request: level of the complete set under excess demand
MIN_USAGE_RATIO = 2.0  # of the quota: least usage assumed where only demand is reported and no level
MIN_REMOTE_MEMORY_SECONDS = 5.0  # of reported demand; one second for each limiter of a large set
MAX_REMOTE_MEMORY_SECONDS = 40.0
MIN_UNREPORTED_FRACTION = 0.05  # of the burst: least unreported demand that justifies a counter call
MIN_REPORTED_DEMAND_FRACTION = 0.3  # of the rate: least demand that justifies a counter call
MIN_CALL_INTERVAL_SECONDS = 0.5  # between counter calls for one customer


class PeerReport(NamedTuple):
    """The last gossip report of one peer about a customer."""

    incarnation: int
    requested: float
    charged: float
    received_at: float


class TokenBucket:
    """A customer's slice of its quota, filled by demand, and the estimated level of the complete set."""

    def __init__(self, plan: Plan, customer_id: int, now: float, started_at: float, initial_fill: float) -> None:
        """`started_at` is when the gateway started; `initial_fill` the fraction of the burst assumed there then."""
        self.plan = plan
        self.customer_id = customer_id
        self.refreshed_at = now
        self.last_seen_at = now
        self.local_rate = 0.0  # demand here, units a second
        self.remote_rate = 0.0  # demand at the other limiters
        self.requested_units = 0.0  # since this bucket was created
        self.charged_units = 0.0
        self.mean_cost = 0.0  # units of a mean request
        self.reserve = 0.0
        self.usage_ratio = MIN_USAGE_RATIO  # metered use over the quota
        self.remote_rate_memory = DEMAND_MEMORY_SECONDS
        self.is_aggregator = False
        self.last_remote_report_at = -inf
        self.counter_called_at = -inf
        self.counter_ledger = CounterLedger(now)
        self.predicted_remote_usage = 0.0  # charges of others, deducted before they are reported
        self.last_customer_report_at = -inf  # when something was reported of this customer in particular
        self.attempts_in_flight = 0
        self.peer_reports: dict[int, PeerReport] = {}
        # A restart forgets what was spent: the level is a fraction of the burst, refilled since the start.
        fill = min(1.0, initial_fill + (now - started_at) * plan.rate / max(plan.burst, 1e-9))
        self.global_level = plan.burst * fill
        self.members: list[int] = []
        self.member_count = 1
        self.set_changed = False
        self.level = 0.0
        self.ceiling_level = 0.0
        self.set_notified_at = -inf  # when the complete set was last notified

    def join_set(self, first_limiter: int, set_size: int, limiter_count: int, started_at: float) -> None:
        """Take the slice of a set that begins at a limiter; a slice never grows when its set changes."""
        previous_count = self.member_count if self.members else 0
        self.set_changed = False
        self.member_count = min(max(1, set_size), limiter_count)
        self.members = counter_encoding.compute_rendezvous_order(
            self.customer_id, first_limiter, self.member_count, limiter_count
        )
        # In a set of another size the slice shrinks with the others' and never grows, so no units are created.
        shrinkage = min(1.0, previous_count / self.member_count)
        if previous_count:
            self.level = min(self.level, self.level * shrinkage)
        else:
            self.level = self.global_level / self.member_count
        # A limiter of a large set seldom sees the customer: its next request depends on the last report.
        if not self.is_aggregator:
            self.remote_rate_memory = min(MAX_REMOTE_MEMORY_SECONDS, max(MIN_REMOTE_MEMORY_SECONDS, self.member_count))
        # The hard ceiling is safe alone: an even slice of rate and burst, empty at each start.
        refilled = self.plan.ceiling_rate * (self.refreshed_at - started_at)
        even_slice = min(self.plan.ceiling_burst, refilled) / self.member_count
        self.ceiling_level = min(self.ceiling_level, self.ceiling_level * shrinkage) if previous_count else even_slice

    @property
    def local_rate_memory(self) -> float:
        """Seconds over which local demand is remembered."""
        return DEMAND_MEMORY_SECONDS * max(1.0, self.member_count / SMALL_SET_SIZE)

    def has_recent_remote_reports(self) -> bool:
        """Return whether the last report of any peer or the counter is recent enough to be used."""
        return self.refreshed_at - self.last_remote_report_at <= REPORT_TTL_SECONDS

    def compute_quota_fraction(self, local_rate: float) -> float:
        """Return this limiter's fraction of the quota by demand, the even one while no reports come."""
        prior = PRIOR_DEMAND_FRACTION * self.plan.rate + 1e-9
        even = 1.0 / self.member_count
        # Local demand rises before that of others is reported: each limiter would take the complete bucket.
        by_demand = even
        if self.has_recent_remote_reports():
            by_demand = (local_rate + prior / self.member_count) / (local_rate + self.remote_rate + prior)
        if self.refreshed_at - self.last_customer_report_at <= REPORT_TTL_SECONDS:
            return by_demand
        return 0.5 * (by_demand + even)

    def refresh(self, now: float) -> None:
        """Refill for the time that has passed; a fraction that changes creates no units."""
        elapsed = max(0.0, now - self.refreshed_at)
        rate_before = self.local_rate
        self.refreshed_at = now
        decay = exp(-elapsed / self.local_rate_memory)
        self.local_rate = rate_before * decay
        self.remote_rate = self.remote_rate * exp(-elapsed / self.remote_rate_memory)
        # What others admit beyond the quota is not known yet: they are assumed to share the rest equally.
        self.reserve = RESERVE_FRACTION * max(self.mean_cost, self.plan.burst - self.mean_cost) + 1e-9
        self._refill_global_level(elapsed, rate_before)
        self._refill_slice(elapsed, rate_before, decay)
        self.ceiling_level = min(
            self.plan.ceiling_burst / self.member_count,
            self.ceiling_level + self.plan.ceiling_rate / self.member_count * elapsed,
        )

    def _refill_global_level(self, elapsed: float, rate_before: float) -> None:
        rate = self.plan.rate
        if self.is_aggregator:
            # Charges of others are reported late: until then all that they request counts as charged.
            predicted = min(self.remote_rate * elapsed, max(0.0, self.global_level))
            self.predicted_remote_usage += predicted
            self.global_level = self.global_level + rate * elapsed - predicted
        elif self.has_small_slices():
            refilled = self.global_level + (rate - self.remote_rate) * elapsed
            self.global_level = max(min(self.global_level, 0.0), refilled)
        elif self.remote_rate <= rate:
            self.global_level += (rate - self.remote_rate) * elapsed
        else:
            distance = self.mean_cost + self.reserve - self.global_level
            step = distance * (1.0 - exp(-elapsed * self.remote_rate / self.reserve))
            self.global_level += min(rate * (0.5 + 0.5 * self.compute_quota_fraction(rate_before)) * elapsed, step)
        self.global_level = min(self.plan.burst, self.global_level)

    def _refill_slice(self, elapsed: float, rate_before: float, decay: float) -> None:
        mean_rate = rate_before
        if elapsed > 0:
            mean_rate = rate_before * (1.0 - decay) * self.local_rate_memory / elapsed
        self.level += self.plan.rate * self.compute_quota_fraction(mean_rate) * elapsed
        if self.has_recent_remote_reports():
            target = self.compute_quota_fraction(self.local_rate) * self.global_level
            self.level += (target - self.level) * (1.0 - decay)
        self.level = min(self.level, self.plan.burst * self.compute_quota_fraction(self.local_rate))

    def has_small_slices(self) -> bool:
        """Return whether an even slice is under a mean request, so that slices decide nothing."""
        return self.member_count > SMALL_SET_SIZE and self.plan.burst < self.mean_cost * self.member_count

    def _admits_by_sampling(self, units: float, sample: float) -> bool:
        # What was requested here before is known at once, and the others probably had as much each.
        previous = max(0.0, self.local_rate - units / self.local_rate_memory)
        demand = max(previous + self.remote_rate, previous * self.member_count)
        has_gossip = self.has_recent_remote_reports()
        is_current = self.refreshed_at <= self.last_customer_report_at
        reserve = max(0.0, self.global_level - units) if has_gossip else 0.0
        # Where use beyond the quota has no cost, units are lent that the set does not have.
        is_covered = units <= self.global_level or (has_gossip and not self.plan.over_quota_cost)
        bias = 1.0 if is_current else probabilistic_admission.compute_demand_bias(self.plan.over_quota_cost)
        return is_covered and probabilistic_admission.is_sampled(sample, demand, self.plan.rate, reserve, bias)

    def can_admit(self, units: float, sample: float) -> bool:
        """Return whether bucket, hard ceiling and concurrency cap admit a request; `sample` is from [0, 1)."""
        plan = self.plan
        fraction = self.compute_quota_fraction(self.local_rate)
        max_in_flight = max(1, int(plan.max_concurrency * fraction)) if plan.max_concurrency else inf
        if self.attempts_in_flight >= max_in_flight or (plan.ceiling_rate > 0 and units > self.ceiling_level):
            return False
        if plan.rate <= 0 or units <= self.level:
            return True
        if self.has_small_slices():
            return self._admits_by_sampling(units, sample)
        if not self.has_recent_remote_reports():
            # An even slice that is full admits one request; what it lacks becomes debt.
            return min(units, plan.burst * fraction * 0.999) <= self.level
        # Units of the set are lent by sampling, so that not all limiters lend the same ones at once.
        lent = sample * self.usage_ratio * self.remote_rate / plan.rate * self.reserve
        is_in_debt = self.usage_ratio > 1.0 and self.level <= 0.0  # no level is known but the debt here
        return lent <= self.global_level - units and not is_in_debt

    def needs_counter_update(self, now: float) -> bool:
        """Return whether a counter call would report enough to justify its cost."""
        unreported = self.requested_units - self.counter_ledger.reported_units
        demand = self.local_rate + self.remote_rate
        is_worthwhile = (
            unreported >= MIN_UNREPORTED_FRACTION * self.plan.burst
            or demand >= MIN_REPORTED_DEMAND_FRACTION * self.plan.rate
        )
        return now - self.counter_called_at >= MIN_CALL_INTERVAL_SECONDS and is_worthwhile

    def on_counter_total(self, name: int, amount: float, total: float, now: float) -> None:
        """Take in the total of a counter call that added our `amount`."""
        requested, charged, seconds = self.counter_ledger.read_total(name, total, amount, now, self.customer_id)
        self.remote_rate = (requested + self.remote_rate * DEMAND_MEMORY_SECONDS) / (seconds + DEMAND_MEMORY_SECONDS)
        self.charge_remote(charged - self.predicted_remote_usage)
        self.is_aggregator = True
        self.usage_ratio = 1.0
        self.predicted_remote_usage = 0.0

    def on_counter_rejected(self, name: int, amount: float) -> None:
        """Report the amount again with the next call, as nothing was added."""
        self.counter_ledger.retract(name, amount)

    def on_counter_uncertain(self, name: int, amount: float) -> None:
        """Note that the amount was probably added: the units are ours and not those of others."""
        self.counter_ledger.mark_uncertain(name, amount)

    def charge_remote(self, units: float) -> None:
        """Charge what others used, which is reported late: it makes no debt."""
        self.global_level = min(self.plan.burst, max(min(self.global_level, 0.0), self.global_level - units))

    def charge(self, units: float) -> None:
        """Charge declared units, or settle them with a difference; an overrun becomes debt."""
        self.level -= units
        self.charged_units += units
        self.global_level = min(self.plan.burst, self.global_level - units)
