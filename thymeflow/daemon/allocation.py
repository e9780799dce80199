"""A member's allocation of the fleet limits: granted over its control socket and used by its gateway.

A limiter without a supervisor has no allocation, and uses the even share that the number of limiters gives.
"""

from __future__ import annotations

from thymeflow.core.dispatcher import RequestDispatcher
from thymeflow.handover.control_socket import Message
from thymeflow.leases.holder import Allocation, LeaseHolder, allocation_from_message, message_of
from thymeflow.leases.resources import TOTAL_POINTS, Resource
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind

DEMAND_SMOOTHING_FRACTION = 0.7  # weight of the earlier demand at each report; reports are half a second apart
# Why a grant is not applied; recorded tests compare these texts, which no process is sent.
NOT_ALLOCATED_TEXT = "this process goes by the even share: it was started without a part"
NOT_NEWER_TEXT = "it is not newer than what is held"


class MemberAllocation:
    """The allocation of this process, if it has one."""

    def __init__(self, configured: object) -> None:
        self._holder = None if configured is None else _create_configured_holder(configured)
        self._demand_per_second = 0.0  # smoothed
        self._last_response_count = 0
        self._last_report_at = clock.now()

    def get_fraction(self, resource: str, even_fraction: float) -> float:
        """Return which fraction of the fleet limit of `resource` may be used now, the even one without allocation."""
        if self._holder is None:
            return even_fraction
        return self._holder.usable_amount(Resource(resource), clock.monotonic()) / TOTAL_POINTS

    def build_report(self, dispatcher: RequestDispatcher) -> Message | None:
        """Return the report to the lease issuer, or None if this process has no allocation to use.

        The keys are a format.
        """
        if self._holder is None or self._holder.is_handed_over:
            return None
        self._update_demand(clock.now(), sum(dispatcher.response_counts.values()))
        now = clock.monotonic()
        return {
            **message_of(self._holder.allocation),
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
        """Apply a grant; return why it is not applied, or an empty string."""
        try:
            allocation = allocation_from_message(message)
        except ValueError as error:
            log.emit_rate_limited(LogKind.BUDGETS, f"ignored a grant that cannot be parsed: {error}")
            return str(error)
        if self._holder is None:
            return NOT_ALLOCATED_TEXT
        return "" if self._holder.on_grant(allocation) else NOT_NEWER_TEXT

    def hand_over(self) -> Message | None:
        """Return the allocation for the successor; from now on this process uses none of it."""
        return None if self._holder is None else message_of(self._holder.hand_over())

    def inherit(self, message: object) -> None:
        """Apply the allocation of the predecessor, which no longer uses it."""
        if self._holder is not None and not self.on_grant(message):
            log.emit(LogKind.BUDGETS, "the allocation of the predecessor is in use")

    def on_rolled_back(self, was_used: bool) -> None:
        """Use the allocation again after the successor is gone.

        `was_used`: the successor may have used it, and may be using it still.
        """
        if self._holder is None:
            return
        if was_used:  # nothing is left of it until a grant comes, under a number that the successor does not have
            allocation = self._holder.allocation
            self._holder = LeaseHolder(Allocation(allocation.epoch, allocation.number))
        else:
            self._holder.take_back()


def _create_configured_holder(configured: object) -> LeaseHolder:
    """Return a holder of the configured allocation, or an empty one if that cannot be read."""
    try:
        return LeaseHolder(allocation_from_message(configured))
    except ValueError as error:
        log.emit(LogKind.BUDGETS, f"ignored the allocation in the configuration; none until a grant: {error}")
        return LeaseHolder()
