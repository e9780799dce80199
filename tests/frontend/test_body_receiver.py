"""The time of a request with a long body, which its client may have written long before it is read."""

from __future__ import annotations

from typing import Any

import pytest

from tests.limiter import request
from tests.network_support import InMemoryNetwork, make_limiter_with_client, network
from thymeflow.limiter.assembly import Limiter
from thymeflow.runtime import clock

__all__ = ["network"]

SIZE = 100_000
REQUEST_ID = f"{1:016x}"
WAIT_SECONDS = 3.0
HEAD = request(1, "book", int(WAIT_SECONDS * 1000), body=b"").removesuffix(b"$0\r\n\r\n") + b"$%d\r\n" % SIZE


def begin_body_that_is_paused(network: InMemoryNetwork) -> tuple[Limiter, Any]:
    """Return a limiter and a client whose body is not read because the memory for bodies is used up."""
    limiter, client = make_limiter_with_client(network)
    limiter.frontend.body_memory.set_max_bytes(1000)
    client.dataReceived(HEAD + b"x" * 2000)
    assert client._body.is_blocked
    return limiter, client


def read_rest(network: InMemoryNetwork, client: Any, *, is_more_unread: bool) -> None:
    """Let the client's body be read in two parts; after the first one more bytes wait unread, or none."""
    network.reactor.advance(0.2)
    client.transport.handle.unread = b"x" if is_more_unread else b""
    client.dataReceived(b"x" * 1000)
    network.reactor.advance(0.2)
    client.transport.handle.unread = b""
    client.dataReceived(b"x" * (SIZE - 3000) + b"\r\n")


@pytest.mark.parametrize("is_more_unread", [True, False])
def test_time_counts_from_the_pause_unless_all_was_read_since(network: InMemoryNetwork, is_more_unread: bool) -> None:
    # Guards against a time that begins again when a body whose end may have waited is read at last.
    limiter, client = begin_body_that_is_paused(network)
    paused_at = clock.now()
    network.reactor.advance(0.5)
    limiter.frontend.body_memory.set_max_bytes(10 * SIZE)
    network.reactor.advance(0.11)
    assert not client._body.is_blocked
    read_rest(network, client, is_more_unread=is_more_unread)
    pending = limiter.dispatcher._requests.find(REQUEST_ID)
    assert pending is not None
    started_at = paused_at if is_more_unread else clock.now()
    assert pending.deadline == pytest.approx(started_at + WAIT_SECONDS, abs=0.01)


def test_request_is_answered_when_its_time_may_be_over_while_its_body_is_not_read(network: InMemoryNetwork) -> None:
    limiter, client = begin_body_that_is_paused(network)
    network.reactor.pump([0.1] * round(WAIT_SECONDS / 0.1 + 2))
    assert not limiter.dispatcher.open_count()
    assert not client._body.is_blocked  # the rest is read and discarded
    assert not limiter.frontend.body_memory.used_bytes
    client.dataReceived(b"x" * (SIZE - 2000) + b"\r\n")
    assert client.transport.value().startswith((b"-BUSY", b"-ERR"))
