"""Gossip that a gateway publishes: reports of its own demand, and replies with what it has aggregated."""

from __future__ import annotations

from dataclasses import dataclass, field

from thymeflow.decision.actions import SendGossip
from thymeflow.decision.gateway_state import GatewayState
from thymeflow.decision.settings import Plan
from thymeflow.gossip import codec
from thymeflow.quota.token_bucket import TokenBucket

AGGREGATOR_COUNT = 2  # limiters of a customer's set that aggregate what the set requests and charges
ACTIVE_SECONDS = 15.0  # peers that reported within this are notified each round
SET_NOTIFICATION_SECONDS = 4.0  # between notifications of the complete set
MIN_BUSY_DEMAND = 0.5  # of the rate, from which a reply changes what peers admit
MAX_BUSY_LEVEL = 0.6  # of the burst, under which a reply changes what peers admit


@dataclass(slots=True)
class _Outbox:
    """Entries to be sent, by peer."""

    plans: tuple[Plan, ...]
    entries: dict[int, list[codec.Entry]] = field(default_factory=dict)

    def add(self, peer: int, bucket: TokenBucket, is_aggregate: bool, first: float, second: float) -> None:
        """Add an entry for a peer, unless the bucket's plan is not in force any more."""
        if bucket.plan in self.plans:
            plan_number = self.plans.index(bucket.plan)
            entry = codec.Entry(bucket.customer_id, plan_number, is_aggregate, first, second)
            self.entries.setdefault(peer, []).append(entry)


class GossipPublisher(GatewayState):
    """Sends reports when they are due, and aggregates once a round."""

    def publish_gossip(self, is_round: bool) -> None:
        """Send reports of local demand and, once a round, replies; both within the allowance."""
        outbox = _Outbox(self.settings.plans)
        self._add_reports(outbox)
        has_allowance = self.gossip_allowance > 0.0  # aggregates wait for the allowance, reports do not
        if is_round and has_allowance:
            self._request_replies()
        if has_allowance:
            self._add_replies(outbox)
        self.pending_updates = {}
        self.pending_replies = {}
        if is_round:
            # Silence means that no customer is busy only while some limiters send messages.
            for _ in range(AGGREGATOR_COUNT):
                outbox.entries.setdefault(self.rng.randrange(self.settings.limiter_count), [])
        outbox.entries.pop(self.settings.index, None)
        self._send(outbox)

    def _add_reports(self, outbox: _Outbox) -> None:
        for customer_id in self.pending_updates:
            bucket = self.buckets.get(customer_id)
            if bucket is not None:
                for peer in bucket.members[:AGGREGATOR_COUNT]:
                    outbox.add(peer, bucket, False, bucket.requested_units, bucket.charged_units)

    def _request_replies(self) -> None:
        for bucket in self.buckets.values():
            if not bucket.peer_reports:
                continue
            reports = bucket.peer_reports.items()
            peers = [peer for peer, report in reports if self.now - report.received_at < ACTIVE_SECONDS]
            is_first_member = bucket.members[:1] == [self.settings.index]
            is_notification_needed = is_first_member and self.now - bucket.set_notified_at >= SET_NOTIFICATION_SECONDS
            if is_notification_needed and bucket.local_rate + bucket.remote_rate > bucket.plan.rate:
                # Members that have not seen the customer yet are notified as well.
                bucket.set_notified_at = self.now
                peers = bucket.members
            self.pending_replies.setdefault(bucket.customer_id, {}).update(dict.fromkeys(peers))

    def _add_replies(self, outbox: _Outbox) -> None:
        for customer_id, peers in self.pending_replies.items():
            bucket = self.buckets.get(customer_id)
            if bucket is None:
                continue
            bucket.refresh(self.now)
            demand = bucket.local_rate + bucket.remote_rate
            has_demand = demand > MIN_BUSY_DEMAND * bucket.plan.rate
            if has_demand or bucket.global_level < MAX_BUSY_LEVEL * bucket.plan.burst:
                for peer in peers:
                    outbox.add(peer, bucket, True, bucket.global_level, demand)

    def _send(self, outbox: _Outbox) -> None:
        for peer, entries in outbox.entries.items():
            for chunk in codec.chunks(entries):
                self.sequence = (self.sequence + 1) & 0xFFFF
                self.gossip_allowance -= 1.0
                message = codec.Message(self.incarnation, self.sequence, self.pressure, chunk)
                self.actions.append(SendGossip(peer, codec.encode(message)))
