"""Builders for tests of connections: a network in memory, and the messages that pass over it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.testing import MemoryReactorClock, StringTransport

from tests.limiter import SETTINGS, request
from thymeflow.backends.backends import BackendConnections
from thymeflow.core.types import AttemptResult, AttemptSpec
from thymeflow.decision.settings import Limits
from thymeflow.limiter.assembly import Limiter
from thymeflow.platform.configuration import Configuration, parse_configuration
from thymeflow.platform.endpoints import EndpointUpdate, parse_endpoint_update
from thymeflow.platform.settings import parse_platform_settings
from thymeflow.runtime import clock
from thymeflow.transport import resp
from thymeflow.transport.commands import CallReader

SMALL_PLAN: dict[str, Any] = {"tiers-of-service": [{"name": "basic", "refill": 2.0, "most-at-once": 16.0}]}
SERVED_REPLY = b"*3\r\n$5\r\nvalue\r\n$14\r\nused=37,cost=2\r\n$11\r\navg_ms=14.5\r\n"
KERNEL_BUFFER = 10**6  # bytes that a fake socket takes at a time, unless a test sets less


class FakeSocket:
    """A socket that takes at most `max_bytes` at a time."""

    def __init__(self, transport: Any) -> None:
        self.transport = transport
        self.max_bytes = KERNEL_BUFFER
        self.unread = b""
        self.departed = False  # the other end has closed
        self.half_closed = False
        self.no_delay = False

    def send(self, data: bytes) -> int:
        """Take as many bytes as there is capacity for."""
        if not self.max_bytes:
            raise BlockingIOError
        self.transport.write(data[: self.max_bytes])
        return min(self.max_bytes, len(data))

    def recv(self, max_bytes: int, flags: int) -> bytes:
        """Return the bytes that wait, without removing them."""
        if not self.unread:
            raise BlockingIOError
        return self.unread[:max_bytes]

    def shutdown(self, how: int) -> None:
        """Note the half-close."""
        self.half_closed = True

    def setsockopt(self, level: int, name: int, value: int) -> None:
        """Do nothing."""


class InMemoryNetwork:
    """A reactor in memory under a clock that the test moves."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
        monkeypatch.setattr(clock, "now", lambda: 1e9 + self.reactor.seconds())
        self.deadlines = clock.Deadlines(self.reactor)

    def up(self, number: int, unread: bytes = b"") -> Any:
        """Let the dial of that number succeed; return the protocol, with the handle of its socket."""
        *_, factory, _, _ = self.reactor.tcpClients[number]
        return self.connected(factory.buildProtocol(None), unread)

    def connected(self, protocol: Any, unread: bytes = b"") -> Any:
        """Return the protocol on a connection in memory, with bytes that wait there."""
        transport: Any = StringTransport()  # type: ignore[no-untyped-call]
        transport.handle = FakeSocket(transport)
        transport.handle.unread = unread
        transport.getHandle = lambda: transport.handle
        transport.setTcpNoDelay = lambda on: setattr(transport.handle, "no_delay", on)
        transport.registerProducer = lambda producer, streaming: None
        protocol.has_peer_closed = lambda: transport.handle.departed
        protocol.makeConnection(transport)
        return protocol


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> InMemoryNetwork:
    """Return a network in memory, whose clock the code under test uses."""
    return InMemoryNetwork(monkeypatch)


class FakePort:
    """A listening port in memory, which counts how often it was resumed and stopped."""

    def __init__(self) -> None:
        self.resumed_count = 0
        self.stopped_count = 0

    def getHost(self) -> IPv4Address:
        """Return an address."""
        return IPv4Address("TCP", "127.0.0.1", 1)

    def doRead(self) -> None:
        """Accept nothing: no connection waits."""

    def startReading(self) -> None:
        """Count it."""
        self.resumed_count += 1

    def stopListening(self) -> None:
        """Count it."""
        self.stopped_count += 1


class RecordingObserver:
    """Receives what a watch learns, and passes each update on."""

    def __init__(self, on_change: Callable[[EndpointUpdate], None]) -> None:
        self.on_endpoints_changed = on_change
        self.ready_count = 0

    def on_endpoints_ready(self) -> None:
        """Count it."""
        self.ready_count += 1


DISCOVERY_PORT = 8  # of a limiter in memory
COUNTER_PORT = 9  # likewise


def make_configuration(**changes: Any) -> Configuration:
    """Return a configuration; `changes` replace keys of its JSON object."""
    source = {
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{DISCOVERY_PORT}",
        "counter": f"127.0.0.1:{COUNTER_PORT}",
        "settings": SETTINGS,
        **changes,
    }
    return parse_configuration(source, "c.json", {})


def make_limiter(world: InMemoryNetwork, sockets: int) -> Limiter:
    """Return a limiter in memory with that many descriptors."""
    return Limiter(make_configuration(limits={"sockets": sockets, "memory_mb": 64}), world.reactor)


def parse_command(text: bytes) -> list[bytes]:
    """Return the words of one command."""
    (found,), _ = resp.Parser().feed(text)
    assert isinstance(found, list)
    return [word for word in found if isinstance(word, bytes)]


def make_attempt_spec() -> AttemptSpec:
    """Return an attempt at backend 1 with three seconds left."""
    call, _ = CallReader(parse_platform_settings(SETTINGS)).read(parse_command(request(1)))
    return AttemptSpec(1, call, clock.now() + 3.0)


def served_reply(value: bytes) -> bytes:
    """Return a backend's reply without figures."""
    return b"*3\r\n" + resp.bulk(value) + b"$-1\r\n$-1\r\n"


def make_backend_connections(world: InMemoryNetwork) -> tuple[BackendConnections, list[AttemptResult]]:
    """Return the connections to one active backend, and a list for the results of attempts."""
    connections = BackendConnections(world.reactor, world.deadlines, Limits(), 10, lambda: None)
    connections.apply_update(one_backend_update("active", reset=True))
    return connections, []


def one_backend_update(lifecycle: str, reset: bool = False) -> EndpointUpdate:
    """Return an endpoint list of one backend in that state."""
    entry = {"instanceId": "s-00000001", "hostPort": "127.0.0.1:9", "lifecycle": lifecycle}
    return parse_endpoint_update({"generation": 1, "reset": reset, "instances": [entry]})
