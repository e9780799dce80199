"""Connections that share the turns of the reactor with a connection that is lost or fails.

The tests guard against a connection that waits for good because the one before it has gone.
"""

from __future__ import annotations

from typing import Any

import pytest

from tests.limiter import command, request
from tests.network_support import InMemoryNetwork, make_limiter_with_client, make_served_reply, network
from thymeflow.frontend.client_connection import MAX_COMMANDS_PER_TURN
from thymeflow.frontend.frontend import SWEEP_INTERVAL
from thymeflow.frontend.input_scheduler import InputScheduler
from thymeflow.frontend.timeouts import COMMAND_TIMEOUT
from thymeflow.limiter.assembly import Limiter
from thymeflow.transport import resp

__all__ = ["network"]

MANY_COMMANDS = 3 * MAX_COMMANDS_PER_TURN  # more than one turn executes
PING = command(b"PING")
PONG = b"+PONG\r\n"


def lose_connection(client: Any) -> None:
    """End a client's connection, after which its transport has no socket, like Twisted's."""

    def get_missing_handle() -> Any:
        message = "the transport has no socket"
        raise AttributeError(message)

    client.transport.getHandle = get_missing_handle
    client.connectionLost()


def connect_client(network: InMemoryNetwork, limiter: Limiter) -> Any:
    """Return the connection of another client."""
    return network.connect_protocol(limiter.frontend.buildProtocol(None))


def count_submitted(limiter: Limiter) -> int:
    """Return the number of requests that were submitted; some of them are rejected at once for their quota."""
    return limiter.dispatcher.open_count() + sum(limiter.dispatcher.response_counts.values())


@pytest.mark.parametrize("lost_count", [1, 2, 7])
def test_commands_are_executed_when_connections_before_theirs_were_lost(
    network: InMemoryNetwork, lost_count: int
) -> None:
    # Guards against a lost connection whose waiting commands end the turn of all connections behind it.
    limiter, _ = make_limiter_with_client(network)
    limiter.lifecycle.on_endpoints_known()
    lost = [connect_client(network, limiter) for _ in range(lost_count)]
    waiting = [connect_client(network, limiter) for _ in range(3)]
    for client in [*lost, *waiting]:
        client.dataReceived(command(b"ECHO") * MANY_COMMANDS + PING)
    for client in lost:
        lose_connection(client)
    network.reactor.pump([0.01] * 10)
    for client in waiting:
        assert client.transport.value().count(b"-ERR unknown command") == MANY_COMMANDS
        assert client.transport.value().endswith(b"\r\n")


def test_requests_are_answered_when_a_connection_before_theirs_was_lost(network: InMemoryNetwork) -> None:
    # Guards against requests of other clients that wait for good behind a bad client that sends much and goes.
    limiter, client = make_limiter_with_client(network)
    bad_client = connect_client(network, limiter)
    bad_client.dataReceived(command(b"ECHO") * MANY_COMMANDS)
    client.dataReceived(b"".join(request(number) for number in range(MAX_COMMANDS_PER_TURN + 1)))
    lose_connection(bad_client)
    network.reactor.pump([0.01] * 3)
    assert count_submitted(limiter) == MAX_COMMANDS_PER_TURN + 1
    backend = network.complete_dial(-1)
    while limiter.dispatcher.open_count():
        backend.dataReceived(make_served_reply(b"value"))
    replies, _ = resp.Parser().feed(client.transport.value())
    assert len(replies) == MAX_COMMANDS_PER_TURN + 1


def test_commands_of_an_evicted_connection_are_not_executed(network: InMemoryNetwork) -> None:
    # Guards against requests that are forwarded for a client whose connection is closed in the next turn.
    limiter, client = make_limiter_with_client(network)
    client.dataReceived(b"".join(request(number) for number in range(MAX_COMMANDS_PER_TURN + 1)))
    client.evict()
    network.reactor.pump([0.01] * 3)
    assert count_submitted(limiter) == MAX_COMMANDS_PER_TURN


class FailingSource:
    """A connection of which the commands can't be executed."""

    def __init__(self) -> None:
        self.errors: list[Exception] = []

    def process_input(self) -> None:
        """Raise an error."""
        raise ZeroDivisionError

    def on_fault(self, error: Exception) -> None:
        """Record the error."""
        self.errors.append(error)


class CountingSource:
    """A connection that counts its turns."""

    def __init__(self) -> None:
        self.turn_count = 0

    def process_input(self) -> None:
        """Count the call."""
        self.turn_count += 1

    def on_fault(self, error: Exception) -> None:
        """Fail, because this source has no fault."""
        raise AssertionError from error


def test_sources_get_their_turn_when_one_before_them_fails(network: InMemoryNetwork) -> None:
    # Guards against any error of one connection that leaves the others in a queue which nobody runs.
    scheduler = InputScheduler(network.deadlines)
    failing, counting = FailingSource(), CountingSource()
    scheduler.add(failing)
    scheduler.add(counting)
    network.reactor.pump([0.01] * 2)
    assert counting.turn_count == 1
    assert [type(error) for error in failing.errors] == [ZeroDivisionError]


def test_timeouts_are_enforced_when_the_check_of_another_connection_fails(
    network: InMemoryNetwork, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a sweep that is never repeated, after which no connection is timed out or woken any more.
    limiter, failing = make_limiter_with_client(network)
    silent = connect_client(network, limiter)

    def fail(now: float, idle_timeout: float) -> None:
        raise ZeroDivisionError

    failing.enforce_timeouts = fail
    network.reactor.pump([SWEEP_INTERVAL] * int(COMMAND_TIMEOUT / SWEEP_INTERVAL + 10))
    assert failing.aborted
    assert silent.transport.handle.is_half_closed
    assert "client connection fault" in caplog.text


def test_other_connections_are_drained_when_one_fails(network: InMemoryNetwork) -> None:
    # Guards against a drain that ends at the first connection with an error.
    limiter, failing = make_limiter_with_client(network)
    idle = connect_client(network, limiter)
    for client in (failing, idle):
        client.dataReceived(PING)

    def fail() -> None:
        raise ZeroDivisionError

    failing.finish = fail
    limiter.frontend.drain()
    assert failing.aborted
    assert idle.transport.handle.is_half_closed
