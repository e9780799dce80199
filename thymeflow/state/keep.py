"""The snapshot's file: written whole or not at all, read once at a start.

Temporary file beside it, written, fsync, renamed over the old one, then fsync of the folder. Whatever goes
wrong on the way leaves the old file as it was.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

from thymeflow.state.record import MOST_BYTES, SnapshotError


def write(path: Path, data: bytes) -> None:
    """Put the bytes in the place of the old file; OSError where that failed, with the old file standing."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[os.write(descriptor, rest):]
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary, path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(temporary)
        raise
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
