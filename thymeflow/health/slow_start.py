"""A backend's capacity during its slow start, by the platform's rules (`Rules`). Stateless arithmetic, no decisions."""

from __future__ import annotations

from collections.abc import Iterable

from thymeflow.decision.settings import Rules
from thymeflow.decision.types import Backend, BackendState

# Target load of a backend that is warming up, as a fraction of the load at which the platform calls it overloaded. The
# fraction rises from INITIAL_LOAD_FACTOR at no capacity to FINAL_LOAD_FACTOR at full capacity. Both are well below 1,
# because the load of a cold backend is a few requests, and random selection may send half as many more.
INITIAL_LOAD_FACTOR = 0.25
FINAL_LOAD_FACTOR = 0.6


def compute_capacity_fraction(age: float, rules: Rules) -> float:
    """Return the fraction of its full capacity that a backend has `age` seconds after its start."""
    ramp = max(0.0, age) / max(1e-9, rules.slow_start_seconds)
    return min(1.0, rules.slow_start_fraction + (1.0 - rules.slow_start_fraction) * ramp)


def compute_ready_capacity(endpoints: Iterable[Backend], now: float, rules: Rules) -> float:
    """Return the capacity of the ready backends, as a number of warmed-up backends."""
    # A start time of 0 means that the backend started long ago.
    return sum(
        compute_capacity_fraction(now - endpoint.started, rules) if endpoint.started > 0.0 else 1.0
        for endpoint in endpoints
        if endpoint.state is BackendState.READY
    )


def compute_target_loads(endpoints: Iterable[Backend], now: float, rules: Rules) -> dict[int, float]:
    """Return the target load of each backend that is warming up, by its id."""
    # Few backends have a start time, so the load is computed for these only.
    loads = [
        (endpoint.id, compute_target_load(now - endpoint.started, rules))
        for endpoint in endpoints
        if endpoint.started > 0.0
    ]
    return {backend_id: load for backend_id, load in loads if load > 0.0}


def compute_target_load(age: float, rules: Rules) -> float:
    """Return the target load of a backend `age` seconds after its start, or 0 if it is warmed up.

    The load is a fraction of the load of a warmed-up backend.
    """
    capacity = compute_capacity_fraction(age, rules)
    target = INITIAL_LOAD_FACTOR + (FINAL_LOAD_FACTOR - INITIAL_LOAD_FACTOR) * capacity
    return min(1.0, target * rules.overload_multiple * capacity) if capacity < 1.0 else 0.0
