"""A limiter that starts or resumes after a stop answers waiting requests in time, and by the present endpoint list.

Guards against a failure that occurs when most limiters are killed at once: the kernel queues requests for a process
that already listens, and the process reads them a second later as if they were new, or sends them by an old list.
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
from tests.network_support import InMemoryNetwork, RecordingObserver, network
from thymeflow.discovery.watch import FIRST_LIST_TIMEOUT, POLLED_IDLE_TIMEOUT, PUSHED_IDLE_TIMEOUT, EndpointWatcher
from thymeflow.frontend.listener import bind_listener, start_listening
from thymeflow.limiter.assembly import Limiter as Assembled
from thymeflow.limiter.phases import Phase
from thymeflow.platform.configuration import parse_configuration
from thymeflow.platform.endpoints import Address
from thymeflow.runtime import clock
from thymeflow.transport.connections import WriteTrackingConnection, dial

VALID_REPLY = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
__all__ = ["network"]


def connect_when_open(limiter: Limiter) -> Peer:
    """Wait until the limiter listens, and return a connection to it."""
    limiter.log("listening:")
    return limiter.connect()


def serve_clients(limiter: Limiter, clients: dict[int, Peer], backend_index: int) -> tuple[dict[int, bytes], set[int]]:
    """Let one backend serve; return the first line of each client's reply, and the requests that the backend got."""
    replies = dict[int, bytes]()
    forwarded = set[int]()
    connections = list[Peer]()
    while len(replies) < len(clients):
        waiting = [peer.sock for number, peer in clients.items() if number not in replies]
        ready = select.select(
            [limiter.backends[backend_index].sock, *(peer.sock for peer in connections), *waiting], [], [], PATIENCE
        )[0]
        assert ready, f"{len(clients) - len(replies)} requests without a reply"
        if limiter.backends[backend_index].sock in ready:
            connections.append(limiter.backends[backend_index].accept())
        for peer in [connection for connection in connections if connection.sock in ready]:
            arguments = peer.read_command()
            forwarded.add(int(arguments[2], 16))
            peer.send(VALID_REPLY)
        for number, peer in clients.items():
            if peer.sock in ready:
                replies[number] = peer.line()
    return replies, forwarded


def test_no_request_is_accepted_before_the_endpoint_list_is_received(tmp_path: Path) -> None:
    with Limiter(tmp_path, backend_count=2, is_list_sent=False) as limiter:
        watch, _ = limiter.watch()
        assert is_connection_refused(limiter)  # The start is complete, but no list was received.
        limiter.send_endpoint_change(watch, 44, limiter.entry(0, "leaving"))
        clients = {0: connect_when_open(limiter)}
        clients |= {number: limiter.connect() for number in range(1, 50)}
        for number, client in clients.items():
            client.send(request(number))
        replies, forwarded = serve_clients(limiter, clients, 1)
        assert all(line == b"$5" or line.startswith(b"-BUSY") for line in replies.values())
        assert forwarded == {number for number, line in replies.items() if line == b"$5"}
        assert forwarded
        assert limiter.backends[0].has_no_connection(0.0)


def test_requests_are_answered_in_time_by_the_present_list_when_a_start_is_slow(tmp_path: Path) -> None:
    # The process gets a twentieth of a core, from its start to its last reply, while fifty clients connect.
    with Limiter(tmp_path, backend_count=3, is_list_sent=False) as limiter:
        clients = dict[int, Peer]()
        sent_at = dict[int, float]()
        replies = dict[int, bytes]()
        connections = list[Peer]()
        notified_at = 0.0
        delays = list[float]()  # seconds from the deadline of a request to its reply
        give_up_at = time.monotonic() + PATIENCE * 4
        watch: Peer | None = None
        limiter.process.send_signal(signal.SIGSTOP)
        while len(replies) < 50:
            limiter.process.send_signal(signal.SIGCONT)
            select.select([], [], [], 0.003)
            limiter.process.send_signal(signal.SIGSTOP)
            assert time.monotonic() < give_up_at, f"{len(replies)} of 50 answered, {len(clients)} clients connected"
            if watch is None and not limiter.discovery.has_no_connection(0.0):
                watch = limiter.discovery.accept()  # The request follows in a later turn, after another stop.
            elif watch is not None and not notified_at and not watch.receives_nothing(0.0):
                if limiter.read_watch_request(watch):  # Two backends are lost between the start and the first turn.
                    limiter.send_endpoint_change(watch, 44, limiter.entry(0, "leaving"), limiter.entry(1, "left"))
                    notified_at = time.monotonic()
                else:
                    watch = None  # The limiter has closed this watch, and opens another one.
            for number in [index for index in range(50) if index not in clients][:10]:
                with contextlib.suppress(ConnectionRefusedError):
                    clients[number] = limiter.connect()
                    clients[number].send(request(number, wait=10000))
                    sent_at[number] = time.monotonic()
            waiting = [
                limiter.backends[2].sock,
                *(connection.sock for connection in connections),
                *(peer.sock for number, peer in clients.items() if number not in replies),
            ]
            ready = select.select(waiting, [], [], 0.057)[0]
            if limiter.backends[2].sock in ready:
                connections.append(limiter.backends[2].accept())
            for peer in [connection for connection in connections if connection.sock in ready]:
                peer.read_command()
                peer.send(VALID_REPLY)
            for number in [index for index, peer in clients.items() if index not in replies and peer.sock in ready]:
                replies[number] = clients[number].line()
                delays.append(time.monotonic() - sent_at[number] - 10.0)
        limiter.process.send_signal(signal.SIGCONT)
        assert notified_at, replies
        assert all(line == b"$5" or line.startswith(b"-BUSY") for line in replies.values()), replies
        assert max(delays) < 0.5
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
        # During the stop, the deadlines of half of the requests pass, and the grace period of the drain.
        assert watch.receives_nothing(1.5)
        limiter.process.send_signal(signal.SIGCONT)
        replies, forwarded = serve_clients(limiter, clients, 1)
        assert all(replies[number].startswith(b"-BUSY") for number in clients if number % 2)
        assert forwarded == {number for number, line in replies.items() if line == b"$5"}
        assert forwarded
        assert not any(number % 2 for number in forwarded)
        assert limiter.backends[0].has_no_connection(0.0)


def test_limiter_serves_again_when_it_was_killed_at_its_start_or_first_attempt(tmp_path: Path) -> None:
    with Limiter(tmp_path, is_list_sent=False) as limiter:
        limiter.watch()
        limiter.process.kill()  # before it has received a list
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
                limiter.process.kill()  # while its first attempt is in flight
                limiter.process.communicate()
                assert client.is_closed_by_peer()
                assert server.is_closed_by_peer()
            else:
                server.send(VALID_REPLY)
                assert client.read_bulk() == b"value"


class Port:
    """The listening port of an in-memory reactor."""

    def getHost(self) -> Any:
        return type("Host", (), {"host": "127.0.0.1", "port": 1})


@pytest.mark.parametrize("delay_seconds", [0.0, 0.6 * FIRST_LIST_TIMEOUT, None])
def test_ping_is_answered_when_the_agent_has_sent_its_list_or_the_timeout_is_over(
    network: InMemoryNetwork, delay_seconds: float | None
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
    limiter = Assembled(parse_configuration(source, "c.json", {}), network.reactor)
    network.reactor.adoptStreamPort = lambda descriptor, family, factory: Port()
    limiter.start()
    discovery_dial = next(index for index, dialed in enumerate(network.reactor.tcpClients) if dialed[1] == 8)
    stream = network.complete_dial(discovery_dial)
    stream.transport.abortConnection = lambda: None
    stream.dataReceived(HEAD)
    steps = int((FIRST_LIST_TIMEOUT if delay_seconds is None else delay_seconds) / 0.05)
    for _ in range(steps):
        assert limiter.lifecycle.phase is Phase.STARTING
        network.reactor.advance(0.05)
    if delay_seconds is not None:
        assert limiter.lifecycle.phase is Phase.STARTING
        stream.dataReceived(b"1\r\n\n\r\n")
    else:
        network.reactor.advance(0.05)
    assert limiter.lifecycle.is_accepting_clients()
    assert limiter.lifecycle.phase is Phase.SERVING


def test_queued_requests_count_as_waiting_since_the_start_when_the_socket_was_inherited(
    network: InMemoryNetwork, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clock, "STARTED_AT", clock.now() - 3.0)
    source = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:8", "counter": "127.0.0.1:9", "settings": SETTINGS}
    limiter = Assembled(parse_configuration(source, "c.json", {}), network.reactor)
    network.reactor.adoptStreamPort = lambda descriptor, family, factory: Port()
    limiter.listen(start_listening(bind_listener("127.0.0.1", 0)), was_listening=True)
    network.reactor.advance(0.5)
    assert limiter.deadlines.earliest_arrival(clock.now()) == clock.now()  # No input was read yet.
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


def test_input_counts_as_waiting_until_the_turns_after_a_stall_are_over(network: InMemoryNetwork) -> None:
    reported = list[float]()
    waits = list[float]()  # the seconds that input may have waited, as each callback sees it
    deadlines = clock.Deadlines(network.reactor, reported.append)
    for delay in (0.1, 0.2):  # The first deadline detects the stall, the second fires in the same turn.
        deadlines.schedule(
            clock.now() + delay, lambda _: waits.append(clock.now() - deadlines.earliest_arrival(clock.now()))
        )
    started_at = clock.now()
    assert deadlines.earliest_arrival(started_at) == started_at
    assert not deadlines.is_stalled(started_at)
    network.reactor.rightNow += 2.0  # Two seconds without a turn: the process was stopped, or one turn took so long.
    assert deadlines.earliest_arrival(clock.now()) == started_at + 0.1
    assert deadlines.is_stalled(clock.now())
    network.reactor.advance(0.0)  # all turns that are due
    assert reported == [pytest.approx(1.9)]
    assert waits == [pytest.approx(1.9)] * 2
    assert not deadlines.is_stalled(clock.now())


def test_dial_gets_more_turns_when_its_deadline_expires_during_a_stall(network: InMemoryNetwork) -> None:
    stopped_at = list[float]()
    network.reactor.connectTCP = lambda *_, **__: type(
        "Dial", (), {"stopConnecting": lambda self: stopped_at.append(clock.now())}
    )()
    dialed_at = clock.now()
    dial(network.reactor, network.deadlines, Address("127.0.0.1", 1), dialed_at + 1.0, WriteTrackingConnection)
    network.reactor.rightNow += 3.0  # No turn for three seconds, so the connect was not even started.
    network.reactor.advance(0.0)
    assert not stopped_at
    for _ in range(clock.RECOVERY_TURNS + 2):
        network.reactor.advance(clock.STALL_THRESHOLD / 2)
    assert len(stopped_at) == 1
    assert stopped_at[0] >= dialed_at + 3.0 + clock.STALL_THRESHOLD


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("seed", range(6))
def test_idle_watch_is_opened_again_before_a_missed_drain_takes_effect(
    network: InMemoryNetwork, seed: int, pushed: bool
) -> None:
    # A missed change counts as notified 6 s after the last byte, and the grace period of a drain is one second more. So
    # the watch has to be opened again within that time, in a set of any size.
    discovery = EndpointWatcher(
        network.reactor,
        network.deadlines,
        Address("127.0.0.1", 8),
        1,
        RecordingObserver(lambda _: None),
        250,
        seed,
        pushed,
    )
    discovery.start(clock.now() + FIRST_LIST_TIMEOUT)
    stream = network.complete_dial(0)
    stream.transport.abortConnection = lambda: None
    stream.dataReceived(HEAD + b"1\r\n\n\r\n")
    last_byte_at = clock.now()
    while len(network.reactor.tcpClients) == 1:
        network.reactor.advance(0.01)
    assert 0.0 < clock.now() - last_byte_at - (PUSHED_IDLE_TIMEOUT if pushed else POLLED_IDLE_TIMEOUT) < 0.4
