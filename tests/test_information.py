"""Peers, counter and meter failing in every way: slices fall back and recover, nothing is minted."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import PLAN, ended, only_store, request, sends, settings, started
from thymeflow.decision.actions import Action, AddToCounter, SendGossip
from thymeflow.decision.context import TimerKind
from thymeflow.decision.events import CounterReplied, GossipReceived, TimerFired
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import Information, Limits
from thymeflow.decision.types import Status
from thymeflow.gossip import codec
from thymeflow.quota import counter_encoding
from thymeflow.quota.counter_ledger import CounterLedger

PEERS = Limits(cancel=True, max_attempts=3, gossip=True)
COUNTER = Information(max_units=4.0, counter=True, max_gossip_per_second=0.0)


def ticks(gateway: Gateway, start: float, seconds: float) -> list[Action]:
    """Fire the upkeep timer for a while and collect what is done."""
    done: list[Action] = []
    for step in range(int(seconds * 10)):
        tokens = [t for t, (kind, _) in gateway.timers.items() if kind is TimerKind.TICK]
        done += gateway.handle(start + step * 0.1, TimerFired(tokens[0]))
    return done


def fleet_of(count: int, seed: int = 0) -> list[Gateway]:
    """Gateways with one customer among them that may come through all."""
    return [started(settings(index=n, limiter_count=count, limits=PEERS), seed=seed + n) for n in range(count)]


def courier(gateways: list[Gateway], start: float, seconds: float, lost: frozenset[int] = frozenset()) -> int:
    """Fire every tick and deliver every note, but for gateways that are down; returns how many went out."""
    told = 0
    for step in range(int(seconds * 10)):
        now = start + step * 0.1
        for sender, gateway in enumerate(gateways):
            tokens = [t for t, (kind, _) in gateway.timers.items() if kind is TimerKind.TICK]
            for action in gateway.handle(now, TimerFired(tokens[0])) if sender not in lost else ():
                if isinstance(action, SendGossip) and action.peer not in lost:
                    told += 1
                    gateways[action.peer].handle(now + 0.05, GossipReceived(sender, action.data))
    return told


@pytest.mark.parametrize("count", [3, 120])
def test_demand_travels_by_meeting_points_and_fades_in_silence(count: int) -> None:
    gateways = fleet_of(count)
    for step in range(20):  # everywhere a little, together far beyond the quota
        for n in range(0, count, max(1, count // 20)):
            gateways[n].handle(10.0 + step * 0.1, request(f"r{n}.{step}", 2.0, set_size=count))
        courier(gateways, 10.05 + step * 0.1, 0.1)
    store = only_store(gateways[0])
    assert store.remote_rate > 2.0 * PLAN.rate
    gateways[0].handle(60.0, request("s1", set_size=count))
    assert store.quota_fraction(store.local_rate) == pytest.approx(1 / count)


def test_one_lost_meeting_point_changes_little() -> None:
    heard = []
    for lost in (False, True):
        gateways = fleet_of(30)
        gateways[0].handle(9.0, request("r", 1.0, set_size=30))
        down = frozenset(only_store(gateways[0]).members[:1] if lost else ())
        for step in range(30):
            for n in range(30):
                gateways[n].handle(10.0 + step * 0.1, request(f"r{n}.{step}", 2.0, set_size=30))
            courier(gateways, 10.05 + step * 0.1, 0.1, down)
        far = next(n for n in range(30) if n not in only_store(gateways[n]).members[:2] and n not in down)
        heard.append(only_store(gateways[far]).remote_rate)
    assert heard[1] > 0.5 * heard[0] > PLAN.rate


def test_notes_stay_within_the_intake_however_many_gateways() -> None:
    gateways = fleet_of(120)
    for step in range(20):
        for n in range(0, 120, 3):
            asked = request(f"r{n}.{step}", 2.0, set_size=120, customer=f"c{n % 5}")
            gateways[n].handle(10.0 + step * 0.1, asked)
        told = courier(gateways, 10.05 + step * 0.1, 0.1)
    assert told / 120 <= 100.0 * 0.1


def test_a_relayed_figure_mints_nothing_and_comes_from_a_meeting_gateway_only() -> None:
    gateway = fleet_of(30)[0]
    gateway.handle(100.0, request("r", 1.0, set_size=30))
    store = only_store(gateway)
    guard, fleet = store.ceiling_level, store.global_level
    absurd = notes_of(codec.Entry(store.customer_id, 0, True, 16000.0, 0.0))
    stranger = next(n for n in range(1, 30) if n not in store.members[:2])
    gateway.handle(100.0, GossipReceived(stranger, absurd))
    assert store.global_level == pytest.approx(fleet)
    meeting = next(n for n in store.members[:2] if n)
    gateway.handle(100.0, GossipReceived(meeting, absurd))
    assert store.global_level <= PLAN.burst
    assert store.level <= PLAN.burst
    assert store.ceiling_level == guard


def notes_of(*entries: codec.Entry) -> bytes:
    """A note of another gateway."""
    return codec.encode(codec.Message(7, 1, 0.0, entries))


def test_reordered_repeated_and_restarted_notes() -> None:
    two = started(settings(index=1, limits=PEERS))
    two.handle(10.0, request("s0"))
    number, told = only_store(two).customer_id, []
    for n in range(1, 4):
        entry = codec.Entry(number, 0, False, 3.0 * n, 3.0 * n)
        told.append(codec.encode(codec.Message(7, n, 0.0, (entry,))))
    for data in told:
        two.handle(10.2, GossipReceived(0, data))
    heard = only_store(two).remote_rate
    assert heard == pytest.approx(9.0 / 1.5)
    for data in reversed(told):
        two.handle(10.2, GossipReceived(0, data))
    assert only_store(two).remote_rate == pytest.approx(heard)
    late = codec.Entry(number, 0, False, 900.0, 900.0)  # another life, long counted: not new demand
    two.handle(10.2, GossipReceived(0, codec.encode(codec.Message(8, 1, 0.0, (late,)))))
    assert only_store(two).remote_rate == pytest.approx(heard)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x03",
        b"\x02" + b"\x00" * 14,
        b"\x03" + b"\xff" * 13,
        b"\x00" * 40,
        b"\x03" * 7,
        b"\xff" * 256,
        b"\x03" * 600,
    ],
)
@pytest.mark.parametrize("sender", [1, 77, -1])
def test_bytes_that_make_no_sense_change_nothing(data: bytes, sender: int) -> None:
    gateway = started(settings(limits=PEERS))
    gateway.handle(10.0, request("r0"))
    store = only_store(gateway)
    before = (
        store.local_rate,
        store.remote_rate,
        store.level,
        store.last_gossip_at,
        dict(gateway.aggregator.peer_sequences),
    )
    assert gateway.handle(10.0, GossipReceived(sender, data)) == []
    assert before == (
        store.local_rate,
        store.remote_rate,
        store.level,
        store.last_gossip_at,
        dict(gateway.aggregator.peer_sequences),
    )


def call(gateway: Gateway, now: float) -> AddToCounter:
    """The one counter call made in half a second."""
    calls = [a for a in ticks(gateway, now, 0.5) if isinstance(a, AddToCounter)]
    assert len(calls) == 1
    return calls[0]


def test_counter_tells_others_demand_survives_emptying_and_times_out_safely() -> None:
    gateway = started(settings(information=COUNTER))
    gateway.handle(10.0, request("r0", 4.0))
    first = call(gateway, 10.0)
    assert counter_encoding.decode(first.name, first.amount) == pytest.approx((4.0, 4.0), abs=0.5)
    others = counter_encoding.encode(first.name, 200.0, 10.0)
    gateway.handle(10.5, CounterReplied(first.name, Status.OK, first.amount + others))
    store = only_store(gateway)
    assert 199.0 / 12.0 <= store.remote_rate <= 200.0 / 1.5  # a name lives ten seconds: the first total is a rate
    gateway.handle(10.6, request("r1", 4.0))
    second = call(gateway, 10.6)
    before = store.remote_rate
    gateway.handle(11.1, CounterReplied(second.name, Status.TIMEOUT))
    assert store.remote_rate <= before
    gateway.handle(11.2, request("r2", 4.0))
    third = call(gateway, 11.2)
    gateway.handle(11.7, CounterReplied(third.name, Status.OK, third.amount))  # back empty
    assert 0.0 <= store.remote_rate <= before


def test_hundreds_do_not_swamp_the_counter_at_the_start() -> None:
    calls = 0
    for index in range(300):
        gateway = started(settings(index=index, limiter_count=300, information=COUNTER))
        for n in range(20):
            gateway.handle(10.0, request(f"r{n}", 4.0, customer=f"c{n}", set_size=300))
        calls += sum(isinstance(a, AddToCounter) for a in ticks(gateway, 10.0, 1.0))
    assert calls <= 1500  # asked were 6,000


def test_a_call_is_made_for_what_matters_and_many_who_come_once_leave_nothing_behind() -> None:
    gateway = started(settings(information=COUNTER))
    for n in range(300):
        gateway.handle(10.0 + n / 10.0, request(f"r{n}", 0.3, customer=f"c{n}"))  # a hundredth of the burst
        assert not [a for a in ticks(gateway, 10.0 + n / 10.0, 0.1) if isinstance(a, AddToCounter)]
    assert max(len(gateway.buckets), len(gateway.reports.pending), len(gateway.reports.deferred)) <= 250
    gateway.handle(41.0, request("more", 4.0, customer="c299"))
    more = call(gateway, 41.0)
    assert counter_encoding.decode(more.name, more.amount)[0] == pytest.approx(4.3, abs=0.5)


def test_a_refused_count_is_said_again_and_calls_slow_down() -> None:
    gateway = started(settings(information=COUNTER))
    gateway.handle(10.0, request("r0", 4.0))
    first, rate = call(gateway, 10.0), gateway.reporter.call_rate
    gateway.handle(10.5, CounterReplied(first.name, Status.FULL))
    assert gateway.reporter.call_rate < rate
    again = call(gateway, 10.6)
    assert (again.name, again.amount) == (first.name, first.amount)


def test_an_answer_past_the_time_out_is_believed_and_calls_slow_down() -> None:
    gateway = started(settings(information=COUNTER))
    gateway.handle(10.0, request("r0", 4.0))
    made, rate = call(gateway, 10.0), gateway.reporter.call_rate
    total = made.amount + counter_encoding.encode(made.name, 60.0, 30.0)
    gateway.handle(10.5, CounterReplied(made.name, Status.OK, total, 0.3))
    assert gateway.reporter.call_rate < rate and only_store(gateway).remote_rate > 4.0


def test_calls_go_on_however_often_they_failed() -> None:
    gateway = started(settings(information=COUNTER))
    gateway.reporter.call_rate = gateway.reporter.call_credit = 0.5
    gateway.handle(10.0, request("r0", 4.0))
    assert [a for a in ticks(gateway, 10.0, 4.0) if isinstance(a, AddToCounter)]


def test_a_call_without_an_answer_is_not_taken_for_the_demand_of_others() -> None:
    gateway = started(settings(information=COUNTER))
    total = 0.0
    for n, status in enumerate([Status.TIMEOUT, Status.OK]):
        gateway.handle(11.0 + n, request(f"r{n}", 4.0))
        made = call(gateway, 11.0 + n)
        total += made.amount
        gateway.handle(11.01 + n, CounterReplied(made.name, status, total))
    assert only_store(gateway).remote_rate == 0.0


def test_a_call_that_was_not_added_after_all_is_not_taken_for_a_counter_that_lost_all() -> None:
    gateway = started(settings(information=COUNTER))
    gateway.handle(10.5, request("r0", 4.0))
    made = call(gateway, 10.5)
    total = made.amount + counter_encoding.encode(made.name, 30.0, 20.0)  # others charged 20 of the burst of 30
    gateway.handle(11.0, CounterReplied(made.name, Status.OK, total))
    store = only_store(gateway)
    for n, (status, added) in enumerate([(Status.TIMEOUT, False), (Status.OK, True)]):
        gateway.handle(11.1 + n, request(f"s{n}", 4.0))
        made, before = call(gateway, 11.1 + n), store.global_level
        total += made.amount if added else 0.0
        gateway.handle(11.6 + n, CounterReplied(made.name, status, total))
    assert store.global_level >= before and store.remote_rate < 20.0  # nobody charged those 20 a second time


def counted(gateways: list[Gateway], totals: dict[int, float], now: float) -> None:
    """Half a second in which the counter answers each call at once."""
    for gateway in gateways:
        for made in [a for a in ticks(gateway, now, 0.5) if isinstance(a, AddToCounter)]:
            totals[made.name] = totals.get(made.name, 0.0) + made.amount
            gateway.handle(now + 0.5, CounterReplied(made.name, Status.OK, totals[made.name]))


def test_what_others_let_in_is_known_and_not_guessed_from_what_they_were_asked() -> None:
    # Three are asked twice the quota together, for half a minute: neither much more than it is sent on, nor much less.
    gateways = [started(settings(index=n, information=COUNTER), seed=n) for n in range(3)]
    totals, sent, units = dict[int, float](), 0.0, 2.0 / 3.0
    for step in range(60):
        for n in range(15):
            gateway, now = gateways[n % 3], 10.0 + step * 0.5 + n // 3 * 0.1
            for send in sends(gateway.handle(now, request(f"r{step}.{n}", units))):
                gateway.handle(now, ended(send.id, send, Status.OK, actual_units=units))
                sent += units if step >= 30 else 0.0
        counted(gateways, totals, 10.0 + step * 0.5)
    assert 0.85 * 15.0 * PLAN.rate <= sent <= 1.25 * 15.0 * PLAN.rate


SHARES = st.tuples(st.floats(0.0, 2.0), st.floats(-0.1, 0.2))  # of a window's quota: asked, charged


@given(st.lists(SHARES, min_size=1, max_size=7), st.floats(0.1, 50.0), st.floats(1.0, 100.0))
def test_a_count_holds_two_amounts(told: list[tuple[float, float]], rate: float, burst: float) -> None:
    quota, asked, charged, total = rate * counter_encoding.WINDOW_SECONDS + burst, 0.0, 0.0, 0.0
    name, account = counter_encoding.counter_name(7, 100.0, rate, burst), CounterLedger(0.0)
    for more, change in told:
        asked, charged = asked + more * quota, charged + change * quota
        total += account.report(name, asked, charged)
    assert abs(total) < 1e7  # a total is exact to seven digits
    assert counter_encoding.decode(name, total) == pytest.approx(
        (account.reported_units, account.reported_charges), abs=1e-6
    )
    assert (
        -1e-6 <= asked - account.reported_units <= 2.0 * quota / 256
        and abs(charged - account.reported_charges) <= quota / 1024
    )
    before = (
        account.reported_units,
        account.reported_charges,
    )  # far more than anybody is expected to ask is not read as charges
    counted, spent = counter_encoding.decode(name, account.report(name, asked + 100.0 * quota, charged))
    assert (
        counted <= 32.0 * quota
        and abs(spent) <= quota / 512
        and before != (account.reported_units, account.reported_charges)
    )


def test_a_reading_of_the_counter_is_newer_than_the_meter() -> None:
    gateway = started(settings(information=COUNTER))
    sent = sends(gateway.handle(11.0, request("r0", 4.0)))[0]
    gateway.handle(11.5, CounterReplied(call(gateway, 11.0).name, Status.OK, 4.0))
    gateway.handle(11.6, ended("r0", sent, Status.OK, actual_units=4.0, quota_usage=2.0))  # a spell that is over
    assert only_store(gateway).remote_rate < 1.0


def test_counter_replies_that_make_no_sense() -> None:
    gateway = started(settings(information=COUNTER))
    gateway.handle(10.0, request("r0", 4.0))
    for total in (float("nan"), float("inf")):
        assert gateway.handle(10.1, CounterReplied(next(iter(gateway.buckets)), Status.OK, total)) == []
    assert gateway.handle(10.1, CounterReplied(5, Status.OK, 3.0)) == []
    assert only_store(gateway).remote_rate == 0.0


def test_meter_speaks_where_nothing_else_does() -> None:
    gateway = started()
    send = sends(gateway.handle(10.0, request("r0")))[0]
    gateway.handle(10.1, ended("r0", send, Status.OK, actual_units=1.0, quota_usage=1.5))
    store = only_store(gateway)
    assert store.remote_rate == pytest.approx(15.0, abs=1.0)
    assert store.usage_ratio >= 1.5


def test_state_does_not_grow() -> None:
    gateway = started(settings(limits=PEERS))
    for n in range(200):
        out = sends(gateway.handle(10.0 + n, request(f"r{n}", customer=f"c{n}")))
        if out:
            gateway.handle(10.0 + n, ended(f"r{n}", out[0], Status.OK, actual_units=1.0))
        for token in [t for t, (kind, _) in gateway.timers.items() if kind is TimerKind.DEADLINE]:
            gateway.handle(10.0 + n, TimerFired(token))
    ticks(gateway, 400.0, 0.5)
    assert not gateway.pending
    assert not gateway.buckets
    assert len(gateway.timers) <= 2
