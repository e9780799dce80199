"""Clients that leave, in each state of their requests."""

from __future__ import annotations

import signal
import socket
import struct
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.limiter import PATIENCE, Limiter, Peer, command, is_connection_refused, request
from tests.network_support import (
    InMemoryNetwork,
    make_limiter_with_client,
    network,
)

ERROR = b"-ERR failed\r\n"  # of a class that is safe to repeat: another pass follows while somebody waits


__all__ = ["network"]


def stopped(limiter: Limiter, happens: Callable[[], None]) -> None:
    """What happens while the process does not run: it finds all of it in one turn."""
    limiter.process.send_signal(signal.SIGSTOP)
    happens()
    limiter.process.send_signal(signal.SIGCONT)


def test_request_is_not_forwarded_when_its_client_has_left_before_it_is_read(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        other = limiter.connect()
        server = limiter.serve_request(other, 1)  # a warm connection, to which it could be written at once
        limiter.serve_request(client, 2, server)

        def leaves() -> None:
            client.send(request(3))
            client.close()

        stopped(limiter, leaves)
        limiter.wait_for_reply(b"+PONG", command(b"PING"))
        limiter.serve_request(other, 4, server)  # what comes next at the server is this one


@pytest.mark.parametrize("reset", [False, True])
def test_no_retry_begins_when_the_client_left_in_the_same_turn(tmp_path: Path, reset: bool) -> None:
    with Limiter(tmp_path, backend_count=2) as limiter:
        client = limiter.connect()
        client.send(request(1))
        number = 1 if limiter.backends[0].has_no_connection(0.5) else 0
        server = limiter.backends[number].accept()
        server.read_command()

        if reset:
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

        def leaves() -> None:
            server.send(ERROR)
            client.close()

        stopped(limiter, leaves)
        limiter.wait_for_reply(b"+PONG", command(b"PING"))
        assert limiter.backends[1 - number].has_no_connection(0.0)
        assert limiter.backends[number].has_no_connection(0.0)


def test_attempt_is_not_written_when_its_connection_comes_up_as_the_client_leaves(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        other = limiter.connect()
        listener = limiter.backends[0].sock
        listener.listen(0)
        filling = [socket.socket() for _ in range(2)]  # its queue is full: nobody else comes up
        for sock in filling:
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        client.send(request(1))
        # The first PING may be answered in the turn that reads the request; the reactor connects in the next one.
        for _ in range(2):
            limiter.wait_for_reply(b"+PONG", command(b"PING"))
        server: list[Peer] = []

        def comes_up_and_leaves() -> None:
            ports = {sock.getsockname()[1] for sock in filling}
            listener.listen(100)  # room for all that knock again
            while not server:  # the kernel tries again, about once a second
                peer = limiter.backends[0].accept()
                if peer.sock.getpeername()[1] in ports:
                    peer.close()
                else:
                    server.append(peer)
            client.close()

        stopped(limiter, comes_up_and_leaves)
        limiter.serve_request(other, 2, server[0])  # nothing was written before it
        for sock in filling:
            sock.close()


def test_client_that_leaves_is_detected_when_it_is_not_read_from_while_draining(tmp_path: Path) -> None:
    with Limiter(tmp_path, backend_count=2) as limiter:
        client = limiter.connect()
        client.send(request(1, wait=60000))  # its deadline comes after the test's patience
        number = 1 if limiter.backends[0].has_no_connection(0.5) else 0
        server = limiter.backends[number].accept()
        server.read_command()
        limiter.terminate()
        while not is_connection_refused(limiter):
            pass
        client.send(request(2))  # unread, and so is the end behind it
        client.close()
        assert server.is_closed_by_peer()  # nobody waits for it any more
        assert limiter.process.wait(PATIENCE) == 0
        assert limiter.backends[0].has_no_connection(0.0)
        assert limiter.backends[1].has_no_connection(0.0)


@pytest.mark.parametrize("way", ["many commands", "answers not taken", "told to end"])
def test_attempts_are_cancelled_when_a_client_leaves_while_it_is_not_read_from(
    network: InMemoryNetwork, way: str
) -> None:
    limiter, client = make_limiter_with_client(network)
    if way == "many commands":
        client.dataReceived(b"".join(request(n) for n in range(1, 70)))
    elif way == "answers not taken":
        client.transport.handle.max_bytes = 0
        client.dataReceived(command(b"PING") + request(1))
    else:
        client.dataReceived(request(1))
        client.finish()
    assert not client._is_reading
    assert not client.aborted
    network.reactor.advance(0.11)
    assert not client.aborted
    client.transport.handle.departed = True
    network.reactor.advance(0.11)
    assert client.aborted
    client.connectionLost()
    assert limiter.dispatcher.open_count() == 0
