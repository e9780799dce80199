"""Passes one long value from a source to a sink, one chunk at a time and without I/O.

The value is a request body or a response. The source pushes each chunk that has arrived and can be paused. The sink
writes chunks, and its `flushed` shows whether its buffer has gone to the kernel. Bytes that the sink has no capacity
for are buffered here, and the source is paused until the sink has written them. A stream with a `BufferMemory` pauses
its source only when that memory is used up.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Protocol

# Bytes read at a time from a connection that brings a long response, and written at a time to every sink.
CHUNK_BYTES = 32 * 1024


class Sink(Protocol):
    """The receiver of a long value."""

    flushed: bool

    def write_chunk(self, data: bytes) -> None:
        """Write the next bytes of the value."""

    def end(self) -> None:
        """Terminate the value, which is complete and completely written."""

    def on_broken(self) -> None:
        """Abandon the value, because its remaining bytes will not arrive."""


class NullSink:
    """Discards a value that has no reader, so that the next message can be read from the source's connection."""

    flushed = True

    def write_chunk(self, data: bytes) -> None:
        """Discard the bytes."""

    def end(self) -> None:
        """Do nothing."""

    def on_broken(self) -> None:
        """Do nothing."""


NULL_SINK = NullSink()


def _do_nothing() -> None:
    """Do nothing; the default of callbacks."""


class BufferMemory:
    """Counts the bytes that several streams buffer, against one bound that they may exceed by a chunk each."""

    __slots__ = ("max_bytes", "used_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.used_bytes = 0
        self.max_bytes = max_bytes

    def set_max_bytes(self, max_bytes: int) -> None:
        """Set the bound that applies to bytes buffered from now on."""
        self.max_bytes = max_bytes

    def has_capacity(self) -> bool:
        """Return whether a stream may buffer more bytes."""
        return self.used_bytes < self.max_bytes


class ValueStream:
    """A value of a known length in bytes, while it is in transit.

    `on_pause_changed` is called at each change, with whether the source must pause. `on_abandoned` is called once if
    the sink ends before the value is complete. `check_source` is called before the first byte is written, and calls
    `fail` if the source has ended unnoticed while it was paused.
    """

    def __init__(
        self,
        length: int,
        on_pause_changed: Callable[[bool], None],
        on_abandoned: Callable[[], None],
        check_source: Callable[[], None] = _do_nothing,
        memory: BufferMemory | None = None,
    ) -> None:
        self.length = length
        self.deadline = inf  # the time until which the sender of a complete body waits for the response
        self.is_done = False  # the value is complete, broken or abandoned, and the sink has been notified
        self.is_expired = False  # the value was ended by `expire`
        self.is_paused = False  # the source is paused
        self._on_pause_changed = on_pause_changed
        self._on_abandoned = on_abandoned
        self._check_source = check_source
        self.arrived_bytes = 0
        self._buffer = bytearray()  # bytes that have arrived and are not written to the sink
        self._memory = memory
        self._is_ended = False
        self._is_broken = False
        self._is_prefetching = False  # the source is not paused, and the value is buffered completely if need be
        self._on_complete: Callable[[], None] = _do_nothing
        self._on_arrived: Callable[[], None] = _do_nothing
        self._sink: Sink | None = None

    # Methods for the source.

    def push(self, data: bytes) -> None:
        """Accept the next bytes from the source; they are discarded if the value has no reader any more."""
        self.arrived_bytes += len(data)
        if self.is_done:
            return
        if self._sink is not None and self._sink.flushed and not self._buffer and len(data) <= CHUNK_BYTES:
            self._sink.write_chunk(data)
        else:
            self._buffer += data
            self._count_memory(len(data))
        self.resume()

    def finish(self) -> None:
        """Mark the value as complete: all of its bytes have arrived from the source."""
        self._is_ended = True
        self._on_complete()
        self.resume()
        self._notify_arrived()

    def fail(self) -> None:
        """Mark the value as broken: no more bytes will arrive. Bytes that have arrived are still forwarded."""
        if not self._is_ended:
            self._is_ended = True
            self._is_broken = True
            self.resume()
            self._notify_arrived()

    def expire(self) -> None:
        """End a value that its sink has not taken in time: buffered bytes and those to come are discarded."""
        self.is_expired = not self.is_done
        self.cancel()

    def cancel(self) -> None:
        """End a value that nobody needs any more: buffered bytes and those to come are discarded."""
        if self.is_done:
            return
        self.is_done = True
        self._clear_buffer()
        self._on_complete = _do_nothing
        self._on_arrived = _do_nothing
        if self._sink is not None:
            self._sink.on_broken()
        self._update_pause()

    def _count_memory(self, change: int) -> None:
        if self._memory is not None:
            self._memory.used_bytes += change

    def _clear_buffer(self) -> None:
        self._count_memory(-len(self._buffer))
        self._buffer = bytearray()

    def _take_chunk(self) -> bytes:
        chunk = bytes(self._buffer[:CHUNK_BYTES])
        del self._buffer[:CHUNK_BYTES]
        self._count_memory(-len(chunk))
        return chunk

    def _notify_arrived(self) -> None:
        on_arrived = self._on_arrived
        self._on_arrived = _do_nothing  # the callback may refer to the owner of this stream
        on_arrived()

    # Methods for the sink.

    def set_on_complete(self, on_complete: Callable[[], None]) -> None:
        """Call `on_complete` once all bytes have arrived from the source, whether or not they are written."""
        self._on_complete = on_complete
        if self._is_ended and not self._is_broken:
            on_complete()

    def prefetch(self, on_arrived: Callable[[], None]) -> None:
        """Buffer the complete value, even while there is no sink or the sink has no capacity.

        `on_arrived` is called once, when the value is complete or broken.
        """
        self._is_prefetching = True
        self._on_arrived = on_arrived
        self.resume()

    def count_forwarded_bytes(self) -> int:
        """Return the number of bytes that were written to the sink."""
        return self.arrived_bytes - len(self._buffer)

    def has_arrived(self) -> bool:
        """Return whether no more bytes are expected, because the value is complete or broken."""
        return self._is_ended

    def can_complete(self) -> bool:
        """Return whether the value is complete or its remaining bytes can still arrive; the source is checked.

        If the check finds the value broken, the return value alone reports that, and `on_arrived` is not called.
        """
        if not self._is_ended:
            on_arrived = self._on_arrived
            self._on_arrived = _do_nothing
            self._check_source()
            if not self._is_ended:
                self._on_arrived = on_arrived
        return not self._is_broken

    def attach(self, sink: Sink) -> None:
        """Forward the value to this sink from now on."""
        self._sink = sink
        self.resume()

    def discard(self) -> None:
        """Discard the bytes that are buffered and those that still arrive."""
        if not self.is_done:
            self._clear_buffer()
            self.attach(NULL_SINK)

    def resume(self) -> None:
        """Write buffered chunks while the sink has capacity, and let the source continue once none is buffered."""
        sink = self._sink
        while self._buffer and sink is not None and sink.flushed:
            sink.write_chunk(self._take_chunk())
        if sink is not None and not self._buffer and self._is_ended and not self.is_done:
            self.is_done = True
            if self._is_broken:
                sink.on_broken()
            else:
                sink.end()
        self._update_pause()

    def _has_capacity(self) -> bool:
        if self._is_prefetching or (self._memory is not None and self._memory.has_capacity()):
            return True
        return self._sink is not None and self._sink.flushed and not self._buffer

    def _update_pause(self) -> None:
        should_pause = not self.is_done and not self._has_capacity()
        if should_pause != self.is_paused:
            self.is_paused = should_pause
            self._on_pause_changed(should_pause)

    def abandon(self) -> None:
        """Discard all bytes because the sink has ended; the source may end too."""
        if not self.is_done:
            self.is_done = True
            self._sink = NULL_SINK
            self._on_arrived = _do_nothing
            self._clear_buffer()
            self._on_abandoned()
