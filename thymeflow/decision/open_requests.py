"""Admitted requests, until they need no further response and their last attempt has ended."""

from __future__ import annotations

from math import inf

from thymeflow.decision.actions import CancelAttempt, FailRequest, RejectRequest, StartAttempt
from thymeflow.decision.context import DecisionContext, TimerKind
from thymeflow.decision.request_state import AttemptRecord, RequestState
from thymeflow.decision.settings import Idempotency
from thymeflow.decision.types import RejectionReason
from thymeflow.health.backend_registry import BackendRegistry
from thymeflow.health.backend_stats import ALL_CLASSES, EJECTION_FAILURES, BackendStats, FailureStreak

# Time-out of a half-open probe, as a fraction of the latency objective or of the time left if it is shorter.
HALF_OPEN_TIMEOUT_FRACTION = 0.5
MIN_RETRY_AFTER_SECONDS = 0.1  # Shortest delay that a client is advised to wait before it retries.
# No attempt starts within this time before the end of the idempotency window or of the client's deadline.
ATTEMPT_START_MARGIN_SECONDS = 0.02


class OpenRequests:
    """Starts the attempts of open requests, and sends the final response if no attempt has answered."""

    def __init__(self, context: DecisionContext, registry: BackendRegistry) -> None:
        self._context = context
        self._registry = registry
        self.by_id: dict[str, RequestState] = {}

    def open(self, pending: RequestState, backend: BackendStats) -> None:
        """Set the deadline timer of an admitted request, and start its first attempt."""
        context = self._context
        request_id = pending.request.id
        self.by_id[request_id] = pending
        delay = pending.deadline - context.now - 2.0 * context.settings.timer_resolution
        pending.deadline_timer = context.set_timer(delay, TimerKind.DEADLINE, request_id)
        self.start_attempt(pending, backend)

    def start_attempt(self, pending: RequestState, backend: BackendStats, start_within: float = inf) -> None:
        """Start an attempt; it is a half-open probe with a shorter time-out if the backend failed last."""
        now = self._context.now
        pending.attempts.append(AttemptRecord(backend, now))
        self._registry.begin_attempt(backend, now)
        pending.bucket.attempts_in_flight += 1
        timeout = 0.0
        if backend.count_consecutive_failures(pending.request_class.name):
            timeout = self._begin_half_open_probe(pending, backend)
        self._context.emit(StartAttempt(pending.request.id, backend.endpoint.id, timeout, start_within))

    def _begin_half_open_probe(self, pending: RequestState, backend: BackendStats) -> float:
        # The ejection is extended to the probe's time-out, so that only one probe runs at a time. The short
        # time-out leaves time for an attempt at another backend.
        now = self._context.now
        request_class = pending.request_class
        timeout = HALF_OPEN_TIMEOUT_FRACTION * min(request_class.latency_objective, pending.deadline - now)
        for name in (ALL_CLASSES, request_class.name):
            streak = backend.failures.get(name)
            if streak is not None and streak.failure_count >= EJECTION_FAILURES:
                backend.failures[name] = FailureStreak(streak.failure_count, now + timeout)
        return timeout

    def reject_or_fail(self, pending: RequestState) -> None:
        """Reject a request that no attempt has answered if a retry is safe, else fail it; then close it."""
        request_id = pending.request.id
        is_idempotent = pending.request_class.idempotency is Idempotency.IDEMPOTENT
        if not pending.find_possibly_executed_attempts() or is_idempotent:
            # The units of the request are already charged. The backends failed, and the quota was sufficient,
            # so the client need not wait for a refill and may retry soon.
            advice = MIN_RETRY_AFTER_SECONDS if self._context.limits.retry_after else 0.0
            self._context.emit(RejectRequest(request_id, RejectionReason.ATTEMPTS, advice))
        else:
            self._context.emit(FailRequest(request_id))
        self.close(pending)

    def close(self, pending: RequestState) -> None:
        """Close a request that needs no further response, and forget it once its last attempt has ended.

        Its attempts in flight are cancelled unless it was answered before or is streaming.
        """
        in_flight = pending.find_attempts_in_flight()
        request_id = pending.request.id
        if not pending.is_answered and self._context.limits.cancel and not pending.is_streaming:
            for number in in_flight:
                self._context.emit(CancelAttempt(request_id, number))
        pending.is_answered = True
        # Requests may end long before a deadline that their clients choose.
        self._context.cancel_timer(pending.deadline_timer)
        if not in_flight:
            self.by_id.pop(request_id, None)
