"""What the tests of the daemon share: waiting for processes, spending quota, and a scripted successor."""

from __future__ import annotations

import json
import select
import subprocess
import time
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

from tests.control_session import ControlSession, connect_session
from tests.limiter import PATIENCE, Limiter, request
from thymeflow.platform.settings import settings_from
from thymeflow.snapshot.schema import site_digest

T = TypeVar("T")

RESPONSE = b"*3\r\n$5\r\nvalue\r\n$6\r\ncost=1\r\n$-1\r\n"
SMALL_QUOTA: dict[str, Any] = {"tiers-of-service": [{"name": "basic", "refill": 0.01, "most-at-once": 20.0}]}
MAX_REQUESTS = 100  # far more than a small quota admits


class ProcessExit(NamedTuple):
    """How a process ended, and what it logged until then."""

    code: int
    log: str


def wait_for_log_line(process: subprocess.Popen[str], text: str) -> str:
    """Return the next line of a process's log that contains the text."""
    assert process.stderr is not None
    for line in process.stderr:
        if text in line:
            return line
    message = f"the log ended without {text!r}"
    raise AssertionError(message)


def wait_for_exit(process: subprocess.Popen[str]) -> ProcessExit:
    """Wait until a process has ended."""
    _, log = process.communicate(timeout=PATIENCE)
    return ProcessExit(process.returncode, log)


def poll_until(condition: Callable[[], T]) -> T:
    """Return the first result of the condition that is true."""
    deadline = time.monotonic() + PATIENCE
    while not (result := condition()):
        assert time.monotonic() < deadline
        time.sleep(0.01)
    return result


def spend_quota(limiter: Limiter, first_number: int) -> int:
    """Send requests until one is rejected; return how many were forwarded."""
    client = limiter.connect()
    backend = None
    for number in range(first_number, first_number + MAX_REQUESTS):
        client.send(request(number))
        if backend is None:
            select.select([client.sock, limiter.servers[0].sock], [], [], PATIENCE)
            if not client.silent(0.0):
                assert client.line().startswith(b"-BUSY")
                return 0
            backend = limiter.servers[0].accept()
        select.select([client.sock, backend.sock], [], [], PATIENCE)
        if not client.silent(0.0):
            assert client.line().startswith(b"-BUSY")
            backend.close()
            client.close()
            return number - first_number
        backend.words()
        backend.send(RESPONSE)
        assert client.bulk() == b"value"
    message = f"none of {MAX_REQUESTS} requests was rejected"
    raise AssertionError(message)


def restart(limiter: Limiter, **configuration: object) -> None:
    """Drain the daemon, which writes its final snapshot, and start it again with a changed configuration."""
    limiter.ask(do="drain", linger=0.1)
    limiter.process.communicate(timeout=PATIENCE)
    limiter.config.update(configuration)
    limiter.path.write_text(json.dumps(limiter.config))
    limiter.process = limiter.start(())
    limiter.port = int(limiter.log("listening:").rsplit(":", 1)[1])


def request_handover(limiter: Limiter) -> ControlSession:
    """Return the session of a successor that the test plays, which can stop at any step of a handover."""
    session = connect_session(limiter.state / "n0.sock")
    session.send(do="take", life="x", pid=1, site=site_digest(settings_from(limiter.config["settings"])))
    return session
