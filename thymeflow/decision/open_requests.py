"""Admitted requests that still need a final response or whose last attempt has not ended."""

from __future__ import annotations

from math import inf

from thymeflow.decision.actions import CancelAttempt, FailRequest, RejectRequest, StartAttempt
from thymeflow.decision.context import DecisionContext, TimerKind
from thymeflow.decision.request_state import AttemptRecord, RequestState
from thymeflow.decision.settings import Idempotency
from thymeflow.decision.types import RejectionReason
from thymeflow.health.backend_registry import BackendRegistry
from thymeflow.health.backend_stats import ALL_CLASSES, EJECTION_FAILURES, BackendStats, FailureStreak

HALF_OPEN_TIMEOUT_FRACTION = 0.5  # Time-out of a half-open probe as a fraction of the latency objective.
MIN_RETRY_AFTER_SECONDS = 0.1
# No attempt starts within this time before the end of the idempotency window or of the client's deadline.
RETRY_MARGIN_SECONDS = 0.02


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
        context.set_timer(delay, TimerKind.DEADLINE, request_id)
        self.start_attempt(pending, backend)

    def start_attempt(self, pending: RequestState, backend: BackendStats, start_within: float = inf) -> None:
        """Start an attempt; an attempt at a failing backend is a half-open probe with a shorter time-out."""
        now = self._context.now
        pending.attempts.append(AttemptRecord(backend, now))
        self._registry.begin_attempt(backend, now)
        pending.bucket.attempts_in_flight += 1
        timeout = 0.0
        if backend.count_consecutive_failures(pending.request_class.name):
            timeout = self._begin_half_open_probe(pending, backend)
        self._context.emit(StartAttempt(pending.request.id, backend.endpoint.id, timeout, start_within))

    def _begin_half_open_probe(self, pending: RequestState, backend: BackendStats) -> float:
        # Only one probe runs at a time. Its short time-out leaves time for an attempt at another backend.
        now = self._context.now
        request_class = pending.request_class
        timeout = HALF_OPEN_TIMEOUT_FRACTION * min(request_class.latency_objective, pending.deadline - now)
        for name in (ALL_CLASSES, request_class.name):
            streak = backend.failures.get(name)
            if streak is not None and streak.failure_count >= EJECTION_FAILURES:
                backend.failures[name] = FailureStreak(streak.failure_count, now + timeout)
        return timeout

    def finish_unanswered(self, pending: RequestState) -> None:
        """Send the final response to a request that no attempt has answered, and finish the request."""
        request_id = pending.request.id
        is_idempotent = pending.request_class.idempotency is Idempotency.IDEMPOTENT
        if not pending.find_possibly_executed_attempts() or is_idempotent:
            # The units of the request are charged, and backends were the cause rather than the quota, so the
            # client may retry soon.
            advice = MIN_RETRY_AFTER_SECONDS if self._context.limits.retry_after else 0.0
            self._context.emit(RejectRequest(request_id, RejectionReason.ATTEMPTS, advice))
        else:
            self._context.emit(FailRequest(request_id))
        self.finish(pending)

    def finish(self, pending: RequestState) -> None:
        """Finish an answered request or one whose client has disconnected; cancel its attempts in flight."""
        in_flight = pending.find_attempts_in_flight()
        request_id = pending.request.id
        if not pending.is_answered and self._context.limits.cancel and not pending.is_streaming:
            for number in in_flight:
                self._context.emit(CancelAttempt(request_id, number))
        pending.is_answered = True
        if not in_flight:
            self.by_id.pop(request_id, None)
