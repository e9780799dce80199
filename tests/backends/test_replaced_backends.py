"""New processes at the addresses of earlier ones."""

from __future__ import annotations

import pytest

from tests.limiter import request
from tests.network_support import InMemoryNetwork, make_limiter_with_client, make_served_reply, network
from thymeflow.limiter.assembly import Limiter
from thymeflow.platform.endpoints import parse_endpoint_update

__all__ = ["network"]


def build_entry(number: int, port: int, started_at_ms: int = 0) -> dict[str, object]:
    return {
        "instanceId": f"s-{number:08x}",
        "hostPort": f"127.0.0.1:{port}",
        "lifecycle": "active",
        "startedAtMs": started_at_ms,
    }


def apply_change(limiter: Limiter, *entries: dict[str, object]) -> None:
    update = parse_endpoint_update({"generation": 2, "reset": False, "instances": entries})
    limiter.on_endpoints_changed(update)


def test_earlier_backend_gets_no_request_when_another_one_comes_up_at_its_address(network: InMemoryNetwork) -> None:
    # Guards against taking a new process for the one that had its address before.
    limiter, client = make_limiter_with_client(network)
    client.dataReceived(request(1))
    backend = network.complete_dial(-1)
    backend.dataReceived(make_served_reply(b"v"))
    apply_change(limiter, build_entry(2, 9))
    assert backend.closed
    assert list(limiter.gateway.backends) == [2]
    for number in range(2, 30):
        client.dataReceived(request(number))
    assert list(limiter.backends.get_addresses()) == [2]
    apply_change(limiter, build_entry(1, 10))
    assert sorted(limiter.gateway.backends) == [1, 2]


@pytest.mark.parametrize("is_restarted", [True, False])
def test_idle_connection_is_closed_when_its_backend_has_started_again(
    network: InMemoryNetwork, is_restarted: bool
) -> None:
    limiter, client = make_limiter_with_client(network)
    client.dataReceived(request(1))
    backend = network.complete_dial(-1)
    backend.dataReceived(make_served_reply(b"v"))
    apply_change(limiter, build_entry(1, 9, 1000 if is_restarted else 0))
    assert backend.closed is is_restarted
