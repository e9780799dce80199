"""The counter's client: order of pipelined calls, and replies that are late, malformed, in pieces or missing."""

from __future__ import annotations

import pytest

from tests.network_support import (
    InMemoryNetwork,
    network,
)
from thymeflow.counter.client import DEAD_PEER_TIMEOUT, REPLY_STALL_TIMEOUT, CallPipeline, CounterResult
from thymeflow.decision.types import Status
from thymeflow.platform.endpoints import Address
from thymeflow.runtime import clock

__all__ = ["network"]


def test_late_reply_is_discarded_when_its_call_was_abandoned(network: InMemoryNetwork) -> None:
    pipeline = CallPipeline(network.reactor, network.deadlines, Address("127.0.0.1", 9))
    results: list[tuple[Status, float]] = []
    pipeline.connect()
    wire = network.complete_dial(0)
    pipeline.call(b"first", clock.now() + 0.03).addCallback(results.append)
    network.reactor.advance(0.04)
    pipeline.call(b"second", clock.now() + 0.03).addCallback(results.append)
    wire.on_message(b"7")  # The late reply to the abandoned first call is discarded.
    assert results == [(Status.TIMEOUT, 0.0)]
    wire.on_message(b"9.5")
    assert results[1] == (Status.OK, 9.5)


@pytest.mark.parametrize(
    "malformed_reply",
    [b"$3\r\nnan\r\n", b"+7\r\n", b"$-1\r\n", b"!?", b"-WHAT\r\n", b"$1\r\n7\r\n$1\r\n8\r\n", b"$5\r\n1_000\r\n"],
)
def test_counter_connection_is_closed_when_its_replies_cannot_be_matched(
    network: InMemoryNetwork, malformed_reply: bytes
) -> None:
    pipeline = CallPipeline(network.reactor, network.deadlines, Address("127.0.0.1", 9))
    results = list[CounterResult]()
    pipeline.connect()
    wire = network.complete_dial(0)
    pipeline.call(b"first", clock.now() + 0.03).addCallback(results.append)
    wire.dataReceived(malformed_reply)
    network.reactor.advance(0.04)
    assert wire.closed
    assert results in ([(Status.TIMEOUT, 0.0)], [(Status.OK, 7.0)])
    pipeline.call(b"second", clock.now() + 0.03).addCallback(results.append)
    network.complete_dial(1).dataReceived(b"$1\r\n9\r\n")
    assert results[1] == (Status.OK, 9.0)


@pytest.mark.parametrize("gap", [0.2, 0.5])
def test_reply_in_pieces_is_read_unless_the_next_piece_is_overdue(network: InMemoryNetwork, gap: float) -> None:
    pipeline = CallPipeline(network.reactor, network.deadlines, Address("127.0.0.1", 9))
    results = list[CounterResult]()
    pipeline.connect()
    wire = network.complete_dial(0)
    for piece in (b"$1", b"\r\n", b"7\r", b"\n"):
        pipeline.call(b"one", clock.now() + 0.03).addCallback(results.append)
        wire.dataReceived(piece)
        network.reactor.pump([0.03] * round(gap / 0.03))
    assert wire.closed == (gap > REPLY_STALL_TIMEOUT)
    assert len(results) == 4
    if not wire.closed:
        wire.on_message(b"9")  # The reply to the second call: replies are still assigned in order.
        assert [call.is_reported for call in pipeline.written] == [True, True]


def test_flushed_calls_time_out_and_other_calls_fail_when_the_connection_breaks(network: InMemoryNetwork) -> None:
    pipeline = CallPipeline(network.reactor, network.deadlines, Address("127.0.0.1", 9))
    results = list[Status]()
    pipeline.call(b"unwritten", clock.now() + 0.03).addCallback(lambda r: results.append(r[0]))
    network.reactor.advance(0.04)
    assert results == [Status.CONNECT_FAILED]
    wire = network.complete_dial(0)
    pipeline.call(b"left", clock.now() + 3.0).addCallback(lambda r: results.append(r[0]))
    wire.transport.handle.max_bytes = 0
    pipeline.call(b"held", clock.now() + 3.0).addCallback(lambda r: results.append(r[0]))
    wire.connectionLost()
    assert results[1:] == [Status.TIMEOUT, Status.CONNECT_FAILED]


def test_connection_is_closed_and_dialed_again_when_the_counter_is_unresponsive(network: InMemoryNetwork) -> None:
    pipeline = CallPipeline(network.reactor, network.deadlines, Address("127.0.0.1", 9))
    pipeline.connect()
    wire = network.complete_dial(0)
    for _ in range(int(DEAD_PEER_TIMEOUT / 0.05) + 2):
        pipeline.call(b"x", clock.now() + 0.03)
        network.reactor.advance(0.05)
    assert wire.closed
    pipeline.call(b"x", clock.now() + 0.03)
    assert len(network.reactor.tcpClients) == 2
