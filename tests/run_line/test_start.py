"""A limiter that starts, or goes on after it was stopped: what waited is answered in time or at once, and by the list.

The cause that these hold off was seen on a day that kills most limiters at once: a process listened, its machine took
requests on for it, and it came to read them a second later as if they were new; or it sent them by an old list.
"""

from __future__ import annotations

import contextlib
import select
import signal
import socket
import time
from pathlib import Path
from typing import Any

import pytest

from tests.limiter import PATIENCE, SETTINGS, Limiter, Peer, command, is_connection_refused, request
from tests.network_support import InMemoryNetwork, RecordingObserver, world
from thymeflow.discovery.watch import FIRST_LIST_TIMEOUT, POLLED_IDLE_TIMEOUT, PUSHED_IDLE_TIMEOUT, EndpointWatcher
from thymeflow.frontend.listener import bind_listener, start_listening
from thymeflow.limiter.assembly import Limiter as Assembled
from thymeflow.limiter.phases import Phase
from thymeflow.platform.configuration import parse_configuration
from thymeflow.platform.endpoints import Address
from thymeflow.runtime import clock
from thymeflow.transport.connections import WriteTrackingConnection, dial

GOOD = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
__all__ = ["world"]


def connect_when_open(limiter: Limiter) -> Peer:
    """A connection, as soon as there is one to be had."""
    limiter.log("listening:")
    return limiter.connect()


def answers(limiter: Limiter, clients: dict[int, Peer], server: int) -> tuple[dict[int, bytes], set[int]]:
    """The first line of each agent's answer, while one server serves; and the requests that it was sent."""
    seen = dict[int, bytes]()
    sent = set[int]()
    servers = list[Peer]()
    while len(seen) < len(clients):
        waiting = [peer.sock for number, peer in clients.items() if number not in seen]
        ready = select.select([limiter.backends[server].sock, *(s.sock for s in servers), *waiting], [], [], PATIENCE)[
            0
        ]
        assert ready, f"{len(clients) - len(seen)} requests without an answer"
        if limiter.backends[server].sock in ready:
            servers.append(limiter.backends[server].accept())
        for peer in [s for s in servers if s.sock in ready]:
            words = peer.read_command()
            sent.add(int(words[2], 16))
            peer.send(GOOD)
        for number, peer in clients.items():
            if peer.sock in ready:
                seen[number] = peer.line()
    return seen, sent


def test_no_request_is_accepted_before_the_endpoint_list_is_received(tmp_path: Path) -> None:
    with Limiter(tmp_path, backend_count=2, is_list_sent=False) as limiter:
        watch, _ = limiter.watch()
        assert is_connection_refused(limiter)  # its start is over, and it was told nothing yet
        limiter.send_endpoint_change(watch, 44, limiter.entry(0, "leaving"))
        clients = {0: connect_when_open(limiter)}
        clients |= {number: limiter.connect() for number in range(1, 50)}
        for number, client in clients.items():
            client.send(request(number))
        seen, sent = answers(limiter, clients, 1)
        assert all(line == b"$5" or line.startswith(b"-BUSY") for line in seen.values())
        assert sent == {number for number, line in seen.items() if line == b"$5"}
        assert sent
        assert limiter.backends[0].has_no_connection(0.0)


def test_requests_are_answered_in_time_by_the_present_list_when_a_start_is_slow(
    tmp_path: Path,
) -> None:
    # Its core is taken nineteen parts of twenty, from its start to its last answer, while fifty try to reach it.
    with Limiter(tmp_path, backend_count=3, is_list_sent=False) as limiter:
        clients = dict[int, Peer]()
        sent_at = dict[int, float]()
        answer = dict[int, bytes]()
        servers = list[Peer]()
        notified_at = 0.0
        late = list[float]()
        end = time.monotonic() + PATIENCE * 4
        watch: Peer | None = None
        limiter.process.send_signal(signal.SIGSTOP)
        while len(answer) < 50:
            limiter.process.send_signal(signal.SIGCONT)
            select.select([], [], [], 0.003)
            limiter.process.send_signal(signal.SIGSTOP)
            assert time.monotonic() < end, f"{len(answer)} of 50 answered, {len(clients)} let in"
            if watch is None and not limiter.discovery.has_no_connection(0.0):
                watch = limiter.discovery.accept()  # it asks in a later turn, and is stopped till then
            elif watch is not None and not notified_at and not watch.receives_nothing(0.0):
                if limiter.read_watch_request(watch):  # two servers are lost between its start and its first turn
                    limiter.send_endpoint_change(watch, 44, limiter.entry(0, "leaving"), limiter.entry(1, "left"))
                    notified_at = time.monotonic()
                else:
                    watch = None  # it gave that one up, and dials anew
            for number in [n for n in range(50) if n not in clients][:10]:
                with contextlib.suppress(ConnectionRefusedError):
                    clients[number] = limiter.connect()
                    clients[number].send(request(number, wait=10000))
                    sent_at[number] = time.monotonic()
            waiting = [
                limiter.backends[2].sock,
                *(s.sock for s in servers),
                *(peer.sock for number, peer in clients.items() if number not in answer),
            ]
            ready = select.select(waiting, [], [], 0.057)[0]
            if limiter.backends[2].sock in ready:
                servers.append(limiter.backends[2].accept())
            for peer in [s for s in servers if s.sock in ready]:
                peer.read_command()
                peer.send(GOOD)
            for number in [n for n, peer in clients.items() if n not in answer and peer.sock in ready]:
                answer[number] = clients[number].line()
                late.append(time.monotonic() - sent_at[number] - 10.0)
        limiter.process.send_signal(signal.SIGCONT)
        assert notified_at, answer
        assert all(line == b"$5" or line.startswith(b"-BUSY") for line in answer.values()), answer
        assert max(late) < 0.5
        assert limiter.backends[0].has_no_connection(0.0)
        assert limiter.backends[1].has_no_connection(0.0)


def test_waiting_requests_have_less_time_and_use_the_present_list_when_the_process_was_stopped(tmp_path: Path) -> None:
    with Limiter(tmp_path, backend_count=2) as limiter:
        watch, _ = limiter.watch()
        limiter.wait_for_reply(b"+PONG", command(b"PING"))
        limiter.process.send_signal(signal.SIGSTOP)
        clients = {number: limiter.connect() for number in range(40)}
        for number, client in clients.items():
            client.send(request(number, wait=500 if number % 2 else 20000))
        limiter.send_endpoint_change(watch, 44, limiter.entry(0, "leaving"))
        assert watch.receives_nothing(1.5)  # the stop itself: past half of the deadlines, and the drain's grace
        limiter.process.send_signal(signal.SIGCONT)
        seen, sent = answers(limiter, clients, 1)
        assert all(seen[number].startswith(b"-BUSY") for number in clients if number % 2)
        assert sent == {number for number, line in seen.items() if line == b"$5"}
        assert sent
        assert not any(number % 2 for number in sent)
        assert limiter.backends[0].has_no_connection(0.0)


def test_limiter_serves_again_when_it_was_killed_at_its_start_or_first_attempt(tmp_path: Path) -> None:
    with Limiter(tmp_path, is_list_sent=False) as limiter:
        limiter.watch()
        limiter.process.kill()  # before it was told anything
        limiter.process.communicate()
        for number in (1, 2):
            limiter.process = limiter.start()
            watch, _ = limiter.watch()
            limiter.send_endpoint_change(watch, 44, limiter.entry(0))
            client = connect_when_open(limiter)
            client.send(request(number))
            server = limiter.backends[0].accept()
            assert server.read_command()[2] == b"%016x" % number
            if number == 1:
                limiter.process.kill()  # its first pass is out
                limiter.process.communicate()
                assert client.is_closed_by_peer()
                assert server.is_closed_by_peer()
            else:
                server.send(GOOD)
                assert client.read_bulk() == b"value"


class Port:
    """What a reactor in memory listens at."""

    def getHost(self) -> Any:
        return type("Host", (), {"host": "127.0.0.1", "port": 1})


@pytest.mark.parametrize("late", [0.0, 0.6 * FIRST_LIST_TIMEOUT, None])
def test_ping_is_answered_when_the_agent_has_sent_its_list_or_the_timeout_is_over(
    world: InMemoryNetwork, late: float | None
) -> None:
    source = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:8",
        "counter": "127.0.0.1:9",
        "settings": SETTINGS,
        "known": {
            "generation": 1,
            "reset": True,
            "instances": [{"instanceId": "s-00000001", "hostPort": "127.0.0.1:7", "lifecycle": "active"}],
        },
    }
    limiter = Assembled(parse_configuration(source, "c.json", {}), world.reactor)
    world.reactor.adoptStreamPort = lambda descriptor, family, factory: Port()
    limiter.start()
    discovery_dial = next(n for n, dialled in enumerate(world.reactor.tcpClients) if dialled[1] == 8)
    reading = world.up(discovery_dial)
    reading.transport.abortConnection = lambda: None
    reading.dataReceived(HEAD)
    moments = int((FIRST_LIST_TIMEOUT if late is None else late) / 0.05)
    for _ in range(moments):
        assert limiter.lifecycle.phase is Phase.STARTING
        world.reactor.advance(0.05)
    if late is not None:
        assert limiter.lifecycle.phase is Phase.STARTING
        reading.dataReceived(b"1\r\n\n\r\n")
    else:
        world.reactor.advance(0.05)
    assert limiter.lifecycle.is_accepting_clients()
    assert limiter.lifecycle.phase is Phase.SERVING


def test_queued_requests_have_waited_since_the_start_when_the_socket_was_passed_in(
    world: InMemoryNetwork, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clock, "STARTED_AT", clock.now() - 3.0)
    source = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:8", "counter": "127.0.0.1:9", "settings": SETTINGS}
    limiter = Assembled(parse_configuration(source, "c.json", {}), world.reactor)
    world.reactor.adoptStreamPort = lambda descriptor, family, factory: Port()
    limiter.listen(start_listening(bind_listener("127.0.0.1", 0)), was_listening=True)
    world.reactor.advance(0.5)
    assert limiter.deadlines.earliest_arrival(clock.now()) == clock.now()  # nothing is read yet
    limiter.discovery.is_ready = True
    limiter.on_endpoints_ready()
    assert clock.now() - limiter.deadlines.earliest_arrival(clock.now()) == pytest.approx(3.5)


def test_start_fails_with_one_line_when_another_process_takes_the_address(tmp_path: Path) -> None:
    with Limiter(tmp_path, is_list_sent=False) as limiter:
        watch, _ = limiter.watch()
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind(("127.0.0.1", limiter.port))
            other.listen()
            limiter.send_endpoint_change(watch, 44, limiter.entry(0))
            assert f"127.0.0.1:{limiter.port}" in limiter.log("cannot listen:")
            assert limiter.process.wait(PATIENCE) == 3


def test_stall_is_remembered_until_waiting_bytes_are_read(world: InMemoryNetwork) -> None:
    reported = list[float]()
    amid = list[float]()
    deadlines = clock.Deadlines(world.reactor, reported.append)
    for after in (0.1, 0.2):  # the first finds the stall, the second runs in its wake
        deadlines.schedule(
            clock.now() + after, lambda _: amid.append(clock.now() - deadlines.earliest_arrival(clock.now()))
        )
    begun = clock.now()
    assert deadlines.earliest_arrival(begun) == begun
    assert not deadlines.is_stalled(begun)
    world.reactor.rightNow += 2.0  # no turn: stopped, or one turn took so long
    assert deadlines.earliest_arrival(clock.now()) == begun + 0.1
    assert deadlines.is_stalled(clock.now())
    world.reactor.advance(0.0)  # all turns that are due at once
    assert reported == [pytest.approx(1.9)]
    assert amid == [pytest.approx(1.9)] * 2
    assert not deadlines.is_stalled(clock.now())


def test_dial_gets_its_turns_first_when_its_deadline_expires_in_a_late_turn(world: InMemoryNetwork) -> None:
    given_up = list[float]()
    world.reactor.connectTCP = lambda *_, **__: type(
        "Dial", (), {"stopConnecting": lambda self: given_up.append(clock.now())}
    )()
    begun = clock.now()
    dial(world.reactor, world.deadlines, Address("127.0.0.1", 1), begun + 1.0, WriteTrackingConnection)
    world.reactor.rightNow += 3.0  # no turn for so long: it was not even begun
    world.reactor.advance(0.0)
    assert not given_up
    for _ in range(clock.SETTLING_TURNS + 2):
        world.reactor.advance(clock.STALL_THRESHOLD / 2)
    assert len(given_up) == 1
    assert given_up[0] >= begun + 3.0 + clock.STALL_THRESHOLD


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("seed", range(6))
def test_silent_watch_is_opened_again_before_a_missed_drain_is_due(
    world: InMemoryNetwork, seed: int, pushed: bool
) -> None:
    # Told 6 s after the silence began, by whatever word, and a second's grace: in a set of any size.
    discovery = EndpointWatcher(
        world.reactor,
        world.deadlines,
        Address("127.0.0.1", 8),
        1,
        RecordingObserver(lambda _: None),
        250,
        seed,
        pushed,
    )
    discovery.start(clock.now() + FIRST_LIST_TIMEOUT)
    reading = world.up(0)
    reading.transport.abortConnection = lambda: None
    reading.dataReceived(HEAD + b"1\r\n\n\r\n")
    fell = clock.now()
    while len(world.reactor.tcpClients) == 1:
        world.reactor.advance(0.01)
    assert 0.0 < clock.now() - fell - (PUSHED_IDLE_TIMEOUT if pushed else POLLED_IDLE_TIMEOUT) < 0.4
