"""How much of its capacity a backend has since its start: stateless arithmetic after the rules, no decisions."""

from __future__ import annotations

from collections.abc import Iterable

from thymeflow.decision.settings import Rules
from thymeflow.decision.types import Backend, BackendState

# Fraction of the overload multiple that is sent to a backend that is warming up, from none of its capacity to all: a
# small budget is a few requests, and random selection may send half as many more.
INITIAL_LOAD = 0.25
FINAL_LOAD = 0.6


def compute_capacity_fraction(age: float, rules: Rules) -> float:
    """Return the fraction of its capacity that a backend has so many seconds after its start."""
    ramp = max(0.0, age) / max(1e-9, rules.slow_start_seconds)
    return min(1.0, rules.slow_start_fraction + (1.0 - rules.slow_start_fraction) * ramp)


def compute_warmed_up_backends(endpoints: Iterable[Backend], now: float, rules: Rules) -> float:
    """Return how many warmed-up backends the ready ones come to."""
    return sum(
        compute_capacity_fraction(now - endpoint.started, rules)
        if endpoint.started > 0.0
        else 1.0  # 0: started long ago
        for endpoint in endpoints
        if endpoint.state is BackendState.READY
    )


def compute_target_loads(endpoints: Iterable[Backend], now: float, rules: Rules) -> dict[int, float]:
    """Return the load for each backend that is warming up, by its id."""
    # Few backends have a start time.
    loads = [
        (endpoint.id, compute_target_load(now - endpoint.started, rules))
        for endpoint in endpoints
        if endpoint.started > 0.0
    ]
    return {backend_id: load for backend_id, load in loads if load > 0.0}


def compute_target_load(age: float, rules: Rules) -> float:
    """Return the load for a backend of this age as a fraction of a warmed-up one's; 0 once it is warmed up."""
    capacity = compute_capacity_fraction(age, rules)
    target = INITIAL_LOAD + (FINAL_LOAD - INITIAL_LOAD) * capacity
    return min(1.0, target * rules.overload_multiple * capacity) if capacity < 1.0 else 0.0
