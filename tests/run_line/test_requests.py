"""Requests through the real program on sockets: they are forwarded, answered, cancelled or rejected."""

from __future__ import annotations

import select
import time
from pathlib import Path

import pytest

from tests.limiter import PATIENCE, Limiter, command, request
from tests.network_support import SERVED_REPLY, SMALL_PLAN
from thymeflow.quota import counter_encoding


def test_request_is_forwarded_with_only_its_deadline_changed_when_it_is_admitted(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        client.send(command(b"PING"))
        assert client.line() == b"+PONG"
        client.send(request(1, "book", extra=",new=1", body=b"\r\n$5\r\n"))
        server = limiter.backends[0].accept()
        verb, customer, name, terms, body = server.read_command()
        assert (verb, customer, name) == (b"SVC.SUBMIT", b"00000000b4d65521", b"%016x" % 1)
        assert body == b"\r\n$5\r\n"
        before, _, deadline_and_after = terms.partition(b"d=")
        deadline_ms, _, after = deadline_and_after.partition(b",")
        assert (before, after) == (b"c=book,t=basic,", b"k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0,new=1")
        assert 0 < int(deadline_ms) <= 20000
        server.send(SERVED_REPLY)
        assert client.read_bulk() == b"value"
        client.send(request(2))
        assert server.read_command()[2] == b"%016x" % 2  # The open connection is used again.
        server.send(b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n")
        assert client.read_bulk() == b""


def test_responses_keep_the_order_of_their_commands_when_they_are_pipelined(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        client.send(request(1) + request(2) + command(b"PING"))
        peers = [limiter.backends[0].accept(), limiter.backends[0].accept()]
        by_id = {peer.read_command()[2]: peer for peer in peers}
        by_id[b"%016x" % 2].send(SERVED_REPLY.replace(b"value", b"later"))
        assert client.receives_nothing(0.3)
        by_id[b"%016x" % 1].send(SERVED_REPLY)
        assert [client.read_bulk(), client.read_bulk(), client.line()] == [b"value", b"later", b"+PONG"]


@pytest.mark.parametrize(
    ("cls", "reply", "answer"),
    [
        ("look", b"-BUSY used=37", b"-BUSY 100"),
        ("book", b"-BUSY", b"-BUSY 100"),
        ("look", b"-ERR failed used=3", b"-BUSY 100"),
        ("book", b"-ERR failed", b"-ERR failed"),
        ("book", b"+odd", b"-ERR failed"),
        ("book", b"!?", b"-ERR failed"),
        ("book", b"*1\r\n$-1", b"-ERR failed"),
        ("book", b"$99999999", b"-ERR failed"),
        ("book", b"*3\r\n$1\r\nv\r\n$8\r\nused=xyz\r\n$-1", b"$1"),
    ],
)
def test_client_gets_one_valid_response_when_the_backend_sends_any_reply(
    tmp_path: Path, cls: str, reply: bytes, answer: bytes
) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        client.send(request(1, cls))
        server = limiter.backends[0].accept()
        server.read_command()
        server.send(reply + b"\r\n")
        assert client.line().startswith(answer)


def test_request_is_not_replayed_when_its_connection_breaks_after_the_last_byte(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        client.send(request(1, "book"))
        server = limiter.backends[0].accept()
        server.read_command()
        server.close()
        assert client.line() == b"-ERR failed"  # The request may have been executed, so it is not rejected as BUSY.
        assert limiter.backends[0].has_no_connection(0.3)


def test_request_is_rejected_as_not_executed_when_the_backend_refuses_the_connection(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        limiter.backends[0].sock.close()
        client = limiter.connect()
        client.send(request(1, "book"))
        assert client.line() == b"-BUSY 100"  # a rejection with the retry delay in milliseconds


def test_request_is_answered_by_its_deadline_and_its_attempt_ends_when_no_reply_comes(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        started_at = time.monotonic()
        client.send(request(1, "book", wait=400))
        server = limiter.backends[0].accept()
        server.read_command()
        assert client.line() == b"-ERR failed"
        assert time.monotonic() - started_at > 0.3
        assert server.is_closed_by_peer()


def test_all_attempts_are_cancelled_when_their_client_disconnects(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        client.send(
            request(1, wait=3 * 10**6) + request(2, wait=3 * 10**6)
        )  # deadlines that do not expire during the test
        servers = [limiter.backends[0].accept(), limiter.backends[0].accept()]
        for server in servers:
            server.read_command()
        client.close()
        assert all(server.is_closed_by_peer() for server in servers)
        limiter.wait_for_reply(b"+PONG", command(b"PING"))


def test_requests_are_rejected_when_the_limit_of_open_requests_is_reached(tmp_path: Path) -> None:
    caps = {"cancel": True, "open-cap": 1, "dial-timeout": 20.0}
    with Limiter(tmp_path, caps=caps) as limiter:
        client = limiter.connect()
        other = limiter.connect()
        client.send(request(1))
        server = limiter.backends[0].accept()
        server.read_command()
        other.send(request(2))
        assert other.line().startswith(b"-BUSY ")
        server.send(SERVED_REPLY)
        assert client.read_bulk() == b"value"


def test_demand_is_added_to_the_counter_when_requests_are_admitted(tmp_path: Path) -> None:
    with Limiter(tmp_path, **SMALL_PLAN) as limiter:
        peers = [limiter.counter.accept() for _ in range(3)]
        client = limiter.connect()
        client.send(request(1))
        limiter.backends[0].serve(SERVED_REPLY)
        ready = select.select([peer.sock for peer in peers], [], [], PATIENCE)[0]
        verb, name, amount, ttl_ms = next(peer for peer in peers if peer.sock in ready).read_command()
        assert (verb, ttl_ms) == (b"INCRTTL", b"20000")
        assert counter_encoding.decode(int(name), float(amount))[0] == pytest.approx(1.0, abs=0.05)


@pytest.mark.parametrize("reply", [b"", SERVED_REPLY, b"-ERR failed\r\n", b"-BUSY\r\n"])
def test_request_is_executed_once_when_it_comes_again_after_its_client_left_or_was_answered(
    tmp_path: Path, reply: bytes
) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        client.send(request(1, "book"))
        backend = limiter.backends[0].accept()
        backend.read_command()
        if reply:
            backend.send(reply)
            client.line()
        client.close()
        other_client = limiter.connect()
        other_client.send(request(1, "book"))
        if reply == b"-BUSY\r\n":  # it was not executed
            assert backend.read_command()[2] == b"%016x" % 1
        else:
            assert other_client.line().startswith(b"-ERR")
            assert limiter.backends[0].has_no_connection(0.1)
            assert not reply or backend.receives_nothing(0.0)
