"""The state that the parts of a gateway share, with what derives from it: no decisions.

`fraction_of`, `filter_backends`, `adjust_shedding`, `fleet_limits` and `bucket_factory` are the places where a fleet's
members are bounded from outside; alone, a limiter goes by its even fraction and by what it has seen itself.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum
from math import inf
from typing import NamedTuple

from thymeflow.decision.actions import Action, AddToCounter, SetTimer
from thymeflow.decision.events import RequestReceived
from thymeflow.decision.request_state import RequestState
from thymeflow.decision.settings import GatewaySettings, Plan
from thymeflow.health import pressure, slow_start
from thymeflow.health.backend_stats import BackendStats
from thymeflow.quota import counter_encoding
from thymeflow.quota.token_bucket import TokenBucket

INITIAL_FILL = 0.5  # of the burst: level after a start, for what earlier incarnations or peers may have spent
MIN_CALL_RATE = 0.5  # counter calls a second of one limiter
MAX_CALL_RATE = 120.0
INITIAL_FLEET_CALL_RATE = 200.0  # counter calls a second with which all limiters together start
CALL_RATE_GROWTH = 1.05  # for each counter reply in time
SMOOTHING = 0.1  # weight of a new sample in running means (about the last 20 responses)
MAX_LATENCY_WEIGHT = 0.25  # weight of a latency sample where they are rare
RETRY_BUDGET_PER_REQUEST = 0.1  # retries that may run twice, earned by each admitted request
MAX_FLEET_RETRY_BUDGET = 30.0  # retries saved up by all limiters together


class TimerKind(Enum):
    """What a timer was set for."""

    TICK = "tick"
    SUBSCRIBE = "subscribe"
    DEADLINE = "deadline"
    COUNTER = "counter"


class Timer(NamedTuple):
    """A timer's purpose, and the request or customer that it concerns."""

    kind: TimerKind
    subject: str = ""


class CounterCall(NamedTuple):
    """A counter call without a reply yet."""

    customer_id: int
    amount: float


# Ready and healthy backends, class name and time, to the backends that may be used.
BackendFilter = Callable[[list[BackendStats], list[BackendStats], str, float], list[BackendStats]]


def _keep_healthy(
    ready: list[BackendStats], healthy: list[BackendStats], class_name: str, now: float
) -> list[BackendStats]:
    del ready, class_name, now
    return healthy


def _keep_fraction(pending: RequestState, fraction: float) -> float:
    del pending
    return fraction


class GatewayState:
    """Backends, token buckets, pending requests and running means of one gateway."""

    def __init__(self, settings: GatewaySettings, seed: int, initial_fill: float = INITIAL_FILL) -> None:
        """`initial_fill` is a fraction of the burst: 0 for a limiter that joins a set whose units are all allocated."""
        self.rng = random.Random(seed)
        self.fraction_of: Callable[[str], float] = self._even_fraction
        self.filter_backends: BackendFilter = _keep_healthy
        self.adjust_shedding: Callable[[RequestState, float], float] = _keep_fraction
        self.fleet_limits: dict[str, float] = {}  # by resource, where it is bounded over the fleet
        self.bucket_factory: Callable[[Plan, int, float, float, float], TokenBucket] = TokenBucket
        self.apply_settings(settings)
        self.initial_fill = initial_fill
        self.backends: dict[int, BackendStats] = {}
        self.buckets: dict[int, TokenBucket] = {}  # by customer id
        self.pending: dict[str, RequestState] = {}  # by request id
        self.timers: dict[int, Timer] = {}
        self.last_timer = 0
        self.actions: list[Action] = []
        self.started_at = -inf
        self.now = 0.0
        self.in_flight = 0  # attempts
        self.warmed_up_backends = 0.0  # what the ready ones come to
        self.retry_budget = self.max_retry_budget()
        self.pending_updates: dict[int, None] = {}  # customers to be reported now
        self.deferred_updates: dict[int, None] = {}  # customers to be reported in the next round
        self.counter_calls: dict[int, CounterCall] = {}  # by counter name
        initial_call_rate = INITIAL_FLEET_CALL_RATE / settings.limiter_count
        self.call_rate = max(MIN_CALL_RATE, min(MAX_CALL_RATE, initial_call_rate))
        self.call_credit = self.call_rate
        self.call_rate_growth = CALL_RATE_GROWTH
        self.reserved_calls = 0.0  # calls that are left to requests that wait for the counter
        self.pressure = 0.0  # mean latency over the objective, 1 at most
        self.mean_latency_ratio = (
            pressure.PRESSURE_THRESHOLD / 2.0
        )  # the same without a bound, over a longer time
        self.last_latency_at = -inf
        self.last_gossip_at = -inf  # when a peer or the counter was last heard of
        self.peer_sequences: dict[int, tuple[int, int]] = {}  # incarnation and last sequence number
        self.pending_replies: dict[int, dict[int, None]] = {}  # peers to be notified, by customer
        self.gossip_allowance = 1.0  # messages
        self.incarnation = self.rng.randrange(1 << 16)
        self.sequence = 0
        self.last_round_at = -inf

    def _even_fraction(self, resource: str) -> float:
        del resource
        return 1.0 / self.settings.limiter_count

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Take settings into use, with all that is derived from them."""
        self.settings = settings
        self.limits = settings.limits
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}

    def set_timer(self, delay: float, kind: TimerKind, subject: str = "") -> None:
        """Ask for a timer and note its purpose."""
        self.last_timer += 1
        self.timers[self.last_timer] = Timer(kind, subject)
        self.actions.append(SetTimer(self.last_timer, max(0.0, delay)))

    def fleet_limit(self, resource: str) -> float:
        """Return how much of a resource may be used here, infinity where it is not bounded."""
        if resource not in self.fleet_limits:
            return inf
        return self.fleet_limits[resource] * self.fraction_of(resource)

    def max_retry_budget(self) -> float:
        """Return how many retries may be saved up."""
        return 1.0 + MAX_FLEET_RETRY_BUDGET * self.fraction_of("attempts")

    def probe_interval(self) -> float:
        """Return the seconds between half-open probes of one backend."""
        return 1.0 / max(1e-9, self.fleet_limit("trials"))

    def count_warmed_up_backends(self) -> None:
        """Bring the number of warmed-up backends up to now."""
        endpoints = [backend.endpoint for backend in self.backends.values()]
        self.warmed_up_backends = slow_start.equivalent_backends(endpoints, self.now, self.settings.rules)

    def observe_latency(self, latency_ratio: float) -> None:
        """Take a latency over its objective into the pressure; rare samples weigh more."""
        weight = max(SMOOTHING, min(MAX_LATENCY_WEIGHT, 0.5 * (self.now - self.last_latency_at)))
        self.pressure += weight * (min(1.0, latency_ratio) - self.pressure)
        self.last_latency_at = self.now

    def bucket_for(self, plan: Plan, event: RequestReceived) -> TokenBucket:
        """Return the bucket of a request's customer, refilled up to now."""
        bucket = self.get_bucket(counter_encoding.customer_id(event.customer), plan)
        bucket.last_gossip_at = (
            self.last_gossip_at
        )  # peers that are heard of report the customers that matter
        bucket.refresh(self.now)
        if not bucket.members or bucket.set_changed:
            bucket.join_set(event.first_limiter, event.set_size, self.settings.limiter_count, self.started_at)
        bucket.mean_cost += SMOOTHING * (event.units - bucket.mean_cost) if bucket.mean_cost else event.units
        return bucket

    def get_bucket(self, customer_id: int, plan: Plan) -> TokenBucket:
        """Return the bucket of a customer, a new one for a customer that is not known."""
        bucket = self.buckets.get(customer_id)
        if bucket is None:
            bucket = self.bucket_factory(plan, customer_id, self.now, self.started_at, self.initial_fill)
            self.buckets[customer_id] = bucket
        bucket.last_seen_at = self.now
        return bucket

    def report_to_counter(self, bucket: TokenBucket) -> None:
        """Add to the counter what was requested and charged since the last report."""
        name = counter_encoding.counter_name(
            bucket.customer_id, self.now, bucket.plan.rate, bucket.plan.burst
        )
        amount = bucket.counter_ledger.report(name, bucket.requested_units, bucket.charged_units)
        self.actions.append(AddToCounter(name, amount, 2.0 * counter_encoding.WINDOW_SECONDS))
        self.counter_calls[name] = CounterCall(bucket.customer_id, amount)
        bucket.counter_called_at = self.now
        self.call_credit -= 1.0
