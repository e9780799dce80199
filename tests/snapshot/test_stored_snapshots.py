"""Guards against format changes: snapshots of an earlier version must give the same values and the same bytes."""

from __future__ import annotations

import json
from typing import Any

import pytest

from tests.helpers import PLAN
from tests.snapshot.stored import RESTORED_AT, compute_stored_site_digest, make_restarted_gateway, pack_gateway_snapshot
from tests.stored_files import read_recorded_value, read_stored_file, to_plain_value
from thymeflow.snapshot import restore, schema

SNAPSHOTS = ["snapshot-v2-final", "snapshot-v2-running", "snapshot-v1-running"]


def parse_content(snapshot: bytes) -> Any:
    """Return the keys and values of a snapshot's body in the order of its bytes."""
    return json.loads(snapshot.partition(b"\n")[2], object_pairs_hook=list)


@pytest.mark.parametrize("name", SNAPSHOTS)
def test_snapshot_has_the_same_values_when_an_earlier_version_wrote_it(name: str) -> None:
    assert to_plain_value(schema.unpack(read_stored_file(name))) == read_recorded_value(name)


@pytest.mark.parametrize("name", ["snapshot-v2-final", "snapshot-v2-running"])
def test_snapshot_has_the_same_keys_and_values_when_it_is_written_again(name: str) -> None:
    assert parse_content(schema.pack(schema.unpack(read_stored_file(name)))) == parse_content(read_stored_file(name))


@pytest.mark.parametrize("name", SNAPSHOTS)
def test_snapshot_becomes_the_same_version_2_bytes_when_it_is_written_again(name: str) -> None:
    # A total that the earlier version wrote as an integer is read and written again as a float.
    assert schema.pack(schema.unpack(read_stored_file(name))) == read_stored_file(f"{name}-rewritten")


def test_site_digest_is_the_same_when_the_settings_are() -> None:
    assert compute_stored_site_digest() == read_recorded_value("site")
    schema.check_applicable(
        schema.unpack(read_stored_file("snapshot-v2-final")), compute_stored_site_digest(), "n0", RESTORED_AT, 30.0
    )


@pytest.mark.parametrize("name", SNAPSHOTS)
def test_restored_state_is_the_same_when_an_earlier_version_wrote_the_snapshot(name: str) -> None:
    snapshot = schema.unpack(read_stored_file(name))
    gateway = make_restarted_gateway()
    buckets = restore.restore_gateway(gateway, snapshot, RESTORED_AT)
    counts = [buckets.restored, buckets.skipped, restore.restore_health(gateway, snapshot, RESTORED_AT)]
    assert counts == read_recorded_value(f"{name} counts")
    assert pack_gateway_snapshot(gateway) == read_stored_file(f"{name}-restored")


def test_endpoint_list_is_the_same_when_it_comes_from_a_snapshot() -> None:
    update = restore.build_endpoint_update(schema.unpack(read_stored_file("snapshot-v2-final")))
    assert to_plain_value(update) == read_recorded_value("endpoint list")


def test_plan_of_the_test_settings_is_in_the_snapshots_when_they_are_restored() -> None:
    gateway = make_restarted_gateway()
    restore.restore_gateway(gateway, schema.unpack(read_stored_file("snapshot-v2-final")), RESTORED_AT)
    assert sorted({bucket.plan.name for bucket in gateway.buckets.values()}) == ["capped", PLAN.name]
