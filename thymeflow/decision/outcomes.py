"""Applies the results of attempts to backend statistics, pressure and the units of customers."""

from __future__ import annotations

from thymeflow.decision.context import DecisionContext
from thymeflow.decision.events import AttemptEnded
from thymeflow.decision.request_state import AttemptRecord, RequestState
from thymeflow.decision.types import Status
from thymeflow.health.backend_registry import BackendRegistry
from thymeflow.health.backend_stats import ALL_CLASSES, BackendStats
from thymeflow.health.pressure import PRESSURE_THRESHOLD
from thymeflow.quota.buckets import ReportQueue, TokenBuckets
from thymeflow.quota.token_bucket import MIN_USAGE_RATIO, REPORT_TTL_SECONDS, TokenBucket

# Minimum charge of a request whose customer is over its quota while backends are under pressure, as a fraction of
# its declared units (HIP-185).
MIN_CHARGE_FRACTION = 0.8


class AttemptOutcomes:
    """Records the results of attempts, and settles the units of requests."""

    def __init__(
        self, context: DecisionContext, registry: BackendRegistry, buckets: TokenBuckets, reports: ReportQueue
    ) -> None:
        self._context = context
        self._registry = registry
        self._buckets = buckets
        self._reports = reports

    def record(self, pending: RequestState, attempt: AttemptRecord, event: AttemptEnded) -> None:
        """Record the result of an attempt that has ended."""
        now = self._context.now
        backend = attempt.backend
        class_name = pending.request_class.name
        status = event.status
        latency_ratio = event.latency / max(pending.request_class.latency_objective, 1e-3)
        if status in (Status.OK, Status.ERROR, Status.FULL):
            backend.last_response_at.update({ALL_CLASSES: now, class_name: now})
        if status is Status.OK:
            if event.request_answered and event.actual_units:
                self._settle(pending, event.actual_units)
            backend.failures.pop(ALL_CLASSES, None)
            backend.failures.pop(class_name, None)
            self._registry.record_latency(backend, latency_ratio)
        else:
            _record_failure(backend, class_name, status, attempt.sent_at, now)
        if status in (Status.OK, Status.FULL, Status.TIMEOUT):
            observed_ratio = latency_ratio if status is Status.OK else max(latency_ratio, 1.0)
            self._registry.update_pressure_by_latency(observed_ratio, now)
        if event.quota_usage is not None:
            self._record_usage(pending.bucket, event.quota_usage)

    def record_missed_deadline(self, pending: RequestState) -> None:
        """Record a time-out for each attempt that is still in flight at the deadline."""
        now = self._context.now
        for number in pending.find_attempts_in_flight():
            backend, sent_at = pending.attempts[number]
            backend.record_no_response(pending.request_class.name, sent_at, now)
            self._registry.update_pressure_by_latency(1.0, now)

    def _settle(self, pending: RequestState, actual_units: float) -> None:
        # The first successful response replaces the declared units by the actual units.
        bucket = pending.bucket
        bucket.refresh(self._context.now)
        is_over_quota = bucket.local_rate + bucket.remote_rate > bucket.plan.rate
        has_min_charge = is_over_quota and self._registry.pressure > PRESSURE_THRESHOLD
        min_charge = MIN_CHARGE_FRACTION * pending.request.units if has_min_charge else 0.0
        bucket.charge(max(actual_units, min_charge) - pending.request.units)
        if self._context.limits.gossip:
            self._reports.deferred[bucket.customer_id] = None

    def _record_usage(self, bucket: TokenBucket, quota_usage: float) -> None:
        # Backends meter only requested units, so the demand at all limiters is at least the metered rate.
        now = self._context.now
        self._buckets.record_remote_report(bucket)
        bucket.usage_ratio = max(MIN_USAGE_RATIO, quota_usage)
        ledger = bucket.counter_ledger
        has_recent_total = ledger.counter_name >= 0 and now - ledger.read_at <= REPORT_TTL_SECONDS
        if not has_recent_total:  # A recent counter total is newer than the metered usage.
            bucket.remote_rate = max(bucket.remote_rate, quota_usage * bucket.plan.rate - bucket.local_rate)


def _record_failure(
    backend: BackendStats, class_name: str, status: Status, sent_at: float, now: float
) -> None:
    if status is Status.ERROR:
        # Without this failure, a backend that returns errors quickly would seem the least busy backend.
        backend.record_failure(class_name, now)
    elif status is Status.CONNECT_FAILED:
        backend.record_failure(ALL_CLASSES, now)
    elif status in (Status.TIMEOUT, Status.RESET):
        backend.record_no_response(class_name, sent_at, now)
