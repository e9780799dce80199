"""Concurrency limit, shedding and ejection times by the backends' pressure: stateless arithmetic, no decisions.

Pressure is the mean latency over the latency objective, 1 at most; `deficit` is the fraction by which a customer's
bucket falls short of a full one.
"""

from __future__ import annotations

from math import sqrt

PRESSURE_THRESHOLD = 0.4  # of the latency objective: mean latency from which the backends are under pressure
SHEDDING_SLOPE = 4.0  # fraction shed for each latency objective that the latency exceeds the threshold by
ATTEMPTS_PER_BACKEND = 4.0  # over all limiters: limit on attempts in flight, bursts aside
LOW_PRESSURE_EXTRA = 1.0  # times the limit: how much more may be in flight while latency is far under the threshold
MIN_EJECTION_SECONDS = 1.0  # the first ejection; each further failure doubles it
MAX_EJECTION_SECONDS = 8.0
FULL_BUCKET_RESERVE = 0.4  # of the limit: reserved for customers with full buckets, so shedding follows quotas


def compute_ejection_seconds(extra_failures: int, send_interval: float) -> float:
    """Return for how long a backend is ejected after so many failures beyond those that eject it.

    `send_interval` is in seconds: where a backend is seldom used, one ejection lasts until it would be used again.
    """
    return min(MAX_EJECTION_SECONDS, max(send_interval, MIN_EJECTION_SECONDS * 2.0**extra_failures))


def compute_concurrency_limit(backends: float, deficit: float, pressure: float) -> float:
    """Return the attempts that may be in flight to so many warmed-up backends; fewer with an emptier bucket."""
    # A few slow requests among quick ones take much concurrency, which harms nobody while latency is low.
    extra = 1.0 + LOW_PRESSURE_EXTRA * max(0.0, 1.0 - pressure / PRESSURE_THRESHOLD)
    limit = ATTEMPTS_PER_BACKEND * backends * (1.0 - FULL_BUCKET_RESERVE * deficit) * extra
    # A small limit is met in bursts: two standard deviations and one more are admitted.
    return limit + 2.0 * sqrt(limit) + 1.0


def compute_shedding_fraction(deficit: float, pressure: float) -> float:
    """Return the fraction of requests that is rejected."""
    return SHEDDING_SLOPE * max(0.0, pressure - PRESSURE_THRESHOLD) * (0.5 + deficit)
