"""A member's load shedding: by the fleet's threshold while it is valid, otherwise by the member's own pressure."""

from __future__ import annotations

from math import inf

from thymeflow.decision.gateway import Gateway
from thymeflow.decision.retries import MAX_FLEET_RETRY_BUDGET
from thymeflow.decision.settings import Plan, RequestClass
from thymeflow.runtime.value_checks import is_fraction
from thymeflow.shedding.errors import InvalidFractionError
from thymeflow.shedding.priority import PriorityOrder

THRESHOLD_LEASE_SECONDS = 3.0  # a threshold expires after this time; the member then sheds by its own pressure
RETRY_RESOURCE = "attempts"  # the name of the retry budget in `FleetBounds.get_resource_fraction`
SHARED_RETRY_BUDGET = MAX_FLEET_RETRY_BUDGET  # retries that all gateways together may save up


class LoadShedder:
    """Decides which requests one gateway sheds."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._settings = gateway.settings
        self._priority_order = PriorityOrder(gateway.settings)
        self._threshold = 0.0
        self._expires_at = -inf  # seconds on the gateway's clock
        self._clock_offset = 0.0  # seconds from the gateway's clock to the monotonic clock that all members share

    def on_threshold(self, threshold: object, now: float, monotonic_now: float) -> None:
        """Use a new fleet threshold for `THRESHOLD_LEASE_SECONDS`.

        `now` is the time on the gateway's clock; `monotonic_now` is the same moment on the monotonic clock that all
        members share.

        :raises InvalidFractionError: a ValueError; the threshold is not a number from 0 to 1.
        """
        if not is_fraction(threshold):
            raise InvalidFractionError(name="level", value=threshold)
        self._threshold = float(threshold)
        self._expires_at = now + THRESHOLD_LEASE_SECONDS
        self._clock_offset = monotonic_now - now

    def compute_usable_fraction(self, resource: str, fraction: float) -> float:
        """Return the fraction of a resource that the gateway may use.

        For retries, the fraction is reduced in proportion to the threshold, because retries add to the load. Every
        gateway may save up one retry in any case. That retry is subtracted here, because the retries of all gateways
        together would otherwise grow with the number of gateways.
        """
        if resource != RETRY_RESOURCE:
            return fraction
        threshold = self._threshold if self._gateway.context.now < self._expires_at else 0.0
        return max(0.0, fraction * (1.0 - threshold) - 1.0 / SHARED_RETRY_BUDGET)

    def compute_rejected_fraction(
        self, request_class: RequestClass, plan: Plan, customer_id: int, local_fraction: float
    ) -> float:
        """Return the fraction of these requests to reject.

        While the fleet's threshold is valid, the result is 0 or 1; otherwise it is `local_fraction`, which follows from
        the gateway's own pressure.
        """
        now = self._gateway.context.now
        if now >= self._expires_at:
            return local_fraction
        if self._settings is not self._gateway.settings:  # the priority weights may have changed
            self._settings = self._gateway.settings
            self._priority_order = PriorityOrder(self._gateway.settings)
        rank = self._priority_order.compute_rank(request_class, plan, customer_id, now + self._clock_offset)
        return float(rank < self._threshold)
