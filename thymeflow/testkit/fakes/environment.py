"""The test environment of some limiters: all fakes in one reactor, and what they show of the limiters."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from thymeflow.runtime import clock
from thymeflow.testkit.fakes import site
from thymeflow.testkit.fakes.backend import FakeBackend
from thymeflow.testkit.fakes.backend_records import IdempotencyStore, ReceivedRequest, UsageMeter
from thymeflow.testkit.fakes.counter import DEFAULT_CALLS_PER_SECOND, FakeCounter
from thymeflow.testkit.fakes.discovery import FakeDiscovery
from thymeflow.testkit.fakes.load_generator import LoadGenerator
from thymeflow.testkit.fakes.reference_bucket import ReferenceBucket
from thymeflow.testkit.fakes.requests import Customer, RequestOutcome, RequestResult
from thymeflow.testkit.types import Address, JsonObject, NetworkReactor

TIMING_TOLERANCE_SECONDS = 0.05  # on every time limit between a limiter and its backends


class Rejection(NamedTuple):
    """A request that was not served, and whether its customer's quota would have covered it."""

    at: float
    result: RequestResult
    was_within_quota: bool


def _is_never_excused(_: str) -> bool:
    """Excuse no request."""
    return False


class Environment:
    """Backends, counter, discovery and clients."""

    def __init__(
        self,
        reactor: NetworkReactor,
        seed: int,
        backend_count: int = 6,
        plans: site.Plans | None = None,
        counter_calls_per_second: float = DEFAULT_CALLS_PER_SECOND,
    ) -> None:
        self.reactor = reactor
        self.rng = random.Random(seed)
        self.plans = plans or site.PLANS
        self.deadlines = clock.Deadlines(reactor)
        self.idempotency = IdempotencyStore(site.RETRY_WINDOW_SECONDS)
        usage = UsageMeter({name: quota.units_per_second for name, quota in self.plans.items()})
        self.backends = [
            FakeBackend(reactor, self.deadlines, number, usage, self.idempotency, random.Random(seed * 1000 + number))
            for number in range(backend_count)
        ]
        self.counter = FakeCounter(reactor, self.deadlines, counter_calls_per_second)
        self.discovery = FakeDiscovery(reactor, self.deadlines)
        self.limiter_addresses: dict[int, Address] = {}
        self.clients = LoadGenerator(
            reactor, self.deadlines, random.Random(seed + 1), self.limiter_addresses.__getitem__
        )
        self.clients.on_finished.append(self._on_finished)
        self.rejections: list[Rejection] = []
        self._finished: list[tuple[float, RequestResult]] = []
        self._buckets: dict[int, ReferenceBucket] = {}  # by customer number

    def start(self) -> None:
        """Start all fakes, with all backends in the endpoint list."""
        for backend in self.backends:
            backend.start()
        self.counter.start()
        self.discovery.start()
        self.discovery.update(*(backend.endpoint() for backend in self.backends))

    def config(self, limiter_count: int, memory_mb: int = 192, sockets: int = 1024) -> JsonObject:
        """Return the platform's JSON for limiters of this environment."""
        return {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "{}:{}".format(*self.discovery.address),
            "counter": "{}:{}".format(*self.counter.address),
            "seed": f"{self.rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": self.discovery.complete_list(),
            "settings": site.settings(limiter_count, self.plans),
        }

    def bucket_of(self, customer: Customer) -> ReferenceBucket:
        """Return the customer's quota."""
        bucket = self._buckets.get(customer.number)
        if bucket is None:
            bucket = ReferenceBucket(self.plans[customer.plan], clock.now())
            self._buckets[customer.number] = bucket
        return bucket

    def _on_finished(self, result: RequestResult) -> None:
        bucket = self.bucket_of(result.customer)
        now = clock.now()
        self._finished.append((now, result))
        if result.is_served:
            bucket.consume(result.customer.units, result.started_at)
        else:
            was_within_quota = bucket.level_at(now) >= result.customer.units
            self.rejections.append(Rejection(now, result, was_within_quota))

    def received(self) -> list[ReceivedRequest]:
        """Return all complete requests that backends received, in the order of their times."""
        received = (request for backend in self.backends for request in backend.received)
        return sorted(received, key=lambda request: request.received_at)

    def attempt_violations(self, is_excused: Callable[[str], bool] = _is_never_excused) -> list[str]:
        """Describe where attempts of a request broke the protocol; one with a key may be retried in its window.

        :param is_excused: by request id, whether a fault delayed its bytes, so that backends received an attempt later
            than it was sent.
        """
        violations = [
            f"{request_id}: {count} effects"
            for request_id, count in self.idempotency.effect_counts.items()
            if count > 1 and not is_excused(request_id)
        ]
        first_attempts: dict[str, ReceivedRequest] = {}
        last_attempts: dict[str, ReceivedRequest] = {}
        for attempt in self.received():
            request_id = attempt.request_id
            if is_excused(request_id):
                continue
            last = last_attempts.get(request_id)
            if last is not None and last.ended_at > attempt.received_at + TIMING_TOLERANCE_SECONDS:
                violations.append(f"{request_id}: out at s{last.backend} and s{attempt.backend} at once")
            if attempt.has_idempotency_key:
                first = first_attempts.setdefault(request_id, attempt)
                max_delay_seconds = site.RETRY_WINDOW_SECONDS + TIMING_TOLERANCE_SECONDS
                if attempt.earliest_at - first.received_at > max_delay_seconds:
                    delay_seconds = attempt.received_at - first.received_at
                    violations.append(f"{request_id}: repeated {delay_seconds:.2f} s after it was first sent")
            last_attempts[request_id] = attempt
        return violations

    def wrongly_answered(self) -> list[RequestResult]:
        """Return the requests with more than one response, or with that of another request."""
        return [result for result in self.clients.results if result.response_count > 1 or result.has_wrong_value]

    def unanswered(self) -> list[RequestResult]:
        """Return the accepted requests without a response, except those that a killed limiter had."""
        return [
            result
            for result in self.clients.results
            if result.outcome is RequestOutcome.UNANSWERED and not result.is_limiter_killed
        ]

    def rejected_within_quota_fraction(
        self, limiters: set[int], since: float, until: float, excluded_plan: str = ""
    ) -> float:
        """Return the fraction of some limiters' requests that were not served though the quota covered them."""

        def is_selected(at: float, result: RequestResult) -> bool:
            """Return whether a result is of these limiters and this span."""
            return result.limiter in limiters and since <= at < until and result.customer.plan != excluded_plan

        finished_count = sum(is_selected(at, result) for at, result in self._finished)
        rejected_count = sum(
            rejection.was_within_quota and is_selected(rejection.at, rejection.result) for rejection in self.rejections
        )
        return rejected_count / finished_count if finished_count else 0.0

    def units_received(self, customer: Customer) -> float:
        """Return a customer's units that reached backends, each request counted once."""
        units = {request.request_id: request.units for request in self.received() if request.customer == customer.name}
        return sum(units.values())
