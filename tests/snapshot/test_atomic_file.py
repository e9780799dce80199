"""Guards against files that are lost or damaged when a write fails half way."""

from __future__ import annotations

import os
import resource
import signal
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from thymeflow.snapshot import atomic_file, schema

MAX_FILE_BYTES = 1000


@contextmanager
def limit_file_size() -> Iterator[None]:
    """Make writes beyond MAX_FILE_BYTES fail, as on a disk that becomes full during a write."""
    limits_before = resource.getrlimit(resource.RLIMIT_FSIZE)
    handler_before = signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    try:
        resource.setrlimit(resource.RLIMIT_FSIZE, (MAX_FILE_BYTES, limits_before[1]))
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, limits_before)
        signal.signal(signal.SIGXFSZ, handler_before)


def test_old_content_remains_when_a_write_fails_half_way(tmp_path: Path) -> None:
    path = tmp_path / "n0.state"
    atomic_file.write(path, b"first")
    with limit_file_size(), pytest.raises(OSError):
        atomic_file.write(path, b"x" * 5000)
    assert atomic_file.read(path) == b"first"
    assert os.listdir(tmp_path) == ["n0.state"]


def test_read_returns_none_when_there_is_no_file(tmp_path: Path) -> None:
    assert atomic_file.read(tmp_path / "none") is None


def test_read_fails_with_snapshot_error_when_it_is_a_folder(tmp_path: Path) -> None:
    with pytest.raises(schema.SnapshotError):
        atomic_file.read(tmp_path)
