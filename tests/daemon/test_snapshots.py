"""Guards against restarts that grant quota twice or fail because of a corrupt snapshot file."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.daemon.support import SMALL_QUOTA, poll_until, spend_quota, wait_for_exit, wait_for_log_line
from tests.limiter import Limiter


def test_quota_is_not_granted_twice_when_the_daemon_restarts_or_is_killed(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=(), environment={"THYMEFLOW_SNAPSHOT_EVERY": "100ms"}, **SMALL_QUOTA) as limiter:
        admitted = spend_quota(limiter, 1)
        assert 8 <= admitted <= 12  # By default, buckets start half full.
        limiter.terminate()
        assert wait_for_exit(limiter.process).code == 0
        limiter.process = limiter.start(())
        assert "restored 1 customers from the snapshot file" in wait_for_log_line(limiter.process, "snapshot:")
        limiter.port = int(limiter.log("listening:").rsplit(":", 1)[1])
        assert spend_quota(limiter, 200) <= 1
        written_at = limiter.request_control(do="status")["snapshot"]["at"]
        poll_until(lambda: limiter.request_control(do="status")["snapshot"]["at"] > written_at)
        limiter.process.kill()
        limiter.process.communicate()
        limiter.process = limiter.start(())
        limiter.port = int(limiter.log("listening:").rsplit(":", 1)[1])
        assert spend_quota(limiter, 400) <= 1


@pytest.mark.parametrize(
    ("corrupt", "cause"),
    [
        (lambda data: data[:-5], "the snapshot is truncated"),
        (lambda data: b"{}", "the snapshot does not begin"),
        (lambda data: data.replace(b'"final":true', b'"final":null'), "is truncated|checksum"),
    ],
)
def test_defaults_are_used_and_one_line_logged_when_the_snapshot_is_corrupt(
    tmp_path: Path, corrupt: Callable[[bytes], bytes], cause: str
) -> None:
    with Limiter(tmp_path, serve=(), **SMALL_QUOTA) as limiter:
        spend_quota(limiter, 1)
        limiter.terminate()
        wait_for_exit(limiter.process)
        path = limiter.state / "n0.state"
        path.write_bytes(corrupt(path.read_bytes()))
        limiter.process = limiter.start(())
        line = wait_for_log_line(limiter.process, "is ignored, and token buckets start with defaults")
        assert re.search(cause, line)
        limiter.port = int(limiter.log("listening:").rsplit(":", 1)[1])
        assert spend_quota(limiter, 200) >= 8
