"""The admission threshold, a member's load shedding, and a fleet of processes whose backends slow down.

The tests guard against a threshold that single members can move, that oscillates or that stays up after an overload,
and against members that shed different requests by the same threshold.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import replace
from math import inf, nan
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.testing import MemoryReactorClock

from tests.fleet.support import Message, RunningFleet
from tests.fleet_bounds import member_bounds
from tests.helpers import PLAN, SAFE, fleet, request, sends, settings
from tests.limiter import PATIENCE, Limiter
from tests.outliers.support import MemberClients, RespondingBackends
from thymeflow.decision.events import AttemptEnded, EndpointsChanged
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.retries import MAX_FLEET_RETRY_BUDGET
from thymeflow.decision.types import EndpointListKind, Status
from thymeflow.fleet.outlier_service import OutlierService
from thymeflow.health.pressure import PRESSURE_THRESHOLD
from thymeflow.runtime import clock, log
from thymeflow.shedding.load_shedder import THRESHOLD_LEASE_SECONDS, LoadShedder
from thymeflow.shedding.priority import ROTATION_SECONDS, PriorityOrder
from thymeflow.shedding.threshold import (
    MAX_FALL,
    MAX_RISE,
    MAX_THRESHOLD,
    REPORT_TTL_SECONDS,
    TICK_INTERVAL_SECONDS,
    AdmissionThreshold,
)

EXPENSIVE_PLAN = replace(PLAN, name="rich", price=4.0)
IMPORTANT_CLASS = replace(SAFE, name="dear", priority_weight=3.0)
GATEWAY_SETTINGS = settings(plans=(PLAN, EXPENSIVE_PLAN), classes=(SAFE, IMPORTANT_CLASS))


def test_threshold_follows_the_median_when_some_members_report_wrong_values() -> None:
    for wrong, correct in ((1.0, 0.1), (0.0, 0.9)):
        threshold = AdmissionThreshold()
        for tick in range(40):
            for n in range(5):
                threshold.on_report(f"n{n}", wrong if n < 2 else correct, tick * TICK_INTERVAL_SECONDS)
            threshold.tick(tick * TICK_INTERVAL_SECONDS)
        assert (threshold.value > 0.0) is (correct > PRESSURE_THRESHOLD)


def test_threshold_moves_in_small_steps_and_falls_when_no_report_is_valid() -> None:
    threshold = AdmissionThreshold()
    now = 0.0
    previous = 0.0
    for _ in range(100):
        threshold.on_report("n0", 1.0, now)
        assert 0.0 <= threshold.tick(now) - previous <= MAX_RISE + 1e-9
        now += TICK_INTERVAL_SECONDS
        previous = threshold.value
    assert threshold.value == MAX_THRESHOLD
    threshold.on_member_gone("n0")
    for _ in range(round(MAX_THRESHOLD / MAX_FALL) + 1):
        assert 0.0 <= previous - threshold.tick(now) <= MAX_FALL + 1e-9
        now += TICK_INTERVAL_SECONDS
        previous = threshold.value
    assert threshold.value == 0.0
    threshold.on_report("n1", 1.0, now)  # this report has expired at the next tick
    assert threshold.tick(now + REPORT_TTL_SECONDS + 0.1) == 0.0


@pytest.mark.parametrize("value", [None, True, "0.5", nan, inf, -0.1, 1.1, [0.5]])
def test_values_are_rejected_and_change_nothing_when_they_are_no_fractions(value: Any) -> None:
    threshold = AdmissionThreshold()
    gateway = Gateway(GATEWAY_SETTINGS, 1)
    with pytest.raises(ValueError, match="no figure from 0 to 1"):
        threshold.on_report("n0", value, 0.0)
    shedder = LoadShedder(gateway)
    with pytest.raises(ValueError, match="no figure from 0 to 1"):
        shedder.on_threshold(value, 0.0, 0.0)
    assert not threshold.reports
    assert shedder.compute_rejected_fraction(SAFE, PLAN, 1, 0.25) == 0.25


def test_ranks_follow_priority_weight_and_are_equal_at_all_members_when_the_settings_are_equal() -> None:
    first_order = PriorityOrder(GATEWAY_SETTINGS)
    second_order = PriorityOrder(replace(GATEWAY_SETTINGS, index=2, zone="b"))
    # The priority weights are 1, 3, 4 and 12.
    classes_and_plans = [
        (SAFE, PLAN),
        (IMPORTANT_CLASS, PLAN),
        (SAFE, EXPENSIVE_PLAN),
        (IMPORTANT_CLASS, EXPENSIVE_PLAN),
    ]
    for customer in range(300):
        ranks = [first_order.compute_rank(cls, plan, customer, 50.0) for cls, plan in classes_and_plans]
        assert ranks == sorted(ranks)
        assert ranks[0] >= 0.0
        assert ranks[-1] < 1.0
        assert ranks == [second_order.compute_rank(cls, plan, customer, 50.0) for cls, plan in classes_and_plans]
    changed_count = sum(
        first_order.compute_rank(SAFE, PLAN, n, 50.0)
        != first_order.compute_rank(SAFE, PLAN, n, 50.0 + ROTATION_SECONDS)
        for n in range(300)
    )
    assert changed_count == 300, "some customers keep their rank after a rotation"
    simultaneous_count = sum(
        first_order.compute_rank(SAFE, PLAN, n, 50.0) != first_order.compute_rank(SAFE, PLAN, n, 50.1)
        for n in range(300)
    )
    assert simultaneous_count < 15, "too many customers change their ranks at the same time"


def test_members_reject_the_same_requests_until_the_threshold_expires_when_they_have_the_same_one() -> None:
    unlimited_plans = tuple(replace(p, rate=0.0) for p in GATEWAY_SETTINGS.plans)
    members = [Gateway(replace(GATEWAY_SETTINGS, plans=unlimited_plans, index=n), n) for n in range(3)]
    for member in members:
        member.handle(0.0, EndpointsChanged(EndpointListKind.CACHED, fleet()))
        shedder = LoadShedder(member)
        shedder.on_threshold(0.15, 0.0, 100.0)
        member.set_fleet_bounds(member_bounds(load_shedder=shedder))

    def is_admitted(member: Gateway, now: float, plan_name: str, customer: int) -> bool:
        event = request(f"{now}-{plan_name}-{customer}", 1.0, plan=plan_name, customer=str(customer))
        actions = member.handle(now, event)
        for sent in sends(actions):
            member.handle(
                now, AttemptEnded(event.id, 0, sent.backend, Status.OK, 0.01, request_answered=True, actual_units=1.0)
            )
        return bool(sends(actions))

    for customer in range(100):
        assert len({is_admitted(member, 1.0, "plain", customer) for member in members}) == 1
        assert all(is_admitted(member, 1.0, "rich", customer + 1000) for member in members), (
            "a request was rejected although its priority weight is higher than that of admitted requests"
        )
    assert 0 < sum(is_admitted(members[0], 1.0, "plain", n) for n in range(100)) < 60
    assert all(is_admitted(member, THRESHOLD_LEASE_SECONDS + 0.1, "plain", n) for n in range(100) for member in members)


def test_retry_budget_is_smaller_when_the_threshold_is_higher() -> None:
    member = Gateway(GATEWAY_SETTINGS, 1)
    shedder = LoadShedder(member)
    member.set_fleet_bounds(member_bounds(load_shedder=shedder, fraction=0.25))
    assert member.retries.compute_max_budget() == pytest.approx(0.25 * MAX_FLEET_RETRY_BUDGET)
    assert member.context.get_resource_fraction("places") == 0.25
    shedder.on_threshold(0.8, 0.0, 0.0)
    assert member.retries.compute_max_budget() == pytest.approx(max(1.0, 0.05 * MAX_FLEET_RETRY_BUDGET))
    member.context.now = THRESHOLD_LEASE_SECONDS + 0.1
    assert member.retries.compute_max_budget() == pytest.approx(0.25 * MAX_FLEET_RETRY_BUDGET)


def test_backend_stays_at_its_capacity_and_recovers_when_it_is_overloaded_twofold() -> None:
    threshold = AdmissionThreshold()
    queue = 0.0
    served = 0.0
    capacity = 0.0
    recovery_seconds = inf
    for tick in range(400):  # a queue before a backend that serves 100 requests per second; latency objective 1 s
        now = tick * TICK_INTERVAL_SECONDS
        load = 200.0 if tick < 200 else 60.0
        arrived = load * (1.0 - threshold.value) * TICK_INTERVAL_SECONDS
        done = min(queue + arrived, 100.0 * TICK_INTERVAL_SECONDS)
        queue = min(150.0, queue + arrived - done)
        for n in range(12):  # member 0 reports a wrong value, member 1 is cut off
            threshold.on_report(f"n{n}", (0.0, 1.0)[n] if n < 2 else min(1.0, queue / 100.0 + 0.05), now)
        threshold.tick(now)
        if 40 <= tick < 200:
            served += done
            capacity += 100.0 * TICK_INTERVAL_SECONDS
        if tick >= 200 and threshold.value == 0.0:
            recovery_seconds = min(recovery_seconds, now - 200 * TICK_INTERVAL_SECONDS)
    assert served >= 0.85 * capacity
    assert recovery_seconds <= 12.0


@pytest.mark.parametrize("thresholds", [(0.2, 0.0), (0.0004, 0.2, 0.0004, 0.0), (0.0, 0.001, 0.0)])
def test_start_and_end_of_load_shedding_are_logged_when_the_threshold_is_low(
    thresholds: tuple[float, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    lines = list[str]()
    monkeypatch.setattr(log, "emit", lambda kind, text, **fields: lines.append(text.split(":")[0]))
    service = OutlierService(clock.Deadlines(MemoryReactorClock()), 1.0, lambda name, message: None)  # type: ignore[no-untyped-call]

    def tick(now: float) -> float:
        service._threshold.value = next(remaining)
        return service._threshold.value

    remaining = iter(thresholds)
    monkeypatch.setattr(service._threshold, "tick", tick)
    for _ in thresholds:
        service._update_threshold(0.0)
    assert lines == ["load shedding begins", "load shedding ends"]


def test_fleet_sheds_and_recovers_when_its_backends_are_slow_for_a_while(tmp_path: Path) -> None:
    classes = [{"name": "look", "on-time": 0.5, "deadline": 3000.0, "effect": "retryable"}]
    with (
        Limiter(tmp_path, backend_count=4, classes=classes) as limiter,
        RunningFleet(tmp_path, limiter) as members,
        RespondingBackends(limiter) as backends,
    ):
        clients = MemberClients(limiter, members.wait_until_ready(3)["members"])
        rejected_count = 0

        def wait_until(is_reached: Callable[[Message], bool]) -> None:
            nonlocal rejected_count
            # The threshold rises within 4 s and falls within 16 s, unless the machine is overloaded.
            end = time.monotonic() + 3.0 * PATIENCE
            while not is_reached(status := members.request(do="overload")):
                assert time.monotonic() < end, json.dumps(status)
                rejected_count += sum(line.startswith(b"-BUSY") for line in clients.request_of_each(customers=50))

        wait_until(lambda status: len(status["members"]) == 3 and status["level"] == 0.0)
        backends.response_seconds = 0.4
        # Few of the first requests rank below a low threshold, so by chance none is rejected before it passes 0.3.
        wait_until(lambda status: status["level"] > 0.3 and rejected_count > 0)
        assert rejected_count > 0
        backends.response_seconds = 0.0
        wait_until(lambda status: status["level"] == 0.0)
        assert "load shedding begins" in (tmp_path / "log").read_text()
