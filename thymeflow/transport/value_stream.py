"""One long value in transit, in either direction: no I/O, and one chunk at a time between source and sink.

The source pushes what has come and can be paused; the sink writes, and shows by `flushed` whether its buffer has
gone. A chunk that the sink has no capacity for is buffered here, and the source is paused until it has left.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

CHUNK_BYTES = 32 * 1024  # bytes read at a time from a connection that brings a long value: bounds what is buffered here


class Sink(Protocol):
    """Where a value goes."""

    flushed: bool

    def write_chunk(self, data: bytes) -> None:
        """Write the next bytes."""

    def end(self) -> None:
        """Close the value: all of it has been written, and it is complete."""

    def on_broken(self) -> None:
        """Abandon the value: the rest will not come."""


class NullSink:
    """Discards a value without a reader, so that the source's connection stays in step."""

    flushed = True

    def write_chunk(self, data: bytes) -> None:
        """Discard the bytes."""

    def end(self) -> None:
        """Do nothing."""

    def on_broken(self) -> None:
        """Do nothing."""


NULL_SINK = NullSink()


class ValueStream:
    """A value of a known length, from its head to its end.

    `on_paced` is called with whether the source must pause, at each change; `on_abandoned` is called once if the
    sink is gone before the end.
    """

    def __init__(self, length: int, on_paced: Callable[[bool], None], on_abandoned: Callable[[], None]) -> None:
        self.length = length
        self.deadline = 0.0  # of a complete body: until when its sender waits
        self.is_done = False  # complete or broken off, and the sink was notified
        self.is_paused = False  # the source is paused
        self._on_paced = on_paced
        self._on_abandoned = on_abandoned
        self._buffer: deque[bytes] = deque()
        self._is_ended = False
        self._is_broken = False
        self._on_complete: Callable[[], None] = lambda: None
        self._sink: Sink | None = None

    # The source's side.

    def push(self, data: bytes) -> None:
        """Take the next bytes from the source."""
        self._buffer.append(data)
        self.resume()

    def finish(self) -> None:
        """Mark the value as complete: all of it has come from the source."""
        self._is_ended = True
        self._on_complete()
        self.resume()

    def fail(self) -> None:
        """Mark the value as broken: the rest will not come; what has come is still forwarded."""
        if not self._is_ended:
            self._is_ended = True
            self._is_broken = True
            self.resume()

    # The sink's side.

    def when_complete(self, on_complete: Callable[[], None]) -> None:
        """Call back once all has come from the source, be it written or not."""
        self._on_complete = on_complete
        if self._is_ended and not self._is_broken:
            on_complete()

    def attach(self, sink: Sink) -> None:
        """Forward to this sink from now on."""
        self._sink = sink
        self.resume()

    def discard(self) -> None:
        """Discard what still comes."""
        if not self.is_done:
            self.attach(NULL_SINK)

    def resume(self) -> None:
        """Write what is buffered as far as the sink has capacity, and let the source go on once nothing is."""
        sink = self._sink
        while self._buffer and sink is not None and sink.flushed:
            sink.write_chunk(self._buffer.popleft())
        if sink is not None and not self._buffer and self._is_ended and not self.is_done:
            self.is_done = True
            if self._is_broken:
                sink.on_broken()
            else:
                sink.end()
        waits = not self.is_done and (sink is None or not sink.flushed or bool(self._buffer))
        if waits != self.is_paused:
            self.is_paused = waits
            self._on_paced(waits)

    def abandon(self) -> None:
        """Discard everything, as the sink is gone; the source may end."""
        if not self.is_done:
            self.is_done = True
            self._sink = NULL_SINK
            self._buffer.clear()
            self._on_abandoned()
