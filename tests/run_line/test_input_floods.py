"""Clients that send much more than they may, or leave with much still unread.

The tests guard against one client that delays all others or makes the memory grow, and against requests that are
forwarded although their client has left.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from threading import Event, Thread
from typing import Any

import pytest

from tests.limiter import SETTINGS, Limiter, Peer, command, request
from tests.process_memory import read_peak_memory_mb

MEMORY_MB = 192
BACKEND_COUNT = 10
FLOOD_SECONDS = 2.0
SMALL_MEMORY_MB = 96
CLIENT_COUNT = 600
CROWD_SECONDS = 4.0
WAIT_MS = 500
LATE_RESPONSE_SECONDS = 0.5  # after its time; a response that comes later counts as lost
HANG_SECONDS = 1.0  # until a backend closes the connection of a request that it does not answer
SETTLE_SECONDS = 0.3  # without a new attempt, after which all first attempts have come
GONE_SECONDS = 0.1  # after a client's close, from which on no attempt of its requests may begin
REPLY = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


class EchoBackends:
    """Answer each request of the limiter's backends, or close its connection after a delay; note when each one came."""

    def __init__(self, limiter: Limiter, close_after: float = 0.0) -> None:
        self._close_after = close_after
        self._is_stopped = Event()
        self.received_at: list[float] = []
        for backend in limiter.backends:
            backend.sock.settimeout(None)
            Thread(target=self._accept, args=(backend.sock,), daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        with suppress(OSError):
            while True:
                Thread(target=self._serve, args=(Peer(listener.accept()[0]),), daemon=True).start()

    def _serve(self, peer: Peer) -> None:
        with suppress(OSError, ValueError):
            while peer.read_command():
                self.received_at.append(time.monotonic())
                if self._close_after:
                    self._is_stopped.wait(self._close_after)
                    peer.close()
                    return
                peer.send(REPLY)


class Flood:
    """Writes commands on one connection as fast as it can, and reads what comes back or nothing."""

    def __init__(self, limiter: Limiter, build: Callable[[int], bytes], is_reading: bool) -> None:
        self._sock = limiter.connect().sock
        self._build = build
        self._is_reading = is_reading
        self._is_stopped = Event()
        self._thread = Thread(target=self._run)

    def _run(self) -> None:
        self._sock.setblocking(False)
        number = 0
        unsent = b""
        while not self._is_stopped.is_set():
            if not unsent:
                unsent = b"".join(self._build(number + offset) for offset in range(200))
                number += 200
            try:
                unsent = unsent[self._sock.send(unsent) :]
            except BlockingIOError:
                time.sleep(0.001)
            except OSError:
                return
            with suppress(OSError):
                while self._is_reading and self._sock.recv(1 << 16):
                    pass

    def __enter__(self) -> Flood:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._is_stopped.set()
        self._thread.join()
        self._sock.close()


@pytest.fixture
def limiter(tmp_path: Path) -> Iterator[Limiter]:
    settings: dict[str, Any] = {
        "caps": {**SETTINGS["caps"], "open-cap": 5000},
        "tiers-of-service": [{"name": "basic", "refill": 1e4, "most-at-once": 1e4}],
    }
    with Limiter(tmp_path, BACKEND_COUNT, memory=MEMORY_MB, **settings) as limiter:
        yield limiter


def build_request_of_new_customer(number: int) -> bytes:
    """Return a request whose customer has sent nothing before."""
    return request(number, wait=WAIT_MS).replace(b"00000000b4d65521", b"%016x" % number)


FLOODS: dict[str, Callable[[int], bytes]] = {
    "empty": lambda _: b"*0\r\n",
    "ping": lambda _: command(b"PING"),
    "unknown": lambda number: command(b"NAME%d" % number),
    "invalid": lambda number: request(number).replace(b"c=look", b"c=%d" % number),
    "request": lambda number: request(number, wait=WAIT_MS),
    "new customer": build_request_of_new_customer,
}


@pytest.mark.parametrize("is_reading", [True, False])
@pytest.mark.parametrize("kind", FLOODS)
def test_other_clients_are_answered_in_time_when_one_client_sends_at_full_speed(
    limiter: Limiter, kind: str, is_reading: bool
) -> None:
    EchoBackends(limiter)
    client = limiter.connect()
    number = 1 << 40
    latencies: list[float] = []
    with Flood(limiter, FLOODS[kind], is_reading):
        end = time.monotonic() + FLOOD_SECONDS
        while time.monotonic() < end:
            number += 1
            began_at = time.monotonic()
            client.send(request(number, wait=WAIT_MS).replace(b"00000000b4d65521", b"00000000b4d65522"))
            if not client.line().startswith(b"-"):
                client.line()
            latencies.append(time.monotonic() - began_at)
    assert max(latencies) < WAIT_MS / 1000.0 + LATE_RESPONSE_SECONDS
    assert read_peak_memory_mb(limiter.process.pid) < MEMORY_MB


@pytest.mark.parametrize("kind", ["ping", "unknown", "request"])
def test_memory_stays_within_its_limit_when_hundreds_of_clients_send_behind_an_open_request(
    tmp_path: Path, kind: str
) -> None:
    # Guards against commands, or the replies to them, that are kept without a bound while an earlier one is open.
    filler = b"".join(FLOODS[kind](number) for number in range(20_000))
    with Limiter(tmp_path, BACKEND_COUNT, memory=SMALL_MEMORY_MB) as limiter:
        clients = [limiter.connect() for _ in range(CLIENT_COUNT)]
        unsent = [memoryview(request(number) + filler) for number in range(CLIENT_COUNT)]
        end = time.monotonic() + CROWD_SECONDS
        while time.monotonic() < end:
            for number, client in enumerate(clients):
                client.sock.setblocking(False)
                with suppress(OSError):
                    unsent[number] = unsent[number][client.sock.send(unsent[number]) :]
            time.sleep(0.01)
        limiter.wait_for_reply(b"+PONG", command(b"PING"))
        assert read_peak_memory_mb(limiter.process.pid) < SMALL_MEMORY_MB
        for client in clients:
            client.close()


@pytest.mark.parametrize("command_count", [200, 3000, 20000])
def test_nothing_is_retried_when_a_client_has_left_with_many_commands_unread(
    limiter: Limiter, command_count: int
) -> None:
    backends = EchoBackends(limiter, close_after=HANG_SECONDS)
    client = limiter.connect()
    client.send(b"".join(request(number) for number in range(command_count)))
    # The first attempts cross the close of a client that leaves at once; they are awaited here.
    while not backends.received_at or time.monotonic() - backends.received_at[-1] < SETTLE_SECONDS:
        time.sleep(0.01)
    client.close()
    closed_at = time.monotonic()
    time.sleep(2.0 * HANG_SECONDS)
    assert not [moment - closed_at for moment in backends.received_at if moment - closed_at > GONE_SECONDS]
