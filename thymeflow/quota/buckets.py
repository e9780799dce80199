"""The token buckets of recently seen customers, and the queue of customers whose use is not reported yet."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import NamedTuple

from thymeflow.decision.context import DecisionContext
from thymeflow.decision.events import RequestReceived
from thymeflow.decision.settings import GatewaySettings, Plan
from thymeflow.quota import counter_encoding
from thymeflow.quota.token_bucket import TokenBucket

# A bucket's level when the gateway starts, as a fraction of the burst. An earlier incarnation may have
# spent the other half just before the restart.
INITIAL_FILL_FRACTION = 0.5
# The bucket of an idle customer is assumed to be full again within this time. The time is also longer than a counter
# window.
IDLE_BUCKET_TTL_SECONDS = 20.0
# Buckets that are kept at most, and the fraction of them that is dropped at a time, those of the customers seen least
# recently first.
MAX_BUCKETS = 16384
DROPPED_FRACTION = 0.125
MEAN_COST_WEIGHT = 0.1  # Weight of a new request in the running mean of a customer's request cost


class BucketStart(NamedTuple):
    """Times and level from which a new bucket is initialized; times are in s."""

    now: float
    started_at: float  # Start time of the gateway
    initial_fill: float  # Level that is assumed at `started_at`, as a fraction of the burst


BucketFactory = Callable[[GatewaySettings, Plan, int, BucketStart], TokenBucket]


def create_token_bucket(_: GatewaySettings, plan: Plan, customer_id: int, start: BucketStart) -> TokenBucket:
    """Create the bucket of a customer whose slice of the quota follows demand."""
    return TokenBucket(plan, customer_id, *start)


class TokenBuckets:
    """Token buckets by customer id."""

    def __init__(self, context: DecisionContext, create_bucket: BucketFactory, initial_fill: float) -> None:
        """Create an empty collection.

        `initial_fill` is the level of new buckets at the gateway's start, as a fraction of the burst. It is 0 for a
        limiter that joins a set whose units are all allocated to other members.
        """
        self._context = context
        self._create_bucket = create_bucket
        self.initial_fill = initial_fill
        self.by_customer: dict[int, TokenBucket] = {}
        self.last_remote_report_at = -inf  # Time in s of the last report of a peer or the counter, on any customer

    def create(self, plan: Plan, customer_id: int, start: BucketStart) -> TokenBucket:
        """Return a new bucket, which is not added to the collection."""
        return self._create_bucket(self._context.settings, plan, customer_id, start)

    def get(self, customer_id: int, plan: Plan) -> TokenBucket:
        """Return the bucket of a customer; create it if there is none."""
        context = self._context
        bucket = self.by_customer.get(customer_id)
        if bucket is None:
            if len(self.by_customer) >= MAX_BUCKETS:
                self._drop_least_recently_seen()
            start = BucketStart(context.now, context.started_at, self.initial_fill)
            bucket = self.by_customer[customer_id] = self.create(plan, customer_id, start)
        bucket.last_seen_at = context.now
        return bucket

    def prepare_request_bucket(self, request: RequestReceived, plan: Plan) -> TokenBucket:
        """Refill the bucket of a request's customer, count the request in its mean cost, and return the bucket."""
        context = self._context
        bucket = self.get(counter_encoding.compute_customer_id(request.customer), plan)
        # Peers report every customer with relevant demand, so a report on any customer also informs about this one.
        bucket.last_remote_report_at = self.last_remote_report_at
        bucket.refresh(context.now)
        self.join_set(bucket, request)
        bucket.mean_cost += MEAN_COST_WEIGHT * (request.units - bucket.mean_cost) if bucket.mean_cost else request.units
        return bucket

    def join_set(self, bucket: TokenBucket, request: RequestReceived) -> None:
        """Make a bucket join the set that the request names, unless it has joined one for the current fleet size."""
        if not bucket.members or bucket.must_rejoin_set:
            context = self._context
            limiter_count = context.settings.limiter_count
            bucket.join_set(request.first_limiter, request.set_size, limiter_count, context.started_at)

    def record_remote_report(self, bucket: TokenBucket | None = None) -> None:
        """Record a report that a peer or the counter sent now, for the customer of `bucket` if one is given."""
        now = self._context.now
        self.last_remote_report_at = now
        if bucket is not None:
            bucket.last_customer_report_at = now

    def apply_plans(self, fleet_size_changed: bool) -> None:
        """Assign the plans in force to the buckets. Levels stay, and later refills use the new plans.

        If the fleet's size changed, each bucket joins a set again at the customer's next request.
        """
        context = self._context
        for bucket in self.by_customer.values():
            bucket.refresh(context.now)
            bucket.plan = context.plans.get(bucket.plan.name, bucket.plan)
            bucket.must_rejoin_set = bucket.must_rejoin_set or fleet_size_changed

    def _drop_least_recently_seen(self) -> None:
        """Make room for buckets of new customers, which a client may name without end."""
        unused = [bucket for bucket in self.by_customer.values() if not bucket.attempts_in_flight]
        # A customer whose units became debt would be free of it without its bucket.
        unused.sort(key=lambda bucket: (bucket.level < 0.0, bucket.last_seen_at))
        for bucket in unused[: int(MAX_BUCKETS * DROPPED_FRACTION)]:
            del self.by_customer[bucket.customer_id]

    def drop_idle(self) -> None:
        """Drop the buckets of idle customers. Most customers send one request only, so buckets would accumulate."""
        now = self._context.now
        self.by_customer = {
            customer_id: bucket
            for customer_id, bucket in self.by_customer.items()
            if now - bucket.last_seen_at <= IDLE_BUCKET_TTL_SECONDS or bucket.attempts_in_flight
        }


class ReportQueue:
    """Customers whose use must be reported to peers or the counter, in the order of their first unreported use."""

    def __init__(self) -> None:
        self.pending: dict[int, None] = {}  # Customers to report in the current round
        self.deferred: dict[int, None] = {}  # Customers to report in the next round

    def discard(self, customer_id: int) -> None:
        """Remove a customer from the current and the next round."""
        self.pending.pop(customer_id, None)
        self.deferred.pop(customer_id, None)

    def begin_round(self, known_buckets: dict[int, TokenBucket]) -> None:
        """Make deferred customers pending, and drop customers that have no bucket in `known_buckets`."""
        customer_ids = self.pending | self.deferred
        self.pending = {customer_id: None for customer_id in customer_ids if customer_id in known_buckets}
        self.deferred = {}

    def clear_pending(self) -> None:
        """Empty the current round, because all pending customers were reported."""
        self.pending = {}
