"""Customer ids, rendezvous nodes, and names and amounts at the counter: stateless arithmetic, no decisions.

A customer's total has a new name in each window, so that the first reading already gives a rate.
Windows of different customers begin at different times: all would move to new names at once.

A total encodes two amounts in one number: steps of requested units, and above them, from REQUESTED_STEP_COUNT on, steps of
charged units. The sum of such numbers is the number of the sums. A step is scaled by the quota, to a power of two that
the name includes: limiters with another quota of the plan in force never read one another's steps.
"""

from __future__ import annotations

import hashlib
from math import frexp

WINDOW_SECONDS = 10.0  # how long a counter name is in use
REQUESTED_STEP_COUNT = 4096  # 16 times what a quota gives in a window
CHARGED_STEP_COUNT = (
    2048  # twice that; with REQUESTED_STEP_COUNT within the seven digits of a total (PROTOCOL, counter)
)
REQUESTED_STEP_FRACTION = 16.0 / REQUESTED_STEP_COUNT  # of the scale
CHARGED_STEP_FRACTION = 2.0 / CHARGED_STEP_COUNT  # of the scale
SCALE_EXPONENT_OFFSET = 32  # the scale 1 in a name: other scales lie below and above, and none is 0
HASH_MULTIPLIER = 0x9E3779B97F4A7C15
MIX_MULTIPLIER = 0xBF58476D1CE4E5B9


def compute_customer_id(customer: str) -> int:
    """Return the number by which every gateway knows a customer."""
    return int.from_bytes(hashlib.blake2b(customer.encode(), digest_size=4).digest(), "big")


def compute_rendezvous_order(customer: int, first_limiter: int, count: int, limiter_count: int) -> list[int]:
    """Return a customer's set in rendezvous order, the same at every gateway."""
    members = [(first_limiter + k) % limiter_count for k in range(count)]
    return sorted(members, key=lambda member: (customer ^ member * HASH_MULTIPLIER) * MIX_MULTIPLIER % 2**64)


def _compute_window_position(customer: int, now: float) -> float:
    return now / WINDOW_SECONDS + customer % 1000 / 1000.0


def _parse_scale(name: int) -> float:
    return float(2.0 ** ((name >> 56) - SCALE_EXPONENT_OFFSET))


def build_counter_name(customer: int, now: float, rate: float, burst: float) -> int:
    """Return the name in use now for a customer with this quota."""
    exponent = frexp(rate * WINDOW_SECONDS + burst)[1] + SCALE_EXPONENT_OFFSET
    scale = min(2 * SCALE_EXPONENT_OFFSET - 1, max(1, exponent))
    return scale << 56 | customer << 24 | int(_compute_window_position(customer, now)) % 2**24


def encode(name: int, requested: float, charged: float) -> int:
    """Return one amount to add for requested and charged units; `decode` returns how much of them it includes."""
    scale = _parse_scale(name)
    # More steps would be read as a charge: the rest is reported with the next call.
    steps = min(REQUESTED_STEP_COUNT - 1, int(max(0.0, requested) / scale / REQUESTED_STEP_FRACTION))
    charged_steps = round(
        min(CHARGED_STEP_FRACTION * CHARGED_STEP_COUNT, max(-1.0, charged / scale)) / CHARGED_STEP_FRACTION
    )
    return steps + REQUESTED_STEP_COUNT * charged_steps


def decode(name: int, amount: float) -> tuple[float, float]:
    """Return the requested and charged units in such an amount, or in a sum or difference of several."""
    scale = _parse_scale(name)
    charged, requested = divmod(round(amount), REQUESTED_STEP_COUNT)
    return requested * REQUESTED_STEP_FRACTION * scale, charged * CHARGED_STEP_FRACTION * scale


def is_reset(increase: float) -> bool:
    """Return whether a total changed as no amounts can, since requests never fall: the counter lost its totals."""
    too_low = -REQUESTED_STEP_COUNT * CHARGED_STEP_COUNT / 8
    return round(increase) % REQUESTED_STEP_COUNT > REQUESTED_STEP_COUNT // 2 or increase < too_low


def compute_window_age(customer: int, now: float) -> float:
    """Return the seconds since the present window began."""
    return _compute_window_position(customer, now) % 1.0 * WINDOW_SECONDS
