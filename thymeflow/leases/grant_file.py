"""The grant file: what a lease issuer leaves to its successor when it dies.

The file is replaced before any grant in it is sent, and outlives the process. After a boot of the machine no holder is
left, so a file from an earlier boot allows for no grants and only gives the epoch.
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

VERSION = 2
RESOURCE_COUNT_BY_OLDER_VERSION = {1: 2}  # versions that are read too; their amounts are of the first resources
MAX_FILE_BYTES = 1 << 20
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
FIRST_EPOCH = 1
EPOCH_AFTER_LOSS = 1 << 40  # set in epochs after a loss of the file; no earlier issuer can have counted so far
DIGEST_BYTES = 16


class _Row(msgspec.Struct, forbid_unknown_fields=True):
    """The grants of one holder. The names of the fields are those in the file."""

    number: int
    noted: list[int]  # the most that may be in force: base amounts by resource, then leased amounts


class _Table(msgspec.Struct, forbid_unknown_fields=True):
    """The content of the file. The names of the fields are those in the file."""

    version: int
    fleet: str
    boot: str
    era: int
    until: float  # s on the machine's monotonic clock: no lease lasts longer
    rows: dict[str, _Row]


class LoadedIssuer(NamedTuple):
    """The issuer that continues from a grant file, and why the file could not be used; empty where it could."""

    issuer: LeaseIssuer
    error: str


def boot_id() -> str:
    """Return the identifier of this boot of the machine, empty where the system has none."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


def pack(issuer: LeaseIssuer, fleet: str) -> bytes:
    """Return the content of the file: a line with a digest, then the grants as JSON."""
    rows = {
        holder: _Row(record.number, list(issuer.durable_amounts[holder]))
        for holder, record in issuer.records.items()
        if record.state is not HolderState.ABSENT and holder in issuer.durable_amounts
    }
    body = msgspec.json.encode(_Table(VERSION, fleet, boot_id(), issuer.epoch, issuer.durable_until, rows))
    return _digest(body) + b"\n" + body


def unpack(data: bytes, fleet: str) -> _Table:
    """Parse the content of the file; missing amounts of an older version become 0.

    :raises GrantFileError: where it is incomplete, of a newer version, of another fleet, or does not add up.
    """
    digest, separator, body = data.partition(b"\n")
    if not separator or _digest(body) != digest:
        text = "its digest does not fit its content"
        raise GrantFileError(text)
    table = _decode(body)
    if table.fleet != fleet:
        text = f"it is of the fleet {table.fleet[:40]!r}, and this one is {fleet!r}"
        raise GrantFileError(text)
    _add_missing_resources(table)
    _check_amounts(table)
    return table


def read(path: Path, fleet: str, now: float, members_running: bool) -> LoadedIssuer:
    """Return the issuer that succeeds the one of this file; `members_running`: members of an earlier one may run.

    Where the file is lost and members run, leases are granted once all lost ones have expired, and no base amounts, as
    a member that does not report may have any. The epoch then includes the machine's time, which no earlier one can
    have reached.
    """
    try:
        table = unpack(_read_bytes(path), fleet)
    except (OSError, GrantFileError) as error:
        if isinstance(error, FileNotFoundError) and not members_running:
            return LoadedIssuer(LeaseIssuer(FIRST_EPOCH, now), "")
        issuer = LeaseIssuer(EPOCH_AFTER_LOSS | int(now), now)
        if members_running:
            issuer.on_grants_lost(now)
        return LoadedIssuer(issuer, f"{path}: {error}")
    issuer = LeaseIssuer(table.era + 1, now)
    if table.boot and table.boot == boot_id():
        until = min(table.until, now + COVERED_PERIOD_SECONDS)
        for holder, row in table.rows.items():
            issuer.restore_grant(holder, row.number, tuple(row.noted), until, now)
    return LoadedIssuer(issuer, "")


def write(path: Path, issuer: LeaseIssuer, fleet: str) -> None:
    """Replace the file atomically.

    :raises OSError: where it was not written.
    """
    atomic_file.write(path, pack(issuer, fleet), atomic_file.Durability.PROCESS)


def _digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest().encode()


def _read_bytes(path: Path) -> bytes:
    data = path.read_bytes()
    if len(data) > MAX_FILE_BYTES:
        text = f"it is larger than {MAX_FILE_BYTES} bytes"
        raise GrantFileError(text)
    return data


def _decode(body: bytes) -> _Table:
    try:
        version = msgspec.json.decode(body, type=dict)["version"]
        if version != VERSION and version not in RESOURCE_COUNT_BY_OLDER_VERSION:
            text = f"it is of version {str(version)[:20]}, and this program reads version {VERSION}"
            raise GrantFileError(text)
        return msgspec.json.decode(body, type=_Table)
    except (msgspec.DecodeError, KeyError) as error:
        text = f"it cannot be read: {error}"
        raise GrantFileError(text) from None


def _add_missing_resources(table: _Table) -> None:
    count = RESOURCE_COUNT_BY_OLDER_VERSION.get(table.version, len(Resource))
    missing = [0] * (len(Resource) - count)
    for row in table.rows.values():
        if len(row.noted) == 2 * count:
            row.noted = [*row.noted[:count], *missing, *row.noted[count:], *missing]


def _check_amounts(table: _Table) -> None:
    amount_count = 2 * len(Resource)
    are_rows_valid = all(len(row.noted) == amount_count and min(row.noted) >= 0 for row in table.rows.values())
    if not isfinite(table.until) or table.era < 0 or not are_rows_valid:
        text = "an entry has negative or missing amounts, or its time or epoch is invalid"
        raise GrantFileError(text)
    for index in range(amount_count):
        total = BASE_POINTS if index < len(Resource) else LEASED_POINTS
        granted = sum(row.noted[index] for row in table.rows.values())
        if granted > total:
            text = f"its amounts add up to {granted}, over the total of {total}"
            raise GrantFileError(text)
