"""Creates a gateway with the quota admission strategy for the size of its set."""

from __future__ import annotations

from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import GatewaySettings
from thymeflow.quota.buckets import INITIAL_FILL_FRACTION
from thymeflow.quota.token_bucket import MAX_SMALL_SET_SIZE


def create_gateway(
    settings: GatewaySettings, seed: int, initial_fill: float = INITIAL_FILL_FRACTION
) -> Gateway:
    """Create a gateway; `initial_fill` is the level assumed for new buckets, as a fraction of the burst."""
    if settings.limiter_count > MAX_SMALL_SET_SIZE and settings.information.counter:
        # Only large sets with a counter need this import; in small sets, each limiter decides by its slice.
        from thymeflow.decision.counter_first_admission import CounterFirstAdmission

        return Gateway(settings, seed, initial_fill, CounterFirstAdmission)
    return Gateway(settings, seed, initial_fill)
