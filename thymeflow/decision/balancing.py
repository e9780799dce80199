"""Selects the backend of an attempt."""

from __future__ import annotations

from math import inf

from thymeflow.decision.context import DecisionContext
from thymeflow.decision.fleet_bounds import FleetResource
from thymeflow.decision.request_state import RequestState
from thymeflow.decision.settings import Idempotency, IdempotencyScope
from thymeflow.decision.types import BackendState
from thymeflow.health import slow_start
from thymeflow.health.backend_registry import BackendRegistry
from thymeflow.health.backend_stats import BackendStats

# Greatest fraction of the ready backends that may be ejected. If more of them fail, no ejection applies,
# because the cause is then outside the backends.
MAX_EJECTED_FRACTION = 0.7


class LoadBalancer:
    """Selects backends by health, idempotency scope and slow start, and then by the least expected wait."""

    def __init__(self, context: DecisionContext, registry: BackendRegistry) -> None:
        self._context = context
        self._registry = registry

    def select_backend(self, pending: RequestState) -> BackendStats | None:
        """Return the backend for the next attempt of a request, or None if no backend is permitted.

        The first attempt of a request goes to a backend in slow start with a probability that equals the
        share of these backends in the target load. All other attempts go to the backend with the least
        expected wait, in a random sample if only few attempts are in flight.
        """
        settings = self._context.settings
        rng = self._context.rng
        ready = self._find_ready_backends()
        candidates = self._find_healthy_backends(ready, pending.request_class.name)
        candidates = self._filter_by_idempotency_scope(candidates, pending)
        endpoints = [backend.endpoint for backend in candidates]
        target_loads = slow_start.compute_target_loads(endpoints, self._context.now, settings.rules)
        # Whether a backend in slow start is selected is drawn at random. With a budget per gateway, hundreds
        # of idle gateways would save it up and spend it on a new backend at the same time.
        slow_start_load = 0.0 if pending.attempts else sum(target_loads.values())
        if (
            slow_start_load
            and rng.random() * (max(1.0, len(ready) - len(target_loads)) + slow_start_load) < slow_start_load
        ):
            return self._registry.backends[rng.choices(list(target_loads), list(target_loads.values()))[0]]
        tried = {backend.endpoint.id for backend, _ in pending.attempts}
        candidates = [
            b for b in candidates if b.endpoint.id not in tried and b.endpoint.id not in target_loads
        ]
        # With few attempts in flight, the expected waits hardly differ, and all gateways would select the
        # same backend. The gateway therefore compares only a weighted random sample of the backends.
        sample_size = 2 + self._registry.in_flight
        if sample_size < len(candidates):
            weights = [max(0.01, backend.endpoint.weight) for backend in candidates]
            candidates = rng.choices(candidates, weights, k=sample_size)
        zone = settings.zone
        return min(candidates, key=lambda b: (b.compute_load_score(zone), rng.random()), default=None)

    def _find_ready_backends(self) -> list[BackendStats]:
        backends = self._registry.backends.values()
        ready = [backend for backend in backends if backend.endpoint.state is BackendState.READY]
        # Each attempt in flight occupies one connection.
        max_connections = self._context.get_resource_limit(FleetResource.CONNECTIONS)
        if max_connections == inf:
            return ready
        return [backend for backend in ready if backend.in_flight + 1 <= max_connections]

    def _find_healthy_backends(self, ready: list[BackendStats], class_name: str) -> list[BackendStats]:
        now = self._context.now
        healthy = [backend for backend in ready if backend.is_healthy(class_name, now)]
        healthy = self._context.fleet_bounds.filter_backends(ready, healthy, class_name, now)
        return healthy if len(healthy) >= (1.0 - MAX_EJECTED_FRACTION) * len(ready) else ready

    @staticmethod
    def _filter_by_idempotency_scope(
        candidates: list[BackendStats], pending: RequestState
    ) -> list[BackendStats]:
        possibly_executed = pending.find_possibly_executed_attempts()
        scope = pending.request_class.idempotency_scope
        has_key = pending.request_class.idempotency is Idempotency.WITH_KEY
        if not possibly_executed or not has_key or scope is IdempotencyScope.ALL:
            return candidates
        first = possibly_executed[0].backend.endpoint
        if scope is IdempotencyScope.ZONE:
            return [backend for backend in candidates if backend.endpoint.zone == first.zone]
        return [backend for backend in candidates if backend.endpoint.cell == first.cell]
