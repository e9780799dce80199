"""Orders of events that no socket can force, driven with a reactor in memory; and the parsers."""

from __future__ import annotations

from math import inf
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from tests.limiter import SETTINGS, request
from tests.network_support import (
    InMemoryNetwork,
    RecordingObserver,
    make_attempt_spec,
    make_backend_connections,
    one_backend_update,
    parse_command,
    served_reply,
    world,
)
from thymeflow.backends.backends import STALL as ANSWER_STALL
from thymeflow.backends.replies import parse_attempt_result
from thymeflow.backends.streaming import LONG_VALUE_TIMEOUT
from thymeflow.core.dispatcher import RequestDispatcher
from thymeflow.core.types import AttemptSpec, IncomingRequest, Response, ResponseKind
from thymeflow.counter.client import DEAD_PEER_TIMEOUT, STALL, CallPipeline, CounterResult
from thymeflow.decision.actions import Action, AddToCounter
from thymeflow.decision.events import Event
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import Limits
from thymeflow.decision.types import EndpointListKind, Status
from thymeflow.discovery.watch import EndpointWatcher
from thymeflow.platform.endpoints import Address, EndpointUpdate, endpoint_update
from thymeflow.platform.settings import settings_from
from thymeflow.quota.token_bucket import MIN_CALL_INTERVAL_SECONDS
from thymeflow.runtime import clock
from thymeflow.runtime.slot_table import SlotTable
from thymeflow.transport.commands import Call, CallReader
from thymeflow.transport.value_stream import ValueStream

__all__ = ["world"]


@pytest.mark.parametrize("news", ["leaving", "left"])
def test_a_pass_that_waits_for_a_connection_is_not_written_to_a_server_that_drains(
    world: InMemoryNetwork, news: str
) -> None:
    made, ends = make_backend_connections(world)
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    made.apply_update(one_backend_update(news))
    assert [end.status for end in ends] == [Status.CONNECT_FAILED]
    assert world.up(0).transport.value() == b""
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    assert ends[1].status is Status.CONNECT_FAILED


@pytest.mark.parametrize(
    ("most", "status"), [(10**6, Status.RESET), (0, Status.CONNECT_FAILED), (7, Status.CONNECT_FAILED)]
)
def test_only_a_pass_written_to_its_last_byte_may_have_run(world: InMemoryNetwork, most: int, status: Status) -> None:
    made, ends = make_backend_connections(world)
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    server = world.up(0)
    server.dataReceived(served_reply(b"v"))  # the connection is warm and idle now
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    server.dataReceived(served_reply(b"v"))
    server.transport.handle.max_bytes = most  # what the kernel does not take stays with the transport
    server.transport.clear()
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    assert parse_command(server.transport.value())[0] == b"SVC.QUERY"  # nothing missing, nothing twice
    server.connectionLost()
    assert [end.status for end in ends] == [Status.OK, Status.OK, status]
    assert len(world.reactor.tcpClients) == 1  # and nothing was sent again


def test_a_connection_that_comes_free_serves_the_pass_that_waits(world: InMemoryNetwork) -> None:
    made, ends = make_backend_connections(world)
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    server = world.up(0)
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    server.dataReceived(served_reply(b"v"))
    server.dataReceived(served_reply(b"w"))
    assert [end.value for end in ends] == [b"v", b"w"]


@pytest.mark.parametrize("behind", [served_reply(b"v"), b"!noise", b"$9\r\n", b"-BUSY\r\n"])
def test_what_comes_behind_an_answer_is_nobodys_answer(world: InMemoryNetwork, behind: bytes) -> None:
    made, ends = make_backend_connections(world)
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    server = world.up(0)
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)  # waits for a connection
    server.dataReceived(served_reply(b"v") + behind)
    assert [end.value for end in ends] == [b"v"]
    assert server.closed
    world.up(1).dataReceived(served_reply(b"w"))
    assert [end.value for end in ends] == [b"v", b"w"]


def test_a_connection_with_bytes_unread_is_not_used_again(world: InMemoryNetwork) -> None:
    made, ends = make_backend_connections(world)
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    server = world.up(0)
    server.dataReceived(served_reply(b"v"))
    server.transport.clear()
    server.transport.handle.unread = b"*3"  # it came after the look at what was read with the answer
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    assert (server.closed, server.transport.value()) == (True, b"")
    world.up(1).dataReceived(served_reply(b"w"))
    assert [end.value for end in ends] == [b"v", b"w"]


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
def test_a_spoilt_answer_is_an_error_soon_and_ends_its_connection(world: InMemoryNetwork, text: bytes) -> None:
    made, ends = make_backend_connections(world)
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    server = world.up(0)
    server.dataReceived(text)
    world.reactor.advance(ANSWER_STALL + 0.01)
    assert [end.status for end in ends] == [Status.ERROR]
    assert server.closed


@pytest.mark.parametrize("text", [b"used=nan,cost=inf", b"used=-1,cost=-2", b"used=1e300,cost=nan", b"used,cost=x"])
def test_figures_that_cannot_be_believed_reach_nobody(text: bytes) -> None:
    found = parse_attempt_result([b"v", text, b"avg_ms=nan"])
    assert found is not None
    assert (found.status, found.quota_usage, found.actual_units, found.load_report) == (Status.OK, None, None, None)


def test_idle_connections_go_before_the_other_end_closes_them(world: InMemoryNetwork) -> None:
    made, ends = make_backend_connections(world)
    made.start_attempt(make_attempt_spec()).addCallback(ends.append)
    server = world.up(0)
    server.dataReceived(served_reply(b"v"))
    world.reactor.pump([1.0] * int(Limits().connection_idle - 1))
    assert server.closed


@pytest.mark.parametrize("moves", [True, False])
def test_a_long_body_is_given_up_where_nothing_of_it_is_taken(world: InMemoryNetwork, moves: bool) -> None:
    made, ends = make_backend_connections(world)
    body = ValueStream(300_000, lambda waits: None, lambda: None)
    call = make_attempt_spec().payload
    assert isinstance(call, Call)
    made.start_attempt(AttemptSpec(1, call._replace(flow=body), inf)).addCallback(ends.append)
    server = world.up(0)
    server.transport.handle.max_bytes = 0  # the kernel's buffer is full
    for _ in range(4):
        body.push(b"x" * 1000)
        world.reactor.pump([0.1] * round(0.4 * LONG_VALUE_TIMEOUT / 0.1))
        if moves:
            server.resumeProducing()  # a little has gone
    if moves:
        assert not ends and server.flushed
        body.fail()
        assert ends[0].status is Status.CANCELLED
    else:
        assert ends[0].status is Status.CONNECT_FAILED and server.closed and not body.is_paused


def test_a_counter_call_given_up_keeps_its_place_in_line(world: InMemoryNetwork) -> None:
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
def test_a_counter_that_cannot_be_followed_is_left_before_its_answers_shift(
    world: InMemoryNetwork, noise: bytes
) -> None:
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
def test_a_counter_that_writes_in_pieces_is_followed_and_one_that_stops_half_way_is_left(
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
    assert wire.closed == (gap > STALL) and len(results) == 4
    if not wire.closed:
        wire.message(b"9")  # the second call's: the line is in step
        assert [call.is_reported for call in line.written] == [True, True]


def test_a_broken_counter_line_tells_what_may_have_been_added(world: InMemoryNetwork) -> None:
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


def test_a_counter_that_has_gone_without_a_word_is_dialled_anew(world: InMemoryNetwork) -> None:
    line = CallPipeline(world.reactor, world.deadlines, Address("127.0.0.1", 9))
    line.connect()
    wire = world.up(0)
    for _ in range(int(DEAD_PEER_TIMEOUT / 0.05) + 2):
        line.call(b"x", clock.now() + 0.03)
        world.reactor.advance(0.05)
    assert wire.closed
    line.call(b"x", clock.now() + 0.03)
    assert len(world.reactor.tcpClients) == 2


def test_a_silent_watch_is_dialled_anew_and_a_whole_list_can_be_asked_for(world: InMemoryNetwork) -> None:
    told: list[EndpointUpdate] = []
    observer = RecordingObserver(told.append)
    watch = EndpointWatcher(world.reactor, world.deadlines, Address("127.0.0.1", 9), 41, observer, 3, 1)
    watch.start(clock.now() + 1.0)
    reading = world.up(0)
    reading.transport.abortConnection = lambda: None
    reading.dataReceived(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
    for _ in range(5):  # empty lines keep it up
        world.reactor.pump([0.5] * 4)
        reading.dataReceived(b"1\r\n\n\r\n")
    assert len(world.reactor.tcpClients) == 1
    world.reactor.pump([0.1] * 49)  # two of them have not come
    assert len(world.reactor.tcpClients) == 2
    watch.fetch_complete_list()
    whole = world.up(2)
    assert whole.transport.value().startswith(b"GET /api/targets HTTP/1.1\r\n")
    whole.transport.abortConnection = lambda: None
    text = b'{"generation":50,"reset":true,"instances":[]}'
    whole.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
    assert [(news.change.kind, news.change.version) for news in told] == [(EndpointListKind.FULL, 50)]


def test_deadlines_fire_in_order_behind_one_timer_and_not_when_cancelled(world: InMemoryNetwork) -> None:
    fired: list[int] = []
    entries = [world.deadlines.schedule(clock.now() + n, fired.append, n) for n in (5, 1, 3, 2, 4)]
    assert len(world.reactor.getDelayedCalls()) == 1
    world.deadlines.cancel(entries[2])
    world.reactor.pump([1.0] * 6)
    assert fired == [1, 2, 4, 5]
    assert not world.reactor.getDelayedCalls()


def test_the_handle_of_what_has_ended_finds_nothing_in_a_slot_used_again() -> None:
    table: SlotTable[str] = SlotTable(1)
    old = table.add("old")
    assert (table.is_full(), table.remove(old)) == (True, "old")
    new = table.add("new")
    assert (table.get(old), table.remove(old), table.get(new)) == (None, None, "new")


@pytest.mark.parametrize(
    "change",
    [
        {"weight": float("nan")},
        {"startedAtMs": float("inf")},
        {"cell": "x"},
        {"hostPort": "nowhere"},
        {"hostPort": None},
        {"lifecycle": ["odd"]},
        {"instanceId": 7},
        {"weight": -1},
    ],
)
def test_a_senseless_entry_of_the_list_is_refused(change: dict[str, Any]) -> None:
    good = {"instanceId": "s-00000001", "hostPort": "127.0.0.1:9", "lifecycle": "active"}
    with pytest.raises((ValueError, KeyError, TypeError)):
        endpoint_update({"generation": 1, "instances": [{**good, **change}]})


class Odd:
    """A decision module that is out of order."""

    def __init__(self, raises: bool) -> None:
        self.raises = raises

    def handle(self, now: float, event: Event) -> list[Action]:
        if self.raises:
            raise RuntimeError("out of order")
        return []


@pytest.mark.parametrize("raises", [True, False])
def test_a_request_gets_one_answer_also_from_a_module_out_of_order(world: InMemoryNetwork, raises: bool) -> None:
    backends, _ = make_backend_connections(world)
    gateway: Any = Odd(raises)
    core = RequestDispatcher(settings_from(SETTINGS), gateway, world.deadlines, 10**6, backends, None, None)
    answers: list[Response] = []
    call, told = CallReader(settings_from(SETTINGS)).read(parse_command(request(1, wait=500)))
    core.submit(IncomingRequest(told, clock.now() + 0.5, call, 100)).addCallback(answers.append)
    world.reactor.advance(0.52)
    assert [answer.kind for answer in answers] == [ResponseKind.FAILED]
    assert core.open_count() == 0


class Slow:
    """A counter that notes until when it may answer."""

    until = 0.0

    def add(self, name: int, amount: float, ttl: float, deadline: float) -> Deferred[CounterResult]:
        self.until = deadline
        return Deferred()


def test_a_count_may_be_answered_late_but_ends_before_the_next_of_its_name(world: InMemoryNetwork) -> None:
    settings = settings_from(SETTINGS)
    counter = Slow()
    backends, _ = make_backend_connections(world)
    core = RequestDispatcher(settings, Gateway(settings, 1), world.deadlines, 10**6, backends, counter, None)
    core._carry_out(AddToCounter(5, 1.0, 20.0))
    assert settings.information.counter_timeout < counter.until - clock.now() < MIN_CALL_INTERVAL_SECONDS
