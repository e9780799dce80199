"""Connections that come up late, are evicted, or fill the descriptors."""

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
from thymeflow.frontend.timeouts import CROWDED_IDLE_TIMEOUT
from thymeflow.limiter.management import ManagementServer
from thymeflow.runtime import clock

GOOD = make_served_reply(b"value")


ERROR = b"-ERR failed\r\n"  # of a class that is safe to repeat: another pass follows while somebody waits


__all__ = ["network"]


def test_small_writes_are_sent_at_once_on_every_connection(network: InMemoryNetwork) -> None:
    limiter, client = make_limiter_with_client(network)
    limiter.connect(clock.now() + 1.0)  # discovery and the counter
    client.dataReceived(request(1))  # a server
    callers = ManagementServer(network.deadlines, lambda word: (True, ""))
    made = [
        client,
        network.connect_protocol(callers.buildProtocol(None)),
        *(network.complete_dial(number) for number in range(len(network.reactor.tcpClients))),
    ]
    assert len(made) == 2 + 1 + 3 + 1
    assert all(one.transport.handle.no_delay for one in made)


def test_connection_with_unread_bytes_is_not_evicted_when_all_are_in_use(network: InMemoryNetwork) -> None:
    front = make_limiter(network, 64).frontend
    clients = [network.connect_protocol(front.buildProtocol(None)) for _ in range(front._max_clients)]
    for client in clients:
        client.dataReceived(command(b"PING"))
    network.reactor.advance(CROWDED_IDLE_TIMEOUT + 0.05)
    for client in clients[1:]:
        client.transport.handle.unread = b"*"
    network.connect_protocol(front.buildProtocol(None))
    assert [client.transport.disconnected for client in clients].count(True) == 1
    assert clients[0].transport.disconnected
    assert front.buildProtocol(None) is None


@pytest.mark.parametrize("why", ["left", "late", "past the window"])
def test_waiting_attempt_is_written_only_when_it_is_still_valid(network: InMemoryNetwork, why: str) -> None:
    made, ends = make_backend_connections(network)
    there = [True]
    void = make_attempt_spec()._replace(
        is_connected=lambda: there[0], start_deadline=clock.now() + 0.3 if why == "past the window" else inf
    )
    made.start_attempt(void).addCallback(ends.append)
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    if why == "late":
        late_attempt = made._attempts.items()[0]
        late_attempt.spec = late_attempt.spec._replace(deadline=clock.now() + 0.2)  # its timer has not had its turn
    there[0] = why != "left"
    network.reactor.rightNow += 0.4
    server = network.complete_dial(0)
    server.dataReceived(make_served_reply(b"v"))
    assert [end.status for end in ends] == [Status.MOOT, Status.OK]
    assert not server.closed


def test_waiting_attempt_ends_when_its_connection_ends_as_it_comes_up(network: InMemoryNetwork) -> None:
    made, ends = make_backend_connections(network)
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    network.complete_dial(0, unread=b"-BUSY\r\n")  # no room there: it says so at once, or closes
    assert [end.status for end in ends] == [Status.CONNECT_FAILED]
    assert made.open_connections == 1
    network.complete_dial(1).dataReceived(make_served_reply(b"v"))
    assert [end.status for end in ends] == [Status.CONNECT_FAILED, Status.OK]


def test_keyed_retry_begins_only_within_its_idempotency_window() -> None:
    gateway = helpers.started()
    (first,) = helpers.sends(gateway.handle(0.0, helpers.request("k", class_name="book")))
    assert first.start_within == inf
    (again,) = helpers.sends(gateway.handle(0.1, helpers.ended("k", first, Status.ERROR)))
    assert 0.25 < again.start_within < helpers.KEYED.idempotency_window - 0.1


@pytest.mark.parametrize("pieces", [1, 3])
def test_time_of_a_first_request_starts_with_its_last_byte(network: InMemoryNetwork, pieces: int) -> None:
    _, client = make_limiter_with_client(network)
    text = request(1, wait=500)
    for piece in range(pieces):
        network.reactor.pump([0.1] * 6)  # it rests, or writes slowly: no stall of ours
        client.dataReceived(text[piece * 30 :] if piece == pieces - 1 else text[piece * 30 : piece * 30 + 30])
    server = network.complete_dial(len(network.reactor.tcpClients) - 1)
    terms = parse_command(server.transport.value())[3]
    assert b",d=49" in terms or b",d=500" in terms
    server.dataReceived(GOOD)
    assert client.transport.value() == b"$5\r\nvalue\r\n"


@pytest.mark.parametrize(
    ("changed", "why"),
    [
        ({"name": "n7"}, "name"),
        ({"settings": {**SETTINGS, "tiers-of-service": [{"name": "guest"}]}}, "another customer"),
    ],
)
def test_nothing_changes_when_the_configuration_is_another_limiters(
    tmp_path: Path, changed: dict[str, Any], why: str
) -> None:
    with Limiter(tmp_path) as limiter:
        settings = changed.get("settings", SETTINGS)
        plans = [{**plan, "refill": 5.0, "most-at-once": 5.0} for plan in settings["tiers-of-service"]]
        limiter.path.write_text(
            json.dumps({**limiter.config, **changed, "settings": {**settings, "tiers-of-service": plans}})
        )
        limiter.process.send_signal(signal.SIGHUP)
        line = limiter.log("reload:")
        assert "the old settings stay" in line
        assert why in line
        limiter.serve_request(limiter.connect(), 1)


def test_descriptors_of_discovery_and_backends_stay_free_when_idle_clients_fill_theirs(tmp_path: Path) -> None:
    with Limiter(tmp_path, sockets=64) as limiter:
        watch, _ = limiter.watch()
        resource.prlimit(limiter.process.pid, resource.RLIMIT_NOFILE, (64, 64))  # a descriptor more is an error
        crowd = [limiter.connect() for _ in range(100)]
        watch.close()
        again, request_line = limiter.watch()
        assert b"index=41 " in request_line
        limiter.send_endpoint_change(again, 42, limiter.entry(0))
        served = False
        number = 0
        while not served:  # one that comes while all places are new may be closed unread
            client = limiter.connect()
            number = number + 1
            assert number < 1000
            with contextlib.suppress(OSError):
                client.send(request(number))
            ready = select.select([client.sock, limiter.backends[0].sock], [], [], PATIENCE)[0]
            if limiter.backends[0].sock in ready:
                limiter.backends[0].serve(GOOD)
                served = client.read_bulk() == b"value"
        assert len(crowd) == 100
