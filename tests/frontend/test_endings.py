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
from tests.network_support import (
    InMemoryNetwork,
    make_attempt_spec,
    make_backend_connections,
    make_limiter,
    one_backend_update,
    parse_command,
    served_reply,
    world,
)
from thymeflow.decision.types import Status
from thymeflow.frontend.timeouts import CROWDED_IDLE_TIMEOUT, IDLE_TIMEOUT, LINGER_TIMEOUT
from thymeflow.limiter.assembly import Limiter as AssembledLimiter
from thymeflow.limiter.lifecycle import MAX_AWAITED_DEADLINE, TERMINATION_LINGER
from thymeflow.limiter.management import ManagementServer
from thymeflow.limiter.phases import Phase
from thymeflow.runtime import clock

GOOD = served_reply(b"value")
ERROR = b"-ERR failed\r\n"  # of a class that is safe to repeat: another pass follows while somebody waits
__all__ = ["world"]


def stopped(limiter: Limiter, happens: Callable[[], None]) -> None:
    """What happens while the process does not run: it finds all of it in one turn."""
    limiter.process.send_signal(signal.SIGSTOP)
    happens()
    limiter.process.send_signal(signal.SIGCONT)


def test_a_request_whose_sender_has_left_by_the_time_it_is_read_is_not_sent_on(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        other = limiter.connect()
        server = limiter.served(other, 1)  # a warm connection, to which it could be written at once
        limiter.served(client, 2, server)

        def leaves() -> None:
            client.send(request(3))
            client.close()

        stopped(limiter, leaves)
        limiter.until(b"+PONG", command(b"PING"))
        limiter.served(other, 4, server)  # what comes next at the server is this one


@pytest.mark.parametrize("reset", [False, True])
def test_no_further_pass_begins_for_one_that_left_in_the_same_turn(tmp_path: Path, reset: bool) -> None:
    with Limiter(tmp_path, servers=2) as limiter:
        client = limiter.connect()
        client.send(request(1))
        number = 1 if limiter.servers[0].quiet(0.5) else 0
        server = limiter.servers[number].accept()
        server.words()

        if reset:
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

        def leaves() -> None:
            server.send(ERROR)
            client.close()

        stopped(limiter, leaves)
        limiter.until(b"+PONG", command(b"PING"))
        assert limiter.servers[1 - number].quiet(0.0) and limiter.servers[number].quiet(0.0)


def test_a_pass_is_not_written_to_a_connection_that_came_up_as_its_sender_left(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        other = limiter.connect()
        listener = limiter.servers[0].sock
        listener.listen(0)
        filling = [socket.socket() for _ in range(2)]  # its queue is full: nobody else comes up
        for sock in filling:
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        client.send(request(1))
        # The first PING may be answered in the turn that reads the request; the reactor connects in the next one.
        for _ in range(2):
            limiter.until(b"+PONG", command(b"PING"))
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
            client.close()

        stopped(limiter, comes_up_and_leaves)
        limiter.served(other, 2, server[0])  # nothing was written before it
        for sock in filling:
            sock.close()


def test_one_that_leaves_during_the_drain_is_seen_though_nothing_is_read_from_it(tmp_path: Path) -> None:
    with Limiter(tmp_path, servers=2) as limiter:
        client = limiter.connect()
        client.send(request(1, wait=60000))  # its deadline comes after the test's patience
        number = 1 if limiter.servers[0].quiet(0.5) else 0
        server = limiter.servers[number].accept()
        server.words()
        limiter.terminate()
        while not refused(limiter):
            pass
        client.send(request(2))  # unread, and so is the end behind it
        client.close()
        assert server.ended()  # nobody waits for it any more
        assert limiter.process.wait(PATIENCE) == 0
        assert limiter.servers[0].quiet(0.0) and limiter.servers[1].quiet(0.0)


def test_a_request_that_crosses_the_close_of_a_drain_takes_no_answer_with_it(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        client.send(request(1))
        server = limiter.servers[0].accept()
        server.words()
        limiter.terminate()
        while not refused(limiter):
            pass
        client.send(request(2))  # behind the first, and never read before the close
        server.send(GOOD)
        assert client.bulk() == b"value"
        assert client.file.read(1) == b""  # an end, and no reset behind it
        reset = select.poll()
        reset.register(client.sock, 0)
        assert not reset.poll(200)
        client.send(request(3))  # its own end stays open for a moment
        assert server.ended() and limiter.servers[0].quiet(0.0)
        client.close()
        assert limiter.process.wait(PATIENCE) == 0


def test_a_command_in_pieces_that_began_before_the_drain_is_served_whole(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        text = request(2)
        limiter.served(client, 1)
        client.send(request(2)[:20])
        limiter.until(b"+PONG", command(b"PING"))
        limiter.terminate()
        while not refused(limiter):
            pass
        for place in range(20, len(text)):
            client.send(text[place : place + 1])
        limiter.servers[0].serve(GOOD)
        assert client.bulk() == b"value" and client.file.read(1) == b""
        client.close()
        assert limiter.process.wait(PATIENCE) == 0


def connect_client(world: InMemoryNetwork) -> tuple[AssembledLimiter, Any]:
    """A limiter in memory with one server, and a user agent of it; the agent notes whether it was aborted."""
    limiter = make_limiter(world, 256)
    limiter.on_endpoints_changed(one_backend_update("active", reset=True))
    client = world.connected(limiter.frontend.buildProtocol(None))
    client.aborted = False

    def abort() -> None:
        client.aborted = True

    client.transport.abortConnection = abort
    return limiter, client


def test_an_idle_connection_is_half_closed_and_what_comes_behind_that_is_never_sent_on(world: InMemoryNetwork) -> None:
    limiter, client = connect_client(world)
    client.dataReceived(request(1))
    world.up(len(world.reactor.tcpClients) - 1).dataReceived(GOOD)
    assert limiter.dispatcher.open_count() == 0
    world.reactor.pump([0.1] * int(IDLE_TIMEOUT / 0.1 + 2))
    assert client.transport.handle.half_closed and not client.aborted
    client.dataReceived(request(2))
    assert limiter.dispatcher.open_count() == 0
    world.reactor.pump([0.1] * int(LINGER_TIMEOUT / 0.1 + 2))
    assert client.aborted


@pytest.mark.parametrize("way", ["many commands", "answers not taken", "told to end"])
def test_one_that_leaves_while_it_is_not_read_from_is_let_go_and_its_passes_with_it(
    world: InMemoryNetwork, way: str
) -> None:
    limiter, client = connect_client(world)
    if way == "many commands":
        client.dataReceived(b"".join(request(n) for n in range(1, 70)))
    elif way == "answers not taken":
        client.transport.handle.max_bytes = 0
        client.dataReceived(command(b"PING") + request(1))
    else:
        client.dataReceived(request(1))
        client.finish()
    assert not client._is_reading and not client.aborted
    world.reactor.advance(0.11)
    assert not client.aborted
    client.transport.handle.departed = True
    world.reactor.advance(0.11)
    assert client.aborted
    client.connectionLost()
    assert limiter.dispatcher.open_count() == 0


def test_no_connection_holds_small_writes_back(world: InMemoryNetwork) -> None:
    limiter, client = connect_client(world)
    limiter.connect(clock.now() + 1.0)  # discovery and the counter
    client.dataReceived(request(1))  # a server
    callers = ManagementServer(world.deadlines, lambda word: (True, ""))
    made = [
        client,
        world.connected(callers.buildProtocol(None)),
        *(world.up(number) for number in range(len(world.reactor.tcpClients))),
    ]
    assert len(made) == 2 + 1 + 3 + 1 and all(one.transport.handle.no_delay for one in made)


def test_a_full_table_drops_no_connection_on_which_bytes_wait(world: InMemoryNetwork) -> None:
    front = make_limiter(world, 64).frontend
    clients = [world.connected(front.buildProtocol(None)) for _ in range(front._max_clients)]
    for client in clients:
        client.dataReceived(command(b"PING"))
    world.reactor.advance(CROWDED_IDLE_TIMEOUT + 0.05)
    for client in clients[1:]:
        client.transport.handle.unread = b"*"
    world.connected(front.buildProtocol(None))
    assert [client.transport.disconnected for client in clients].count(True) == 1 and clients[0].transport.disconnected
    assert front.buildProtocol(None) is None


def test_all_that_wait_in_the_queue_are_taken_before_the_socket_is_closed(world: InMemoryNetwork) -> None:
    limiter = make_limiter(world, 256)
    waiting = list(range(7))
    taken = list[Any]()

    class Port:
        """Takes one connection in a turn, as a port does that had little to do."""

        def getHost(self) -> Any:
            return type("Host", (), {"host": "127.0.0.1", "port": 1})

        def doRead(self) -> None:
            if waiting:
                waiting.pop()
                taken.append(world.connected(limiter.frontend.buildProtocol(None)))

        def stopListening(self) -> None:
            assert not waiting and len(taken) == 7

    lifecycle = limiter.lifecycle
    lifecycle.phase = Phase.SERVING
    lifecycle.port = Port()
    lifecycle.terminate(0.0)
    world.reactor.advance(0.01)
    assert len(taken) == 7 and not any(client.transport.handle.half_closed for client in taken)


@pytest.mark.parametrize("why", ["left", "late", "past the window"])
def test_a_pass_that_waited_for_its_connection_is_written_only_where_it_still_stands(
    world: InMemoryNetwork, why: str
) -> None:
    made, ends = make_backend_connections(world)
    there = [True]
    void = make_attempt_spec()._replace(
        is_connected=lambda: there[0], start_before=clock.now() + 0.3 if why == "past the window" else inf
    )
    made.start_attempt(void).addCallback(ends.append)
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    if why == "late":
        void_pass = made._attempts.items()[0]
        void_pass.spec = void_pass.spec._replace(deadline=clock.now() + 0.2)  # its timer has not had its turn
    there[0] = why != "left"
    world.reactor.rightNow += 0.4
    server = world.up(0)
    server.dataReceived(served_reply(b"v"))
    assert [end.status for end in ends] == [Status.MOOT, Status.OK] and not server.closed


def test_a_connection_that_ends_as_it_comes_up_strands_no_pass(world: InMemoryNetwork) -> None:
    made, ends = make_backend_connections(world)
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    world.up(0, unread=b"-BUSY\r\n")  # no room there: it says so at once, or closes
    assert [end.status for end in ends] == [Status.CONNECT_FAILED] and made.open_connections == 1
    world.up(1).dataReceived(served_reply(b"v"))
    assert [end.status for end in ends] == [Status.CONNECT_FAILED, Status.OK]


def test_a_keyed_repeat_may_only_begin_while_its_window_lasts() -> None:
    gateway = helpers.started()
    (first,) = helpers.sends(gateway.handle(0.0, helpers.request("k", class_name="book")))
    assert first.start_within == inf
    (again,) = helpers.sends(gateway.handle(0.1, helpers.ended("k", first, Status.ERROR)))
    assert 0.25 < again.start_within < helpers.KEYED.idempotency_window - 0.1


def test_what_comes_while_it_is_told_to_end_is_answered_before_it_may_be_killed(world: InMemoryNetwork) -> None:
    limiter, client = connect_client(world)
    lifecycle = limiter.lifecycle
    lifecycle.phase = Phase.SERVING
    lifecycle.terminate()
    told = clock.now()
    client.dataReceived(request(1, wait=60000))
    server = world.up(len(world.reactor.tcpClients) - 1)
    assert server.transport.value()
    while not client.transport.value().startswith(b"-BUSY"):  # the server says nothing
        world.reactor.advance(0.05)
    assert clock.now() - told < TERMINATION_LINGER + MAX_AWAITED_DEADLINE and server.closed


@pytest.mark.parametrize("pieces", [1, 3])
def test_the_first_request_of_a_connection_has_its_time_from_its_last_byte_on(
    world: InMemoryNetwork, pieces: int
) -> None:
    _, client = connect_client(world)
    text = request(1, wait=500)
    for piece in range(pieces):
        world.reactor.pump([0.1] * 6)  # it rests, or writes slowly: no stall of ours
        client.dataReceived(text[piece * 30 :] if piece == pieces - 1 else text[piece * 30 : piece * 30 + 30])
    server = world.up(len(world.reactor.tcpClients) - 1)
    told = parse_command(server.transport.value())[3]
    assert b",d=49" in told or b",d=500" in told
    server.dataReceived(GOOD)
    assert client.transport.value() == b"$5\r\nvalue\r\n"


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
        served = False
        number = 0
        while not served:  # one that comes while all places are new may be closed unread
            client = limiter.connect()
            number = number + 1
            assert number < 1000
            with contextlib.suppress(OSError):
                client.send(request(number))
            ready = select.select([client.sock, limiter.servers[0].sock], [], [], PATIENCE)[0]
            if limiter.servers[0].sock in ready:
                limiter.servers[0].serve(GOOD)
                served = client.bulk() == b"value"
        assert len(crowd) == 100
