"""A log file that many processes append to, and that another program may rotate at the same time.

Each line is one write to a descriptor opened with O_APPEND, because the kernel appends such a write atomically (POSIX).
The length of a line is bounded, so that one write is enough. Before a line is written, and at most once a second, the
path is checked: if the path names another file than the open one, that file is opened instead.
"""

from __future__ import annotations

import contextlib
import os
import sys
from collections.abc import Callable
from pathlib import Path

ROTATION_CHECK_INTERVAL_SECONDS = 1.0
TRUNCATION_SUFFIX = b'...cut"}\n'
STANDARD_ERROR = 2
FILE_MODE = 0o640


class SharedFile:
    """A writer that appends lines to a log file, or to standard error if there is no path.

    :raises OSError: by the constructor, if the file cannot be opened.
    """

    def __init__(self, path: Path | None, max_line_bytes: int, now: Callable[[], float]) -> None:
        self._path = path
        self._max_line_bytes = max_line_bytes
        self._now = now
        self._checked_at = -ROTATION_CHECK_INTERVAL_SECONDS
        self._descriptor = STANDARD_ERROR if path is None else _open_for_append(path)
        self.dropped_lines = 0  # Number of lines that could not be written, for example to a full disk

    def write(self, line: str) -> None:
        """Append one line; a longer line is cut to the maximum length, and each line end within it becomes a space."""
        data = self._truncate(line.replace("\n", " ").encode(errors="replace"))
        self._follow_rotation()
        try:
            os.write(self._descriptor, data + b"\n")
        except OSError:
            self.dropped_lines += 1  # A failed write to the log must not stop the program

    def _truncate(self, data: bytes) -> bytes:
        if len(data) + 1 <= self._max_line_bytes:
            return data
        # The suffix ends a JSON line as one string, which most readers can parse.
        prefix = data[: self._max_line_bytes - len(TRUNCATION_SUFFIX)]
        return prefix.decode(errors="ignore").encode() + TRUNCATION_SUFFIX[:-1]

    def _follow_rotation(self) -> None:
        now = self._now()
        if self._path is None or now - self._checked_at < ROTATION_CHECK_INTERVAL_SECONDS:
            return
        self._checked_at = now
        opened = os.fstat(self._descriptor)
        # If the folder is missing, the error is ignored, and lines continue to go to the old file.
        with contextlib.suppress(OSError):
            if not _is_same_file(self._path, opened):
                descriptor = _open_for_append(self._path)
                os.close(self._descriptor)
                self._descriptor = descriptor

    def close(self) -> None:
        """Close the file; standard error stays open."""
        if self._path is not None:
            sys.stderr.flush()
            os.close(self._descriptor)


def _open_for_append(path: Path) -> int:
    return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)


def _is_same_file(path: Path, opened: os.stat_result) -> bool:
    """Return whether `path` names the opened file; return False if `path` names no file.

    :raises OSError: if the path cannot be examined for another reason than a missing file.
    """
    try:
        named = os.stat(path)
    except FileNotFoundError:
        return False
    return (named.st_dev, named.st_ino) == (opened.st_dev, opened.st_ino)
