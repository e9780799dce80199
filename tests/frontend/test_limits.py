"""The limits of client connections.

The tests guard against silent clients that use all connections, and against a process and its predecessor that together
exceed the limits of one process during a handover.
"""

from __future__ import annotations

from typing import Any

import pytest

from tests.limiter import command, request
from tests.network_support import (
    InMemoryNetwork,
    make_limiter,
    make_limiter_with_client,
    make_served_reply,
    network,
    parse_command,
)
from thymeflow.limiter.assembly import MIN_CONNECTIONS

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


def test_client_with_the_most_pending_bytes_is_closed_when_the_memory_for_responses_is_full(
    network: InMemoryNetwork,
) -> None:
    # Guards against closing a client that has only its own response to expect.
    limiter, greedy = make_limiter_with_client(network)
    modest = network.connect_protocol(limiter.frontend.buildProtocol(None))
    greedy.dataReceived(request(1) + request(2))
    modest.dataReceived(request(3))
    backends: list[Any] = []
    limiter.frontend.response_memory.set_max_bytes(1500)
    for number in range(-3, 0):
        backend = network.complete_dial(number)
        if parse_command(backend.transport.value())[2] != b"%016x" % 1:  # the first one stays open
            backends.append(backend)
    modest.transport.handle.max_bytes = 0
    for backend in sorted(backends, key=lambda peer: parse_command(peer.transport.value())[2]):
        backend.dataReceived(make_served_reply(b"v" * 1000))
    assert greedy.is_evicted
    assert not modest.is_evicted
