"""Decides whether a request is admitted, and when a client should retry a rejected request."""

from __future__ import annotations

from math import inf, isfinite

from thymeflow.decision.actions import RejectRequest
from thymeflow.decision.balancing import LoadBalancer
from thymeflow.decision.context import DecisionContext
from thymeflow.decision.events import RequestReceived
from thymeflow.decision.fleet_bounds import FleetResource
from thymeflow.decision.open_requests import (
    ATTEMPT_START_MARGIN_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    OpenRequests,
)
from thymeflow.decision.request_state import RequestState
from thymeflow.decision.retries import RetryPolicy
from thymeflow.decision.settings import Plan, RequestClass
from thymeflow.decision.types import RejectionReason
from thymeflow.health import pressure
from thymeflow.health.backend_registry import BackendRegistry
from thymeflow.quota.buckets import ReportQueue, TokenBuckets
from thymeflow.quota.token_bucket import TokenBucket


class AdmissionPolicy:
    """Admits or rejects requests by quota, concurrency and backend pressure."""

    def __init__(
        self,
        context: DecisionContext,
        buckets: TokenBuckets,
        reports: ReportQueue,
        registry: BackendRegistry,
        balancer: LoadBalancer,
        requests: OpenRequests,
        retries: RetryPolicy,
    ) -> None:
        self._context = context
        self._buckets = buckets
        self._reports = reports
        self._registry = registry
        self._balancer = balancer
        self._requests = requests
        self._retries = retries

    def find_plan(self, event: RequestReceived) -> Plan | None:
        """Return the plan of a request, or None if the plan is unknown or the units are invalid."""
        has_valid_units = isfinite(event.units) and event.units > 0
        return self._context.plans.get(event.plan) if has_valid_units else None

    def register_request(self, event: RequestReceived) -> RequestState | None:
        """Count the demand of a request and return its state; reject an invalid request and return None.

        :raises InvalidSettingError: if the remaining time of the request is not finite.
        """
        context = self._context
        plan = self.find_plan(event)
        if plan is None or event.remaining <= ATTEMPT_START_MARGIN_SECONDS:
            context.emit(RejectRequest(event.id, RejectionReason.INVALID))
            return None
        bucket = self._buckets.prepare_request_bucket(event, plan)
        request_class = context.classes.get(event.class_name)
        # A request of an unknown class is treated as not idempotent.
        if request_class is None or not isfinite(event.remaining):
            request_class = RequestClass(event.class_name, event.remaining, event.remaining)
        deadline = context.now + min(event.remaining, self._compute_max_seconds(request_class))
        pending = RequestState(event, request_class, bucket, deadline, context.limits.max_attempts)
        if not event.is_retry:  # The demand of a client's retry was counted with the first request.
            bucket.local_rate += event.units / bucket.local_rate_decay_seconds
            bucket.requested_units += event.units
        return pending

    @staticmethod
    def _compute_max_seconds(request_class: RequestClass) -> float:
        # If a late response has no value, the request ends at its latency objective, because another request
        # can use the capacity better.
        has_late_value = request_class.late_weight > 0.0 or bool(request_class.latency_objective_stretch)
        if has_late_value or request_class.is_streamed:
            return inf
        return request_class.latency_objective

    def admit(self, pending: RequestState, is_within_quota: bool) -> None:
        """Charge a request and start its first attempt, or reject the request."""
        event = pending.request
        bucket = pending.bucket
        reason = self._find_rejection_reason(pending, bucket) if is_within_quota else RejectionReason.QUOTA
        backend = None if reason else self._balancer.select_backend(pending)
        if backend is None:
            self._reports.deferred[bucket.customer_id] = None
            advice = self._compute_retry_after(bucket, event.units)
            rejection = RejectRequest(event.id, reason or RejectionReason.NO_BACKEND, advice)
            self._context.emit(rejection)
            return
        self._reports.pending[bucket.customer_id] = None
        # The units of a client's retry count as requested units only if the retry is admitted.
        bucket.requested_units += event.units if event.is_retry else 0.0
        bucket.charge(event.units)
        # The ceiling counts declared units; the settlement with the actual units does not change it.
        bucket.ceiling_level -= event.units
        self._retries.credit_admitted_request()
        self._requests.open(pending, backend)

    def _compute_retry_after(self, bucket: TokenBucket, units: float) -> float:
        """Return the seconds until the bucket covers the units, or 0 if the settings permit no advice."""
        limits = self._context.limits
        if not limits.retry_after:
            return 0.0
        refill_rate = max(1e-9, bucket.plan.rate * bucket.compute_quota_fraction(bucket.local_rate))
        refill_seconds = (units - bucket.level) / refill_rate
        return min(max(MIN_RETRY_AFTER_SECONDS, refill_seconds), limits.max_retry_after)

    def _find_rejection_reason(self, pending: RequestState, bucket: TokenBucket) -> RejectionReason | None:
        """Return the reason for which a request within its quota is rejected, or None if it is admitted.

        Customers with fuller buckets are rejected less often.
        """
        context = self._context
        registry = self._registry
        full_level = max(
            pending.request.units, bucket.plan.burst * bucket.compute_quota_fraction(bucket.local_rate)
        )
        deficit = 1.0 - min(1.0, max(0.0, bucket.level / full_level)) if bucket.plan.rate else 0.0
        backend_share = registry.ready_capacity * context.get_resource_fraction(FleetResource.CONCURRENCY)
        if registry.in_flight >= pressure.compute_concurrency_limit(
            backend_share, deficit, registry.pressure
        ):
            return RejectionReason.CONCURRENCY
        sample = context.rng.random()
        local_shed_fraction = pressure.compute_shedding_fraction(deficit, registry.pressure)
        shed_fraction = context.fleet_bounds.adjust_shedding(
            pending.request_class, bucket.plan, bucket.customer_id, local_shed_fraction
        )
        return RejectionReason.PRESSURE if sample < shed_fraction else None
