"""Processes gossip from peers: aggregates their reports, and applies the aggregates that they computed."""

from __future__ import annotations

from thymeflow.decision.context import DecisionContext
from thymeflow.decision.events import GossipReceived
from thymeflow.gossip import codec
from thymeflow.gossip.publisher import AGGREGATOR_COUNT, GossipPublisher
from thymeflow.health.backend_registry import BackendRegistry
from thymeflow.quota.buckets import TokenBuckets
from thymeflow.quota.token_bucket import (
    DEMAND_MEMORY_SECONDS,
    MIN_REMOTE_MEMORY_SECONDS,
    PeerReport,
    TokenBucket,
)

HALF_SEQUENCE_RANGE = 0x8000  # Sequence numbers wrap; a message is newer if its number is ahead by less than this.
# A report with more newly requested units than the bounds below is recorded and answered, but not counted as demand.
# Bound on the first report of a peer's incarnation, as a multiple of the maximum units of a request
MAX_FIRST_REPORT_RATIO = 2.0
# Bound on later reports, as a multiple of the burst or of the maximum units of a request, whichever is larger
MAX_REPORT_RATIO = 10.0


class GossipAggregator:
    """Validates gossip messages and updates the buckets of the customers in them."""

    def __init__(
        self, context: DecisionContext, buckets: TokenBuckets, registry: BackendRegistry, publisher: GossipPublisher
    ) -> None:
        self._context = context
        self._buckets = buckets
        self._registry = registry
        self._publisher = publisher
        self.last_message_ids: dict[int, tuple[int, int]] = {}  # Incarnation and last sequence number, by peer

    def on_gossip(self, event: GossipReceived) -> None:
        """Apply a peer's message; ignore it if it is malformed, old or from a sender that is not in the fleet."""
        context = self._context
        sender = event.sender
        message = codec.decode(event.data)
        if message is None or not self._is_new(sender, message):
            return
        self.last_message_ids[sender] = (message.incarnation, message.sequence)
        self._buckets.record_remote_report()
        self._registry.update_pressure_by_peer(message.pressure)
        for entry in message.entries:
            if entry.plan < len(context.settings.plans):
                self._apply_entry(sender, message.incarnation, entry)

    def _is_new(self, sender: int, message: codec.Message) -> bool:
        incarnation, last_sequence = self.last_message_ids.get(sender, (-1, 0))
        if not 0 <= sender < self._context.settings.limiter_count:
            return False
        return (
            incarnation != message.incarnation or 0 < (message.sequence - last_sequence) & 0xFFFF < HALF_SEQUENCE_RANGE
        )

    def _apply_entry(self, sender: int, incarnation: int, entry: codec.Entry) -> None:
        context = self._context
        bucket = self._buckets.get(entry.customer_id, context.settings.plans[entry.plan])
        bucket.refresh(context.now)
        bucket.last_customer_report_at = context.now
        if not entry.is_aggregate:
            self._aggregate_report(bucket, sender, incarnation, entry)
        elif not bucket.has_first_hand_reports and (not bucket.members or sender in bucket.members[:AGGREGATOR_COUNT]):
            bucket.set_level = min(bucket.plan.burst, entry.requested_or_level)
            bucket.remote_rate_decay_seconds = MIN_REMOTE_MEMORY_SECONDS
            bucket.usage_ratio = 1.0
            bucket.remote_rate = max(0.0, entry.charged_or_demand - bucket.local_rate)

    def _aggregate_report(self, bucket: TokenBucket, sender: int, incarnation: int, entry: codec.Entry) -> None:
        max_units = self._context.settings.information.max_units
        previous = bucket.peer_reports.get(sender)
        is_first = previous is None or previous.incarnation != incarnation
        requested_units = codec.compute_unsigned_difference(
            entry.requested_or_level, 0.0 if previous is None or is_first else previous.requested
        )
        charged = codec.compute_signed_difference(
            entry.charged_or_demand, 0.0 if previous is None or is_first else previous.charged
        )
        bucket.peer_reports[sender] = PeerReport(
            incarnation, entry.requested_or_level, entry.charged_or_demand, self._context.now
        )
        self._publisher.queue_aggregate(bucket.customer_id, (sender,))
        max_accepted = (
            MAX_FIRST_REPORT_RATIO * max_units if is_first else MAX_REPORT_RATIO * max(bucket.plan.burst, max_units)
        )
        if requested_units <= max_accepted:
            bucket.has_first_hand_reports = True
            bucket.remote_rate_decay_seconds = DEMAND_MEMORY_SECONDS
            bucket.usage_ratio = 1.0
            bucket.remote_rate += requested_units / DEMAND_MEMORY_SECONDS
            # `charge_remote` stops at a level of 0, so use over the quota at one limiter creates no debt at the others.
            bucket.charge_remote(charged)
