"""Publishes a gateway's gossip: reports of its local demand, and replies with the aggregates that it computed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from thymeflow.decision.actions import SendGossip
from thymeflow.decision.context import DecisionContext
from thymeflow.decision.settings import Plan
from thymeflow.gossip import codec
from thymeflow.health.backend_registry import BackendRegistry
from thymeflow.quota.buckets import ReportQueue, TokenBuckets
from thymeflow.quota.token_bucket import TokenBucket

AGGREGATOR_COUNT = 2  # Number of limiters in a customer's set that aggregate the set's requested and charged units
ACTIVE_PEER_SECONDS = 15.0  # Peers that reported a customer within this time get the customer's aggregate each round.
MIN_SET_NOTIFICATION_SECONDS = 4.0  # Minimum time between notifications of the complete set
# A customer is busy if its demand is above this fraction of the plan's rate. Replies are sent only for busy customers,
# because the aggregate of any other customer would not change which requests peers admit.
MIN_BUSY_DEMAND_FRACTION = 0.5
# A customer is also busy if the level of its set is below this fraction of the burst.
MAX_BUSY_LEVEL_FRACTION = 0.6
# A limiter sends messages at this fraction of the rate that a peer can receive. A peer receives about as many messages
# as each limiter sends, so that it can receive the messages of all limiters together.
GOSSIP_FRACTION = 0.7


@dataclass(slots=True)
class _Outbox:
    """Entries to send, by peer."""

    plans: tuple[Plan, ...]
    entries: dict[int, list[codec.Entry]] = field(default_factory=dict)

    def add(
        self, peer: int, bucket: TokenBucket, is_aggregate: bool, requested_or_level: float, charged_or_demand: float
    ) -> None:
        """Add an entry for a peer, unless the bucket's plan is no longer in force."""
        if bucket.plan in self.plans:
            plan_number = self.plans.index(bucket.plan)
            entry = codec.Entry(bucket.customer_id, plan_number, is_aggregate, requested_or_level, charged_or_demand)
            self.entries.setdefault(peer, []).append(entry)


class GossipPublisher:
    """Sends reports when they are pending, and aggregates as replies and once a round."""

    def __init__(
        self, context: DecisionContext, buckets: TokenBuckets, reports: ReportQueue, registry: BackendRegistry
    ) -> None:
        self._context = context
        self._buckets = buckets
        self._reports = reports
        self._registry = registry
        self._incarnation = context.rng.randrange(1 << 16)
        self._sequence = 0
        self._allowance = 1.0  # Number of messages that may be sent now
        self._pending_replies: dict[int, dict[int, None]] = {}  # Peers that get an aggregate, by customer id

    def queue_aggregate(self, customer_id: int, peers: Iterable[int]) -> None:
        """Add the aggregate of a customer to the next messages to these peers."""
        self._pending_replies.setdefault(customer_id, {}).update(dict.fromkeys(peers))

    def publish(self, is_round: bool, elapsed_seconds: float) -> None:
        """Send reports of local demand and replies with aggregates.

        Reports are always sent; replies are sent only if there is allowance before. Both may overdraw the allowance. In
        a round (`is_round`) all active peers get replies. `elapsed_seconds` is the time since the last call.
        """
        context = self._context
        max_per_second = context.settings.information.max_gossip_per_second
        allowance = self._allowance + GOSSIP_FRACTION * max_per_second * elapsed_seconds
        self._allowance = min(max_per_second, allowance)
        outbox = _Outbox(context.settings.plans)
        self._add_reports(outbox)
        has_allowance = self._allowance > 0.0  # Required for aggregates only; reports are always sent.
        if is_round and has_allowance:
            self._queue_aggregates()
        if has_allowance:
            self._add_replies(outbox)
        self._reports.clear_pending()
        self._pending_replies = {}
        if is_round:
            # A limiter uses demand-based slices only while it receives messages from some peers. So each round sends at
            # least an empty message to random peers, as many as a customer has aggregators.
            for _ in range(AGGREGATOR_COUNT):
                outbox.entries.setdefault(context.rng.randrange(context.settings.limiter_count), [])
        outbox.entries.pop(context.settings.index, None)
        self._send(outbox)

    def _add_reports(self, outbox: _Outbox) -> None:
        for customer_id in self._reports.pending:
            bucket = self._buckets.by_customer.get(customer_id)
            if bucket is not None:
                for peer in bucket.members[:AGGREGATOR_COUNT]:
                    outbox.add(peer, bucket, False, bucket.requested_units, bucket.charged_units)

    def _queue_aggregates(self) -> None:
        now = self._context.now
        index = self._context.settings.index
        for bucket in self._buckets.by_customer.values():
            if not bucket.peer_reports:
                continue
            reports = bucket.peer_reports.items()
            peers = [peer for peer, report in reports if now - report.received_at < ACTIVE_PEER_SECONDS]
            is_first_member = bucket.members[:1] == [index]
            is_notification_needed = is_first_member and now - bucket.set_notified_at >= MIN_SET_NOTIFICATION_SECONDS
            if is_notification_needed and bucket.local_rate + bucket.remote_rate > bucket.plan.rate:
                # Members that have not seen the customer yet are notified too.
                bucket.set_notified_at = now
                peers = bucket.members
            self.queue_aggregate(bucket.customer_id, peers)

    def _add_replies(self, outbox: _Outbox) -> None:
        for customer_id, peers in self._pending_replies.items():
            bucket = self._buckets.by_customer.get(customer_id)
            if bucket is None:
                continue
            bucket.refresh(self._context.now)
            demand = bucket.local_rate + bucket.remote_rate
            has_demand = demand > MIN_BUSY_DEMAND_FRACTION * bucket.plan.rate
            if has_demand or bucket.set_level < MAX_BUSY_LEVEL_FRACTION * bucket.plan.burst:
                for peer in peers:
                    outbox.add(peer, bucket, True, bucket.set_level, demand)

    def _send(self, outbox: _Outbox) -> None:
        pressure = self._registry.pressure
        for peer, entries in outbox.entries.items():
            for chunk in codec.split_into_chunks(entries):
                self._sequence = (self._sequence + 1) & 0xFFFF
                self._allowance -= 1.0
                message = codec.Message(self._incarnation, self._sequence, pressure, chunk)
                self._context.emit(SendGossip(peer, codec.encode(message)))
