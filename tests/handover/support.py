"""Building blocks of the upgrade tests: a fleet's settings, and steps with copies of the real program."""

from __future__ import annotations

import select
import signal
import time
from subprocess import Popen
from typing import Any

from tests.limiter import PATIENCE, Limiter, command, request

SMALL_PLAN: dict[str, Any] = {"tiers-of-service": [{"name": "basic", "refill": 2.0, "most-at-once": 16.0}]}
GOOD_RESPONSE = b"*3\r\n$5\r\nvalue\r\n$14\r\nused=37,cost=2\r\n$11\r\navg_ms=14.5\r\n"
READY_POLL_SECONDS = 0.02  # more frequent callers would use all connections, and the next one would be reset


def wait_until_ready(limiter: Limiter) -> None:
    """Wait until the copy that was started last is ready; operators' calls go to it from then on."""
    limiter.listen_for_operators = int(limiter.log("calls:").rsplit(":", 1)[1])
    deadline = time.monotonic() + PATIENCE
    while not limiter.call(b"readyz\n").startswith(b"200 "):
        assert time.monotonic() < deadline
        time.sleep(READY_POLL_SECONDS)


def start_next_copy(limiter: Limiter) -> Popen[str]:
    """Start the next copy, and return the process of the copy before."""
    return limiter.replace_process(limiter.start_successor())


def ping(limiter: Limiter) -> bytes:
    """Return the reply to a PING on a new connection."""
    client = limiter.connect()
    client.send(command(b"PING"))
    reply = client.line()
    client.close()
    return reply


def terminate(process: Popen[str]) -> str:
    """Send SIGTERM, expect a graceful shutdown, and return the rest of the process's log."""
    process.send_signal(signal.SIGTERM)
    assert process.wait(PATIENCE) == 0
    assert process.stderr is not None
    return process.stderr.read()


def kill(process: Popen[str]) -> None:
    """Kill a process, and wait for its end."""
    process.kill()
    process.wait(PATIENCE)


def count_admitted(limiter: Limiter, first_number: int) -> int:
    """Send requests until one is rejected, and return how many were served."""
    client = limiter.connect()
    server = None
    served = 0
    while True:
        client.send(request(first_number + served))
        waiting = [client.sock, limiter.backends[0].sock, *([server.sock] if server else [])]
        readable = select.select(waiting, [], [], PATIENCE)[0]
        if client.sock in readable:
            assert client.line().startswith(b"-BUSY")
            client.close()
            return served
        server = limiter.backends[0].accept() if limiter.backends[0].sock in readable else server
        assert server is not None
        server.read_command()
        server.send(GOOD_RESPONSE)
        assert client.read_bulk() == b"value"
        served += 1
