"""Decides whether a failed request is retried."""

from __future__ import annotations

from thymeflow.decision.balancing import LoadBalancer
from thymeflow.decision.context import DecisionContext
from thymeflow.decision.fleet_bounds import FleetResource
from thymeflow.decision.open_requests import ATTEMPT_START_MARGIN_SECONDS, OpenRequests
from thymeflow.decision.request_state import RequestState
from thymeflow.decision.settings import Idempotency

# Retries of possibly executed requests that each admitted request adds to the budget.
RETRY_BUDGET_PER_REQUEST = 0.1
MAX_FLEET_RETRY_BUDGET = 30.0  # Retries that all limiters together may save up, besides one per limiter.


class RetryPolicy:
    """Starts retries if they are permitted.

    A budget bounds the retries of possibly executed requests, so that they never multiply the load of failing
    backends.
    """

    def __init__(self, context: DecisionContext, balancer: LoadBalancer, requests: OpenRequests) -> None:
        self._context = context
        self._balancer = balancer
        self._requests = requests
        self.budget = self.compute_max_budget()  # Available retries of possibly executed requests.

    def compute_max_budget(self) -> float:
        """Return the number of retries that this limiter may save up."""
        return 1.0 + MAX_FLEET_RETRY_BUDGET * self._context.get_resource_fraction(FleetResource.RETRIES)

    def credit_admitted_request(self) -> None:
        """Add `RETRY_BUDGET_PER_REQUEST` to the budget, up to its maximum."""
        self.budget = min(self.compute_max_budget(), self.budget + RETRY_BUDGET_PER_REQUEST)

    def start_retry(self, pending: RequestState) -> bool:
        """Start another attempt if settings, time and budget permit it; return whether it was started."""
        possibly_executed = pending.find_possibly_executed_attempts()
        idempotency = pending.request_class.idempotency
        latest_arrival_at = pending.deadline
        if possibly_executed and idempotency is Idempotency.WITH_KEY:
            latest_arrival_at = min(
                latest_arrival_at, possibly_executed[0].sent_at + pending.request_class.idempotency_window
            )
        if possibly_executed and (idempotency is Idempotency.NOT_IDEMPOTENT or self.budget < 1.0):
            return False
        if pending.is_streaming or len(pending.attempts) >= pending.max_attempts:
            return False
        now = self._context.now
        if now > latest_arrival_at - ATTEMPT_START_MARGIN_SECONDS:
            return False
        backend = self._balancer.select_backend(pending)
        if backend is None:
            return False
        self.budget -= float(bool(possibly_executed))
        # The retry must arrive at the backend within the idempotency window and the deadline.
        start_within = latest_arrival_at - ATTEMPT_START_MARGIN_SECONDS - now
        self._requests.start_attempt(pending, backend, start_within)
        return True
