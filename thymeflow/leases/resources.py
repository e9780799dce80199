"""The resources that the fleet shares, and the arithmetic that divides the total of each. No state.

All amounts are points, and every resource has the same total. Callers convert points to concurrent attempts, retries or
calls. A division in points is therefore valid for any limits in the settings, and stays valid when the settings change.
"""

from __future__ import annotations

from enum import Enum
from math import isnan

TOTAL_POINTS = 1_000_000  # the total of each resource
BASE_POINTS = 600_000  # the points for base amounts, which do not expire; see docs/design/budgets.md
LEASED_POINTS = TOTAL_POINTS - BASE_POINTS  # the points for leases, which are divided by demand
# Smallest weight of a holder, as a fraction of the mean demand: an idle holder may have demand at any moment.
IDLE_DEMAND_FRACTION = 0.25
MAX_DEMAND = 1e12  # a larger demand counts as this value, so that sums stay finite


class Resource(Enum):
    """A resource that is limited for the fleet; the values are used in messages and settings."""

    CONCURRENCY = "places"  # Attempts in flight; the total follows from the number of backends.
    RETRIES = "attempts"  # Retries that may execute a request twice; the total is the budget that may be saved up.
    COUNTER_CALLS = "calls"  # Counter calls per second; the total is set in [budgets].
    HALF_OPEN_PROBES = "trials"  # Half-open probes per second of each ejected backend; the total is set in [budgets].
    CONNECTIONS = "connections"  # Connections to each backend; the total is set in [budgets].


RESOURCE_INDEXES = {resource: index for index, resource in enumerate(Resource)}  # index of the amount in an allocation


def compute_base_amount(holder_count: int) -> int:
    """Return the base amount of each holder, in points, when the base points are divided evenly."""
    return BASE_POINTS // max(1, holder_count)


def divide_by_demand(total: int, demand: dict[str, float]) -> dict[str, int]:
    """Return the amount of each holder when a total is divided in proportion to demand.

    The sum is at most the total. A holder without demand gets a small amount.
    """
    if not demand:
        return {}
    clamped = {holder: _clamp_demand(amount) for holder, amount in demand.items()}
    min_weight = IDLE_DEMAND_FRACTION * sum(clamped.values()) / len(clamped) or 1.0
    weights = {holder: max(min_weight, amount) for holder, amount in clamped.items()}
    weight_sum = sum(weights.values())
    return {holder: int(total * weight / weight_sum) for holder, weight in weights.items()}


def _clamp_demand(amount: float) -> float:
    if isnan(amount):
        return 0.0
    return max(0.0, min(MAX_DEMAND, amount))
