"""Counter calls of a gateway: which customers are reported, at which rate, and what the replies change."""

from __future__ import annotations

from math import inf, isfinite
from typing import NamedTuple

from thymeflow.decision.actions import AddToCounter
from thymeflow.decision.context import DecisionContext
from thymeflow.decision.events import CounterReplied
from thymeflow.decision.fleet_bounds import FleetResource
from thymeflow.decision.types import NOT_EXECUTED, Status
from thymeflow.quota import counter_encoding
from thymeflow.quota.buckets import ReportQueue, TokenBuckets
from thymeflow.quota.token_bucket import TokenBucket

MIN_CALLS_PER_SECOND = 0.5  # of one limiter
MAX_CALLS_PER_SECOND = 120.0
INITIAL_FLEET_CALLS_PER_SECOND = 200.0  # with which all limiters together start
CALL_RATE_GROWTH = 1.05  # for each counter reply in time
CALL_RATE_DECREASE = 0.8  # for each counter reply that is late or missing
PAUSE_AFTER_LOST_CALL_SECONDS = 1.0  # in which no request waits for another call


class CounterCall(NamedTuple):
    """A counter call without a reply yet."""

    customer_id: int
    amount: float


NO_CALL = CounterCall(-1, 0.0)


class CounterReporter:
    """Reports use to the counter, and paces its calls by the replies, as an overloaded counter serves nobody."""

    def __init__(self, context: DecisionContext, buckets: TokenBuckets, reports: ReportQueue) -> None:
        self._context = context
        self._buckets = buckets
        self.reports = reports
        self.calls: dict[int, CounterCall] = {}  # without a reply, by counter name
        initial_rate = INITIAL_FLEET_CALLS_PER_SECOND / context.settings.limiter_count
        self.call_rate = max(MIN_CALLS_PER_SECOND, min(MAX_CALLS_PER_SECOND, initial_rate))
        self.call_credit = self.call_rate
        self._call_rate_growth = CALL_RATE_GROWTH
        self._reserved_calls = 0.0  # calls that are left to requests that wait for the counter
        self._unresponsive_until = -inf

    def set_call_rate_growth(self, factor: float) -> None:
        """Set the growth of the call rate for each reply in time."""
        self._call_rate_growth = factor

    def reserve_calls(self, fraction: float) -> None:
        """Keep this fraction of a second's calls for requests that wait for the counter."""
        self._reserved_calls = fraction * max(1.0, self.call_rate)

    def is_unresponsive(self) -> bool:
        """Return whether the last call went without a reply a short while ago, so that no request waits for one."""
        return self._context.now < self._unresponsive_until

    def customer_of(self, counter_name: int) -> int:
        """Return the customer that the open call of a counter name is about, -1 where there is none."""
        return self.calls.get(counter_name, NO_CALL).customer_id

    def send_pending(self, elapsed_seconds: float) -> None:
        """Report pending customers, those with the most unreported demand over their rate first."""
        # One call may always be saved up: with a credit under one call, there would never be another.
        rate = min(self.call_rate, self._context.get_resource_limit(FleetResource.COUNTER_CALLS))
        self.call_credit = min(max(1.0, rate), self.call_credit + rate * elapsed_seconds)
        now = self._context.now
        buckets = map(self._buckets.by_customer.get, self.reports.pending)
        unsent = [bucket for bucket in buckets if bucket and bucket.needs_counter_update(now)]
        unsent.sort(key=_negative_unreported_ratio)
        for bucket in unsent[: max(0, int(self.call_credit - self._reserved_calls))]:
            self.report(bucket)
            del self.reports.pending[bucket.customer_id]

    def report(self, bucket: TokenBucket) -> None:
        """Add to the counter what was requested and charged since the last report."""
        now = self._context.now
        plan = bucket.plan
        name = counter_encoding.counter_name(bucket.customer_id, now, plan.rate, plan.burst)
        amount = bucket.counter_ledger.report(name, bucket.requested_units, bucket.charged_units)
        self.start_call(AddToCounter(name, amount, 2.0 * counter_encoding.WINDOW_SECONDS), bucket.customer_id)
        bucket.counter_called_at = now

    def start_call(self, call: AddToCounter, customer_id: int) -> None:
        """Start a counter call about a customer."""
        self.call_credit -= 1.0
        self._context.emit(call)
        self.calls[call.name] = CounterCall(customer_id, call.amount)

    def on_reply(self, event: CounterReplied) -> None:
        """Adapt the rate of calls, and update the bucket that the call was about."""
        now = self._context.now
        call = self.calls.pop(event.name, NO_CALL)
        is_ok = event.status is Status.OK
        self._adapt_call_rate(is_ok and event.latency <= self._context.settings.information.counter_timeout)
        if is_ok:
            self._unresponsive_until = -inf
        elif event.status in (Status.TIMEOUT, Status.CONNECT_FAILED):
            self._unresponsive_until = now + PAUSE_AFTER_LOST_CALL_SECONDS
        bucket = self._buckets.by_customer.get(call.customer_id)
        if bucket is None:
            return
        if event.status in NOT_EXECUTED:
            bucket.on_counter_rejected(event.name, call.amount)
            self.reports.deferred[call.customer_id] = None
        elif is_ok and isfinite(event.total):
            bucket.refresh(now)
            self._buckets.record_remote_report(bucket)
            bucket.on_counter_total(event.name, call.amount, event.total, now)
        else:
            bucket.on_counter_uncertain(event.name, call.amount)

    def _adapt_call_rate(self, is_in_time: bool) -> None:
        factor = self._call_rate_growth if is_in_time else CALL_RATE_DECREASE
        self.call_rate = min(MAX_CALLS_PER_SECOND, max(MIN_CALLS_PER_SECOND, self.call_rate * factor))


def _negative_unreported_ratio(bucket: TokenBucket) -> float:
    unreported = bucket.counter_ledger.reported_units - bucket.requested_units
    return unreported / max(bucket.plan.rate, 1e-9)
