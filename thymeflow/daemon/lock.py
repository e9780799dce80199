"""The lock that keeps two processes from using one instance name; it ends with its owner, so none is ever stale.

flock(2) belongs to the open file, not to the process: when the descriptor is passed over the control socket, the
successor owns the lock too, and at no moment could a third process take the name.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from thymeflow.daemon.errors import DaemonError

MAX_OWNER_BYTES = 100  # of the lock file's content that is read


class NameTakenError(DaemonError):
    """Another process owns the name."""


class NameLock:
    """The lock of one instance name, owned from the start to the end of the process."""

    def __init__(self, path: Path, descriptor: int) -> None:
        self.path = path
        self.descriptor = descriptor

    @classmethod
    def acquire(cls, path: Path, incarnation: str) -> NameLock:
        """Acquire the lock and write the owner into its file.

        :raises NameTakenError: if another process owns it; the text names its pid.
        :raises OSError: if the file cannot be opened.
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

        :raises NameTakenError: if the descriptor is not that of the file at `path`.
        :raises OSError: if there is no such file or descriptor.
        """
        file_status = os.stat(path)
        descriptor_status = os.fstat(descriptor)
        if (file_status.st_dev, file_status.st_ino) != (descriptor_status.st_dev, descriptor_status.st_ino):
            message = f"the lock of the predecessor is not that of {path}"
            raise NameTakenError(message)
        return cls(path, descriptor)

    def write_owner(self, incarnation: str) -> None:
        """Write this process's pid and incarnation into the lock file."""
        os.ftruncate(self.descriptor, 0)
        os.pwrite(self.descriptor, f"{os.getpid()} {incarnation}\n".encode(), 0)

    def release(self) -> None:
        """Release the lock; the file stays, as removing it would let two processes lock two files of one name."""
        os.close(self.descriptor)


def is_name_free(path: Path) -> bool:
    """Return whether no process owns the lock at `path`, as the kernel sees it; a missing file is free."""
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
