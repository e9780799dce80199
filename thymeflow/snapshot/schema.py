r"""The format of snapshots: typed records, and bytes with a header that shows whether they can be trusted.

    thymeflow-snapshot VERSION SITE TAKEN LENGTH DIGEST\n
    {...}

Everything is checked before anything is used: the header, the length, the digest (BLAKE2b), then each value's type
(`validation`). All faults are reported as one SnapshotError. The module needs the standard library only, since the
platform's run hands its state over too and imports nothing more.

The names of the records' fields are the keys of the file, a format that earlier versions wrote and later ones read;
they stay as they are. `restore` translates them to the names of the code.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import asdict, dataclass, field
from typing import NamedTuple

from thymeflow.decision.settings import GatewaySettings, Plan
from thymeflow.snapshot.errors import InvalidFieldError
from thymeflow.snapshot.errors import SnapshotError as SnapshotError
from thymeflow.snapshot.validation import convert_record

MAGIC = "thymeflow-snapshot"
VERSION = 2  # since 2, records hold charges beside demand
UNCHARGED_VERSION = 1
MAX_SNAPSHOT_BYTES = 64 << 20
MAX_HEADER_BYTES = 200
HEADER_FIELD_COUNT = 6
MIN_HEADER_FIELD_COUNT = 2  # up to the version, by which the rest is read
BODY_BYTES_INDEX = 4  # of the header's fields
MAX_CLOCK_SKEW_SECONDS = 1.0  # by which a snapshot may be newer than the clock, as clocks are stepped
SITE_DIGEST_BYTES = 8
BODY_DIGEST_BYTES = 16
MAX_QUOTED_VERSION_LENGTH = 20


@dataclass(frozen=True, slots=True)
class AccountRecord:
    """A customer's counter ledger; see `quota.counter_ledger.CounterLedger`."""

    read: float
    told: float = 0.0
    spent: float = 0.0
    name: int = -1
    total: float = 0.0
    unsure: tuple[int, float] = (-1, 0.0)


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """A customer's token bucket at one limiter; amounts are in units, times in Unix seconds."""

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
    ahead: float  # what other limiters may have charged since the counter was read
    account: AccountRecord


@dataclass(frozen=True, slots=True)
class HealthRecord:
    """The health of one backend, as observed since it started."""

    id: int
    started: float
    pace: float
    gap: float
    # By request class: consecutive failures, and the end of the ejection or 0.
    failures: dict[str, tuple[int, float]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """A backend of the endpoint list."""

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
    """The state of a limiter."""

    site: str
    name: str
    life: str
    taken: float
    final: bool  # taken when nothing more could be forwarded
    gateways: int
    pressure: float
    usual: float
    budget: float
    call_rate: float
    version: int  # of the endpoint list
    servers: tuple[ServerRecord, ...]
    health: tuple[HealthRecord, ...]
    stores: tuple[StoreRecord, ...]


class _UnquotedText(str):
    """Text that a `repr` of its container shows without quotes."""

    __repr__ = str.__str__


def _format_plan(plan: Plan) -> _UnquotedText:
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
    return _UnquotedText(f"Plan({', '.join(f'{name}={value!r}' for name, value in values.items())})")


def compute_site_digest(settings: GatewaySettings) -> str:
    """Return a digest of what gives a bucket its meaning: plans, zone and index, but not classes or set size."""
    text = repr((tuple(_format_plan(plan) for plan in settings.plans), settings.zone, settings.index))
    return hashlib.blake2b(text.encode(), digest_size=SITE_DIGEST_BYTES).hexdigest()


class Header(NamedTuple):
    """The first line of a snapshot."""

    version: str
    site: str
    taken: str
    body_bytes: str
    digest: str


def _compute_body_digest(body: bytes) -> str:
    return hashlib.blake2b(body, digest_size=BODY_DIGEST_BYTES).hexdigest()


def _format_taken_time(taken: float) -> str:
    return f"{taken:.6f}"


def pack(snapshot: Snapshot) -> bytes:
    """Return the snapshot as the bytes of a file."""
    body = json.dumps(asdict(snapshot), separators=(",", ":")).encode()
    taken = _format_taken_time(snapshot.taken)
    header = f"{MAGIC} {VERSION} {snapshot.site} {taken} {len(body)} {_compute_body_digest(body)}\n"
    return header.encode() + body


def unpack(data: bytes) -> Snapshot:
    """Return the snapshot that the bytes of a file hold.

    :raises SnapshotError: if they are incomplete, damaged or of an unknown version.
    """
    if len(data) > MAX_SNAPSHOT_BYTES:
        message = f"it has {len(data)} bytes, more than the maximum of {MAX_SNAPSHOT_BYTES}"
        raise SnapshotError(message)
    line, newline, body = data.partition(b"\n")
    header = _parse_header(line, has_newline=bool(newline))
    _check_body(header, body)
    snapshot = _parse_body(header, body)
    if header.site != snapshot.site or header.taken != _format_taken_time(snapshot.taken):
        message = "its header and its content differ"
        raise SnapshotError(message)
    return snapshot


def _parse_header(line: bytes, *, has_newline: bool) -> Header:
    header_fields = line[:MAX_HEADER_BYTES].decode("ascii", "replace").split(" ")
    if not has_newline or header_fields[0] != MAGIC or len(header_fields) < MIN_HEADER_FIELD_COUNT:
        message = f"it does not begin with the line '{MAGIC} VERSION ...'"
        raise SnapshotError(message)
    version = header_fields[1]
    if version not in (str(UNCHARGED_VERSION), str(VERSION)):
        quoted = version[:MAX_QUOTED_VERSION_LENGTH]
        message = f"it is of version {quoted}, and this program reads versions {UNCHARGED_VERSION} and {VERSION}"
        raise SnapshotError(message)
    if len(header_fields) != HEADER_FIELD_COUNT or not header_fields[BODY_BYTES_INDEX].isdigit():
        message = "its header is damaged"
        raise SnapshotError(message)
    return Header(*header_fields[1:])


def _check_body(header: Header, body: bytes) -> None:
    if len(body) != int(header.body_bytes):
        message = f"it was cut: it has {len(body)} of {header.body_bytes} bytes"
        raise SnapshotError(message)
    if _compute_body_digest(body) != header.digest:
        message = "its checksum does not match its content"
        raise SnapshotError(message)


def _parse_body(header: Header, body: bytes) -> Snapshot:
    try:
        content: object = json.loads(body)
        if header.version == str(UNCHARGED_VERSION):
            _upgrade_uncharged_version(content)
        return convert_record(Snapshot, content, "snapshot")
    except (InvalidFieldError, ValueError, RecursionError) as error:
        message = f"a value is not of its type: {error}"
        raise SnapshotError(message) from None


def _upgrade_uncharged_version(content: object) -> None:
    # A predecessor from before version 2 sends version 1, whose records have no charges and other names.
    stores = content.get("stores") if isinstance(content, dict) else None
    if not isinstance(stores, list):
        return
    for store in stores:
        if isinstance(store, dict):
            _upgrade_uncharged_store(store)


def _upgrade_uncharged_store(store: dict[str, object]) -> None:
    account = {"told": store.pop("told", None), "read": store.pop("read", 0.0), "spent": store.get("charged")}
    for name in ("window", "total", "unsure_window", "unsure"):
        store.pop(name, None)
    store.update(account=account, ahead=0.0)


def check_applicable(snapshot: Snapshot, site: str, name: str, now: float, max_age_seconds: float) -> None:
    """Check that a valid snapshot is of this limiter and recent.

    :raises SnapshotError: if it is of another site or limiter, from the future or too old.
    """
    if snapshot.site != site:
        message = f"it is of another site or index ({snapshot.site}, here {site})"
        raise SnapshotError(message)
    if snapshot.name != name:
        message = f"it is of the limiter {snapshot.name!r}, here {name!r}"
        raise SnapshotError(message)
    age_seconds = now - snapshot.taken
    if age_seconds < -MAX_CLOCK_SKEW_SECONDS:
        message = f"it was taken {-age_seconds:.1f} s in the future"
        raise SnapshotError(message)
    if age_seconds > max_age_seconds:
        message = f"it is {age_seconds:.1f} s old, over the maximum age of {max_age_seconds:g} s"
        raise SnapshotError(message)
