"""Builders for the tests of discovery: messages in discovery's format, and a watch with an in-memory reactor."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from tests.network_support import InMemoryNetwork, RecordingObserver
from tests.network_support import network as network
from thymeflow.discovery.timeouts import FIRST_LIST_TIMEOUT
from thymeflow.discovery.watch import EndpointWatcher
from thymeflow.platform.endpoints import Address, EndpointUpdate
from thymeflow.runtime import clock

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT = b"1\r\n\n\r\n"  # a chunk with an empty line
INITIAL_VERSION = 41  # version of the endpoint list with which the watch starts
ADDRESS = Address("127.0.0.1", 8)


def build_entry(number: int = 1, lifecycle: str = "active") -> dict[str, Any]:
    """Return the entry of a backend in discovery's format."""
    return {"instanceId": f"s-{number:08x}", "hostPort": f"127.0.0.1:{7000 + number}", "lifecycle": lifecycle}


def build_message(
    generation: int, *entries: dict[str, Any], is_complete: bool = False, indent: int | None = None
) -> bytes:
    """Return a message with these entries; a complete one replaces the list."""
    message = {"generation": generation, "reset": is_complete, "instances": entries}
    return json.dumps(message, indent=indent).encode() + b"\n"


def build_chunk(data: bytes) -> bytes:
    """Return the data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def start_discovery(
    network: InMemoryNetwork, on_change: Callable[[EndpointUpdate], None], pushed: bool = True, limiters: int = 200
) -> EndpointWatcher:
    """Start a watch at `ADDRESS` from `INITIAL_VERSION`."""
    observer = RecordingObserver(on_change)
    discovery = EndpointWatcher(
        network.reactor, network.deadlines, ADDRESS, INITIAL_VERSION, observer, limiters, 1, pushed
    )
    discovery.start(clock.now() + FIRST_LIST_TIMEOUT)
    return discovery


def connect(network: InMemoryNetwork, number: int) -> Any:
    """Complete a connect and receive the response's head; return the stream, whose `ends` counts the closes."""
    stream = network.complete_dial(number)
    stream.ends = 0

    def on_abort() -> None:
        """Count a close."""
        stream.ends += 1

    stream.transport.abortConnection = on_abort
    stream.dataReceived(HEAD)
    return stream


def wait_for_connect(network: InMemoryNetwork, known_connects: int, max_seconds: float = 9.0) -> float:
    """Advance the clock until there is a connect after the known ones, at most `max_seconds`; return the seconds."""
    started_at = clock.now()
    while len(network.reactor.tcpClients) <= known_connects and clock.now() - started_at < max_seconds:
        network.reactor.advance(0.01)
    return clock.now() - started_at
