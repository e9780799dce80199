"""The ranking by which requests are shed; members with the same settings rank in the same way. No I/O, no clock."""

from __future__ import annotations

import hashlib
import struct
from bisect import bisect_left
from math import floor

from thymeflow.decision.settings import GatewaySettings, Plan, RequestClass

ROTATION_SECONDS = 10.0  # a customer's rank among customers of equal priority weight changes once in this time
ROTATION_PHASES = 1000  # the rank changes of all customers are spread over this many moments of a rotation
HASH_BYTES = 4
HASH_RANGE = 1 << 8 * HASH_BYTES


class PriorityOrder:
    """Ranks requests by the priority weight of the class times the price of the plan, then by customer.

    Each distinct product of weight and price has a band of ranks; customers are ranked within the band.
    """

    def __init__(self, settings: GatewaySettings) -> None:
        weights = {
            request_class.priority_weight * plan.price for request_class in settings.classes for plan in settings.plans
        }
        self._weights = sorted(weights)

    def compute_rank(self, request_class: RequestClass, plan: Plan, customer_id: int, now: float) -> float:
        """Return the rank of a request, from 0 to 1; a request with a lower rank is shed earlier.

        `now` is in seconds on a clock that all members share.
        """
        band_count = max(1, len(self._weights))
        weight_index = bisect_left(self._weights, request_class.priority_weight * plan.price)
        band = min(band_count - 1, weight_index)
        # The phase spreads the rank changes of customers over the rotation.
        phase = customer_id % ROTATION_PHASES / float(ROTATION_PHASES)
        rotation = floor(now / ROTATION_SECONDS + phase)
        digest = hashlib.blake2b(struct.pack("<QQ", customer_id, rotation), digest_size=HASH_BYTES).digest()
        rank_in_band = int.from_bytes(digest, "little") / HASH_RANGE
        return (band + rank_in_band) / band_count
