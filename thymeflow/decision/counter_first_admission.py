"""Quota admission for large sets: a request waits for a new counter total if the known total is outdated.

No I/O, no clock.

If an even slice of a quota is smaller than one request, each limiter in a set of 200 receives a request of
the same customer only once in many seconds. If the counter is called after a request was forwarded, its
reply is outdated when the customer's next request arrives. If the counter is called before, its reply can
decide that same request. The gateway therefore makes the counter call of such a request first and includes
the units of the request in it. The request waits for the reply, but no longer than the counter's time-out;
after the time-out, the local estimate decides. A request that the estimate alone rejects, or for which no
call may be made, is decided at once.
"""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from thymeflow.decision.actions import RejectRequest
from thymeflow.decision.admission import AdmissionPolicy
from thymeflow.decision.context import DecisionContext, TimerKind
from thymeflow.decision.events import CounterReplied, RequestReceived
from thymeflow.decision.open_requests import ATTEMPT_START_MARGIN_SECONDS
from thymeflow.decision.request_state import RequestState
from thymeflow.decision.types import RejectionReason, Status
from thymeflow.quota.buckets import TokenBuckets
from thymeflow.quota.counter_reporter import CALL_RATE_GROWTH, CounterReporter
from thymeflow.quota.token_bucket import MIN_CALL_INTERVAL_SECONDS, MIN_UNREPORTED_FRACTION, TokenBucket

REPLY_TTL_SECONDS = 1.0  # Older reports about a customer are outdated.
MIN_REMAINING_SECONDS = 0.5  # A request with less time left does not wait for the counter.
# Fraction of the calls of one second that only waiting requests may use; periodic reports get the remainder.
RESERVED_CALL_FRACTION = 0.9
# Factor by which each counter reply raises the call rate until the first late reply. The counter's capacity
# is not known in advance; with `CALL_RATE_GROWTH` (5% for each reply) from the start, a new set would reach
# it only after most of a minute.
INITIAL_CALL_RATE_GROWTH = 1.3


class WaitingRequest(NamedTuple):
    """A request that waits for the counter."""

    pending: RequestState
    sample: float  # Random number from [0, 1) that the quota decision uses.


class CounterFirstAdmission:
    """Decides a request after the counter's reply if slices of the quota are smaller than a request."""

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
        self._waiting: dict[int, list[WaitingRequest]] = {}  # Waiting requests by customer id.

    def on_request(self, event: RequestReceived) -> None:
        """Admit or reject a request, or let it wait for the counter's reply."""
        pending = self._admission.register_request(event)
        if pending is not None:
            sample = self._context.rng.random()
            if not self._try_wait_for_counter(pending, sample):
                self._admission.admit(pending, pending.bucket.can_admit(event.units, sample))

    def _try_wait_for_counter(self, pending: RequestState, sample: float) -> bool:
        """Let a request wait for the counter if a reply is needed and possible; return whether it waits."""
        context = self._context
        reporter = self._reporter
        bucket = pending.bucket
        reporter.reserve_calls(RESERVED_CALL_FRACTION)
        has_time = pending.deadline - context.now >= MIN_REMAINING_SECONDS
        if not bucket.has_small_slices() or not has_time or reporter.is_unresponsive():
            return False
        waiting = self._waiting.get(bucket.customer_id)
        if waiting is not None:  # The reply to the earlier request's call decides this request too.
            waiting.append(WaitingRequest(pending, sample))
            return True
        if not self._is_call_needed(bucket, pending.request.units, sample):
            return False
        # The report includes the units of this request, so that the other limiters know of them from now on.
        bucket.charge(pending.request.units)
        reporter.report(bucket)
        bucket.charge(-pending.request.units)
        self._waiting[bucket.customer_id] = [WaitingRequest(pending, sample)]
        timeout = context.settings.information.counter_timeout
        context.set_timer(timeout, TimerKind.COUNTER, str(bucket.customer_id))
        return True

    def _is_call_needed(self, bucket: TokenBucket, units: float, sample: float) -> bool:
        now = self._context.now
        if now - bucket.counter_called_at < MIN_CALL_INTERVAL_SECONDS:
            # The last call may still be in flight. A reply contains only the counter's name, so with two
            # calls in flight it could not be attributed to one of them.
            return False
        if now - bucket.last_customer_report_at < REPLY_TTL_SECONDS or self._reporter.call_credit < 1.0:
            return False
        has_customer_report = bucket.last_customer_report_at > -inf
        return not has_customer_report or bucket.can_admit(units, sample)

    def on_counter_replied(self, event: CounterReplied) -> None:
        """Decide the requests that waited for this reply."""
        customer_id = self._reporter.find_customer_id(event.name)
        counter_timeout = self._context.settings.information.counter_timeout
        if event.status is not Status.OK or event.latency > counter_timeout:
            self._reporter.set_call_rate_growth(CALL_RATE_GROWTH)
        self._reporter.on_reply(event)
        self._decide_waiting_requests(customer_id)

    def on_counter_timeout(self, customer_id: int) -> None:
        """Decide a customer's waiting requests by the local estimate, because no reply arrived in time."""
        self._decide_waiting_requests(customer_id)

    def _decide_waiting_requests(self, customer_id: int) -> None:
        waiting = self._waiting.pop(customer_id, [])
        for pending, sample in waiting:
            if pending.deadline - self._context.now <= ATTEMPT_START_MARGIN_SECONDS:
                self._context.emit(RejectRequest(pending.request.id, RejectionReason.LATE))
                continue
            pending.bucket.refresh(self._context.now)
            self._admission.admit(pending, pending.bucket.can_admit(pending.request.units, sample))
        if waiting:
            bucket = waiting[0].pending.bucket
            unreported = abs(bucket.charged_units - bucket.counter_ledger.reported_charges)
            if unreported < MIN_UNREPORTED_FRACTION * bucket.plan.burst:
                # The call before the decision has reported these units, and the remaining unreported units
                # are too few for another call.
                self._reporter.reports.pending.pop(customer_id, None)

    def on_client_disconnected(self, request_id: str) -> None:
        """Remove a request from the requests that wait for the counter."""
        remaining = {
            customer_id: [entry for entry in requests if entry.pending.request.id != request_id]
            for customer_id, requests in self._waiting.items()
        }
        self._waiting = {customer_id: requests for customer_id, requests in remaining.items() if requests}
