"""Requests that arrive while the limiter drains or closes a connection.

The tests guard against a request or response that is lost because a client's command crosses the limiter's close.
"""

from __future__ import annotations

import select
import socket
import subprocess
from pathlib import Path
from typing import Any

import pytest

from tests.limiter import PATIENCE, Limiter, command, is_connection_refused, request
from tests.network_support import (
    KERNEL_BUFFER_BYTES,
    FakePort,
    InMemoryBackends,
    InMemoryNetwork,
    make_limiter,
    make_limiter_with_client,
    make_served_reply,
    network,
)
from thymeflow.frontend.timeouts import IDLE_TIMEOUT, LINGER_TIMEOUT, WRITE_STALL_TIMEOUT
from thymeflow.limiter.lifecycle import MAX_AWAITED_DEADLINE, TERMINATION_LINGER
from thymeflow.limiter.phases import OperatorCommand, Phase
from thymeflow.runtime import clock
from thymeflow.transport import resp

SERVED = make_served_reply(b"value")


__all__ = ["network"]


def test_requests_on_an_open_connection_are_answered_when_they_come_during_a_drain(tmp_path: Path) -> None:
    # Guards against a request that is read and dropped although its connection is open.
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        client.send(request(1))
        first_backend = limiter.backends[0].accept()
        first_backend.read_command()
        limiter.terminate()
        while not is_connection_refused(limiter):
            pass
        client.send(request(2))  # behind the first request, on a connection that the limiter has not closed
        second_backend = limiter.backends[0].accept()
        second_backend.read_command()
        second_backend.send(make_served_reply(b"second"))
        first_backend.send(SERVED)
        assert client.read_bulk() == b"value"
        assert client.read_bulk() == b"second"
        assert client.file.read(1) == b""  # the connection was closed and not reset
        reset = select.poll()
        reset.register(client.sock, 0)
        assert not reset.poll(200)
        client.send(request(3))  # the client's side of the connection stays open for a moment
        assert first_backend.is_closed_by_peer()
        assert second_backend.is_closed_by_peer()
        assert limiter.backends[0].has_no_connection(0.0)
        client.close()
        assert limiter.process.wait(PATIENCE) == 0


def test_command_is_served_when_it_began_before_the_drain_and_comes_in_pieces(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        text = request(2)
        limiter.serve_request(client, 1)
        client.send(request(2)[:20])
        limiter.wait_for_reply(b"+PONG", command(b"PING"))
        limiter.terminate()
        while not is_connection_refused(limiter):
            pass
        for position in range(20, len(text)):
            client.send(text[position : position + 1])
        limiter.backends[0].serve(SERVED)
        assert client.read_bulk() == b"value"
        assert client.file.read(1) == b""
        client.close()
        assert limiter.process.wait(PATIENCE) == 0


def test_later_requests_are_not_forwarded_when_an_idle_connection_was_half_closed(network: InMemoryNetwork) -> None:
    limiter, client = make_limiter_with_client(network)
    client.dataReceived(request(1))
    network.complete_dial(len(network.reactor.tcpClients) - 1).dataReceived(SERVED)
    assert limiter.dispatcher.open_count() == 0
    network.reactor.pump([0.1] * int(IDLE_TIMEOUT / 0.1 + 2))
    assert client.transport.handle.is_half_closed
    assert not client.aborted
    client.dataReceived(request(2))
    assert limiter.dispatcher.open_count() == 0
    network.reactor.pump([0.1] * int(LINGER_TIMEOUT / 0.1 + 2))
    assert client.transport.disconnecting
    assert not client.aborted


LARGE_VALUE = b"v" * 100_000


def test_slow_client_receives_its_complete_response_when_the_limiter_gets_sigterm(tmp_path: Path) -> None:
    # Guards against a close that discards bytes which the kernel has accepted and the client has not read yet.
    with Limiter(tmp_path) as limiter, socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        client.settimeout(PATIENCE)
        client.connect(("127.0.0.1", limiter.port))
        client.sendall(request(1))
        backend = limiter.backends[0].accept()
        backend.read_command()
        backend.send(make_served_reply(LARGE_VALUE))
        limiter.terminate()
        while not is_connection_refused(limiter):
            pass
        with pytest.raises(subprocess.TimeoutExpired):
            limiter.process.wait(LINGER_TIMEOUT + 0.5)  # the client reads nothing for longer than the close may linger
        assert client.makefile("rb").read() == resp.bulk(LARGE_VALUE)
        client.close()
        assert limiter.process.wait(PATIENCE) == 0


def close_with_undelivered_response(network: InMemoryNetwork) -> Any:
    """Return a client's connection whose write side is closed while the kernel holds bytes for the client."""
    _, client = make_limiter_with_client(network)
    client.dataReceived(request(1))
    client.transport.handle.unacknowledged_bytes = 1000
    network.complete_dial(-1).dataReceived(SERVED)
    client.finish()
    assert client.transport.handle.is_half_closed
    return client


def test_connection_stays_open_when_its_client_takes_its_response_slowly(network: InMemoryNetwork) -> None:
    # Guards against a time-out that starts when the kernel, and not the client's machine, has the response.
    client = close_with_undelivered_response(network)
    while client.transport.handle.unacknowledged_bytes:
        client.transport.handle.unacknowledged_bytes -= 100
        network.reactor.pump([0.1] * int(5.0 / 0.1))
        assert not client.aborted
        assert client.transport.disconnecting == (not client.transport.handle.unacknowledged_bytes)


def test_connection_is_aborted_when_its_client_takes_nothing(network: InMemoryNetwork) -> None:
    # Guards against a client that does not read its response and keeps its connection forever.
    client = close_with_undelivered_response(network)
    network.reactor.pump([0.1] * int(WRITE_STALL_TIMEOUT / 0.1 - 2))
    assert not client.aborted
    network.reactor.pump([0.1] * 5)
    assert client.aborted


def test_all_queued_connections_are_accepted_when_the_listener_is_about_to_close(network: InMemoryNetwork) -> None:
    limiter = make_limiter(network, 256)
    waiting = list(range(7))
    accepted = list[Any]()

    class Port:
        """Accepts one connection in each turn, as a port does that was idle before."""

        def getHost(self) -> Any:
            return type("Host", (), {"host": "127.0.0.1", "port": 1})

        def doRead(self) -> None:
            if waiting:
                waiting.pop()
                accepted.append(network.connect_protocol(limiter.frontend.buildProtocol(None)))

        def stopListening(self) -> None:
            assert not waiting
            assert len(accepted) == 7

    lifecycle = limiter.lifecycle
    lifecycle.phase = Phase.SERVING
    lifecycle.port = Port()
    lifecycle.terminate(0.0)
    network.reactor.advance(0.01)
    assert len(accepted) == 7
    assert not any(client.transport.handle.is_half_closed for client in accepted)


def test_request_after_sigterm_is_answered_when_sigkill_may_soon_follow(network: InMemoryNetwork) -> None:
    limiter, client = make_limiter_with_client(network)
    lifecycle = limiter.lifecycle
    lifecycle.phase = Phase.SERVING
    lifecycle.terminate()
    terminated_at = clock.now()
    client.dataReceived(request(1, wait=60000))
    backend = network.complete_dial(len(network.reactor.tcpClients) - 1)
    assert backend.transport.value()
    while not client.transport.value().startswith(b"-BUSY"):  # the backend sends nothing
        network.reactor.advance(0.05)
    assert clock.now() - terminated_at < TERMINATION_LINGER + MAX_AWAITED_DEADLINE
    assert backend.closed


def begin_drain(network: InMemoryNetwork, kind: str) -> tuple[Any, Any, InMemoryBackends]:
    """Return a draining limiter, a client with request 1 open, and the backends."""
    limiter, client = make_limiter_with_client(network)
    limiter.lifecycle.phase = Phase.SERVING
    limiter.lifecycle.port = FakePort()
    client.dataReceived(request(1, wait=2000))
    if kind == "SIGTERM":
        limiter.lifecycle.terminate()
    elif kind == "handover":
        limiter.lifecycle.on_handed_over()
    else:
        limiter.lifecycle.on_command(OperatorCommand.EVACUATE)
    network.reactor.pump([0.1] * 10)
    assert limiter.frontend.is_draining
    return limiter, client, InMemoryBackends(network)


DRAINS = ["SIGTERM", "evacuate", "handover"]


@pytest.mark.parametrize("kind", DRAINS)
@pytest.mark.parametrize("is_first_answered_first", [False, True])
def test_requests_are_answered_until_their_draining_connection_is_idle(
    network: InMemoryNetwork, kind: str, is_first_answered_first: bool
) -> None:
    # Guards against a request that is read and dropped while an earlier one is open, for each kind of drain.
    _, client, backends = begin_drain(network, kind)
    client.dataReceived(request(2))
    for number in (1, 2) if is_first_answered_first else (2, 1):
        assert not client.transport.handle.is_half_closed
        backends.find(number).dataReceived(SERVED)
    assert client.transport.value() == 2 * resp.bulk(b"value")
    assert client.transport.handle.is_half_closed


@pytest.mark.parametrize("kind", DRAINS)
def test_draining_connection_stays_open_when_bytes_wait_unread_behind_the_last_response(
    network: InMemoryNetwork, kind: str
) -> None:
    # Guards against a close between the arrival of a request and its reading.
    _, client, backends = begin_drain(network, kind)
    client.transport.handle.unread = request(2)
    backends.find(1).dataReceived(SERVED)
    assert not client.transport.handle.is_half_closed
    client.transport.handle.unread = b""
    client.dataReceived(request(2))
    backends.find(2).dataReceived(SERVED)
    assert client.transport.value() == 2 * resp.bulk(b"value")
    assert client.transport.handle.is_half_closed


@pytest.mark.parametrize("kind", DRAINS)
def test_request_is_answered_when_it_comes_while_a_draining_client_reads_slowly(
    network: InMemoryNetwork, kind: str
) -> None:
    # Guards against dropping what is read while the last response waits for its client, before the write side is shut.
    _, client, backends = begin_drain(network, kind)
    client.transport.handle.max_bytes = 0
    backends.find(1).dataReceived(SERVED)
    client.dataReceived(request(2))
    assert not client.transport.handle.is_half_closed
    client.transport.handle.max_bytes = KERNEL_BUFFER_BYTES
    client.resumeProducing()
    network.reactor.pump([0.1] * 2)
    backends.find(2).dataReceived(SERVED)
    assert client.transport.value() == 2 * resp.bulk(b"value")
    assert client.transport.handle.is_half_closed


def test_client_that_always_has_a_request_open_is_disconnected_before_sigkill(network: InMemoryNetwork) -> None:
    # Guards against a connection that is never idle: SIGKILL would find requests that are not answered.
    _, client, backends = begin_drain(network, "SIGTERM")
    sent_count = 1
    while not client.transport.handle.is_half_closed:
        sent_count += 1
        client.dataReceived(request(sent_count, wait=2000))
        network.reactor.pump([0.1] * 2)
        backends.complete_dials()  # no backend replies
        assert network.reactor.seconds() < TERMINATION_LINGER + MAX_AWAITED_DEADLINE
    replies, _ = resp.Parser().feed(client.transport.value())
    assert len(replies) == sent_count


def test_connection_is_served_on_when_an_evacuated_limiter_is_activated(network: InMemoryNetwork) -> None:
    # Guards against a connection that stays marked for closing, because it was busy when the drain began.
    limiter, client, backends = begin_drain(network, "evacuate")
    limiter.lifecycle.on_command(OperatorCommand.ACTIVATE)
    backends.find(1).dataReceived(SERVED)
    client.dataReceived(request(2))
    backends.find(2).dataReceived(SERVED)
    assert client.transport.value() == 2 * resp.bulk(b"value")
    assert not client.transport.handle.is_half_closed


def test_request_is_answered_before_sigkill_when_an_earlier_one_may_wait_longer(network: InMemoryNetwork) -> None:
    # Guards against a response that is ready in time and waits, until SIGKILL, for a request from before SIGTERM.
    limiter, client = make_limiter_with_client(network)
    limiter.lifecycle.phase = Phase.SERVING
    client.dataReceived(request(1, wait=20_000))
    limiter.lifecycle.terminate()
    network.reactor.pump([0.1] * 10)
    client.dataReceived(request(2, wait=20_000))
    backends = InMemoryBackends(network)
    backends.find(2).dataReceived(SERVED)
    network.reactor.pump([0.1] * int((TERMINATION_LINGER + MAX_AWAITED_DEADLINE - 1.0) / 0.1 - 1))
    assert client.transport.value() == b"-ERR failed\r\n" + resp.bulk(b"value")
    assert client.transport.handle.is_half_closed
    assert limiter.dispatcher.open_count() == 0


def test_request_from_before_sigterm_keeps_its_time_when_no_request_came_after_it(network: InMemoryNetwork) -> None:
    # Guards against failing a request at the earliest SIGKILL, though nothing is lost by waiting for it.
    limiter, client = make_limiter_with_client(network)
    limiter.lifecycle.phase = Phase.SERVING
    client.dataReceived(request(1, wait=20_000))
    limiter.lifecycle.terminate()
    network.reactor.pump([0.1] * int((TERMINATION_LINGER + MAX_AWAITED_DEADLINE) / 0.1))
    InMemoryBackends(network).find(1).dataReceived(SERVED)
    assert client.transport.value() == resp.bulk(b"value")


def test_client_that_never_stops_sending_is_disconnected_before_sigkill(network: InMemoryNetwork) -> None:
    # Guards against commands that are read until SIGKILL, so that the last ones are never answered.
    _, client, backends = begin_drain(network, "SIGTERM")
    client.transport.handle.unread = request(0)  # there is always more to read
    backends.find(1).dataReceived(SERVED)
    sent_count = 1
    while not client.transport.handle.is_half_closed:
        if client.transport.producerState == "producing":
            sent_count += 1
            client.dataReceived(request(sent_count))
        network.reactor.pump([0.02] * 5)
        backends.complete_dials()
        assert network.reactor.seconds() < TERMINATION_LINGER + MAX_AWAITED_DEADLINE
    replies, _ = resp.Parser().feed(client.transport.value())
    assert len(replies) == sent_count
    assert client.transport.producerState == "paused"  # later commands stay unread, and are not dropped
