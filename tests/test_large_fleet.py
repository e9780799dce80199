"""Many limiters and servers, each limiter seeing little: gateways under a virtual clock, no sockets."""

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

SMALL = Plan("plain", rate=2.0, burst=16.0, over_quota_cost=0.6)


def member(own: float, others: float, plan: Plan = SMALL) -> TokenBucket:
    """A store in a set of 40 whose limiter has heard of the others, with demand in units a second."""
    store = TokenBucket(plan, 1, 100.0, 0.0, 0.5)
    store.mean_cost = 2.0
    store.join_set(0, 40, 40, 0.0)
    store.last_gossip_at = store.last_update_at = 99.0
    store.local_rate, store.remote_rate, store.global_level = own, others, 2.0
    return store


def share(store: TokenBucket, units: float = 2.0) -> float:
    """How much of what is asked finds room."""
    return sum(store.can_admit(units, n / 200.0) for n in range(200)) / 200.0


def test_who_is_met_for_the_first_time_is_let_in_before_anything_is_heard() -> None:
    config = settings(limiter_count=40, plans=(SMALL,))
    gateways = [started(config, seed=n) for n in range(40)]
    first = [sends(g.handle(0.05, request("a", 2.0, set_size=40))) for g in gateways[:4]]
    assert all(first), "a customer that has asked for half of its burst was refused"


def test_unheard_each_limiter_of_many_gives_its_part_of_the_rate() -> None:
    config, units = settings(limiter_count=40, plans=(SMALL,)), 0.0
    for number in range(40):  # every limiter is asked for the whole rate for 20 s and hears nothing
        gateway = started(config, seed=number)
        units += sum(2.0 * len(sends(gateway.handle(20.0 + n, request(f"r{n}", 2.0, set_size=40)))) for n in range(20))
    assert units <= 16.0 + 40 * 2.0 + 2.0 * 20 * 1.5, "more than the burst, one lent by each, and the rate"


def test_one_that_joins_a_running_set_lends_nothing_of_what_is_given_out() -> None:
    gateway = started(settings(limiter_count=40, plans=(SMALL,)))
    gateway.token_buckets.initial_fill = 0.0
    assert not sends(gateway.handle(0.0, request("a", 2.0, set_size=40)))
    assert sends(gateway.handle(8.1, request("b", 2.0, set_size=40)))


def test_beyond_the_quota_the_share_let_in_falls_with_the_demand_of_the_whole_set() -> None:
    shares = [share(member(0.05, demand)) for demand in (0.6, 4.0, 8.0, 16.0)]
    assert shares[0] == 1.0
    assert shares[1] > 1.6 * shares[2] > 2.5 * shares[3]
    assert 16.0 * shares[3] <= 2.0, "the set sends on more than the rate"


def test_what_was_asked_here_tells_of_the_whole_set_before_the_counter_does() -> None:
    asked_before = 6.0 / member(0.0, 0.0).local_rate_memory
    assert share(member(asked_before + 2.0 / member(0.0, 0.0).local_rate_memory, 0.0)) < 0.2
    assert share(member(2.0 / member(0.0, 0.0).local_rate_memory, 0.0)) == 1.0


def test_the_dearer_it_is_to_be_beyond_the_quota_the_more_is_held_back() -> None:
    shares = [share(member(0.05, 8.0, replace(SMALL, over_quota_cost=cost))) for cost in (0.0, 0.5, 1.2)]
    assert shares[0] > shares[1] > shares[2] > 0.0


def test_what_the_set_does_not_hold_is_lent_only_where_that_costs_nothing() -> None:
    for cost, lent in ((0.6, 0.0), (0.0, 0.5)):
        store = member(0.05, 1.0, replace(SMALL, over_quota_cost=cost))
        store.global_level = 1.0  # of the two units that are asked for
        assert (share(store) > lent) == (lent > 0.0)


def test_forty_limiters_keep_the_cold_budget_while_six_in_ten_servers_are_replaced() -> None:
    rng, rules, cores, work = (
        random.Random(5),
        Rules(overload_multiple=2.5, overload_seconds=3.0, slow_start_fraction=0.17, slow_start_seconds=18.0),
        3.0,
        0.22,
    )
    config = settings(limiter_count=40, rules=rules, plans=(replace(SMALL, rate=0.0),))
    gateways = [Gateway(config, n) for n in range(40)]
    sent: dict[int, list[float]] = {}
    for gateway in gateways:
        gateway.handle(1000.0, EndpointsChanged(EndpointListKind.CACHED, fleet(60)))
    due = [(7.0 * n / 36, n) for n in range(36)]
    for step in range(450 * 12):  # 450 requests a second, each answered at once
        now = 1000.0 + step / 450.0
        while due and 1000.0 + due[0][0] <= now:
            old = due.pop(0)[1]
            gone = Backend(old + 1, "ab"[old % 2], BackendState.GONE)
            change = EndpointsChanged(EndpointListKind.DELTA, (gone, Backend(100 + old, "ab"[old % 2], started=now)))
            for gateway in gateways:
                gateway.handle(now, change)
        gateway = rng.choice(gateways)
        for send in sends(gateway.handle(now, request(f"r{step}"))):
            gateway.handle(now, ended(f"r{step}", send, Status.OK))
            if send.backend >= 100:
                sent.setdefault(send.backend, []).append(now)
    assert len(sent) == 36, "a new server was never tried"
    for number, times in sent.items():
        began = 1000.0 + 7.0 * (number - 100) / 36
        for when in times:  # the window that begins with this one, at the least that the rules promise
            share = 0.17 + 0.83 * (when - began) / 18.0
            load = work * sum(when <= t < when + 3.0 for t in times)
            assert load <= 2.5 * share * cores * 3.0, f"{number} may fall over"
    late = sum(len([t for t in times if t > 1010.0]) for times in sent.values()) / 36
    assert late >= 11.0, "servers that are half warm are left idle"  # of 15 if all were warm


def test_where_nearly_all_are_cold_the_few_that_are_warm_get_no_more_than_their_part() -> None:
    gateway, sent = started(settings(limiter_count=1, plans=(replace(SMALL, rate=0.0),)), 100.0), Counter[int]()
    young = [Backend(n, "a", started=94.0) for n in range(2, 25)]  # 23 beside the one that is warm
    gateway.handle(100.0, EndpointsChanged(EndpointListKind.FULL, (*fleet(1), *young)))
    for n in range(600):
        for send in sends(gateway.handle(100.0 + n / 600.0, request(f"r{n}", 0.01, customer=str(n)))):
            sent[send.backend] += 1
            gateway.handle(100.0 + n / 600.0, ended(f"r{n}", send, Status.OK))
    assert len(sent) == 24 and sent[1] <= 0.12 * sum(sent.values())


def test_what_may_be_out_goes_by_the_capacity_that_is_present_and_grows_back_as_it_warms() -> None:
    def out(now: float, gateway: Gateway) -> int:
        count = 0
        while sends(gateway.handle(now, request(f"{now}-{count}", 0.01, customer=str(count), set_size=1))):
            count += 1
        return count

    def restarted(state: BackendState, age: float) -> Gateway:
        gateway = started(settings(limiter_count=1), 100.0)
        news = [b._replace(state=state, started=100.0 - age) for b in fleet()[1:]]
        gateway.handle(100.0, EndpointsChanged(EndpointListKind.DELTA, tuple(news)))
        return gateway

    all_warm = out(100.0, started(settings(limiter_count=1), 100.0))
    cold, warmer = (out(100.0, restarted(BackendState.READY, age)) for age in (0.1, 8.0))
    assert out(100.0, restarted(BackendState.DRAINING, 50.0)) < 0.6 * all_warm, "what drains carries nothing new"
    assert cold < 0.7 * all_warm and cold < warmer < all_warm
    late = restarted(BackendState.READY, 0.1)
    late.handle(120.0, TimerFired(1))  # the next look
    assert out(120.0, late) >= all_warm
