"""Values that are too long to be buffered: streamed in both directions at the pace of the slower side.

The tests guard against a long value that is buffered completely, loses bytes, delays other requests, or is forwarded as
complete although it broke off.
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.helpers import ended, sends, started
from tests.helpers import request as make_request_event
from tests.limiter import PATIENCE, Limiter, Peer, command, request
from tests.network_support import SERVED_REPLY, SMALL_PLAN
from thymeflow.decision.actions import RejectRequest, StartAttempt
from thymeflow.decision.events import ClientDisconnected, RequestBodyStarted, ResponseStarted, TimerFired
from thymeflow.decision.types import Status
from thymeflow.transport import resp

SIZE = 300_000
VALUE = bytes(range(256)) * (SIZE // 256) + b"!" * (SIZE % 256)
HEAD = b"*3\r\n$%d\r\n" % SIZE
TAIL = b"\r\n$14\r\nused=37,cost=2\r\n$-1\r\n"


@pytest.fixture
def limiter(tmp_path: Path) -> Iterator[Limiter]:
    with Limiter(tmp_path, managed=True) as limiter:
        yield limiter


def forward_request(limiter: Limiter, client: Peer, number: int, cls: str = "look", body: bytes = b"B") -> Peer:
    client.send(request(number, cls, body=body))
    backend = limiter.backends[0].accept()
    assert backend.read_command()[2] == b"%016x" % number
    return backend


def build_upload_head(number: int, wait: int = 20000) -> bytes:
    """Return a request with a long body, up to the body; `wait` is in milliseconds."""
    text = request(number, "book", wait, body=b"")
    assert text.endswith(b"$0\r\n\r\n")
    return text.removesuffix(b"$0\r\n\r\n") + b"$%d\r\n" % SIZE


def read_upload_head(backend: Peer) -> list[bytes]:
    """Return the arguments before the body, and the head of the body."""
    assert backend.line() == b"*5"
    return [backend.file.read(int(backend.line()[1:]) + 2)[:-2] for _ in range(4)] + [backend.line()]


def test_long_response_is_streamed_and_its_connection_reused_when_it_is_complete(limiter: Limiter) -> None:
    client = limiter.connect()
    backend = forward_request(limiter, client, 1)
    backend.send(HEAD + VALUE[:1000])
    assert client.line() == b"$%d" % SIZE
    assert client.file.read(1000) == VALUE[:1000]
    backend.send(VALUE[1000:])
    assert client.file.read(SIZE - 1000) == VALUE[1000:]
    backend.send(TAIL)
    assert client.file.read(2) == b"\r\n"
    limiter.serve_request(client, 2, backend)


def test_response_continues_when_its_deadline_passes_after_its_first_bytes(limiter: Limiter) -> None:
    client = limiter.connect()
    client.send(request(1, wait=300))
    backend = limiter.backends[0].accept()
    backend.read_command()
    backend.send(HEAD + VALUE[:1000])
    assert client.line() == b"$%d" % SIZE
    client.file.read(1000)
    assert client.receives_nothing(0.6)
    backend.send(VALUE[1000:] + TAIL)
    assert client.file.read(SIZE - 998) == VALUE[1000:] + b"\r\n"


@pytest.mark.parametrize("sent_bytes", [b"", VALUE[:5000], VALUE + b"no end", VALUE[:-1] + b"\r\n"])
def test_client_connection_is_closed_when_a_long_response_breaks_off(limiter: Limiter, sent_bytes: bytes) -> None:
    client = limiter.connect()
    backend = forward_request(limiter, client, 1, "book")
    backend.send(HEAD + sent_bytes)
    assert client.line() == b"$%d" % SIZE  # the response has begun, so that it cannot be replaced by an error line
    if len(sent_bytes) < SIZE:
        backend.close()
    assert len(client.file.read()) <= SIZE  # the connection was closed without the end of the value
    assert limiter.backends[0].has_no_connection(0.1)  # executed perhaps, so not tried again
    limiter.serve_request(limiter.connect(), 2)


@pytest.mark.parametrize("is_reset", [False, True])
def test_other_responses_arrive_when_a_backend_ends_before_the_turn_of_its_long_response(
    limiter: Limiter, is_reset: bool
) -> None:
    # Guards against cutting a connection, with the responses behind, for a long response that was lost before its turn.
    client = limiter.connect()
    client.send(request(1) + request(2) + request(3))
    peers = [limiter.backends[0].accept() for _ in range(3)]
    first, second, third = sorted(peers, key=lambda peer: peer.read_command()[2])
    second.send(HEAD + VALUE[: SIZE // 2])
    if is_reset:
        second.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    second.close()
    third.send(SERVED_REPLY)
    first.send(SERVED_REPLY)
    assert client.read_bulk() == b"value"
    # An error line is a failure or a rejection, depending on what was read before the end of the connection.
    assert client.line()[:4] in (b"-ERR", b"-BUS")
    assert client.read_bulk() == b"value"
    client.send(command(b"PING"))
    assert client.line() == b"+PONG"


def test_other_side_is_released_when_one_side_leaves_during_a_long_value(limiter: Limiter) -> None:
    client = limiter.connect()
    sender = limiter.connect()
    backend = forward_request(limiter, client, 1)
    backend.send(HEAD + VALUE[:1000])
    client.line()
    client.close()
    assert backend.is_closed_by_peer()
    sender.send(build_upload_head(2) + VALUE[:1000])
    backend = limiter.backends[0].accept()
    assert read_upload_head(backend)[2] == b"%016x" % 2
    sender.close()
    assert len(backend.file.read()) == 1000


def test_responses_keep_their_order_when_a_long_response_is_first(limiter: Limiter) -> None:
    client = limiter.connect()
    client.send(request(1) + request(2) + command(b"PING"))
    peers = [limiter.backends[0].accept(), limiter.backends[0].accept()]
    first, second = sorted(peers, key=lambda peer: peer.read_command()[2])
    second.send(HEAD + VALUE + TAIL)
    assert client.receives_nothing(0.2)
    first.send(HEAD + VALUE + TAIL)
    assert [client.read_bulk(), client.read_bulk(), client.line()] == [VALUE, VALUE, b"+PONG"]


def test_backend_is_paused_and_no_byte_lost_when_the_client_reads_slowly(limiter: Limiter) -> None:
    client = limiter.connect()
    other = limiter.connect()
    max_bytes = resp.MAX_LONG_VALUE
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
    backends = [forward_request(limiter, client, 1)]
    backend = backends[0]
    text = b"*3\r\n$%d\r\n" % max_bytes + b"x" * max_bytes + b"\r\n$-1\r\n$-1\r\n"
    sent = 0
    backend.sock.setblocking(False)
    while sent < len(text) and select.select([], [backend.sock], [], 0.5)[1]:
        sent += backend.sock.send(text[sent : sent + 65536])
    limiter.serve_request(other, 2)  # a slow reader does not delay other clients
    backend.sock.settimeout(PATIENCE)
    received_count = 0
    started_at = time.monotonic()
    client.sock.setblocking(True)
    while received_count < max_bytes + len(b"$%d\r\n\r\n" % max_bytes):
        if sent < len(text) and select.select([], [backend.sock], [], 0.0)[1]:
            sent += backend.sock.send(text[sent : sent + 65536])
        if select.select([client.sock], [], [], 0.01)[0]:
            received_count += len(client.sock.recv(1 << 20))
        assert time.monotonic() - started_at < PATIENCE


def test_long_body_is_streamed_and_its_time_starts_when_its_last_byte_arrives(limiter: Limiter) -> None:
    client = limiter.connect()
    client.send(build_upload_head(1, 1500) + VALUE[:1000])
    backend = limiter.backends[0].accept()
    verb, _, name, terms, head = read_upload_head(backend)
    assert (verb, name, head) == (b"SVC.SUBMIT", b"%016x" % 1, b"$%d" % SIZE)
    assert b",d=1500," in terms
    assert backend.file.read(1000) == VALUE[:1000]
    for _ in range(4):  # longer than the client waits for a response, but with short pauses only
        assert client.receives_nothing(0.5)
        client.send(b"x")
    client.send(VALUE[1004:] + b"\r\n" + command(b"PING"))
    assert backend.file.read(SIZE - 1000 + 2) == b"xxxx" + VALUE[1004:] + b"\r\n"
    backend.send(SERVED_REPLY)
    assert [client.read_bulk(), client.line()] == [b"value", b"+PONG"]
    limiter.serve_request(client, 2, backend)


def test_body_is_discarded_and_the_connection_stays_usable_when_the_request_is_rejected(tmp_path: Path) -> None:
    with Limiter(tmp_path, **{**SMALL_PLAN, "caps": {"open-cap": 1, "dial-timeout": 20.0}}) as limiter:
        busy = limiter.connect()
        client = limiter.connect()
        backend = forward_request(limiter, busy, 1)
        for class_term in (b"c=book", b"c=none"):
            client.send(build_upload_head(2).replace(b"c=book", class_term) + VALUE[:1000])
            assert client.receives_nothing(0.1)  # the request is incomplete
            client.send(VALUE[1000:] + b"\r\n" + command(b"PING"))
            assert client.line()[:4] in (b"-BUS", b"-ERR")
            assert client.line() == b"+PONG"
        backend.send(SERVED_REPLY)
        assert busy.read_bulk() == b"value"


@pytest.mark.parametrize("sent_bytes", [b"", b"no end"])
def test_one_error_line_and_a_close_follow_when_a_body_stops_or_is_not_terminated(
    limiter: Limiter, sent_bytes: bytes
) -> None:
    client = limiter.connect()
    client.send(build_upload_head(1) + VALUE[:1000])
    backend = limiter.backends[0].accept()
    read_upload_head(backend)
    if sent_bytes:
        client.send(VALUE[1000:])
        assert backend.file.read(SIZE) == VALUE  # read first, because a reset discards unread bytes
        client.send(sent_bytes)
    assert client.line().startswith(b"-ERR Protocol error")
    assert client.is_closed_by_peer()
    with contextlib.suppress(ConnectionResetError):
        assert len(backend.file.read()) < SIZE  # the body stayed incomplete, so that the request was never executed
    limiter.serve_request(limiter.connect(), 2)


def test_another_backend_is_tried_when_no_byte_of_the_body_was_sent(tmp_path: Path) -> None:
    with Limiter(tmp_path, backend_count=2) as limiter:
        limiter.backends[0].sock.close()
        for number in range(1, 5):  # some requests are tried at the stopped backend first
            client = limiter.connect()
            client.send(build_upload_head(number) + VALUE + b"\r\n")
            backend = limiter.backends[1].accept()
            assert read_upload_head(backend)[2] == b"%016x" % number
            assert backend.file.read(SIZE + 2) == VALUE + b"\r\n"
            backend.send(b"-BUSY\r\n")
            assert client.line().startswith(b"-BUSY")
            backend.close()


def test_attempt_ends_and_the_rest_is_discarded_when_the_backend_rejects_early(limiter: Limiter) -> None:
    client = limiter.connect()
    client.send(build_upload_head(1) + VALUE[:1000])
    backend = limiter.backends[0].accept()
    read_upload_head(backend)
    backend.send(b"-BUSY\r\n")
    assert len(backend.file.read()) == 1000  # closed, because further bytes of the body would be read as a command
    client.send(VALUE[1000:] + b"\r\n")
    assert client.line().startswith(b"-BUSY")


def test_stream_continues_when_the_limiter_is_evacuated_or_drains(limiter: Limiter) -> None:
    client = limiter.connect()
    sender = limiter.connect()
    backend = forward_request(limiter, client, 1)
    backend.send(HEAD + VALUE[:1000])
    sender.send(build_upload_head(2) + VALUE[:1000])
    body = limiter.backends[0].accept()
    assert limiter.call(b"evacuate\n").startswith(b"200 ")
    read_upload_head(body)
    assert client.receives_nothing(0.0) or client.line()
    is_body_awaited = sender.receives_nothing(0.7)
    limiter.terminate()
    assert is_body_awaited
    assert sender.receives_nothing(0.3)
    sender.send(VALUE[1000:] + b"\r\n")
    body.file.read(SIZE + 2)
    body.send(SERVED_REPLY)
    assert sender.read_bulk() == b"value"
    assert sender.is_closed_by_peer()
    backend.send(VALUE[1000:] + TAIL)
    assert client.file.read().endswith(VALUE[-100:] + b"\r\n")
    assert limiter.process.wait(PATIENCE) == 0


def test_head_in_pieces_has_its_full_time_when_the_connection_is_old(limiter: Limiter) -> None:
    client = limiter.connect()
    text = request(2)
    backend = limiter.serve_request(client, 1)
    assert client.receives_nothing(2.0)
    for position in range(0, len(text), 30):  # 1 s in total, long after the last response
        client.send(text[position : position + 30])
        time.sleep(0.1)
    backend.read_command()
    backend.send(SERVED_REPLY)
    assert client.read_bulk() == b"value"


def test_request_uses_no_capacity_and_ends_once_when_its_response_has_begun() -> None:
    gateway = started()
    for number in range(200):  # 200 clients that read slowly
        sent = sends(gateway.handle(0.1 + number, make_request_event(f"r{number}")))
        gateway.handle(0.2 + number, ResponseStarted(f"r{number}", 0, sent[0].backend, 0.1))
    assert gateway.registry.in_flight == 0
    assert len(gateway.pending) == 200
    for number in range(200):
        gateway.handle(
            300.0, ended(f"r{number}", StartAttempt(f"r{number}", 1), Status.OK if number % 2 else Status.CANCELLED)
        )
    assert (gateway.registry.in_flight, {backend.in_flight for backend in gateway.backends.values()}) == (0, {0})
    gateway.handle(300.1, ClientDisconnected("r0"))
    assert all(pending.is_answered for pending in gateway.pending.values())


def test_no_other_attempt_begins_when_a_body_is_being_sent() -> None:
    gateway = started()
    (first,) = sends(gateway.handle(0.1, make_request_event("a", class_name="book")))
    (retry,) = sends(gateway.handle(0.2, ended("a", first, Status.CONNECT_FAILED)))
    gateway.handle(0.3, RequestBodyStarted("a"))
    assert not sends(gateway.handle(5.0, TimerFired(2))), "the time of a request starts with its last byte"
    actions = gateway.handle(9.0, ended("a", retry, Status.FULL, 1))
    (action,) = [a for a in actions if isinstance(a, RejectRequest | StartAttempt)]
    assert isinstance(action, RejectRequest)
