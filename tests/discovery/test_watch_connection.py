"""The connections of the watch: a new one after missing heartbeats, and one for the complete list."""

from __future__ import annotations

from tests.network_support import (
    InMemoryNetwork,
    RecordingObserver,
    network,
)
from thymeflow.decision.types import EndpointListKind
from thymeflow.discovery.watch import EndpointWatcher
from thymeflow.platform.endpoints import Address, EndpointUpdate
from thymeflow.runtime import clock

__all__ = ["network"]


def test_watch_is_dialed_again_when_it_is_idle_and_a_complete_list_can_be_requested(network: InMemoryNetwork) -> None:
    updates: list[EndpointUpdate] = []
    observer = RecordingObserver(updates.append)
    watch = EndpointWatcher(network.reactor, network.deadlines, Address("127.0.0.1", 9), 41, observer, 3, 1)
    watch.start(clock.now() + 1.0)
    stream = network.complete_dial(0)
    stream.transport.abortConnection = lambda: None
    stream.dataReceived(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
    for _ in range(5):  # Empty lines keep the watch open.
        network.reactor.pump([0.5] * 4)
        stream.dataReceived(b"1\r\n\n\r\n")
    assert len(network.reactor.tcpClients) == 1
    network.reactor.pump([0.1] * 49)  # Two heartbeats are missing.
    assert len(network.reactor.tcpClients) == 2
    watch.fetch_complete_list()
    complete_list = network.complete_dial(2)
    assert complete_list.transport.value().startswith(b"GET /api/targets HTTP/1.1\r\n")
    complete_list.transport.abortConnection = lambda: None
    text = b'{"generation":50,"reset":true,"instances":[]}'
    complete_list.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
    assert [(update.change.kind, update.change.version) for update in updates] == [(EndpointListKind.FULL, 50)]
