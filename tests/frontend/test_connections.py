"""Connections that are made late, evicted, or use all descriptors.

The tests guard against attempts that are sent too late, clients that are disconnected although their request waits, and
a limiter that has no descriptor left for discovery and backends.
"""

from __future__ import annotations

import contextlib
import json
import resource
import select
import signal
from math import inf
from pathlib import Path
from typing import Any

import pytest

from tests import helpers
from tests.limiter import PATIENCE, SETTINGS, Limiter, command, request
from tests.network_support import (
    InMemoryNetwork,
    make_attempt_spec,
    make_backend_connections,
    make_limiter,
    make_limiter_with_client,
    make_served_reply,
    network,
    parse_command,
)
from thymeflow.decision.types import Status
from thymeflow.frontend.frontend import Frontend
from thymeflow.frontend.timeouts import CROWDED_IDLE_TIMEOUT
from thymeflow.limiter.management import ManagementServer
from thymeflow.runtime import clock

SERVED = make_served_reply(b"value")


__all__ = ["network"]


def test_small_writes_are_sent_at_once_when_a_connection_is_made(network: InMemoryNetwork) -> None:
    limiter, client = make_limiter_with_client(network)
    limiter.connect(clock.now() + 1.0)  # opens connections to discovery and the counter
    client.dataReceived(request(1))  # opens a connection to a backend
    management = ManagementServer(network.deadlines, lambda word: (True, ""))
    connections = [
        client,
        network.connect_protocol(management.buildProtocol(None)),
        *(network.complete_dial(number) for number in range(len(network.reactor.tcpClients))),
    ]
    assert len(connections) == 2 + 1 + 3 + 1
    assert all(connection.transport.handle.no_delay for connection in connections)


def make_frontend_with_idle_clients(network: InMemoryNetwork) -> tuple[Frontend, list[Any]]:
    """Return a frontend of which all connections are in use by clients that have sent PING and are idle."""
    frontend = make_limiter(network, 64).frontend
    clients = [network.connect_protocol(frontend.buildProtocol(None)) for _ in range(frontend._max_clients)]
    for client in clients:
        client.dataReceived(command(b"PING"))
    network.reactor.advance(CROWDED_IDLE_TIMEOUT + 0.05)
    return frontend, clients


def test_connection_with_unread_bytes_is_not_evicted_when_all_are_in_use(network: InMemoryNetwork) -> None:
    frontend, clients = make_frontend_with_idle_clients(network)
    for client in clients[1:]:
        client.transport.handle.unread = b"*"
    network.connect_protocol(frontend.buildProtocol(None))
    assert [client.transport.disconnected for client in clients].count(True) == 1
    assert clients[0].transport.disconnected
    assert frontend.buildProtocol(None) is None


def test_connection_with_an_undelivered_response_is_not_evicted_when_all_are_in_use(network: InMemoryNetwork) -> None:
    # Guards against an eviction that cuts off a response which its client still reads.
    frontend, clients = make_frontend_with_idle_clients(network)
    for client in clients:
        client.transport.handle.unacknowledged_bytes = 1000
        client.finish()
    assert frontend.buildProtocol(None) is None
    clients[0].transport.handle.unacknowledged_bytes = 0
    network.connect_protocol(frontend.buildProtocol(None))
    assert [client.transport.disconnected for client in clients].count(True) == 1
    assert clients[0].transport.disconnected


@pytest.mark.parametrize("cause", ["left", "late", "past the window"])
def test_waiting_attempt_is_written_only_when_it_is_still_valid(network: InMemoryNetwork, cause: str) -> None:
    connections, results = make_backend_connections(network)
    is_client_connected = [True]
    invalid_spec = make_attempt_spec()._replace(
        is_connected=lambda: is_client_connected[0],
        start_deadline=clock.now() + 0.3 if cause == "past the window" else inf,
    )
    connections.start_attempt(invalid_spec).addCallback(results.append)
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    if cause == "late":
        late_attempt = connections._attempts.items()[0]
        late_attempt.spec = late_attempt.spec._replace(deadline=clock.now() + 0.2)  # its timer has not fired yet
    is_client_connected[0] = cause != "left"
    network.reactor.rightNow += 0.4
    backend = network.complete_dial(0)
    backend.dataReceived(make_served_reply(b"v"))
    assert [result.status for result in results] == [Status.MOOT, Status.OK]
    assert not backend.closed


def test_waiting_attempt_ends_when_its_connection_ends_as_soon_as_it_is_made(network: InMemoryNetwork) -> None:
    connections, results = make_backend_connections(network)
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    network.complete_dial(0, unread=b"-BUSY\r\n")  # the backend rejects the connection as soon as it is made
    assert [result.status for result in results] == [Status.CONNECT_FAILED]
    assert connections.open_connections == 1
    network.complete_dial(1).dataReceived(make_served_reply(b"v"))
    assert [result.status for result in results] == [Status.CONNECT_FAILED, Status.OK]


def test_keyed_retry_begins_only_when_its_idempotency_window_is_open() -> None:
    gateway = helpers.started()
    (first,) = helpers.sends(gateway.handle(0.0, helpers.request("k", class_name="book")))
    assert first.start_within == inf
    (retry,) = helpers.sends(gateway.handle(0.1, helpers.ended("k", first, Status.ERROR)))
    assert 0.25 < retry.start_within < helpers.KEYED.idempotency_window - 0.1


@pytest.mark.parametrize("pieces", [1, 3])
def test_time_of_a_first_request_starts_when_its_last_byte_arrives(network: InMemoryNetwork, pieces: int) -> None:
    _, client = make_limiter_with_client(network)
    text = request(1, wait=500)
    for piece in range(pieces):
        network.reactor.pump([0.1] * 6)  # the client pauses or writes slowly, and the limiter is not stalled
        client.dataReceived(text[piece * 30 :] if piece == pieces - 1 else text[piece * 30 : piece * 30 + 30])
    backend = network.complete_dial(len(network.reactor.tcpClients) - 1)
    terms = parse_command(backend.transport.value())[3]
    assert b",d=49" in terms or b",d=500" in terms
    backend.dataReceived(SERVED)
    assert client.transport.value() == b"$5\r\nvalue\r\n"


@pytest.mark.parametrize(
    ("changes", "expected_text"),
    [
        ({"name": "n7"}, "name"),
        ({"settings": {**SETTINGS, "tiers-of-service": [{"name": "guest"}]}}, "another customer"),
    ],
)
def test_nothing_changes_when_the_configuration_is_another_limiters(
    tmp_path: Path, changes: dict[str, Any], expected_text: str
) -> None:
    with Limiter(tmp_path) as limiter:
        settings = changes.get("settings", SETTINGS)
        plans = [{**plan, "refill": 5.0, "most-at-once": 5.0} for plan in settings["tiers-of-service"]]
        limiter.path.write_text(
            json.dumps({**limiter.config, **changes, "settings": {**settings, "tiers-of-service": plans}})
        )
        limiter.process.send_signal(signal.SIGHUP)
        line = limiter.log("reload:")
        assert "the old settings stay" in line
        assert expected_text in line
        limiter.serve_request(limiter.connect(), 1)


def test_descriptors_of_discovery_and_backends_stay_free_when_idle_clients_fill_theirs(tmp_path: Path) -> None:
    with Limiter(tmp_path, sockets=64) as limiter:
        watch, _ = limiter.watch()
        resource.prlimit(limiter.process.pid, resource.RLIMIT_NOFILE, (64, 64))  # opening another descriptor fails
        idle_clients = [limiter.connect() for _ in range(100)]
        watch.close()
        new_watch, request_line = limiter.watch()
        assert b"index=41 " in request_line
        limiter.send_endpoint_change(new_watch, 42, limiter.entry(0))
        is_served = False
        number = 0
        while not is_served:  # a connection may be closed unread while all others are new
            client = limiter.connect()
            number = number + 1
            assert number < 1000
            with contextlib.suppress(OSError):
                client.send(request(number))
            ready = select.select([client.sock, limiter.backends[0].sock], [], [], PATIENCE)[0]
            if limiter.backends[0].sock in ready:
                limiter.backends[0].serve(SERVED)
                is_served = client.read_bulk() == b"value"
        assert len(idle_clients) == 100


def test_backend_is_told_the_time_that_is_left_when_a_command_waited_behind_others(network: InMemoryNetwork) -> None:
    # Guards against a time that begins when a waiting command is executed, and not when it arrived.
    limiter, client = make_limiter_with_client(network)
    client.transport.handle.max_bytes = 0
    client.dataReceived(command(b"PING"))
    client.dataReceived(request(1, wait=3000))
    network.reactor.advance(1.0)
    assert not limiter.dispatcher.open_count()
    client.transport.handle.max_bytes = 1000
    client.resumeProducing()
    network.reactor.advance(0.0)
    assert b",d=2000," in network.complete_dial(-1).transport.value()


def test_commands_are_rejected_until_all_is_read_when_a_client_has_sent_too_many(network: InMemoryNetwork) -> None:
    # Guards against taking a short read for the last one while a close may wait behind unread bytes.
    limiter, client = make_limiter_with_client(network)
    client._pace.is_overrun = True
    client.transport.handle.unread = b"x"
    client.dataReceived(request(1))
    assert client.transport.value().startswith(b"-BUSY")
    assert not limiter.dispatcher.open_count()
    client.transport.handle.unread = b""
    client.dataReceived(request(2))
    assert limiter.dispatcher.open_count() == 1
