"""Which of many requests is admitted where every slice of a quota is under one request: stateless arithmetic."""

from __future__ import annotations

RESERVE_SECONDS = 3.0  # what a bucket is thought to hold is spent over this, as other limiters spend it too
MAX_BIAS = 2.6
HALF_BIAS_COST = 0.25  # the over-quota cost at which the bias is half of the most
MIN_BIAS = 0.7


def compute_demand_bias(over_quota_cost: float) -> float:
    """Return the factor by which estimated demand is raised: over-admission has its cost, rejection its own."""
    return max(MIN_BIAS, MAX_BIAS * over_quota_cost / (over_quota_cost + HALF_BIAS_COST))


def is_sampled(sample: float, demand: float, rate: float, reserve: float, bias: float) -> bool:
    """Return whether a request is admitted; `sample` is from [0, 1), demand and rate are units a second."""
    return sample * bias * demand <= rate + reserve / RESERVE_SECONDS
