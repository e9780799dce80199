"""The backends of the endpoint list with their statistics, and the load and pressure of all of them."""

from __future__ import annotations

from collections.abc import Callable
from math import exp, inf

from thymeflow.decision.events import EndpointsChanged
from thymeflow.decision.settings import Rules
from thymeflow.decision.types import BackendState, EndpointListKind
from thymeflow.health import slow_start
from thymeflow.health.backend_stats import RARELY_USED_SECONDS, BackendStats
from thymeflow.health.pressure import PRESSURE_THRESHOLD

SMOOTHING = 0.1  # weight of a new sample in running means (about the last 20 responses)
MAX_LATENCY_WEIGHT = 0.25  # weight of a latency sample where they are rare
MAX_LATENCY_RATIO = 10.0  # of one sample over the mean
MAX_RARE_WEIGHT = 3.0  # how much more a sample weighs at a backend that is rarely used
PRESSURE_MEMORY_SECONDS = 6.0  # a limiter that rejects all gets no responses and must try again


class BackendRegistry:
    """Backends by id, attempts in flight, and running means of latency over the latency objective."""

    def __init__(self, probe_interval: Callable[[], float]) -> None:
        """`probe_interval` gives the seconds between half-open probes of one backend."""
        self.backends: dict[int, BackendStats] = {}
        self.in_flight = 0  # attempts
        self.warmed_up_backends = 0.0  # what the ready ones come to
        self.pressure = 0.0  # mean latency over the objective, 1 at most
        self.mean_latency_ratio = PRESSURE_THRESHOLD / 2.0  # the same without a bound, over a longer time
        self._last_latency_at = -inf
        self._probe_interval = probe_interval

    def apply_endpoints(self, event: EndpointsChanged, now: float, rules: Rules) -> None:
        """Apply a change of the endpoint list; backends that drain or are gone get nothing from now on."""
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            ids = [endpoint.id for endpoint in event.backends]
            self.backends = {number: self.backends[number] for number in ids if number in self.backends}
        for endpoint in event.backends:
            backend = self.backends.pop(endpoint.id, None)
            if backend is None or endpoint.started > backend.endpoint.started:
                backend = BackendStats(endpoint, now, self._probe_interval)
            if endpoint.state is not BackendState.GONE:
                self.backends[endpoint.id] = backend
                backend.endpoint = endpoint
        self.count_warmed_up_backends(now, rules)

    def count_warmed_up_backends(self, now: float, rules: Rules) -> None:
        """Bring the number of warmed-up backends up to now."""
        endpoints = [backend.endpoint for backend in self.backends.values()]
        self.warmed_up_backends = slow_start.compute_warmed_up_backends(endpoints, now, rules)

    def begin_attempt(self, backend: BackendStats, now: float) -> None:
        """Count an attempt that is sent to a backend."""
        backend.in_flight += 1
        backend.send_interval = now - backend.last_sent_at
        backend.last_sent_at = now
        self.in_flight += 1

    def release_attempt(self, backend: BackendStats) -> None:
        """Count one attempt less, as it has ended or its response has begun."""
        backend.in_flight -= 1
        self.in_flight -= 1

    def record_latency(self, backend: BackendStats, latency_ratio: float) -> None:
        """Record a backend's latency over the latency objective, in relation to that of all backends."""
        weight = SMOOTHING * (1.0 + min(MAX_RARE_WEIGHT, backend.send_interval / RARELY_USED_SECONDS))
        relative = latency_ratio / max(1e-3, self.mean_latency_ratio)
        backend.relative_latency += weight * (min(MAX_LATENCY_RATIO, relative) - backend.relative_latency)
        self.mean_latency_ratio += 0.5 * SMOOTHING * (latency_ratio - self.mean_latency_ratio)

    def update_pressure_by_latency(self, latency_ratio: float, now: float) -> None:
        """Update the pressure by a latency over its objective; rare samples weigh more."""
        weight = max(SMOOTHING, min(MAX_LATENCY_WEIGHT, 0.5 * (now - self._last_latency_at)))
        self.pressure += weight * (min(1.0, latency_ratio) - self.pressure)
        self._last_latency_at = now

    def update_pressure_by_peer(self, peer_pressure: float) -> None:
        """Update the pressure by that of a peer."""
        self.pressure += SMOOTHING * (peer_pressure - self.pressure)

    def decay_pressure(self, seconds: float) -> None:
        """Let the pressure decay over a time."""
        self.pressure *= exp(-seconds / PRESSURE_MEMORY_SECONDS)
