"""Concurrency limit and shedding by the backends' pressure, and ejection times. Stateless arithmetic, no decisions.

Pressure is the mean latency over the latency objective, at most 1. `deficit` is the missing part of a customer's bucket
as a fraction of a full bucket.
"""

from __future__ import annotations

from math import sqrt

PRESSURE_THRESHOLD = 0.4  # Backends are under pressure above this mean latency, as a fraction of the latency objective.
SHEDDING_SLOPE = 4.0  # Increase of the shed fraction per unit of pressure above the threshold, at a deficit of 0.5
ATTEMPTS_PER_BACKEND = 4.0  # Attempts in flight per warmed-up backend over all limiters, before the burst allowance
LOW_PRESSURE_EXTRA = 1.0  # At zero pressure the limit is raised by this fraction of itself.
MIN_EJECTION_SECONDS = 1.0  # Minimum duration of the first ejection; each further failure doubles it.
MAX_EJECTION_SECONDS = 8.0
# Part of the limit that is reserved for customers with full buckets, so that shedding follows the quotas
FULL_BUCKET_RESERVE = 0.4


def compute_ejection_seconds(extra_failures: int, send_interval: float) -> float:
    """Return the duration of an ejection in seconds.

    `extra_failures` is the number of consecutive failures beyond those that eject a backend. `send_interval` is the
    time in seconds between the last two attempts: an ejection lasts at least as long, up to MAX_EJECTION_SECONDS.
    """
    return min(MAX_EJECTION_SECONDS, max(send_interval, MIN_EJECTION_SECONDS * 2.0**extra_failures))


def compute_concurrency_limit(backends: float, deficit: float, pressure: float) -> float:
    """Return the maximum number of attempts in flight to a number of warmed-up backends.

    A customer with a larger deficit gets a lower limit.
    """
    # While pressure is low, the limit is higher, because a few slow requests among quick ones need much concurrency,
    # and this does no harm while latency is low.
    extra = 1.0 + LOW_PRESSURE_EXTRA * max(0.0, 1.0 - pressure / PRESSURE_THRESHOLD)
    limit = ATTEMPTS_PER_BACKEND * backends * (1.0 - FULL_BUCKET_RESERVE * deficit) * extra
    # Bursts often reach a small limit, so the limit is raised by two standard deviations and one attempt.
    return limit + 2.0 * sqrt(limit) + 1.0


def compute_shedding_fraction(deficit: float, pressure: float) -> float:
    """Return the fraction of requests to reject; it can exceed 1."""
    return SHEDDING_SLOPE * max(0.0, pressure - PRESSURE_THRESHOLD) * (0.5 + deficit)
