"""A log file that many processes append to, and that may be rotated under them.

One line is one write to a descriptor opened for appending, which the kernel puts whole behind all that
stands there (POSIX write with O_APPEND); its length is bounded, so that it stays one write. Before a line,
and at most once a second, the file's name is looked at: where it names another file by now, that one is
opened.
"""

from __future__ import annotations

import contextlib
import os
import sys
from collections.abc import Callable
from pathlib import Path

LOOK = 1.0  # s: between looks at whether the file was rotated
TAIL = b'...cut"}\n'


class SharedFile:
    """The end of a file that others append to as well."""

    def __init__(self, path: Path | None, most_line: int, now: Callable[[], float]) -> None:
        self._path, self._most, self._now = path, most_line, now
        self._looked = -LOOK
        self._descriptor = 2 if path is None else self._open(path)
        self.dropped_lines = 0  # lines that could not be written, as the disk is full

    @staticmethod
    def _open(path: Path) -> int:
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o640)

    def _look(self) -> None:
        now = self._now()
        if self._path is None or now - self._looked < LOOK:
            return
        self._looked = now
        held = os.fstat(self._descriptor)
        with contextlib.suppress(OSError):  # the folder may be away for a moment: the old file takes lines
            try:
                named = os.stat(self._path)
                same = (named.st_dev, named.st_ino) == (held.st_dev, held.st_ino)
            except FileNotFoundError:
                same = False
            if not same:
                fresh = self._open(self._path)
                os.close(self._descriptor)
                self._descriptor = fresh

    def write(self, line: str) -> None:
        """Append one line; what passes the bound is cut, a line end within it becomes a space."""
        data = line.replace("\n", " ").encode(errors="replace")
        if len(data) + 1 > self._most:
            # Cut JSON would not be read by anything: it ends as one string, which most readers survive.
            data = data[: self._most - len(TAIL)].decode(errors="ignore").encode() + TAIL[:-1]
        self._look()
        try:
            os.write(self._descriptor, data + b"\n")
        except OSError:
            self.dropped_lines += 1  # a log that cannot be written must not end what it tells of

    def close(self) -> None:
        """Let go of the file; standard error stays."""
        if self._path is not None:
            sys.stderr.flush()
            os.close(self._descriptor)
