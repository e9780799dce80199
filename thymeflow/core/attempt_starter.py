"""Starts and cancels attempts for the gateway, and passes their results on to the request and the gateway."""

from __future__ import annotations

import logging
from math import inf
from typing import Protocol

from thymeflow.core.executed_requests import ExecutedRequests, LocalExecutedRequests
from thymeflow.core.pending_requests import PendingRequests
from thymeflow.core.request_counters import RequestCounters
from thymeflow.core.types import AttemptResult, AttemptRunner, AttemptSpec, PendingRequest, Response, ResponseKind
from thymeflow.decision import actions, events
from thymeflow.decision.types import NOT_EXECUTED, Status
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.transport.value_stream import ValueStream


class RequestOwner(Protocol):
    """Responds to requests, and passes events to the gateway."""

    def handle(self, event: events.Event) -> None:
        """Pass an event to the gateway."""

    def respond(self, pending: PendingRequest, response: Response) -> None:
        """Give a request its final response."""

    def on_client_left(self, handle: int) -> None:
        """End a request whose client has left."""


class AttemptStarter:
    """Starts attempts at the backends for pending requests."""

    def __init__(
        self, backends: AttemptRunner, requests: PendingRequests, counters: RequestCounters, owner: RequestOwner
    ) -> None:
        self.executed_requests: ExecutedRequests = LocalExecutedRequests()
        self._backends = backends
        self._requests = requests
        self._counters = counters
        self._owner = owner

    def start(self, action: actions.StartAttempt) -> None:
        """Start an attempt.

        The attempt ends at once with the status MOOT if its request is answered, past its deadline or out of attempts.
        It is logged and dropped if its request is no longer pending.
        """
        pending = self._requests.find(action.id)
        now = clock.now()
        if pending is None:
            log.emit_rate_limited(LogKind.GATEWAY, f"attempt for request {action.id} dropped: the request has ended")
            return
        number = pending.attempt_count
        pending.attempt_count += 1
        if not pending.is_answered and not pending.incoming.is_connected():
            self._owner.on_client_left(self._requests.get_handle(pending.id))
        if pending.is_answered or number >= pending.max_attempts or now >= pending.deadline:
            self._on_attempt_ended(AttemptResult(Status.MOOT), pending, number, action.backend, now)
            return
        if pending.incoming.request.is_write:
            self.executed_requests.add(pending.id)
        deadline = pending.deadline
        if action.timeout and deadline < inf:
            deadline = min(deadline, now + max(0.0, action.timeout))
        spec = AttemptSpec(
            action.backend,
            pending.incoming.payload,
            deadline,
            lambda stream: self._on_response_started(pending, number, action.backend, now, stream),
            now + action.start_within,
            pending.incoming.is_connected,
        )
        attempt = self._backends.start_attempt(spec)
        pending.open_attempts[number] = attempt
        attempt.addCallback(self._on_attempt_ended, pending, number, action.backend, now)
        attempt.addErrback(self._on_unexpected_error)

    def cancel(self, action: actions.CancelAttempt) -> None:
        """Cancel an attempt, if it has not ended."""
        pending = self._requests.find(action.id)
        attempt = pending.open_attempts.get(action.attempt) if pending else None
        if attempt is not None:
            attempt.cancel()

    def _on_response_started(
        self, pending: PendingRequest, number: int, backend: int, sent_at: float, stream: ValueStream | None
    ) -> bool:
        if stream is None:
            self._owner.handle(events.RequestBodyStarted(pending.id))
            return True
        # The client receives a long response from its first bytes on. After that the request gets no other attempt, and
        # its deadline no longer applies.
        if pending.is_answered:
            return False
        pending.response_latency = clock.now() - max(sent_at, pending.body_received_at)
        self._owner.respond(pending, Response(ResponseKind.SERVED, stream=stream))
        self._owner.handle(events.ResponseStarted(pending.id, number, backend, pending.response_latency))
        return True

    @staticmethod
    def _on_unexpected_error(failure: object) -> None:
        logging.getLogger("thymeflow").error("attempt fault: %s", failure)

    def _on_attempt_ended(
        self, result: AttemptResult, pending: PendingRequest, number: int, backend: int, sent_at: float
    ) -> None:
        pending.open_attempts.pop(number, None)
        pending.may_have_executed = pending.may_have_executed or result.status not in NOT_EXECUTED
        self._counters.add(self._counters.attempts, result.status.name.lower())
        is_ok = result.status is Status.OK
        actual_units = None
        if is_ok and not pending.is_settled:
            # Only the first good response settles the actual units, as in the simulator.
            pending.is_settled = True
            actual_units = result.actual_units
        if is_ok and not pending.is_answered:
            self._owner.respond(pending, Response(ResponseKind.SERVED, result.value))
        # The time that a client takes to send a body or read a response must not count as latency of the backend.
        latency = pending.response_latency
        if latency < 0.0:
            latency = clock.now() - max(sent_at, pending.body_received_at)
        event = events.AttemptEnded(
            pending.id,
            number,
            backend,
            result.status,
            latency,
            pending.is_answered,
            result.quota_usage,
            actual_units,
            result.load_report,
        )
        self._owner.handle(event)
        if pending.incoming.request.is_write and not pending.may_have_executed and not pending.open_attempts:
            self.executed_requests.discard(pending.id)
        self._requests.remove_if_ended(pending)
