"""A network in memory for tests of connections, and builders of messages, limiters and attempts for it."""

from __future__ import annotations

import socket
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
KERNEL_BUFFER_BYTES = 10**6  # bytes that a fake socket accepts at a time, unless a test sets fewer


class FakeSocket:
    """A socket that accepts at most `max_bytes` at a time."""

    def __init__(self, transport: Any) -> None:
        self.transport = transport
        self.max_bytes = KERNEL_BUFFER_BYTES
        self.unread = b""
        self.unacknowledged_bytes = 0
        self.is_peer_closed = False
        self.is_half_closed = False
        self.no_delay = False

    def send(self, data: bytes) -> int:
        """Accept at most `max_bytes` and return their number; raise BlockingIOError if `max_bytes` is 0."""
        if not self.max_bytes:
            raise BlockingIOError
        self.transport.write(data[: self.max_bytes])
        return min(self.max_bytes, len(data))

    def recv(self, max_bytes: int, flags: int) -> bytes:
        """Return the unread bytes, removed unless it is a peek; raise BlockingIOError if there are none."""
        if not self.unread:
            raise BlockingIOError
        data = self.unread[:max_bytes]
        if not flags & socket.MSG_PEEK:
            self.unread = self.unread[max_bytes:]
        return data

    def shutdown(self, how: int) -> None:
        """Record that the connection is half closed."""
        self.is_half_closed = True

    def setsockopt(self, level: int, name: int, value: int) -> None:
        """Do nothing."""


class InMemoryNetwork:
    """A reactor in memory, with a clock that the test advances."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
        monkeypatch.setattr(clock, "now", lambda: 1e9 + self.reactor.seconds())
        self.deadlines = clock.Deadlines(self.reactor)

    def complete_dial(self, number: int, unread: bytes = b"") -> Any:
        """Let the dial with that number succeed, and return its protocol, which finds the `unread` bytes."""
        *_, factory, _, _ = self.reactor.tcpClients[number]
        return self.connect_protocol(factory.buildProtocol(None), unread)

    def connect_protocol(self, protocol: Any, unread: bytes = b"") -> Any:
        """Connect a protocol in memory and return it; `unread` bytes wait at its socket."""
        transport: Any = StringTransport()  # type: ignore[no-untyped-call]
        transport.handle = FakeSocket(transport)
        transport.handle.unread = unread
        transport.getHandle = lambda: transport.handle
        transport.setTcpNoDelay = lambda on: setattr(transport.handle, "no_delay", on)
        transport.registerProducer = lambda producer, streaming: None
        transport.unregisterProducer = lambda: None
        protocol.has_peer_closed = lambda: transport.handle.is_peer_closed
        protocol.count_received_bytes = lambda: len(transport.handle.unread)
        protocol.count_unacknowledged_bytes = lambda: transport.handle.unacknowledged_bytes
        protocol.makeConnection(transport)
        return protocol


@pytest.fixture
def network(monkeypatch: pytest.MonkeyPatch) -> InMemoryNetwork:
    """Return a network in memory whose clock is used by the code under test."""
    return InMemoryNetwork(monkeypatch)


class FakePort:
    """A listening port in memory that counts how often it was resumed and stopped."""

    def __init__(self) -> None:
        self.resumed_count = 0
        self.stopped_count = 0

    def getHost(self) -> IPv4Address:
        """Return an address."""
        return IPv4Address("TCP", "127.0.0.1", 1)

    def doRead(self) -> None:
        """Do nothing, because no connection waits to be accepted."""

    def startReading(self) -> None:
        """Count the call."""
        self.resumed_count += 1

    def stopListening(self) -> None:
        """Count the call."""
        self.stopped_count += 1


class RecordingObserver:
    """Receives the updates of a watch of the endpoint list, and passes them on."""

    def __init__(self, on_change: Callable[[EndpointUpdate], None]) -> None:
        self.on_endpoints_changed = on_change
        self.ready_count = 0

    def on_endpoints_ready(self) -> None:
        """Count the call."""
        self.ready_count += 1


DISCOVERY_PORT = 8  # the port at which a limiter in memory expects discovery
COUNTER_PORT = 9  # the port at which a limiter in memory expects the counter


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


def make_limiter(network: InMemoryNetwork, sockets: int) -> Limiter:
    """Return a limiter in memory that may use `sockets` descriptors."""
    return Limiter(make_configuration(limits={"sockets": sockets, "memory_mb": 64}), network.reactor)


def make_limiter_with_client(network: InMemoryNetwork) -> tuple[Limiter, Any]:
    """Return a limiter with one backend and a client's connection, whose `aborted` shows whether it was aborted."""
    limiter = make_limiter(network, 256)
    limiter.on_endpoints_changed(make_backend_update("active", reset=True))
    client = network.connect_protocol(limiter.frontend.buildProtocol(None))
    client.aborted = False

    def abort() -> None:
        client.aborted = True

    client.transport.abortConnection = abort
    return limiter, client


class InMemoryBackends:
    """The connections that a limiter opens to its backends in memory; all dials succeed."""

    def __init__(self, network: InMemoryNetwork) -> None:
        self._network = network
        self._connections: list[Any] = []

    def complete_dials(self) -> None:
        """Let all dials that have begun succeed."""
        while len(self._connections) < len(self._network.reactor.tcpClients):
            self._connections.append(self._network.complete_dial(len(self._connections)))

    def find(self, number: int) -> Any:
        """Return the connection over which the request with that number was sent last."""
        self.complete_dials()
        for connection in reversed(self._connections):
            if self.get_last_request(connection) == number:
                return connection
        message = f"no backend got request {number}"
        raise AssertionError(message)

    @staticmethod
    def get_last_request(connection: Any) -> int:
        """Return the number of the request that was last sent over a connection, or -1."""
        commands, _ = resp.Parser().feed(connection.transport.value())
        return int(commands[-1][2], 16) if commands and isinstance(commands[-1], list) else -1  # type: ignore[arg-type]


def parse_command(text: bytes) -> list[bytes]:
    """Return the arguments of one encoded command."""
    (found,), _ = resp.Parser().feed(text)
    assert isinstance(found, list)
    return [argument for argument in found if isinstance(argument, bytes)]


def make_attempt_spec() -> AttemptSpec:
    """Return an attempt at backend 1 whose deadline is in three seconds."""
    call, _ = CallReader(parse_platform_settings(SETTINGS)).read(parse_command(request(1)))
    return AttemptSpec(1, call, clock.now() + 3.0)


def make_served_reply(value: bytes) -> bytes:
    """Return a backend's encoded reply without figures."""
    return b"*3\r\n" + resp.bulk(value) + b"$-1\r\n$-1\r\n"


def make_backend_connections(network: InMemoryNetwork) -> tuple[BackendConnections, list[AttemptResult]]:
    """Return the connections to one active backend, and an empty list for the results of attempts."""
    connections = BackendConnections(network.reactor, network.deadlines, Limits(), 10, lambda: None)
    connections.apply_update(make_backend_update("active", reset=True))
    return connections, []


def make_backend_update(lifecycle: str, reset: bool = False) -> EndpointUpdate:
    """Return an endpoint list of one backend with a lifecycle state; `reset` makes it a complete list."""
    entry = {"instanceId": "s-00000001", "hostPort": "127.0.0.1:9", "lifecycle": lifecycle}
    return parse_endpoint_update({"generation": 1, "reset": reset, "instances": [entry]})
