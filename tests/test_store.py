"""The store's arithmetic: charge, settle, debt, floor, moving slices, the ceiling's guard, restarts."""

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

LATE = 100.0  # s after the start: stores made then are full


def test_charge_ahead_and_settle_both_ways() -> None:
    gateway = started()
    first = sends(gateway.handle(LATE, request("r1", 4.0)))[0]
    assert only_store(gateway).level == pytest.approx(10.0 - 4.0)
    gateway.handle(LATE, ended("r1", first, Status.OK, actual_units=1.0))
    assert only_store(gateway).level == pytest.approx(9.0)
    second = sends(gateway.handle(LATE, request("r2", 1.0)))[0]
    gateway.handle(LATE, ended("r2", second, Status.OK, actual_units=12.0))
    assert only_store(gateway).level == pytest.approx(9.0 - 12.0)  # an overrun is debt


def test_refuses_at_once_by_size_and_lets_a_smaller_one_pass() -> None:
    gateway = started()
    gateway.handle(LATE, request("r1", 8.0))
    refused = gateway.handle(LATE, request("r2", 4.0))
    assert [type(a) for a in refused] == [RejectRequest]
    assert sends(gateway.handle(LATE, request("r3", 2.0)))


def test_request_larger_than_the_slice_is_not_refused_for_ever() -> None:
    gateway = started()
    assert sends(gateway.handle(LATE, request("r0", 1.0)))
    assert sends(gateway.handle(LATE + 2.0, request("r1", 25.0)))
    assert not sends(gateway.handle(LATE + 2.1, request("r2", 1.0)))  # the rest is debt


@pytest.mark.parametrize(("pressure", "demand", "charged"), [(1.0, 90.0, 8.0), (1.0, 0.0, 2.0), (0.0, 90.0, 2.0)])
def test_floor_only_beyond_quota_under_pressure(pressure: float, demand: float, charged: float) -> None:
    gateway = started()
    send = sends(gateway.handle(LATE, request("r1", 10.0)))[0]
    store = only_store(gateway)
    before = store.level + 10.0
    gateway.registry.pressure = pressure
    store.local_rate = demand
    gateway.handle(LATE, ended("r1", send, Status.OK, actual_units=2.0))
    assert store.level == pytest.approx(before - charged)


def member(plan: Plan = PLAN, now: float = LATE, spread: int = 3, number: int = 1) -> TokenBucket:
    """A store of a customer whose requests come through some gateways; nothing heard yet."""
    store = TokenBucket(plan, number, now, 0.0, INITIAL_FILL_FRACTION)
    store.join_set(0, spread, max(3, spread), 0.0)
    store.mean_cost = 1.0
    store.refresh(now)
    return store


def word(store: TokenBucket, now: float, others: float, fleet: float) -> None:
    """What a meeting gateway's note does to a store."""
    store.refresh(now)
    store.last_gossip_at, store.remote_rate, store.global_level, store.remote_rate_memory, store.usage_ratio = (
        now,
        others,
        fleet,
        5.0,
        1.0,
    )
    store.last_update_at = now


def test_slice_follows_demand_and_returns_to_even_in_silence() -> None:
    store = member()
    store.last_gossip_at = LATE
    assert store.quota_fraction(store.local_rate) == pytest.approx(1 / 3)
    store.local_rate, store.remote_rate = 8.0, 2.0
    assert 1 / 3 < store.quota_fraction(store.local_rate) < 0.7  # others are heard, but not yet of this customer
    store.last_update_at = LATE
    assert store.quota_fraction(store.local_rate) == pytest.approx(0.8, abs=0.05)
    store.refresh(LATE + 5.0)
    assert store.quota_fraction(store.local_rate) == pytest.approx(1 / 3)


@hypothesis_settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.floats(0.1, 4.0), st.floats(0.0, 0.5)), min_size=1, max_size=60))
def test_moving_slices_never_mint(asks: list[tuple[int, float, float]]) -> None:
    """Whatever moves between slices that hear of each other, it spends one whole store and a lump each."""
    stores, now, spent = [member() for _ in range(3)], LATE, 0.0
    for where, units, wait in asks:
        now += wait
        for number, store in enumerate(stores):
            store.refresh(now)
            store.last_gossip_at, store.is_aggregator, store.remote_rate_memory = now, True, 1.5
            if number == where:
                store.local_rate += units
            else:
                store.remote_rate += units / 1.5
        if stores[where].can_admit(units, 0.5):
            stores[where].charge(units)
            spent += units
            for number, store in enumerate(stores):
                store.global_level -= 0.0 if number == where else units
        for store in stores:
            store.refresh(now)
            assert store.level <= PLAN.burst * store.quota_fraction(store.local_rate) + 1e-9
    assert spent <= PLAN.burst + PLAN.rate * (now - LATE) + 3 * 4.0


def test_a_lone_gateway_gets_no_more_than_the_even_slice() -> None:
    store, spent = member(), 0.0
    for step in range(1000):
        store.refresh(LATE + step * 0.01)
        if store.can_admit(1.0, 0.0):
            store.charge(1.0)
            spent += 1.0
    assert spent <= (PLAN.burst + PLAN.rate * 10.0) / 3.0 + 1.0


def test_lending_needs_word_of_the_fleet_and_stops_at_what_it_holds() -> None:
    store = member()
    store.charge(8.0)
    assert not store.can_admit(4.0, 0.0)
    word(store, LATE, 0.0, 22.0)
    assert store.can_admit(4.0, 0.99)  # nobody else asks: no lot is drawn
    word(store, LATE, 50.0, 3.0)
    store.level = 0.0
    assert not store.can_admit(4.0, 0.0)  # the fleet does not hold it


def test_what_is_left_rises_slower_while_others_ask_beyond_the_quota() -> None:
    store = member()
    word(store, LATE, 40.0, 0.0)
    store.local_rate = 4.0
    store.refresh(LATE + 0.2)
    assert 0.0 < store.global_level < 0.2 * 10.0 * 0.6  # under the whole rate, of which most is not ours


@pytest.mark.parametrize("gateways", [3, 30, 300])
def test_hundreds_that_lend_at_once_do_not_oversell(gateways: int) -> None:
    """Slices of hundreds hold less than one request; all that ask at once draw lots."""
    draw, admitted, rounds = random.Random(gateways), 0.0, 40
    for _ in range(rounds):
        for number in range(gateways):  # each is asked once while the same word is all that they have
            store = member(spread=gateways, number=number)
            word(store, LATE, 2.0 * gateways / 1.5, 20.0)
            store.level, store.local_rate = 0.0, 2.0 / 1.5
            admitted += 2.0 * store.can_admit(2.0, draw.random())
    # Asked in 1.5 s: they may admit what the fleet holds and what flows in meanwhile, and one lump.
    assert admitted / rounds <= 20.0 + PLAN.rate * 1.5 + 2.0


def test_metered_excess_makes_lots_rarer() -> None:
    admitted = []
    for excess in (1.0, 3.0):
        store = member()
        word(store, LATE, 60.0, 20.0)
        store.level, store.usage_ratio = 1.0, excess
        admitted.append(sum(store.can_admit(2.0, n / 100.0) for n in range(100)))
    assert 0 < admitted[1] < admitted[0] / 2
    store.level = -1.0
    assert not store.can_admit(2.0, 0.0)  # no word of the level: a slice in debt lends nothing


def test_restart_starts_short_of_a_full_slice_and_with_an_empty_ceiling() -> None:
    fresh = member(CAPPED, 0.0)
    assert fresh.level < CAPPED.burst / 3
    assert fresh.ceiling_level == 0.0
    assert not fresh.can_admit(1.0, 0.0)


@hypothesis_settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.floats(0.5, 4.0), st.floats(0.0, 0.05), st.integers(0, 9)),
        min_size=40,
        max_size=120,
    )
)
def test_ceiling_kept_by_each_gateway_alone(steps: list[tuple[int, float, float, int]]) -> None:
    """Three gateways that hear all kinds of demand, restarting at will, against one true ceiling store."""
    gateways = [started(settings(index=n)) for n in range(3)]
    now, level, last = 50.0, CAPPED.ceiling_burst, 50.0
    for number, (where, units, wait, restart) in enumerate(steps):
        now += wait
        if restart == 0:
            gateways[where] = started(settings(index=where), now)
        level, last = min(CAPPED.ceiling_burst, level + CAPPED.ceiling_rate * (now - last)), now
        for actions in [gateways[where].handle(now, request(f"r{number}", units, plan="capped"))]:
            level -= units * len(sends(actions))
        for store in gateways[where].buckets.values():
            store.last_gossip_at = now
            store.global_level = CAPPED.burst
            gateways[where].token_buckets.last_gossip_at = now
        assert level >= -CAPPED.ceiling_slack - 1e-6


def test_open_limit_is_held() -> None:
    plan = Plan("few", max_concurrency=6)
    gateway = started(settings(plans=(plan,)))
    out = [sends(gateway.handle(LATE, request(f"r{n}", plan="few"))) for n in range(5)]
    assert [len(s) for s in out] == [1, 1, 0, 0, 0]
