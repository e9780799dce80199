"""A member's side of load shedding: by the fleet's threshold while that is valid, else by the member's own pressure."""

from __future__ import annotations

from math import inf

from thymeflow.decision.gateway import Gateway
from thymeflow.decision.retries import MAX_FLEET_RETRY_BUDGET
from thymeflow.decision.settings import Plan, RequestClass
from thymeflow.runtime.value_checks import is_fraction
from thymeflow.shedding.errors import InvalidFractionError
from thymeflow.shedding.priority import PriorityOrder

THRESHOLD_LEASE_SECONDS = 3.0  # how long a threshold is valid; then each member sheds by its own pressure
RETRY_RESOURCE = "attempts"  # the name of retries in `FleetBounds.get_resource_fraction`
SHARED_RETRY_BUDGET = MAX_FLEET_RETRY_BUDGET  # retries that all gateways together may save up


class LoadShedder:
    """Decides for one gateway which requests are shed."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._settings = gateway.settings
        self._order = PriorityOrder(gateway.settings)
        self._threshold = 0.0
        self._expires_at = -inf  # s on the gateway's clock
        self._clock_offset = 0.0  # s: from the gateway's clock to the one that all members share

    def on_threshold(self, level: object, now: float, monotonic_now: float) -> None:
        """Use the fleet's threshold for the length of a lease.

        `now` is the time on the gateway's clock, `monotonic_now` the same moment on the clock that all members share.

        :raises InvalidFractionError: a ValueError, where the threshold is no number from 0 to 1.
        """
        if not is_fraction(level):
            raise InvalidFractionError(name="level", value=level)
        self._threshold = float(level)
        self._expires_at = now + THRESHOLD_LEASE_SECONDS
        self._clock_offset = monotonic_now - now

    def limited_fraction(self, resource: str, fraction: float) -> float:
        """Return the fraction of a resource to use; of retries less, the more is shed, as retries add to the load.

        The one retry that every gateway may save up counts towards its fraction, or the sum would grow with the fleet.
        """
        if resource != RETRY_RESOURCE:
            return fraction
        threshold = self._threshold if self._gateway.context.now < self._expires_at else 0.0
        return max(0.0, fraction * (1.0 - threshold) - 1.0 / SHARED_RETRY_BUDGET)

    def rejected_fraction(
        self, request_class: RequestClass, plan: Plan, customer_id: int, local_fraction: float
    ) -> float:
        """Return the fraction of such requests to reject; `local_fraction`: by the gateway's own pressure."""
        now = self._gateway.context.now
        if now >= self._expires_at:
            return local_fraction
        if self._settings is not self._gateway.settings:  # the priority weights may have changed
            self._settings = self._gateway.settings
            self._order = PriorityOrder(self._gateway.settings)
        rank = self._order.rank(request_class, plan, customer_id, now + self._clock_offset)
        return float(rank < self._threshold)
