"""Clients of the real program that send malformed bytes, send nothing, or do not read their responses."""

from __future__ import annotations

import select
import time
from pathlib import Path

import pytest

from tests.limiter import Limiter, command, request
from tests.network_support import SERVED_REPLY
from thymeflow.frontend.timeouts import IDLE_TIMEOUT


@pytest.mark.parametrize(
    "bad",
    [
        request(1).replace(b"c=look", b"c=none"),
        request(1).replace(b"t=basic", b"t=other"),
        request(1).replace(b"d=20000", b"d=20e99"),
        request(1).replace(b"units=1", b"units=0"),
        request(1).replace(b"units=1", b"units=5"),
        request(1).replace(b"00000000b4", b"00000002b4"),
        request(1).replace(b"first=0", b"first=7"),
        request(1).replace(b"d=20000", b"x=20000"),
        request(1, "book").replace(b",k=", b",j="),
        request(1).replace(b"00000000b4", b"zz000000b4"),
        request(1).replace(b"SVC.QUERY", b"SVC.QUEUE"),
        command(b"SVC.QUERY", b"1"),
        command(b"HELLO", b"3"),
        request(1, "book").replace(b"c=book", b"c=look"),
        command(b"SVC.SUBMIT", b"\xff", b"\r\n", b"", b""),
    ],
)
def test_one_error_line_is_sent_and_the_connection_stays_when_a_command_is_invalid(tmp_path: Path, bad: bytes) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        client.send(bad + command(b"PING"))
        assert client.line().startswith(b"-ERR ")
        assert client.line() == b"+PONG"


@pytest.mark.parametrize(
    "bad",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*1\r\n$4194305\r\n",
        b"*99\r\n",
        b"*1\r\n:1\r\n",
        b"*1\r\n$-1\r\n",
        b"*2\r\n*1\r\n$1\r\na\r\n",
        b"*1\r\n$1\r\nabc\r\n",
        b"+" + b"x" * 5000,
        b"*1_0\r\n",
    ],
)
def test_one_error_line_is_sent_and_the_connection_closed_when_framing_is_lost(tmp_path: Path, bad: bytes) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        client.send(command(b"PING") + bad)
        assert client.line() == b"+PONG"
        assert client.line().startswith(b"-ERR Protocol error")
        assert client.is_closed_by_peer()
        limiter.wait_for_reply(b"+PONG", command(b"PING"))


def test_error_line_arrives_when_more_malformed_bytes_follow(tmp_path: Path) -> None:
    # A close with unread bytes would reset the connection, and the client would lose the error line.
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        client.sock.sendall(b"*1\r\n$60000000\r\n" + b"x" * 2**17)
        limiter.log("client command malformed")
        client.send(b"x")
        client.receives_nothing(0.2)
        client.send(b"x")
        assert client.line().startswith(b"-ERR Protocol error")
        assert client.file.read(1) == b""  # the end of the stream, without a reset


def test_connection_is_closed_when_it_sends_nothing_or_half_a_command_and_busy_ones_stay(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        ordinary_client = limiter.connect()
        started_at = time.monotonic()
        ordinary_client.send(request(1))
        server = limiter.backends[0].accept()
        server.read_command()
        idle_client = limiter.connect()
        incomplete_client = limiter.connect()
        incomplete_client.send(request(2)[:50])
        assert incomplete_client.line().startswith(b"-ERR Protocol error")
        assert incomplete_client.is_closed_by_peer()
        assert idle_client.is_closed_by_peer()
        assert time.monotonic() - started_at > 2.0
        server.send(SERVED_REPLY)
        assert ordinary_client.read_bulk() == b"value"


def test_connections_that_only_sent_ping_are_closed_first_when_all_are_in_use(tmp_path: Path) -> None:
    with Limiter(tmp_path, sockets=64) as limiter:
        ordinary_client = limiter.connect()
        ordinary_client.send(request(1))
        server = limiter.backends[0].accept()
        server.read_command()
        idle_clients = [limiter.connect() for _ in range(15)]  # all free client slots
        for client in idle_clients:
            client.send(command(b"PING"))
            assert client.line() == b"+PONG"
        server.send(SERVED_REPLY)
        assert ordinary_client.read_bulk() == b"value"
        late_client = limiter.connect()  # accepted before any idle timeout has passed
        late_client.send(command(b"PING"))
        assert late_client.line() == b"+PONG"
        assert idle_clients[0].is_closed_by_peer()
        ordinary_client.send(command(b"PING"))
        assert ordinary_client.line() == b"+PONG"


def test_idle_clients_are_closed_sooner_but_not_within_two_seconds_when_connections_are_scarce(tmp_path: Path) -> None:
    with Limiter(tmp_path, sockets=64) as limiter:
        clients = [limiter.connect() for _ in range(8)]  # half of the client slots
        clients[0].send(request(1))
        limiter.backends[0].serve(SERVED_REPLY)
        assert clients[0].read_bulk() == b"value"
        answered_at = time.monotonic()
        for client in clients[1:]:  # These clients stay connected, because each has an open request.
            client.send(request(2 + clients.index(client)))
        assert clients[0].is_closed_by_peer()
        assert 1.9 < time.monotonic() - answered_at < IDLE_TIMEOUT


def test_client_is_not_read_from_when_it_does_not_read_its_responses(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        sent_bytes = 0
        client.sock.setblocking(False)
        echo = command(b"PING", b"x" * 60000)
        while select.select([], [client.sock], [], 1.0)[1]:  # The loop ends only if the limiter stops reading.
            sent_bytes += client.sock.send(echo[sent_bytes % len(echo) :])
            assert sent_bytes < 64 * 2**20
        limiter.wait_for_reply(b"+PONG", command(b"PING"))


def test_waiting_responses_become_errors_when_they_exceed_the_bound(tmp_path: Path) -> None:
    # Guards the memory limit: each response is valid, but all wait in memory for the response to the first request.
    # The bound holds two of them. The connection stays open, because it has open requests.
    with Limiter(tmp_path, memory=1) as limiter:
        client = limiter.connect()
        client.send(b"".join(request(n) for n in (1, 2, 3, 4)))
        servers = [limiter.backends[0].accept() for _ in range(4)]  # each attempt has its own connection
        first_server = servers[0]
        for server in servers:
            if server.read_command()[2] == b"%016x" % 1:
                first_server = server
            else:
                server.send(b"*3\r\n$65536\r\n" + b"x" * 65536 + b"\r\n$-1\r\n$-1\r\n")
        limiter.log("backlog:")
        first_server.send(SERVED_REPLY)
        assert client.read_bulk() == b"value"
        lines = [client.line() for _ in range(5)]  # two values in two lines each, and an error, in any order
        assert sorted(lines) == sorted([b"$65536", b"x" * 65536] * 2 + [b"-ERR failed"])
        limiter.wait_for_reply(b"+PONG", command(b"PING"))
