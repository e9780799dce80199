"""Helpers of the daemon's tests: waiting for processes, spending quota, and scripted sides of a handover."""

from __future__ import annotations

import json
import select
import socket
import subprocess
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple, TypeVar

from tests.control_session import ControlSession, connect_session
from tests.limiter import PATIENCE, Limiter, request
from thymeflow.platform.settings import parse_platform_settings
from thymeflow.snapshot.schema import compute_site_digest

Result = TypeVar("Result")

RESPONSE = b"*3\r\n$5\r\nvalue\r\n$6\r\ncost=1\r\n$-1\r\n"
SMALL_QUOTA: dict[str, Any] = {"tiers-of-service": [{"name": "basic", "refill": 0.01, "most-at-once": 20.0}]}
MAX_REQUESTS = 100  # Many more requests than a small quota admits.


class ProcessExit(NamedTuple):
    """The exit code of a process, and the log lines that had not been read before its end."""

    code: int
    log: str


def wait_for_log_line(process: subprocess.Popen[str], text: str) -> str:
    """Return the next line of a process's log that contains `text`."""
    assert process.stderr is not None
    for line in process.stderr:
        if text in line:
            return line
    message = f"the log ended without {text!r}"
    raise AssertionError(message)


def wait_for_exit(process: subprocess.Popen[str]) -> ProcessExit:
    """Wait until a process has ended; return its exit code and its unread log lines."""
    _, log = process.communicate(timeout=PATIENCE)
    return ProcessExit(process.returncode, log)


def poll_until(condition: Callable[[], Result]) -> Result:
    """Poll the condition until its result is true, and return that result."""
    deadline = time.monotonic() + PATIENCE
    while not (result := condition()):
        assert time.monotonic() < deadline
        time.sleep(0.01)
    return result


def spend_quota(limiter: Limiter, first_number: int) -> int:
    """Send requests until one is rejected; return the number of forwarded requests."""
    client = limiter.connect()
    backend = None
    for number in range(first_number, first_number + MAX_REQUESTS):
        client.send(request(number))
        if backend is None:
            select.select([client.sock, limiter.backends[0].sock], [], [], PATIENCE)
            if not client.receives_nothing(0.0):
                assert client.line().startswith(b"-BUSY")
                return 0
            backend = limiter.backends[0].accept()
        select.select([client.sock, backend.sock], [], [], PATIENCE)
        if not client.receives_nothing(0.0):
            assert client.line().startswith(b"-BUSY")
            backend.close()
            client.close()
            return number - first_number
        backend.read_command()
        backend.send(RESPONSE)
        assert client.read_bulk() == b"value"
    message = f"none of {MAX_REQUESTS} requests was rejected"
    raise AssertionError(message)


def restart(limiter: Limiter, **configuration: object) -> None:
    """Drain the daemon, which writes its final snapshot, and start it again with a changed configuration."""
    limiter.request_control(do="drain", linger=0.1)
    limiter.process.communicate(timeout=PATIENCE)
    limiter.config.update(configuration)
    limiter.path.write_text(json.dumps(limiter.config))
    limiter.process = limiter.start(())
    limiter.port = int(limiter.log("listening:").rsplit(":", 1)[1])


def request_handover(limiter: Limiter) -> ControlSession:
    """Request a handover as a scripted successor, which can stop at any step; return its session."""
    session = connect_session(limiter.state / "n0.sock")
    session.send(
        do="take", life="x", pid=1, site=compute_site_digest(parse_platform_settings(limiter.config["settings"]))
    )
    return session


@contextmanager
def scripted_predecessor(limiter: Limiter) -> Iterator[ControlSession]:
    """Stop the daemon, start a successor, and yield the session in which the test acts as its predecessor."""
    limiter.request_control(do="drain", linger=0.1)
    limiter.process.communicate(timeout=PATIENCE)
    with socket.socket(socket.AF_UNIX) as listener:
        listener.bind(str(limiter.state / "n0.sock"))
        listener.listen()
        listener.settimeout(PATIENCE)
        limiter.process = limiter.start(("--take-over",))
        yield ControlSession(listener.accept()[0])


def hand_over(limiter: Limiter, session: ControlSession) -> list[dict[str, Any]]:
    """Send the descriptors, the state and the permission to the successor; return its message after each step."""
    state = (limiter.state / "n0.state").read_bytes()
    messages = []
    with (
        socket.create_server(("127.0.0.1", 0)) as listening,
        (limiter.state / "n0.lock").open("rb+") as lock,
        (limiter.state / "handed").open("wb+") as state_file,
    ):
        address = f"127.0.0.1:{listening.getsockname()[1]}"
        session.send(listening.fileno(), lock.fileno(), offer=address, life="0a1b2c3d")
        watch, _ = limiter.watch()
        watch.send(b"1\r\n\n\r\n")
        messages.append(session.receive())
        state_file.write(state)
        state_file.flush()
        session.send(state_file.fileno(), state=len(state), held=0, part=None)
        messages.append(session.receive())
        session.send(yours=True)
        messages.append(session.receive())
    return messages
