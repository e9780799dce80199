"""The ids of executed requests in a file that both processes of an upgrade map into their memory.

A client may leave the old process and send a request again to the new one within a millisecond, sooner than a message
between the two would arrive. The file is a hash table of buckets with a fixed number of entries, each of which holds an
id and the time of the monotonic clock at which it expires; both processes read the same clock.
"""

from __future__ import annotations

import mmap
import os
import struct
from pathlib import Path

from thymeflow.core.executed_requests import REMEMBERED_SECONDS
from thymeflow.limiter.assembly import Limiter
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind

REQUEST_IDS_SUFFIX = ".ids"  # of the file's name
BUCKET_COUNT = 4096
BUCKET_ENTRIES = 8
ENTRY = struct.Struct("<Qd")  # the id, and the time at which the entry expires
BUCKET_BYTES = BUCKET_ENTRIES * ENTRY.size
FILE_BYTES = BUCKET_COUNT * BUCKET_BYTES
FILE_MODE = 0o600
ID_BASE = 16


class SharedExecutedRequests:
    """Remembers the requests of all processes that map the same file; a full bucket forgets its oldest entry."""

    def __init__(self, path: Path) -> None:
        """Map the file, and create it if there is none.

        :raises OSError: if the file cannot be created or mapped.
        """
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            if os.fstat(descriptor).st_size != FILE_BYTES:
                os.ftruncate(descriptor, FILE_BYTES)
            # A store to a page that a full file system cannot provide would end the process by a signal.
            os.posix_fallocate(descriptor, 0, FILE_BYTES)
            self._table = mmap.mmap(descriptor, FILE_BYTES)
        finally:
            os.close(descriptor)

    def _read_bucket(self, number: int) -> tuple[int, list[tuple[int, float]]]:
        start = number % BUCKET_COUNT * BUCKET_BYTES
        entries = ENTRY.iter_unpack(self._table[start : start + BUCKET_BYTES])
        return start, [(entry_id, expires_at) for entry_id, expires_at in entries]

    def add(self, request_id: str) -> None:
        """Remember a request, whose first attempt is about to begin."""
        number = int(request_id, ID_BASE)
        start, entries = self._read_bucket(number)
        index = next(
            (index for index, entry in enumerate(entries) if entry[0] == number),
            min(range(BUCKET_ENTRIES), key=lambda index: entries[index][1]),
        )
        ENTRY.pack_into(self._table, start + index * ENTRY.size, number, clock.monotonic() + REMEMBERED_SECONDS)

    def discard(self, request_id: str) -> None:
        """Forget a request that certainly was not executed."""
        number = int(request_id, ID_BASE)
        start, entries = self._read_bucket(number)
        for index, (entry_id, _) in enumerate(entries):
            if entry_id == number:
                ENTRY.pack_into(self._table, start + index * ENTRY.size, 0, 0.0)

    def contains(self, request_id: str) -> bool:
        """Return whether a request was added less than `REMEMBERED_SECONDS` ago and not discarded."""
        number = int(request_id, ID_BASE)
        now = clock.monotonic()
        _, entries = self._read_bucket(number)
        return any(entry_id == number and now < expires_at for entry_id, expires_at in entries)


def share_executed_requests(limiter: Limiter, path: Path) -> None:
    """Let a limiter remember executed requests in a file; without the file it remembers those of its own process."""
    try:
        limiter.dispatcher.share_executed_requests(SharedExecutedRequests(path))
    except (OSError, ValueError) as error:
        log.emit(LogKind.HANDOVER, f"request ids are not shared with a successor: {error}")
