"""A member's allocation of the fleet limits: granted over the member's control socket and used by its gateway.

A limiter without a supervisor has no allocation and uses an even share, the fleet limit divided by the number of
limiters.
"""

from __future__ import annotations

from thymeflow.core.dispatcher import RequestDispatcher
from thymeflow.handover.control_socket import Message
from thymeflow.leases.holder import Allocation, LeaseHolder, allocation_from_message, allocation_to_message
from thymeflow.leases.resources import TOTAL_POINTS, Resource
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind

DEMAND_SMOOTHING_FRACTION = 0.7  # The weight of the earlier demand at each report; reports are 0.5 s apart.
# The causes for which a grant is not applied. Recorded tests compare these texts; no other process gets them.
NOT_ALLOCATED_TEXT = "this process goes by the even share: it was started without a part"
NOT_NEWER_TEXT = "it is not newer than what is held"


class MemberAllocation:
    """The allocation of this process, if it has one."""

    def __init__(self, configured: object) -> None:
        self._holder = None if configured is None else _create_configured_holder(configured)
        self._demand_per_second = 0.0  # Exponentially smoothed.
        self._last_response_count = 0
        self._last_report_at = clock.now()

    def get_fraction(self, resource: str, even_fraction: float) -> float:
        """Return the usable fraction of the fleet limit of `resource`; `even_fraction` if there is no allocation."""
        if self._holder is None:
            return even_fraction
        return self._holder.usable_amount(Resource(resource), clock.monotonic()) / TOTAL_POINTS

    def build_report(self, dispatcher: RequestDispatcher) -> Message | None:
        """Return the report to the lease issuer, or None if this process has no allocation or has handed it over.

        The keys are a format that the supervisor parses.
        """
        if self._holder is None or self._holder.is_handed_over:
            return None
        self._update_demand(clock.now(), sum(dispatcher.response_counts.values()))
        now = clock.monotonic()
        return {
            **allocation_to_message(self._holder.allocation),
            "demand": [round(self._demand_per_second, 3)] * len(Resource),
            "in_force": {resource.value: self._holder.usable_amount(resource, now) for resource in Resource},
        }

    def _update_demand(self, now: float, response_count: int) -> None:
        if now <= self._last_report_at:
            return
        rate = max(0, response_count - self._last_response_count) / (now - self._last_report_at)
        self._demand_per_second += (1.0 - DEMAND_SMOOTHING_FRACTION) * (rate - self._demand_per_second)
        self._last_response_count = response_count
        self._last_report_at = now

    def on_grant(self, message: object) -> str:
        """Apply a grant; return the cause for which it is not applied, or an empty string."""
        try:
            allocation = allocation_from_message(message)
        except ValueError as error:
            log.emit_rate_limited(LogKind.BUDGETS, f"ignored a grant that cannot be parsed: {error}")
            return str(error)
        if self._holder is None:
            return NOT_ALLOCATED_TEXT
        return "" if self._holder.on_grant(allocation) else NOT_NEWER_TEXT

    def hand_over(self) -> Message | None:
        """Return the allocation for the successor and stop using it; None if there is none."""
        return None if self._holder is None else allocation_to_message(self._holder.hand_over())

    def inherit(self, message: object) -> None:
        """Apply the allocation in a message of the predecessor, which no longer uses it."""
        if self._holder is not None and not self.on_grant(message):
            log.emit(LogKind.BUDGETS, "this incarnation uses the allocation of the predecessor from now on")

    def on_rolled_back(self, was_used: bool) -> None:
        """Use the allocation again after the successor has failed.

        `was_used`: the successor may have used the allocation, and may still be using it.
        """
        if self._holder is None:
            return
        if was_used:
            # The successor may still use the allocation, so this process uses none until a newer grant arrives.
            allocation = self._holder.allocation
            self._holder = LeaseHolder(Allocation(allocation.epoch, allocation.number))
        else:
            self._holder.take_back()


def _create_configured_holder(configured: object) -> LeaseHolder:
    """Return a holder of the configured allocation, or an empty holder if the configured value is invalid."""
    try:
        return LeaseHolder(allocation_from_message(configured))
    except ValueError as error:
        log.emit(
            LogKind.BUDGETS,
            f"ignored the allocation in the configuration, so none is used until a grant arrives: {error}",
        )
        return LeaseHolder()
