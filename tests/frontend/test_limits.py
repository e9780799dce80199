"""The limits of client connections.

The tests guard against silent clients that use all connections, and against a process and its predecessor that together
exceed the limits of one process during a handover.
"""

from __future__ import annotations

import pytest

from tests.limiter import command
from tests.network_support import InMemoryNetwork, make_limiter, network
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
