"""A connection to a backend, which carries one attempt at a time, and the pool that it belongs to."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from thymeflow.backends.replies import parse_attempt_result
from thymeflow.core.types import AttemptResult
from thymeflow.decision.types import Backend, Status
from thymeflow.platform.endpoints import Address
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.transport import resp
from thymeflow.transport.connections import RespConnection
from thymeflow.transport.value_stream import ValueStream

COMPLETE_REPLY_TYPES = (list, resp.ErrorReply)  # the types of replies without a long value
NO_ATTEMPT = -1  # the handle that stands for no attempt


class ConnectionOwner(Protocol):
    """Receives the events of a connection."""

    def on_reply(self, connection: Connection, result: AttemptResult, is_reusable: bool) -> None:
        """Receive the result of the attempt in flight; the connection can be reused if `is_reusable` is set."""

    def on_reply_started(self, connection: Connection) -> None:
        """Handle the arrival of the first bytes of a reply that is incomplete."""

    def on_long_value(self, connection: Connection, length: int) -> None:
        """Handle the start of a reply with a streamed value of `length` bytes."""

    def on_body_failed(self, connection: Connection, is_expired: bool) -> None:
        """End the attempt in flight, whose body will not be completed; `is_expired`: the backend was too slow."""

    def on_malformed(self, connection: Connection) -> None:
        """Handle a connection that was closed because malformed bytes arrived on it."""

    def on_connection_lost(self, connection: Connection) -> None:
        """Handle a connection that the backend closed or reset."""


class Pool:
    """The connections to one backend, and the attempts that wait for a connection."""

    __slots__ = ("address", "dialing_count", "id", "idle", "started", "state", "waiting_handles")

    def __init__(self, backend: Backend, address: Address) -> None:
        self.id = backend.id
        self.address = address
        self.state = backend.state
        self.started = backend.started  # the start time of the backend's process, in seconds
        self.idle: list[Connection] = []  # the most recently used connection is last
        self.waiting_handles: deque[int] = deque()  # handles of the attempts for which a connection is being opened
        self.dialing_count = 0  # connections being opened


class Connection(RespConnection):
    """A connection to a backend; also the sink of a streamed request body, see `transport.value_stream.Sink`."""

    def __init__(self, owner: ConnectionOwner, pool: Pool) -> None:
        super().__init__(resp.MAX_LONG_VALUE)
        self.owner = owner
        self.pool = pool
        self.attempt_handle = NO_ATTEMPT  # the handle of the attempt in flight
        # The time at which the connection became idle, or at which bytes of a long body or of a reply last moved.
        self.last_activity_at = 0.0
        self.is_reply_started = False  # the first bytes of a reply have arrived
        self.reply_stream: ValueStream | None = None  # the long value of a reply that is being streamed
        self.body_stream: ValueStream | None = None  # a streamed request body that is not completely written

    def is_request_sent(self) -> bool:
        """Return whether the last byte of the request has gone to the kernel, so that it may be executed."""
        return self.flushed and self.body_stream is None

    def is_long_value_lost(self) -> bool:
        """Return whether the backend has closed the connection, and the rest of a long value has not arrived before."""
        missing_bytes = self._parser.missing_value_bytes()
        return missing_bytes > 0 and self.has_peer_closed() and self.count_received_bytes() < missing_bytes

    def is_value_incomplete(self) -> bool:
        """Return whether bytes of a long value are missing, and not just its terminator or the items after it."""
        return self._parser.missing_value_bytes() > len(resp.LINE_END)

    def resumeProducing(self) -> None:
        """Write more of a streamed body, because the buffer has gone to the kernel."""
        super().resumeProducing()
        if self.body_stream is not None:
            self.body_stream.resume()

    def dataReceived(self, data: bytes) -> None:
        """Parse all bytes that have arrived, which may be more than the reply, before the connection is reused."""
        events, fault = self._parser.feed(data)
        if self.closed:
            return
        if self.attempt_handle < 0:
            self.on_malformed("bytes arrived although no request was sent")
            return
        self.last_activity_at = clock.now()
        if len(events) == 1 and type(events[0]) in COMPLETE_REPLY_TYPES:  # the common case
            self._handle_reply(events.pop(), events, fault)
        else:
            self._handle_events(events, fault)

    def _handle_events(self, events: list[resp.Event], fault: str) -> None:
        while events:
            event = events.pop(0)
            if isinstance(event, resp.LongValueBegin):
                self._begin_long_value(event)
            elif isinstance(event, resp.LongValueChunk) and self.reply_stream is not None:
                self.reply_stream.push(event.data)
            elif isinstance(event, resp.LongValueEnd) and self.reply_stream is not None:
                self.reply_stream.finish()
            else:
                self._handle_reply(event, events, fault)
                return
            if self.closed:
                return
        if fault:
            self.on_malformed(fault)
        elif not self.is_reply_started:
            self.is_reply_started = True
            self.owner.on_reply_started(self)

    def _begin_long_value(self, event: resp.LongValueBegin) -> None:
        if event.leading_items or event.trailing_count != 2 or self.body_stream is not None:
            self.on_malformed("a long value is not the first of three items, or precedes the end of the request body")
        elif self.is_long_value_lost():
            # No byte of it has been forwarded, so that the attempt ends like any other whose connection is lost.
            self.abort_connection()
            self.on_lost()
        else:
            self.owner.on_long_value(self, event.length)

    def _handle_reply(self, event: resp.Event, trailing: list[resp.Event], fault: str) -> None:
        is_long = isinstance(event, resp.LongValueArrayEnd)
        result = parse_attempt_result(
            [b"", *event.trailing_items] if isinstance(event, resp.LongValueArrayEnd) else event
        )
        if result is None or (self.body_stream is not None and result.status is Status.OK):
            self.on_malformed(f"the reply is not valid: {str(event)[:60]}")
            return
        # Bytes after the reply are a duplicate or invalid. If the connection were reused, the next attempt would
        # receive them as its reply.
        is_clean = not trailing and not fault and not self._parser.buffered_bytes()
        if not is_clean:
            log.emit_rate_limited(
                LogKind.BACKEND_REPLY_MALFORMED,
                f"connection to backend {self.pool.address} closed: bytes after the reply",
            )
        if is_long:
            self.reply_stream = None
        self.owner.on_reply(self, result, is_clean and self.body_stream is None)

    def write_chunk(self, data: bytes) -> None:
        """Write the next bytes of the body."""
        self.last_activity_at = clock.now()
        self.write(data)

    def end(self) -> None:
        """Terminate the body; from now on the request may be executed, and the sender waits for the reply."""
        self.write(b"\r\n")
        self.body_stream = None

    def on_broken(self) -> None:
        """End the attempt, whose body stays incomplete so that the request is never executed."""
        is_expired = self.body_stream is not None and self.body_stream.is_expired
        self.owner.on_body_failed(self, is_expired)

    def on_malformed(self, fault: str) -> None:
        """Close the connection; the request in flight may have been executed, and its reply is unknown."""
        log.emit_rate_limited(
            LogKind.BACKEND_REPLY_MALFORMED,
            f"connection to backend {self.pool.address} closed: {fault}",
            address=self.pool.address,
        )
        self.abort_connection()
        self.owner.on_malformed(self)

    def on_lost(self) -> None:
        """Report that the backend closed or reset the connection."""
        self.owner.on_connection_lost(self)
