"""RESP2 without I/O: an incremental parser with fixed bounds, and encoders of the forms that the limiter sends.

The peer may be faulty or hostile. A message that would exceed the bounds is therefore rejected as soon as its head
announces it, and at most one incomplete message is buffered.

A value that is too long to be buffered, in an array or alone, is reported as events: `LongValueBegin`, then a
`LongValueChunk` each time bytes arrive, then `LongValueEnd`, then `LongValueArrayEnd` with the array's items after it.
"""
# ruff: noqa: EM101  # the texts are sent to the peer or logged, and each stands next to its check

from __future__ import annotations

from typing import Union

from thymeflow.transport import TransportError

MAX_VALUE = 64 * 1024  # bytes of a bulk string that is buffered
MAX_LONG_VALUE = 4 * 2**20  # bytes of a bulk string that is forwarded in chunks
MAX_MESSAGE = MAX_VALUE + 8 * 1024  # bytes of a message: one value and its short items
MAX_ITEMS = 32  # items of an array; the longest that a peer sends has five
MAX_LINE = 1024  # bytes of a simple string, an error or a length
MAX_ERROR_TEXT = 200  # characters of an error reply that the limiter sends
MAX_EVENTS = 1 << 30  # more messages than a call of `Parser.feed` finds
LINE_END = b"\r\n"
MAX_DIGITS = 18  # digits of a number, so that it fits into 64 bits


class ProtocolError(TransportError):
    """The bytes are not RESP2 or exceed the bounds, so that the start of the next message is unknown."""


class SimpleString(bytes):
    """A simple string, such as the `OK` of `+OK`."""


class ErrorReply(bytes):
    """The text of an error reply, without the leading dash."""


Value = Union[bytes, int, None, list["Value"]]


class _Event:
    # The events are plain classes, because four dataclasses would add 5 ms to the start of the process.
    __slots__: tuple[str, ...] = ()

    def __eq__(self, other: object) -> bool:
        return type(self) is type(other) and all(getattr(self, name) == getattr(other, name) for name in self.__slots__)


class LongValueBegin(_Event):
    """A long value of `length` bytes begins, after `leading_items` and before `trailing_count` items of its array."""

    __slots__ = ("leading_items", "length", "trailing_count")

    def __init__(self, leading_items: list[Value], length: int, trailing_count: int) -> None:
        self.leading_items = leading_items
        self.length = length
        self.trailing_count = trailing_count


class LongValueChunk(_Event):
    """The next bytes of the long value."""

    __slots__ = ("data",)

    def __init__(self, data: bytes) -> None:
        self.data = data


class LongValueEnd(_Event):
    """The long value is complete and correctly terminated."""

    __slots__ = ()


class LongValueArrayEnd(_Event):
    """The array is complete; `trailing_items` are its items after the long value."""

    __slots__ = ("trailing_items",)

    def __init__(self, trailing_items: list[Value]) -> None:
        self.trailing_items = trailing_items


Event = Union[Value, LongValueBegin, LongValueChunk, LongValueEnd, LongValueArrayEnd]


class _IncompleteError(TransportError):
    """The message is incomplete.

    `item_index` is the index of the incomplete bulk string in an array, or -1 if no bulk string is incomplete.
    """

    item_index = -1


class _LongValueError(TransportError):
    """A long value begins at `position`."""

    def __init__(self, length: int, position: int) -> None:
        super().__init__()
        self.begin = LongValueBegin([], length, 0)
        self.position = position


def _parse_number(text: bytes) -> int:
    # int() also accepts spaces, underscores and plus signs, which a correct peer never sends.
    digits = text[1:] if text[:1] == b"-" else text
    if not digits.isdigit() or len(digits) > MAX_DIGITS:
        raise ProtocolError("bad number")
    return int(text)


class Parser:
    """Splits a stream of bytes into messages."""

    def __init__(self, max_value: int = MAX_VALUE) -> None:
        self._buffer = bytearray()
        self._max_value = max_value
        self._remaining_bytes = -1  # bytes of a long value that have not arrived; -1: no long value is being read
        self._trailing_items: list[Value] = []  # array items that arrived after the long value
        self._missing_items = (
            -1
        )  # array items after the long value that have not arrived; -1: no long value is being read
        self.awaited_item_index = -1  # index of the incomplete bulk string in an incomplete array, or -1

    def buffered_bytes(self) -> int:
        """Return the number of buffered bytes of an incomplete message."""
        return len(self._buffer)

    def missing_value_bytes(self) -> int:
        """Return the number of bytes that are missing until a long value has ended, or 0 if none is being read."""
        if self._remaining_bytes < 0:
            return 0
        return self._remaining_bytes + len(LINE_END) - len(self._buffer)

    def is_incomplete(self) -> bool:
        """Return whether a message has begun and is incomplete."""
        return bool(self._buffer) or self._remaining_bytes >= 0 or self._missing_items >= 0

    def feed(self, data: bytes, max_events: int = MAX_EVENTS) -> tuple[list[Event], str]:
        """Return the messages that these bytes complete, and the text of a framing error after them.

        The text is empty if there is no framing error. Bytes behind the first `max_events` messages are buffered and
        parsed by the next call.
        """
        found: list[Event] = []
        try:
            self._parse(data, found, max_events)
        except ProtocolError as fault:
            return found, str(fault)
        return found, ""

    def _parse(self, data: bytes, found: list[Event], max_events: int) -> None:
        source: bytes | bytearray = data
        if self._buffer:
            self._buffer += data
            source = self._buffer
        position = 0
        end = len(source)
        self.awaited_item_index = -1
        try:
            while position < end and len(found) < max_events:
                if self._remaining_bytes >= 0 or self._missing_items >= 0:
                    position = self._parse_long_value_step(source, position, found)
                    continue
                try:
                    value, position = self._parse_value(source, position, 0)
                    found.append(value)
                except _LongValueError as long_value:
                    found.append(long_value.begin)
                    position = long_value.position
                    self._remaining_bytes = long_value.begin.length
                    self._missing_items = long_value.begin.trailing_count
        except _IncompleteError as incomplete:
            self.awaited_item_index = incomplete.item_index
            if end - position > MAX_MESSAGE:
                raise ProtocolError("message too long") from None
        if source is data:
            self._buffer += data[position:]
        else:
            del self._buffer[:position]

    def _parse_long_value_step(self, source: bytes | bytearray, position: int, found: list[Event]) -> int:
        # Parses one step of a message with a long value and returns the new position. A step is a chunk of the value,
        # its end, or an array item after it.
        if self._remaining_bytes > 0:
            data = bytes(source[position : position + self._remaining_bytes])
            self._remaining_bytes -= len(data)
            found.append(LongValueChunk(data))
            return position + len(data)
        if self._remaining_bytes == 0:
            if len(source) < position + 2:
                raise _IncompleteError
            if source[position : position + 2] != b"\r\n":
                raise ProtocolError("value not closed")
            position += 2
            self._remaining_bytes = -1
            found.append(LongValueEnd())
        else:
            try:
                value, position = self._parse_value(source, position, 1)
            except _LongValueError:
                raise ProtocolError("value too long") from None
            self._trailing_items.append(value)
            self._missing_items -= 1
        if not self._missing_items:
            found.append(LongValueArrayEnd(self._trailing_items))
            self._trailing_items = []
            self._missing_items = -1
        return position

    @staticmethod
    def _parse_line(source: bytes | bytearray, position: int) -> tuple[bytes, int]:
        end = source.find(b"\r\n", position, position + MAX_LINE)
        if end < 0:
            if len(source) - position >= MAX_LINE:
                raise ProtocolError("line too long")
            raise _IncompleteError
        return bytes(source[position:end]), end + 2

    def _parse_value(self, source: bytes | bytearray, position: int, depth: int) -> tuple[Value, int]:
        kind = source[position : position + 1]
        if not kind:
            raise _IncompleteError
        if kind not in b"$*+-:":
            raise ProtocolError("unknown type byte")
        line, position = self._parse_line(source, position + 1)
        if kind == b"$":
            length = _parse_number(line)
            if MAX_VALUE < length <= self._max_value:
                raise _LongValueError(length, position)
            return self._parse_bulk(source, position, length)
        if kind == b"*":
            count = _parse_number(line)
            if count > MAX_ITEMS or depth > 0:
                raise ProtocolError("array too large")
            if count < 0:
                return None, position
            items: list[Value] = []
            for number in range(count):
                try:
                    item, position = self._parse_value(source, position, depth + 1)
                except _IncompleteError as incomplete:
                    incomplete.item_index = number if incomplete.item_index >= 0 else -1
                    raise
                except _LongValueError as long_value:
                    long_value.begin = LongValueBegin(items, long_value.begin.length, count - number - 1)
                    raise
                items.append(item)
            return items, position
        if kind == b"+":
            return SimpleString(line), position
        return (ErrorReply(line) if kind == b"-" else _parse_number(line)), position

    @staticmethod
    def _parse_bulk(source: bytes | bytearray, position: int, length: int) -> tuple[bytes | None, int]:
        if length < 0:
            return None, position
        if length > MAX_VALUE:
            raise ProtocolError("value too long")
        end = position + length
        if len(source) < end + 2:
            incomplete = _IncompleteError()
            incomplete.item_index = 0  # _parse_value replaces it with the index in the array
            raise incomplete
        if source[end : end + 2] != b"\r\n":
            raise ProtocolError("value not closed")
        return bytes(source[position:end]), end + 2


def command(*arguments: bytes) -> bytes:
    """Return an encoded command, which is an array of bulk strings."""
    return b"*%d\r\n" % len(arguments) + b"".join(
        [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    )


def command_head(length: int, *arguments: bytes) -> bytes:
    """Return an encoded command up to the head of its last argument, whose `length` bytes are written separately."""
    return (
        b"*%d\r\n" % (len(arguments) + 1)
        + b"".join([b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments])
        + bulk_head(length)
    )


def bulk_head(length: int) -> bytes:
    """Return the encoded head of a bulk string of `length` bytes."""
    return b"$%d\r\n" % length


def bulk(value: bytes) -> bytes:
    """Return an encoded bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def error_reply(text: str) -> bytes:
    """Return an encoded error reply of at most `MAX_ERROR_TEXT` characters.

    Line breaks would end the reply early, so they become spaces.
    """
    return b"-%b\r\n" % " ".join(text.split())[:MAX_ERROR_TEXT].encode("ascii", "replace")
