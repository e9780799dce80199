"""What this limiter has seen of one backend in its present incarnation: load, latency and failures."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import NamedTuple

from thymeflow.decision.types import Backend
from thymeflow.health import pressure

CROSS_ZONE_PENALTY = 0.5  # requests: how much shorter a queue in another zone must be to be preferred
RARELY_USED_SECONDS = 2.0  # a backend used less often than this is ejected by one failure
EJECTION_FAILURES = 2  # failures in a row that eject a backend
ALL_CLASSES = ""  # in place of a class name: what concerns all requests at the backend


class FailureStreak(NamedTuple):
    """Failures in a row, and until when they eject the backend (minus infinity: they do not)."""

    failure_count: int
    ejected_until: float


NO_FAILURES = FailureStreak(0, 0.0)


class BackendStats:
    """Statistics of one backend, by request class where they differ."""

    def __init__(self, endpoint: Backend, now: float, probe_interval: Callable[[], float]) -> None:
        """`probe_interval` gives the seconds between half-open probes that the fleet limits allow."""
        self.endpoint = endpoint
        self.probe_interval = probe_interval
        self.in_flight = 0
        self.relative_latency = 1.0
        self.last_sent_at = now
        self.send_interval = 0.0  # s between the last two attempts
        self.failures: dict[str, FailureStreak] = {}  # by class, or ALL_CLASSES
        self.last_response_at: dict[str, float] = {}  # responses of any kind, by class, or ALL_CLASSES

    def record_failure(self, class_name: str, now: float) -> None:
        """Count a failure; from some in a row on it ejects the backend, longer with each further one."""
        increment = EJECTION_FAILURES if self.send_interval > RARELY_USED_SECONDS else 1
        count = self.failures.get(class_name, NO_FAILURES).failure_count + increment
        length = pressure.compute_ejection_seconds(count - EJECTION_FAILURES, self.send_interval)
        until = now + max(length, self.probe_interval()) if count >= EJECTION_FAILURES else -inf
        self.failures[class_name] = FailureStreak(count, until)

    def record_no_response(self, class_name: str, sent_at: float, now: float) -> None:
        """Count a failure where there was no response since `sent_at`."""
        # A backend that responds to other requests is not down, and one that responds to this class can serve it.
        for name in (ALL_CLASSES, class_name):
            if self.last_response_at.get(name, -inf) < sent_at:
                self.record_failure(name, now)

    def count_consecutive_failures(self, class_name: str) -> int:
        """Return the failures in a row that concern this class."""
        return max(self.failures.get(name, NO_FAILURES).failure_count for name in (ALL_CLASSES, class_name))

    def is_healthy(self, class_name: str, now: float) -> bool:
        """Return whether it is not ejected for this class."""
        return all(
            self.failures[name].ejected_until <= now for name in (ALL_CLASSES, class_name) if name in self.failures
        )

    def compute_wait_score(self, zone: str) -> float:
        """Return a score that grows with queue length and latency; lower is better."""
        load = self.in_flight + 1.0 + (CROSS_ZONE_PENALTY if self.endpoint.zone != zone else 0.0)
        return load * max(0.1, self.relative_latency) / max(0.01, self.endpoint.weight)
