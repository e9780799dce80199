"""The counter's client: pipelined calls, and replies that are late, malformed or missing."""

from __future__ import annotations

import pytest

from tests.network_support import (
    InMemoryNetwork,
    world,
)
from thymeflow.counter.client import DEAD_PEER_TIMEOUT, REPLY_STALL_TIMEOUT, CallPipeline, CounterResult
from thymeflow.decision.types import Status
from thymeflow.platform.endpoints import Address
from thymeflow.runtime import clock

__all__ = ["world"]


def test_counter_call_keeps_its_position_when_it_was_abandoned(world: InMemoryNetwork) -> None:
    line = CallPipeline(world.reactor, world.deadlines, Address("127.0.0.1", 9))
    results: list[tuple[Status, float]] = []
    line.connect()
    wire = world.up(0)
    line.call(b"first", clock.now() + 0.03).addCallback(results.append)
    world.reactor.advance(0.04)
    line.call(b"second", clock.now() + 0.03).addCallback(results.append)
    wire.message(b"7")  # late, and nobody's any more
    assert results == [(Status.TIMEOUT, 0.0)]
    wire.message(b"9.5")
    assert results[1] == (Status.OK, 9.5)


@pytest.mark.parametrize(
    "noise",
    [b"$3\r\nnan\r\n", b"+7\r\n", b"$-1\r\n", b"!?", b"-WHAT\r\n", b"$1\r\n7\r\n$1\r\n8\r\n", b"$5\r\n1_000\r\n"],
)
def test_counter_connection_is_closed_when_its_replies_cannot_be_matched(world: InMemoryNetwork, noise: bytes) -> None:
    line = CallPipeline(world.reactor, world.deadlines, Address("127.0.0.1", 9))
    results = list[CounterResult]()
    line.connect()
    wire = world.up(0)
    line.call(b"first", clock.now() + 0.03).addCallback(results.append)
    wire.dataReceived(noise)
    world.reactor.advance(0.04)
    assert wire.closed
    assert results in ([(Status.TIMEOUT, 0.0)], [(Status.OK, 7.0)])
    line.call(b"second", clock.now() + 0.03).addCallback(results.append)
    world.up(1).dataReceived(b"$1\r\n9\r\n")
    assert results[1] == (Status.OK, 9.0)


@pytest.mark.parametrize("gap", [0.2, 0.5])
def test_counter_reply_is_read_when_it_comes_in_pieces_and_abandoned_when_it_stops(
    world: InMemoryNetwork, gap: float
) -> None:
    line = CallPipeline(world.reactor, world.deadlines, Address("127.0.0.1", 9))
    results = list[CounterResult]()
    line.connect()
    wire = world.up(0)
    for part in (b"$1", b"\r\n", b"7\r", b"\n"):
        line.call(b"one", clock.now() + 0.03).addCallback(results.append)
        wire.dataReceived(part)
        world.reactor.pump([0.03] * round(gap / 0.03))
    assert wire.closed == (gap > REPLY_STALL_TIMEOUT)
    assert len(results) == 4
    if not wire.closed:
        wire.message(b"9")  # the second call's: the line is in step
        assert [call.is_reported for call in line.written] == [True, True]


def test_calls_in_flight_are_uncertain_when_the_counter_connection_breaks(world: InMemoryNetwork) -> None:
    line = CallPipeline(world.reactor, world.deadlines, Address("127.0.0.1", 9))
    results = list[Status]()
    line.call(b"unwritten", clock.now() + 0.03).addCallback(lambda r: results.append(r[0]))
    world.reactor.advance(0.04)
    assert results == [Status.CONNECT_FAILED]
    wire = world.up(0)
    line.call(b"left", clock.now() + 3.0).addCallback(lambda r: results.append(r[0]))
    wire.transport.handle.max_bytes = 0
    line.call(b"held", clock.now() + 3.0).addCallback(lambda r: results.append(r[0]))
    wire.connectionLost()
    assert results[1:] == [Status.TIMEOUT, Status.CONNECT_FAILED]


def test_counter_is_dialed_again_when_it_is_unresponsive(world: InMemoryNetwork) -> None:
    line = CallPipeline(world.reactor, world.deadlines, Address("127.0.0.1", 9))
    line.connect()
    wire = world.up(0)
    for _ in range(int(DEAD_PEER_TIMEOUT / 0.05) + 2):
        line.call(b"x", clock.now() + 0.03)
        world.reactor.advance(0.05)
    assert wire.closed
    line.call(b"x", clock.now() + 0.03)
    assert len(world.reactor.tcpClients) == 2
