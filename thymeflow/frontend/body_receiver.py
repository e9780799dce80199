"""Receives one long request body from a client and streams it to a backend.

The response to the request is held back until the body is complete.
"""

from __future__ import annotations

from collections.abc import Callable

from thymeflow.frontend.pipeline_slot import PipelineSlot
from thymeflow.transport.value_stream import ValueStream


class BodyReceiver:
    """Receives the body of a connection's request; a connection receives one body at a time."""

    __slots__ = ("is_blocked", "slot")

    def __init__(self) -> None:
        self.slot: PipelineSlot | None = None  # the request whose body is being received
        self.is_blocked = False  # the reader of the body has no capacity for more bytes

    def build_body_stream(self, length: int, on_pause_changed: Callable[[], None]) -> ValueStream:
        """Return the stream of a body that is about to arrive.

        `on_pause_changed` is called when the reader of the body gains or loses the capacity for more bytes. This object
        keeps no reference to it, because a connection that refers to itself would stay in memory until the garbage
        collector finds it.
        """

        def set_blocked(is_blocked: bool) -> None:
            """Record whether the reader has no capacity, and report the change."""
            self.is_blocked = is_blocked and self.slot is not None
            on_pause_changed()

        return ValueStream(length, set_blocked, lambda: None)

    def begin(self, slot: PipelineSlot, body: ValueStream) -> None:
        """Begin to receive a body, which is discarded if its request has been answered already."""
        slot.body = body
        self.slot = slot
        if slot.response is not None:
            body.discard()

    def push(self, data: bytes) -> None:
        """Forward the next bytes of the body to its reader."""
        if self.slot is not None and self.slot.body is not None:
            self.slot.body.push(data)

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
        body.fail()
