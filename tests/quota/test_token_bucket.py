"""The token bucket: charges, settlement, debt, minimum charge, slices that follow demand, hard ceiling and restarts.

The tests guard against units that are created when slices move between limiters, against limiters that borrow the same
units at once, and against a hard ceiling that is exceeded when gateways restart or know only their own use.
"""

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
from thymeflow.quota.buckets import INITIAL_FILL_FRACTION, MAX_BUCKETS
from thymeflow.quota.counter_encoding import compute_customer_id
from thymeflow.quota.token_bucket import TokenBucket

FULL_BUCKETS_AT = 100.0  # Time in s after the gateway's start from which new buckets are full


def test_declared_units_are_charged_and_settled_when_the_attempt_ends() -> None:
    gateway = started()
    first = sends(gateway.handle(FULL_BUCKETS_AT, request("r1", 4.0)))[0]
    assert only_store(gateway).level == pytest.approx(10.0 - 4.0)
    gateway.handle(FULL_BUCKETS_AT, ended("r1", first, Status.OK, actual_units=1.0))
    assert only_store(gateway).level == pytest.approx(9.0)
    second = sends(gateway.handle(FULL_BUCKETS_AT, request("r2", 1.0)))[0]
    gateway.handle(FULL_BUCKETS_AT, ended("r2", second, Status.OK, actual_units=12.0))
    assert only_store(gateway).level == pytest.approx(9.0 - 12.0)  # An overrun becomes debt.


def test_large_request_is_rejected_and_small_one_admitted_when_the_level_covers_only_the_small_one() -> None:
    gateway = started()
    gateway.handle(FULL_BUCKETS_AT, request("r1", 8.0))
    rejection = gateway.handle(FULL_BUCKETS_AT, request("r2", 4.0))
    assert [type(a) for a in rejection] == [RejectRequest]
    assert sends(gateway.handle(FULL_BUCKETS_AT, request("r3", 2.0)))


def test_request_is_admitted_eventually_when_it_is_larger_than_the_slice() -> None:
    gateway = started()
    assert sends(gateway.handle(FULL_BUCKETS_AT, request("r0", 1.0)))
    assert sends(gateway.handle(FULL_BUCKETS_AT + 2.0, request("r1", 25.0)))
    assert not sends(gateway.handle(FULL_BUCKETS_AT + 2.1, request("r2", 1.0)))  # The missing units became debt.


@pytest.mark.parametrize(("pressure", "demand", "charged"), [(1.0, 90.0, 8.0), (1.0, 0.0, 2.0), (0.0, 90.0, 2.0)])
def test_minimum_charge_applies_only_when_a_customer_is_over_quota_under_pressure(
    pressure: float, demand: float, charged: float
) -> None:
    gateway = started()
    send = sends(gateway.handle(FULL_BUCKETS_AT, request("r1", 10.0)))[0]
    bucket = only_store(gateway)
    before = bucket.level + 10.0
    gateway.registry.pressure = pressure
    bucket.local_rate = demand
    gateway.handle(FULL_BUCKETS_AT, ended("r1", send, Status.OK, actual_units=2.0))
    assert bucket.level == pytest.approx(before - charged)


def build_member_bucket(
    plan: Plan = PLAN, now: float = FULL_BUCKETS_AT, set_size: int = 3, customer_id: int = 1
) -> TokenBucket:
    """Return the bucket of a customer whose set has `set_size` gateways, before any report arrives."""
    bucket = TokenBucket(plan, customer_id, now, 0.0, INITIAL_FILL_FRACTION)
    bucket.join_set(0, set_size, max(3, set_size), 0.0)
    bucket.mean_cost = 1.0
    bucket.refresh(now)
    return bucket


def apply_aggregate(bucket: TokenBucket, now: float, remote_rate: float, set_level: float) -> None:
    """Change a bucket in the way an aggregate from a rendezvous node does."""
    bucket.refresh(now)
    bucket.last_remote_report_at = now
    bucket.remote_rate = remote_rate
    bucket.set_level = set_level
    bucket.remote_rate_decay_seconds = 5.0
    bucket.usage_ratio = 1.0
    bucket.last_customer_report_at = now


def test_slice_follows_demand_and_returns_to_even_when_reports_stop() -> None:
    bucket = build_member_bucket()
    bucket.last_remote_report_at = FULL_BUCKETS_AT
    assert bucket.compute_quota_fraction(bucket.local_rate) == pytest.approx(1 / 3)
    bucket.local_rate = 8.0
    bucket.remote_rate = 2.0
    # Peers report, but not on this customer yet.
    assert 1 / 3 < bucket.compute_quota_fraction(bucket.local_rate) < 0.7
    bucket.last_customer_report_at = FULL_BUCKETS_AT
    assert bucket.compute_quota_fraction(bucket.local_rate) == pytest.approx(0.8, abs=0.05)
    bucket.refresh(FULL_BUCKETS_AT + 5.0)
    assert bucket.compute_quota_fraction(bucket.local_rate) == pytest.approx(1 / 3)


@hypothesis_settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.floats(0.1, 4.0), st.floats(0.0, 0.5)), min_size=1, max_size=60))
def test_no_units_are_created_when_slices_move(requests: list[tuple[int, float, float]]) -> None:
    """Three limiters that know each other's use spend at most one complete bucket, its refill, and one request each."""
    buckets = [build_member_bucket() for _ in range(3)]
    now = FULL_BUCKETS_AT
    spent = 0.0
    for limiter, units, wait in requests:
        now += wait
        for index, bucket in enumerate(buckets):
            bucket.refresh(now)
            bucket.last_remote_report_at = now
            bucket.has_first_hand_reports = True
            bucket.remote_rate_decay_seconds = 1.5
            if index == limiter:
                bucket.local_rate += units
            else:
                bucket.remote_rate += units / 1.5
        if buckets[limiter].can_admit(units, 0.5):
            buckets[limiter].charge(units)
            spent += units
            for index, bucket in enumerate(buckets):
                bucket.set_level -= 0.0 if index == limiter else units
        for bucket in buckets:
            bucket.refresh(now)
            assert bucket.level <= PLAN.burst * bucket.compute_quota_fraction(bucket.local_rate) + 1e-9
    assert spent <= PLAN.burst + PLAN.rate * (now - FULL_BUCKETS_AT) + 3 * 4.0


def test_gateway_gets_no_more_than_the_even_slice_when_nothing_is_reported() -> None:
    bucket = build_member_bucket()
    spent = 0.0
    for step in range(1000):
        bucket.refresh(FULL_BUCKETS_AT + step * 0.01)
        if bucket.can_admit(1.0, 0.0):
            bucket.charge(1.0)
            spent += 1.0
    assert spent <= (PLAN.burst + PLAN.rate * 10.0) / 3.0 + 1.0


def test_units_are_borrowed_only_when_the_set_reports_that_it_has_them() -> None:
    bucket = build_member_bucket()
    bucket.charge(8.0)
    assert not bucket.can_admit(4.0, 0.0)
    apply_aggregate(bucket, FULL_BUCKETS_AT, 0.0, 22.0)
    assert bucket.can_admit(4.0, 0.99)  # There is no remote demand, so the sample has no effect.
    apply_aggregate(bucket, FULL_BUCKETS_AT, 50.0, 3.0)
    bucket.level = 0.0
    assert not bucket.can_admit(4.0, 0.0)  # The level of the set is below 4 units.


def test_set_level_rises_slower_when_remote_demand_exceeds_the_quota() -> None:
    bucket = build_member_bucket()
    apply_aggregate(bucket, FULL_BUCKETS_AT, 40.0, 0.0)
    bucket.local_rate = 4.0
    bucket.refresh(FULL_BUCKETS_AT + 0.2)
    # The level rises by less than the complete rate, because other limiters use most of it.
    assert 0.0 < bucket.set_level < 0.2 * 10.0 * 0.6


@pytest.mark.parametrize("gateway_count", [3, 30, 300])
def test_set_does_not_over_admit_when_hundreds_of_limiters_borrow_at_once(gateway_count: int) -> None:
    """Slices of hundreds of limiters are smaller than one request, so requests are admitted by sampling."""
    rng = random.Random(gateway_count)
    admitted = 0.0
    rounds = 40
    for _ in range(rounds):
        for customer_id in range(gateway_count):  # Each gateway gets one request, and all have the same report.
            bucket = build_member_bucket(set_size=gateway_count, customer_id=customer_id)
            apply_aggregate(bucket, FULL_BUCKETS_AT, 2.0 * gateway_count / 1.5, 20.0)
            bucket.level = 0.0
            bucket.local_rate = 2.0 / 1.5
            admitted += 2.0 * bucket.can_admit(2.0, rng.random())
    # In 1.5 s the gateways may admit the level of the set, the units refilled in this time, and one request.
    assert admitted / rounds <= 20.0 + PLAN.rate * 1.5 + 2.0


def test_fewer_requests_are_admitted_by_sampling_when_metered_usage_exceeds_the_quota() -> None:
    admitted = []
    for usage_ratio in (1.0, 3.0):
        bucket = build_member_bucket()
        apply_aggregate(bucket, FULL_BUCKETS_AT, 60.0, 20.0)
        bucket.level = 1.0
        bucket.usage_ratio = usage_ratio
        admitted.append(sum(bucket.can_admit(2.0, n / 100.0) for n in range(100)))
    assert 0 < admitted[1] < admitted[0] / 2
    bucket.level = -1.0
    assert not bucket.can_admit(2.0, 0.0)  # The set's level is not reported, so a slice in debt borrows nothing.


def test_ceiling_is_empty_and_slice_is_not_full_when_a_gateway_starts() -> None:
    restarted = build_member_bucket(CAPPED, 0.0)
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
    """Three gateways together stay under the ceiling of one reference bucket.

    They restart at random, and reports tell them that the set's bucket is full.
    """
    gateways = [started(settings(index=n)) for n in range(3)]
    now = 50.0
    level = CAPPED.ceiling_burst
    last_request_at = 50.0
    for number, (limiter, units, wait, restart) in enumerate(steps):
        now += wait
        if restart == 0:
            gateways[limiter] = started(settings(index=limiter), now)
        level = min(CAPPED.ceiling_burst, level + CAPPED.ceiling_rate * (now - last_request_at))
        last_request_at = now
        for actions in [gateways[limiter].handle(now, request(f"r{number}", units, plan="capped"))]:
            level -= units * len(sends(actions))
        for bucket in gateways[limiter].buckets.values():
            bucket.last_remote_report_at = now
            bucket.set_level = CAPPED.burst
            gateways[limiter].token_buckets.last_remote_report_at = now
        assert level >= -CAPPED.ceiling_slack - 1e-6


def test_concurrency_cap_is_not_exceeded_when_requests_stay_open() -> None:
    plan = Plan("few", max_concurrency=6)
    gateway = started(settings(plans=(plan,)))
    attempts = [sends(gateway.handle(FULL_BUCKETS_AT, request(f"r{n}", plan="few"))) for n in range(5)]
    assert [len(started_attempts) for started_attempts in attempts] == [1, 1, 0, 0, 0]


def test_number_of_buckets_is_bounded_when_requests_come_under_ever_new_customers() -> None:
    # Guards against a memory that grows with the names that one client invents.
    gateway = started()
    count = MAX_BUCKETS * 2
    for number in range(count):
        now = FULL_BUCKETS_AT + number * 1e-4
        gateway.handle(now, request(f"steady{number}", 0.001, customer="steady"))
        gateway.handle(now, request(f"r{number}", 40.0, customer=f"c{number}"))
    steady = compute_customer_id("steady")
    assert len(gateway.buckets) <= MAX_BUCKETS
    assert steady in gateway.buckets
    assert compute_customer_id(f"c{count - 1}") in gateway.buckets


def test_timers_do_not_outlive_their_requests_when_clients_would_wait_for_days() -> None:
    # Guards against a memory that grows with the waits that clients tell.
    gateway = started()
    timers_before = len(gateway.timers)
    for number in range(20):
        (send,) = sends(gateway.handle(FULL_BUCKETS_AT + number, request(f"r{number}", remaining=1e6)))
        gateway.handle(FULL_BUCKETS_AT + number, ended(f"r{number}", send, Status.OK))
    assert len(gateway.timers) == timers_before
    assert len(gateway.take_cancelled_timers()) == 20
