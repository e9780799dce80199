"""Reports customers to the counter, limits the rate of these calls, and applies the replies to the buckets."""

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

MIN_CALLS_PER_SECOND = 0.5  # Lower bound on one limiter's call rate
MAX_CALLS_PER_SECOND = 120.0  # Upper bound on one limiter's call rate
INITIAL_FLEET_CALLS_PER_SECOND = 200.0  # Initial call rate of all limiters together
CALL_RATE_GROWTH = 1.05  # Factor by which each reply within the timeout raises the call rate
CALL_RATE_DECREASE = 0.8  # Factor by which each late or missing reply lowers the call rate
PAUSE_AFTER_LOST_CALL_SECONDS = 1.0  # After a call without a reply, no request waits for the counter during this time.


class CounterCall(NamedTuple):
    """A counter call that has no reply yet."""

    customer_id: int
    amount: float


NO_CALL = CounterCall(-1, 0.0)


class CounterReporter:
    """Reports use to the counter, and lowers the call rate when replies show that the counter is overloaded."""

    def __init__(self, context: DecisionContext, buckets: TokenBuckets, reports: ReportQueue) -> None:
        self._context = context
        self._buckets = buckets
        self.reports = reports
        self.calls: dict[int, CounterCall] = {}  # Calls without a reply, by counter name
        initial_rate = INITIAL_FLEET_CALLS_PER_SECOND / context.settings.limiter_count
        self.call_rate = max(MIN_CALLS_PER_SECOND, min(MAX_CALLS_PER_SECOND, initial_rate))
        self.call_credit = self.call_rate
        self._call_rate_growth = CALL_RATE_GROWTH
        self._reserved_calls = 0.0  # Calls kept for requests that wait for the counter
        self._unresponsive_until = -inf

    def set_call_rate_growth(self, factor: float) -> None:
        """Set the factor by which each reply within the timeout raises the call rate."""
        self._call_rate_growth = factor

    def reserve_calls(self, fraction: float) -> None:
        """Keep a fraction of one second's calls for requests that wait for the counter."""
        self._reserved_calls = fraction * max(1.0, self.call_rate)

    def is_unresponsive(self) -> bool:
        """Return whether a call recently timed out or could not connect; requests then don't wait for the counter."""
        return self._context.now < self._unresponsive_until

    def find_customer_id(self, counter_name: int) -> int:
        """Return the customer id of the open call for a counter name, or -1 if there is no such call."""
        return self.calls.get(counter_name, NO_CALL).customer_id

    def send_pending(self, elapsed_seconds: float) -> None:
        """Report pending customers, in descending order of unreported units over the plan's rate."""
        rate = min(self.call_rate, self._context.get_resource_limit(FleetResource.COUNTER_CALLS))
        # The maximum credit is at least one call, because with a smaller maximum no call would ever be made.
        self.call_credit = min(max(1.0, rate), self.call_credit + rate * elapsed_seconds)
        now = self._context.now
        buckets = map(self._buckets.by_customer.get, self.reports.pending)
        buckets_to_report = [bucket for bucket in buckets if bucket and bucket.needs_counter_update(now)]
        buckets_to_report.sort(key=_compute_negative_unreported_ratio)
        for bucket in buckets_to_report[: max(0, int(self.call_credit - self._reserved_calls))]:
            self.report(bucket)
            del self.reports.pending[bucket.customer_id]

    def report(self, bucket: TokenBucket) -> None:
        """Add a customer's requested and charged units since the last report to the counter."""
        now = self._context.now
        plan = bucket.plan
        name = counter_encoding.build_counter_name(bucket.customer_id, now, plan.rate, plan.burst)
        amount = bucket.counter_ledger.report(name, bucket.requested_units, bucket.charged_units)
        self.start_call(AddToCounter(name, amount, 2.0 * counter_encoding.WINDOW_SECONDS), bucket.customer_id)
        bucket.counter_called_at = now

    def start_call(self, call: AddToCounter, customer_id: int) -> None:
        """Emit a counter call for a customer, and remember the call until its reply."""
        self.call_credit -= 1.0
        self._context.emit(call)
        self.calls[call.name] = CounterCall(customer_id, call.amount)

    def on_reply(self, event: CounterReplied) -> None:
        """Adapt the call rate to a reply, and update the bucket of the call's customer."""
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

    def _adapt_call_rate(self, is_within_timeout: bool) -> None:
        factor = self._call_rate_growth if is_within_timeout else CALL_RATE_DECREASE
        self.call_rate = min(MAX_CALLS_PER_SECOND, max(MIN_CALLS_PER_SECOND, self.call_rate * factor))


def _compute_negative_unreported_ratio(bucket: TokenBucket) -> float:
    unreported = bucket.counter_ledger.reported_units - bucket.requested_units
    return unreported / max(bucket.plan.rate, 1e-9)
