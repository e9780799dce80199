"""Files that are replaced atomically: a reader sees all of the old content or all of the new.

The content goes to a temporary file beside the target, which is synchronized and then renamed over it. A failure on
the way leaves the old file as it was. The caller decides what a write has to survive, since each fsync waits for the
disk that all instances share.
"""

from __future__ import annotations

import contextlib
import os
from enum import Enum
from pathlib import Path

from thymeflow.snapshot.errors import SnapshotError
from thymeflow.snapshot.schema import MAX_SNAPSHOT_BYTES

FILE_MODE = 0o600


class Durability(Enum):
    """What a file survives once `write` has returned."""

    PROCESS = "process"  # the end of the process; after a power cut the file can be made again
    CONTENT = "content"  # a power cut, after which the old content or the new one is complete
    ALL = "all"  # a power cut, after which the new content is there


def write(path: Path, data: bytes, durability: Durability = Durability.ALL) -> None:
    """Replace the file's content.

    :raises OSError: if that failed; the old file is unchanged, except that a failed fsync of the folder leaves the
        new file in place.
    """
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)
    try:
        try:
            _write_all(descriptor, data)
            if durability is not Durability.PROCESS:
                os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary, path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(temporary)
        raise
    if durability is Durability.ALL:
        _sync_folder(path.parent)


def _write_all(descriptor: int, data: bytes) -> None:
    remainder = memoryview(data)
    while remainder:
        written = os.write(descriptor, remainder)
        remainder = remainder[written:]


def _sync_folder(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def read(path: Path) -> bytes | None:
    """Return the file's content, at most one byte more than a snapshot may have; None if there is no file.

    :raises SnapshotError: if it cannot be read.
    """
    try:
        with path.open("rb") as file:
            return file.read(MAX_SNAPSHOT_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        message = f"it cannot be read: {error.strerror}"
        raise SnapshotError(message) from None
