"""Units by base and reservations, in place of slices by demand and estimates. No I/O, no clock.

Over all limiters together, never more of a quota is admitted than one true bucket would admit: see
`quota.reservations`. The price is a counter call for most requests that the base does not cover: they wait
for its reply.
"""

from __future__ import annotations

from functools import partial
from typing import NamedTuple

from thymeflow.decision.admission import AdmissionPolicy
from thymeflow.decision.context import DecisionContext
from thymeflow.decision.events import CounterReplied, RequestReceived
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.open_requests import RETRY_MARGIN_SECONDS
from thymeflow.decision.settings import GatewaySettings, Plan
from thymeflow.quota import counter_encoding
from thymeflow.quota.buckets import INITIAL_FILL_FRACTION, BucketStart, TokenBuckets
from thymeflow.quota.counter_reporter import CounterReporter
from thymeflow.quota.strict import StrictTokenBucket

MAX_RESERVATIONS = 2  # that a request waits for: one of each window that may have units left
MIN_REMAINING_SECONDS = 0.5  # that a request must have left, for the counter to be waited for


class WaitingRequest(NamedTuple):
    """A request that waits for the counter."""

    waiting_since: float
    reservation_count: int  # that it has waited for, this one included
    request: RequestReceived


class ReservedAdmission:
    """Decides after the counter's reply where a request lacks units that a reservation may bring."""

    def __init__(
        self,
        context: DecisionContext,
        admission: AdmissionPolicy,
        buckets: TokenBuckets,
        reporter: CounterReporter,
    ) -> None:
        self._context = context
        self._admission = admission
        self._buckets = buckets
        self._reporter = reporter
        self.waiting: dict[int, list[WaitingRequest]] = {}  # by customer id

    def on_request(self, event: RequestReceived) -> None:
        """Admit or reject a request, or let it wait for the counter's reply."""
        plan = self._admission.plan_of(event)
        if plan is None or not self._waits_for_reservation(event, plan, 0):
            self._decide(event)

    def _decide(self, event: RequestReceived) -> None:
        pending = self._admission.receive(event)
        if pending is not None:
            sample = self._context.rng.random()
            self._admission.admit(pending, pending.bucket.can_admit(event.units, sample))
        # Units are reserved when a request wants them: there is nothing to report.
        self._reporter.reports.discard(counter_encoding.compute_customer_id(event.customer))

    def _waits_for_reservation(self, event: RequestReceived, plan: Plan, reservation_count: int) -> bool:
        customer_id = counter_encoding.compute_customer_id(event.customer)
        bucket = self._buckets.get(customer_id, plan)
        if not isinstance(bucket, StrictTokenBucket) or reservation_count >= MAX_RESERVATIONS:
            return False
        now = self._context.now
        bucket.refresh(now)
        self._buckets.join_set(bucket, event)
        missing = bucket.compute_missing_units(event.units)
        if missing <= 0.0 or event.remaining < MIN_REMAINING_SECONDS or self._reporter.is_unresponsive():
            return False
        waiting = self.waiting.get(customer_id)
        if waiting is None:
            if not self._reserve(bucket, missing):
                return False
            waiting = self.waiting[customer_id] = []
        waiting.append(WaitingRequest(now, reservation_count + 1, event))
        return True

    def _reserve(self, bucket: StrictTokenBucket, missing: float) -> bool:
        if not self._context.settings.information.counter or self._reporter.call_credit < 1.0:
            return False
        call = bucket.build_reservation_call(missing)
        if call is None:
            return False
        self._reporter.start_call(call, bucket.customer_id)
        return True

    def on_counter_replied(self, event: CounterReplied) -> None:
        """Admit the requests that waited for this reply, let them wait once more, or reject them."""
        customer_id = self._reporter.find_customer_id(event.name)
        self._reporter.on_reply(event)
        now = self._context.now
        for waiting in self.waiting.pop(customer_id, []):
            remaining = waiting.request.remaining - (now - waiting.waiting_since)
            request = waiting.request._replace(remaining=remaining)
            plan = self._context.plans.get(request.plan)
            has_time = remaining > RETRY_MARGIN_SECONDS
            waits_again = (
                has_time
                and plan is not None
                and self._waits_for_reservation(request, plan, waiting.reservation_count)
            )
            if not waits_again:
                self._decide(request)

    def on_counter_timeout(self, customer_id: int) -> None:
        """Do nothing: the counter client ends each call, and requests wait for that."""

    def on_client_disconnected(self, request_id: str) -> None:
        """Forget a request that waits for the counter, whose reply is still waited for."""
        self.waiting = {
            customer_id: [waiting for waiting in requests if waiting.request.id != request_id]
            for customer_id, requests in self.waiting.items()
            if requests
        }


def _create_bucket(
    clock_offset: float, settings: GatewaySettings, plan: Plan, customer_id: int, start: BucketStart
) -> StrictTokenBucket:
    index = settings.index
    return StrictTokenBucket(plan, customer_id, *start, index=index, clock_offset=clock_offset)


def create_reserving_gateway(
    settings: GatewaySettings,
    seed: int,
    initial_fill: float = INITIAL_FILL_FRACTION,
    clock_offset: float = 0.0,
) -> Gateway:
    """Create a gateway whose customers' units are bounded over the complete fleet.

    `clock_offset`: seconds from the clock of events to the one that all limiters of the set share.
    """
    create_bucket = partial(_create_bucket, clock_offset)
    return Gateway(settings, seed, initial_fill, ReservedAdmission, create_bucket)
