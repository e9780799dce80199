"""When a request is checked against its quota: here at once, or in other strategies after a counter reply."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from thymeflow.decision.admission import AdmissionPolicy
from thymeflow.decision.context import DecisionContext
from thymeflow.decision.events import CounterReplied, RequestReceived
from thymeflow.quota.buckets import TokenBuckets
from thymeflow.quota.counter_reporter import CounterReporter


class QuotaAdmission(Protocol):
    """Keeps requests waiting until it is known whether their quota covers them."""

    def on_request(self, event: RequestReceived) -> None:
        """Admit or reject a request, or let it wait for the counter."""

    def on_counter_replied(self, event: CounterReplied) -> None:
        """Decide on the requests that waited for this reply."""

    def on_counter_timeout(self, customer_id: int) -> None:
        """Decide on the requests of a customer that have waited for long enough."""

    def on_client_disconnected(self, request_id: str) -> None:
        """Forget a request that waits for the counter."""


QuotaAdmissionFactory = Callable[
    [DecisionContext, AdmissionPolicy, TokenBuckets, CounterReporter], QuotaAdmission
]


class ImmediateAdmission:
    """Decides at once, by what is known of the customer's quota here."""

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
        pending = self._admission.receive(event)
        if pending is not None:
            sample = self._rng.random()
            self._admission.admit(pending, pending.bucket.can_admit(event.units, sample))

    def on_counter_replied(self, event: CounterReplied) -> None:
        """Update what is known of the quota."""
        self._reporter.on_reply(event)

    def on_counter_timeout(self, customer_id: int) -> None:
        """Do nothing, as no request waits."""

    def on_client_disconnected(self, request_id: str) -> None:
        """Do nothing, as no request waits."""
