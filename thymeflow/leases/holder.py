"""A lease holder: one limiter's allocation, and the amounts of it that may be used now. No I/O, no clock.

A base amount is valid until a newer grant replaces it; a leased amount is valid until the lease ends. The holder stops
using a lease a margin before its end and checks the time at each use. A process that was stopped and continues
therefore finds its lease expired before it can send a request under it.
"""

from __future__ import annotations

from thymeflow.leases.allocation import EMPTY_ALLOCATION
from thymeflow.leases.allocation import Allocation as Allocation
from thymeflow.leases.allocation import allocation_from_message as allocation_from_message
from thymeflow.leases.allocation import allocation_to_message as allocation_to_message
from thymeflow.leases.resources import RESOURCE_INDEXES, Resource

LEASE_MARGIN_SECONDS = 0.25  # use of a lease stops this long before its end: a decision takes time to reach the kernel


class LeaseHolder:
    """The allocation of one limiter process."""

    def __init__(self, allocation: Allocation = EMPTY_ALLOCATION) -> None:
        self.allocation = allocation
        self.is_handed_over = False  # true while another process uses the allocation

    def on_grant(self, allocation: Allocation) -> bool:
        """Replace the allocation by this one if it is newer; return whether it was newer."""
        current = self.allocation
        if (allocation.epoch, allocation.number) <= (current.epoch, current.number):
            return False
        self.allocation = allocation
        return True

    def usable_amount(self, resource: Resource, now: float) -> int:
        """Return the points of a resource that may be used; `now` is in seconds on the machine's monotonic clock."""
        if self.is_handed_over:
            return 0
        index = RESOURCE_INDEXES[resource]
        is_lease_valid = now < self.allocation.ends_at - LEASE_MARGIN_SECONDS
        leased = self.allocation.lease[index] if is_lease_valid else 0
        return self.allocation.base[index] + leased

    def hand_over(self) -> Allocation:
        """Stop using the allocation and return it for the next process of this limiter."""
        self.is_handed_over = True
        return self.allocation

    def take_back(self) -> None:
        """Use the allocation again, because the next process has failed to start."""
        self.is_handed_over = False
