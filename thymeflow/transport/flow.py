"""One long value on its way through, either way: no I/O, and one part at a time between source and sink.

The source pushes what has come and can be paused; the sink writes, and says by `flushed` whether its buffer has
gone. A part that finds no room waits here, and the source is paused until it has left.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

CHUNK = 32 * 1024  # bytes read at a time from a connection that brings a long value: what waits here is bounded


class Sink(Protocol):
    """Where a value goes."""

    flushed: bool

    def part(self, data: bytes) -> None:
        """Write the next bytes."""

    def end(self) -> None:
        """All has been written, and the value is sound."""

    def broken(self) -> None:
        """The rest will not come."""


class Nowhere:
    """For what nobody wants: the source's connection stays in step."""

    flushed = True

    def part(self, data: bytes) -> None:
        """Thrown away."""

    def end(self) -> None:
        """Nothing is owed."""

    def broken(self) -> None:
        """Nothing is owed."""


NOWHERE = Nowhere()


class Flow:
    """A value of a known length, from its head to its end."""

    def __init__(self, length: int, pace: Callable[[bool], None], abandoned: Callable[[], None]) -> None:
        self.length = length
        self.deadline = 0.0  # once it has come whole, for a body: until when its sender waits
        self.over = False  # whole or broken, and the sink was told
        self.waits = False  # the source is paused
        self._pace, self._abandoned = pace, abandoned
        self._held: deque[bytes] = deque()
        self._ended = self._broken = False
        self._whole: Callable[[], None] = lambda: None
        self._sink: Sink | None = None

    # The source's side.

    def push(self, data: bytes) -> None:
        """The next bytes have come."""
        self._held.append(data)
        self.more()

    def finish(self) -> None:
        """It has come whole."""
        self._ended = True
        self._whole()
        self.more()

    def fail(self) -> None:
        """The rest will not come; what has come is still passed on."""
        if not self._ended:
            self._ended = self._broken = True
            self.more()

    # The sink's side.

    def when_whole(self, told: Callable[[], None]) -> None:
        """Tell once all has come from the source, be it written or not."""
        self._whole = told
        if self._ended and not self._broken:
            told()

    def attach(self, sink: Sink) -> None:
        """Go there from now on."""
        self._sink = sink
        self.more()

    def discard(self) -> None:
        """Nobody wants what still comes."""
        if not self.over:
            self.attach(NOWHERE)

    def more(self) -> None:
        """There may be room: write what waits, and let the source go on once nothing does."""
        sink = self._sink
        while self._held and sink is not None and sink.flushed:
            sink.part(self._held.popleft())
        if sink is not None and not self._held and self._ended and not self.over:
            self.over = True
            if self._broken:
                sink.broken()
            else:
                sink.end()
        waits = not self.over and (sink is None or not sink.flushed or bool(self._held))
        if waits != self.waits:
            self.waits = waits
            self._pace(waits)

    def abandon(self) -> None:
        """The sink is gone: what still comes is not wanted, and the source may end."""
        if not self.over:
            self.over, self._sink = True, NOWHERE
            self._held.clear()
            self._abandoned()
