"""Many limiters and backends with few requests at each limiter: gateways in virtual time, without sockets."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

from tests.helpers import ended, fleet, request, sends, settings, started
from thymeflow.decision.events import EndpointsChanged, TimerFired
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import Plan, Rules
from thymeflow.decision.types import Backend, BackendState, EndpointListKind, Status
from thymeflow.quota.token_bucket import TokenBucket

SMALL_PLAN = Plan("plain", rate=2.0, burst=16.0, over_quota_cost=0.6)


def create_bucket(local_rate: float, remote_rate: float, plan: Plan = SMALL_PLAN) -> TokenBucket:
    """Return a bucket of a set of 40 limiters with known remote demand; rates are in units per second."""
    bucket = TokenBucket(plan, 1, 100.0, 0.0, 0.5)
    bucket.mean_cost = 2.0
    bucket.join_set(0, 40, 40, 0.0)
    bucket.last_remote_report_at = 99.0
    bucket.last_customer_report_at = 99.0
    bucket.local_rate = local_rate
    bucket.remote_rate = remote_rate
    bucket.set_level = 2.0
    return bucket


def compute_admitted_fraction(bucket: TokenBucket, units: float = 2.0) -> float:
    """Return the fraction of 200 evenly spaced samples for which the bucket admits a request of some units."""
    return sum(bucket.can_admit(units, n / 200.0) for n in range(200)) / 200.0


def test_new_customer_is_admitted_when_nothing_has_been_reported() -> None:
    config = settings(limiter_count=40, plans=(SMALL_PLAN,))
    gateways = [started(config, seed=n) for n in range(40)]
    attempts = [sends(g.handle(0.05, request("a", 2.0, set_size=40))) for g in gateways[:4]]
    assert all(attempts), "a request within the first half of the customer's burst was rejected"


def test_set_stays_near_its_quota_when_nothing_is_reported() -> None:
    config = settings(limiter_count=40, plans=(SMALL_PLAN,))
    units = 0.0
    for number in range(40):  # Each limiter receives requests at the customer's full rate for 20 s, and no report.
        gateway = started(config, seed=number)
        units += sum(2.0 * len(sends(gateway.handle(20.0 + n, request(f"r{n}", 2.0, set_size=40)))) for n in range(20))
    assert units <= 16.0 + 40 * 2.0 + 2.0 * 20 * 1.5, (
        "the set forwarded more than the burst, one request above the level per limiter, and the rate"
    )


def test_gateway_admits_only_refilled_units_when_it_joins_a_running_set() -> None:
    gateway = started(settings(limiter_count=40, plans=(SMALL_PLAN,)))
    gateway.token_buckets.initial_fill = 0.0
    assert not sends(gateway.handle(0.0, request("a", 2.0, set_size=40)))
    assert sends(gateway.handle(8.1, request("b", 2.0, set_size=40)))


def test_admitted_fraction_falls_with_demand_when_the_set_is_over_quota() -> None:
    admitted_fractions = [compute_admitted_fraction(create_bucket(0.05, demand)) for demand in (0.6, 4.0, 8.0, 16.0)]
    assert admitted_fractions[0] == 1.0
    assert admitted_fractions[1] > 1.6 * admitted_fractions[2] > 2.5 * admitted_fractions[3]
    assert 16.0 * admitted_fractions[3] <= 2.0, "the set forwards more than the rate"


def test_set_demand_is_estimated_from_local_demand_when_the_counter_has_not_reported() -> None:
    earlier_rate = 6.0 / create_bucket(0.0, 0.0).local_rate_decay_seconds
    assert (
        compute_admitted_fraction(
            create_bucket(earlier_rate + 2.0 / create_bucket(0.0, 0.0).local_rate_decay_seconds, 0.0)
        )
        < 0.2
    )
    assert compute_admitted_fraction(create_bucket(2.0 / create_bucket(0.0, 0.0).local_rate_decay_seconds, 0.0)) == 1.0


def test_fewer_requests_are_admitted_when_use_over_quota_has_a_higher_cost() -> None:
    admitted_fractions = [
        compute_admitted_fraction(create_bucket(0.05, 8.0, replace(SMALL_PLAN, over_quota_cost=cost)))
        for cost in (0.0, 0.5, 1.2)
    ]
    assert admitted_fractions[0] > admitted_fractions[1] > admitted_fractions[2] > 0.0


def test_request_above_the_level_is_admitted_only_when_use_over_quota_has_no_cost() -> None:
    for cost, fraction_bound in ((0.6, 0.0), (0.0, 0.5)):
        bucket = create_bucket(0.05, 1.0, replace(SMALL_PLAN, over_quota_cost=cost))
        bucket.set_level = 1.0  # A request needs two units.
        assert (compute_admitted_fraction(bucket) > fraction_bound) == (fraction_bound > 0.0)


def test_slow_start_limits_hold_for_forty_limiters_when_most_backends_are_replaced() -> None:
    rng = random.Random(5)
    rules = Rules(overload_multiple=2.5, overload_seconds=3.0, slow_start_fraction=0.17, slow_start_seconds=18.0)
    cores = 3.0
    attempt_core_seconds = 0.22
    config = settings(limiter_count=40, rules=rules, plans=(replace(SMALL_PLAN, rate=0.0),))
    gateways = [Gateway(config, n) for n in range(40)]
    sent: dict[int, list[float]] = {}
    for gateway in gateways:
        gateway.handle(1000.0, EndpointsChanged(EndpointListKind.CACHED, fleet(60)))
    replacements = [(7.0 * n / 36, n) for n in range(36)]
    for step in range(450 * 12):  # 450 requests per second, each answered immediately.
        now = 1000.0 + step / 450.0
        while replacements and 1000.0 + replacements[0][0] <= now:
            replaced_index = replacements.pop(0)[1]
            removed = Backend(replaced_index + 1, "ab"[replaced_index % 2], BackendState.GONE)
            change = EndpointsChanged(
                EndpointListKind.DELTA, (removed, Backend(100 + replaced_index, "ab"[replaced_index % 2], started=now))
            )
            for gateway in gateways:
                gateway.handle(now, change)
        gateway = rng.choice(gateways)
        for send in sends(gateway.handle(now, request(f"r{step}"))):
            gateway.handle(now, ended(f"r{step}", send, Status.OK))
            if send.backend >= 100:
                sent.setdefault(send.backend, []).append(now)
    assert len(sent) == 36, "a new backend got no attempt"
    for number, sent_times in sent.items():
        started_at = 1000.0 + 7.0 * (number - 100) / 36
        for window_start in sent_times:  # Within the window, the backend's capacity is least at the start.
            capacity_fraction = 0.17 + 0.83 * (window_start - started_at) / 18.0
            load_core_seconds = attempt_core_seconds * sum(window_start <= t < window_start + 3.0 for t in sent_times)
            assert load_core_seconds <= 2.5 * capacity_fraction * cores * 3.0, f"{number} may fail under its load"
    late_attempts_per_backend = sum(len([t for t in times if t > 1010.0]) for times in sent.values()) / 36
    # Backends that were all warmed up would get 15 attempts each.
    assert late_attempts_per_backend >= 11.0, "backends that are half warmed up are left idle"


def test_warmed_up_backend_is_not_overloaded_when_nearly_all_others_warm_up() -> None:
    gateway = started(settings(limiter_count=1, plans=(replace(SMALL_PLAN, rate=0.0),)), 100.0)
    sent = Counter[int]()
    starting_backends = [Backend(n, "a", started=94.0) for n in range(2, 25)]  # 23 starting backends, 1 warmed up.
    gateway.handle(100.0, EndpointsChanged(EndpointListKind.FULL, (*fleet(1), *starting_backends)))
    for n in range(600):
        for send in sends(gateway.handle(100.0 + n / 600.0, request(f"r{n}", 0.01, customer=str(n)))):
            sent[send.backend] += 1
            gateway.handle(100.0 + n / 600.0, ended(f"r{n}", send, Status.OK))
    assert len(sent) == 24
    assert sent[1] <= 0.12 * sum(sent.values())


def test_concurrency_follows_the_present_capacity_when_backends_drain_or_warm_up() -> None:
    def count_admitted(now: float, gateway: Gateway) -> int:
        count = 0
        while sends(gateway.handle(now, request(f"{now}-{count}", 0.01, customer=str(count), set_size=1))):
            count += 1
        return count

    def create_restarted_gateway(state: BackendState, age: float) -> Gateway:
        gateway = started(settings(limiter_count=1), 100.0)
        endpoints = [b._replace(state=state, started=100.0 - age) for b in fleet()[1:]]
        gateway.handle(100.0, EndpointsChanged(EndpointListKind.DELTA, tuple(endpoints)))
        return gateway

    admitted_warmed_up = count_admitted(100.0, started(settings(limiter_count=1), 100.0))
    admitted_just_started, admitted_warming_up = (
        count_admitted(100.0, create_restarted_gateway(BackendState.READY, age)) for age in (0.1, 8.0)
    )
    assert count_admitted(100.0, create_restarted_gateway(BackendState.DRAINING, 50.0)) < 0.6 * admitted_warmed_up, (
        "draining backends count as capacity"
    )
    assert admitted_just_started < 0.7 * admitted_warmed_up
    assert admitted_just_started < admitted_warming_up < admitted_warmed_up
    restarted_gateway = create_restarted_gateway(BackendState.READY, 0.1)
    restarted_gateway.handle(120.0, TimerFired(1))  # The next tick.
    assert count_admitted(120.0, restarted_gateway) >= admitted_warmed_up
