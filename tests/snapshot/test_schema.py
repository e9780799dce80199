"""Guards against the use of damaged, foreign or old snapshots; snapshots of an earlier version must be read."""

from __future__ import annotations

import hashlib
import json
from dataclasses import replace
from typing import Any

import pytest

from tests.helpers import settings
from tests.snapshot.support import get_only_bucket, make_gateway, restore_new_gateway, spend, take_snapshot
from thymeflow.snapshot import schema

SITE = schema.compute_site_digest(settings())


def take_snapshot_with_bucket() -> schema.Snapshot:
    gateway = make_gateway()
    spend(gateway, 10.0, 0.3, 10.0)
    return take_snapshot(gateway, 11.0)


def test_snapshot_is_rejected_when_cut_or_changed_at_any_byte() -> None:
    data = schema.pack(take_snapshot_with_bucket())
    for end in range(len(data)):
        with pytest.raises(schema.SnapshotError):
            schema.unpack(data[:end])
    for index in range(0, len(data), 7):
        with pytest.raises(schema.SnapshotError):
            schema.unpack(data[:index] + bytes([data[index] ^ 0x11]) + data[index + 1 :])


@pytest.mark.parametrize(
    ("change", "cause"),
    [
        ({"taken": 100.0}, "future"),
        ({"taken": -100.0}, "100.0 s old"),
        ({"name": "n7"}, "limiter 'n7'"),
        ({"site": "feed"}, "another site"),
    ],
)
def test_snapshot_is_rejected_with_its_cause_when_foreign_old_or_in_the_future(
    change: dict[str, Any], cause: str
) -> None:
    snapshot = replace(take_snapshot(make_gateway(), 0.0), **change)
    with pytest.raises(schema.SnapshotError, match=cause):
        schema.check_applicable(schema.unpack(schema.pack(snapshot)), SITE, "n0", 0.0, 30.0)


def test_error_names_the_value_when_it_is_out_of_range() -> None:
    snapshot = take_snapshot_with_bucket()
    out_of_range = replace(snapshot, stores=(replace(snapshot.stores[0], level=1e300),))
    with pytest.raises(schema.SnapshotError, match=r"stores\[0\].level"):
        schema.unpack(schema.pack(out_of_range))


def test_error_names_the_version_when_it_is_unknown() -> None:
    data = schema.pack(take_snapshot_with_bucket())
    unknown_version = data.replace(b"thymeflow-snapshot 2 ", b"thymeflow-snapshot 3 ", 1)
    with pytest.raises(schema.SnapshotError, match="version 3"):
        schema.unpack(unknown_version)


def pack_as_version_1(snapshot: schema.Snapshot) -> bytes:
    """Return the snapshot in the format of version 1."""
    body = json.loads(schema.pack(snapshot).split(b"\n", 1)[1])
    for store in body["stores"]:
        account = store.pop("account")
        store.pop("ahead")
        store.update(told=account["told"], read=account["read"], window=5, total=9.0, unsure_window=-1, unsure=0.0)
    text = json.dumps(body, separators=(",", ":")).encode()
    digest = hashlib.blake2b(text, digest_size=16).hexdigest()
    header = f"{schema.MAGIC} 1 {snapshot.site} {snapshot.taken:.6f} {len(text)} {digest}\n"
    return header.encode() + text


def test_buckets_are_restored_when_the_predecessor_has_an_earlier_version() -> None:
    gateway = make_gateway()
    spend(gateway, 10.0, 0.5, 10.0)
    snapshot = take_snapshot(gateway, 11.0)
    from_version_1 = get_only_bucket(restore_new_gateway(schema.unpack(pack_as_version_1(snapshot)), 11.0))
    from_version_2 = get_only_bucket(restore_new_gateway(snapshot, 11.0))
    assert (from_version_1.level, from_version_1.charged_units) == pytest.approx(
        (from_version_2.level, from_version_2.charged_units)
    )
    ledger = from_version_1.counter_ledger
    assert ledger.counter_name == -1
    # The charges of version 1 were never reported to a counter. They count as reported, so that they are not all
    # reported at once.
    assert ledger.reported_charges == from_version_1.charged_units
