"""Decides whether a failed request is tried again, and gives the final answer where it is not."""

from __future__ import annotations

from thymeflow.decision.actions import CancelAttempt, FailRequest, RejectRequest
from thymeflow.decision.admission import MIN_RETRY_AFTER, RETRY_MARGIN, Admission
from thymeflow.decision.request_state import RequestState
from thymeflow.decision.settings import Idempotency


class Retries(Admission):
    """Retries within a budget, and the end of requests."""

    def retry(self, pending: RequestState) -> bool:
        """Start one more attempt if rules, time and budget allow it; return whether one was started."""
        executed = pending.possibly_executed()
        idempotency = pending.request_class.idempotency
        end = pending.deadline
        if executed and idempotency is Idempotency.WITH_KEY:
            end = min(end, executed[0].sent_at + pending.request_class.idempotency_window)
        if executed and (idempotency is Idempotency.NOT_IDEMPOTENT or self.retry_budget < 1.0):
            return False
        if pending.is_streaming or len(pending.attempts) >= pending.max_attempts:
            return False
        if self.now > end - RETRY_MARGIN:
            return False
        backend = self.select_backend(pending)
        if backend is None:
            return False
        self.retry_budget -= float(bool(executed))
        self.start_attempt(pending, backend, end - RETRY_MARGIN - self.now)  # a retry counts when it arrives
        return True

    def finish_unanswered(self, pending: RequestState) -> None:
        """Give the final answer to a request that no attempt has answered, and end it."""
        request_id = pending.request.id
        is_idempotent = pending.request_class.idempotency is Idempotency.IDEMPOTENT
        if not pending.possibly_executed() or is_idempotent:
            # Its units are charged, and backends failed it and not its quota: it may come back soon.
            advice = MIN_RETRY_AFTER if self.limits.retry_after else 0.0
            self.actions.append(RejectRequest(request_id, advice, "attempts"))
        else:
            self.actions.append(FailRequest(request_id))
        self.finish_request(pending)

    def finish_request(self, pending: RequestState) -> None:
        """End a request that is answered or whose client has left; what is in flight is cancelled."""
        in_flight = pending.in_flight()
        if not pending.is_answered and self.limits.cancel and not pending.is_streaming:
            self.actions.extend(CancelAttempt(pending.request.id, number) for number in in_flight)
        pending.is_answered = True
        if not in_flight:
            self.pending.pop(pending.request.id, None)
