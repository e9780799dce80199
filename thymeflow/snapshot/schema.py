r"""The format of snapshots: typed records, and a file whose header shows whether its content is intact.

    thymeflow-snapshot VERSION SITE TAKEN LENGTH DIGEST\n
    {...}

Before any value is used, the header, the length, the digest (BLAKE2b) and then the type of each value (`validation`)
are checked. Each fault is reported as a SnapshotError. The module imports no third-party package, because the
platform's run, which may import none, hands its state over too.

The names of the records' fields are the keys of the file. They must not change, because other versions write and read
them. `restore` translates them to the names of the code.
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
VERSION = 2  # Since version 2, records have charges as well as demand.
UNCHARGED_VERSION = 1
MAX_SNAPSHOT_BYTES = 64 << 20
MAX_HEADER_BYTES = 200
HEADER_FIELD_COUNT = 6
MIN_HEADER_FIELD_COUNT = 2  # The magic and the version, which determines the format of the other fields.
BODY_BYTES_INDEX = 4  # The index of the body's length among the header's fields.
MAX_CLOCK_SKEW_SECONDS = 1.0  # Clocks are stepped, so a snapshot may be newer than the clock by this much.
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
    ahead: float  # The units that other limiters may have charged since the counter was read.
    account: AccountRecord


@dataclass(frozen=True, slots=True)
class HealthRecord:
    """The health of one backend, as observed since the backend started."""

    id: int
    started: float
    pace: float
    gap: float
    # By request class: the number of consecutive failures, and the end of the ejection in Unix seconds or 0.
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
    final: bool  # Whether it was taken when no more requests could be forwarded.
    gateways: int
    pressure: float
    usual: float
    budget: float
    call_rate: float
    version: int  # The version of the endpoint list.
    servers: tuple[ServerRecord, ...]
    health: tuple[HealthRecord, ...]
    stores: tuple[StoreRecord, ...]


class _UnquotedText(str):
    """Text that the `repr` of its container shows without quotes."""

    __repr__ = str.__str__


def _format_plan(plan: Plan) -> _UnquotedText:
    # The site digest has been computed from this format since version 1, so its names differ from those of the code.
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
    """Return a digest of the settings that buckets depend on: plans, zone and index, but not classes or set size."""
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
    """Return the content of a snapshot's file."""
    body = json.dumps(asdict(snapshot), separators=(",", ":")).encode()
    taken = _format_taken_time(snapshot.taken)
    header = f"{MAGIC} {VERSION} {snapshot.site} {taken} {len(body)} {_compute_body_digest(body)}\n"
    return header.encode() + body


def unpack(data: bytes) -> Snapshot:
    """Return the snapshot in the content of a file.

    :raises SnapshotError: if the content is incomplete, damaged or of an unknown version.
    """
    if len(data) > MAX_SNAPSHOT_BYTES:
        message = f"the snapshot has {len(data)} bytes, more than the maximum of {MAX_SNAPSHOT_BYTES}"
        raise SnapshotError(message)
    line, newline, body = data.partition(b"\n")
    header = _parse_header(line, has_newline=bool(newline))
    _check_body(header, body)
    snapshot = _parse_body(header, body)
    if header.site != snapshot.site or header.taken != _format_taken_time(snapshot.taken):
        message = "site or time in the header of the snapshot differ from its content"
        raise SnapshotError(message)
    return snapshot


def _parse_header(line: bytes, *, has_newline: bool) -> Header:
    header_fields = line[:MAX_HEADER_BYTES].decode("ascii", "replace").split(" ")
    if not has_newline or header_fields[0] != MAGIC or len(header_fields) < MIN_HEADER_FIELD_COUNT:
        message = f"the snapshot does not begin with the line '{MAGIC} VERSION ...'"
        raise SnapshotError(message)
    version = header_fields[1]
    if version not in (str(UNCHARGED_VERSION), str(VERSION)):
        quoted = version[:MAX_QUOTED_VERSION_LENGTH]
        message = (
            f"the snapshot has version {quoted}, but this program reads versions {UNCHARGED_VERSION} and {VERSION}"
        )
        raise SnapshotError(message)
    if len(header_fields) != HEADER_FIELD_COUNT or not header_fields[BODY_BYTES_INDEX].isdigit():
        message = "the header of the snapshot is damaged"
        raise SnapshotError(message)
    return Header(*header_fields[1:])


def _check_body(header: Header, body: bytes) -> None:
    if len(body) != int(header.body_bytes):
        message = f"the snapshot is truncated: its body has {len(body)} of {header.body_bytes} bytes"
        raise SnapshotError(message)
    if _compute_body_digest(body) != header.digest:
        message = "the checksum of the snapshot does not match its content"
        raise SnapshotError(message)


def _parse_body(header: Header, body: bytes) -> Snapshot:
    try:
        content: object = json.loads(body)
        if header.version == str(UNCHARGED_VERSION):
            _upgrade_uncharged_version(content)
        return convert_record(Snapshot, content, "snapshot")
    except (InvalidFieldError, ValueError, RecursionError) as error:
        message = f"the snapshot has an invalid value: {error}"
        raise SnapshotError(message) from None


def _upgrade_uncharged_version(content: object) -> None:
    # A predecessor that is older than version 2 sends version 1, whose records have no charges and use other names.
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
    """Check that a valid snapshot belongs to this limiter and is recent.

    :raises SnapshotError: if the snapshot belongs to another site or limiter, is from the future or is too old.
    """
    if snapshot.site != site:
        message = f"the snapshot belongs to another site or index: its digest is {snapshot.site}, not {site}"
        raise SnapshotError(message)
    if snapshot.name != name:
        message = f"the snapshot belongs to the limiter {snapshot.name!r}, not {name!r}"
        raise SnapshotError(message)
    age_seconds = now - snapshot.taken
    if age_seconds < -MAX_CLOCK_SKEW_SECONDS:
        message = f"the snapshot was taken {-age_seconds:.1f} s in the future"
        raise SnapshotError(message)
    if age_seconds > max_age_seconds:
        message = f"the snapshot is {age_seconds:.1f} s old, more than the maximum age of {max_age_seconds:g} s"
        raise SnapshotError(message)
