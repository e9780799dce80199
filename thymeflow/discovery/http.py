"""Parsers for HTTP/1.1 responses and for the JSON objects in their bodies, as far as discovery uses them. No I/O.

A message is a JSON object, not a line: it may be indented, may arrive in pieces of any size, and ends with its closing
brace. White space separates two objects. A line end in it is an empty line, which discovery sends as a heartbeat.
"""

from __future__ import annotations

import re

from thymeflow.errors import ThymeflowError

MAX_HEAD_BYTES = 8 * 1024  # limit of the status line and the header fields together
MAX_CHUNK_HEAD_BYTES = 1024  # limit of a chunk's size and extensions
MAX_MESSAGE_BYTES = 4 * 2**20  # limit of one message; a list of thousands of endpoints fits in
UNTIL_CLOSE = -1  # stands for the length of a body that ends with the connection
# Matches a complete string with any brackets in it, or a bracket. A quotation mark alone begins an incomplete string.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|["{}\[\]]', re.DOTALL)
_WHITE_SPACE = b" \t\r\n"
_CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,8}")


class DiscoveryError(ThymeflowError):
    """Base class of this package's errors."""


class HttpError(DiscoveryError):
    """The response is malformed, or its status is not 200."""


class JsonObjectSplitter:
    """Splits a stream of bytes into JSON objects by their brackets, without parsing them."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned = 0  # number of bytes of the buffer that were searched for brackets
        self._depth = 0  # number of open brackets in the searched bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Return the objects that these bytes complete, and b"" for each run of white space with a line end.

        :raises HttpError: if a value that is not an object begins, or an object exceeds `MAX_MESSAGE_BYTES`.
        """
        found: list[bytes] = []
        self._buffer += data
        while self._buffer:
            if not self._depth and not self._skip_white_space(found):
                break
            end = self._find_end()
            if end < 0:
                if len(self._buffer) > MAX_MESSAGE_BYTES:
                    fault = f"a message exceeds {MAX_MESSAGE_BYTES} bytes"
                    raise HttpError(fault)
                break
            found.append(bytes(self._buffer[:end]))
            del self._buffer[:end]
            self._scanned = 0
        return found

    def _skip_white_space(self, found: list[bytes]) -> bool:
        # Returns whether an object begins after the white space.
        remaining = self._buffer.lstrip(_WHITE_SPACE)
        if b"\n" in self._buffer[: len(self._buffer) - len(remaining)]:
            found.append(b"")
        if remaining and remaining[:1] != b"{":
            fault = "the body has a value that is not a JSON object"
            raise HttpError(fault)
        self._buffer = remaining
        self._scanned = 0
        return bool(remaining)

    def _find_end(self) -> int:
        # Returns the index after the object's closing brace, or -1 if the brace has not arrived.
        for match in _TOKEN.finditer(self._buffer, self._scanned):
            token = match[0]
            if token == b'"':
                self._scanned = match.start()
                return -1
            if len(token) == 1:
                self._depth += 1 if token in b"{[" else -1
                if not self._depth:
                    return match.end()
        self._scanned = len(self._buffer)
        return -1


class ResponseParser:
    """Parses one response incrementally, and returns the messages in its body as they become complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._is_head_read = False
        self._remaining = 0  # bytes left of the current chunk or of the body, or UNTIL_CLOSE
        self._is_chunked = False
        self._is_after_chunk = False  # the line end after a chunk's data is expected
        self._splitter = JsonObjectSplitter()
        self.begun = False  # a part of the body has arrived
        self.done = False  # the whole body has arrived

    def feed(self, data: bytes) -> list[bytes]:
        """Return the messages that these bytes complete, in the form of `JsonObjectSplitter.feed`.

        :raises HttpError: if the bytes are not a valid response with status 200.
        """
        self._buffer += data
        found: list[bytes] = []
        while not self.done and self._advance(found):
            pass
        return found

    def _advance(self, found: list[bytes]) -> bool:
        # Parses the next element; returns whether the bytes in the buffer may contain another one.
        if not self._is_head_read:
            return self._read_head()
        if self._remaining:
            return self._read_data(found)
        if not self._is_chunked:
            self.done = True
            return False
        return self._read_chunk_head()

    def _read_head(self) -> bool:
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self._buffer) > MAX_HEAD_BYTES:
                fault = f"the response's head exceeds {MAX_HEAD_BYTES} bytes"
                raise HttpError(fault)
            return False
        status_line, *fields = bytes(self._buffer[:end]).split(b"\r\n")
        del self._buffer[: end + 4]
        _check_status(status_line)
        self._read_framing(fields)
        self._is_head_read = True
        return True

    def _read_framing(self, fields: list[bytes]) -> None:
        values = {
            name.strip().lower(): value.strip().lower()
            for name, _, value in (field.partition(b":") for field in fields)
        }
        self._is_chunked = values.get(b"transfer-encoding", b"").endswith(b"chunked")
        length = values.get(b"content-length")
        if not self._is_chunked:
            if length is not None and not length.isdigit():
                fault = f"invalid Content-Length {length[:16]!r}"
                raise HttpError(fault)
            self._remaining = UNTIL_CLOSE if length is None else int(length)

    def _read_chunk_head(self) -> bool:
        end = self._buffer.find(b"\r\n")
        if end < 0:
            if len(self._buffer) > MAX_CHUNK_HEAD_BYTES:
                fault = f"a chunk's size and extensions exceed {MAX_CHUNK_HEAD_BYTES} bytes"
                raise HttpError(fault)
            return False
        text = bytes(self._buffer[:end]).partition(b";")[0].strip()
        if self._is_after_chunk and end == 0:
            del self._buffer[:2]
            self._is_after_chunk = False
            return True
        if self._is_after_chunk or not _CHUNK_SIZE.fullmatch(text):
            fault = f"invalid chunk size {text[:16]!r}, or no line end after a chunk"
            raise HttpError(fault)
        self._remaining = int(text, 16)
        del self._buffer[: end + 2]
        self.done = self._remaining == 0
        return not self.done

    def _read_data(self, found: list[bytes]) -> bool:
        if not self._buffer:
            return False
        data = bytes(self._buffer if self._remaining < 0 else self._buffer[: self._remaining])
        del self._buffer[: len(data)]
        self.begun = True
        if self._remaining > 0:
            self._remaining -= len(data)
            self._is_after_chunk = self._remaining == 0 and self._is_chunked
        found.extend(self._splitter.feed(data))
        return True


def _check_status(status_line: bytes) -> None:
    tokens = status_line.split(b" ", 2)
    if not tokens[0].startswith(b"HTTP/1.") or len(tokens) < 2:
        fault = "the response is not HTTP/1"
        raise HttpError(fault)
    if tokens[1] != b"200":
        fault = f"HTTP status {tokens[1][:16].decode('ascii', 'replace')}"
        raise HttpError(fault)
