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
    world,
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
from thymeflow.limiter.management import MAX_CALLERS
from thymeflow.limiter.phases import Phase

POLLED = "on_request"  # the platform's value for polled endpoint lists
__all__ = ["log_lines", "world"]


# --- the counter and discovery -----------------------------------------------------------------------------


def test_counter_and_discovery_are_connected_once_when_the_limiter_connects(world: InMemoryNetwork) -> None:
    limiter = build_limiter(world, known={"generation": 41, "reset": True, "instances": []})
    assert not world.reactor.tcpClients
    limiter.connect(inf)
    counter_dials = dials_to(world, COUNTER_PORT)
    limiter.connect(inf)
    assert len(counter_dials) == 3
    assert dials_to(world, COUNTER_PORT) == counter_dials
    (dial,) = dials_to(world, DISCOVERY_PORT)
    assert b"GET /api/targets?stream=1&index=41 " in world.up(dial).transport.value()


def test_demand_is_sent_to_the_counter_when_the_gateway_adds_to_it(world: InMemoryNetwork) -> None:
    limiter = build_limiter(world, ScriptedGateway())
    limiter.connect(inf)
    connections = [world.up(number) for number in dials_to(world, COUNTER_PORT)]
    limiter.gateway.decided = [actions.AddToCounter(5, 1.0, 20.0)]  # type: ignore[attr-defined]
    limiter.dispatcher.handle(events.TimerFired(1))
    assert b"INCRTTL" in b"".join(connection.transport.value() for connection in connections)


def test_complete_list_is_requested_when_the_gateway_fetches_endpoints(world: InMemoryNetwork) -> None:
    limiter = build_limiter(world, ScriptedGateway())
    limiter.gateway.decided = [actions.FetchEndpoints()]  # type: ignore[attr-defined]
    limiter.dispatcher.handle(events.TimerFired(1))
    (dial,) = dials_to(world, DISCOVERY_PORT)
    assert world.up(dial).transport.value().startswith(b"GET /api/targets HTTP/1.1")


def test_watch_waits_differ_when_limiters_have_other_seeds(world: InMemoryNetwork) -> None:
    waits = [
        wait_of_next_watch(world, build_limiter(world, seed=seed, discovery=f"127.0.0.1:{port}"))
        for seed, port in (("7", 101), ("8", 102), ("7", 103))
    ]
    assert abs(waits[0] - waits[1]) > 0.01
    assert waits[0] == pytest.approx(waits[2], abs=0.002)


@pytest.mark.parametrize(("mode", "is_dialed_again"), [("pushed", True), (POLLED, False)])
def test_idle_watch_is_dialed_again_sooner_when_lists_are_pushed(
    world: InMemoryNetwork, mode: str, is_dialed_again: bool
) -> None:
    limiter = build_limiter(world, settings=changed_settings(discovery=mode))
    limiter.connect(inf)
    receive_first_list(world)
    world.reactor.pump([0.1] * 50)  # longer than the idle timeout of pushed lists, shorter than that of polled ones
    assert (len(dials_to(world, DISCOVERY_PORT)) > 1) == is_dialed_again


def test_waiting_endpoint_update_is_applied_before_a_request_is_sent_when_the_process_was_stalled(
    world: InMemoryNetwork,
) -> None:
    limiter = build_limiter(world)
    limiter.connect(inf)
    stream = receive_first_list(world)
    client = connect_client(world, limiter)
    client.dataReceived(request(1))
    world.reactor.rightNow += 1.0  # a second without a turn of the reactor
    stream.transport.handle.unread = b"*"

    def receive_update() -> None:
        stream.transport.handle.unread = b""
        stream.dataReceived(build_chunk(build_message(2, build_entry(1, "leaving"))))

    stream.transport.doRead = receive_update
    backend = world.up(len(world.reactor.tcpClients) - 1)
    assert backend.transport.value() == b""
    assert backend.closed


def test_requests_go_to_known_backends_when_discovery_has_sent_nothing(world: InMemoryNetwork) -> None:
    limiter = Limiter(make_configuration(known=json.loads(build_message(3, build_entry(1)))), world.reactor)
    connect_client(world, limiter).dataReceived(request(1))
    assert len(dials_to(world, 7001)) == 1


def test_limiter_listens_with_the_known_list_when_discovery_sends_nothing(world: InMemoryNetwork) -> None:
    limiter = build_limiter(world, mgmt="127.0.0.1:77")
    ports: list[FakePort] = []

    def adopt(_descriptor: int, _family: int, _factory: object) -> FakePort:
        ports.append(FakePort())
        return ports[-1]

    world.reactor.adoptStreamPort = adopt
    limiter.start()
    ((operators_port, _, backlog, interface),) = world.reactor.tcpServers
    assert (operators_port, backlog, interface) == (77, MAX_CALLERS, "127.0.0.1")
    world.reactor.pump([0.05] * round(FIRST_LIST_TIMEOUT / 0.05 - 1))
    assert not ports
    world.reactor.pump([0.05] * 2)
    assert len(ports) == 1


def test_listener_is_opened_when_discovery_has_sent_its_first_message(world: InMemoryNetwork) -> None:
    limiter = build_limiter(world)
    ports: list[FakePort] = []
    notified: list[bool] = []

    def adopt(_descriptor: int, _family: int, _factory: object) -> FakePort:
        ports.append(FakePort())
        return ports[-1]

    world.reactor.adoptStreamPort = adopt
    limiter.on_endpoints_available = lambda: notified.append(True)
    listener = bind_listener("127.0.0.1", 0)
    limiter.listen(listener)
    limiter.connect(inf)
    assert not ports
    assert not notified
    assert limiter.lifecycle.phase is Phase.STARTING
    receive_first_list(world)
    phase: Phase = limiter.lifecycle.phase
    assert len(ports) == 1
    assert notified == [True]
    assert phase is Phase.SERVING
    assert listener.fileno() == -1  # The port has its own copy of the socket.


def test_endpoint_updates_are_passed_on_when_discovery_sends_them(world: InMemoryNetwork) -> None:
    limiter = build_limiter(world)
    versions: list[int] = []
    limiter.on_endpoints_applied = lambda update: versions.append(update.change.version)
    limiter.connect(inf)
    receive_first_list(world).dataReceived(build_chunk(build_message(7, build_entry(2))))
    assert versions == [7]


def test_stall_of_the_process_is_logged_when_a_deadline_fires_late(
    world: InMemoryNetwork, log_lines: list[str]
) -> None:
    build_limiter(world)
    world.reactor.advance(0.5)
    assert any(line.startswith("stall: the event loop was blocked for 0.4") for line in log_lines)
