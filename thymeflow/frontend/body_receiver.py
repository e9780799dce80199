"""The long request body that a client is sending: streamed to a backend, while its request waits for its end."""

from __future__ import annotations

from collections.abc import Callable

from thymeflow.frontend.pipeline import PipelineSlot
from thymeflow.transport.value_stream import ValueStream


class BodyReceiver:
    """The one body that a connection receives at a time."""

    __slots__ = ("is_blocked", "slot")

    def __init__(self) -> None:
        self.slot: PipelineSlot | None = None  # of the request whose body is being received
        self.is_blocked = False  # the reader of the body has no capacity

    def build_flow(self, length: int, on_paced: Callable[[], None]) -> ValueStream:
        """Return the flow of a body that is about to arrive.

        `on_paced` is called when the reader of the body gets or loses the capacity for more. It is not kept here: a
        connection that refers to itself would stay in memory until the garbage collector finds it.
        """

        def set_blocked(is_blocked: bool) -> None:
            """Note whether the reader has capacity."""
            self.is_blocked = is_blocked and self.slot is not None
            on_paced()

        return ValueStream(length, set_blocked, lambda: None)

    def begin(self, slot: PipelineSlot, body: ValueStream) -> None:
        """Receive a body from now on; it is discarded where its request is answered already."""
        slot.body = body
        self.slot = slot
        if slot.response is not None:
            body.discard()

    def push(self, data: bytes) -> None:
        """Forward the next bytes."""
        if self.slot is not None and self.slot.body is not None:
            self.slot.body.push(data)

    def detach(self) -> ValueStream:
        """Return the body, whose last byte has come; its request waits for it no longer."""
        slot = self.slot
        assert slot is not None
        body = slot.body
        assert body is not None
        self.slot = None
        self.is_blocked = False
        slot.body = None
        return body

    def fail(self) -> None:
        """Break off a body whose rest will not come: the backend connection must not wait for it."""
        slot = self.slot
        if slot is None:
            return
        body = self.detach()
        if slot.response_deferred is not None and slot.response is None:
            slot.response_deferred.cancel()
            slot.response = b""
        body.fail()
