"""The token buckets of all customers seen lately, and which customers have unreported use."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import NamedTuple

from thymeflow.decision.context import DecisionContext
from thymeflow.decision.events import RequestReceived
from thymeflow.decision.settings import GatewaySettings, Plan
from thymeflow.quota import counter_encoding
from thymeflow.quota.token_bucket import TokenBucket

INITIAL_FILL_FRACTION = 0.5  # of the burst: level after a start, for what earlier incarnations may have spent
IDLE_BUCKET_TTL_SECONDS = 20.0  # buckets of idle customers are full again before; over a counter's window
MEAN_COST_WEIGHT = 0.1  # of a new request in the mean cost of a customer's requests


class BucketStart(NamedTuple):
    """From what a new bucket begins; times are in s."""

    now: float
    started_at: float  # when the gateway started
    initial_fill: float  # fraction of the burst assumed in the bucket then


BucketFactory = Callable[[GatewaySettings, Plan, int, BucketStart], TokenBucket]


def create_token_bucket(_: GatewaySettings, plan: Plan, customer_id: int, start: BucketStart) -> TokenBucket:
    """Create the bucket of a customer whose slice of the quota follows demand."""
    return TokenBucket(plan, customer_id, *start)


class TokenBuckets:
    """Token buckets by customer id."""

    def __init__(self, context: DecisionContext, create_bucket: BucketFactory, initial_fill: float) -> None:
        """`initial_fill` is a fraction of the burst: 0 for a limiter that joins a set whose units are all allocated."""
        self._context = context
        self._create_bucket = create_bucket
        self.initial_fill = initial_fill
        self.by_customer: dict[int, TokenBucket] = {}
        self.last_remote_report_at = -inf  # s: when a peer or the counter last reported anything

    def create(self, plan: Plan, customer_id: int, start: BucketStart) -> TokenBucket:
        """Create a bucket that is not among these."""
        return self._create_bucket(self._context.settings, plan, customer_id, start)

    def get(self, customer_id: int, plan: Plan) -> TokenBucket:
        """Return the bucket of a customer, a new one for a customer that is not known."""
        context = self._context
        bucket = self.by_customer.get(customer_id)
        if bucket is None:
            start = BucketStart(context.now, context.started_at, self.initial_fill)
            bucket = self.by_customer[customer_id] = self.create(plan, customer_id, start)
        bucket.last_seen_at = context.now
        return bucket

    def get_request_bucket(self, request: RequestReceived, plan: Plan) -> TokenBucket:
        """Return the bucket of a request's customer, refilled up to now."""
        context = self._context
        bucket = self.get(counter_encoding.compute_customer_id(request.customer), plan)
        bucket.last_remote_report_at = self.last_remote_report_at  # peers that report report all that matter
        bucket.refresh(context.now)
        self.join_set(bucket, request)
        bucket.mean_cost += MEAN_COST_WEIGHT * (request.units - bucket.mean_cost) if bucket.mean_cost else request.units
        return bucket

    def join_set(self, bucket: TokenBucket, request: RequestReceived) -> None:
        """Give a bucket its slice of the set that the request names, unless it has one."""
        if not bucket.members or bucket.set_changed:
            context = self._context
            limiter_count = context.settings.limiter_count
            bucket.join_set(request.first_limiter, request.set_size, limiter_count, context.started_at)

    def record_remote_report(self, bucket: TokenBucket | None = None) -> None:
        """Record that a peer or the counter reported something now, of this customer if there is one."""
        now = self._context.now
        self.last_remote_report_at = now
        if bucket is not None:
            bucket.last_customer_report_at = now

    def apply_plans(self, set_changed: bool) -> None:
        """Fill buckets by the plans in force from now on; their levels stay."""
        context = self._context
        for bucket in self.by_customer.values():
            bucket.refresh(context.now)
            bucket.plan = context.plans.get(bucket.plan.name, bucket.plan)
            bucket.set_changed = bucket.set_changed or set_changed

    def drop_idle(self) -> None:
        """Drop the buckets of idle customers; most customers come once."""
        now = self._context.now
        self.by_customer = {
            customer_id: bucket
            for customer_id, bucket in self.by_customer.items()
            if now - bucket.last_seen_at <= IDLE_BUCKET_TTL_SECONDS or bucket.attempts_in_flight
        }


class ReportQueue:
    """Customers whose use is to be reported to peers or the counter, in the order in which it arose."""

    def __init__(self) -> None:
        self.pending: dict[int, None] = {}  # customers to be reported now
        self.deferred: dict[int, None] = {}  # customers to be reported in the next round

    def discard(self, customer_id: int) -> None:
        """Report a customer neither now nor in the next round."""
        self.pending.pop(customer_id, None)
        self.deferred.pop(customer_id, None)

    def begin_round(self, known: dict[int, TokenBucket]) -> None:
        """Make deferred customers pending, and drop those that are not known any more."""
        updates = self.pending | self.deferred
        self.pending = {customer_id: None for customer_id in updates if customer_id in known}
        self.deferred = {}

    def clear_pending(self) -> None:
        """Note that all pending customers were reported."""
        self.pending = {}
