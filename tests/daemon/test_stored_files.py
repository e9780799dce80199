"""Guards the formats of the state file and the lock file, which an earlier version wrote."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import pytest

from tests.snapshot.stored import RESTORED_AT, compute_stored_site_digest, make_restarted_gateway
from tests.stored_files import read_recorded_value, read_stored_file, to_plain_value
from thymeflow.daemon import lock
from thymeflow.daemon.snapshot_file import SnapshotFile
from thymeflow.runtime import clock
from thymeflow.snapshot import restore, schema
from thymeflow.snapshot.store import SnapshotSource, SnapshotStore


def test_state_file_is_read_and_reported_as_recorded_when_an_earlier_version_wrote_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clock, "now", lambda: RESTORED_AT)
    (tmp_path / "n0.state").write_bytes(read_stored_file("snapshot-v2-final"))
    known = restore.build_endpoint_update(schema.unpack(read_stored_file("snapshot-v2-final")))
    store = SnapshotStore("n0", "0b1c2d3e", known)
    snapshot_file = SnapshotFile(tmp_path / "n0.state", store)
    store.set_gateway(make_restarted_gateway())
    store.on_endpoint_update(known)
    before = snapshot_file.build_status_message()
    snapshot = snapshot_file.read_usable(compute_stored_site_digest(), 30.0)
    assert snapshot is not None
    assert to_plain_value(snapshot) == read_recorded_value("snapshot-v2-final")
    store.restore(snapshot, SnapshotSource.FILE)
    snapshot_file.write_final()
    assert [before, snapshot_file.build_status_message()] == read_recorded_value("snapshot status")
    assert (tmp_path / "n0.state").read_bytes() == read_stored_file("snapshot-v2-last")


def test_lock_file_has_process_and_incarnation_when_the_name_is_acquired(tmp_path: Path) -> None:
    name_lock = lock.NameLock.acquire(tmp_path / "n0.lock", "0a1b2c3d")
    try:
        text = (tmp_path / "n0.lock").read_text()
        assert text.replace(str(os.getpid()), "4242", 1).encode() == read_stored_file("n0.lock")
    finally:
        name_lock.release()


def test_lock_owner_is_named_when_an_earlier_version_owns_the_name(tmp_path: Path) -> None:
    path = tmp_path / "n0.lock"
    path.write_bytes(read_stored_file("n0.lock"))
    with path.open("rb+") as owner:
        fcntl.flock(owner, fcntl.LOCK_EX)
        assert not lock.is_name_free(path)
        with pytest.raises(lock.NameTakenError) as rejection:
            lock.NameLock.acquire(path, "0b1c2d3e")
    assert str(rejection.value) == read_recorded_value("lock held")
    assert lock.is_name_free(path)
    assert path.read_bytes() == read_stored_file("n0.lock")
