"""Writes the responses of a client connection in the order of its commands."""

from __future__ import annotations

import contextlib
import socket
from collections import deque

from thymeflow.core.types import Response, ResponseKind
from thymeflow.frontend import timeouts
from thymeflow.frontend.pipeline_slot import PipelineSlot, encode_response
from thymeflow.frontend.response_buffering import ResponseBuffering
from thymeflow.frontend.response_memory import ResponseMemory
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.transport.connections import WriteTrackingConnection
from thymeflow.transport.value_stream import ValueStream

MAX_WRITE_BYTES = 64 * 1024  # bytes after which no further response is added to one write


class ResponsePipeline(WriteTrackingConnection):
    """The responses of a client connection; a subclass reads the commands.

    The pipeline is the `value_stream.Sink` of the streamed response that is being written.
    """

    def __init__(self, memory: ResponseMemory, deadlines: clock.Deadlines) -> None:
        self._memory = memory
        self._buffering = ResponseBuffering(memory, deadlines)
        self._slots: deque[PipelineSlot] = deque()
        self._last_activity_at = 0.0  # time at which bytes were last received, written or taken by the client's machine
        self._idle_since = 0.0  # time of the last command or last response
        self._unacknowledged_bytes = 0  # as last counted by `_close_after_delivery`
        self._pending_bytes = 0  # bytes of responses that wait for earlier responses or for the client to read
        self._is_closing = False  # the connection is closed once every command is answered
        self._is_cancelled = False  # the commands were cancelled, because no response can be written any more
        self._is_lost = False  # the connection has ended, and its transport has no socket any more
        self._is_write_closed = False  # all responses are written and the write side is closed; input is discarded
        self._is_reset_due = False  # commands stay unread, so that the connection is reset once all is delivered

    def _update_reading(self) -> None:
        """Read from the client or pause reading, depending on the capacity of the pipeline."""
        raise NotImplementedError

    def _on_idle(self) -> None:
        """Handle the moment at which all responses have been written."""
        raise NotImplementedError

    def _has_input(self) -> bool:
        """Return whether the client has sent bytes that are not executed yet, read or unread."""
        raise NotImplementedError

    def resumeProducing(self) -> None:
        """Continue to write, because all written bytes have gone to the kernel."""
        super().resumeProducing()
        self._last_activity_at = clock.now()
        self._recount_pending()
        if self._slots and self._slots[0].is_started and self._slots[0].response_stream is not None:
            self._slots[0].response_stream.resume()
        self._flush()

    def _add_pending(self, change: int) -> None:
        self._pending_bytes += change
        self._memory.used_bytes += change

    def _recount_pending(self) -> None:
        # If all written bytes have gone to the kernel, only responses that wait for earlier responses count.
        if self.flushed:
            waiting_bytes = sum(len(slot.response or b"") for slot in self._slots if not slot.is_started)
            self._add_pending(waiting_bytes - self._pending_bytes)

    def _reply(self, encoded: bytes, *, can_merge: bool = True) -> None:
        # Replies that follow each other share a slot, because a client may send very many commands that are answered at
        # once, behind a request that is not.
        self._add_pending(len(encoded))
        if not (can_merge and self._slots and self._slots[-1].try_append(encoded)):
            self._slots.append(PipelineSlot(encoded))

    def _store_response(self, slot: PipelineSlot, response: Response) -> None:
        slot.response = encode_response(response)
        slot.response_stream = response.stream
        slot.response_received_at = clock.now()
        self._add_pending(len(slot.response))
        if response.stream is not None and len(self._slots) > 1:
            self._buffering.begin(slot, response.stream, self._flush)

    def _has_commands_behind(self) -> bool:
        # Returns whether the client has sent commands behind the first open one.
        return len(self._slots) > 1 or self._has_input()

    def _can_break_off(self) -> bool:
        # Returns whether a response is on its way, or will be, whose early end would close the connection.
        slots = self._slots
        return bool(slots) and slots[0].response_stream is not None and slots[0].can_break_off()

    def _flush(self) -> None:
        if self._is_lost:
            return
        stream: ValueStream | None = None
        while self._slots and self.flushed and stream is None and self._is_head_ready():
            stream = self._write_ready_responses()
        if self._pending_bytes:
            self._recount_pending()
        if stream is not None:
            stream.attach(self)  # may write the whole value and call this method again through `end`
            if self._can_break_off():
                self._update_reading()
        elif self._is_closing and not self._slots and not self._is_write_closed:
            self._close_write_side()
        else:
            self._update_reading()
            if not self._slots and self.flushed and not self._is_closing:
                self._on_idle()

    def _is_head_ready(self) -> bool:
        # Returns whether the response of the first slot, or the head of a streamed one, is to be written now.
        slot = self._slots[0]
        if not slot.is_ready():
            return False
        if slot.response_stream is None:
            return True
        if not slot.response_stream.can_complete():
            self._fail_lost_response(slot, slot.response_stream)
            return True
        return not (self._has_commands_behind() and self._buffering.is_held_back(slot, self._flush))

    def _write_ready_responses(self) -> ValueStream | None:
        # Writes the first response, which is ready, and others behind it up to the head of a streamed one, whose stream
        # is returned. What one write doesn't take stays in the pipeline until the client has read more.
        slots = self._slots
        ready: list[bytes | bytearray] = []
        ready_bytes = 0
        while True:
            slot = slots[0]
            response = slot.response or b""
            ready.append(response)
            ready_bytes += len(response)
            stream = slot.response_stream
            if stream is not None:
                slot.is_started = True
                self.shrink_buffers()
                break
            slots.popleft()
            if not slots or ready_bytes >= MAX_WRITE_BYTES or not self._is_head_ready():
                break
        self._last_activity_at = clock.now()
        self.write(b"".join(ready))
        if not self._slots:
            self._idle_since = self._last_activity_at
        return stream

    def fail_waiting_responses(self) -> int:
        """Answer requests `-ERR failed` until the shared memory is within its bound, the newest responses first.

        Return the number of these requests. Nothing was written of their responses, which wait for earlier ones or for
        the client to read.
        """
        failed_count = 0
        failure = encode_response(Response(ResponseKind.FAILED))
        for slot in reversed(self._slots):
            if not self._memory.is_exceeded():
                break
            if slot.can_be_replaced() and len(slot.response or b"") > len(failure):
                self._add_pending(len(failure) - len(slot.response or b""))
                slot.response = failure
                failed_count += 1
        return failed_count

    def _fail_lost_response(self, slot: PipelineSlot, stream: ValueStream) -> None:
        # Replaces a long response whose backend was lost while earlier responses were awaited. The client has no byte
        # of it, so that the connection can stay open for the responses to the commands after it.
        log.emit_rate_limited(
            LogKind.CUT_SHORT, "a long response failed: its backend was lost before a byte of it was written"
        )
        failure = encode_response(Response(ResponseKind.FAILED))
        self._add_pending(len(failure) - len(slot.response or b""))
        slot.response = failure
        slot.response_stream = None
        self._buffering.end(slot)
        stream.abandon()

    # The methods of `value_stream.Sink`, for the streamed response that is being written.

    def write_chunk(self, data: bytes) -> None:
        """Write the next bytes of the response."""
        self._last_activity_at = clock.now()
        self.write(data)

    def end(self) -> None:
        """Terminate the complete value, and continue with the next response."""
        self.write(b"\r\n")
        self._buffering.end(self._slots.popleft())
        self._idle_since = clock.now()
        self._flush()

    def on_broken(self) -> None:
        """Close the connection, which shows the client that the value is incomplete."""
        unanswered_count = len(self._slots) - 1
        request_id = self._slots[0].get_request_id()
        stream = self._slots[0].response_stream
        written = "" if stream is None else f" after {stream.count_forwarded_bytes()} of {stream.length} bytes"
        log.emit_rate_limited(
            LogKind.CUT_SHORT,
            f"a client's connection was closed: its long response ended early{written} (request {request_id}), "
            f"and {unanswered_count} commands after it are not answered",
            unanswered=unanswered_count,
            request=request_id,
        )
        self._is_closing = True
        self._cancel_slots()
        # A reset shows the client that its next commands were not read, so that it can send them again.
        self._is_reset_due = self.count_received_bytes() > 0
        self._close_write_side()

    def _close_write_side(self) -> None:
        # Lingering close. Closing a connection with unread bytes would reset it, and the client would lose responses
        # that it has not read. Commands that arrive from now on were sent before the client saw the close. They are not
        # executed, and the client can send them again elsewhere.
        if self.flushed and not self._is_write_closed:
            self._is_write_closed = True
            self._idle_since = clock.now()
            if not self._is_reset_due:
                with contextlib.suppress(OSError):
                    self.transport.getHandle().shutdown(socket.SHUT_WR)
            self._update_reading()

    def has_undelivered_bytes(self) -> bool:
        """Return whether written bytes have not arrived at the client's machine, so that a close would discard them."""
        return not self.flushed or self.count_unacknowledged_bytes() > 0

    def is_delivering(self, now: float) -> bool:
        """Return whether a response that has begun is still on its way, and bytes of it moved a short time ago."""
        seconds_still = now - self._last_activity_at
        if self.has_undelivered_bytes():
            return seconds_still < timeouts.READ_STALL_SECONDS
        is_unfinished = bool(self._slots) and self._slots[0].is_started
        return is_unfinished and seconds_still < timeouts.REPLY_STALL_SECONDS

    def _close_after_delivery(self, now: float) -> None:
        # Closes a connection whose client's machine has taken all bytes and had time to close its side, or has taken
        # none for too long. What the kernel has accepted may still have to wait for a client that reads slowly.
        unacknowledged_bytes = self.count_unacknowledged_bytes()
        if unacknowledged_bytes != self._unacknowledged_bytes:
            self._unacknowledged_bytes = unacknowledged_bytes
            self._last_activity_at = now
        if unacknowledged_bytes or not self.flushed:
            if now - self._last_activity_at > timeouts.WRITE_STALL_TIMEOUT:
                log.emit_rate_limited(
                    LogKind.CUT_SHORT,
                    "a client's connection was closed: the client took no byte of its response for "
                    f"{timeouts.WRITE_STALL_TIMEOUT:g} s",
                )
                self.transport.abortConnection()
        elif self._is_reset_due:
            if now - max(self._last_activity_at, self._idle_since) > timeouts.RESET_GRACE:
                self.transport.abortConnection()
        elif now - max(self._last_activity_at, self._idle_since) > timeouts.LINGER_TIMEOUT:
            # Not aborted, because a reset can discard bytes that have arrived and that the client has not read.
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def finish(self) -> None:
        """Accept no more commands, and close the connection once every accepted command is answered."""
        if not self._is_closing:
            self._is_closing = True
            self._update_reading()
            self._flush()

    def _cancel_slots(self) -> None:
        # Cancels all commands in the pipeline, because no response can be sent any more.
        self._is_cancelled = True
        slots = self._slots
        self._slots = deque()
        self._add_pending(-self._pending_bytes)
        for slot in slots:
            self._buffering.end(slot)
            if slot.response_deferred is not None and slot.response is None:
                slot.response_deferred.cancel()
            elif slot.response_stream is not None:
                slot.response_stream.abandon()
            if slot.request_body is not None:  # its end could bring a response that nobody would count out
                slot.request_body.cancel()
