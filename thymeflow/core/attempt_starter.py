"""Attempts as the gateway starts and cancels them, and what their results mean for requests and gateway."""

from __future__ import annotations

import logging
from math import inf
from typing import Protocol

from thymeflow.core.pending_requests import PendingRequests
from thymeflow.core.request_counters import RequestCounters
from thymeflow.core.types import AttemptResult, AttemptRunner, AttemptSpec, PendingRequest, Response, ResponseKind
from thymeflow.decision import actions, events
from thymeflow.decision.types import Status
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.transport.value_stream import ValueStream


class RequestOwner(Protocol):
    """Responds to requests, and hands events to the gateway."""

    def handle(self, event: events.Event) -> None:
        """Hand an event to the gateway."""

    def respond(self, pending: PendingRequest, response: Response) -> None:
        """Give a request its final response."""

    def on_client_left(self, handle: int) -> None:
        """End a request whose client has left."""


class AttemptStarter:
    """Starts attempts at the backends for pending requests."""

    def __init__(
        self, backends: AttemptRunner, requests: PendingRequests, counters: RequestCounters, owner: RequestOwner
    ) -> None:
        self._backends = backends
        self._requests = requests
        self._counters = counters
        self._owner = owner

    def start(self, action: actions.StartAttempt) -> None:
        """Start an attempt, or report it as moot where its request is answered, over or out of attempts."""
        pending = self._requests.find(action.id)
        now = clock.now()
        if pending is None:
            log.emit_rate_limited(LogKind.GATEWAY, f"attempt for {action.id}, which is over")
            return
        number = pending.attempt_count
        pending.attempt_count += 1
        if not pending.is_answered and not pending.incoming.is_connected():
            self._owner.on_client_left(self._requests.get_handle(pending.id))
        if pending.is_answered or number >= pending.max_attempts or now >= pending.deadline:
            self._on_attempt_ended(AttemptResult(Status.MOOT), pending, number, action.backend, now)
            return
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
        """Abandon an attempt, if it has not ended."""
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
        # From its first bytes on a long response is the client's: no other attempt, and no deadline.
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
        self._counters.add(self._counters.attempts, result.status.name.lower())
        is_ok = result.status is Status.OK
        actual_units = None
        if is_ok and not pending.is_settled:
            # The actual units go with the first good response only, as the simulator has it.
            pending.is_settled = True
            actual_units = result.actual_units
        if is_ok and not pending.is_answered:
            self._owner.respond(pending, Response(ResponseKind.SERVED, result.value))
        # How long a client takes to send or to read says nothing about the backend.
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
        self._requests.remove_if_ended(pending)
