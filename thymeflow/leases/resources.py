"""Resources that the fleet shares, and how the total of each is divided. Stateless arithmetic.

All amounts are points of one total, which the callers convert to concurrent attempts, retries or calls. One
distribution therefore serves all limits that the settings may give, and a change of settings needs no new one.
"""

from __future__ import annotations

from enum import Enum
from math import isnan

TOTAL_POINTS = 1_000_000  # points: the total of each resource
BASE_POINTS = 600_000  # points for base amounts, which do not expire; docs/design/budgets.md
LEASED_POINTS = TOTAL_POINTS - BASE_POINTS  # points for leases, which are divided by demand
IDLE_DEMAND_FRACTION = 0.25  # of the mean demand: weight of a holder without demand, as it may need some at any moment
MAX_DEMAND = 1e12  # larger figures count as this one, so that sums stay finite


class Resource(Enum):
    """A resource that is limited for the fleet; the values are used in messages and settings."""

    CONCURRENCY = "places"  # attempts in flight: the capacity that is present, by the settings
    RETRIES = "attempts"  # retries that may execute a request twice, up to what may be saved up
    COUNTER_CALLS = "calls"  # counter calls per second, as [budgets] has it
    HALF_OPEN_PROBES = "trials"  # attempts per second to each backend that has failed: [budgets]
    CONNECTIONS = "connections"  # to each backend: [budgets]


RESOURCE_INDEXES = {resource: index for index, resource in enumerate(Resource)}  # of its amount in an allocation


def base_amount(holders: int) -> int:
    """Return the base amount of each of so many holders, in points."""
    return BASE_POINTS // max(1, holders)


def divide_by_demand(total: int, demand: dict[str, float]) -> dict[str, int]:
    """Divide a total by demand; the sum is at most the total, and a holder without demand gets a small amount."""
    if not demand:
        return {}
    usable = {holder: _usable_demand(amount) for holder, amount in demand.items()}
    min_weight = IDLE_DEMAND_FRACTION * sum(usable.values()) / len(usable) or 1.0
    weights = {holder: max(min_weight, amount) for holder, amount in usable.items()}
    weight_sum = sum(weights.values())
    return {holder: int(total * weight / weight_sum) for holder, weight in weights.items()}


def _usable_demand(amount: float) -> float:
    if isnan(amount):
        return 0.0
    return max(0.0, min(MAX_DEMAND, amount))
