"""Requests with long bodies, whose time starts when the client has written the last byte.

The tests guard against responses that wait for a backend which reads the body slowly or not at all, and against a
process that exceeds its memory limit because many such bodies wait at once.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from threading import Event, Thread
from typing import Any

import pytest

from tests.limiter import PATIENCE, SETTINGS, Limiter, Peer, request
from tests.process_memory import read_peak_memory_mb

# Seconds after its time until which a late response only earns nothing; later the request is lost.
LATE_RESPONSE_SECONDS = 0.5
BODY_BYTES = 1_000_000
BACKEND_COUNT = 24
SMALL_RECEIVE_BUFFER = 4096  # bytes, so that the backend's kernel does not read in its place
MEMORY_MB = 192
# Neither the quota nor the number of open requests rejects a request here.
UNLIMITED: dict[str, Any] = {
    "caps": {**SETTINGS["caps"], "open-cap": 5000},
    "tiers-of-service": [{"name": "basic", "refill": 1e5, "most-at-once": 1e5}],
}
PACE_SECONDS = 0.05  # between two reads of a slow backend


def build_long_request(number: int, wait_ms: int, size: int = BODY_BYTES) -> bytes:
    """Return a request with a body of `size` bytes."""
    text = request(number, "book", wait_ms, body=b"").removesuffix(b"$0\r\n\r\n")
    return text + b"$%d\r\n" % size + b"x" * size + b"\r\n"


class SlowBackends:
    """Read each connection of a limiter's backends at a rate, and stop after a number of bytes; they never reply."""

    def __init__(self, limiter: Limiter, bytes_per_second: int, max_bytes: int) -> None:
        self._listeners = [backend.sock for backend in limiter.backends]
        for listener in self._listeners:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
            listener.setblocking(False)
        self._bytes_per_turn = int(bytes_per_second * PACE_SECONDS)
        self._max_bytes = max_bytes
        self._is_stopped = Event()
        self._thread = Thread(target=self._run)

    def _run(self) -> None:
        bytes_read: dict[socket.socket, int] = {}
        while not self._is_stopped.wait(PACE_SECONDS):
            for listener in self._listeners:
                with suppress(BlockingIOError):
                    while True:
                        connection, _ = listener.accept()
                        connection.setblocking(False)
                        bytes_read[connection] = 0
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

    def __enter__(self) -> SlowBackends:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._is_stopped.set()
        self._thread.join()


@pytest.fixture
def limiter(tmp_path: Path) -> Iterator[Limiter]:
    with Limiter(tmp_path, BACKEND_COUNT, memory=MEMORY_MB, **UNLIMITED) as limiter:
        yield limiter


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
    with SlowBackends(limiter, bytes_per_second, max_bytes):
        client = limiter.connect()
        client.send(build_long_request(1, wait_ms))
        assert measure_seconds_to_response(client) < wait_ms / 1000.0 + LATE_RESPONSE_SECONDS


class LongUpload:
    """A client that writes one long request as fast as it can, and notes when it has written and what it receives."""

    def __init__(self, limiter: Limiter, number: int, wait_ms: int, size: int) -> None:
        self.sock = limiter.connect().sock
        self.sock.setblocking(False)
        self._unsent = memoryview(build_long_request(number, wait_ms, size))
        self._wait_seconds = wait_ms / 1000.0
        self._written_at = 0.0
        self.seconds_late = -1.0  # of the response, after the end of the wait
        self.response = b""

    def proceed(self) -> None:
        """Write and read what is possible now."""
        if self._unsent:
            with suppress(BlockingIOError):
                self._unsent = self._unsent[self.sock.send(self._unsent) :]
            self._written_at = time.monotonic()
        with suppress(BlockingIOError):
            self.response += self.sock.recv(1000)
            self.seconds_late = time.monotonic() - self._written_at - self._wait_seconds

    def has_ended(self) -> bool:
        """Return whether the request is written and answered."""
        return not self._unsent and self.response.endswith(b"\r\n")


@pytest.mark.parametrize(("client_count", "size", "wait_ms"), [(60, 4_000_000, 1000), (300, 200_000, 500)])
@pytest.mark.parametrize("bytes_per_second", [0, 50_000])
def test_long_requests_are_answered_in_time_and_within_the_memory_when_many_wait(
    limiter: Limiter, client_count: int, size: int, wait_ms: int, bytes_per_second: int
) -> None:
    # Guards against late responses where the memory for bodies is used up, and against exceeding it instead.
    with SlowBackends(limiter, bytes_per_second, size * 2):
        uploads = [LongUpload(limiter, number, wait_ms, size) for number in range(client_count)]
        give_up_at = time.monotonic() + PATIENCE
        while not all(upload.has_ended() for upload in uploads):
            assert time.monotonic() < give_up_at
            for upload in uploads:
                upload.proceed()
            time.sleep(0.001)
    assert all(upload.response.startswith((b"-BUSY", b"-ERR failed")) for upload in uploads)
    assert max(upload.seconds_late for upload in uploads) < LATE_RESPONSE_SECONDS
    assert read_peak_memory_mb(limiter.process.pid) < MEMORY_MB
    for upload in uploads:
        upload.sock.close()


def test_body_is_not_delivered_when_its_client_has_left_before_the_backend_reads_it(tmp_path: Path) -> None:
    # Guards against an attempt that begins, with its last byte, long after its client has left.
    with Limiter(tmp_path) as limiter:
        limiter.backends[0].sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        client = limiter.connect()
        client.send(build_long_request(1, 20000))
        backend = limiter.backends[0].accept()
        assert backend.line() == b"*5"
        client.close()
        received_bytes = 0
        with suppress(ConnectionResetError):
            while data := backend.sock.recv(1 << 16):
                received_bytes += len(data)
        assert received_bytes < BODY_BYTES


def test_long_request_is_answered_before_sigkill_may_come_when_its_body_ends_after_sigterm(limiter: Limiter) -> None:
    # Guards against a long request whose time runs past the earliest SIGKILL: 0.7 s and at most 3 s after SIGTERM.
    with SlowBackends(limiter, 0, 0):
        client = limiter.connect()
        text = build_long_request(1, 20000)
        client.send(text[:-1000])
        limiter.terminate()
        began_at = time.monotonic()
        limiter.log("phase: draining")
        client.send(text[-1000:])
        assert client.line().startswith(b"-BUSY")
        assert time.monotonic() - began_at < 3.7
