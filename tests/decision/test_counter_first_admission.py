"""In large sets, a request waits for a new counter total if the known total is outdated.

Most tests run gateways in virtual time; one test runs a real limiter process.
"""

from __future__ import annotations

import heapq
import random
import select
from itertools import count
from math import inf
from pathlib import Path
from typing import Any

import pytest

from tests.helpers import fleet, request, sends, settings
from tests.limiter import PATIENCE, Limiter, Peer, command
from thymeflow.decision.actions import Action, AddToCounter, RejectRequest, SetTimer, StartAttempt
from thymeflow.decision.counter_first_admission import CounterFirstAdmission
from thymeflow.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointsChanged,
    Event,
    RequestReceived,
    TimerFired,
)
from thymeflow.decision.factory import create_gateway
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.quota_admission import ImmediateAdmission
from thymeflow.decision.settings import Information, Plan
from thymeflow.decision.types import EndpointListKind, Status
from thymeflow.quota import counter_encoding
from thymeflow.quota.counter_reporter import PAUSE_AFTER_LOST_CALL_SECONDS

PLAN = Plan("plain", rate=2.0, burst=16.0, over_quota_cost=0.6)
COUNTER = Information(max_units=4.0, counter=True, settles_units=True, counter_timeout=0.03)
LARGE_SET_SIZE = 40


def create_large_set_gateway(index: int = 0, limiter_count: int = LARGE_SET_SIZE, **changes: Any) -> Gateway:
    config = settings(index=index, limiter_count=limiter_count, plans=(PLAN,), information=COUNTER, **changes)
    gateway = create_gateway(config, index)
    gateway.handle(0.0, EndpointsChanged(EndpointListKind.CACHED, fleet(12)))
    return gateway


def build_request(name: str, **changes: Any) -> RequestReceived:
    return request(name, 2.0, set_size=LARGE_SET_SIZE, **changes)


def find_calls(actions: list[Action]) -> list[AddToCounter]:
    return [a for a in actions if isinstance(a, AddToCounter)]


def find_rejections(actions: list[Action]) -> list[RejectRequest]:
    return [a for a in actions if isinstance(a, RejectRequest)]


def build_reply(call: AddToCounter, total: float, latency: float = 0.002) -> CounterReplied:
    return CounterReplied(call.name, Status.OK, total, latency)


def test_counter_is_called_first_only_when_the_set_is_large_and_has_a_counter() -> None:
    assert type(create_large_set_gateway().quota_admission) is CounterFirstAdmission
    assert type(create_large_set_gateway(limiter_count=3).quota_admission) is ImmediateAdmission
    assert type(create_gateway(settings(limiter_count=LARGE_SET_SIZE), 1).quota_admission) is ImmediateAdmission


def test_request_is_decided_by_the_counter_total_when_its_customer_is_unknown() -> None:
    for remote_units, let_in in ((0.0, True), (40.0, False)):
        gateway = create_large_set_gateway()
        actions = gateway.handle(10.0, build_request("a"))
        (call,) = find_calls(actions)
        assert not sends(actions)
        assert not find_rejections(actions)
        total = call.amount + counter_encoding.encode(call.name, 4.0 * remote_units, remote_units)
        actions = gateway.handle(10.002, build_reply(call, total))
        assert bool(sends(actions)) is let_in
        assert bool(find_rejections(actions)) is not let_in
        assert not find_calls(gateway.handle(10.1, build_request("b"))), (
            "the counter is called again although its total is current"
        )


def test_requests_are_decided_by_the_estimate_without_a_wait_when_the_counter_did_not_reply() -> None:
    gateway = create_large_set_gateway()
    actions = gateway.handle(10.0, build_request("a"))
    (call,) = find_calls(actions)
    (timer,) = [a for a in actions if isinstance(a, SetTimer) and a.delay <= COUNTER.counter_timeout]
    assert sends(gateway.handle(10.03, TimerFired(timer.token)))
    assert not find_calls(gateway.handle(10.1, build_request("again"))), (
        "a counter name was called again before the reply to its first call"
    )
    gateway.handle(10.4, CounterReplied(call.name, Status.TIMEOUT, inf, 0.4))
    assert sends(gateway.handle(10.5, build_request("b", customer="other")))
    assert find_calls(gateway.handle(10.4 + PAUSE_AFTER_LOST_CALL_SECONDS + 0.1, build_request("c", customer="third")))


def test_requests_share_one_call_and_a_waiting_request_is_dropped_when_its_client_disconnects() -> None:
    gateway = create_large_set_gateway()
    (call,) = find_calls(gateway.handle(10.0, build_request("a")))
    assert gateway.handle(10.001, build_request("b")) == []
    gateway.handle(10.002, ClientDisconnected("a"))
    actions = gateway.handle(10.003, build_reply(call, call.amount))
    assert [s.id for s in sends(actions)] == ["b"]
    assert not gateway.pending.keys() & {"a"}


def test_request_is_decided_at_once_when_it_has_no_time_to_wait() -> None:
    actions = create_large_set_gateway().handle(10.0, build_request("a", remaining=0.3))
    assert sends(actions)
    assert not find_calls(actions)


def test_units_are_reported_once_when_a_request_is_admitted_after_the_reply() -> None:
    gateway = create_large_set_gateway()
    (call,) = find_calls(gateway.handle(10.0, build_request("a")))
    assert counter_encoding.decode(call.name, call.amount) == pytest.approx((2.0, 2.0), abs=0.2)
    gateway.handle(10.002, build_reply(call, call.amount))
    (bucket,) = gateway.buckets.values()
    assert bucket.charged_units == pytest.approx(2.0)
    assert bucket.counter_ledger.reported_charges == pytest.approx(2.0, abs=0.2)


def run_demand(create: Any, demand: float, seconds: float = 30.0) -> tuple[float, float]:
    """Return the forwarded units and the calls per request, for a demand in units per second at all limiters."""
    rng = random.Random(5)
    sequence = count()
    gateways: list[Gateway] = [create(n) for n in range(LARGE_SET_SIZE)]
    totals = dict[int, float]()
    queue = list[tuple[float, int, int, Event]]()
    forwarded_units = 0.0
    call_count = 0.0
    number = 0
    arrival_at = 20.0
    while arrival_at < 20.0 + seconds:
        arrival_at += rng.expovariate(demand / 2.0)
        number += 1
        heapq.heappush(queue, (arrival_at, next(sequence), rng.randrange(LARGE_SET_SIZE), build_request(f"r{number}")))
    while queue:
        now, _, index, event = heapq.heappop(queue)
        for action in gateways[index].handle(now, event):
            if isinstance(action, StartAttempt):
                forwarded_units += 2.0
                ended = AttemptEnded(
                    action.id, 0, action.backend, Status.OK, 0.1, request_answered=True, actual_units=2.0
                )
                heapq.heappush(queue, (now + 0.1, next(sequence), index, ended))
            elif isinstance(action, AddToCounter):
                call_count += 1
                totals[action.name] = totals.get(action.name, 0.0) + action.amount
                heapq.heappush(
                    queue,
                    (
                        now + 0.002,
                        next(sequence),
                        index,
                        CounterReplied(action.name, Status.OK, totals[action.name], 0.002),
                    ),
                )
            elif isinstance(action, SetTimer) and now < 20.0 + seconds:
                heapq.heappush(queue, (now + action.delay, next(sequence), index, TimerFired(action.token)))
    return forwarded_units, call_count / number


def test_forwarded_units_are_closer_to_the_quota_when_the_counter_is_called_first() -> None:
    quota_units = PLAN.burst + PLAN.rate * 30.0

    def create_immediate_gateway(index: int) -> Gateway:
        gateway = Gateway(
            settings(index=index, limiter_count=LARGE_SET_SIZE, plans=(PLAN,), information=COUNTER), index
        )
        gateway.handle(0.0, EndpointsChanged(EndpointListKind.CACHED, fleet(12)))
        return gateway

    forwarded_at_excess_demand, calls_per_request = run_demand(create_large_set_gateway, 3.0 * PLAN.rate)
    assert 0.7 * quota_units <= forwarded_at_excess_demand <= 1.15 * quota_units
    assert abs(forwarded_at_excess_demand / quota_units - 1.0) < abs(
        run_demand(create_immediate_gateway, 3.0 * PLAN.rate)[0] / quota_units - 1.0
    )
    forwarded_at_low_demand, _ = run_demand(create_large_set_gateway, 0.6 * PLAN.rate)
    assert forwarded_at_low_demand >= 0.9 * 0.6 * PLAN.rate * 30.0
    assert calls_per_request <= 1.5


def test_limiter_process_calls_the_counter_before_it_forwards_when_its_set_is_large(tmp_path: Path) -> None:
    plan = {"name": "basic", "refill": 2.0, "most-at-once": 16.0}
    changes: dict[str, Any] = {"balancers": LARGE_SET_SIZE, "tiers-of-service": [plan]}
    with Limiter(tmp_path, **changes) as limiter:
        client = limiter.connect()
        counters = [limiter.counter.accept() for _ in range(3)]

        def send_request(number: int, customer: bytes) -> tuple[Peer, bytes]:
            fields = b"c=look,t=basic,d=4000,units=2,spread=%d,first=0" % LARGE_SET_SIZE
            client.send(command(b"SVC.QUERY", customer, b"%016x" % number, fields))
            (ready,) = select.select([c.sock for c in counters], [], [], PATIENCE)[0]
            (counter,) = [c for c in counters if c.sock is ready]
            return counter, counter.read_command()[2]

        counter, amount = send_request(1, b"00000000b4d65521")
        assert float(amount) > 0
        assert limiter.backends[0].has_no_connection(0.0)
        counter.send(b"$%d\r\n%b\r\n" % (len(amount), amount))
        server = limiter.backends[0].accept()
        for number in (1, 2):
            assert server.read_command()[2] == b"%016x" % number
            server.send(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
            assert client.read_bulk() == b"value"
            # The counter does not reply to the call for the second customer, so this customer's request is forwarded
            # after the time-out.
            if number == 1:
                send_request(2, b"00000000b4d65522")
