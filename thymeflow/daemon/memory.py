"""The snapshot's comings and goings: read at a start, written now and then and at the end."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from thymeflow import Gateway
from thymeflow import interface as api
from thymeflow.net import clock, config, log
from thymeflow.state import keep, meaning, record


class Memory:
    """What one life writes down, and what it was given by an earlier one."""

    def __init__(self, path: Path, name: str, life: str, first_list: config.Listed) -> None:
        self.path, self._name, self._life = path, name, life
        self.version = first_list.membership.version
        self._addresses: dict[int, config.Address] = {}
        self._gateway: Gateway | None = None
        self._seen: record.Snapshot | None = None     # whose word on servers waits for the list
        self._writing = False
        self._at, self._bytes, self._failed, self._source = 0.0, 0, 0, "none"

    def told(self) -> dict[str, Any]:
        """For the status."""
        return {"at": self._at, "age_s": round(clock.now() - self._at, 1) if self._at else None,
                "bytes": self._bytes, "failed": self._failed, "remembered_from": self._source}

    def of(self, gateway: Gateway) -> None:
        """Whose memory this is."""
        self._gateway = gateway

    def read(self, site: str, fresh: float) -> record.Snapshot | None:
        """The snapshot in the file, where there is one to be believed."""
        try:
            data = keep.read(self.path)
            if data is None:
                return None
            snapshot = record.unpack(data)
            record.believed(snapshot, site, self._name, clock.now(), fresh)
        except record.SnapshotError as fault:
            log.note("snapshot", f"{self.path} is not used and the start values hold: {fault}")
            return None
        return snapshot

    def recall(self, snapshot: record.Snapshot, source: str) -> None:
        """Give the gateway what the snapshot remembers."""
        assert self._gateway is not None
        known, left = meaning.recall(self._gateway, snapshot, clock.now())
        self._seen, self._source = snapshot, source
        log.note("snapshot", f"{known} customers remembered from the {source} of life {snapshot.life}, taken "
                 f"{clock.now() - snapshot.taken:.1f} s ago{'' if snapshot.final else ' in passing'}; "
                 f"{left} left out", customers=known, left=left, final=snapshot.final)
        self._see()

    def listed(self, news: config.Listed) -> None:
        """A change of the list, kept beside the gateway, which knows no addresses."""
        if news.membership.kind is not api.ListKind.DELTA:
            self._addresses.clear()
        for entry in news.membership.backends:
            if entry.id in news.addresses:
                self._addresses[entry.id] = news.addresses[entry.id]
            else:
                self._addresses.pop(entry.id, None)
        self.version = max(self.version, news.membership.version)
        self._see()

    def has_list(self) -> bool:
        """Whether any application server is known."""
        return bool(self._addresses)

    def _see(self) -> None:
        if self._seen is not None and self._gateway is not None and self._gateway.servers:
            snapshot, self._seen = self._seen, None
            meaning.health(self._gateway, snapshot, clock.now())

    def snapshot(self, final: bool) -> record.Snapshot:
        """All that there is to remember now."""
        assert self._gateway is not None
        return meaning.remember(self._gateway, self._name, self._life, clock.now(), final, self.version,
                                self._addresses)

    def write_now(self, owner: Callable[[], bool] = lambda: True) -> Deferred[str] | None:
        """Write beside the reactor; the Deferred gives '' or the fault. None while one is being written."""
        if self._writing or not owner():
            return None
        self._writing = True
        writing: Deferred[str] = deferToThread(self._write, self.snapshot(False))

        def ended(result: Any) -> str:
            self._writing = False
            if not isinstance(result, str):
                self._failed += 1
                log.say("snapshot", f"{self.path} was not written, the old one stands: "
                        f"{result.getErrorMessage()}", failed=self._failed)
                return str(result.getErrorMessage())
            return result

        return writing.addBoth(ended)

    def _write(self, snapshot: record.Snapshot) -> str:
        data = record.pack(snapshot)
        # One that was taken in passing and lost to a power cut leaves an older one, whose gap is charged for.
        keep.write(self.path, data, keep.Lasting.ALL if snapshot.final else keep.Lasting.CONTENT)
        self._at, self._bytes = snapshot.taken, len(data)
        return ""

    def write_last(self) -> None:
        """Write at the end, when nothing more can be sent on."""
        try:
            self._write(self.snapshot(True))
        except OSError as fault:
            log.note("snapshot", f"the last one was not written, the old one stands: {fault}")
