"""Admitted requests until they have their final response and their last attempt has ended."""

from __future__ import annotations

from math import inf

from thymeflow.decision.actions import CancelAttempt, FailRequest, RejectRequest, StartAttempt
from thymeflow.decision.context import DecisionContext, TimerKind
from thymeflow.decision.request_state import AttemptRecord, RequestState
from thymeflow.decision.settings import Idempotency
from thymeflow.decision.types import RejectionReason
from thymeflow.health.backend_registry import BackendRegistry
from thymeflow.health.backend_stats import ALL_CLASSES, EJECTION_FAILURES, BackendStats, FailureStreak

HALF_OPEN_TIMEOUT_FRACTION = 0.5  # of the latency objective: how long a failing backend is waited for
MIN_RETRY_AFTER_SECONDS = 0.1
RETRY_MARGIN_SECONDS = 0.02  # attempts stop this long before an idempotency window or the client's time ends


class OpenRequests:
    """Open requests by id: starts their attempts, and gives the final response where no attempt does."""

    def __init__(self, context: DecisionContext, registry: BackendRegistry) -> None:
        self._context = context
        self._registry = registry
        self.by_id: dict[str, RequestState] = {}

    def open(self, pending: RequestState, backend: BackendStats) -> None:
        """Start the first attempt of an admitted request, and the time to its deadline."""
        context = self._context
        request_id = pending.request.id
        self.by_id[request_id] = pending
        delay = pending.deadline - context.now - 2.0 * context.settings.timer_resolution
        context.set_timer(delay, TimerKind.DEADLINE, request_id)
        self.start_attempt(pending, backend)

    def start_attempt(self, pending: RequestState, backend: BackendStats, start_within: float = inf) -> None:
        """Start an attempt; one at a failing backend is a half-open probe with a time-out of its own."""
        now = self._context.now
        pending.attempts.append(AttemptRecord(backend, now))
        self._registry.begin_attempt(backend, now)
        pending.bucket.attempts_in_flight += 1
        timeout = 0.0
        if backend.count_consecutive_failures(pending.request_class.name):
            timeout = self._begin_half_open_probe(pending, backend)
        self._context.emit(StartAttempt(pending.request.id, backend.endpoint.id, timeout, start_within))

    def _begin_half_open_probe(self, pending: RequestState, backend: BackendStats) -> float:
        # One probe at a time, cut short while there is time for another backend.
        now = self._context.now
        request_class = pending.request_class
        timeout = HALF_OPEN_TIMEOUT_FRACTION * min(request_class.latency_objective, pending.deadline - now)
        for name in (ALL_CLASSES, request_class.name):
            streak = backend.failures.get(name)
            if streak is not None and streak.failure_count >= EJECTION_FAILURES:
                backend.failures[name] = FailureStreak(streak.failure_count, now + timeout)
        return timeout

    def finish_unanswered(self, pending: RequestState) -> None:
        """Give the final response to a request that no attempt has answered, and finish it."""
        request_id = pending.request.id
        is_idempotent = pending.request_class.idempotency is Idempotency.IDEMPOTENT
        if not pending.possibly_executed() or is_idempotent:
            # Its units are charged, and backends failed it and not its quota: it may come back soon.
            advice = MIN_RETRY_AFTER_SECONDS if self._context.limits.retry_after else 0.0
            self._context.emit(RejectRequest(request_id, RejectionReason.ATTEMPTS, advice))
        else:
            self._context.emit(FailRequest(request_id))
        self.finish(pending)

    def finish(self, pending: RequestState) -> None:
        """Finish a request that is answered or whose client has left; what is in flight is cancelled."""
        in_flight = pending.in_flight()
        request_id = pending.request.id
        if not pending.is_answered and self._context.limits.cancel and not pending.is_streaming:
            for number in in_flight:
                self._context.emit(CancelAttempt(request_id, number))
        pending.is_answered = True
        if not in_flight:
            self.by_id.pop(request_id, None)
