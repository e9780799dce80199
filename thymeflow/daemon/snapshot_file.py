"""The snapshot file of an instance, which is read at the start and written at an interval and at the end."""

from __future__ import annotations

from pathlib import Path

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread
from twisted.python.failure import Failure

from thymeflow.handover.control_socket import Message
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.snapshot import atomic_file, schema
from thymeflow.snapshot.store import SnapshotStore


class SnapshotFile:
    """The file that the snapshots of one incarnation are written to."""

    def __init__(self, path: Path, store: SnapshotStore) -> None:
        self.path = path
        self._store = store
        self._is_writing = False
        self._written_at = 0.0  # Unix seconds; 0.0 before the first write.
        self._written_bytes = 0
        self._failure_count = 0

    def build_status_message(self) -> Message:
        """Return the snapshot values of the instance status; the keys are a format."""
        return {
            "at": self._written_at,
            "age_s": round(clock.now() - self._written_at, 1) if self._written_at else None,
            "bytes": self._written_bytes,
            "failed": self._failure_count,
            "remembered_from": self._store.source.value,
        }

    def read_usable(self, site: str, max_age_seconds: float) -> schema.Snapshot | None:
        """Return the snapshot in the file, or None if there is no usable one for `site` and the maximum age."""
        try:
            data = atomic_file.read(self.path)
            if data is None:
                return None
            snapshot = schema.unpack(data)
            schema.check_applicable(snapshot, site, self._store.name, clock.now(), max_age_seconds)
        except schema.SnapshotError as error:
            log.emit(LogKind.SNAPSHOT, f"{self.path} is ignored, and token buckets start with defaults: {error}")
            return None
        return snapshot

    def start_write(self) -> Deferred[str] | None:
        """Write a snapshot in a thread; the Deferred fires with an empty string or the cause of a failure.

        Return None while another write is in progress.
        """
        if self._is_writing:
            return None
        self._is_writing = True
        writing: Deferred[str] = deferToThread(self._write, self._store.take_snapshot(False))
        return writing.addBoth(self._on_written)

    def _on_written(self, result: str | Failure) -> str:
        self._is_writing = False
        if isinstance(result, str):
            return result
        self._failure_count += 1
        cause = str(result.getErrorMessage())
        log.emit_rate_limited(
            LogKind.SNAPSHOT,
            f"{self.path} was not written, and its earlier content remains: {cause}",
            failed=self._failure_count,
        )
        return cause

    def _write(self, snapshot: schema.Snapshot) -> str:
        data = schema.pack(snapshot)
        # If a power cut loses an interval snapshot, the older one remains, and its longer gap is charged.
        durability = atomic_file.Durability.ALL if snapshot.final else atomic_file.Durability.CONTENT
        atomic_file.write(self.path, data, durability)
        self._written_at = snapshot.taken
        self._written_bytes = len(data)
        return ""

    def write_final(self) -> None:
        """Write the final snapshot and wait for the write; call this when no more requests can be forwarded."""
        try:
            self._write(self._store.take_snapshot(True))
        except OSError as error:
            log.emit(
                LogKind.SNAPSHOT,
                f"the final snapshot was not written, and {self.path} keeps its earlier content: {error}",
            )
