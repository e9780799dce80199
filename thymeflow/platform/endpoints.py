"""Parser for endpoint lists in the platform's format: addresses, backends and their states."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping
from math import isfinite
from typing import Any, NamedTuple

from thymeflow.decision.events import EndpointsChanged
from thymeflow.decision.types import Backend, BackendState, EndpointListKind
from thymeflow.runtime import log
from thymeflow.runtime.log_kinds import LogKind

BACKEND_STATES = {"active": BackendState.READY, "leaving": BackendState.DRAINING, "left": BackendState.GONE}
PLAIN_ID = re.compile(r"s-[0-9a-f]{8}")
DIGEST_FLAG = 1 << 32  # set in ids that are digests, so that they never equal a plain id


class Address(NamedTuple):
    """A host and a port to connect to or to listen on."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class EndpointUpdate(NamedTuple):
    """A change of the endpoint list: the event for the gateway, and the address of each backend by its id."""

    change: EndpointsChanged
    addresses: dict[int, Address]


def address(text: object, min_port: int = 1) -> Address:
    """Return the address in a text host:port; with a `min_port` of 0, port 0 lets the system choose the port.

    :raises ValueError: if the value is not such a text, or the port is out of range.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isascii() or not port.isdigit() or not min_port <= int(port) < 65536:
        message = f"{text!r} is no address"
        raise ValueError(message)
    return Address(host.strip("[]"), int(port))


def compute_backend_id(instance_id: object) -> int:
    """Return the number that identifies a backend in the gateway: the digits of a plain instance id, else a digest.

    :raises ValueError: if the value is not a text or is empty.
    """
    if not isinstance(instance_id, str) or not instance_id:
        message = f"{instance_id!r} is no instance id"
        raise ValueError(message)
    if PLAIN_ID.fullmatch(instance_id):
        return int(instance_id[2:], 16)
    return DIGEST_FLAG | int.from_bytes(hashlib.blake2b(instance_id.encode(), digest_size=4).digest(), "big")


def _parse_backend(entry: dict[str, Any]) -> Backend:
    backend_id = compute_backend_id(entry["instanceId"])
    lifecycle = entry["lifecycle"]
    state = BACKEND_STATES.get(lifecycle, BackendState.DRAINING)
    if lifecycle not in BACKEND_STATES:
        # A newer version of discovery may send other states. The backend gets no new requests, because it is unknown
        # whether it accepts them.
        log.emit_rate_limited(
            LogKind.DISCOVERY,
            f"backend {entry['instanceId']} gets no new requests, because its lifecycle {lifecycle!r} is unknown",
        )
    weight = float(entry.get("weight", 1.0))
    started_at_ms = float(entry.get("startedAtMs", 0))
    if not (isfinite(weight) and weight >= 0.0 and isfinite(started_at_ms)):
        # A NaN would make every score that it enters a NaN.
        message = f"weight {weight} is negative or not finite, or startedAtMs {started_at_ms} is not finite"
        raise ValueError(message)
    return Backend(
        backend_id,
        str(entry.get("zone", "")),
        state,
        int(entry.get("cell", 0)),
        str(entry.get("machineType", "")),
        weight,
        max(0.0, started_at_ms) / 1000.0,
    )


def parse_endpoint_update(message: Any, cached: bool = False) -> EndpointUpdate:  # noqa: ANN401 (parsed JSON)
    """Return the update in a message of discovery; `cached` marks a list that may be old.

    :raises ValueError, KeyError, TypeError: if the message is malformed.
    """
    backends: list[Backend] = []
    addresses: dict[int, Address] = {}
    for entry in message["instances"]:
        backend = _parse_backend(entry)
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


def mark_replaced_backends(update: EndpointUpdate, current_addresses: Mapping[int, Address]) -> EndpointUpdate:
    """Return the update with the backends as gone whose address it gives to another one.

    The end of the earlier backend may be reported later than the start of the new one, which must not get its requests.
    """
    owners = {address: backend_id for backend_id, address in update.addresses.items()}
    changed_ids = {backend.id for backend in update.change.backends}
    replaced = tuple(
        Backend(backend_id, "", BackendState.GONE)
        for backend_id, address in current_addresses.items()
        if backend_id not in changed_ids and owners.get(address, backend_id) != backend_id
    )
    if not replaced:
        return update
    return update._replace(change=update.change._replace(backends=(*replaced, *update.change.backends)))
