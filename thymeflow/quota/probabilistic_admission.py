"""Admission by random sampling, for sets in which each limiter's slice of the quota is smaller than one request.

Stateless arithmetic, no decisions.
"""

from __future__ import annotations

# The estimated level of the set's bucket is spent over this time, because the other limiters spend the same units.
RESERVE_SECONDS = 3.0
MAX_BIAS = 2.6
HALF_BIAS_COST = 0.25  # Over-quota cost at which the bias is half of MAX_BIAS
MIN_BIAS = 0.7


def compute_demand_bias(over_quota_cost: float) -> float:
    """Return the factor for estimated demand, which weighs the cost of over-admission against that of rejection.

    A higher over-quota cost gives a larger factor, so that fewer requests are admitted.
    """
    return max(MIN_BIAS, MAX_BIAS * over_quota_cost / (over_quota_cost + HALF_BIAS_COST))


def is_sampled(sample: float, demand: float, rate: float, reserve: float, bias: float) -> bool:
    """Return whether a request is admitted.

    `sample` is a random number from [0, 1); `demand` and `rate` are in units per second, `reserve` is in units.
    """
    return sample * bias * demand <= rate + reserve / RESERVE_SECONDS
