"""Large sets: the counter is called before a request is admitted on old totals. No I/O, no clock.

Where an even slice of a quota is under one request, a limiter of 200 sees a customer once in many seconds.
What the counter replies after a request was forwarded is too old for the next one; received before, it
decides the request. So the call that each such request costs is made first, with the request's units charged
in it in advance, and the request waits for the reply: for the counter's time-out at most, after which it is
decided by the estimate. Requests that the estimate alone rejects, and all for which no call may be made, are
decided at once.
"""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from thymeflow.decision.actions import RejectRequest
from thymeflow.decision.admission import AdmissionPolicy
from thymeflow.decision.context import DecisionContext, TimerKind
from thymeflow.decision.events import CounterReplied, RequestReceived
from thymeflow.decision.open_requests import RETRY_MARGIN_SECONDS
from thymeflow.decision.request_state import RequestState
from thymeflow.decision.types import RejectionReason, Status
from thymeflow.quota.buckets import TokenBuckets
from thymeflow.quota.counter_reporter import CALL_RATE_GROWTH, CounterReporter
from thymeflow.quota.token_bucket import MIN_CALL_INTERVAL_SECONDS, MIN_UNREPORTED_FRACTION, TokenBucket

CURRENT_SECONDS = 1.0  # in which the counter's reply on a customer counts as current
MIN_REMAINING_SECONDS = 0.5  # that a request must have left, for the counter to be waited for
RESERVED_CALL_FRACTION = 0.9  # of a second's calls: reserved for requests, so that other reports wait
# Growth of the rate of calls for each reply until the first late one: the counter's capacity is not known,
# and at 5% a reply a set that starts would reach it after most of a minute.
INITIAL_CALL_RATE_GROWTH = 1.3


class WaitingRequest(NamedTuple):
    """A request that waits for the counter, with its random sample."""

    pending: RequestState
    sample: float


class CounterFirstAdmission:
    """Decides after the counter's reply where slices of the quota decide nothing."""

    def __init__(
        self,
        context: DecisionContext,
        admission: AdmissionPolicy,
        buckets: TokenBuckets,
        reporter: CounterReporter,
    ) -> None:
        del buckets
        self._context = context
        self._admission = admission
        self._reporter = reporter
        reporter.set_call_rate_growth(INITIAL_CALL_RATE_GROWTH)
        self._waiting: dict[int, list[WaitingRequest]] = {}  # by customer id

    def on_request(self, event: RequestReceived) -> None:
        """Admit or reject a request, or let it wait for the counter's reply."""
        pending = self._admission.receive(event)
        if pending is not None:
            sample = self._context.rng.random()
            if not self._waits_for_counter(pending, sample):
                self._admission.admit(pending, pending.bucket.can_admit(event.units, sample))

    def _waits_for_counter(self, pending: RequestState, sample: float) -> bool:
        """Let a request wait for the counter's reply, where it is needed and a call may be made."""
        context = self._context
        reporter = self._reporter
        bucket = pending.bucket
        reporter.reserve_calls(RESERVED_CALL_FRACTION)
        has_time = pending.deadline - context.now >= MIN_REMAINING_SECONDS
        if not bucket.has_small_slices() or not has_time or reporter.is_unresponsive():
            return False
        waiting = self._waiting.get(bucket.customer_id)
        if waiting is not None:  # one reply serves both
            waiting.append(WaitingRequest(pending, sample))
            return True
        if not self._is_call_needed(bucket, pending.request.units, sample):
            return False
        bucket.charge(pending.request.units)  # in advance, so that others know of it from now on
        reporter.report(bucket)
        bucket.charge(-pending.request.units)
        self._waiting[bucket.customer_id] = [WaitingRequest(pending, sample)]
        timeout = context.settings.information.counter_timeout
        context.set_timer(timeout, TimerKind.COUNTER, str(bucket.customer_id))
        return True

    def _is_call_needed(self, bucket: TokenBucket, units: float, sample: float) -> bool:
        now = self._context.now
        if now - bucket.counter_called_at < MIN_CALL_INTERVAL_SECONDS:
            # That call may be in flight, and a total after two of them cannot be attributed.
            return False
        if now - bucket.last_customer_report_at < CURRENT_SECONDS or self._reporter.call_credit < 1.0:
            return False
        is_known = bucket.last_customer_report_at > -inf
        return not is_known or bucket.can_admit(units, sample)

    def on_counter_replied(self, event: CounterReplied) -> None:
        """Decide on the requests that waited for this reply."""
        customer_id = self._reporter.find_customer_id(event.name)
        counter_timeout = self._context.settings.information.counter_timeout
        if event.status is not Status.OK or event.latency > counter_timeout:
            self._reporter.set_call_rate_growth(CALL_RATE_GROWTH)
        self._reporter.on_reply(event)
        self._decide_waiting(customer_id)

    def on_counter_timeout(self, customer_id: int) -> None:
        """Decide by the estimate on the requests of a customer that have waited for long enough."""
        self._decide_waiting(customer_id)

    def _decide_waiting(self, customer_id: int) -> None:
        waiting = self._waiting.pop(customer_id, [])
        for pending, sample in waiting:
            if pending.deadline - self._context.now <= RETRY_MARGIN_SECONDS:
                self._context.emit(RejectRequest(pending.request.id, RejectionReason.LATE))
                continue
            pending.bucket.refresh(self._context.now)
            self._admission.admit(pending, pending.bucket.can_admit(pending.request.units, sample))
        if waiting:
            bucket = waiting[0].pending.bucket
            unreported = abs(bucket.charged_units - bucket.counter_ledger.reported_charges)
            if unreported < MIN_UNREPORTED_FRACTION * bucket.plan.burst:
                self._reporter.reports.pending.pop(customer_id, None)  # all is reported already

    def on_client_disconnected(self, request_id: str) -> None:
        """Forget a request that waits for the counter."""
        remaining = {
            customer_id: [waiting for waiting in requests if waiting.pending.request.id != request_id]
            for customer_id, requests in self._waiting.items()
        }
        self._waiting = {customer_id: requests for customer_id, requests in remaining.items() if requests}
