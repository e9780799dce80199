"""Counter calls and metered usage: the amounts that a gateway reports, its call rate, and the effect of replies.

The tests guard against remote demand that is over- or underestimated when calls fail, replies are late or the counter
loses its totals, and against limiters that overload the counter.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.decision.support import fire_ticks
from tests.helpers import PLAN, ended, only_store, request, sends, settings, started
from thymeflow.decision.actions import AddToCounter
from thymeflow.decision.events import CounterReplied
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import Information
from thymeflow.decision.types import Status
from thymeflow.quota import counter_encoding
from thymeflow.quota.counter_ledger import CounterLedger

UNKNOWN_COUNTER_NAME = 5  # that no call has used
COUNTER_INFORMATION = Information(max_units=4.0, counter=True, max_gossip_per_second=0.0)


def find_counter_call(gateway: Gateway, now: float) -> AddToCounter:
    """Run the gateway for half a second and return the only counter call that it makes."""
    calls = [action for action in fire_ticks(gateway, now, 0.5) if isinstance(action, AddToCounter)]
    assert len(calls) == 1
    return calls[0]


def test_remote_demand_follows_the_counter_when_it_loses_its_totals_or_does_not_reply() -> None:
    gateway = started(settings(information=COUNTER_INFORMATION))
    gateway.handle(10.0, request("r0", 4.0))
    first_call = find_counter_call(gateway, 10.0)
    assert counter_encoding.decode(first_call.name, first_call.amount) == pytest.approx((4.0, 4.0), abs=0.5)
    remote_amount = counter_encoding.encode(first_call.name, 200.0, 10.0)
    gateway.handle(10.5, CounterReplied(first_call.name, Status.OK, first_call.amount + remote_amount))
    bucket = only_store(gateway)
    # The first total of a name gives a rate, because it is compared with 0 at the window's start, at most 10 s before.
    assert 199.0 / 12.0 <= bucket.remote_rate <= 200.0 / 1.5
    gateway.handle(10.6, request("r1", 4.0))
    second_call = find_counter_call(gateway, 10.6)
    rate_before = bucket.remote_rate
    gateway.handle(11.1, CounterReplied(second_call.name, Status.TIMEOUT))
    assert bucket.remote_rate <= rate_before
    gateway.handle(11.2, request("r2", 4.0))
    third_call = find_counter_call(gateway, 11.2)
    # The counter is up again and has lost its totals.
    gateway.handle(11.7, CounterReplied(third_call.name, Status.OK, third_call.amount))
    assert 0.0 <= bucket.remote_rate <= rate_before


def test_counter_is_not_overloaded_when_hundreds_of_limiters_start() -> None:
    calls = 0
    for index in range(300):
        gateway = started(settings(index=index, limiter_count=300, information=COUNTER_INFORMATION))
        for n in range(20):
            gateway.handle(10.0, request(f"r{n}", 4.0, customer=f"c{n}", set_size=300))
        calls += sum(isinstance(a, AddToCounter) for a in fire_ticks(gateway, 10.0, 1.0))
    assert calls <= 1500  # 6,000 requests were sent.


def test_call_is_made_only_when_demand_justifies_it_and_state_does_not_grow() -> None:
    gateway = started(settings(information=COUNTER_INFORMATION))
    for n in range(300):
        # Each customer requests a hundredth of the burst, which is too little to justify a call.
        gateway.handle(10.0 + n / 10.0, request(f"r{n}", 0.3, customer=f"c{n}"))
        assert not [a for a in fire_ticks(gateway, 10.0 + n / 10.0, 0.1) if isinstance(a, AddToCounter)]
    assert max(len(gateway.buckets), len(gateway.reports.pending), len(gateway.reports.deferred)) <= 250
    gateway.handle(41.0, request("more", 4.0, customer="c299"))
    counter_call = find_counter_call(gateway, 41.0)
    assert counter_encoding.decode(counter_call.name, counter_call.amount)[0] == pytest.approx(4.3, abs=0.5)


def test_amount_is_reported_again_and_calls_slow_down_when_the_counter_rejects() -> None:
    gateway = started(settings(information=COUNTER_INFORMATION))
    gateway.handle(10.0, request("r0", 4.0))
    first_call = find_counter_call(gateway, 10.0)
    rate = gateway.reporter.call_rate
    gateway.handle(10.5, CounterReplied(first_call.name, Status.FULL))
    assert gateway.reporter.call_rate < rate
    second_call = find_counter_call(gateway, 10.6)
    assert (second_call.name, second_call.amount) == (first_call.name, first_call.amount)


def test_total_is_used_and_calls_slow_down_when_the_reply_is_late() -> None:
    gateway = started(settings(information=COUNTER_INFORMATION))
    gateway.handle(10.0, request("r0", 4.0))
    counter_call = find_counter_call(gateway, 10.0)
    rate = gateway.reporter.call_rate
    total = counter_call.amount + counter_encoding.encode(counter_call.name, 60.0, 30.0)
    gateway.handle(10.5, CounterReplied(counter_call.name, Status.OK, total, 0.3))
    assert gateway.reporter.call_rate < rate
    assert only_store(gateway).remote_rate > 4.0


def test_calls_continue_when_many_have_failed() -> None:
    gateway = started(settings(information=COUNTER_INFORMATION))
    gateway.reporter.call_rate = 0.5
    gateway.reporter.call_credit = 0.5
    gateway.handle(10.0, request("r0", 4.0))
    assert [a for a in fire_ticks(gateway, 10.0, 4.0) if isinstance(a, AddToCounter)]


def test_own_amount_is_not_taken_for_remote_demand_when_a_call_gets_no_reply() -> None:
    gateway = started(settings(information=COUNTER_INFORMATION))
    total = 0.0
    for n, status in enumerate([Status.TIMEOUT, Status.OK]):
        gateway.handle(11.0 + n, request(f"r{n}", 4.0))
        counter_call = find_counter_call(gateway, 11.0 + n)
        total += counter_call.amount
        gateway.handle(11.01 + n, CounterReplied(counter_call.name, status, total))
    assert only_store(gateway).remote_rate == 0.0


def test_no_remote_use_is_invented_when_a_call_without_reply_was_not_executed() -> None:
    gateway = started(settings(information=COUNTER_INFORMATION))
    gateway.handle(10.5, request("r0", 4.0))
    counter_call = find_counter_call(gateway, 10.5)
    # Other limiters charged 20 units of a burst of 30.
    total = counter_call.amount + counter_encoding.encode(counter_call.name, 30.0, 20.0)
    gateway.handle(11.0, CounterReplied(counter_call.name, Status.OK, total))
    bucket = only_store(gateway)
    for n, (status, added) in enumerate([(Status.TIMEOUT, False), (Status.OK, True)]):
        gateway.handle(11.1 + n, request(f"s{n}", 4.0))
        counter_call = find_counter_call(gateway, 11.1 + n)
        level_before = bucket.set_level
        total += counter_call.amount if added else 0.0
        gateway.handle(11.6 + n, CounterReplied(counter_call.name, status, total))
    assert bucket.set_level >= level_before
    assert bucket.remote_rate < 20.0


def reply_to_calls(gateways: list[Gateway], totals: dict[int, float], now: float) -> None:
    """Run half a second in which the counter replies to each call without delay."""
    for gateway in gateways:
        for counter_call in [action for action in fire_ticks(gateway, now, 0.5) if isinstance(action, AddToCounter)]:
            totals[counter_call.name] = totals.get(counter_call.name, 0.0) + counter_call.amount
            gateway.handle(now + 0.5, CounterReplied(counter_call.name, Status.OK, totals[counter_call.name]))


def test_set_admits_about_the_quota_when_demand_is_twice_the_quota() -> None:
    # The demand at three gateways is twice the quota for 30 s. In the second half, the gateways admit about the quota.
    gateways = [started(settings(index=n, information=COUNTER_INFORMATION), seed=n) for n in range(3)]
    totals = dict[int, float]()
    sent = 0.0
    units = 2.0 / 3.0
    for step in range(60):
        for n in range(15):
            gateway = gateways[n % 3]
            now = 10.0 + step * 0.5 + n // 3 * 0.1
            for send in sends(gateway.handle(now, request(f"r{step}.{n}", units))):
                gateway.handle(now, ended(send.id, send, Status.OK, actual_units=units))
                sent += units if step >= 30 else 0.0
        reply_to_calls(gateways, totals, 10.0 + step * 0.5)
    assert 0.85 * 15.0 * PLAN.rate <= sent <= 1.25 * 15.0 * PLAN.rate


# Requested and charged units of a report, as fractions of the quota in a window
REPORTED_FRACTIONS = st.tuples(st.floats(0.0, 2.0), st.floats(-0.1, 0.2))


@given(st.lists(REPORTED_FRACTIONS, min_size=1, max_size=7), st.floats(0.1, 50.0), st.floats(1.0, 100.0))
def test_total_encodes_two_amounts_when_reports_are_added_up(
    reports: list[tuple[float, float]], rate: float, burst: float
) -> None:
    quota = rate * counter_encoding.WINDOW_SECONDS + burst
    requested = 0.0
    charged = 0.0
    total = 0.0
    name = counter_encoding.build_counter_name(7, 100.0, rate, burst)
    ledger = CounterLedger(0.0)
    for requested_fraction, charged_fraction in reports:
        requested = requested + requested_fraction * quota
        charged = charged + charged_fraction * quota
        total += ledger.report(name, requested, charged)
    assert abs(total) < 1e7  # A total is exact to seven digits.
    assert counter_encoding.decode(name, total) == pytest.approx(
        (ledger.reported_units, ledger.reported_charges), abs=1e-6
    )
    assert -1e-6 <= requested - ledger.reported_units <= 2.0 * quota / 256
    assert abs(charged - ledger.reported_charges) <= quota / 1024
    # An unexpectedly large demand must not be decoded as charges.
    reported_before = (ledger.reported_units, ledger.reported_charges)
    requested_more, charged_more = counter_encoding.decode(
        name, ledger.report(name, requested + 100.0 * quota, charged)
    )
    assert requested_more <= 32.0 * quota
    assert abs(charged_more) <= quota / 512
    assert reported_before != (ledger.reported_units, ledger.reported_charges)


def test_counter_total_is_used_when_metered_usage_arrives_later_but_is_older() -> None:
    gateway = started(settings(information=COUNTER_INFORMATION))
    sent = sends(gateway.handle(11.0, request("r0", 4.0)))[0]
    gateway.handle(11.5, CounterReplied(find_counter_call(gateway, 11.0).name, Status.OK, 4.0))
    # The usage was metered before the counter's total was read.
    gateway.handle(11.6, ended("r0", sent, Status.OK, actual_units=4.0, quota_usage=2.0))
    assert only_store(gateway).remote_rate < 1.0


def test_reply_changes_nothing_when_it_is_invalid_or_unexpected() -> None:
    gateway = started(settings(information=COUNTER_INFORMATION))
    gateway.handle(10.0, request("r0", 4.0))
    assert gateway.handle(10.1, CounterReplied(UNKNOWN_COUNTER_NAME, Status.OK, 3.0)) == []
    assert only_store(gateway).remote_rate == 0.0
    for n, total in enumerate((float("nan"), float("inf"), float("-inf"))):
        now = 11.0 + n
        gateway.handle(now, request(f"s{n}", 4.0))
        counter_call = find_counter_call(gateway, now)
        assert gateway.handle(now + 0.5, CounterReplied(counter_call.name, Status.OK, total)) == []
        assert only_store(gateway).remote_rate == 0.0


def test_metered_usage_is_used_when_nothing_else_is_reported() -> None:
    gateway = started()
    send = sends(gateway.handle(10.0, request("r0")))[0]
    gateway.handle(10.1, ended("r0", send, Status.OK, actual_units=1.0, quota_usage=1.5))
    bucket = only_store(gateway)
    assert bucket.remote_rate == pytest.approx(15.0, abs=1.0)
    assert bucket.usage_ratio >= 1.5
