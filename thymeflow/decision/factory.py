"""Creates a gateway with the quota admission strategy for the size of its set."""

from __future__ import annotations

from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import GatewaySettings
from thymeflow.quota.buckets import INITIAL_FILL_FRACTION
from thymeflow.quota.token_bucket import MAX_SMALL_SET_SIZE


def create_gateway(
    settings: GatewaySettings, seed: int, initial_fill: float = INITIAL_FILL_FRACTION
) -> Gateway:
    """Create a gateway; `initial_fill` is the fraction of the burst that new buckets contain."""
    if settings.limiter_count > MAX_SMALL_SET_SIZE and settings.information.counter:
        # This module is imported only for large sets with a counter; small sets decide by their slices.
        from thymeflow.decision.counter_first_admission import CounterFirstAdmission

        return Gateway(settings, seed, initial_fill, CounterFirstAdmission)
    return Gateway(settings, seed, initial_fill)
