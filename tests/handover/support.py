"""Helpers of the upgrade tests: a small plan, and functions that start, use and stop copies of the real program."""

from __future__ import annotations

import select
import signal
import time
from subprocess import Popen
from typing import Any

from tests.limiter import PATIENCE, Limiter, command, request

SMALL_PLAN: dict[str, Any] = {"tiers-of-service": [{"name": "basic", "refill": 2.0, "most-at-once": 16.0}]}
GOOD_RESPONSE = b"*3\r\n$5\r\nvalue\r\n$14\r\nused=37,cost=2\r\n$11\r\navg_ms=14.5\r\n"
READY_POLL_SECONDS = 0.02  # More frequent calls would use all connections, and the next connection would be reset.


def wait_until_ready(limiter: Limiter) -> None:
    """Wait until the latest copy is ready, and send later operators' calls to that copy."""
    limiter.listen_for_operators = int(limiter.log("calls:").rsplit(":", 1)[1])
    deadline = time.monotonic() + PATIENCE
    while not limiter.call(b"readyz\n").startswith(b"200 "):
        assert time.monotonic() < deadline
        time.sleep(READY_POLL_SECONDS)


def start_next_copy(limiter: Limiter) -> Popen[str]:
    """Start the next copy and return the process of the previous copy."""
    return limiter.replace_process(limiter.start_successor())


def ping(limiter: Limiter) -> bytes:
    """Return the reply to a PING on a new connection."""
    client = limiter.connect()
    client.send(command(b"PING"))
    reply = client.line()
    client.close()
    return reply


def terminate(process: Popen[str]) -> str:
    """Send SIGTERM, check that the shutdown is graceful, and return the unread lines of the process's log."""
    process.send_signal(signal.SIGTERM)
    assert process.wait(PATIENCE) == 0
    assert process.stderr is not None
    return process.stderr.read()


def kill(process: Popen[str]) -> None:
    """Kill a process and wait for its end."""
    process.kill()
    process.wait(PATIENCE)


def count_admitted(limiter: Limiter, first_number: int) -> int:
    """Send requests until one is rejected; return the number of served requests."""
    client = limiter.connect()
    backend = None
    served = 0
    while True:
        client.send(request(first_number + served))
        sockets = [client.sock, limiter.backends[0].sock, *([backend.sock] if backend else [])]
        readable = select.select(sockets, [], [], PATIENCE)[0]
        if client.sock in readable:
            assert client.line().startswith(b"-BUSY")
            client.close()
            return served
        backend = limiter.backends[0].accept() if limiter.backends[0].sock in readable else backend
        assert backend is not None
        backend.read_command()
        backend.send(GOOD_RESPONSE)
        assert client.read_bulk() == b"value"
        served += 1
