"""Quota admission by guaranteed base slices and by reservations at the counter. No I/O, no clock.

Unlike the other strategies, this one does not estimate the demand at the other limiters.
All limiters together never admit more units of a quota than a single token bucket would admit (see
`quota.reservations`). The cost is a counter call for most requests that the base slice does not cover, and
these requests wait for the reply.
"""

from __future__ import annotations

from functools import partial
from typing import NamedTuple

from thymeflow.decision.admission import AdmissionPolicy
from thymeflow.decision.context import DecisionContext
from thymeflow.decision.events import CounterReplied, RequestReceived
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.open_requests import ATTEMPT_START_MARGIN_SECONDS
from thymeflow.decision.settings import GatewaySettings, Plan
from thymeflow.quota import counter_encoding
from thymeflow.quota.buckets import INITIAL_FILL_FRACTION, BucketStart, TokenBuckets
from thymeflow.quota.counter_reporter import CounterReporter
from thymeflow.quota.strict import StrictTokenBucket

# A request waits for at most one reservation in each of the two windows that may have units left.
MAX_RESERVATIONS = 2
MIN_REMAINING_SECONDS = 0.5  # A request with less time left does not wait for the counter.


class RequestAwaitingReservation(NamedTuple):
    """A request that waits for a reservation at the counter."""

    wait_started_at: float
    reservation_count: int  # Reservations that the request has waited for, including the current one.
    request: RequestReceived


class ReservedAdmission:
    """Decides a request after the counter's reply if a reservation may provide its missing units."""

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
        self.waiting: dict[int, list[RequestAwaitingReservation]] = {}  # Waiting requests by customer id.

    def on_request(self, event: RequestReceived) -> None:
        """Admit or reject a request, or let it wait for the counter's reply."""
        plan = self._admission.find_plan(event)
        if plan is None or not self._try_wait_for_reservation(event, plan, 0):
            self._decide_request(event)

    def _decide_request(self, event: RequestReceived) -> None:
        pending = self._admission.register_request(event)
        if pending is not None:
            sample = self._context.rng.random()
            self._admission.admit(pending, pending.bucket.can_admit(event.units, sample))
        # The counter learns of usage by reservations alone, so the report that admission queued is discarded.
        self._reporter.reports.discard(counter_encoding.compute_customer_id(event.customer))

    def _try_wait_for_reservation(self, event: RequestReceived, plan: Plan, reservation_count: int) -> bool:
        customer_id = counter_encoding.compute_customer_id(event.customer)
        bucket = self._buckets.get(customer_id, plan)
        if not isinstance(bucket, StrictTokenBucket) or reservation_count >= MAX_RESERVATIONS:
            return False
        now = self._context.now
        bucket.refresh(now)
        self._buckets.join_set(bucket, event)
        missing_units = bucket.compute_missing_units(event.units)
        if (
            missing_units <= 0.0
            or event.remaining < MIN_REMAINING_SECONDS
            or self._reporter.is_unresponsive()
        ):
            return False
        queue = self.waiting.get(customer_id)
        if queue is None:
            if not self._start_reservation(bucket, missing_units):
                return False
            queue = self.waiting[customer_id] = []
        queue.append(RequestAwaitingReservation(now, reservation_count + 1, event))
        return True

    def _start_reservation(self, bucket: StrictTokenBucket, missing_units: float) -> bool:
        if not self._context.settings.information.counter or self._reporter.call_credit < 1.0:
            return False
        call = bucket.build_reservation_call(missing_units)
        if call is None:
            return False
        self._reporter.start_call(call, bucket.customer_id)
        return True

    def on_counter_replied(self, event: CounterReplied) -> None:
        """Decide the requests that waited for this reply, or let them wait for another reservation."""
        customer_id = self._reporter.find_customer_id(event.name)
        self._reporter.on_reply(event)
        now = self._context.now
        for entry in self.waiting.pop(customer_id, []):
            remaining = entry.request.remaining - (now - entry.wait_started_at)
            request = entry.request._replace(remaining=remaining)
            plan = self._context.plans.get(request.plan)
            has_time = remaining > ATTEMPT_START_MARGIN_SECONDS
            waits_again = (
                has_time
                and plan is not None
                and self._try_wait_for_reservation(request, plan, entry.reservation_count)
            )
            if not waits_again:
                self._decide_request(request)

    def on_counter_timeout(self, customer_id: int) -> None:
        """Do nothing, because requests wait for the result that the counter client reports for every call."""

    def on_client_disconnected(self, request_id: str) -> None:
        """Remove a request from the waiting requests; the counter call in flight continues."""
        self.waiting = {
            customer_id: [entry for entry in requests if entry.request.id != request_id]
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
    """Create a gateway that bounds the units of each customer over all limiters together.

    :param clock_offset: seconds to add to the time of events to get the time that all limiters share.
    """
    create_bucket = partial(_create_bucket, clock_offset)
    return Gateway(settings, seed, initial_fill, ReservedAdmission, create_bucket)
