"""The bytes that a client has sent and that are not processed yet, parsed one event at a time.

Commands that have to wait stay here as bytes, so that reading can go on and a client's close, which follows its last
byte, is found although earlier commands still wait.
"""

from __future__ import annotations

from collections import deque

from thymeflow.transport import resp
from thymeflow.transport.value_stream import BufferMemory

# Bytes of waiting commands up to which a connection is read, while the memory that all connections share permits it.
MAX_READ_AHEAD_BYTES = 4 * 1024 * 1024
ARRIVAL_RESOLUTION_SECONDS = 0.01  # reads that follow each other more quickly count as one


class CommandInput:
    """Parses the input of one connection, and knows when each command's last byte arrived."""

    __slots__ = (
        "_arrivals",
        "_memory",
        "_parser",
        "_received_bytes",
        "_reported_bytes",
        "_unparsed",
        "fault",
        "is_waiting",
    )

    def __init__(self, memory: BufferMemory) -> None:
        self._parser = resp.Parser(resp.MAX_LONG_VALUE)
        self._memory = memory
        self._reported_bytes = 0  # bytes that are counted in the shared memory
        self._unparsed = b""  # bytes that were read and are not passed to the parser yet
        self._received_bytes = 0
        self._arrivals: deque[tuple[int, float]] = deque()  # received bytes after each read, and its time of arrival
        self.is_waiting = False  # bytes wait that may hold complete commands
        self.fault = ""  # the text of a framing error, behind the last event

    def append(self, data: bytes, arrived_at: float) -> None:
        """Add bytes that have arrived at this machine by the time `arrived_at`."""
        self._unparsed = self._unparsed + data if self._unparsed else data
        self._received_bytes += len(data)
        if self._arrivals and arrived_at - self._arrivals[-1][1] < ARRIVAL_RESOLUTION_SECONDS:
            arrived_at = self._arrivals.pop()[1]
        self._arrivals.append((self._received_bytes, arrived_at))
        self.is_waiting = True

    def take_events(self) -> list[resp.Event]:
        """Return the next event, or the two that end a long value; none if no complete one is there."""
        events, self.fault = self._parser.feed(self._unparsed, 1)
        self._unparsed = b""
        buffered_bytes = self._parser.buffered_bytes()
        if not events:  # what was received holds no last byte of a command
            self.is_waiting = False
            self._arrivals.clear()
            return events
        self.is_waiting = buffered_bytes > 0
        consumed_bytes = self._received_bytes - buffered_bytes
        while len(self._arrivals) > 1 and self._arrivals[0][0] < consumed_bytes:
            self._arrivals.popleft()
        return events

    def get_arrival(self) -> float:
        """Return the time by which the last byte of the last event had arrived."""
        return self._arrivals[0][1]

    def has_capacity(self) -> bool:
        """Return whether more bytes may be read although some wait already."""
        waiting_bytes = self.count_bytes()
        return not self.is_waiting or (waiting_bytes < MAX_READ_AHEAD_BYTES and self._memory.has_capacity())

    def count_bytes(self) -> int:
        """Return the number of bytes that wait or belong to an incomplete command."""
        return self._parser.buffered_bytes() + len(self._unparsed)

    def update_memory(self) -> None:
        """Count the waiting bytes in the memory that all connections share."""
        waiting_bytes = self.count_bytes() if self.is_waiting else 0
        self._memory.used_bytes += waiting_bytes - self._reported_bytes
        self._reported_bytes = waiting_bytes

    def is_incomplete(self) -> bool:
        """Return whether bytes wait or a command has begun and is incomplete."""
        return bool(self._unparsed) or self._parser.is_incomplete()

    def get_incomplete_item(self) -> int:
        """Return the index of the incomplete item in the incomplete command, or -1."""
        return self._parser.awaited_item_index

    def is_body_end_here(self, unread_bytes: int) -> bool:
        """Return whether the last byte of an incomplete long value is among what was received or waits unread."""
        missing_bytes = self._parser.missing_value_bytes()
        return 0 < missing_bytes <= len(self._unparsed) + unread_bytes

    def clear(self) -> None:
        """Discard everything."""
        self._parser = resp.Parser(resp.MAX_LONG_VALUE)
        self._unparsed = b""
        self._arrivals.clear()
        self._received_bytes = 0
        self.is_waiting = False
        self.fault = ""
        self.update_memory()
