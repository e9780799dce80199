"""Receives a long response with commands behind it completely before its first byte is written.

One that breaks off after its first byte can only be shown to the client by closing the connection, which takes the
responses behind it along.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from thymeflow.frontend.pipeline_slot import PipelineSlot
from thymeflow.frontend.response_memory import ResponseMemory
from thymeflow.runtime import clock
from thymeflow.transport.value_stream import ValueStream

# A response is held back for no more than this number of seconds, and no more than this fraction of the time that the
# client still waited when the response began to arrive. Its wait for earlier responses does not count.
MAX_BUFFERING_SECONDS = 1.9  # the protocol allows 2 s
MAX_BUFFERING_FRACTION = 0.95


class ResponseBuffering:
    """Buffers the long responses of one connection, within the memory that all connections share.

    The callbacks are passed with each call: a connection that refers to itself would stay in memory until the garbage
    collector finds it.
    """

    __slots__ = ("_deadlines", "_memory")

    def __init__(self, memory: ResponseMemory, deadlines: clock.Deadlines) -> None:
        self._memory = memory
        self._deadlines = deadlines

    def begin(self, slot: PipelineSlot, stream: ValueStream, on_change: Callable[[], None]) -> None:
        """Buffer the response from now on, if there is memory for it and that has not begun.

        `on_change` is called once, when the response is complete or broken.
        """
        if not slot.reserved_bytes and self._memory.reserve(stream.length):
            slot.reserved_bytes = stream.length
            stream.prefetch(on_change)

    def is_held_back(self, slot: PipelineSlot, on_change: Callable[[], None]) -> bool:
        """Return whether a response with commands behind it, whose turn has come, waits for its end or for memory.

        `on_change` is called when that may be over; while memory is awaited, this has to be asked from time to time.
        """
        stream = slot.response_stream
        if stream is None or stream.has_arrived() or not self._memory.can_ever_reserve(stream.length):
            return False
        now = clock.now()
        if slot.buffering_deadline == inf:
            seconds_left = slot.deadline - slot.response_received_at
            slot.buffering_deadline = now + min(MAX_BUFFERING_SECONDS, MAX_BUFFERING_FRACTION * seconds_left)
            slot.buffering_timer = self._deadlines.schedule(slot.buffering_deadline, lambda _: on_change())
        self.begin(slot, stream, on_change)
        return now < slot.buffering_deadline and not stream.has_arrived()

    def end(self, slot: PipelineSlot) -> None:
        """Release the memory and the timer of a response that is written or was given up."""
        self._deadlines.cancel(slot.buffering_timer)
        self._memory.release(slot.reserved_bytes)
        slot.reserved_bytes = 0
