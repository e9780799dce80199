"""The snapshot as it is written: typed records, and bytes with a head that tells whether to believe them.

    thymeflow-snapshot VERSION SITE TAKEN LENGTH DIGEST\n
    {...}

Everything is checked before anything is used: the head, the length, the digest (BLAKE2b), then each value's
type (`typed`). Whoever reads gets one `SnapshotError` with a line that says what is wrong and where. The
standard library is enough for it: the platform's run line hands its state over and imports nothing more.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import asdict, dataclass, field
from typing import Any

from thymeflow.decision.settings import GatewaySettings, Plan
from thymeflow.snapshot.validation import InvalidValueError, typed

MAGIC = "thymeflow-snapshot"
VERSION = 2  # 2: counts hold charges beside demand
MOST_BYTES = 64 << 20  # a larger file is no snapshot of ours
MOST_HEAD = 200
AHEAD = 1.0  # s: by how much a snapshot may be newer than our clock, for clocks that step


class SnapshotError(Exception):
    """The snapshot is not used; the text says why in one line."""


@dataclass(frozen=True, slots=True)
class AccountRecord:
    """A customer's counter ledger: see `quota.counter_ledger.CounterLedger`."""

    read: float
    told: float = 0.0
    spent: float = 0.0
    name: int = -1
    total: float = 0.0
    unsure: tuple[int, float] = (-1, 0.0)


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """A customer's store at one limiter. Amounts are units, times Unix seconds."""

    number: int
    plan: str
    at: float
    seen: float
    level: float
    fleet: float
    guard: float
    own: float
    others: float
    asked: float
    charged: float
    lump: float
    excess: float
    memory: float
    count: int
    members: tuple[int, ...]
    gathers: bool
    ahead: float  # what others may have charged since the last reading
    account: AccountRecord


@dataclass(frozen=True, slots=True)
class HealthRecord:
    """What was seen of one application server in its present life."""

    id: int
    started: float
    pace: float
    gap: float
    # By class: failures in a row, end of the ejection or 0.
    failures: dict[str, tuple[int, float]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """An application server of the list."""

    id: int
    host: str
    port: int
    zone: str
    state: int
    cell: int
    kind: str
    weight: float
    started: float


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All that a limiter remembers of one life."""

    site: str
    name: str
    life: str
    taken: float
    final: bool  # written when nothing more could be sent on
    gateways: int
    pressure: float
    usual: float
    budget: float
    call_rate: float
    version: int  # of the list
    servers: tuple[ServerRecord, ...]
    health: tuple[HealthRecord, ...]
    stores: tuple[StoreRecord, ...]


class _Verbatim(str):
    """Text that stands in a `repr` as it is."""

    __repr__ = str.__str__


def _plan_text(plan: Plan) -> _Verbatim:
    # The format that site digests have been made of since version 1; its names are not those of the code.
    values = {
        "name": plan.name,
        "rate": plan.rate,
        "burst": plan.burst,
        "open_limit": plan.max_concurrency,
        "price": plan.price,
        "over_worth": plan.over_quota_weight,
        "over_cost": plan.over_quota_cost,
        "ceiling_rate": plan.ceiling_rate,
        "ceiling_burst": plan.ceiling_burst,
        "ceiling_slack": plan.ceiling_slack,
    }
    return _Verbatim(f"Plan({', '.join(f'{name}={value!r}' for name, value in values.items())})")


def site_of(settings: GatewaySettings) -> str:
    """Digest of what must be equal for a bucket to mean the same: plans, zone and index, not classes or set size."""
    text = repr((tuple(_plan_text(plan) for plan in settings.plans), settings.zone, settings.index))
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def pack(snapshot: Snapshot) -> bytes:
    """The file's bytes."""
    body = json.dumps(asdict(snapshot), separators=(",", ":")).encode()
    digest = hashlib.blake2b(body, digest_size=16).hexdigest()
    head = f"{MAGIC} {VERSION} {snapshot.site} {snapshot.taken:.6f} {len(body)} {digest}\n"
    return head.encode() + body


def _renewed(found: Any) -> Any:
    # Version 1 is what an upgrade from before 2 hands over: its counts held no charges, and had other names.
    for store in found["stores"] if isinstance(found, dict) and isinstance(found.get("stores"), list) else ():
        if isinstance(store, dict):
            account = {"told": store.pop("told", None), "read": store.pop("read", 0.0), "spent": store.get("charged")}
            for name in ("window", "total", "unsure_window", "unsure"):
                store.pop(name, None)
            store.update(account=account, ahead=0.0)
    return found


def unpack(data: bytes) -> Snapshot:
    """The snapshot in a file's bytes; SnapshotError where they are not whole and sound."""
    if len(data) > MOST_BYTES:
        raise SnapshotError(f"it holds {len(data)} bytes, over the {MOST_BYTES} that one may have")
    head, mark, body = data.partition(b"\n")
    words = head[:MOST_HEAD].decode("ascii", "replace").split(" ")
    if not mark or words[0] != MAGIC or len(words) < 2:
        raise SnapshotError(f"it does not begin with the line '{MAGIC} VERSION ...'")
    if words[1] not in ("1", str(VERSION)):
        raise SnapshotError(f"it is of version {words[1][:20]}, and this program reads versions 1 and {VERSION}")
    if len(words) != 6 or not words[4].isdigit():
        raise SnapshotError("its first line is damaged")
    if len(body) != int(words[4]):
        raise SnapshotError(f"it was cut: {len(body)} bytes of {words[4]} are there")
    if hashlib.blake2b(body, digest_size=16).hexdigest() != words[5]:
        raise SnapshotError("its checksum does not fit its content")
    try:
        found = json.loads(body)
        snapshot: Snapshot = typed(Snapshot, _renewed(found) if words[1] == "1" else found, "snapshot")
    except (InvalidValueError, ValueError, RecursionError) as fault:
        raise SnapshotError(f"a value is not of its type: {fault}") from None
    if words[2] != snapshot.site or words[3] != f"{snapshot.taken:.6f}":
        raise SnapshotError("its first line and its content differ")
    return snapshot


def believed(snapshot: Snapshot, site: str, name: str, now: float, fresh: float) -> None:
    """Whether a sound snapshot is ours and of now; SnapshotError says why it is not."""
    if snapshot.site != site:
        raise SnapshotError(f"it is of another site or place in the set ({snapshot.site}, here {site})")
    if snapshot.name != name:
        raise SnapshotError(f"it is of the limiter {snapshot.name!r}, here {name!r}")
    age = now - snapshot.taken
    if age < -AHEAD:
        raise SnapshotError(f"it was taken {-age:.1f} s in the future")
    if age > fresh:
        raise SnapshotError(f"it is {age:.1f} s old, and is read within {fresh:g} s")
