"""Files that are replaced atomically: a reader sees the complete old content or the complete new content.

The content is written to a temporary file in the target's folder, which is synchronized and then renamed to the
target's name. A failure before the rename leaves the old file as it was. The caller chooses the durability of each
write, because each fsync waits for the disk that all instances share.
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
    """The event that a written file survives once `write` has returned."""

    # The end of the process. After a power cut the file may be damaged, and its owner can write it again.
    PROCESS = "process"
    CONTENT = "content"  # A power cut, after which the file has the complete old or new content.
    ALL = "all"  # A power cut, after which the file has the new content.


def write(path: Path, data: bytes, durability: Durability = Durability.ALL) -> None:
    """Replace the content of the file at `path`, which need not exist.

    :raises OSError: if the write failed. The old file is unchanged then, unless only the fsync of the folder failed,
        which leaves the new file in place.
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
    """Return the file's content, cut one byte after the maximum size of a snapshot; None if there is no file.

    :raises SnapshotError: if the file cannot be read.
    """
    try:
        with path.open("rb") as file:
            return file.read(MAX_SNAPSHOT_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        message = f"the file cannot be read: {error.strerror}"
        raise SnapshotError(message) from None
