"""The lock that prevents two processes from using one instance name.

The kernel releases the lock when its owner ends, so a lock is never stale. A lock of flock(2) belongs to the open file
and not to the process. When its descriptor is passed over the control socket, the successor therefore owns the lock
too, and no third process can take the name in the meantime.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from thymeflow.daemon.errors import DaemonError

MAX_OWNER_BYTES = 100  # Bytes of the lock file that are read.


class NameTakenError(DaemonError):
    """Another process owns the name."""


class NameLock:
    """The lock of one instance name, which a process owns from its start to its end."""

    def __init__(self, path: Path, descriptor: int) -> None:
        self.path = path
        self.descriptor = descriptor

    @classmethod
    def acquire(cls, path: Path, incarnation: str) -> NameLock:
        """Acquire the lock and write the owner into its file.

        :raises NameTakenError: if another process owns the lock; the text names its pid.
        :raises OSError: if the lock file cannot be opened.
        """
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            owner = os.read(descriptor, MAX_OWNER_BYTES).decode("ascii", "replace").split()
            os.close(descriptor)
            message = f"{path.stem} is held by pid {owner[0] if owner else 'unknown'}"
            raise NameTakenError(message) from None
        lock = cls(path, descriptor)
        lock.write_owner(incarnation)
        return lock

    @classmethod
    def adopt(cls, path: Path, descriptor: int) -> NameLock:
        """Return the lock that a predecessor passed on as an open descriptor.

        :raises NameTakenError: if the descriptor does not refer to the file at `path`.
        :raises OSError: if the file or the descriptor does not exist.
        """
        file_status = os.stat(path)
        descriptor_status = os.fstat(descriptor)
        if (file_status.st_dev, file_status.st_ino) != (descriptor_status.st_dev, descriptor_status.st_ino):
            message = f"the predecessor's lock descriptor does not refer to {path}"
            raise NameTakenError(message)
        return cls(path, descriptor)

    def write_owner(self, incarnation: str) -> None:
        """Write this process's pid and incarnation into the lock file."""
        os.ftruncate(self.descriptor, 0)
        os.pwrite(self.descriptor, f"{os.getpid()} {incarnation}\n".encode(), 0)

    def release(self) -> None:
        """Release the lock and leave its file: if it were removed, two processes could lock two files of one name."""
        os.close(self.descriptor)


def is_name_free(path: Path) -> bool:
    """Return whether no process owns the lock at `path`; the name of a missing file is free."""
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
