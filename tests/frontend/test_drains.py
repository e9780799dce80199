"""Requests that arrive while the limiter drains or closes a connection.

The tests guard against a request or response that is lost because a client's command crosses the limiter's close.
"""

from __future__ import annotations

import select
from pathlib import Path
from typing import Any

from tests.limiter import PATIENCE, Limiter, command, is_connection_refused, request
from tests.network_support import (
    InMemoryNetwork,
    make_limiter,
    make_limiter_with_client,
    make_served_reply,
    network,
)
from thymeflow.frontend.timeouts import IDLE_TIMEOUT, LINGER_TIMEOUT
from thymeflow.limiter.lifecycle import MAX_AWAITED_DEADLINE, TERMINATION_LINGER
from thymeflow.limiter.phases import Phase
from thymeflow.runtime import clock

SERVED = make_served_reply(b"value")


__all__ = ["network"]


def test_open_response_arrives_when_another_request_crosses_the_close_of_a_drain(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        client.send(request(1))
        backend = limiter.backends[0].accept()
        backend.read_command()
        limiter.terminate()
        while not is_connection_refused(limiter):
            pass
        client.send(request(2))  # it is pipelined after the first request, and not read before the close
        backend.send(SERVED)
        assert client.read_bulk() == b"value"
        assert client.file.read(1) == b""  # the connection was closed and not reset
        reset = select.poll()
        reset.register(client.sock, 0)
        assert not reset.poll(200)
        client.send(request(3))  # the client's side of the connection stays open for a moment
        assert backend.is_closed_by_peer()
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
