"""Files written whole or not at all: the snapshot's, and others that must never be seen half written.

Temporary file beside it, written, fsync, renamed over the old one. Whatever goes wrong on the way leaves the old
file as it was. How far a write has to outlast the machine itself is the caller's to say, as each fsync waits for
the disk that all instances share.
"""

from __future__ import annotations

import contextlib
import os
from enum import Enum
from pathlib import Path

from thymeflow.snapshot.schema import MOST_BYTES, SnapshotError


class Durability(Enum):
    """What a file outlasts once `write` has returned."""

    PROCESS = "process"  # it can be made again after a power cut
    CONTENT = "content"  # after one, the old file or the new one is there, each whole
    ALL = "all"  # after one, the new file is there


def write(path: Path, data: bytes, lasting: Durability = Durability.ALL) -> None:
    """Put the bytes in the place of the old file; OSError where that failed, with the old file standing."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[os.write(descriptor, rest) :]
            if lasting is not Durability.PROCESS:
                os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary, path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(temporary)
        raise
    if lasting is not Durability.ALL:
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def read(path: Path) -> bytes | None:
    """The file's bytes, None where there is none; SnapshotError where it cannot be read."""
    try:
        with path.open("rb") as file:
            return file.read(MOST_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as fault:
        raise SnapshotError(f"it cannot be read: {fault.strerror}") from None
