"""What backends record: requests received, effects of requests with a key, and use of quotas."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import inf

MIN_UNITS_PER_SECOND = 1e-9  # of a plan, so that a rate of 0 can be divided by


@dataclass(slots=True)
class ReceivedRequest:
    """A request whose last byte was read at `received_at`, in Unix seconds."""

    received_at: float
    earliest_at: float  # it cannot have arrived before; earlier than `received_at` where our reactor ran late
    backend: int
    request_id: str
    customer: str
    request_class: str
    units: float
    has_idempotency_key: bool
    ended_at: float = inf  # when its response was written or its connection ended: in flight until then


class IdempotencyStore:
    """The idempotency keys that the backends of one group remember: a completed one has no effect for a while."""

    def __init__(self, window_seconds: float) -> None:
        self.window_seconds = window_seconds
        self.effect_counts: dict[str, int] = {}  # by request id
        self._completed_at: dict[str, float] = {}

    def record_effect(self, request_id: str, now: float) -> None:
        """Record the completion of a request, which is an effect unless its key is remembered."""
        if now - self._completed_at.get(request_id, -inf) > self.window_seconds:
            self.effect_counts[request_id] = self.effect_counts.get(request_id, 0) + 1
        self._completed_at[request_id] = now


class UsageMeter:
    """Each customer's use over all backends, as they report it: percent of its rate over the last seconds."""

    SPAN_SECONDS = 2.0

    def __init__(self, units_per_second_by_plan: dict[str, float]) -> None:
        self._units_per_second_by_plan = units_per_second_by_plan
        self._recent: dict[str, deque[tuple[float, float]]] = {}  # by customer: time and units

    def add(self, customer: str, plan: str, units: float, now: float) -> float:
        """Count units, and return the percentage."""
        recent = self._recent.setdefault(customer, deque())
        recent.append((now, units))
        while recent and now - recent[0][0] > self.SPAN_SECONDS:
            recent.popleft()
        units_per_second = max(MIN_UNITS_PER_SECOND, self._units_per_second_by_plan.get(plan, 1.0))
        return 100.0 * sum(recent_units for _, recent_units in recent) / (self.SPAN_SECONDS * units_per_second)
