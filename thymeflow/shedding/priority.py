"""The order in which requests are shed, the same at all members with the same settings. No I/O, no clock."""

from __future__ import annotations

import hashlib
import struct
from bisect import bisect_left
from math import floor

from thymeflow.decision.settings import GatewaySettings, Plan, RequestClass

ROTATION_SECONDS = 10.0  # after which the order of customers of the same priority weight changes
ROTATION_PHASES = 1000  # customers change their ranks at so many different moments of a rotation
HASH_BYTES = 4
HASH_RANGE = 1 << 8 * HASH_BYTES


class PriorityOrder:
    """Orders requests by the priority weight of the class times the price of the plan, then by customer."""

    def __init__(self, settings: GatewaySettings) -> None:
        weights = {
            request_class.priority_weight * plan.price for request_class in settings.classes for plan in settings.plans
        }
        self._weights = sorted(weights)

    def rank(self, request_class: RequestClass, plan: Plan, customer: int, moment: float) -> float:
        """Return the rank of a request, from 0, shed first, to 1; `moment` is in s on a clock that members share."""
        band_count = max(1, len(self._weights))
        weight_index = bisect_left(self._weights, request_class.priority_weight * plan.price)
        band = min(band_count - 1, weight_index)
        phase = customer % ROTATION_PHASES / float(ROTATION_PHASES)  # not all customers change their ranks at once
        rotation = floor(moment / ROTATION_SECONDS + phase)
        digest = hashlib.blake2b(struct.pack("<QQ", customer, rotation), digest_size=HASH_BYTES).digest()
        rank_in_band = int.from_bytes(digest, "little") / HASH_RANGE
        return (band + rank_in_band) / band_count
