"""Endpoint lists in the platform's form: addresses, backends and their states."""

from __future__ import annotations

import hashlib
import re
from math import isfinite
from typing import Any, NamedTuple

from thymeflow.decision.events import EndpointsChanged
from thymeflow.decision.types import Backend, BackendState, EndpointListKind
from thymeflow.runtime import log
from thymeflow.runtime.log_kinds import LogKind

BACKEND_STATES = {"active": BackendState.READY, "leaving": BackendState.DRAINING, "left": BackendState.GONE}
PLAIN_ID = re.compile(r"s-[0-9a-f]{8}")
DIGEST_FLAG = 1 << 32  # set in ids that are digests, so that they never equal a plain one


class Address(NamedTuple):
    """Where to connect or to listen."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class EndpointUpdate(NamedTuple):
    """A change of the endpoint list: the event for the gateway, and where each backend listens."""

    change: EndpointsChanged
    addresses: dict[int, Address]


def address(text: object, min_port: int = 1) -> Address:
    """Return an address written host:port; a `min_port` of 0 lets the system choose a port to listen on.

    :raises ValueError: where the text is no address.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isascii() or not port.isdigit() or not min_port <= int(port) < 65536:
        message = f"{text!r} is no address"
        raise ValueError(message)
    return Address(host.strip("[]"), int(port))


def backend_id(instance_id: object) -> int:
    """Return the number by which the gateway knows a backend: its id's digits, or else a digest."""
    if not isinstance(instance_id, str) or not instance_id:
        message = f"{instance_id!r} is no instance id"
        raise ValueError(message)
    if PLAIN_ID.fullmatch(instance_id):
        return int(instance_id[2:], 16)
    return DIGEST_FLAG | int.from_bytes(hashlib.blake2b(instance_id.encode(), digest_size=4).digest(), "big")


def _backend(entry: dict[str, Any]) -> Backend:
    number = backend_id(entry["instanceId"])
    lifecycle = entry["lifecycle"]
    state = BACKEND_STATES.get(lifecycle, BackendState.DRAINING)
    if lifecycle not in BACKEND_STATES:
        # A later discovery's state: whether the backend takes new requests is not known, so it gets none.
        log.emit_rate_limited(
            LogKind.DISCOVERY, f"{entry['instanceId']}: lifecycle {lifecycle!r} is unknown, nothing new goes there"
        )
    weight = float(entry.get("weight", 1.0))
    started_at_ms = float(entry.get("startedAtMs", 0))
    if not (isfinite(weight) and weight >= 0.0 and isfinite(started_at_ms)):
        message = "weight or startedAtMs is no number"  # NaN would spread through the scores
        raise ValueError(message)
    return Backend(
        number,
        str(entry.get("zone", "")),
        state,
        int(entry.get("cell", 0)),
        str(entry.get("machineType", "")),
        weight,
        max(0.0, started_at_ms) / 1000.0,
    )


def parse_endpoint_update(message: Any, cached: bool = False) -> EndpointUpdate:  # noqa: ANN401 (parsed JSON)
    """Return the update in a message of discovery's form; `cached` says that it may be old.

    :raises ValueError, KeyError, TypeError: where the message is not of that form.
    """
    backends: list[Backend] = []
    addresses: dict[int, Address] = {}
    for entry in message["instances"]:
        backend = _backend(entry)
        backends.append(backend)
        if backend.state is not BackendState.GONE:
            addresses[backend.id] = address(entry["hostPort"])
    kind = EndpointListKind.DELTA
    if cached:
        kind = EndpointListKind.CACHED
    elif message.get("reset"):
        kind = EndpointListKind.FULL
    change = EndpointsChanged(kind, tuple(backends), int(message["generation"]))
    return EndpointUpdate(change, addresses)
