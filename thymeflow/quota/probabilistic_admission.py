"""Admission by random sampling, for sets in which each limiter's slice of the quota is smaller than one request.

Stateless arithmetic, no decisions.
"""

from __future__ import annotations

# A limiter plans to spend the set's level over this time in s and not at once, because the other limiters spend the
# same units.
LEVEL_SPENDING_SECONDS = 3.0
MAX_DEMAND_BIAS = 2.6  # Upper bound on the factor for estimated demand
HALF_DEMAND_BIAS_COST = 0.25  # Over-quota cost at which the demand bias is half of MAX_DEMAND_BIAS
MIN_DEMAND_BIAS = 0.7  # Lower bound on the factor for estimated demand


def compute_demand_bias(over_quota_cost: float) -> float:
    """Return the factor for estimated demand, which weighs the cost of over-admission against that of rejection.

    A higher over-quota cost gives a larger factor, so that fewer requests are admitted.
    """
    return max(MIN_DEMAND_BIAS, MAX_DEMAND_BIAS * over_quota_cost / (over_quota_cost + HALF_DEMAND_BIAS_COST))


def is_admitted(sample: float, demand: float, rate: float, remaining_units: float, bias: float) -> bool:
    """Return whether a request is admitted.

    `sample` is a random number from [0, 1); `demand` and `rate` are in units per second, `remaining_units` is the set's
    level in units without the units of the request.
    """
    return sample * bias * demand <= rate + remaining_units / LEVEL_SPENDING_SECONDS
