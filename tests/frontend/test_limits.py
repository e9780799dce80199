"""The limits of client connections.

The tests guard against silent clients that use all connections, and against a process and its predecessor that together
exceed the limits of one process during a handover.
"""

from __future__ import annotations

import pytest

from tests.limiter import command, request
from tests.network_support import (
    KERNEL_BUFFER_BYTES,
    InMemoryBackends,
    InMemoryNetwork,
    make_limiter,
    make_limiter_with_client,
    make_served_reply,
    network,
)
from thymeflow.limiter.assembly import MIN_CONNECTIONS
from thymeflow.transport import resp

__all__ = ["network"]


def test_client_is_accepted_when_all_connections_are_taken_by_silent_ones(network: InMemoryNetwork) -> None:
    frontend = make_limiter(network, 64).frontend
    # These are all the connections that the limiter accepts.
    silent_clients = [network.connect_protocol(frontend.buildProtocol(None)) for _ in range(16)]
    network.reactor.advance(0.04)
    assert frontend.buildProtocol(None) is None  # the silent clients may be about to ask for something
    network.reactor.advance(0.02)
    ordinary_client = network.connect_protocol(frontend.buildProtocol(None))
    ordinary_client.dataReceived(command(b"PING"))
    assert ordinary_client.transport.value()
    assert silent_clients[0].transport.disconnected
    assert not any(client.transport.disconnected for client in silent_clients[1:])


@pytest.mark.parametrize("open_connections", [0, 50, 150, 1000])
def test_both_processes_stay_within_the_limits_of_one_when_a_predecessor_runs(
    network: InMemoryNetwork, open_connections: int
) -> None:
    limiter = make_limiter(network, 256)

    def read_budgets() -> tuple[int, ...]:
        frontend, dispatcher = limiter.frontend, limiter.dispatcher
        return (
            frontend._max_clients,
            limiter.backends._max_connections,
            frontend.response_memory.max_bytes,
            frontend._max_unfinished_input_bytes,
            frontend.body_memory.max_bytes,
            frontend.read_ahead_memory.max_bytes,
            dispatcher._requests._memory_limit,
        )

    alone = read_budgets()
    limiter.share_limits_with_predecessor(open_connections)
    both = read_budgets()
    assert both[0] + both[1] + open_connections <= sum(alone[:2]) or both[0] + both[1] == MIN_CONNECTIONS
    assert all(2 * part <= whole + 1 for part, whole in zip(both[2:], alone[2:], strict=True))
    limiter.share_limits_with_predecessor(None)
    assert read_budgets() == alone


LARGE_VALUE = b"v" * 40_000
LARGE_RESPONSE = resp.bulk(LARGE_VALUE)


def test_waiting_response_becomes_an_error_when_the_memory_for_responses_is_full(network: InMemoryNetwork) -> None:
    # Guards against closing a connection with open requests, and a client that pays for another's responses.
    limiter, greedy = make_limiter_with_client(network)
    modest = network.connect_protocol(limiter.frontend.buildProtocol(None))
    greedy.dataReceived(request(1) + request(2))
    modest.dataReceived(request(3))
    modest.transport.handle.max_bytes = 0
    limiter.frontend.response_memory.set_max_bytes(60_000)
    backends = InMemoryBackends(network)
    for number in (2, 3, 1):
        backends.find(number).dataReceived(make_served_reply(LARGE_VALUE))
    assert not greedy.is_evicted
    assert not modest.is_evicted
    assert greedy.transport.value() == LARGE_RESPONSE + b"-ERR failed\r\n"
    assert modest.transport.value() == LARGE_RESPONSE


def test_newest_responses_of_a_slow_reader_become_errors_when_the_memory_is_full(network: InMemoryNetwork) -> None:
    # Guards against closing the connection of a client that reads slowly and has open requests.
    limiter, client = make_limiter_with_client(network)
    client.dataReceived(b"".join(request(number) for number in range(1, 6)))
    client.transport.handle.max_bytes = 0
    limiter.frontend.response_memory.set_max_bytes(150_000)
    backends = InMemoryBackends(network)
    for number in (2, 3, 4, 5, 1):
        backends.find(number).dataReceived(make_served_reply(LARGE_VALUE))
    assert not client.is_evicted
    client.transport.handle.max_bytes = KERNEL_BUFFER_BYTES
    client.resumeProducing()
    assert client.transport.value() == 3 * LARGE_RESPONSE + 2 * b"-ERR failed\r\n"
    assert limiter.frontend.response_memory.used_bytes == 0


def test_client_with_the_most_pending_bytes_is_closed_when_no_response_waits(network: InMemoryNetwork) -> None:
    # Guards against closing a client that has only its own response to expect.
    limiter, modest = make_limiter_with_client(network)
    greedy = network.connect_protocol(limiter.frontend.buildProtocol(None))
    limiter.frontend.response_memory.set_max_bytes(60_000)
    backends = InMemoryBackends(network)
    for client, number, value in ((modest, 1, b"v"), (greedy, 2, LARGE_VALUE + LARGE_VALUE[:22_000])):
        client.dataReceived(request(number))
        client.transport.handle.max_bytes = 0
        backends.find(number).dataReceived(make_served_reply(value))
    assert greedy.is_evicted
    assert not modest.is_evicted
