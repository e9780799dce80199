"""How the assembly connects the counter and discovery: each test fails if one connection is missing."""

from __future__ import annotations

import json
from math import inf

import pytest

from tests.discovery.support import build_chunk, build_entry, build_message
from tests.limiter import request
from tests.network_support import (
    COUNTER_PORT,
    DISCOVERY_PORT,
    FakePort,
    InMemoryNetwork,
    make_configuration,
    network,
)
from tests.wiring_support import (
    ScriptedGateway,
    build_limiter,
    changed_settings,
    connect_client,
    dials_to,
    log_lines,
    receive_first_list,
    wait_of_next_watch,
)
from thymeflow.decision import actions, events
from thymeflow.discovery.timeouts import FIRST_LIST_TIMEOUT
from thymeflow.frontend.listener import bind_listener
from thymeflow.limiter.assembly import Limiter
from thymeflow.limiter.management import BACKLOG
from thymeflow.limiter.phases import Phase

POLLED = "on_request"  # the platform's value for polled endpoint lists
__all__ = ["log_lines", "network"]


# --- the counter and discovery -----------------------------------------------------------------------------


def test_counter_and_discovery_are_connected_once_when_the_limiter_connects(network: InMemoryNetwork) -> None:
    limiter = build_limiter(network, known={"generation": 41, "reset": True, "instances": []})
    assert not network.reactor.tcpClients
    limiter.connect(inf)
    counter_dials = dials_to(network, COUNTER_PORT)
    limiter.connect(inf)
    assert len(counter_dials) == 3
    assert dials_to(network, COUNTER_PORT) == counter_dials
    (dial,) = dials_to(network, DISCOVERY_PORT)
    assert b"GET /api/targets?stream=1&index=41 " in network.complete_dial(dial).transport.value()


def test_demand_is_sent_to_the_counter_when_the_gateway_adds_to_it(network: InMemoryNetwork) -> None:
    limiter = build_limiter(network, ScriptedGateway())
    limiter.connect(inf)
    connections = [network.complete_dial(number) for number in dials_to(network, COUNTER_PORT)]
    limiter.gateway.decided = [actions.AddToCounter(5, 1.0, 20.0)]  # type: ignore[attr-defined]
    limiter.dispatcher.handle(events.TimerFired(1))
    assert b"INCRTTL" in b"".join(connection.transport.value() for connection in connections)


def test_complete_list_is_requested_when_the_gateway_fetches_endpoints(network: InMemoryNetwork) -> None:
    limiter = build_limiter(network, ScriptedGateway())
    limiter.gateway.decided = [actions.FetchEndpoints()]  # type: ignore[attr-defined]
    limiter.dispatcher.handle(events.TimerFired(1))
    (dial,) = dials_to(network, DISCOVERY_PORT)
    assert network.complete_dial(dial).transport.value().startswith(b"GET /api/targets HTTP/1.1")


def test_watch_waits_differ_when_limiters_have_other_seeds(network: InMemoryNetwork) -> None:
    waits = [
        wait_of_next_watch(network, build_limiter(network, seed=seed, discovery=f"127.0.0.1:{port}"))
        for seed, port in (("7", 101), ("8", 102), ("7", 103))
    ]
    assert abs(waits[0] - waits[1]) > 0.01
    assert waits[0] == pytest.approx(waits[2], abs=0.002)


@pytest.mark.parametrize(("mode", "is_dialed_again"), [("pushed", True), (POLLED, False)])
def test_idle_watch_is_dialed_again_sooner_when_lists_are_pushed(
    network: InMemoryNetwork, mode: str, is_dialed_again: bool
) -> None:
    limiter = build_limiter(network, settings=changed_settings(discovery=mode))
    limiter.connect(inf)
    receive_first_list(network)
    network.reactor.pump([0.1] * 50)  # longer than the idle timeout of pushed lists, shorter than that of polled ones
    assert (len(dials_to(network, DISCOVERY_PORT)) > 1) == is_dialed_again


def test_waiting_endpoint_update_is_applied_before_a_request_is_sent_when_the_process_was_stalled(
    network: InMemoryNetwork,
) -> None:
    limiter = build_limiter(network)
    limiter.connect(inf)
    stream = receive_first_list(network)
    client = connect_client(network, limiter)
    client.dataReceived(request(1))
    network.reactor.rightNow += 1.0  # a second without a turn of the reactor
    stream.transport.handle.unread = b"*"

    def receive_update() -> None:
        stream.transport.handle.unread = b""
        stream.dataReceived(build_chunk(build_message(2, build_entry(1, "leaving"))))

    stream.transport.doRead = receive_update
    backend = network.complete_dial(len(network.reactor.tcpClients) - 1)
    assert backend.transport.value() == b""
    assert backend.closed


def test_requests_go_to_known_backends_when_discovery_has_sent_nothing(network: InMemoryNetwork) -> None:
    limiter = Limiter(make_configuration(known=json.loads(build_message(3, build_entry(1)))), network.reactor)
    connect_client(network, limiter).dataReceived(request(1))
    assert len(dials_to(network, 7001)) == 1


def test_limiter_listens_with_the_known_list_when_discovery_sends_nothing(network: InMemoryNetwork) -> None:
    limiter = build_limiter(network, mgmt="127.0.0.1:77")
    ports: list[FakePort] = []

    def adopt(_descriptor: int, _family: int, _factory: object) -> FakePort:
        ports.append(FakePort())
        return ports[-1]

    network.reactor.adoptStreamPort = adopt
    limiter.start()
    ((operators_port, _, backlog, interface),) = network.reactor.tcpServers
    assert (operators_port, backlog, interface) == (77, BACKLOG, "127.0.0.1")
    network.reactor.pump([0.05] * round(FIRST_LIST_TIMEOUT / 0.05 - 1))
    assert not ports
    network.reactor.pump([0.05] * 2)
    assert len(ports) == 1


def test_listener_is_opened_when_discovery_has_sent_its_first_message(network: InMemoryNetwork) -> None:
    limiter = build_limiter(network)
    ports: list[FakePort] = []
    notified: list[bool] = []

    def adopt(_descriptor: int, _family: int, _factory: object) -> FakePort:
        ports.append(FakePort())
        return ports[-1]

    network.reactor.adoptStreamPort = adopt
    limiter.on_endpoints_available = lambda: notified.append(True)
    listener = bind_listener("127.0.0.1", 0)
    limiter.listen(listener)
    limiter.connect(inf)
    assert not ports
    assert not notified
    assert limiter.lifecycle.phase is Phase.STARTING
    receive_first_list(network)
    phase: Phase = limiter.lifecycle.phase
    assert len(ports) == 1
    assert notified == [True]
    assert phase is Phase.SERVING
    assert listener.fileno() == -1  # The port has its own copy of the socket.


def test_endpoint_updates_are_passed_on_when_discovery_sends_them(network: InMemoryNetwork) -> None:
    limiter = build_limiter(network)
    versions: list[int] = []
    limiter.on_endpoints_applied = lambda update: versions.append(update.change.version)
    limiter.connect(inf)
    receive_first_list(network).dataReceived(build_chunk(build_message(7, build_entry(2))))
    assert versions == [7]


def test_stall_of_the_process_is_logged_when_a_deadline_fires_late(
    network: InMemoryNetwork, log_lines: list[str]
) -> None:
    build_limiter(network)
    network.reactor.advance(0.5)
    assert any(line.startswith("stall: the event loop was blocked for 0.4") for line in log_lines)
