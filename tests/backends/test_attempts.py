"""Attempts at backends, with a reactor in memory.

The reactor in memory forces orders of events that real sockets cannot force. The tests guard against an attempt that is
written twice or to the wrong backend, that receives another attempt's reply, or whose status wrongly says that the
request was not executed.
"""

from __future__ import annotations

from math import inf

import pytest

from tests.network_support import (
    InMemoryNetwork,
    make_attempt_spec,
    make_backend_connections,
    make_backend_update,
    make_served_reply,
    network,
    parse_command,
)
from thymeflow.backends.backends import REPLY_STALL_TIMEOUT
from thymeflow.backends.replies import parse_attempt_result
from thymeflow.backends.streaming import LONG_VALUE_TIMEOUT
from thymeflow.core.types import AttemptSpec
from thymeflow.decision.settings import Limits
from thymeflow.decision.types import Status
from thymeflow.runtime import clock
from thymeflow.transport.commands import Call
from thymeflow.transport.value_stream import BufferMemory, ValueStream

__all__ = ["network"]


@pytest.mark.parametrize("lifecycle", ["leaving", "left"])
def test_waiting_attempt_is_not_written_when_its_backend_drains(network: InMemoryNetwork, lifecycle: str) -> None:
    connections, results = make_backend_connections(network)
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    connections.apply_update(make_backend_update(lifecycle))
    assert [result.status for result in results] == [Status.CONNECT_FAILED]
    assert network.complete_dial(0).transport.value() == b""
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    assert results[1].status is Status.CONNECT_FAILED


@pytest.mark.parametrize(
    ("max_bytes_taken", "status"), [(10**6, Status.RESET), (0, Status.CONNECT_FAILED), (7, Status.CONNECT_FAILED)]
)
def test_attempt_may_have_executed_only_when_its_last_byte_was_written(
    network: InMemoryNetwork, max_bytes_taken: int, status: Status
) -> None:
    connections, results = make_backend_connections(network)
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    backend = network.complete_dial(0)
    backend.dataReceived(make_served_reply(b"v"))  # the connection is idle now and is reused
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    backend.dataReceived(make_served_reply(b"v"))
    backend.transport.handle.max_bytes = max_bytes_taken  # the transport buffers the remaining bytes
    backend.transport.clear()
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    assert parse_command(backend.transport.value())[0] == b"SVC.QUERY"  # the request was written once and completely
    backend.connectionLost()
    assert [result.status for result in results] == [Status.OK, Status.OK, status]
    assert len(network.reactor.tcpClients) == 1  # no attempt was sent again


def test_waiting_attempt_is_written_when_a_connection_becomes_idle(network: InMemoryNetwork) -> None:
    connections, results = make_backend_connections(network)
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    backend = network.complete_dial(0)
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    backend.dataReceived(make_served_reply(b"v"))
    backend.dataReceived(make_served_reply(b"w"))
    assert [result.value for result in results] == [b"v", b"w"]


@pytest.mark.parametrize("trailing", [make_served_reply(b"v"), b"!noise", b"$9\r\n", b"-BUSY\r\n"])
def test_bytes_after_a_reply_are_given_to_no_request_when_they_arrive(
    network: InMemoryNetwork, trailing: bytes
) -> None:
    connections, results = make_backend_connections(network)
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    backend = network.complete_dial(0)
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)  # waits for a connection
    backend.dataReceived(make_served_reply(b"v") + trailing)
    assert [result.value for result in results] == [b"v"]
    assert backend.closed
    network.complete_dial(1).dataReceived(make_served_reply(b"w"))
    assert [result.value for result in results] == [b"v", b"w"]


def test_connection_is_not_reused_when_it_has_unread_bytes(network: InMemoryNetwork) -> None:
    connections, results = make_backend_connections(network)
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    backend = network.complete_dial(0)
    backend.dataReceived(make_served_reply(b"v"))
    backend.transport.clear()
    backend.transport.handle.unread = b"*3"  # it arrived after the reply was parsed
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    assert (backend.closed, backend.transport.value()) == (True, b"")
    network.complete_dial(1).dataReceived(make_served_reply(b"w"))
    assert [result.value for result in results] == [b"v", b"w"]


@pytest.mark.parametrize(
    "text",
    [
        b"*3\r\n$5\r\nva",
        b"+odd\r\n",
        b":1\r\n",
        b"-WHAT\r\n",
        b"*1\r\n$1\r\nv\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$3000000000\r\n",
        b"noise",
    ],
)
def test_attempt_fails_soon_and_its_connection_closes_when_the_reply_is_malformed(
    network: InMemoryNetwork, text: bytes
) -> None:
    connections, results = make_backend_connections(network)
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    backend = network.complete_dial(0)
    backend.dataReceived(text)
    network.reactor.advance(REPLY_STALL_TIMEOUT + 0.01)
    assert [result.status for result in results] == [Status.ERROR]
    assert backend.closed


@pytest.mark.parametrize("text", [b"used=nan,cost=inf", b"used=-1,cost=-2", b"used=1e300,cost=nan", b"used,cost=x"])
def test_figures_are_ignored_when_they_are_not_plausible(text: bytes) -> None:
    found = parse_attempt_result([b"v", text, b"avg_ms=nan"])
    assert found is not None
    assert (found.status, found.quota_usage, found.actual_units, found.load_report) == (Status.OK, None, None, None)


def test_idle_connection_is_closed_when_its_backend_would_soon_close_it(network: InMemoryNetwork) -> None:
    connections, results = make_backend_connections(network)
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    backend = network.complete_dial(0)
    backend.dataReceived(make_served_reply(b"v"))
    network.reactor.pump([1.0] * int(Limits().connection_idle - 1))
    assert backend.closed


@pytest.mark.parametrize("is_reading", [True, False])
def test_long_body_is_abandoned_when_the_backend_reads_nothing_of_it(
    network: InMemoryNetwork, is_reading: bool
) -> None:
    connections, results = make_backend_connections(network)
    body = ValueStream(300_000, lambda is_paused: None, lambda: None)
    call = make_attempt_spec().payload
    assert isinstance(call, Call)
    connections.start_attempt(AttemptSpec(1, call._replace(body_stream=body), inf)).addCallback(results.append)
    backend = network.complete_dial(0)
    backend.transport.handle.max_bytes = 0  # the kernel's buffer is full
    for _ in range(4):
        body.push(b"x" * 1000)
        network.reactor.pump([0.1] * round(0.4 * LONG_VALUE_TIMEOUT / 0.1))
        if is_reading:
            backend.resumeProducing()  # the backend has read the buffered bytes
    if is_reading:
        assert not results
        assert backend.flushed
        body.fail()
        assert results[0].status is Status.CANCELLED
    else:
        assert results[0].status is Status.CONNECT_FAILED
        assert backend.closed
        assert not body.is_paused


def test_backend_is_told_the_time_that_is_left_when_a_long_body_had_to_wait_for_a_connection(
    network: InMemoryNetwork,
) -> None:
    connections, _ = make_backend_connections(network)
    body = ValueStream(100_000, lambda is_paused: None, lambda: None, memory=BufferMemory(1_000_000))
    call = make_attempt_spec().payload
    assert isinstance(call, Call)
    connections.start_attempt(AttemptSpec(1, call._replace(body_stream=body, wait_ms=3000), inf))
    body.push(b"x" * 100_000)
    body.deadline = clock.now() + 3.0
    body.finish()
    network.reactor.advance(1.0)
    backend = network.complete_dial(0)
    assert b",d=2000," in backend.transport.value()
