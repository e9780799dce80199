"""Gossip between gateways: aggregation of reports, ignored messages, and slices without reports.

The tests guard against demand that is counted twice or lost when messages are reordered, repeated or dropped, against
messages that create units, and against state that grows with the number of customers.
"""

from __future__ import annotations

import pytest

from tests.decision.support import fire_ticks
from tests.helpers import PLAN, ended, only_store, request, sends, settings, started
from thymeflow.decision.actions import SendGossip
from thymeflow.decision.context import TimerKind
from thymeflow.decision.events import GossipReceived, TimerFired
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import Limits
from thymeflow.decision.types import Status
from thymeflow.gossip import codec

GOSSIP_LIMITS = Limits(cancel=True, max_attempts=3, gossip=True)


def create_gateways(count: int, seed: int = 0) -> list[Gateway]:
    """Return gateways that are members of one fleet, with consecutive seeds."""
    return [started(settings(index=n, limiter_count=count, limits=GOSSIP_LIMITS), seed=seed + n) for n in range(count)]


def deliver_gossip(gateways: list[Gateway], start: float, seconds: float, down: frozenset[int] = frozenset()) -> int:
    """Fire every tick and deliver the messages between gateways that are not down; return the number of messages."""
    sent_count = 0
    for step in range(int(seconds * 10)):
        now = start + step * 0.1
        for sender, gateway in enumerate(gateways):
            tokens = [t for t, (kind, _) in gateway.timers.items() if kind is TimerKind.TICK]
            for action in gateway.handle(now, TimerFired(tokens[0])) if sender not in down else ():
                if isinstance(action, SendGossip) and action.peer not in down:
                    sent_count += 1
                    gateways[action.peer].handle(now + 0.05, GossipReceived(sender, action.data))
    return sent_count


@pytest.mark.parametrize("count", [3, 120])
def test_demand_is_reported_through_rendezvous_nodes_and_decays_when_reports_stop(count: int) -> None:
    gateways = create_gateways(count)
    # The demand is low at each gateway, and far over the quota at all gateways together.
    for step in range(20):
        for n in range(0, count, max(1, count // 20)):
            gateways[n].handle(10.0 + step * 0.1, request(f"r{n}.{step}", 2.0, set_size=count))
        deliver_gossip(gateways, 10.05 + step * 0.1, 0.1)
    bucket = only_store(gateways[0])
    assert bucket.remote_rate > 2.0 * PLAN.rate
    gateways[0].handle(60.0, request("s1", set_size=count))
    assert bucket.compute_quota_fraction(bucket.local_rate) == pytest.approx(1 / count)


def test_demand_is_still_reported_when_one_rendezvous_node_is_down() -> None:
    remote_rates = []
    for is_rendezvous_node_down in (False, True):
        gateways = create_gateways(30)
        gateways[0].handle(9.0, request("r", 1.0, set_size=30))
        down = frozenset(only_store(gateways[0]).members[:1] if is_rendezvous_node_down else ())
        for step in range(30):
            for n in range(30):
                gateways[n].handle(10.0 + step * 0.1, request(f"r{n}.{step}", 2.0, set_size=30))
            deliver_gossip(gateways, 10.05 + step * 0.1, 0.1, down)
        other_limiter = next(n for n in range(30) if n not in only_store(gateways[n]).members[:2] and n not in down)
        remote_rates.append(only_store(gateways[other_limiter]).remote_rate)
    assert remote_rates[1] > 0.5 * remote_rates[0] > PLAN.rate


def test_messages_stay_within_the_allowance_when_there_are_many_gateways() -> None:
    gateways = create_gateways(120)
    for step in range(20):
        for n in range(0, 120, 3):
            event = request(f"r{n}.{step}", 2.0, set_size=120, customer=f"c{n % 5}")
            gateways[n].handle(10.0 + step * 0.1, event)
        sent_count = deliver_gossip(gateways, 10.05 + step * 0.1, 0.1)
    assert sent_count / 120 <= 100.0 * 0.1


def test_aggregate_creates_no_units_and_is_ignored_when_the_sender_is_no_rendezvous_node() -> None:
    gateway = create_gateways(30)[0]
    gateway.handle(100.0, request("r", 1.0, set_size=30))
    bucket = only_store(gateway)
    ceiling_level = bucket.ceiling_level
    set_level = bucket.set_level
    message = encode_message(codec.Entry(bucket.customer_id, 0, True, 16000.0, 0.0))
    other_limiter = next(n for n in range(1, 30) if n not in bucket.members[:2])
    gateway.handle(100.0, GossipReceived(other_limiter, message))
    assert bucket.set_level == pytest.approx(set_level)
    rendezvous_node = next(n for n in bucket.members[:2] if n)
    gateway.handle(100.0, GossipReceived(rendezvous_node, message))
    assert bucket.set_level <= PLAN.burst
    assert bucket.level <= PLAN.burst
    assert bucket.ceiling_level == ceiling_level


def encode_message(*entries: codec.Entry) -> bytes:
    """Return the message of a peer with these entries, as bytes."""
    return codec.encode(codec.Message(7, 1, 0.0, entries))


def test_demand_is_counted_once_when_messages_are_reordered_or_repeated_or_the_peer_restarts() -> None:
    gateway = started(settings(index=1, limits=GOSSIP_LIMITS))
    gateway.handle(10.0, request("s0"))
    customer_id = only_store(gateway).customer_id
    messages = []
    for n in range(1, 4):
        entry = codec.Entry(customer_id, 0, False, 3.0 * n, 3.0 * n)
        messages.append(codec.encode(codec.Message(7, n, 0.0, (entry,))))
    for data in messages:
        gateway.handle(10.2, GossipReceived(0, data))
    remote_rate = only_store(gateway).remote_rate
    assert remote_rate == pytest.approx(9.0 / 1.5)
    for data in reversed(messages):
        gateway.handle(10.2, GossipReceived(0, data))
    assert only_store(gateway).remote_rate == pytest.approx(remote_rate)
    # The first report of a restarted peer is not counted as new demand, because it exceeds
    # MAX_FIRST_REPORT_RATIO * max_units.
    first_entry = codec.Entry(customer_id, 0, False, 900.0, 900.0)
    gateway.handle(10.2, GossipReceived(0, codec.encode(codec.Message(8, 1, 0.0, (first_entry,)))))
    assert only_store(gateway).remote_rate == pytest.approx(remote_rate)


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
def test_message_changes_nothing_when_it_is_malformed(data: bytes, sender: int) -> None:
    gateway = started(settings(limits=GOSSIP_LIMITS))
    gateway.handle(10.0, request("r0"))
    bucket = only_store(gateway)
    before = (
        bucket.local_rate,
        bucket.remote_rate,
        bucket.level,
        bucket.last_remote_report_at,
        dict(gateway.aggregator.last_message_ids),
    )
    assert gateway.handle(10.0, GossipReceived(sender, data)) == []
    assert before == (
        bucket.local_rate,
        bucket.remote_rate,
        bucket.level,
        bucket.last_remote_report_at,
        dict(gateway.aggregator.last_message_ids),
    )


@pytest.mark.parametrize(("sender", "is_applied"), [(1, True), (3, False), (-1, False)])
def test_valid_message_is_applied_only_when_its_sender_is_in_the_fleet(sender: int, is_applied: bool) -> None:
    gateway = started(settings(limiter_count=3, limits=GOSSIP_LIMITS))
    gateway.handle(10.0, request("r0"))
    bucket = only_store(gateway)
    message = encode_message(codec.Entry(bucket.customer_id, 0, False, 3.0, 3.0))
    gateway.handle(10.0, GossipReceived(sender, message))
    assert (sender in gateway.aggregator.last_message_ids) == is_applied
    assert (bucket.remote_rate > 0.0) == is_applied


def test_state_does_not_grow_when_each_customer_sends_one_request() -> None:
    gateway = started(settings(limits=GOSSIP_LIMITS))
    for n in range(200):
        attempts = sends(gateway.handle(10.0 + n, request(f"r{n}", customer=f"c{n}")))
        if attempts:
            gateway.handle(10.0 + n, ended(f"r{n}", attempts[0], Status.OK, actual_units=1.0))
        for token in [t for t, (kind, _) in gateway.timers.items() if kind is TimerKind.DEADLINE]:
            gateway.handle(10.0 + n, TimerFired(token))
    fire_ticks(gateway, 400.0, 0.5)
    assert not gateway.pending
    assert not gateway.buckets
    assert len(gateway.timers) <= 2
