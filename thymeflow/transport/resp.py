"""RESP2 without I/O: an incremental parser with firm bounds, and writers of the few forms we send.

Whoever is at the other end may be broken or hostile, so a message that would not fit the bounds is
refused as soon as its head shows it, and no more than one message is ever held back incomplete. A value
too long to be held, in an array or alone, comes as events instead: `Begin`, `Part` as often as bytes come,
`Closed` behind the value, and `End` with what follows it in the array.
"""

from __future__ import annotations

from typing import Union

MOST_VALUE = 64 * 1024  # bytes of one bulk string that is held whole
MOST_LONG = 4 * 2**20  # bytes of one that passes through in parts, as the days in service have it
MOST_MESSAGE = MOST_VALUE + 8 * 1024  # bytes of one message: a value and its small companions
MOST_ITEMS = 32  # items of one array; the longest that anybody sends has five
MOST_LINE = 1024  # bytes of a simple string, an error or a length


class ProtocolError(Exception):
    """The bytes are no RESP2, or pass the bounds; where the next message begins is not known."""


class Simple(bytes):
    """A simple string, such as the OK of `+OK`."""


class Problem(bytes):
    """An error line without its dash."""


Value = Union[bytes, int, None, list["Value"]]


class _Event:
    # Plain classes: four dataclasses would take 5 ms of the start.
    __slots__: tuple[str, ...] = ()

    def __eq__(self, other: object) -> bool:
        return type(self) is type(other) and all(getattr(self, n) == getattr(other, n) for n in self.__slots__)


class Begin(_Event):
    """A long value begins; what stands before it in the array, and how many items will follow it."""

    __slots__ = ("after", "before", "length")

    def __init__(self, before: list[Value], length: int, after: int) -> None:
        self.before, self.length, self.after = before, length, after


class Part(_Event):
    """Its next bytes."""

    __slots__ = ("data",)

    def __init__(self, data: bytes) -> None:
        self.data = data


class Closed(_Event):
    """It has come whole, and was closed as it should be."""

    __slots__ = ()


class End(_Event):
    """The array has come whole; the items behind the long value."""

    __slots__ = ("after",)

    def __init__(self, after: list[Value]) -> None:
        self.after = after


Event = Union[Value, Begin, Part, Closed, End]


class _Incomplete(Exception):
    """The message goes on in bytes that have not come; `item`: within which bulk string of an array, or -1."""

    item = -1


class _Long(Exception):
    """A long value begins at `place`."""

    def __init__(self, length: int, place: int) -> None:
        super().__init__()
        self.begin, self.place = Begin([], length, 0), place


def _number(text: bytes) -> int:
    # int() also takes spaces, underscores and signs, which a peer that frames rightly never sends.
    digits = text[1:] if text[:1] == b"-" else text
    if not digits.isdigit() or len(digits) > 18:
        raise ProtocolError("bad number")
    return int(text)


class Parser:
    """Cuts a stream of bytes into messages."""

    def __init__(self, longest: int = MOST_VALUE) -> None:
        self._held = bytearray()
        self._longest = longest
        self._left = -1  # bytes of a long value that are still to come; -1: none is on its way
        self._after: list[Value] = []
        self._missing = -1  # items that follow the long value and have not come; -1: none is on its way
        self.awaited_item = -1  # of an array that is not whole: the bulk string that bytes are awaited for

    def held(self) -> int:
        """Bytes of a message that has begun and is not whole."""
        return len(self._held)

    def is_incomplete(self) -> bool:
        """Whether a message has begun and is not whole."""
        return bool(self._held) or self._left >= 0 or self._missing >= 0

    def feed(self, data: bytes) -> tuple[list[Event], str]:
        """What these bytes complete, and the fault behind it at which the framing is lost."""
        found: list[Event] = []
        try:
            self._cut(data, found)
        except ProtocolError as fault:
            return found, str(fault)
        return found, ""

    def _cut(self, data: bytes, found: list[Event]) -> None:
        source: bytes | bytearray = data
        if self._held:
            self._held += data
            source = self._held
        place, end = 0, len(source)
        self.awaited_item = -1
        try:
            while place < end:
                if self._left >= 0 or self._missing >= 0:
                    place = self._long(source, place, found)
                    continue
                try:
                    value, place = self._value(source, place, 0)
                    found.append(value)
                except _Long as long:
                    found.append(long.begin)
                    place, self._left, self._missing = long.place, long.begin.length, long.begin.after
        except _Incomplete as missing:
            self.awaited_item = missing.item
            if end - place > MOST_MESSAGE:
                raise ProtocolError("message too long") from None
        if source is data:
            self._held += data[place:]
        else:
            del self._held[:place]

    def _long(self, source: bytes | bytearray, place: int, found: list[Event]) -> int:
        # One step of a message with a long value: bytes of the value, its end, or an item behind it.
        if self._left > 0:
            data = bytes(source[place : place + self._left])
            self._left -= len(data)
            found.append(Part(data))
            return place + len(data)
        if self._left == 0:
            if len(source) < place + 2:
                raise _Incomplete
            if source[place : place + 2] != b"\r\n":
                raise ProtocolError("value not closed")
            place, self._left = place + 2, -1
            found.append(Closed())
        else:
            try:
                value, place = self._value(source, place, 1)
            except _Long:
                raise ProtocolError("value too long") from None
            self._after.append(value)
            self._missing -= 1
        if not self._missing:
            found.append(End(self._after))
            self._after, self._missing = [], -1
        return place

    @staticmethod
    def _line(source: bytes | bytearray, place: int) -> tuple[bytes, int]:
        end = source.find(b"\r\n", place, place + MOST_LINE)
        if end < 0:
            if len(source) - place >= MOST_LINE:
                raise ProtocolError("line too long")
            raise _Incomplete
        return bytes(source[place:end]), end + 2

    def _value(self, source: bytes | bytearray, place: int, depth: int) -> tuple[Value, int]:
        kind = source[place : place + 1]
        if not kind:
            raise _Incomplete
        if kind not in b"$*+-:":
            raise ProtocolError("unknown type byte")
        line, place = self._line(source, place + 1)
        if kind == b"$":
            length = _number(line)
            if MOST_VALUE < length <= self._longest:
                raise _Long(length, place)
            return self._bulk(source, place, length)
        if kind == b"*":
            count = _number(line)
            if count > MOST_ITEMS or depth > 0:
                raise ProtocolError("array too large")
            if count < 0:
                return None, place
            items: list[Value] = []
            for number in range(count):
                try:
                    item, place = self._value(source, place, depth + 1)
                except _Incomplete as missing:
                    missing.item = number if missing.item >= 0 else -1
                    raise
                except _Long as long:
                    long.begin = Begin(items, long.begin.length, count - number - 1)
                    raise
                items.append(item)
            return items, place
        if kind == b"+":
            return Simple(line), place
        return (Problem(line) if kind == b"-" else _number(line)), place

    @staticmethod
    def _bulk(source: bytes | bytearray, place: int, length: int) -> tuple[bytes | None, int]:
        if length < 0:
            return None, place
        if length > MOST_VALUE:
            raise ProtocolError("value too long")
        end = place + length
        if len(source) < end + 2:
            missing = _Incomplete()
            missing.item = 0  # whoever reads the array says which
            raise missing
        if source[end : end + 2] != b"\r\n":
            raise ProtocolError("value not closed")
        return bytes(source[place:end]), end + 2


def command(*words: bytes) -> bytes:
    """A command: an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join([b"$%d\r\n%b\r\n" % (len(word), word) for word in words])


def command_head(length: int, *words: bytes) -> bytes:
    """A command up to its last bulk string, of that length, which is written behind it."""
    return (
        b"*%d\r\n" % (len(words) + 1)
        + b"".join([b"$%d\r\n%b\r\n" % (len(word), word) for word in words])
        + (bulk_head(length))
    )


def bulk_head(length: int) -> bytes:
    """The head of a bulk string."""
    return b"$%d\r\n" % length


def bulk(value: bytes) -> bytes:
    """A bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def simple(text: bytes) -> bytes:
    """A simple string."""
    return b"+%b\r\n" % text


def problem(text: str) -> bytes:
    """An error line; what could end it early is left out."""
    return b"-%b\r\n" % " ".join(text.split())[:200].encode("ascii", "replace")
