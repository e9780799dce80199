"""The token bucket: charges, settlement, debt, least charge, moving slices, the hard ceiling, restarts."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tests.helpers import CAPPED, PLAN, ended, only_store, request, sends, settings, started
from thymeflow.decision.actions import RejectRequest
from thymeflow.decision.settings import Plan
from thymeflow.decision.types import Status
from thymeflow.quota.buckets import INITIAL_FILL_FRACTION
from thymeflow.quota.token_bucket import TokenBucket

LATE = 100.0  # s after the start: buckets created then are full


def test_declared_units_are_charged_and_settled_when_the_attempt_ends() -> None:
    gateway = started()
    first = sends(gateway.handle(LATE, request("r1", 4.0)))[0]
    assert only_store(gateway).level == pytest.approx(10.0 - 4.0)
    gateway.handle(LATE, ended("r1", first, Status.OK, actual_units=1.0))
    assert only_store(gateway).level == pytest.approx(9.0)
    second = sends(gateway.handle(LATE, request("r2", 1.0)))[0]
    gateway.handle(LATE, ended("r2", second, Status.OK, actual_units=12.0))
    assert only_store(gateway).level == pytest.approx(9.0 - 12.0)  # an overrun is debt


def test_request_is_rejected_and_a_smaller_one_admitted_when_the_level_is_between() -> None:
    gateway = started()
    gateway.handle(LATE, request("r1", 8.0))
    rejection = gateway.handle(LATE, request("r2", 4.0))
    assert [type(a) for a in rejection] == [RejectRequest]
    assert sends(gateway.handle(LATE, request("r3", 2.0)))


def test_request_is_admitted_eventually_when_it_is_larger_than_the_slice() -> None:
    gateway = started()
    assert sends(gateway.handle(LATE, request("r0", 1.0)))
    assert sends(gateway.handle(LATE + 2.0, request("r1", 25.0)))
    assert not sends(gateway.handle(LATE + 2.1, request("r2", 1.0)))  # the rest is debt


@pytest.mark.parametrize(("pressure", "demand", "charged"), [(1.0, 90.0, 8.0), (1.0, 0.0, 2.0), (0.0, 90.0, 2.0)])
def test_least_charge_applies_only_when_a_customer_is_over_quota_under_pressure(
    pressure: float, demand: float, charged: float
) -> None:
    gateway = started()
    send = sends(gateway.handle(LATE, request("r1", 10.0)))[0]
    bucket = only_store(gateway)
    before = bucket.level + 10.0
    gateway.registry.pressure = pressure
    bucket.local_rate = demand
    gateway.handle(LATE, ended("r1", send, Status.OK, actual_units=2.0))
    assert bucket.level == pytest.approx(before - charged)


def member(plan: Plan = PLAN, now: float = LATE, spread: int = 3, number: int = 1) -> TokenBucket:
    """Return the bucket of a customer whose requests come through some gateways, before any report."""
    bucket = TokenBucket(plan, number, now, 0.0, INITIAL_FILL_FRACTION)
    bucket.join_set(0, spread, max(3, spread), 0.0)
    bucket.mean_cost = 1.0
    bucket.refresh(now)
    return bucket


def apply_report(bucket: TokenBucket, now: float, remote_rate: float, global_level: float) -> None:
    """Change a bucket as the aggregate of a rendezvous node does."""
    bucket.refresh(now)
    bucket.last_remote_report_at = now
    bucket.remote_rate = remote_rate
    bucket.global_level = global_level
    bucket.remote_rate_memory = 5.0
    bucket.usage_ratio = 1.0
    bucket.last_customer_report_at = now


def test_slice_follows_demand_and_returns_to_even_when_reports_stop() -> None:
    bucket = member()
    bucket.last_remote_report_at = LATE
    assert bucket.compute_quota_fraction(bucket.local_rate) == pytest.approx(1 / 3)
    bucket.local_rate = 8.0
    bucket.remote_rate = 2.0
    assert (
        1 / 3 < bucket.compute_quota_fraction(bucket.local_rate) < 0.7
    )  # peers report, but not yet about this customer
    bucket.last_customer_report_at = LATE
    assert bucket.compute_quota_fraction(bucket.local_rate) == pytest.approx(0.8, abs=0.05)
    bucket.refresh(LATE + 5.0)
    assert bucket.compute_quota_fraction(bucket.local_rate) == pytest.approx(1 / 3)


@hypothesis_settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.floats(0.1, 4.0), st.floats(0.0, 0.5)), min_size=1, max_size=60))
def test_no_units_are_created_when_slices_move(requests: list[tuple[int, float, float]]) -> None:
    """Slices that know of each other spend one complete bucket, and one request each."""
    buckets = [member() for _ in range(3)]
    now = LATE
    spent = 0.0
    for where, units, wait in requests:
        now += wait
        for number, bucket in enumerate(buckets):
            bucket.refresh(now)
            bucket.last_remote_report_at = now
            bucket.is_aggregator = True
            bucket.remote_rate_memory = 1.5
            if number == where:
                bucket.local_rate += units
            else:
                bucket.remote_rate += units / 1.5
        if buckets[where].can_admit(units, 0.5):
            buckets[where].charge(units)
            spent += units
            for number, bucket in enumerate(buckets):
                bucket.global_level -= 0.0 if number == where else units
        for bucket in buckets:
            bucket.refresh(now)
            assert bucket.level <= PLAN.burst * bucket.compute_quota_fraction(bucket.local_rate) + 1e-9
    assert spent <= PLAN.burst + PLAN.rate * (now - LATE) + 3 * 4.0


def test_gateway_gets_no_more_than_the_even_slice_when_nothing_is_reported() -> None:
    bucket = member()
    spent = 0.0
    for step in range(1000):
        bucket.refresh(LATE + step * 0.01)
        if bucket.can_admit(1.0, 0.0):
            bucket.charge(1.0)
            spent += 1.0
    assert spent <= (PLAN.burst + PLAN.rate * 10.0) / 3.0 + 1.0


def test_units_are_lent_only_when_the_set_reports_that_it_has_them() -> None:
    bucket = member()
    bucket.charge(8.0)
    assert not bucket.can_admit(4.0, 0.0)
    apply_report(bucket, LATE, 0.0, 22.0)
    assert bucket.can_admit(4.0, 0.99)  # there is no remote demand: nothing is sampled
    apply_report(bucket, LATE, 50.0, 3.0)
    bucket.level = 0.0
    assert not bucket.can_admit(4.0, 0.0)  # the set does not have as much


def test_global_level_rises_slower_when_remote_demand_exceeds_the_quota() -> None:
    bucket = member()
    apply_report(bucket, LATE, 40.0, 0.0)
    bucket.local_rate = 4.0
    bucket.refresh(LATE + 0.2)
    assert 0.0 < bucket.global_level < 0.2 * 10.0 * 0.6  # less than the complete rate, most of which is remote


@pytest.mark.parametrize("gateways", [3, 30, 300])
def test_set_does_not_over_admit_when_hundreds_of_limiters_lend_at_once(gateways: int) -> None:
    """Slices of hundreds of limiters are under one request: simultaneous requests are sampled."""
    rng = random.Random(gateways)
    admitted = 0.0
    rounds = 40
    for _ in range(rounds):
        for number in range(gateways):  # each gets one request, and all have the same report
            bucket = member(spread=gateways, number=number)
            apply_report(bucket, LATE, 2.0 * gateways / 1.5, 20.0)
            bucket.level = 0.0
            bucket.local_rate = 2.0 / 1.5
            admitted += 2.0 * bucket.can_admit(2.0, rng.random())
    # In 1.5 s: they may admit what the set has, what is refilled meanwhile, and one request.
    assert admitted / rounds <= 20.0 + PLAN.rate * 1.5 + 2.0


def test_fewer_requests_are_sampled_when_metered_usage_exceeds_the_quota() -> None:
    admitted = []
    for usage_ratio in (1.0, 3.0):
        bucket = member()
        apply_report(bucket, LATE, 60.0, 20.0)
        bucket.level = 1.0
        bucket.usage_ratio = usage_ratio
        admitted.append(sum(bucket.can_admit(2.0, n / 100.0) for n in range(100)))
    assert 0 < admitted[1] < admitted[0] / 2
    bucket.level = -1.0
    assert not bucket.can_admit(2.0, 0.0)  # the level is not reported: a slice in debt lends nothing


def test_slice_is_not_full_and_ceiling_empty_when_a_gateway_restarts() -> None:
    restarted = member(CAPPED, 0.0)
    assert restarted.level < CAPPED.burst / 3
    assert restarted.ceiling_level == 0.0
    assert not restarted.can_admit(1.0, 0.0)


@hypothesis_settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.floats(0.5, 4.0), st.floats(0.0, 0.05), st.integers(0, 9)),
        min_size=40,
        max_size=120,
    )
)
def test_ceiling_is_not_exceeded_when_gateways_know_only_their_own_use(
    steps: list[tuple[int, float, float, int]],
) -> None:
    """Three gateways that restart at any time, whatever is reported to them, against one reference ceiling."""
    gateways = [started(settings(index=n)) for n in range(3)]
    now = 50.0
    level = CAPPED.ceiling_burst
    last = 50.0
    for number, (where, units, wait, restart) in enumerate(steps):
        now += wait
        if restart == 0:
            gateways[where] = started(settings(index=where), now)
        level = min(CAPPED.ceiling_burst, level + CAPPED.ceiling_rate * (now - last))
        last = now
        for actions in [gateways[where].handle(now, request(f"r{number}", units, plan="capped"))]:
            level -= units * len(sends(actions))
        for bucket in gateways[where].buckets.values():
            bucket.last_remote_report_at = now
            bucket.global_level = CAPPED.burst
            gateways[where].token_buckets.last_remote_report_at = now
        assert level >= -CAPPED.ceiling_slack - 1e-6


def test_concurrency_cap_is_not_exceeded_when_requests_stay_open() -> None:
    plan = Plan("few", max_concurrency=6)
    gateway = started(settings(plans=(plan,)))
    out = [sends(gateway.handle(LATE, request(f"r{n}", plan="few"))) for n in range(5)]
    assert [len(s) for s in out] == [1, 1, 0, 0, 0]
