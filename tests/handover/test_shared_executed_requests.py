"""The file of request ids that both processes of an upgrade map."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from thymeflow.core.executed_requests import REMEMBERED_SECONDS
from thymeflow.handover.shared_executed_requests import FILE_BYTES, SharedExecutedRequests
from thymeflow.runtime import clock

REQUEST_ID = f"{7:016x}"
BLOCK_BYTES = 512  # the unit of st_blocks


def test_ids_are_shared_until_they_expire_or_are_discarded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    now = 1000.0
    monkeypatch.setattr(clock, "monotonic", lambda: now)
    old, new = (SharedExecutedRequests(tmp_path / "n0.ids") for _ in range(2))
    old.add(REQUEST_ID)
    assert new.contains(REQUEST_ID)
    new.discard(REQUEST_ID)
    assert not old.contains(REQUEST_ID)
    old.add(REQUEST_ID)
    now += REMEMBERED_SECONDS + 1.0
    assert not new.contains(REQUEST_ID)


def test_file_has_all_of_its_space_when_it_is_mapped(tmp_path: Path) -> None:
    # Guards against a process that is ended by SIGBUS when the file system becomes full later.
    SharedExecutedRequests(tmp_path / "n0.ids")
    assert (tmp_path / "n0.ids").stat().st_blocks * BLOCK_BYTES >= FILE_BYTES


def test_file_is_not_used_when_the_file_system_is_full(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> None:
        raise OSError(errno.ENOSPC, "full")

    monkeypatch.setattr(os, "posix_fallocate", fail)
    with pytest.raises(OSError, match="full"):
        SharedExecutedRequests(tmp_path / "n0.ids")
