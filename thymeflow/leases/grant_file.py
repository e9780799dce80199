"""The grant table on the disk: what a granter that dies leaves to the one that comes after it.

It is written in the place of the old one before anything in it is sent, and outlives the process; a machine that is
started anew has no holder left, so a table of an earlier boot allows for nothing and only tells the era.
"""

from __future__ import annotations

import hashlib
from math import isfinite
from pathlib import Path

import msgspec

from thymeflow.leases.issuer import WRITTEN, LeaseIssuer, State
from thymeflow.leases.resources import BASE, LENT, Resource
from thymeflow.snapshot import atomic_file

VERSION = 2
OLDER = {1: 2}  # versions that are read, and how many kinds they have: the first ones
MOST_BYTES = 1 << 20
BOOT = Path("/proc/sys/kernel/random/boot_id")


class GrantFileError(Exception):
    """The table cannot be believed; the text says why in one line."""


class _Row(msgspec.Struct, forbid_unknown_fields=True):
    number: int
    noted: list[int]  # bases by kind, then leases by kind: the most that may be in force


class _Table(msgspec.Struct, forbid_unknown_fields=True):
    version: int
    fleet: str
    boot: str
    era: int
    until: float  # s on the machine's monotonic clock: no lease lasts longer
    rows: dict[str, _Row]


def boot() -> str:
    """What tells this boot of the machine from others; empty where the system does not say."""
    try:
        return BOOT.read_text().strip()
    except OSError:
        return ""


def pack(granter: LeaseIssuer, fleet: str) -> bytes:
    """The table as it is to be written: a line with its digest, then its content."""
    rows = {
        h: _Row(r.number, list(granter.durable_amounts[h]))
        for h, r in granter.rows.items()
        if r.state is not State.ABSENT and h in granter.durable_amounts
    }
    body = msgspec.json.encode(_Table(VERSION, fleet, boot(), granter.epoch, granter.durable_until, rows))
    return hashlib.blake2b(body, digest_size=16).hexdigest().encode() + b"\n" + body


def unpack(data: bytes, fleet: str) -> _Table:
    """The table in a file's bytes; TableError where it is not whole, newer than this program, or another fleet's."""
    digest, mark, body = data.partition(b"\n")
    if not mark or hashlib.blake2b(body, digest_size=16).hexdigest().encode() != digest:
        raise GrantFileError("its digest does not fit its content")
    try:
        version = msgspec.json.decode(body, type=dict)["version"]
        if version != VERSION and version not in OLDER:
            raise GrantFileError(f"it is of version {str(version)[:20]}, and this program reads version {VERSION}")
        table = msgspec.json.decode(body, type=_Table)
    except (msgspec.DecodeError, KeyError) as fault:
        raise GrantFileError(f"it cannot be read: {fault}") from None
    if table.fleet != fleet:
        raise GrantFileError(f"it is of the fleet {table.fleet[:40]!r}, and this one is {fleet!r}")
    kinds = OLDER.get(table.version, len(Resource))
    for row in table.rows.values():
        if len(row.noted) == 2 * kinds:
            lacks = [0] * (len(Resource) - kinds)
            row.noted = [*row.noted[:kinds], *lacks, *row.noted[kinds:], *lacks]
    if (
        not isfinite(table.until)
        or table.era < 0
        or any(len(r.noted) != 2 * len(Resource) or min(r.noted) < 0 for r in table.rows.values())
    ):
        raise GrantFileError("a row is not of its form")
    for place in range(2 * len(Resource)):
        total, whole = sum(r.noted[place] for r in table.rows.values()), BASE if place < len(Resource) else LENT
        if total > whole:
            raise GrantFileError(f"its parts come to {total} of {whole}")
    return table


def read(path: Path, fleet: str, now: float, living: bool) -> tuple[LeaseIssuer, str]:
    """The granter that comes after the one of this table, and the fault where the table could not be used.

    `living`: members of an earlier granter run. Where its table is lost, leases are granted once all that it may have
    lent is over, and no bases: who does not speak may hold any. The era is then the machine's time, which none before
    can have reached.
    """
    try:
        data = path.read_bytes()
        if len(data) > MOST_BYTES:
            raise GrantFileError(f"it holds over {MOST_BYTES} bytes")
        table = unpack(data, fleet)
    except (OSError, GrantFileError) as fault:
        if isinstance(fault, FileNotFoundError) and not living:
            return LeaseIssuer(1, now), ""
        made = LeaseIssuer(1 << 40 | int(now), now)
        if living:
            made.on_grants_lost(now)
        return made, f"{path}: {fault}"
    made = LeaseIssuer(table.era + 1, now)
    if table.boot and table.boot == boot():
        for holder, row in table.rows.items():
            made.restore_grant(holder, row.number, tuple(row.noted), min(table.until, now + WRITTEN), now)
    return made, ""


def write(path: Path, granter: LeaseIssuer, fleet: str) -> None:
    """Write it, whole or not at all; OSError where it was not written."""
    atomic_file.write(path, pack(granter, fleet), atomic_file.Durability.PROCESS)
