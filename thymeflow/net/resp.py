"""RESP2 without I/O: an incremental parser with firm bounds, and writers of the few forms we send.

Whoever is at the other end may be broken or hostile, so a message that would not fit the bounds is
refused as soon as its head shows it, and no more than one message is ever held back incomplete.
"""

from __future__ import annotations

from typing import Union

MOST_VALUE = 64 * 1024         # bytes of one bulk string, as the protocol has it
MOST_MESSAGE = MOST_VALUE + 8 * 1024   # bytes of one message: a value and its small companions
MOST_ITEMS = 32                # items of one array; the longest that anybody sends has five
MOST_LINE = 1024               # bytes of a simple string, an error or a length


class ProtocolError(Exception):
    """The bytes are no RESP2, or pass the bounds; where the next message begins is not known."""


class Simple(bytes):
    """A simple string, such as the OK of `+OK`."""


class Problem(bytes):
    """An error line without its dash."""


Value = Union[bytes, int, None, list["Value"]]


class _Incomplete(Exception):
    """The message goes on in bytes that have not come."""


def _number(text: bytes) -> int:
    # int() also takes spaces, underscores and signs, which a peer that frames rightly never sends.
    digits = text[1:] if text[:1] == b"-" else text
    if not digits.isdigit() or len(digits) > 18:
        raise ProtocolError("bad number")
    return int(text)


class Parser:
    """Cuts a stream of bytes into messages."""

    def __init__(self) -> None:
        self._held = bytearray()

    def held(self) -> int:
        """Bytes of a message that has begun and is not whole."""
        return len(self._held)

    def feed(self, data: bytes) -> tuple[list[Value], str]:
        """The messages that these bytes complete, and the fault behind them at which the framing is lost."""
        found: list[Value] = []
        try:
            self._cut(data, found)
        except ProtocolError as fault:
            return found, str(fault)
        return found, ""

    def _cut(self, data: bytes, found: list[Value]) -> None:
        source: bytes | bytearray = data
        if self._held:
            self._held += data
            source = self._held
        place, end = 0, len(source)
        try:
            while place < end:
                value, place = self._value(source, place, 0)
                found.append(value)
        except _Incomplete:
            if end - place > MOST_MESSAGE:
                raise ProtocolError("message too long") from None
        if source is data:
            self._held += data[place:]
        else:
            del self._held[:place]

    @staticmethod
    def _line(source: bytes | bytearray, place: int) -> tuple[bytes, int]:
        end = source.find(b"\r\n", place, place + MOST_LINE)
        if end < 0:
            if len(source) - place >= MOST_LINE:
                raise ProtocolError("line too long")
            raise _Incomplete
        return bytes(source[place:end]), end + 2

    def _value(self, source: bytes | bytearray, place: int, depth: int) -> tuple[Value, int]:
        kind = source[place:place + 1]
        if not kind:
            raise _Incomplete
        if kind not in b"$*+-:":
            raise ProtocolError("unknown type byte")
        line, place = self._line(source, place + 1)
        if kind == b"$":
            return self._bulk(source, place, _number(line))
        if kind == b"*":
            count = _number(line)
            if count > MOST_ITEMS or depth > 0:
                raise ProtocolError("array too large")
            if count < 0:
                return None, place
            items: list[Value] = []
            for _ in range(count):
                item, place = self._value(source, place, depth + 1)
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
            raise _Incomplete
        if source[end:end + 2] != b"\r\n":
            raise ProtocolError("value not closed")
        return bytes(source[place:end]), end + 2


def command(*words: bytes) -> bytes:
    """A command: an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join([b"$%d\r\n%b\r\n" % (len(word), word) for word in words])


def bulk(value: bytes) -> bytes:
    """A bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def simple(text: bytes) -> bytes:
    """A simple string."""
    return b"+%b\r\n" % text


def problem(text: str) -> bytes:
    """An error line; what could end it early is left out."""
    return b"-%b\r\n" % " ".join(text.split())[:200].encode("ascii", "replace")
