"""Decides whether a failed request is tried again."""

from __future__ import annotations

from thymeflow.decision.balancing import LoadBalancer
from thymeflow.decision.context import DecisionContext
from thymeflow.decision.fleet_bounds import FleetResource
from thymeflow.decision.open_requests import RETRY_MARGIN_SECONDS, OpenRequests
from thymeflow.decision.request_state import RequestState
from thymeflow.decision.settings import Idempotency

RETRY_BUDGET_PER_REQUEST = 0.1  # retries that may run twice, earned by each admitted request
MAX_FLEET_RETRY_BUDGET = 30.0  # retries saved up by all limiters together


class RetryPolicy:
    """Retries within a budget, so that they never multiply the load of backends that fail."""

    def __init__(self, context: DecisionContext, balancer: LoadBalancer, requests: OpenRequests) -> None:
        self._context = context
        self._balancer = balancer
        self._requests = requests
        self.budget = self.compute_max_budget()  # retries of requests that may have been executed

    def compute_max_budget(self) -> float:
        """Return how many retries may be saved up."""
        return 1.0 + MAX_FLEET_RETRY_BUDGET * self._context.get_resource_fraction(FleetResource.RETRIES)

    def earn(self) -> None:
        """Add what an admitted request earns to the budget."""
        self.budget = min(self.compute_max_budget(), self.budget + RETRY_BUDGET_PER_REQUEST)

    def retry(self, pending: RequestState) -> bool:
        """Start one more attempt if rules, time and budget allow it; return whether one was started."""
        executed = pending.possibly_executed()
        idempotency = pending.request_class.idempotency
        end = pending.deadline
        if executed and idempotency is Idempotency.WITH_KEY:
            end = min(end, executed[0].sent_at + pending.request_class.idempotency_window)
        if executed and (idempotency is Idempotency.NOT_IDEMPOTENT or self.budget < 1.0):
            return False
        if pending.is_streaming or len(pending.attempts) >= pending.max_attempts:
            return False
        now = self._context.now
        if now > end - RETRY_MARGIN_SECONDS:
            return False
        backend = self._balancer.select_backend(pending)
        if backend is None:
            return False
        self.budget -= float(bool(executed))
        start_within = end - RETRY_MARGIN_SECONDS - now  # a retry counts when it arrives
        self._requests.start_attempt(pending, backend, start_within)
        return True
