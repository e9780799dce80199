"""Computes customer ids, rendezvous order, counter names and counter amounts. Stateless arithmetic, no decisions.

A customer's total at the counter has a new name in each window. The total of a new name starts at 0, so a limiter can
compute a rate from the first total that it reads. Windows of different customers begin at different times, because
otherwise all customers would move to new names at once.

An amount encodes requested and charged units in one number: requested steps + REQUESTED_STEP_COUNT * charged steps.
Adding amounts adds both parts. The size of a step is a fraction of the scale. The scale is the smallest power of two
above the units that the quota allows in a window. The counter name includes the scale, so limiters that know different
quotas for a plan use different names and never read each other's steps.
"""

from __future__ import annotations

import hashlib
from math import frexp

WINDOW_SECONDS = 10.0  # A counter name is in use for one window.
# Number of steps for requested units. The steps reach up to 16 times the scale.
REQUESTED_STEP_COUNT = 4096
# Number of steps for charged units. The steps reach up to twice the scale. The product with REQUESTED_STEP_COUNT stays
# below 10^7, because a total is exact to seven digits only (PROTOCOL, counter).
CHARGED_STEP_COUNT = 2048
REQUESTED_STEP_FRACTION = 16.0 / REQUESTED_STEP_COUNT  # Step size as a fraction of the scale
CHARGED_STEP_FRACTION = 2.0 / CHARGED_STEP_COUNT  # Step size as a fraction of the scale
# Added to the scale's binary exponent in a name, so that the number in the name is positive for scales below 1 too. It
# is limited to at least 1.
SCALE_EXPONENT_OFFSET = 32
HASH_MULTIPLIER = 0x9E3779B97F4A7C15
MIX_MULTIPLIER = 0xBF58476D1CE4E5B9


def compute_customer_id(customer: str) -> int:
    """Return the customer's 32-bit id, a hash of its name that is the same at every gateway."""
    return int.from_bytes(hashlib.blake2b(customer.encode(), digest_size=4).digest(), "big")


def compute_rendezvous_order(customer_id: int, first_limiter: int, set_size: int, limiter_count: int) -> list[int]:
    """Return the limiters of a customer's set, sorted by a hash; the order is the same at every gateway."""
    members = [(first_limiter + offset) % limiter_count for offset in range(set_size)]
    return sorted(members, key=lambda member: (customer_id ^ member * HASH_MULTIPLIER) * MIX_MULTIPLIER % 2**64)


def _compute_window_position(customer_id: int, now: float) -> float:
    return now / WINDOW_SECONDS + customer_id % 1000 / 1000.0


def _parse_scale(name: int) -> float:
    return float(2.0 ** ((name >> 56) - SCALE_EXPONENT_OFFSET))


def build_counter_name(customer_id: int, now: float, rate: float, burst: float) -> int:
    """Return the counter name that is in use at the time `now` for a customer with this quota."""
    exponent = frexp(rate * WINDOW_SECONDS + burst)[1] + SCALE_EXPONENT_OFFSET
    scale_exponent = min(2 * SCALE_EXPONENT_OFFSET - 1, max(1, exponent))
    return scale_exponent << 56 | customer_id << 24 | int(_compute_window_position(customer_id, now)) % 2**24


def encode(name: int, requested: float, charged: float) -> int:
    """Return the amount to add to the total of a name for requested and charged units.

    The units are rounded to steps and limited to the encodable range; `decode` returns the units that were encoded.
    """
    scale = _parse_scale(name)
    # More than REQUESTED_STEP_COUNT - 1 steps would be decoded as charged units. The caller reports the remaining units
    # with its next call.
    requested_steps = min(REQUESTED_STEP_COUNT - 1, int(max(0.0, requested) / scale / REQUESTED_STEP_FRACTION))
    charged_steps = round(
        min(CHARGED_STEP_FRACTION * CHARGED_STEP_COUNT, max(-1.0, charged / scale)) / CHARGED_STEP_FRACTION
    )
    return requested_steps + REQUESTED_STEP_COUNT * charged_steps


def decode(name: int, amount: float) -> tuple[float, float]:
    """Return the requested and charged units that an amount, or a sum or difference of amounts, encodes."""
    scale = _parse_scale(name)
    charged, requested = divmod(round(amount), REQUESTED_STEP_COUNT)
    return requested * REQUESTED_STEP_FRACTION * scale, charged * CHARGED_STEP_FRACTION * scale


def is_impossible_increase(increase: float) -> bool:
    """Return whether a total cannot have changed by this amount while the counter kept its totals.

    The requested part of a total never falls while the counter keeps its totals. A fall shows as more than half of the
    requested steps, because of the modulo. An increase far below 0 is impossible too.
    """
    too_low = -REQUESTED_STEP_COUNT * CHARGED_STEP_COUNT / 8
    return round(increase) % REQUESTED_STEP_COUNT > REQUESTED_STEP_COUNT // 2 or increase < too_low


def compute_window_age(customer_id: int, now: float) -> float:
    """Return the time in seconds since the customer's current window began."""
    return _compute_window_position(customer_id, now) % 1.0 * WINDOW_SECONDS
