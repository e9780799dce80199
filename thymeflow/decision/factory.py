"""Creates the gateway for a set of limiters, with the strategy of quota admission that suits it."""

from __future__ import annotations

from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import GatewaySettings
from thymeflow.quota.buckets import INITIAL_FILL_FRACTION
from thymeflow.quota.token_bucket import SMALL_SET_SIZE


def create_gateway(
    settings: GatewaySettings, seed: int, initial_fill: float = INITIAL_FILL_FRACTION
) -> Gateway:
    """Create the gateway for a set of this size; `initial_fill` is the fraction of the burst in new buckets."""
    if settings.limiter_count > SMALL_SET_SIZE and settings.information.counter:
        # Loaded only where it is used: small sets use their slices.
        from thymeflow.decision.counter_first_admission import CounterFirstAdmission

        return Gateway(settings, seed, initial_fill, CounterFirstAdmission)
    return Gateway(settings, seed, initial_fill)
