"""A lease holder: one limiter's allocation, and how much of it may be used at a time. No I/O, no clock.

A base amount is valid until a newer grant replaces it; a leased amount has an end. The holder stops using a lease a
margin before its end and checks the time at each use, so that a process that was stopped and continues finds its lease
expired before it can send anything under it.
"""

from __future__ import annotations

from thymeflow.leases.allocation import EMPTY_ALLOCATION
from thymeflow.leases.allocation import Allocation as Allocation
from thymeflow.leases.allocation import allocation_from_message as allocation_from_message
from thymeflow.leases.allocation import allocation_to_message as allocation_to_message
from thymeflow.leases.resources import RESOURCE_INDEXES, Resource

LEASE_MARGIN_SECONDS = 0.25  # a lease is not used in its last moments: time from the decision to the kernel


class LeaseHolder:
    """The allocation of one limiter process."""

    def __init__(self, allocation: Allocation = EMPTY_ALLOCATION) -> None:
        self.allocation = allocation
        self.is_handed_over = False  # another process uses the allocation

    def on_grant(self, allocation: Allocation) -> bool:
        """Use an allocation if it is newer; return whether it was. Old and repeated ones change nothing."""
        current = self.allocation
        if (allocation.epoch, allocation.number) <= (current.epoch, current.number):
            return False
        self.allocation = allocation
        return True

    def usable_amount(self, resource: Resource, now: float) -> int:
        """Return the points of a resource that may be used now; `now` is on the machine's monotonic clock."""
        if self.is_handed_over:
            return 0
        index = RESOURCE_INDEXES[resource]
        is_lease_valid = now < self.allocation.ends_at - LEASE_MARGIN_SECONDS
        leased = self.allocation.lease[index] if is_lease_valid else 0
        return self.allocation.base[index] + leased

    def hand_over(self) -> Allocation:
        """Return the allocation for the next process of this limiter, and stop using it here."""
        self.is_handed_over = True
        return self.allocation

    def take_back(self) -> None:
        """Use the allocation again, as the next process did not come up."""
        self.is_handed_over = False
