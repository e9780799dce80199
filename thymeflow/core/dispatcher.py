"""Passes events of pending requests to the gateway in strict order, and executes the actions that it returns.

This module depends on no protocol. A frontend submits an IncomingRequest and gets a Deferred of the one final Response.
The AttemptRunner makes attempts, the CounterClient calls the counter, and the EndpointSource watches the endpoint list.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from math import inf
from typing import Any

from twisted.internet.defer import Deferred

from thymeflow.core.attempt_starter import AttemptStarter
from thymeflow.core.executed_requests import ExecutedRequests
from thymeflow.core.pending_requests import PendingRequests
from thymeflow.core.request_counters import RequestCounters
from thymeflow.core.types import (
    AttemptRunner,
    CounterClient,
    EndpointSource,
    IncomingRequest,
    PendingRequest,
    Response,
    ResponseKind,
)
from thymeflow.decision import actions, events
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import GatewaySettings
from thymeflow.decision.types import Status
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind

MAX_REQUESTS = 1 << 16
# Seconds to wait for the counter's reply, which counts however late it arrives. The timeout is shorter than the
# gateway's pause between two calls with one name, so that each call has ended before the next.
COUNTER_CALL_TIMEOUT = 0.4
CAPACITY_RETRY_AFTER = 0.1  # seconds that a client is advised to wait when no more requests can be admitted


def _compute_max_requests(settings: GatewaySettings) -> int:
    return min(MAX_REQUESTS, int(settings.limits.max_concurrent_requests) or 1)


class RequestDispatcher:
    """Connects frontends, the gateway and the backends, and owns all pending requests."""

    def __init__(
        self,
        settings: GatewaySettings,
        gateway: Gateway,
        deadlines: clock.Deadlines,
        memory_limit: int,
        backends: AttemptRunner,
        counter: CounterClient | None,
        discovery: EndpointSource | None,
    ) -> None:
        """`memory_limit` bounds the bytes of the requests in flight."""
        self._settings = settings
        self._deadlines = deadlines
        self._gateway = gateway
        self._requests = PendingRequests(_compute_max_requests(settings), memory_limit)
        self._events: deque[events.Event] = deque()
        self._is_running = False
        self._timers: dict[int, clock.ScheduledCall] = {}  # by token
        self._counters = RequestCounters(deadlines)
        self.response_counts = dict.fromkeys(ResponseKind, 0)  # final responses since the start, by kind
        self._backends = backends
        self._attempts = AttemptStarter(backends, self._requests, self._counters, self)
        self.counter = counter
        self._discovery = discovery
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            actions.StartAttempt: self._attempts.start,
            actions.SetTimer: self._set_timer,
            actions.RejectRequest: self._reject,
            actions.FailRequest: self._fail,
            actions.CancelAttempt: self._attempts.cancel,
            actions.AddToCounter: self._add_to_counter,
            actions.CloseIdleConnections: self._close_idle_connections,
            actions.FetchEndpoints: self._fetch_endpoints,
            actions.WriteLog: self._write_log,
            actions.SubscribeEndpoints: self._subscribe_endpoints,
        }

    # --- methods for frontends and the limiter ---------------------------------------------------------------------

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply new settings to requests that are submitted from now on."""
        self._settings = settings
        self._requests.set_max_requests(_compute_max_requests(settings))
        self.handle(events.SettingsChanged(settings))

    def set_memory_limit(self, memory_limit: int) -> None:
        """Set the bound, in bytes, that applies to requests submitted from now on."""
        self._requests.set_memory_limit(memory_limit)

    def open_count(self) -> int:
        """Return the number of requests that have not ended."""
        return len(self._requests)

    def is_open(self, request_id: str) -> bool:
        """Return whether the request with an id has not ended."""
        return request_id in self._requests

    def may_have_executed(self, request_id: str) -> bool:
        """Return whether a backend may have executed a request that is not safe to repeat and had this id."""
        return self._attempts.executed_requests.contains(request_id)

    def share_executed_requests(self, executed_requests: ExecutedRequests) -> None:
        """Remember executed requests together with another process from now on."""
        self._attempts.executed_requests = executed_requests

    def submit(self, incoming: IncomingRequest) -> Deferred[Response]:
        """Submit a request and return a Deferred of its final response.

        A frontend cancels the Deferred when the client has left. A request for which no slot or memory is left is
        rejected at once.
        """
        response: Deferred[Response] = Deferred(lambda _: self.on_client_left(handle))
        if not self._requests.can_add(incoming.size):
            handle = -1
            self._reject_for_capacity(response)
            return response
        pending = PendingRequest(incoming, response, self._settings.limits.max_attempts)
        handle = self._requests.add(pending)
        if incoming.deadline < inf:
            self._set_overdue_timer(handle, pending)
        response.addBoth(self._cancel_overdue_timer, pending)
        self.handle(incoming.request)
        return response

    def _reject_for_capacity(self, response: Deferred[Response]) -> None:
        # The request is rejected without the gateway, because nothing of it was forwarded.
        log.emit_rate_limited(
            LogKind.CAPACITY,
            f"request rejected: {len(self._requests)} pending requests hold {self._requests.memory_used} bytes",
            requests=len(self._requests),
            held=self._requests.memory_used,
        )
        response.callback(Response(ResponseKind.REJECTED, retry_after=CAPACITY_RETRY_AFTER))

    def on_body_received(self, request_id: str, deadline: float) -> None:
        """Set a request's deadline (a time of `clock.now`), as its long body is complete now."""
        pending = self._requests.find(request_id)
        if pending is not None and not pending.is_answered:
            pending.deadline = deadline
            pending.body_received_at = clock.now()
            self._set_overdue_timer(self._requests.get_handle(request_id), pending)

    def handle(self, event: events.Event) -> None:
        """Queue an event, and pass all queued events to the gateway in order unless that is in progress already."""
        self._events.append(event)
        if not self._is_running:
            self._run()

    def apply_endpoints(self, event: events.EndpointsChanged, apply: Callable[[], None]) -> None:
        """Pass a change of the endpoint list to the gateway ahead of the events that the change causes.

        `apply` applies the change to the connections, which may end attempts.
        """
        was_running = self._is_running
        self._is_running = True
        try:
            self._events.append(event)
            apply()
        finally:
            self._is_running = was_running
        if not was_running:
            self._run()

    # --- events and actions --------------------------------------------------------------------------------

    def _run(self) -> None:
        self._is_running = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    decided = self._gateway.handle(clock.now(), event)
                except Exception as error:
                    # An error in the gateway fails the request that the event belongs to, and not the whole process.
                    self._on_gateway_error(event, error)
                    continue
                for action in decided:
                    self._execute_action(action)
                for token in self._gateway.take_cancelled_timers():
                    self._cancel_timer(token)
        finally:
            self._is_running = False

    def _on_gateway_error(self, event: events.Event, error: Exception) -> None:
        logging.getLogger("thymeflow").error("gateway fault on %s", type(event).__name__, exc_info=error)
        pending = self._requests.find(getattr(event, "id", ""))
        if pending is not None:
            self.respond(pending, Response(ResponseKind.FAILED))

    def _execute_action(self, action: actions.Action) -> None:
        handler = self._action_handlers.get(type(action), self._log_unsupported)
        handler(action)

    def _log_unsupported(self, action: actions.Action) -> None:
        log.emit_rate_limited(
            LogKind.GATEWAY, f"action {type(action).__name__} ignored: not supported by this deployment"
        )

    def _set_timer(self, action: actions.SetTimer) -> None:
        call = self._deadlines.schedule(clock.now() + action.delay, self._on_timer, action.token)
        self._timers[action.token] = call

    def _cancel_timer(self, token: int) -> None:
        call = self._timers.pop(token, None)
        if call is not None:
            self._deadlines.cancel(call)

    def _on_timer(self, token: int) -> None:
        self._timers.pop(token, None)
        self.handle(events.TimerFired(token))

    def _reject(self, action: actions.RejectRequest) -> None:
        self._counters.add(self._counters.rejections, action.reason.value)
        self._respond_by_id(action.id, Response(ResponseKind.REJECTED, retry_after=action.retry_after))

    def _fail(self, action: actions.FailRequest) -> None:
        self._respond_by_id(action.id, Response(ResponseKind.FAILED))

    def _close_idle_connections(self, action: actions.CloseIdleConnections) -> None:
        self._backends.close_idle(action.backend)

    def _fetch_endpoints(self, action: actions.FetchEndpoints) -> None:
        if self._discovery is None:
            self._log_unsupported(action)
        else:
            self._discovery.fetch_complete_list()

    @staticmethod
    def _write_log(action: actions.WriteLog) -> None:
        log.emit_rate_limited(LogKind.GATEWAY, action.text)

    @staticmethod
    def _subscribe_endpoints(_: actions.SubscribeEndpoints) -> None:
        """Do nothing, because the endpoint list is always watched."""

    def _add_to_counter(self, action: actions.AddToCounter) -> None:
        if self.counter is None:
            self._log_unsupported(action)
            return
        called_at = clock.now()

        def on_reply(reply: tuple[Status, float]) -> None:
            """Pass the counter's reply to the gateway."""
            status, total = reply
            self.handle(events.CounterReplied(action.name, status, total, clock.now() - called_at))

        deadline = called_at + COUNTER_CALL_TIMEOUT
        self.counter.add(action.name, action.amount, action.ttl, deadline).addCallback(on_reply)

    # --- the end of requests -------------------------------------------------------------------------------

    def _respond_by_id(self, request_id: str, response: Response) -> None:
        pending = self._requests.find(request_id)
        if pending is not None and not pending.is_answered:
            self.respond(pending, response)

    def respond(self, pending: PendingRequest, response: Response) -> None:
        """Give a request its final response."""
        self._requests.mark_answered(pending)
        self.response_counts[response.kind] += 1
        if not pending.response_deferred.called:
            pending.response_deferred.callback(response)
        self._requests.remove_if_ended(pending)

    def on_client_left(self, handle: int) -> None:
        """End a request whose client has left, and which needs no response."""
        pending = self._requests.get(handle)
        if pending is not None and not pending.is_answered:
            self._requests.mark_answered(pending)
            self.handle(events.ClientDisconnected(pending.id))
            self._requests.remove_if_ended(pending)

    def _set_overdue_timer(self, handle: int, pending: PendingRequest) -> None:
        end = pending.deadline + self._settings.rules.response_grace
        pending.overdue_timer = self._deadlines.schedule(end, self._on_overdue, handle)

    def _cancel_overdue_timer(self, response: Response, pending: PendingRequest) -> Response:
        self._deadlines.cancel(pending.overdue_timer)
        return response

    def _on_overdue(self, handle: int) -> None:
        # Ensures that each request gets a final response, even if the gateway has failed to give it in time.
        pending = self._requests.get(handle)
        if pending is not None and not pending.is_answered:
            log.emit_rate_limited(
                LogKind.OVERDUE,
                f"request {pending.id} failed: no response from the gateway by its deadline",
                request=pending.id,
            )
            self._fail_and_cancel(pending)

    def expire(self, request_id: str) -> None:
        """Fail a request that is open, because its response can't be awaited any more."""
        pending = self._requests.find(request_id)
        if pending is not None and not pending.is_answered:
            self._fail_and_cancel(pending)

    def _fail_and_cancel(self, pending: PendingRequest) -> None:
        self.respond(pending, Response(ResponseKind.FAILED))
        self.handle(events.ClientDisconnected(pending.id))
