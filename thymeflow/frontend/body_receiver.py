"""Receives one long request body from a client and streams it to a backend.

The body is read as fast as the client writes it, because the time of a request begins when its client has written the
last byte. What the backend has not taken is buffered in a memory that all bodies share. Only while that memory is used
up is the client not read from. The time of the request counts as begun while bytes of the body wait unread, because
the client's last byte may be among them or behind them at its machine.

The response to the request is held back until the body is complete.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from thymeflow.frontend.pipeline_slot import PipelineSlot
from thymeflow.frontend.read_pace import RESUME_SECONDS
from thymeflow.runtime import clock
from thymeflow.transport.value_stream import BufferMemory, ValueStream


class BodyReceiver:
    """Receives the body of a connection's request; a connection receives one body at a time."""

    __slots__ = ("_last_byte_at", "_resumed_at", "_unread_since", "is_blocked", "slot")

    def __init__(self) -> None:
        self.slot: PipelineSlot | None = None  # the request whose body is being received
        self.is_blocked = False  # the reader of the body has no capacity for more bytes
        self._last_byte_at = inf  # time since which the last byte is known to be at this machine
        self._resumed_at = -inf  # time at which the reader last regained capacity
        self._unread_since = inf  # time since which the last byte may wait unread at the client's machine

    def build_body_stream(self, length: int, on_pause_changed: Callable[[], None], memory: BufferMemory) -> ValueStream:
        """Return the stream of a body that is about to arrive.

        `on_pause_changed` is called when the reader of the body gains or loses the capacity for more bytes. This object
        keeps no reference to it, because a connection that refers to itself would stay in memory until the garbage
        collector finds it.
        """

        def set_blocked(is_blocked: bool) -> None:
            """Record whether the reader has no capacity, and report the change."""
            self.is_blocked = is_blocked and self.slot is not None
            if self.is_blocked:
                self._unread_since = min(self._unread_since, clock.now())
            else:
                self._resumed_at = clock.now()
            on_pause_changed()

        return ValueStream(length, set_blocked, lambda: None, memory=memory)

    def begin(self, slot: PipelineSlot, body: ValueStream) -> None:
        """Begin to receive a body, which is discarded if its request has been answered already."""
        slot.body = body
        self.slot = slot
        self._last_byte_at = inf
        self._unread_since = inf
        if slot.response is not None:
            body.discard()

    def push(self, data: bytes) -> None:
        """Forward the next bytes of the body to its reader."""
        if self.slot is not None and self.slot.body is not None:
            self.slot.body.push(data)

    def record_all_read(self, now: float) -> None:
        """Record that nothing of the incomplete body waits unread, so that its client has not written the last byte.

        It may still wait at the client's machine for a moment after reading was resumed.
        """
        if not self.is_blocked and now - self._resumed_at > RESUME_SECONDS:
            self._unread_since = inf

    def record_unread(self, moment: float) -> None:
        """Record that more bytes wait unread, because the client writes faster than this process reads."""
        self._unread_since = min(self._unread_since, moment)

    def record_last_byte(self, moment: float) -> None:
        """Record that the last byte of the body has arrived at this machine by this time, though it is not read."""
        self._last_byte_at = min(self._last_byte_at, moment)

    def find_earliest_end(self, moment: float) -> float:
        """Return the earliest time at which the client can have written the last byte, at most `moment`."""
        return min(moment, self._last_byte_at, self._unread_since)

    def resume(self) -> None:
        """Continue to read if the memory that all bodies share has capacity again."""
        if self.slot is not None and self.slot.body is not None:
            self.slot.body.resume()

    def expire(self, now: float) -> bool:
        """End the request's attempt if its time may be over though the body is not read; return whether it was."""
        slot = self.slot
        if slot is None or slot.body is None or slot.request is None or slot.response is not None:
            return False
        if now < self.find_earliest_end(inf) + slot.request.remaining:
            return False
        slot.body.expire()
        return True

    def detach(self) -> ValueStream:
        """Return the body and stop receiving it: the response to its request is no longer held back for it."""
        slot = self.slot
        assert slot is not None
        body = slot.body
        assert body is not None
        self.slot = None
        self.is_blocked = False
        slot.body = None
        return body

    def fail(self) -> None:
        """End a body whose remaining bytes will not arrive, so that the backend connection does not wait for them."""
        slot = self.slot
        if slot is None:
            return
        body = self.detach()
        if slot.response_deferred is not None and slot.response is None:
            slot.response_deferred.cancel()
            slot.response = b""
        body.cancel()
