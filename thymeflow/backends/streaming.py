"""Streams long request bodies and long replies in chunks between a client and a backend."""

from __future__ import annotations

from math import inf
from typing import Protocol

from thymeflow.backends.attempts import Attempt
from thymeflow.backends.connections import Connection
from thymeflow.decision.types import Status
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.runtime.slot_table import SlotTable
from thymeflow.transport.commands import Call
from thymeflow.transport.value_stream import ValueStream

# Seconds after which a streamed body is abandoned of which the backend reads no byte, and a streamed reply of which
# only the end is missing.
LONG_VALUE_TIMEOUT = 5.0
# Seconds without a new byte after which an incomplete streamed reply is abandoned. It is long, because a backend that
# hung for a while would go on, and the client has no other response to expect.
LONG_REPLY_TIMEOUT = 30.0


class AttemptOwner(Protocol):
    """Ends attempts."""

    def on_deadline(self, handle: int) -> None:
        """End an attempt whose deadline has passed."""

    def abandon_attempt(self, handle: int, status: Status) -> None:
        """End an attempt with a status before its reply is complete, and close its connection."""


class ValueStreaming:
    """Attaches long values to connections, and ends attempts whose long values make no progress."""

    def __init__(self, deadlines: clock.Deadlines, attempts: SlotTable[Attempt], owner: AttemptOwner) -> None:
        self._deadlines = deadlines
        self._attempts = attempts
        self._owner = owner

    def send_body(self, connection: Connection, handle: int, attempt: Attempt, call: Call, body: ValueStream) -> None:
        """Write the head of a request, and its body as it arrives from the client.

        The time of the request begins with the last byte of its body.
        """
        connection.body_stream = body
        connection.shrink_buffers()
        connection.last_activity_at = clock.now()
        self._deadlines.schedule(connection.last_activity_at + LONG_VALUE_TIMEOUT, self._check_body, handle)
        body.set_on_complete(lambda: self._on_body_received(handle, body.deadline))
        attempt.spec.on_response_started(None)
        is_time_running = body.deadline < inf
        wait_ms = int((body.deadline - clock.now()) * 1000.0) if is_time_running else call.wait_ms
        connection.write(call.encode(max(1, wait_ms)))
        body.attach(connection)

    def _on_body_received(self, handle: int, deadline: float) -> None:
        # The body has arrived completely from the client, so that the deadline of the request applies from now on.
        attempt = self._attempts.get(handle)
        if attempt is not None:
            attempt.timeout_call = self._deadlines.schedule(deadline, self._owner.on_deadline, handle)

    def _check_body(self, handle: int) -> None:
        # Ends the attempt if the backend has stopped reading without closing its connection, so that neither the client
        # nor the connection waits for ever.
        attempt = self._attempts.get(handle)
        connection = None if attempt is None else attempt.connection
        if attempt is None or connection is None or connection.body_stream is None:
            return
        now = clock.now()
        waiting_since = now if connection.flushed else connection.last_activity_at
        timeout_at = waiting_since + LONG_VALUE_TIMEOUT
        if timeout_at > now:
            self._deadlines.schedule(timeout_at, self._check_body, handle)
        else:
            address = connection.pool.address
            log.emit_rate_limited(
                LogKind.BODY_STUCK,
                f"backend {address} read no byte of the request body for {LONG_VALUE_TIMEOUT:g} s; "
                f"the attempt was abandoned: {attempt.describe_progress()}",
                address=address,
                request=attempt.get_request_id(),
            )
            self._owner.abandon_attempt(handle, Status.CONNECT_FAILED)

    def begin_reply(self, connection: Connection, length: int) -> None:
        """Stream a long reply to the client; the deadline no longer applies after its first bytes."""
        handle = connection.attempt_handle
        transport = connection.transport
        attempt = self._attempts.get(handle)
        assert attempt is not None
        self._deadlines.cancel(attempt.timeout_call)

        def set_paused(is_paused: bool) -> None:
            """Pause or resume reading from the backend."""
            if is_paused:
                transport.pauseProducing()
            else:
                connection.last_activity_at = clock.now()  # no byte could arrive while reading was paused
                transport.resumeProducing()

        def end_attempt_if_lost() -> None:
            """End the attempt if the backend has ended its connection, which is not seen while reading is paused."""
            if connection.is_long_value_lost():
                self._owner.abandon_attempt(handle, Status.RESET)

        connection.shrink_buffers()
        reply = ValueStream(
            length,
            set_paused,
            lambda: self._owner.abandon_attempt(handle, Status.CANCELLED),
            end_attempt_if_lost,
        )
        connection.reply_stream = reply
        if not attempt.spec.on_response_started(reply):
            self._owner.abandon_attempt(handle, Status.CANCELLED)


def detach_streams(connection: Connection) -> None:
    """Detach the streams of an attempt that has ended.

    The remaining bytes of a request body are discarded. The remaining bytes of a reply will not arrive, so that its
    stream fails.
    """
    body = connection.body_stream
    reply = connection.reply_stream
    connection.body_stream = None
    connection.reply_stream = None
    if body is not None:
        body.discard()
    if reply is not None:
        reply.fail()
