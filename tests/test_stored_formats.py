"""Files that an earlier version wrote: each is read to the same values, and written again to the same bytes.

The files under `data/before-rename` were written by the program as it stood before its names were changed. Values are
compared as plain lists in declared order, so that neither the name of a class nor that of a field counts; keys count
where they stand in a file.
"""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import pytest

from tests.helpers import KEYED, PLAN, SAFE, fleet, settings
from thymeflow.daemon import lock
from thymeflow.daemon.snapshot_file import SnapshotFile
from thymeflow.decision.events import EndpointsChanged
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import Information
from thymeflow.decision.types import EndpointListKind
from thymeflow.fleet import registry
from thymeflow.leases import grant_file
from thymeflow.platform import configuration
from thymeflow.platform.endpoints import Address
from thymeflow.runtime import clock
from thymeflow.snapshot import restore, schema
from thymeflow.snapshot.store import SnapshotSource, SnapshotStore

DATA = Path(__file__).resolve().parent / "data" / "before-rename"
TAKEN_AT = 1100.25  # s: when the snapshots of the data were taken
RESTORED_AT = 1101.75
ADDRESSES = {n: Address("127.0.0.1", 7000 + n) for n in range(1, 5)}
SNAPSHOTS = ["snapshot-v2-final", "snapshot-v2-running", "snapshot-v1-running"]
GRANTS = ["fleet-v2.grants", "fleet-v1.grants"]


def restarted_gateway() -> Gateway:
    """A gateway of the settings and the endpoint list under which the snapshots were taken, before it restores one."""
    information = Information(counter=True, max_units=4.0, settles_units=True, max_gossip_per_second=100.0)
    gateway = Gateway(settings(classes=(SAFE, KEYED), information=information), 5)
    gateway.handle(TAKEN_AT + 1.0, EndpointsChanged(EndpointListKind.CACHED, fleet(), 7))
    return gateway


def site_digest() -> str:
    """The digest by which a snapshot tells under which plans and at which place it was taken."""
    return schema.site_digest(settings())


def restored(snapshot: Any) -> tuple[Gateway, list[int]]:
    """The gateway after a restore, and how many buckets and backends that concerned."""
    gateway = restarted_gateway()
    known, left = restore.restore_gateway(gateway, snapshot, RESTORED_AT)
    return gateway, [known, left, restore.restore_health(gateway, snapshot, RESTORED_AT)]


def snapshot_of(gateway: Gateway) -> bytes:
    """The snapshot of a gateway as its file holds it."""
    return schema.pack(restore.take_snapshot(gateway, "n0", "0b1c2d3e", RESTORED_AT, False, 9, ADDRESSES))


def member_configuration(folder: Path) -> bytes:
    """A member's configuration as the supervisor writes it, with its random seed masked."""
    names = registry.FleetNames(folder, "web")
    source = registry.read_template(DATA / "platform.json")
    part = {"era": 3, "number": 9, "base": [1, 2, 3, 4, 5], "lease": [6, 7, 8, 9, 10], "end": 1234.5}
    registry.write_member(names, source, "127.0.0.1:7402", 2, 3, part)
    written = names.path(2, "json").read_bytes()
    return written.replace(json.loads(written)["seed"].encode(), b"5eed5eed5eed5eed")


def plain(value: Any) -> Any:
    """A value with no names of ours in it: records as lists in declared order, sets sorted, enums by value."""
    if is_dataclass(value):
        return [plain(getattr(value, field.name)) for field in fields(value)]
    if hasattr(value, "__struct_fields__"):
        return [plain(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, Mapping):
        return [[str(key), plain(part)] for key, part in value.items()]
    if isinstance(value, frozenset | set):
        return sorted(plain(part) for part in value)
    if isinstance(value, list | tuple):
        return [plain(part) for part in value]
    return value


def stored(name: str) -> bytes:
    """A file of the earlier version."""
    return (DATA / name).read_bytes()


def content(snapshot: bytes) -> Any:
    """A snapshot's keys and values in the order of its bytes, after the line at its head."""
    return json.loads(snapshot.partition(b"\n")[2], object_pairs_hook=list)


def expected(name: str) -> Any:
    """The values that the earlier version read from a file, or what else it made of it."""
    return json.loads((DATA / "stored-values.json").read_text())[name]


def on_this_boot(monkeypatch: pytest.MonkeyPatch, folder: Path) -> None:
    """Let the machine's boot be the one that the grants files tell of."""
    boot = folder / "boot_id"
    boot.write_text("0a1b2c3d-0000-4000-8000-00000000beef\n")
    monkeypatch.setattr(grant_file, "BOOT_ID_PATH", boot)


@pytest.mark.parametrize("name", SNAPSHOTS)
def test_snapshot_has_the_same_values_when_an_earlier_version_wrote_it(name: str) -> None:
    assert plain(schema.unpack(stored(name))) == expected(name)


@pytest.mark.parametrize("name", ["snapshot-v2-final", "snapshot-v2-running"])
def test_snapshot_has_the_same_keys_and_values_when_it_is_written_again(name: str) -> None:
    assert content(schema.pack(schema.unpack(stored(name)))) == content(stored(name))


@pytest.mark.parametrize("name", SNAPSHOTS)
def test_snapshot_becomes_the_same_version_2_bytes_when_it_is_written_again(name: str) -> None:
    # A total that was a whole number when the snapshot was taken is read as a float, and written as one.
    assert schema.pack(schema.unpack(stored(name))) == stored(f"{name}-rewritten")


def test_site_digest_is_the_same_when_the_settings_are() -> None:
    assert site_digest() == expected("site")
    schema.check_applicable(schema.unpack(stored("snapshot-v2-final")), site_digest(), "n0", RESTORED_AT, 30.0)


@pytest.mark.parametrize("name", SNAPSHOTS)
def test_restored_state_is_the_same_when_an_earlier_version_wrote_the_snapshot(name: str) -> None:
    gateway, counts = restored(schema.unpack(stored(name)))
    assert counts == expected(f"{name} counts")
    assert snapshot_of(gateway) == stored(f"{name}-restored")


def test_endpoint_list_is_the_same_when_it_comes_from_a_snapshot() -> None:
    assert plain(restore.endpoint_update_of(schema.unpack(stored("snapshot-v2-final")))) == expected("endpoint list")


def test_state_file_is_read_and_reported_alike_when_an_earlier_version_wrote_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clock, "now", lambda: RESTORED_AT)
    (tmp_path / "n0.state").write_bytes(stored("snapshot-v2-final"))
    known = restore.endpoint_update_of(schema.unpack(stored("snapshot-v2-final")))
    store = SnapshotStore("n0", "0b1c2d3e", known)
    snapshot_file = SnapshotFile(tmp_path / "n0.state", store)
    store.set_gateway(restarted_gateway())
    store.on_endpoint_update(known)
    before = snapshot_file.status()
    snapshot = snapshot_file.read_usable(site_digest(), 30.0)
    assert snapshot is not None and plain(snapshot) == expected("snapshot-v2-final")
    store.restore(snapshot, SnapshotSource.FILE)
    snapshot_file.write_last()
    assert [before, snapshot_file.status()] == expected("snapshot status")
    assert (tmp_path / "n0.state").read_bytes() == stored("snapshot-v2-last")


def test_fleet_file_has_the_same_values_and_bytes_when_an_earlier_version_wrote_it(tmp_path: Path) -> None:
    found = registry.read_registry(DATA / "fleet.json")
    assert found is not None and plain(found) == expected("fleet.json")
    registry.write_registry(tmp_path / "fleet.json", found)
    assert (tmp_path / "fleet.json").read_bytes() == stored("fleet.json")


def test_fleet_file_is_read_alike_when_it_tells_no_order() -> None:
    assert plain(registry.read_registry(DATA / "fleet-no-order.json")) == expected("fleet-no-order.json")


@pytest.mark.parametrize("name", GRANTS)
def test_grants_have_the_same_values_when_an_earlier_version_wrote_them(name: str) -> None:
    assert plain(grant_file.unpack(stored(name), "web")) == expected(name)


@pytest.mark.parametrize("name", GRANTS)
def test_grants_have_the_same_bytes_when_a_restarted_supervisor_writes_them(
    name: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    on_this_boot(monkeypatch, tmp_path)
    granter, fault = grant_file.read(DATA / name, "web", 500.0, True)
    grant_file.write(tmp_path / "fleet.grants", granter, "web")
    assert fault == "" and (tmp_path / "fleet.grants").read_bytes() == stored(f"{name}-rewritten")


def test_grants_of_an_earlier_boot_tell_only_the_epoch_when_they_are_read() -> None:
    granter, fault = grant_file.read(DATA / "fleet-v2.grants", "web", 500.0, True)
    assert (fault, granter.epoch, len(granter.records)) == ("", 4, 0)


def test_member_configuration_has_the_same_bytes_when_the_supervisor_writes_it(tmp_path: Path) -> None:
    assert member_configuration(tmp_path) == stored("web2.json")


def test_member_configuration_has_the_same_values_when_a_member_reads_it() -> None:
    assert plain(configuration.from_source(json.loads(stored("web2.json")), "web2.json", {})) == expected("web2.json")


def test_lock_file_holds_process_and_incarnation_when_the_name_is_taken(tmp_path: Path) -> None:
    held = lock.NameLock.acquire(tmp_path / "n0.lock", "0a1b2c3d")
    try:
        text = (tmp_path / "n0.lock").read_text()
        assert text.replace(str(os.getpid()), "4242", 1).encode() == stored("n0.lock")
    finally:
        held.release()


def test_lock_holder_is_named_when_an_earlier_version_holds_the_name(tmp_path: Path) -> None:
    path = tmp_path / "n0.lock"
    path.write_bytes(stored("n0.lock"))
    with path.open("rb+") as holder:
        fcntl.flock(holder, fcntl.LOCK_EX)
        assert not lock.is_name_free(path)
        with pytest.raises(lock.NameTakenError) as refused:
            lock.NameLock.acquire(path, "0b1c2d3e")
    assert str(refused.value) == expected("lock held")
    assert lock.is_name_free(path) and path.read_bytes() == stored("n0.lock")


def test_plan_of_the_test_settings_is_in_the_snapshots_when_they_are_restored() -> None:
    gateway, _ = restored(schema.unpack(stored("snapshot-v2-final")))
    assert sorted({store.plan.name for store in gateway.buckets.values()}) == ["capped", PLAN.name]
