"""Interface of quota admission strategies, and the strategy that decides each request immediately."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from thymeflow.decision.admission import AdmissionPolicy
from thymeflow.decision.context import DecisionContext
from thymeflow.decision.events import CounterReplied, RequestReceived
from thymeflow.quota.buckets import TokenBuckets
from thymeflow.quota.counter_reporter import CounterReporter


class QuotaAdmission(Protocol):
    """Decides each request by its quota: immediately, or after a counter reply."""

    def on_request(self, event: RequestReceived) -> None:
        """Admit or reject a request, or let it wait for the counter."""

    def on_counter_replied(self, event: CounterReplied) -> None:
        """Apply a counter reply to the customer's bucket, and decide the requests that waited for it."""

    def on_counter_timeout(self, customer_id: int) -> None:
        """Decide the waiting requests of a customer, because the counter has not replied in time."""

    def on_client_disconnected(self, request_id: str) -> None:
        """Remove a request from the requests that wait for the counter."""


QuotaAdmissionFactory = Callable[
    [DecisionContext, AdmissionPolicy, TokenBuckets, CounterReporter], QuotaAdmission
]


class ImmediateAdmission:
    """Decides each request immediately by the customer's local token bucket."""

    def __init__(
        self,
        context: DecisionContext,
        admission: AdmissionPolicy,
        buckets: TokenBuckets,
        reporter: CounterReporter,
    ) -> None:
        del buckets
        self._rng = context.rng
        self._admission = admission
        self._reporter = reporter

    def on_request(self, event: RequestReceived) -> None:
        """Admit or reject a request."""
        pending = self._admission.register_request(event)
        if pending is not None:
            sample = self._rng.random()
            self._admission.admit(pending, pending.bucket.can_admit(event.units, sample))

    def on_counter_replied(self, event: CounterReplied) -> None:
        """Apply a counter reply to the customer's bucket."""
        self._reporter.on_reply(event)

    def on_counter_timeout(self, customer_id: int) -> None:
        """Do nothing, because no request waits for the counter."""

    def on_client_disconnected(self, request_id: str) -> None:
        """Do nothing, because no request waits for the counter."""
