"""The snapshots of one limiter process: taken from its gateway, and restored from an earlier process."""

from __future__ import annotations

from thymeflow.decision.gateway import Gateway
from thymeflow.decision.types import EndpointListKind
from thymeflow.platform import endpoints
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.snapshot import restore, schema


class SnapshotStore:
    """Takes snapshots of a gateway, and restores one that an earlier process took."""

    def __init__(self, name: str, incarnation: str, first_list: endpoints.EndpointUpdate) -> None:
        self._name = name
        self._incarnation = incarnation
        self.version = first_list.change.version
        self._addresses: dict[int, endpoints.Address] = {}
        self._gateway: Gateway | None = None
        self._awaiting_endpoints: schema.Snapshot | None = None  # its health records wait for the endpoint list
        self._source = "none"

    def set_gateway(self, gateway: Gateway) -> None:
        """Set the gateway whose state this is."""
        self._gateway = gateway

    def restore(self, snapshot: schema.Snapshot, source: str) -> None:
        """Restore the gateway's state from a snapshot that came from `source`."""
        assert self._gateway is not None
        result = restore.restore_gateway(self._gateway, snapshot, clock.now())
        self._awaiting_endpoints = snapshot
        self._source = source
        log.emit(
            LogKind.SNAPSHOT,
            f"{result.restored} customers remembered from the {source} of life {snapshot.life}, taken "
            f"{clock.now() - snapshot.taken:.1f} s ago{'' if snapshot.final else ' in passing'}; "
            f"{result.skipped} left out",
            customers=result.restored,
            left=result.skipped,
            final=snapshot.final,
        )
        self._restore_health()

    def on_endpoint_update(self, update: endpoints.EndpointUpdate) -> None:
        """Keep the addresses of an update of the endpoint list, as the gateway has none."""
        if update.change.kind is not EndpointListKind.DELTA:
            self._addresses.clear()
        for backend in update.change.backends:
            if backend.id in update.addresses:
                self._addresses[backend.id] = update.addresses[backend.id]
            else:
                self._addresses.pop(backend.id, None)
        self.version = max(self.version, update.change.version)
        self._restore_health()

    def _restore_health(self) -> None:
        snapshot = self._awaiting_endpoints
        if snapshot is not None and self._gateway is not None and self._gateway.backends:
            self._awaiting_endpoints = None
            restore.restore_health(self._gateway, snapshot, clock.now())

    def take_snapshot(self, final: bool) -> schema.Snapshot:
        """Return the state as it is now; `final` if nothing more can be forwarded."""
        assert self._gateway is not None
        return restore.take_snapshot(
            self._gateway, self._name, self._incarnation, clock.now(), final, self.version, self._addresses
        )
