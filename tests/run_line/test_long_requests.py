"""Requests with long bodies, whose time starts when the client has written the last byte.

The tests guard against responses that wait for a backend which reads the body slowly or not at all, and against a
process that exceeds its memory limit because many such bodies wait at once.
"""

from __future__ import annotations

import re
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from threading import Event, Thread

import pytest

from tests.limiter import Limiter, Peer, request

# Seconds after its time until which a late response only earns nothing; later the request is lost.
LATE_RESPONSE_SECONDS = 0.5
BODY_BYTES = 1_000_000
SMALL_RECEIVE_BUFFER = 4096  # bytes, so that the backend's kernel does not read in its place
MEMORY_MB = 192
PACE_SECONDS = 0.05  # between two reads of a slow backend


def build_long_request(number: int, wait_ms: int, size: int = BODY_BYTES) -> bytes:
    """Return a request with a body of `size` bytes."""
    text = request(number, "book", wait_ms, body=b"").removesuffix(b"$0\r\n\r\n")
    return text + b"$%d\r\n" % size + b"x" * size + b"\r\n"


class SlowBackend:
    """Reads each connection of a limiter's backend at a rate, and stops after a number of bytes; it never replies."""

    def __init__(self, limiter: Limiter, bytes_per_second: int, max_bytes: int) -> None:
        self._listener = limiter.backends[0].sock
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        self._listener.settimeout(PACE_SECONDS)
        self._bytes_per_turn = int(bytes_per_second * PACE_SECONDS)
        self._max_bytes = max_bytes
        self._is_stopped = Event()
        self._thread = Thread(target=self._run)

    def _run(self) -> None:
        bytes_read: dict[socket.socket, int] = {}
        while not self._is_stopped.wait(PACE_SECONDS):
            self._listener.setblocking(False)
            try:
                while True:
                    connection, _ = self._listener.accept()
                    connection.setblocking(False)
                    bytes_read[connection] = 0
            except BlockingIOError:
                pass
            for connection, count in list(bytes_read.items()):
                try:
                    if count < self._max_bytes:
                        bytes_read[connection] += len(connection.recv(max(1, self._bytes_per_turn)))
                except BlockingIOError:
                    pass
                except OSError:
                    connection.close()
                    del bytes_read[connection]
        for connection in bytes_read:
            connection.close()

    def __enter__(self) -> SlowBackend:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._is_stopped.set()
        self._thread.join()


@pytest.fixture
def limiter(tmp_path: Path) -> Iterator[Limiter]:
    with Limiter(tmp_path, memory=MEMORY_MB) as limiter:
        yield limiter


def read_peak_memory_mb(limiter: Limiter) -> float:
    """Return the largest resident memory that the process has had, in MB."""
    status = Path(f"/proc/{limiter.process.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) / 1024.0


def measure_seconds_to_response(client: Peer) -> float:
    """Return the seconds until a client has its final response, which must be an error line."""
    began_at = time.monotonic()
    assert client.line().startswith((b"-BUSY", b"-ERR"))
    return time.monotonic() - began_at


@pytest.mark.parametrize(("bytes_per_second", "max_bytes"), [(100_000, BODY_BYTES * 2), (100_000, 20_000), (0, 0)])
@pytest.mark.parametrize("wait_ms", [500, 1500])
def test_long_request_is_answered_in_time_when_its_backend_reads_slowly_or_stops(
    limiter: Limiter, bytes_per_second: int, max_bytes: int, wait_ms: int
) -> None:
    # Guards against report eef86f: responses seconds after their time.
    with SlowBackend(limiter, bytes_per_second, max_bytes):
        client = limiter.connect()
        client.send(build_long_request(1, wait_ms))
        assert measure_seconds_to_response(client) < wait_ms / 1000.0 + LATE_RESPONSE_SECONDS
