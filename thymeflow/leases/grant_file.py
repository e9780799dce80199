"""The grant file: stores the grants of a lease issuer, so that its successor can continue when the issuer dies.

The file is replaced before any grant in it is sent, and it outlives the process. No holder survives a boot of the
machine, so the grants in a file from an earlier boot are ignored and only its epoch is used.
"""

from __future__ import annotations

import hashlib
from math import isfinite
from pathlib import Path
from typing import NamedTuple

import msgspec

from thymeflow.leases.errors import GrantFileError as GrantFileError
from thymeflow.leases.holder_state import HolderState
from thymeflow.leases.issuer import COVERED_PERIOD_SECONDS, LeaseIssuer
from thymeflow.leases.resources import BASE_POINTS, LEASED_POINTS, Resource
from thymeflow.snapshot import atomic_file

FILE_FORMAT_VERSION = 2
# Older versions that can be read; their amounts are those of the first resources in `Resource`.
RESOURCE_COUNT_BY_OLDER_VERSION = {1: 2}
MAX_FILE_BYTES = 1 << 20
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
FIRST_EPOCH = 1
EPOCH_AFTER_LOSS = 1 << 40  # set in an epoch after a loss of the file; epochs that grow by 1 stay below it
DIGEST_BYTES = 16


class _StoredGrant(msgspec.Struct, forbid_unknown_fields=True):
    """The grants of one holder. The field names are the keys in the file."""

    number: int
    noted: list[int]  # the largest amounts that may be in force: base amounts by resource, then leased amounts


class _StoredGrants(msgspec.Struct, forbid_unknown_fields=True):
    """The content of the file. The field names are the keys in the file."""

    version: int
    fleet: str
    boot: str
    era: int
    until: float  # seconds on the machine's monotonic clock; no lease in the file ends later
    rows: dict[str, _StoredGrant]  # keyed by holder


class LoadedIssuer(NamedTuple):
    """The issuer that continues from a grant file."""

    issuer: LeaseIssuer
    error: str  # the reason why the file could not be used; empty if it was used


def boot_id() -> str:
    """Return the identifier of this boot of the machine, or an empty text if the system has none."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


def pack(issuer: LeaseIssuer, fleet: str) -> bytes:
    """Return the content of the grant file: a line with a digest, then the grants as JSON."""
    rows = {
        holder: _StoredGrant(record.number, list(issuer.durable_amounts[holder]))
        for holder, record in issuer.records.items()
        if record.state is not HolderState.ABSENT and holder in issuer.durable_amounts
    }
    body = msgspec.json.encode(
        _StoredGrants(FILE_FORMAT_VERSION, fleet, boot_id(), issuer.epoch, issuer.durable_until, rows)
    )
    return _compute_digest(body) + b"\n" + body


def unpack(data: bytes, fleet: str) -> _StoredGrants:
    """Parse the content of the grant file; amounts that an older version does not have become 0.

    :raises GrantFileError: the content is incomplete, of a newer version or of another fleet, or its amounts are
        invalid or exceed the total.
    """
    digest, separator, body = data.partition(b"\n")
    if not separator or _compute_digest(body) != digest:
        text = "its digest does not match its content"
        raise GrantFileError(text)
    grants = _decode(body)
    if grants.fleet != fleet:
        text = f"it belongs to the fleet {grants.fleet[:40]!r}, and this fleet is {fleet!r}"
        raise GrantFileError(text)
    _add_missing_resources(grants)
    _check_amounts(grants)
    return grants


def read(path: Path, fleet: str, now: float, members_running: bool) -> LoadedIssuer:
    """Return the issuer that continues from the file.

    `members_running` tells whether members of an earlier issuer may still be running. If they may and the file cannot
    be used, the issuer grants leases only once all lost leases have expired, and it grants no base amounts, because a
    member that does not report may still use some. The epoch after a loss of the file includes the machine's monotonic
    time, so that no earlier issuer can have reached that epoch.
    """
    try:
        grants = unpack(_read_bytes(path), fleet)
    except (OSError, GrantFileError) as error:
        if isinstance(error, FileNotFoundError) and not members_running:
            return LoadedIssuer(LeaseIssuer(FIRST_EPOCH, now), "")
        issuer = LeaseIssuer(EPOCH_AFTER_LOSS | int(now), now)
        if members_running:
            issuer.on_grants_lost(now)
        return LoadedIssuer(issuer, f"{path}: {error}")
    issuer = LeaseIssuer(grants.era + 1, now)
    if grants.boot and grants.boot == boot_id():
        lease_ends_at = min(grants.until, now + COVERED_PERIOD_SECONDS)
        for holder, row in grants.rows.items():
            issuer.restore_grant(holder, row.number, tuple(row.noted), lease_ends_at, now)
    return LoadedIssuer(issuer, "")


def write(path: Path, issuer: LeaseIssuer, fleet: str) -> None:
    """Replace the grant file atomically.

    :raises OSError: the file could not be written.
    """
    atomic_file.write(path, pack(issuer, fleet), atomic_file.Durability.PROCESS)


def _compute_digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest().encode()


def _read_bytes(path: Path) -> bytes:
    data = path.read_bytes()
    if len(data) > MAX_FILE_BYTES:
        text = f"it is larger than {MAX_FILE_BYTES} bytes"
        raise GrantFileError(text)
    return data


def _decode(body: bytes) -> _StoredGrants:
    try:
        version = msgspec.json.decode(body, type=dict)["version"]
        if version != FILE_FORMAT_VERSION and version not in RESOURCE_COUNT_BY_OLDER_VERSION:
            text = f"it has version {str(version)[:20]}, and this program reads versions up to {FILE_FORMAT_VERSION}"
            raise GrantFileError(text)
        return msgspec.json.decode(body, type=_StoredGrants)
    except (msgspec.DecodeError, KeyError) as error:
        text = f"its content cannot be parsed: {error}"
        raise GrantFileError(text) from None


def _add_missing_resources(grants: _StoredGrants) -> None:
    count = RESOURCE_COUNT_BY_OLDER_VERSION.get(grants.version, len(Resource))
    missing = [0] * (len(Resource) - count)
    for row in grants.rows.values():
        if len(row.noted) == 2 * count:
            row.noted = [*row.noted[:count], *missing, *row.noted[count:], *missing]


def _check_amounts(grants: _StoredGrants) -> None:
    amount_count = 2 * len(Resource)
    are_rows_valid = all(len(row.noted) == amount_count and min(row.noted) >= 0 for row in grants.rows.values())
    if not isfinite(grants.until) or grants.era < 0 or not are_rows_valid:
        text = "it has an invalid time or epoch, or an entry with negative or missing amounts"
        raise GrantFileError(text)
    for index in range(amount_count):
        total = BASE_POINTS if index < len(Resource) else LEASED_POINTS
        granted = sum(row.noted[index] for row in grants.rows.values())
        if granted > total:
            text = f"its amounts add up to {granted} points, which exceeds the total of {total}"
            raise GrantFileError(text)
