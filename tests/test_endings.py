"""Paths that end something which still owes something: user agents that leave, closes that cross, queues at a drain.

Each test forces its crossing: a process that is stopped finds both sides of it in one turn. docs/design/endings.md
lists the paths.
"""

from __future__ import annotations

import contextlib
import json
import resource
import select
import signal
import socket
import struct
from collections.abc import Callable
from math import inf
from pathlib import Path
from typing import Any

import pytest

from tests import helpers
from tests.limiter import PATIENCE, SETTINGS, Limiter, Peer, command, refused, request
from tests.test_net_parts import World, change, good, limiter_of, order, upstream, words, world
from thymeflow.decision.types import Status
from thymeflow.frontend.client_connection import CROWDED_IDLE_TIMEOUT, LINGER_TIMEOUT
from thymeflow.frontend.frontend import IDLE_TIMEOUT
from thymeflow.limiter.lifecycle import MAX_AWAITED_DEADLINE, TERMINATION_LINGER, Lifecycle
from thymeflow.limiter.management import Management
from thymeflow.limiter.phases import Phase
from thymeflow.runtime import clock

GOOD = good(b"value")
ERROR = b"-ERR failed\r\n"  # of a class that is safe to repeat: another pass follows while somebody waits
__all__ = ["world"]


def stopped(limiter: Limiter, happens: Callable[[], None]) -> None:
    """What happens while the process does not run: it finds all of it in one turn."""
    limiter.process.send_signal(signal.SIGSTOP)
    happens()
    limiter.process.send_signal(signal.SIGCONT)


def test_a_request_whose_sender_has_left_by_the_time_it_is_read_is_not_sent_on(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        agent, other = limiter.connect(), limiter.connect()
        server = limiter.served(other, 1)  # a warm connection, to which it could be written at once
        limiter.served(agent, 2, server)

        def leaves() -> None:
            agent.send(request(3))
            agent.close()

        stopped(limiter, leaves)
        limiter.until(b"+PONG", command(b"PING"))
        limiter.served(other, 4, server)  # what comes next at the server is this one


@pytest.mark.parametrize("reset", [False, True])
def test_no_further_pass_begins_for_one_that_left_in_the_same_turn(tmp_path: Path, reset: bool) -> None:
    with Limiter(tmp_path, servers=2) as limiter:
        agent = limiter.connect()
        agent.send(request(1))
        number = 1 if limiter.servers[0].quiet(0.5) else 0
        server = limiter.servers[number].accept()
        server.words()

        if reset:
            agent.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

        def leaves() -> None:
            server.send(ERROR)
            agent.close()

        stopped(limiter, leaves)
        limiter.until(b"+PONG", command(b"PING"))
        assert limiter.servers[1 - number].quiet(0.0) and limiter.servers[number].quiet(0.0)


def test_a_pass_is_not_written_to_a_connection_that_came_up_as_its_sender_left(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        agent, other, listener = limiter.connect(), limiter.connect(), limiter.servers[0].sock
        listener.listen(0)
        filling = [socket.socket() for _ in range(2)]  # its queue is full: nobody else comes up
        for sock in filling:
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        agent.send(request(1))
        limiter.until(b"+PONG", command(b"PING"))  # so that request was read, and its connection begun
        server: list[Peer] = []

        def comes_up_and_leaves() -> None:
            ports = {sock.getsockname()[1] for sock in filling}
            listener.listen(100)  # room for all that knock again
            while not server:  # the kernel tries again, about once a second
                peer = limiter.servers[0].accept()
                if peer.sock.getpeername()[1] in ports:
                    peer.close()
                else:
                    server.append(peer)
            agent.close()

        stopped(limiter, comes_up_and_leaves)
        limiter.served(other, 2, server[0])  # nothing was written before it
        for sock in filling:
            sock.close()


def test_one_that_leaves_during_the_drain_is_seen_though_nothing_is_read_from_it(tmp_path: Path) -> None:
    with Limiter(tmp_path, servers=2) as limiter:
        agent = limiter.connect()
        agent.send(request(1, wait=60000))  # its deadline comes after the test's patience
        number = 1 if limiter.servers[0].quiet(0.5) else 0
        server = limiter.servers[number].accept()
        server.words()
        limiter.terminate()
        while not refused(limiter):
            pass
        agent.send(request(2))  # unread, and so is the end behind it
        agent.close()
        assert server.ended()  # nobody waits for it any more
        assert limiter.process.wait(PATIENCE) == 0
        assert limiter.servers[0].quiet(0.0) and limiter.servers[1].quiet(0.0)


def test_a_request_that_crosses_the_close_of_a_drain_takes_no_answer_with_it(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        agent = limiter.connect()
        agent.send(request(1))
        server = limiter.servers[0].accept()
        server.words()
        limiter.terminate()
        while not refused(limiter):
            pass
        agent.send(request(2))  # behind the first, and never read before the close
        server.send(GOOD)
        assert agent.bulk() == b"value"
        assert agent.file.read(1) == b""  # an end, and no reset behind it
        reset = select.poll()
        reset.register(agent.sock, 0)
        assert not reset.poll(200)
        agent.send(request(3))  # its own end stays open for a moment
        assert server.ended() and limiter.servers[0].quiet(0.0)
        agent.close()
        assert limiter.process.wait(PATIENCE) == 0


def test_a_command_in_pieces_that_began_before_the_drain_is_served_whole(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        agent, text = limiter.connect(), request(2)
        limiter.served(agent, 1)
        agent.send(request(2)[:20])
        limiter.until(b"+PONG", command(b"PING"))
        limiter.terminate()
        while not refused(limiter):
            pass
        for place in range(20, len(text)):
            agent.send(text[place : place + 1])
        limiter.servers[0].serve(GOOD)
        assert agent.bulk() == b"value" and agent.file.read(1) == b""
        agent.close()
        assert limiter.process.wait(PATIENCE) == 0


def agent_of(world: World) -> tuple[Any, Any]:
    """A limiter in memory with one server, and a user agent of it; the agent notes whether it was aborted."""
    limiter = limiter_of(world, 256)
    limiter.on_endpoints_changed(change("active", reset=True))
    agent = world.connected(limiter.front.buildProtocol(None))
    agent.aborted = False

    def abort() -> None:
        agent.aborted = True

    agent.transport.abortConnection = abort
    return limiter, agent


def test_an_idle_connection_is_half_closed_and_what_comes_behind_that_is_never_sent_on(world: World) -> None:
    limiter, agent = agent_of(world)
    agent.dataReceived(request(1))
    world.up(len(world.reactor.tcpClients) - 1).dataReceived(GOOD)
    assert limiter.core.open_count() == 0
    world.reactor.pump([0.1] * int(IDLE_TIMEOUT / 0.1 + 2))
    assert agent.transport.handle.half_closed and not agent.aborted
    agent.dataReceived(request(2))
    assert limiter.core.open_count() == 0
    world.reactor.pump([0.1] * int(LINGER_TIMEOUT / 0.1 + 2))
    assert agent.aborted


@pytest.mark.parametrize("way", ["many commands", "answers not taken", "told to end"])
def test_one_that_leaves_while_it_is_not_read_from_is_let_go_and_its_passes_with_it(world: World, way: str) -> None:
    limiter, agent = agent_of(world)
    if way == "many commands":
        agent.dataReceived(b"".join(request(n) for n in range(1, 70)))
    elif way == "answers not taken":
        agent.transport.handle.most = 0
        agent.dataReceived(command(b"PING") + request(1))
    else:
        agent.dataReceived(request(1))
        agent.finish()
    assert not agent._is_reading and not agent.aborted
    world.reactor.advance(0.11)
    assert not agent.aborted
    agent.transport.handle.departed = True
    world.reactor.advance(0.11)
    assert agent.aborted
    agent.connectionLost()
    assert limiter.core.open_count() == 0


def test_no_connection_holds_small_writes_back(world: World) -> None:
    limiter, agent = agent_of(world)
    limiter.connect(clock.now() + 1.0)  # discovery and the counter
    agent.dataReceived(request(1))  # a server
    callers = Management(world.deadlines, lambda word: (True, ""))
    made = [
        agent,
        world.connected(callers.buildProtocol(None)),
        *(world.up(number) for number in range(len(world.reactor.tcpClients))),
    ]
    assert len(made) == 2 + 1 + 3 + 1 and all(one.transport.handle.no_delay for one in made)


def test_a_full_table_drops_no_connection_on_which_bytes_wait(world: World) -> None:
    front = limiter_of(world, 64).front
    agents = [world.connected(front.buildProtocol(None)) for _ in range(front._max_clients)]
    for agent in agents:
        agent.dataReceived(command(b"PING"))
    world.reactor.advance(CROWDED_IDLE_TIMEOUT + 0.05)
    for agent in agents[1:]:
        agent.transport.handle.unread = b"*"
    world.connected(front.buildProtocol(None))
    assert [agent.transport.disconnected for agent in agents].count(True) == 1 and agents[0].transport.disconnected
    assert front.buildProtocol(None) is None


def test_all_that_wait_in_the_queue_are_taken_before_the_socket_is_closed(world: World) -> None:
    limiter = limiter_of(world, 256)
    waiting, taken = list(range(7)), list[Any]()

    class Port:
        """Takes one connection in a turn, as a port does that had little to do."""

        def getHost(self) -> Any:
            return type("Host", (), {"host": "127.0.0.1", "port": 1})

        def doRead(self) -> None:
            if waiting:
                waiting.pop()
                taken.append(world.connected(limiter.front.buildProtocol(None)))

        def stopListening(self) -> None:
            assert not waiting and len(taken) == 7

    lifecycle = Lifecycle(world.deadlines, limiter.core, limiter.front, 1.0, lambda: None)
    lifecycle.phase, lifecycle.port = Phase.SERVING, Port()
    lifecycle.terminate(0.0)
    world.reactor.advance(0.01)
    assert len(taken) == 7 and not any(agent.transport.handle.half_closed for agent in taken)


@pytest.mark.parametrize("why", ["left", "late", "past the window"])
def test_a_pass_that_waited_for_its_connection_is_written_only_where_it_still_stands(world: World, why: str) -> None:
    made, ends = upstream(world)
    there = [True]
    void = order()._replace(
        is_connected=lambda: there[0], start_before=clock.now() + 0.3 if why == "past the window" else inf
    )
    made.start_attempt(void).addCallback(ends.append)
    made.start_attempt(order()).addCallback(ends.append)
    if why == "late":
        void_pass = made._attempts.items()[0]
        void_pass.order = void_pass.order._replace(deadline=clock.now() + 0.2)  # its timer has not had its turn
    there[0] = why != "left"
    world.reactor.rightNow += 0.4
    server = world.up(0)
    server.dataReceived(good(b"v"))
    assert [end.status for end in ends] == [Status.MOOT, Status.OK] and not server.closed


def test_a_connection_that_ends_as_it_comes_up_strands_no_pass(world: World) -> None:
    made, ends = upstream(world)
    made.start_attempt(order()).addCallback(ends.append)
    made.start_attempt(order()).addCallback(ends.append)
    world.up(0, unread=b"-BUSY\r\n")  # no room there: it says so at once, or closes
    assert [end.status for end in ends] == [Status.CONNECT_FAILED] and made.open_connections == 1
    world.up(1).dataReceived(good(b"v"))
    assert [end.status for end in ends] == [Status.CONNECT_FAILED, Status.OK]


def test_a_keyed_repeat_may_only_begin_while_its_window_lasts() -> None:
    gateway = helpers.started()
    (first,) = helpers.sends(gateway.handle(0.0, helpers.request("k", class_name="book")))
    assert first.start_within == inf
    (again,) = helpers.sends(gateway.handle(0.1, helpers.ended("k", first, Status.ERROR)))
    assert 0.25 < again.start_within < helpers.KEYED.idempotency_window - 0.1


def test_what_comes_while_it_is_told_to_end_is_answered_before_it_may_be_killed(world: World) -> None:
    limiter, agent = agent_of(world)
    lifecycle = Lifecycle(world.deadlines, limiter.core, limiter.front, 60.0, lambda: None)
    lifecycle.phase = Phase.SERVING
    lifecycle.terminate()
    told = clock.now()
    agent.dataReceived(request(1, wait=60000))
    server = world.up(len(world.reactor.tcpClients) - 1)
    assert server.transport.value()
    while not agent.transport.value().startswith(b"-BUSY"):  # the server says nothing
        world.reactor.advance(0.05)
    assert clock.now() - told < TERMINATION_LINGER + MAX_AWAITED_DEADLINE and server.closed


@pytest.mark.parametrize("pieces", [1, 3])
def test_the_first_request_of_a_connection_has_its_time_from_its_last_byte_on(world: World, pieces: int) -> None:
    _, agent = agent_of(world)
    text = request(1, wait=500)
    for piece in range(pieces):
        world.reactor.pump([0.1] * 6)  # it rests, or writes slowly: no stall of ours
        agent.dataReceived(text[piece * 30 :] if piece == pieces - 1 else text[piece * 30 : piece * 30 + 30])
    server = world.up(len(world.reactor.tcpClients) - 1)
    told = words(server.transport.value())[3]
    assert b",d=49" in told or b",d=500" in told
    server.dataReceived(GOOD)
    assert agent.transport.value() == b"$5\r\nvalue\r\n"


@pytest.mark.parametrize(
    ("changed", "why"),
    [
        ({"name": "n7"}, "name"),
        ({"settings": {**SETTINGS, "tiers-of-service": [{"name": "guest"}]}}, "another customer"),
    ],
)
def test_a_configuration_of_another_limiter_changes_nothing(tmp_path: Path, changed: dict[str, Any], why: str) -> None:
    with Limiter(tmp_path) as limiter:
        settings = changed.get("settings", SETTINGS)
        plans = [{**plan, "refill": 5.0, "most-at-once": 5.0} for plan in settings["tiers-of-service"]]
        limiter.path.write_text(
            json.dumps({**limiter.config, **changed, "settings": {**settings, "tiers-of-service": plans}})
        )
        limiter.process.send_signal(signal.SIGHUP)
        line = limiter.log("reload:")
        assert "the old settings stay" in line and why in line
        limiter.served(limiter.connect(), 1)


def test_idle_clients_that_fill_the_descriptors_leave_those_of_discovery_and_servers_free(tmp_path: Path) -> None:
    with Limiter(tmp_path, sockets=64) as limiter:
        watch, _ = limiter.watch()
        resource.prlimit(limiter.process.pid, resource.RLIMIT_NOFILE, (64, 64))  # a descriptor more is an error
        crowd = [limiter.connect() for _ in range(100)]
        watch.close()
        again, asked = limiter.watch()
        assert b"index=41 " in asked
        limiter.tell(again, 42, limiter.entry(0))
        served, number = False, 0
        while not served:  # one that comes while all places are new may be closed unread
            agent, number = limiter.connect(), number + 1
            assert number < 1000
            with contextlib.suppress(OSError):
                agent.send(request(number))
            ready = select.select([agent.sock, limiter.servers[0].sock], [], [], PATIENCE)[0]
            if limiter.servers[0].sock in ready:
                limiter.servers[0].serve(GOOD)
                served = agent.bulk() == b"value"
        assert len(crowd) == 100
