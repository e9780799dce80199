"""Clients that leave in each state of their requests.

The tests guard against an attempt that is sent or continued for a client that has left. Some tests stop the process
meanwhile, so that it finds several events in one turn and does not know their order.
"""

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
from thymeflow.frontend.client_connection import MAX_PIPELINED_COMMANDS
from thymeflow.frontend.command_input import MAX_READ_AHEAD_BYTES

# After this reply, a request of a class that is safe to repeat gets another attempt, unless its client has left.
ERROR = b"-ERR failed\r\n"


__all__ = ["network"]


def run_while_stopped(limiter: Limiter, action: Callable[[], None]) -> None:
    """Run an action while the limiter's process is stopped, so that it finds all effects in one turn."""
    limiter.process.send_signal(signal.SIGSTOP)
    action()
    limiter.process.send_signal(signal.SIGCONT)


def test_request_is_not_forwarded_when_its_client_has_left_before_it_is_read(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        other = limiter.connect()
        backend = limiter.serve_request(other, 1)  # an idle connection, over which a request could be sent at once
        limiter.serve_request(client, 2, backend)

        def leave() -> None:
            client.send(request(3))
            client.close()

        run_while_stopped(limiter, leave)
        limiter.wait_for_reply(b"+PONG", command(b"PING"))
        limiter.serve_request(other, 4, backend)  # the backend receives this request next


@pytest.mark.parametrize("reset", [False, True])
def test_no_retry_begins_when_the_client_left_in_the_same_turn(tmp_path: Path, reset: bool) -> None:
    with Limiter(tmp_path, backend_count=2) as limiter:
        client = limiter.connect()
        client.send(request(1))
        number = 1 if limiter.backends[0].has_no_connection(0.5) else 0
        backend = limiter.backends[number].accept()
        backend.read_command()

        if reset:
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

        def leave() -> None:
            backend.send(ERROR)
            client.close()

        run_while_stopped(limiter, leave)
        limiter.wait_for_reply(b"+PONG", command(b"PING"))
        assert limiter.backends[1 - number].has_no_connection(0.0)
        assert limiter.backends[number].has_no_connection(0.0)


def test_attempt_is_not_written_when_its_connection_comes_up_as_the_client_leaves(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        other = limiter.connect()
        listener = limiter.backends[0].sock
        listener.listen(0)
        # These connections fill the queue of the listener, so that no other connection is made.
        filling = [socket.socket() for _ in range(2)]
        for sock in filling:
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        client.send(request(1))
        # The first PING may be answered in the turn that reads the request; the reactor connects in the next one.
        for _ in range(2):
            limiter.wait_for_reply(b"+PONG", command(b"PING"))
        accepted: list[Peer] = []

        def accept_and_leave() -> None:
            ports = {sock.getsockname()[1] for sock in filling}
            listener.listen(100)  # the queue takes all connections that are tried again
            while not accepted:  # the kernel tries to connect again about once a second
                peer = limiter.backends[0].accept()
                if peer.sock.getpeername()[1] in ports:
                    peer.close()
                else:
                    accepted.append(peer)
            client.close()

        run_while_stopped(limiter, accept_and_leave)
        limiter.serve_request(other, 2, accepted[0])  # no other request was written before this one
        for sock in filling:
            sock.close()


def test_client_that_leaves_is_detected_while_draining(tmp_path: Path) -> None:
    with Limiter(tmp_path, backend_count=2) as limiter:
        client = limiter.connect()
        client.send(request(1, wait=60000))  # the deadline is later than the timeout of the test
        number = 1 if limiter.backends[0].has_no_connection(0.5) else 0
        backend = limiter.backends[number].accept()
        backend.read_command()
        limiter.terminate()
        while not is_connection_refused(limiter):
            pass

        def leave() -> None:
            client.send(request(2))  # a draining connection is read, and this comes together with the close
            client.close()

        run_while_stopped(limiter, leave)
        assert backend.is_closed_by_peer()  # the attempt is cancelled, because the client has left
        assert limiter.process.wait(PATIENCE) == 0
        assert limiter.backends[0].has_no_connection(0.0)
        assert limiter.backends[1].has_no_connection(0.0)


def test_waiting_commands_are_dropped_when_a_client_leaves_that_is_still_read_from(network: InMemoryNetwork) -> None:
    # A client is read from while its commands wait, because its close follows them.
    limiter, client = make_limiter_with_client(network)
    client.dataReceived(b"".join(request(n) for n in range(1, 500)))
    network.reactor.advance(0.11)
    assert client._pace.is_reading
    open_count = limiter.dispatcher.open_count()
    assert 0 < open_count <= MAX_PIPELINED_COMMANDS
    client.connectionLost()
    network.reactor.advance(0.11)
    assert limiter.dispatcher.open_count() == 0


@pytest.mark.parametrize("cause", ["answers not taken", "told to end"])
def test_attempts_are_cancelled_when_a_client_leaves_while_it_is_not_read_from(
    network: InMemoryNetwork, cause: str
) -> None:
    limiter, client = make_limiter_with_client(network)
    if cause == "answers not taken":
        client.transport.handle.max_bytes = 0
        client.dataReceived(command(b"PING") + request(1))
        ping = command(b"PING")
        client.dataReceived(ping * (MAX_READ_AHEAD_BYTES // len(ping) + 1))  # more than may wait
    else:
        client.dataReceived(request(1))
        client.finish()
    assert not client._pace.is_reading
    assert not client.aborted
    network.reactor.advance(0.11)
    assert not client.aborted
    client.transport.handle.is_peer_closed = True
    network.reactor.advance(0.11)
    assert client.aborted
    client.connectionLost()
    assert limiter.dispatcher.open_count() == 0
