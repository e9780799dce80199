"""Sends attempts to backends over pooled connections; each attempt ends in exactly one result.

A connection carries one attempt at a time, because cancelling an attempt closes its connection and would end any other
attempt on it.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from thymeflow.backends.attempts import Attempt
from thymeflow.backends.connections import NO_ATTEMPT, Connection, Pool
from thymeflow.backends.pools import ConnectionPools
from thymeflow.backends.streaming import LONG_REPLY_TIMEOUT, LONG_VALUE_TIMEOUT, ValueStreaming, detach_streams
from thymeflow.core.types import AttemptResult, AttemptSpec
from thymeflow.decision.settings import Limits
from thymeflow.decision.types import BackendState, EndpointListKind, Status
from thymeflow.platform.endpoints import EndpointUpdate
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.runtime.slot_table import SlotTable
from thymeflow.transport.commands import Call
from thymeflow.transport.connections import dial

# Seconds without a byte of a reply that has begun. Backends write replies in pieces, and some of them slowly.
REPLY_STALL_TIMEOUT = 1.0
MAX_ATTEMPTS = 1 << 16  # attempts in progress at a time
READY = BackendState.READY


class BackendConnections(ConnectionPools):
    """Sends attempts to backends over pooled connections.

    `read_endpoint_updates` is called after a stall of this process, to read updates that are waiting at the sockets.
    """

    def __init__(
        self,
        reactor: object,
        deadlines: clock.Deadlines,
        limits: Limits,
        max_connections: int,
        read_endpoint_updates: Callable[[], None],
    ) -> None:
        super().__init__(deadlines, limits, max_connections)
        self._reactor = reactor
        self._attempts: SlotTable[Attempt] = SlotTable(MAX_ATTEMPTS)
        self._streaming = ValueStreaming(deadlines, self._attempts, self)
        self._read_endpoint_updates = read_endpoint_updates
        self._sweep(0)

    def apply_update(self, update: EndpointUpdate) -> None:
        """Apply a change of the endpoint list to all requests that have not been written to a connection yet."""
        if update.change.kind is not EndpointListKind.DELTA:
            for backend_id in self._pools_by_id.keys() - {backend.id for backend in update.change.backends}:
                self._retire(self._pools_by_id.pop(backend_id), BackendState.GONE)
        for backend in update.change.backends:
            pool = self._pools_by_id.get(backend.id)
            address = update.addresses.get(backend.id)
            if pool is not None and (address != pool.address or backend.state is BackendState.GONE):
                self._retire(self._pools_by_id.pop(backend.id), BackendState.GONE)
                pool = None
            if pool is None and address is not None:
                self._pools_by_id[backend.id] = Pool(backend, address)
            elif pool is not None:
                self._close_idle_of_earlier_process(pool, backend.started)
                if backend.state is READY:
                    pool.state = READY
                else:
                    self._retire(pool, backend.state)

    def _retire(self, pool: Pool, state: BackendState) -> None:
        # No new attempt may be sent to a backend that is draining. Attempts that wait for a connection to it fail here.
        pool.state = state
        self._close_idle(pool)
        while pool.waiting_handles:
            self._end_attempt(pool.waiting_handles.popleft(), AttemptResult(Status.CONNECT_FAILED))

    def start_attempt(self, spec: AttemptSpec) -> Deferred[AttemptResult]:
        """Begin an attempt and return a Deferred of its result, which never fails; cancelling it ends the attempt."""
        result_deferred: Deferred[AttemptResult] = Deferred(lambda _: self.abandon_attempt(handle, Status.CANCELLED))
        attempt = Attempt(spec, result_deferred)
        handle = self._attempts.add(attempt)
        pool = self._pools_by_id.get(spec.backend)
        if spec.deadline <= clock.now():
            self._end_attempt(handle, AttemptResult(Status.TIMEOUT))
        elif pool is None or pool.state is not READY:
            self._end_attempt(handle, AttemptResult(Status.CONNECT_FAILED))
        else:
            if spec.deadline < inf:
                attempt.timeout_call = self._deadlines.schedule(spec.deadline, self.on_deadline, handle)
            if connection := self._take_idle(pool):
                self._send_request(connection, handle)
            elif self.open_connections < self._max_connections or self._close_longest_idle():
                pool.waiting_handles.append(handle)
                self._dial(pool)
            else:
                log.emit_rate_limited(
                    LogKind.POOL,
                    f"attempt failed: all {self._max_connections} connections to backends are busy",
                    most=self._max_connections,
                )
                self._end_attempt(handle, AttemptResult(Status.CONNECT_FAILED))
        return result_deferred

    def _dial(self, pool: Pool) -> None:
        pool.dialing_count += 1
        self.open_connections += 1
        deadline = clock.now() + self._limits.connect_timeout
        connected = dial(self._reactor, self._deadlines, pool.address, deadline, lambda: Connection(self, pool))
        connected.addCallbacks(self._on_connected, self._on_connect_failed, errbackArgs=(pool,))

    def _on_connected(self, connection: Connection) -> None:
        connection.pool.dialing_count -= 1
        if not connection.closed:
            self._release(connection)

    def _on_connect_failed(self, failure: Failure, pool: Pool) -> None:
        pool.dialing_count -= 1
        self.open_connections -= 1
        log.emit_rate_limited(
            LogKind.CONNECT_FAILED, f"backend {pool.address}: {failure.getErrorMessage()}", address=pool.address
        )
        self._fail_unserved_attempt(pool)

    def _fail_unserved_attempt(self, pool: Pool) -> None:
        # A connection is opened for each waiting attempt, but an attempt may also be sent over another connection that
        # becomes idle first. An attempt fails only if more attempts wait than connections are being opened.
        if len(pool.waiting_handles) > pool.dialing_count:
            self._end_attempt(pool.waiting_handles.popleft(), AttemptResult(Status.CONNECT_FAILED))

    def _release(self, connection: Connection) -> None:
        pool = connection.pool
        # The state is checked again before a request is written, because the backend may have begun to drain.
        if pool.state is not READY or (self.is_closing_when_idle and not pool.waiting_handles):
            self._close(connection)
        elif not self._check_usable(connection):
            self._fail_unserved_attempt(pool)  # it may have been opened for an attempt that still waits
        else:
            self._serve_waiting(connection)

    def _serve_waiting(self, connection: Connection) -> None:
        # Sends the first waiting attempt that is still needed. Attempts before it have become useless while the
        # connection was opened.
        pool = connection.pool
        skipped_handles = list[int]()
        now = clock.now()
        while pool.waiting_handles:
            handle = pool.waiting_handles.popleft()
            attempt = self._attempts.get(handle)
            assert attempt is not None
            spec = attempt.spec
            if now < min(spec.deadline, spec.start_deadline) and spec.is_connected():
                self._send_request(connection, handle)
                break
            skipped_handles.append(handle)
        else:
            connection.last_activity_at = now
            pool.idle.append(connection)
        for handle in skipped_handles:  # the status MOOT does not count as a failure of the backend
            self._end_attempt(handle, AttemptResult(Status.MOOT))

    def _send_request(self, connection: Connection, handle: int) -> None:
        attempt = self._attempts.get(handle)
        assert attempt is not None
        call = attempt.spec.payload
        assert isinstance(call, Call)
        # After a stall of this process, an endpoint update may have been unread for longer than the grace period of a
        # backend that drains.
        if self._deadlines.is_stalled(clock.now()) and not self._recheck_before_send(connection, handle, attempt):
            return
        attempt.connection = connection
        connection.attempt_handle = handle
        connection.is_reply_started = False
        connection.reply_stream = None
        if call.body_stream is None:
            connection.write(call.encode(max(1, int((attempt.spec.deadline - clock.now()) * 1000.0))))
        else:
            self._streaming.send_body(connection, handle, attempt, call, call.body_stream)

    def _recheck_before_send(self, connection: Connection, handle: int, attempt: Attempt) -> bool:
        self._read_endpoint_updates()
        is_attempt_open = self._attempts.get(handle) is attempt
        if connection.pool.state is READY and is_attempt_open:
            return True
        self._close(connection)
        if self._attempts.get(handle) is attempt:
            self._end_attempt(handle, AttemptResult(Status.CONNECT_FAILED))
        return False

    def on_body_failed(self, connection: Connection, is_expired: bool) -> None:
        """End the attempt; the backend learns that the body is incomplete when its connection closes."""
        status = Status.CONNECT_FAILED if is_expired else Status.CANCELLED
        self.abandon_attempt(connection.attempt_handle, status)

    def on_long_value(self, connection: Connection, length: int) -> None:
        """Stream a long reply to the client; the deadline no longer applies after its first bytes."""
        self._streaming.begin_reply(connection, length)

    def on_reply(self, connection: Connection, result: AttemptResult, is_reusable: bool) -> None:
        """End the attempt in flight, after releasing its connection or closing one that can't be reused."""
        handle = connection.attempt_handle
        connection.attempt_handle = NO_ATTEMPT
        detach_streams(connection)
        if is_reusable:
            self._release(connection)
        else:
            self._close(connection)
        self._end_attempt(handle, result)

    def on_reply_started(self, connection: Connection) -> None:
        """Watch a reply that has begun; a reply that stalls is treated as malformed."""
        self._deadlines.schedule(clock.now() + REPLY_STALL_TIMEOUT, self._check_reply, connection.attempt_handle)

    def _check_reply(self, handle: int) -> None:
        attempt = self._attempts.get(handle)
        connection = None if attempt is None else attempt.connection
        if connection is None or not connection.is_reply_started:
            return
        reply_stream = connection.reply_stream
        now = clock.now()
        timeout = REPLY_STALL_TIMEOUT
        if reply_stream is not None:
            timeout = LONG_REPLY_TIMEOUT if connection.is_value_incomplete() else LONG_VALUE_TIMEOUT
        stalled_at = connection.last_activity_at + timeout
        if reply_stream is not None and reply_stream.is_paused:
            stalled_at = now + LONG_REPLY_TIMEOUT  # the client reads slowly, and the backend is not at fault
        if stalled_at <= now:
            connection.on_malformed("a reply stopped before its end")
        else:
            self._deadlines.schedule(min(stalled_at, now + LONG_VALUE_TIMEOUT), self._check_reply, handle)

    def on_malformed(self, connection: Connection) -> None:
        """End the attempt on a connection that was closed because malformed bytes arrived on it."""
        status = Status.ERROR if connection.is_request_sent() else Status.CONNECT_FAILED
        handle = self._detach_closed(connection)
        if handle >= 0:
            self._end_attempt(handle, AttemptResult(status))

    def on_connection_lost(self, connection: Connection) -> None:
        """End the attempt on a connection that the backend closed or reset."""
        status = Status.RESET if connection.is_request_sent() else Status.CONNECT_FAILED
        if attempt := self._attempts.get(connection.attempt_handle):
            address = connection.pool.address
            log.emit_rate_limited(
                LogKind.RESET,
                f"backend {address} closed a connection with an attempt in flight: {attempt.describe_progress()}",
                address=address,
                request=attempt.get_request_id(),
            )
        handle = self._detach_closed(connection)
        if handle >= 0:
            self._end_attempt(handle, AttemptResult(status))

    def _detach_closed(self, connection: Connection) -> int:
        # Returns the handle of the attempt that was in flight. Both callers determine its status before the call: a
        # request that was not completely written was never executed, and any other request may have been.
        handle = connection.attempt_handle
        connection.attempt_handle = NO_ATTEMPT
        self.open_connections -= 1
        detach_streams(connection)
        if handle < 0 and connection in connection.pool.idle:
            connection.pool.idle.remove(connection)
        return handle

    def on_deadline(self, handle: int) -> None:
        """End an attempt whose deadline has passed."""
        attempt = self._attempts.get(handle)
        if attempt is not None:
            is_sent = attempt.connection is not None and attempt.connection.is_request_sent()
            self.abandon_attempt(handle, Status.TIMEOUT if is_sent else Status.CONNECT_FAILED)

    def abandon_attempt(self, handle: int, status: Status) -> None:
        """End an attempt with a status before its reply is complete, and close its connection."""
        attempt = self._attempts.get(handle)
        if attempt is None:
            return
        connection = attempt.connection
        if connection is not None:  # the close shows the backend that nobody waits for the reply
            connection.attempt_handle = NO_ATTEMPT
            self._close(connection)
            detach_streams(connection)
        elif pool := self._pools_by_id.get(attempt.spec.backend):
            pool.waiting_handles.remove(handle)
        self._end_attempt(handle, AttemptResult(status))

    def _end_attempt(self, handle: int, result: AttemptResult) -> None:
        attempt = self._attempts.remove(handle)
        if attempt is not None:
            self._deadlines.cancel(attempt.timeout_call)
            attempt.result_deferred.callback(result)
