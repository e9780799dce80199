"""The backends of the endpoint list with their statistics, and the load and pressure over all backends."""

from __future__ import annotations

from collections.abc import Callable
from math import exp, inf

from thymeflow.decision.events import EndpointsChanged
from thymeflow.decision.settings import Rules
from thymeflow.decision.types import BackendState, EndpointListKind
from thymeflow.health import slow_start
from thymeflow.health.backend_stats import RARELY_USED_SECONDS, BackendStats
from thymeflow.health.pressure import PRESSURE_THRESHOLD

SMOOTHING = 0.1  # Weight of a new sample in running means, which cover about the last 20 responses
MAX_LATENCY_WEIGHT = 0.25  # Maximum weight of a latency sample in the pressure, used where samples are rare
MAX_LATENCY_RATIO = 10.0  # Upper bound on the ratio of a latency sample to the mean latency
MAX_EXTRA_WEIGHT = 3.0  # Maximum extra weight of a sample from a rarely used backend, as a multiple of SMOOTHING
# Time constant of the pressure's decay. Without the decay, a limiter that rejects all requests would get no responses,
# would not see the pressure fall, and would never try again.
PRESSURE_MEMORY_SECONDS = 6.0


class BackendRegistry:
    """Backends by id, attempts in flight, and running means of latency over the latency objective."""

    def __init__(self, probe_interval: Callable[[], float]) -> None:
        """Create an empty registry.

        `probe_interval` returns the time in seconds between half-open probes of one backend.
        """
        self.backends: dict[int, BackendStats] = {}
        self.in_flight = 0  # Attempts in flight to all backends
        self.ready_capacity = 0.0  # Capacity of the ready backends, as a number of warmed-up backends
        self.pressure = 0.0  # Running mean of latency over the latency objective, at most 1
        # Running mean of the same ratio without an upper bound, with half the weight per response
        self.mean_latency_ratio = PRESSURE_THRESHOLD / 2.0
        self._last_latency_at = -inf
        self._probe_interval = probe_interval

    def apply_endpoints(self, event: EndpointsChanged, now: float, rules: Rules) -> None:
        """Apply a change of the endpoint list.

        Backends that are gone are removed, and draining backends keep their statistics but get no new attempts.
        """
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            listed_ids = [endpoint.id for endpoint in event.backends]
            self.backends = {
                backend_id: self.backends[backend_id] for backend_id in listed_ids if backend_id in self.backends
            }
        for endpoint in event.backends:
            backend = self.backends.pop(endpoint.id, None)
            if backend is None or endpoint.started > backend.endpoint.started:
                backend = BackendStats(endpoint, now, self._probe_interval)
            if endpoint.state is not BackendState.GONE:
                self.backends[endpoint.id] = backend
                backend.endpoint = endpoint
        self.update_ready_capacity(now, rules)

    def update_ready_capacity(self, now: float, rules: Rules) -> None:
        """Update the capacity of the ready backends to the time `now`."""
        endpoints = [backend.endpoint for backend in self.backends.values()]
        self.ready_capacity = slow_start.compute_ready_capacity(endpoints, now, rules)

    def begin_attempt(self, backend: BackendStats, now: float) -> None:
        """Count an attempt that is sent to a backend as in flight."""
        backend.in_flight += 1
        backend.send_interval = now - backend.last_sent_at
        backend.last_sent_at = now
        self.in_flight += 1

    def release_attempt(self, backend: BackendStats) -> None:
        """Remove an attempt from those in flight, because it has ended or its response has begun."""
        backend.in_flight -= 1
        self.in_flight -= 1

    def record_latency(self, backend: BackendStats, latency_ratio: float) -> None:
        """Update a backend's latency relative to the mean of all backends.

        `latency_ratio` is the latency of one response over the latency objective.
        """
        weight = SMOOTHING * (1.0 + min(MAX_EXTRA_WEIGHT, backend.send_interval / RARELY_USED_SECONDS))
        relative_latency = latency_ratio / max(1e-3, self.mean_latency_ratio)
        backend.relative_latency += weight * (min(MAX_LATENCY_RATIO, relative_latency) - backend.relative_latency)
        self.mean_latency_ratio += 0.5 * SMOOTHING * (latency_ratio - self.mean_latency_ratio)

    def update_pressure_by_latency(self, latency_ratio: float, now: float) -> None:
        """Update the pressure by one response's latency over the latency objective; rare samples weigh more."""
        weight = max(SMOOTHING, min(MAX_LATENCY_WEIGHT, 0.5 * (now - self._last_latency_at)))
        self.pressure += weight * (min(1.0, latency_ratio) - self.pressure)
        self._last_latency_at = now

    def update_pressure_by_peer(self, peer_pressure: float) -> None:
        """Update the pressure by a pressure that a peer reported."""
        self.pressure += SMOOTHING * (peer_pressure - self.pressure)

    def decay_pressure(self, seconds: float) -> None:
        """Let the pressure decay over a number of seconds."""
        self.pressure *= exp(-seconds / PRESSURE_MEMORY_SECONDS)
