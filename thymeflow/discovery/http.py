"""HTTP/1.1 answers and the JSON objects in their bodies, without I/O: all that discovery's protocol needs.

A message is a JSON object and no line: it may come indented, in any pieces, and is whole with its last brace. What
stands between two objects is white space; a line end there is an empty line, which says that the sender is alive.
"""

from __future__ import annotations

import re

MOST_HEAD = 8 * 1024  # bytes of an answer's head
MOST_CHUNK_HEAD = 1024  # bytes of a chunk's size and extensions
MOST_MESSAGE = 4 * 2**20  # bytes of one message: a list of thousands
# A string that has come whole, its brackets and all; a quotation mark alone begins one that goes on in bytes to come.
_MARK = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|["{}\[\]]', re.DOTALL)
_SPACE = b" \t\r\n"
_SIZE = re.compile(rb"[0-9a-fA-F]{1,8}")


class HttpError(Exception):
    """The answer is none that we can read."""


class Messages:
    """Cuts bytes into JSON objects, wherever they begin and end; what is inside is the reader's matter."""

    def __init__(self) -> None:
        self._held = bytearray()
        self._seen = 0  # bytes of it that were looked through
        self._depth = 0  # brackets that are open there

    def feed(self, data: bytes) -> list[bytes]:
        """The objects that these bytes complete, and b"" for an empty line; HttpError where there is no object."""
        found: list[bytes] = []
        self._held += data
        while self._held:
            if not self._depth and not self._begin(found):
                break
            end = self._end()
            if end < 0:
                if len(self._held) > MOST_MESSAGE:
                    raise HttpError("message too long")
                break
            found.append(bytes(self._held[:end]))
            del self._held[:end]
            self._seen = 0
        return found

    def _begin(self, found: list[bytes]) -> bool:
        # Over the white space before an object, to its brace.
        rest = self._held.lstrip(_SPACE)
        if b"\n" in self._held[: len(self._held) - len(rest)]:
            found.append(b"")
        if rest and rest[:1] != b"{":
            raise HttpError("no JSON object")
        self._held, self._seen = rest, 0
        return bool(rest)

    def _end(self) -> int:
        # One past the object's last brace; -1: it has not come.
        for mark in _MARK.finditer(self._held, self._seen):
            sign = mark[0]
            if sign == b'"':
                self._seen = mark.start()
                return -1
            if len(sign) == 1:
                self._depth += 1 if sign in b"{[" else -1
                if not self._depth:
                    return mark.end()
        self._seen = len(self._held)
        return -1


class Body:
    """Takes an answer apart and gives the messages of its body as they come."""

    def __init__(self) -> None:
        self._held = bytearray()
        self._head_read = False
        self._left = 0  # bytes of the present chunk, or of the body; -1: until the end
        self._chunked = False
        self._after_chunk = False
        self._messages = Messages()
        self.begun = False  # some of the body has come
        self.done = False

    def feed(self, data: bytes) -> list[bytes]:
        """The messages that these bytes complete; HttpError where they are no such answer."""
        self._held += data
        found: list[bytes] = []
        while not self.done and self._step(found):
            pass
        return found

    def _step(self, found: list[bytes]) -> bool:
        if not self._head_read:
            return self._head()
        if self._left:
            return self._take(found)
        if not self._chunked:
            self.done = True
            return False
        return self._chunk()

    def _head(self) -> bool:
        end = self._held.find(b"\r\n\r\n")
        if end < 0:
            if len(self._held) > MOST_HEAD:
                raise HttpError("head too long")
            return False
        first, *fields = bytes(self._held[:end]).split(b"\r\n")
        del self._held[: end + 4]
        words = first.split(b" ", 2)
        if not words[0].startswith(b"HTTP/1.") or len(words) < 2:
            raise HttpError("no HTTP/1 answer")
        if words[1] != b"200":
            raise HttpError(f"status {words[1][:16].decode('ascii', 'replace')}")
        named = {name.strip().lower(): value.strip().lower() for name, _, value in (f.partition(b":") for f in fields)}
        self._chunked = named.get(b"transfer-encoding", b"").endswith(b"chunked")
        length = named.get(b"content-length")
        if not self._chunked:
            if length is not None and not length.isdigit():
                raise HttpError("bad length")
            self._left = -1 if length is None else int(length)
        self._head_read = True
        return True

    def _chunk(self) -> bool:
        end = self._held.find(b"\r\n")
        if end < 0:
            if len(self._held) > MOST_CHUNK_HEAD:
                raise HttpError("chunk head too long")
            return False
        text = bytes(self._held[:end]).partition(b";")[0].strip()
        if self._after_chunk and end == 0:  # the end of line that closes a chunk
            del self._held[:2]
            self._after_chunk = False
            return True
        if self._after_chunk or not _SIZE.fullmatch(text):
            raise HttpError("bad chunk")
        self._left = int(text, 16)
        del self._held[: end + 2]
        self.done = self._left == 0
        return not self.done

    def _take(self, found: list[bytes]) -> bool:
        if not self._held:
            return False
        part = bytes(self._held if self._left < 0 else self._held[: self._left])
        del self._held[: len(part)]
        self.begun = True
        if self._left > 0:
            self._left -= len(part)
            self._after_chunk = self._left == 0 and self._chunked
        found.extend(self._messages.feed(part))
        return True
