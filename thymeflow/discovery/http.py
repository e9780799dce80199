"""HTTP/1.1 responses and the JSON objects in their bodies, without I/O: all that discovery's protocol needs.

A message is a JSON object and not a line: it may be indented, may arrive in any pieces, and is complete with its last
brace. Between two objects there is white space; a line end there is an empty line, the sender's heartbeat.
"""

from __future__ import annotations

import re

from thymeflow.errors import ThymeflowError

MAX_HEAD_BYTES = 8 * 1024  # of a response's status line and header fields
MAX_CHUNK_HEAD_BYTES = 1024  # of a chunk's size and extensions
MAX_MESSAGE_BYTES = 4 * 2**20  # of one message: a list of thousands of endpoints
UNTIL_CLOSE = -1  # in place of a body's length: the body ends with the connection
# A complete string with any brackets in it, or a bracket; a lone quotation mark begins a string that is incomplete.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|["{}\[\]]', re.DOTALL)
_WHITE_SPACE = b" \t\r\n"
_CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,8}")


class DiscoveryError(ThymeflowError):
    """Base class of this package's errors."""


class HttpError(DiscoveryError):
    """The response can't be read, or its status is not 200."""


class JsonObjectSplitter:
    """Splits a stream of bytes into JSON objects; it finds where they end, and doesn't parse them."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned = 0  # bytes of the buffer that were searched
        self._depth = 0  # brackets that are open there

    def feed(self, data: bytes) -> list[bytes]:
        """Return the objects that these bytes complete, and b"" for each run of white space with an empty line.

        :raises HttpError: where something else than an object begins, or an object is too long.
        """
        found: list[bytes] = []
        self._buffer += data
        while self._buffer:
            if not self._depth and not self._skip_white_space(found):
                break
            end = self._find_end()
            if end < 0:
                if len(self._buffer) > MAX_MESSAGE_BYTES:
                    fault = "message too long"
                    raise HttpError(fault)
                break
            found.append(bytes(self._buffer[:end]))
            del self._buffer[:end]
            self._scanned = 0
        return found

    def _skip_white_space(self, found: list[bytes]) -> bool:
        # Returns whether an object begins behind it.
        rest = self._buffer.lstrip(_WHITE_SPACE)
        if b"\n" in self._buffer[: len(self._buffer) - len(rest)]:
            found.append(b"")
        if rest and rest[:1] != b"{":
            fault = "no JSON object"
            raise HttpError(fault)
        self._buffer = rest
        self._scanned = 0
        return bool(rest)

    def _find_end(self) -> int:
        # Returns the index behind the object's last brace, or -1 if that has not arrived.
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
    """Parses one response, and returns the messages in its body as they arrive."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._is_head_read = False
        self._remaining = 0  # bytes of the current chunk or of the body, or UNTIL_CLOSE
        self._is_chunked = False
        self._is_after_chunk = False  # the line end that closes a chunk is expected
        self._splitter = JsonObjectSplitter()
        self.begun = False  # some of the body has arrived
        self.done = False  # all of it has arrived

    def feed(self, data: bytes) -> list[bytes]:
        """Return the messages that these bytes complete, see `JsonObjectSplitter.feed`.

        :raises HttpError: where the bytes are not a response with status 200.
        """
        self._buffer += data
        found: list[bytes] = []
        while not self.done and self._advance(found):
            pass
        return found

    def _advance(self, found: list[bytes]) -> bool:
        # Each step returns whether another one may be possible with the bytes in the buffer.
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
                fault = "head too long"
                raise HttpError(fault)
            return False
        status_line, *fields = bytes(self._buffer[:end]).split(b"\r\n")
        del self._buffer[: end + 4]
        _check_status(status_line)
        self._read_framing(fields)
        self._is_head_read = True
        return True

    def _read_framing(self, fields: list[bytes]) -> None:
        named = {
            name.strip().lower(): value.strip().lower()
            for name, _, value in (field.partition(b":") for field in fields)
        }
        self._is_chunked = named.get(b"transfer-encoding", b"").endswith(b"chunked")
        length = named.get(b"content-length")
        if not self._is_chunked:
            if length is not None and not length.isdigit():
                fault = "bad length"
                raise HttpError(fault)
            self._remaining = UNTIL_CLOSE if length is None else int(length)

    def _read_chunk_head(self) -> bool:
        end = self._buffer.find(b"\r\n")
        if end < 0:
            if len(self._buffer) > MAX_CHUNK_HEAD_BYTES:
                fault = "chunk head too long"
                raise HttpError(fault)
            return False
        text = bytes(self._buffer[:end]).partition(b";")[0].strip()
        if self._is_after_chunk and end == 0:
            del self._buffer[:2]
            self._is_after_chunk = False
            return True
        if self._is_after_chunk or not _CHUNK_SIZE.fullmatch(text):
            fault = "bad chunk"
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
        fault = "no HTTP/1 answer"
        raise HttpError(fault)
    if tokens[1] != b"200":
        fault = f"status {tokens[1][:16].decode('ascii', 'replace')}"
        raise HttpError(fault)
