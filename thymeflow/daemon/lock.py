"""One process for each name: a lock that ends with whoever holds it, so that none is ever stale.

flock(2) belongs to the open file, not to the process: passed on over the control socket, the successor holds
it too, and there is no moment in which a third process could take the name.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path


class NameTakenError(Exception):
    """Another process holds the name."""


class Lock:
    """A name's lock, held from the start to the end of the process."""

    def __init__(self, path: Path, descriptor: int) -> None:
        self.path, self.descriptor = path, descriptor

    @classmethod
    def take(cls, path: Path, life: str) -> Lock:
        """Take the name, or say who has it."""
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            holder = os.read(descriptor, 100).decode("ascii", "replace").split()
            os.close(descriptor)
            raise NameTakenError(f"{path.stem} is held by pid {holder[0] if holder else 'unknown'}") from None
        lock = cls(path, descriptor)
        lock.sign(life)
        return lock

    @classmethod
    def passed_on(cls, path: Path, descriptor: int) -> Lock:
        """The lock as a predecessor passed it on; Held where it is of another file."""
        named, held = os.stat(path), os.fstat(descriptor)
        if (named.st_dev, named.st_ino) != (held.st_dev, held.st_ino):
            raise NameTakenError(f"the lock passed on is not that of {path}")
        return cls(path, descriptor)

    def sign(self, life: str) -> None:
        """Write who holds it."""
        os.ftruncate(self.descriptor, 0)
        os.pwrite(self.descriptor, f"{os.getpid()} {life}\n".encode(), 0)

    def release(self) -> None:
        """Let go; the file stays, as removing it would let two processes lock two files of one name."""
        os.close(self.descriptor)


def is_free(path: Path) -> bool:
    """Whether nobody holds the name of that lock, by the kernel's word; a file that is not there is held by nobody."""
    try:
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except FileNotFoundError:
        return True
    except OSError:
        return False
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    finally:
        os.close(descriptor)
    return True
