"""Helpers of the snapshot tests: gateways with demand, their snapshots, and gateways restored from snapshots."""

from __future__ import annotations

from typing import Any, NamedTuple

from tests.helpers import fleet, request, sends, settings
from thymeflow.decision.events import AttemptEnded, EndpointsChanged
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.types import EndpointListKind, Status
from thymeflow.platform.endpoints import Address
from thymeflow.quota.token_bucket import TokenBucket
from thymeflow.snapshot import restore, schema

LIST_VERSION = 7
ADDRESSES = {backend_id: Address("127.0.0.1", 7000 + backend_id) for backend_id in range(1, 5)}


class Spending(NamedTuple):
    """The units that requests at a steady rate spent, and the time of the last request."""

    units: float
    ended_at: float


def make_gateway(start_level: float | None = None, **changes: Any) -> Gateway:
    """Return a gateway with changed settings that knows an endpoint list."""
    changed = settings(**changes)
    gateway = Gateway(changed, 1) if start_level is None else Gateway(changed, 1, start_level)
    gateway.handle(0.0, EndpointsChanged(EndpointListKind.CACHED, fleet(), LIST_VERSION))
    return gateway


def spend(gateway: Gateway, started_at: float, seconds: float, rate: float, name: str = "r") -> Spending:
    """Send requests at a steady rate; return the forwarded units and the time of the last request."""
    units = 0.0
    now = started_at
    for number in range(int(seconds * rate)):
        now += 1.0 / rate
        forwarded = sends(gateway.handle(now, request(f"{name}{now:.6f}-{number}")))
        units += len(forwarded)
        for attempt in forwarded:
            ended = AttemptEnded(
                attempt.id, 0, attempt.backend, Status.OK, 0.01, request_answered=True, actual_units=1.0
            )
            gateway.handle(now, ended)
    return Spending(units, now)


def take_snapshot(gateway: Gateway, now: float, final: bool = True) -> schema.Snapshot:
    """Return the gateway's snapshot under the name n0."""
    return restore.take_snapshot(gateway, "n0", "life", now, final, LIST_VERSION, ADDRESSES)


def restore_new_gateway(snapshot: schema.Snapshot, now: float, **changes: Any) -> Gateway:
    """Return a new gateway with changed settings that has restored the snapshot."""
    gateway = make_gateway(**changes)
    restore.restore_gateway(gateway, snapshot, now)
    return gateway


def get_only_bucket(gateway: Gateway) -> TokenBucket:
    """Return the only bucket of the gateway."""
    (bucket,) = gateway.buckets.values()
    return bucket
