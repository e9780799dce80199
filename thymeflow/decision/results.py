"""What a gateway learns from the result of an attempt, and the settlement of units: state, no decisions."""

from __future__ import annotations

from thymeflow.decision.events import AttemptEnded
from thymeflow.decision.gateway_state import SMOOTHING, GatewayState
from thymeflow.decision.request_state import AttemptRecord, RequestState
from thymeflow.decision.types import Status
from thymeflow.health.backend_stats import ALL_CLASSES, RARELY_USED_SECONDS, BackendStats
from thymeflow.health.pressure import PRESSURE_THRESHOLD
from thymeflow.quota.token_bucket import MIN_USAGE_RATIO, REPORT_TTL, TokenBucket

MIN_CHARGE_FRACTION = 0.8  # of the declared units: least charge beyond the quota under pressure (HIP-185)
MAX_LATENCY_RATIO = 10.0  # of one sample over the mean
MAX_RARE_WEIGHT = 3.0  # how much more a sample weighs at a backend that is rarely used


class Results(GatewayState):
    """Statistics of backends, pressure and settled units."""

    def record_result(self, pending: RequestState, attempt: AttemptRecord, event: AttemptEnded) -> None:
        """Learn from the end of an attempt."""
        backend = attempt.backend
        class_name = pending.request_class.name
        status = event.status
        latency_ratio = event.latency / max(pending.request_class.latency_objective, 1e-3)
        if status in (Status.OK, Status.ERROR, Status.FULL):
            backend.last_response_at.update({ALL_CLASSES: self.now, class_name: self.now})
        if status is Status.OK:
            if event.request_answered and event.actual_units:
                self._settle(pending, event.actual_units)
            backend.failures.pop(ALL_CLASSES, None)
            backend.failures.pop(class_name, None)
            self._record_latency(backend, latency_ratio)
        elif status is Status.ERROR:  # a backend that fails quickly would look the least busy of all
            backend.record_failure(class_name, self.now)
        elif status is Status.CONNECT_FAILED:
            backend.record_failure(ALL_CLASSES, self.now)
        elif status in (Status.TIMEOUT, Status.RESET):
            backend.record_no_response(class_name, attempt.sent_at, self.now)
        if status in (Status.OK, Status.FULL, Status.TIMEOUT):
            self.observe_latency(latency_ratio if status is Status.OK else max(latency_ratio, 1.0))
        if event.quota_usage is not None:
            self._record_usage(pending.bucket, event.quota_usage)

    def _settle(self, pending: RequestState, actual_units: float) -> None:
        # The first good response settles the declared units.
        bucket = pending.bucket
        bucket.refresh(self.now)
        is_over_quota = bucket.local_rate + bucket.remote_rate > bucket.plan.rate
        has_floor = is_over_quota and self.pressure > PRESSURE_THRESHOLD
        min_charge = MIN_CHARGE_FRACTION * pending.request.units if has_floor else 0.0
        bucket.charge(max(actual_units, min_charge) - pending.request.units)
        if self.limits.gossip:
            self.deferred_updates[bucket.customer_id] = None

    def _record_latency(self, backend: BackendStats, latency_ratio: float) -> None:
        weight = SMOOTHING * (1.0 + min(MAX_RARE_WEIGHT, backend.send_interval / RARELY_USED_SECONDS))
        relative = latency_ratio / max(1e-3, self.mean_latency_ratio)
        backend.relative_latency += weight * (min(MAX_LATENCY_RATIO, relative) - backend.relative_latency)
        self.mean_latency_ratio += 0.5 * SMOOTHING * (latency_ratio - self.mean_latency_ratio)

    def _record_usage(self, bucket: TokenBucket, quota_usage: float) -> None:
        # What was used over the quota was requested.
        self.last_gossip_at = self.now
        bucket.last_update_at = self.now
        bucket.usage_ratio = max(MIN_USAGE_RATIO, quota_usage)
        ledger = bucket.counter_ledger
        if (
            ledger.counter_name < 0 or self.now - ledger.read_at > REPORT_TTL
        ):  # else the counter's total is newer
            bucket.remote_rate = max(bucket.remote_rate, quota_usage * bucket.plan.rate - bucket.local_rate)
