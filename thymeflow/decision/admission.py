"""Decides whether a request is admitted, and how long a rejected one should wait."""

from __future__ import annotations

from math import inf, isfinite

from thymeflow.decision.actions import RejectRequest, StartAttempt
from thymeflow.decision.balancing import Balancing
from thymeflow.decision.events import RequestReceived
from thymeflow.decision.gateway_state import RETRY_BUDGET_PER_REQUEST, TimerKind
from thymeflow.decision.request_state import AttemptRecord, RequestState
from thymeflow.decision.settings import RequestClass
from thymeflow.health import pressure
from thymeflow.health.backend_stats import ALL_CLASSES, EJECTION_FAILURES, BackendStats, FailureStreak
from thymeflow.quota.token_bucket import TokenBucket

MIN_RETRY_AFTER = 0.1  # s
HALF_OPEN_TIMEOUT_FRACTION = 0.5  # of the latency objective: how long a failing backend is waited for
RETRY_MARGIN = 0.02  # s: attempts stop this long before an idempotency window or the client's time ends


class Admission(Balancing):
    """Admission of requests by quota, concurrency and pressure, and the start of their first attempts."""

    def on_request(self, event: RequestReceived) -> None:
        """Charge a request and start its first attempt at once, or reject it at once."""
        plan = self.plans.get(event.plan)
        has_valid_units = isfinite(event.units) and event.units > 0
        if plan is None or not has_valid_units or event.remaining <= RETRY_MARGIN:
            self.actions.append(RejectRequest(event.id, reason="invalid"))
            return
        bucket = self.bucket_for(plan, event)
        # A class that is not known is treated as one that is not idempotent.
        unknown = RequestClass(event.class_name, event.remaining, event.remaining)
        request_class = self.classes.get(event.class_name, unknown)
        deadline = self.now + min(event.remaining, self._useful_seconds(request_class))
        pending = RequestState(event, request_class, bucket, deadline, self.limits.max_attempts)
        if not event.is_retry:  # a client's retry is the same demand again, not more of it
            bucket.local_rate += event.units / bucket.local_rate_memory
            bucket.requested_units += event.units
        sample = self.rng.random()
        if not self.waits_for_counter(pending, sample):
            self.admit(pending, bucket.can_admit(event.units, sample))

    @staticmethod
    def _useful_seconds(request_class: RequestClass) -> float:
        # A response past its objective may be worth nothing: its capacity is better given to another.
        has_late_value = request_class.late_weight > 0.0 or bool(request_class.latency_objective_stretch)
        if has_late_value or request_class.is_streamed:
            return inf
        return request_class.latency_objective

    def waits_for_counter(self, pending: RequestState, sample: float) -> bool:
        """Return whether `admit` is called later, with the counter's reply; never so in this class."""
        del pending, sample
        return False

    def admit(self, pending: RequestState, is_within_quota: bool) -> None:
        """Charge a request and start its first attempt, or reject it."""
        event = pending.request
        bucket = pending.bucket
        reason = self.rejection_reason(pending, bucket) if is_within_quota else "quota"
        backend = None if reason else self.select_backend(pending)
        updates = self.deferred_updates if backend is None else self.pending_updates
        updates[bucket.customer_id] = None
        if backend is None:
            advice = self.retry_after(bucket, event.units)
            self.actions.append(RejectRequest(event.id, advice, reason or "no backend"))
            return
        bucket.requested_units += event.units if event.is_retry else 0.0
        bucket.charge(event.units)
        bucket.ceiling_level -= event.units  # the hard ceiling goes by declared units and is not settled
        self.retry_budget = min(self.max_retry_budget(), self.retry_budget + RETRY_BUDGET_PER_REQUEST)
        self.pending[event.id] = pending
        delay = pending.deadline - self.now - 2.0 * self.settings.timer_resolution
        self.set_timer(delay, TimerKind.DEADLINE, event.id)
        self.start_attempt(pending, backend)

    def retry_after(self, bucket: TokenBucket, units: float) -> float:
        """Return the seconds until the bucket holds the units, 0 where no advice may be given."""
        if not self.limits.retry_after:
            return 0.0
        refill_rate = max(1e-9, bucket.plan.rate * bucket.quota_fraction(bucket.local_rate))
        return min(max(MIN_RETRY_AFTER, (units - bucket.level) / refill_rate), self.limits.max_retry_after)

    def rejection_reason(self, pending: RequestState, bucket: TokenBucket) -> str:
        """Return why a request within its quota is rejected, "" where it is not; full buckets come first."""
        full_level = max(pending.request.units, bucket.plan.burst * bucket.quota_fraction(bucket.local_rate))
        deficit = 1.0 - min(1.0, max(0.0, bucket.level / full_level)) if bucket.plan.rate else 0.0
        backends = self.warmed_up_backends * self.fraction_of("places")
        if self.in_flight >= pressure.concurrency_limit(backends, deficit, self.pressure):
            return "concurrency"
        sample = self.rng.random()
        fraction = self.adjust_shedding(pending, pressure.shedding_fraction(deficit, self.pressure))
        return "pressure" if sample < fraction else ""

    def start_attempt(self, pending: RequestState, backend: BackendStats, start_within: float = inf) -> None:
        """Start an attempt; one at a failing backend is a half-open probe with a time-out of its own."""
        class_name = pending.request_class.name
        pending.attempts.append(AttemptRecord(backend, self.now))
        backend.in_flight += 1
        backend.send_interval = self.now - backend.last_sent_at
        backend.last_sent_at = self.now
        self.in_flight += 1
        pending.bucket.attempts_in_flight += 1
        timeout = 0.0
        if backend.consecutive_failures(class_name):
            # One probe at a time, cut short while there is time for another backend.
            remaining = pending.deadline - self.now
            timeout = HALF_OPEN_TIMEOUT_FRACTION * min(pending.request_class.latency_objective, remaining)
            for name in (ALL_CLASSES, class_name):
                streak = backend.failures.get(name)
                if streak is not None and streak.failure_count >= EJECTION_FAILURES:
                    backend.failures[name] = FailureStreak(streak.failure_count, self.now + timeout)
        self.actions.append(StartAttempt(pending.request.id, backend.endpoint.id, timeout, start_within))
