"""What one life knows that the next should: the list beside the gateway, and how an earlier life is recalled."""

from __future__ import annotations

from thymeflow.decision.gateway import Gateway
from thymeflow.decision.types import EndpointListKind
from thymeflow.platform import endpoints
from thymeflow.runtime import clock, log
from thymeflow.snapshot import restore, schema


class SnapshotStore:
    """What one life could write down, and what it was given by an earlier one."""

    def __init__(self, name: str, life: str, first_list: endpoints.EndpointUpdate) -> None:
        self._name, self._life = name, life
        self.version = first_list.change.version
        self._addresses: dict[int, endpoints.Address] = {}
        self._gateway: Gateway | None = None
        self._seen: schema.Snapshot | None = None  # whose word on servers waits for the list
        self._source = "none"

    def of(self, gateway: Gateway) -> None:
        """Whose memory this is."""
        self._gateway = gateway

    def recall(self, snapshot: schema.Snapshot, source: str) -> None:
        """Give the gateway what the snapshot remembers."""
        assert self._gateway is not None
        known, left = restore.recall(self._gateway, snapshot, clock.now())
        self._seen, self._source = snapshot, source
        log.note(
            "snapshot",
            f"{known} customers remembered from the {source} of life {snapshot.life}, taken "
            f"{clock.now() - snapshot.taken:.1f} s ago{'' if snapshot.final else ' in passing'}; "
            f"{left} left out",
            customers=known,
            left=left,
            final=snapshot.final,
        )
        self._see()

    def listed(self, news: endpoints.EndpointUpdate) -> None:
        """A change of the list, kept beside the gateway, which knows no addresses."""
        if news.change.kind is not EndpointListKind.DELTA:
            self._addresses.clear()
        for entry in news.change.backends:
            if entry.id in news.addresses:
                self._addresses[entry.id] = news.addresses[entry.id]
            else:
                self._addresses.pop(entry.id, None)
        self.version = max(self.version, news.change.version)
        self._see()

    def _see(self) -> None:
        if self._seen is not None and self._gateway is not None and self._gateway.backends:
            snapshot, self._seen = self._seen, None
            restore.health(self._gateway, snapshot, clock.now())

    def snapshot(self, final: bool) -> schema.Snapshot:
        """All that there is to remember now."""
        assert self._gateway is not None
        return restore.remember(
            self._gateway, self._name, self._life, clock.now(), final, self.version, self._addresses
        )
