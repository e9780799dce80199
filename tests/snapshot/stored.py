"""A gateway with the settings under which an earlier version took the stored snapshots."""

from __future__ import annotations

from tests.helpers import KEYED, SAFE, fleet, settings
from thymeflow.decision.events import EndpointsChanged
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import Information
from thymeflow.decision.types import EndpointListKind
from thymeflow.platform.endpoints import Address
from thymeflow.snapshot import restore, schema

TAKEN_AT = 1100.25  # Unix seconds of the stored snapshots.
RESTORED_AT = 1101.75
ADDRESSES = {number: Address("127.0.0.1", 7000 + number) for number in range(1, 5)}
STORED_LIST_VERSION = 7
WRITTEN_LIST_VERSION = 9


def make_restarted_gateway() -> Gateway:
    """Return a gateway with the settings and endpoint list of the stored snapshots that has restored none yet."""
    information = Information(counter=True, max_units=4.0, settles_units=True, max_gossip_per_second=100.0)
    gateway = Gateway(settings(classes=(SAFE, KEYED), information=information), 5)
    gateway.handle(TAKEN_AT + 1.0, EndpointsChanged(EndpointListKind.CACHED, fleet(), STORED_LIST_VERSION))
    return gateway


def compute_stored_site_digest() -> str:
    """Return the site digest of the stored snapshots, which identifies their plans, zone and index."""
    return schema.compute_site_digest(settings())


def pack_gateway_snapshot(gateway: Gateway) -> bytes:
    """Return the content of the snapshot file of a gateway."""
    snapshot = restore.take_snapshot(gateway, "n0", "0b1c2d3e", RESTORED_AT, False, WRITTEN_LIST_VERSION, ADDRESSES)
    return schema.pack(snapshot)
