"""The snapshots of one limiter process: taken of its gateway, or restored from an earlier process."""

from __future__ import annotations

from enum import Enum

from thymeflow.decision.gateway import Gateway
from thymeflow.decision.types import EndpointListKind
from thymeflow.platform import endpoints
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.snapshot import restore, schema


class SnapshotSource(Enum):
    """The origin of a restored snapshot; the status prints the values, which are a format."""

    NONE = "none"
    FILE = "file"
    HANDOVER = "hand-over"


_SOURCE_TEXTS = {SnapshotSource.FILE: "snapshot file", SnapshotSource.HANDOVER: "handover"}


class SnapshotStore:
    """Takes snapshots of a gateway, and restores a snapshot that an earlier process took."""

    def __init__(self, name: str, incarnation: str, initial_endpoints: endpoints.EndpointUpdate) -> None:
        self.name = name
        self.source = SnapshotSource.NONE
        self.version = initial_endpoints.change.version  # The version of the endpoint list.
        self._incarnation = incarnation
        self._addresses: dict[int, endpoints.Address] = {}
        self._gateway: Gateway | None = None
        # The restored snapshot until its health records can be restored, for which the endpoint list must be known.
        self._snapshot_awaiting_endpoints: schema.Snapshot | None = None

    def set_gateway(self, gateway: Gateway) -> None:
        """Set the gateway whose state is taken and restored."""
        self._gateway = gateway

    def restore(self, snapshot: schema.Snapshot, source: SnapshotSource) -> None:
        """Restore the gateway's state from a snapshot; `source` is the snapshot's origin."""
        assert self._gateway is not None
        result = restore.restore_gateway(self._gateway, snapshot, clock.now())
        self._snapshot_awaiting_endpoints = snapshot
        self.source = source
        log.emit(
            LogKind.SNAPSHOT,
            f"restored {result.restored} customers from the {_SOURCE_TEXTS[source]} of incarnation {snapshot.life}, "
            f"taken {clock.now() - snapshot.taken:.1f} s ago{'' if snapshot.final else ' while it was running'}; "
            f"skipped {result.skipped}",
            customers=result.restored,
            left=result.skipped,
            final=snapshot.final,
        )
        self._restore_health()

    def on_endpoint_update(self, update: endpoints.EndpointUpdate) -> None:
        """Store the addresses in an update of the endpoint list, because the gateway does not store them."""
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
        snapshot = self._snapshot_awaiting_endpoints
        if snapshot is not None and self._gateway is not None and self._gateway.backends:
            self._snapshot_awaiting_endpoints = None
            restore.restore_health(self._gateway, snapshot, clock.now())

    def take_snapshot(self, final: bool) -> schema.Snapshot:
        """Return a snapshot of the current state; `final`: no more requests can be forwarded."""
        assert self._gateway is not None
        return restore.take_snapshot(
            self._gateway, self.name, self._incarnation, clock.now(), final, self.version, self._addresses
        )
