"""The snapshot's comings and goings: read at a start, written now and then and at the end."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from thymeflow.platform import endpoints
from thymeflow.runtime import clock, log
from thymeflow.snapshot import atomic_file, schema, store


class Memory(store.SnapshotStore):
    """What one life writes down, and what it was given by an earlier one."""

    def __init__(self, path: Path, name: str, life: str, first_list: endpoints.EndpointUpdate) -> None:
        super().__init__(name, life, first_list)
        self.path = path
        self._writing = False
        self._at, self._bytes, self._failed = 0.0, 0, 0

    def told(self) -> dict[str, Any]:
        """For the status."""
        return {
            "at": self._at,
            "age_s": round(clock.now() - self._at, 1) if self._at else None,
            "bytes": self._bytes,
            "failed": self._failed,
            "remembered_from": self._source,
        }

    def read(self, site: str, fresh: float) -> schema.Snapshot | None:
        """The snapshot in the file, where there is one to be believed."""
        try:
            data = atomic_file.read(self.path)
            if data is None:
                return None
            snapshot = schema.unpack(data)
            schema.check_applicable(snapshot, site, self._name, clock.now(), fresh)
        except schema.SnapshotError as fault:
            log.note("snapshot", f"{self.path} is not used and the start values hold: {fault}")
            return None
        return snapshot

    def write_now(self, owner: Callable[[], bool] = lambda: True) -> Deferred[str] | None:
        """Write beside the reactor; the Deferred gives '' or the fault. None while one is being written."""
        if self._writing or not owner():
            return None
        self._writing = True
        writing: Deferred[str] = deferToThread(self._write, self.take_snapshot(False))

        def ended(result: Any) -> str:
            self._writing = False
            if not isinstance(result, str):
                self._failed += 1
                log.say(
                    "snapshot",
                    f"{self.path} was not written, the old one stands: {result.getErrorMessage()}",
                    failed=self._failed,
                )
                return str(result.getErrorMessage())
            return result

        return writing.addBoth(ended)

    def _write(self, snapshot: schema.Snapshot) -> str:
        data = schema.pack(snapshot)
        # One that was taken in passing and lost to a power cut leaves an older one, whose gap is charged for.
        atomic_file.write(
            self.path, data, atomic_file.Durability.ALL if snapshot.final else atomic_file.Durability.CONTENT
        )
        self._at, self._bytes = snapshot.taken, len(data)
        return ""

    def write_last(self) -> None:
        """Write at the end, when nothing more can be sent on."""
        try:
            self._write(self.take_snapshot(True))
        except OSError as fault:
            log.note("snapshot", f"the last one was not written, the old one stands: {fault}")
