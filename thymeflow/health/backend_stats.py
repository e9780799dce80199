"""This limiter's statistics of one backend in its current incarnation: load, latency and failures."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import NamedTuple

from thymeflow.decision.types import Backend
from thymeflow.health import pressure

CROSS_ZONE_PENALTY = 0.5  # Added to the load of a backend in another zone, in requests
# A backend whose last two attempts are further apart is rarely used: one failure ejects it. The latency samples of a
# backend weigh more, the longer the time between its attempts is in relation to this time.
RARELY_USED_SECONDS = 2.0
EJECTION_FAILURES = 2  # Number of consecutive failures that eject a backend
ALL_CLASSES = ""  # Key used in place of a class name for failures and responses of all classes together


class FailureStreak(NamedTuple):
    """Consecutive failures, and the time until which they eject the backend (in the past if they don't)."""

    failure_count: int
    ejected_until: float


NO_FAILURES = FailureStreak(0, 0.0)


class BackendStats:
    """Statistics of one backend; failures and responses are also kept by request class."""

    def __init__(self, endpoint: Backend, now: float, probe_interval: Callable[[], float]) -> None:
        """Create the statistics of a backend without any attempts.

        `probe_interval` returns the time in seconds between half-open probes that the fleet limits allow.
        """
        self.endpoint = endpoint
        self.probe_interval = probe_interval
        self.in_flight = 0
        self.relative_latency = 1.0  # Running mean of this backend's latency over the mean of all backends
        self.last_sent_at = now
        self.send_interval = 0.0  # Time in s between the last two attempts
        self.failures: dict[str, FailureStreak] = {}  # Keys are class names and ALL_CLASSES.
        # Times of the last responses of any status. Keys are class names and ALL_CLASSES.
        self.last_response_at: dict[str, float] = {}

    def record_failure(self, class_name: str, now: float) -> None:
        """Count a failure of a class, or of ALL_CLASSES.

        EJECTION_FAILURES consecutive failures eject the backend; each further failure ejects it for longer.
        """
        increment = EJECTION_FAILURES if self.send_interval > RARELY_USED_SECONDS else 1
        count = self.failures.get(class_name, NO_FAILURES).failure_count + increment
        ejection_seconds = pressure.compute_ejection_seconds(count - EJECTION_FAILURES, self.send_interval)
        ejected_until = now + max(ejection_seconds, self.probe_interval()) if count >= EJECTION_FAILURES else -inf
        self.failures[class_name] = FailureStreak(count, ejected_until)

    def record_no_response(self, class_name: str, sent_at: float, now: float) -> None:
        """Count a failure for ALL_CLASSES and for the class, each only if it had no response since `sent_at`."""
        # A backend that responds to other requests is not down, and a backend that responds to this class can serve it.
        for name in (ALL_CLASSES, class_name):
            if self.last_response_at.get(name, -inf) < sent_at:
                self.record_failure(name, now)

    def count_consecutive_failures(self, class_name: str) -> int:
        """Return the number of consecutive failures of a class or of ALL_CLASSES, whichever is larger."""
        return max(self.failures.get(name, NO_FAILURES).failure_count for name in (ALL_CLASSES, class_name))

    def is_healthy(self, class_name: str, now: float) -> bool:
        """Return whether the backend is not ejected, neither for this class nor for ALL_CLASSES."""
        return all(
            self.failures[name].ejected_until <= now for name in (ALL_CLASSES, class_name) if name in self.failures
        )

    def compute_load_score(self, zone: str) -> float:
        """Return a score without a unit that grows with queue length and latency; the lowest score is preferred."""
        load = self.in_flight + 1.0 + (CROSS_ZONE_PENALTY if self.endpoint.zone != zone else 0.0)
        return load * max(0.1, self.relative_latency) / max(0.01, self.endpoint.weight)
