"""The snapshot file of an instance: read at a start, written at an interval and at the end."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread
from twisted.python.failure import Failure

from thymeflow.handover.control_socket import Message
from thymeflow.platform import endpoints
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.snapshot import atomic_file, schema, store


def _always() -> bool:
    return True


class SnapshotFile(store.SnapshotStore):
    """The snapshot store of one incarnation, with the file that it writes to."""

    def __init__(self, path: Path, name: str, incarnation: str, first_list: endpoints.EndpointUpdate) -> None:
        super().__init__(name, incarnation, first_list)
        self.path = path
        self._is_writing = False
        self._written_at = 0.0  # s, 0.0 before the first write
        self._written_bytes = 0
        self._failure_count = 0

    def status(self) -> Message:
        """Return the snapshot's part of the instance status."""
        return {
            "at": self._written_at,
            "age_s": round(clock.now() - self._written_at, 1) if self._written_at else None,
            "bytes": self._written_bytes,
            "failed": self._failure_count,
            "remembered_from": self._source,
        }

    def read_usable(self, site: str, max_age_seconds: float) -> schema.Snapshot | None:
        """Return the snapshot in the file, or None if there is none that is usable for `site`."""
        try:
            data = atomic_file.read(self.path)
            if data is None:
                return None
            snapshot = schema.unpack(data)
            schema.check_applicable(snapshot, site, self._name, clock.now(), max_age_seconds)
        except schema.SnapshotError as fault:
            log.emit(LogKind.SNAPSHOT, f"{self.path} is not used and the start values hold: {fault}")
            return None
        return snapshot

    def write_now(self, is_owner: Callable[[], bool] = _always) -> Deferred[str] | None:
        """Write in a thread; the Deferred fires with an empty string or the fault.

        Returns None while another write is in progress, or if this process does not own the name.
        """
        if self._is_writing or not is_owner():
            return None
        self._is_writing = True
        writing: Deferred[str] = deferToThread(self._write, self.take_snapshot(False))
        return writing.addBoth(self._on_written)

    def _on_written(self, result: str | Failure) -> str:
        self._is_writing = False
        if isinstance(result, str):
            return result
        self._failure_count += 1
        fault = str(result.getErrorMessage())
        log.emit_rate_limited(
            LogKind.SNAPSHOT, f"{self.path} was not written, the old one stands: {fault}", failed=self._failure_count
        )
        return fault

    def _write(self, snapshot: schema.Snapshot) -> str:
        data = schema.pack(snapshot)
        # An interval snapshot lost to a power cut leaves an older one, whose gap is charged for.
        durability = atomic_file.Durability.ALL if snapshot.final else atomic_file.Durability.CONTENT
        atomic_file.write(self.path, data, durability)
        self._written_at = snapshot.taken
        self._written_bytes = len(data)
        return ""

    def write_last(self) -> None:
        """Write the final snapshot at once; call it when no more requests can be forwarded."""
        try:
            self._write(self.take_snapshot(True))
        except OSError as fault:
            log.emit(LogKind.SNAPSHOT, f"the last one was not written, the old one stands: {fault}")
