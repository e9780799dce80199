"""Commands that wait for the memory that the responses of all clients share.

The tests guard against a client that waits for good because the one whose bytes filled the memory has gone, or because
bytes are counted that nobody holds.
"""

from __future__ import annotations

from typing import Any

import pytest

from tests.limiter import command, request
from tests.network_support import (
    InMemoryBackends,
    InMemoryNetwork,
    make_limiter_with_client,
    make_served_reply,
    network,
)
from thymeflow.frontend.frontend import SWEEP_INTERVAL
from thymeflow.limiter.assembly import Limiter
from thymeflow.limiter.phases import Phase
from thymeflow.transport import resp

__all__ = ["network"]

VALUE = b"v" * (2 * resp.MAX_VALUE)
LONG_REPLY = make_served_reply(VALUE)
SERVED = make_served_reply(b"value")
SERVED_RESPONSE = resp.bulk(b"value")


def connect_client(network: InMemoryNetwork, limiter: Limiter) -> Any:
    """Return the connection of another client."""
    return network.connect_protocol(limiter.frontend.buildProtocol(None))


def fill_memory(network: InMemoryNetwork, limiter: Limiter, backends: InMemoryBackends) -> Any:
    """Let a client reserve all memory that can be reserved, and return its connection."""
    memory = limiter.frontend.response_memory
    client = connect_client(network, limiter)
    client.dataReceived(request(101) + request(102))
    backends.find(102).dataReceived(LONG_REPLY[:1000])
    memory.set_max_bytes(2 * len(VALUE))
    assert memory.reserved_bytes == len(VALUE)
    assert not memory.has_capacity()
    return client


@pytest.mark.parametrize("value", [b"value", VALUE])
@pytest.mark.parametrize("is_read_slowly", [False, True])
def test_no_bytes_are_pending_when_a_response_was_read(
    network: InMemoryNetwork, value: bytes, is_read_slowly: bool
) -> None:
    # Guards against the head of a long response that counts as pending for as long as its connection lasts.
    limiter, client = make_limiter_with_client(network)
    client.dataReceived(request(1))
    backend = InMemoryBackends(network).find(1)
    if is_read_slowly:
        client.transport.handle.max_bytes = 1
    backend.dataReceived(make_served_reply(value))
    client.transport.handle.max_bytes = len(VALUE)
    client.resumeProducing()
    assert client.transport.value() == resp.bulk(value)
    assert client.get_pending_bytes() == 0
    assert limiter.frontend.response_memory.used_bytes == 0


def test_request_is_executed_when_the_memory_is_full_after_a_long_response_was_read(network: InMemoryNetwork) -> None:
    # Guards against a client without open requests that waits for memory which other clients have filled.
    limiter, client = make_limiter_with_client(network)
    backends = InMemoryBackends(network)
    client.dataReceived(request(1))
    backends.find(1).dataReceived(LONG_REPLY)
    fill_memory(network, limiter, backends)
    client.dataReceived(command(b"ECHO") + request(2))
    assert client.transport.value().startswith(resp.bulk(VALUE) + b"-ERR unknown command")
    network.reactor.pump([0.0])
    backends.find(2).dataReceived(SERVED)
    assert client.transport.value().endswith(SERVED_RESPONSE)


@pytest.mark.parametrize("has_left", [False, True])
def test_waiting_request_is_executed_when_memory_is_released_elsewhere(
    network: InMemoryNetwork, has_left: bool
) -> None:
    # Guards against requests that wait for memory and are asked again only by an event of their own connection.
    limiter, client = make_limiter_with_client(network)
    backends = InMemoryBackends(network)
    client.dataReceived(request(1) + request(2))
    backends.find(2).dataReceived(SERVED)
    other = fill_memory(network, limiter, backends)
    client.dataReceived(request(3))
    assert limiter.dispatcher.open_count() == 3  # requests 1, 101 and 102; request 3 waits
    if has_left:
        other.connectionLost()
    else:
        limiter.frontend.response_memory.set_max_bytes(4 * len(VALUE))
    network.reactor.pump([SWEEP_INTERVAL] * 2)
    for number in (3, 1):
        backends.find(number).dataReceived(SERVED)
    assert client.transport.value() == 3 * SERVED_RESPONSE


@pytest.mark.parametrize("reply_count", [1, 2])
def test_replies_behind_an_open_request_count_as_pending(network: InMemoryNetwork, reply_count: int) -> None:
    # Guards against replies that take memory which nothing bounds.
    limiter, client = make_limiter_with_client(network)
    limiter.lifecycle.phase = Phase.SERVING
    payload = b"p" * 1000
    client.dataReceived(request(1) + reply_count * command(b"PING", payload))
    assert client.get_pending_bytes() >= reply_count * len(payload)
    assert limiter.frontend.response_memory.used_bytes == client.get_pending_bytes()
    InMemoryBackends(network).find(1).dataReceived(SERVED)
    assert client.get_pending_bytes() == 0


def test_no_bytes_are_counted_when_a_client_leaves_whose_body_its_backend_does_not_read(
    network: InMemoryNetwork,
) -> None:
    # Guards against an error response that is counted for a client which has left, and never counted out.
    limiter, client = make_limiter_with_client(network)
    text = request(1, "book", body=VALUE)
    first_bytes = len(VALUE) // 2
    client.dataReceived(text[:first_bytes])
    backend = network.complete_dial(-1)
    backend.transport.handle.max_bytes = 0
    client.dataReceived(text[first_bytes:])
    client.connectionLost()
    assert limiter.dispatcher.open_count() == 0
    assert limiter.frontend.response_memory.used_bytes == 0
