"""The ledger of the grants of one resource: which amounts are outstanding, and how much is free. No I/O, no clock.

Invariant: at any moment, the sum of the amounts that all holders may have in force never exceeds the total. The issuer
cannot know whether a grant that was sent has arrived, so a grant counts from before it is sent. Where a grant replaces
another, both count: the larger amount is outstanding until the holder acknowledges the new grant, the old grant
expires, or the holder is known to have ended.
"""

from __future__ import annotations

from dataclasses import dataclass

from thymeflow.leases.errors import OverAllocationError


@dataclass(frozen=True, slots=True)
class OutstandingGrant:
    """An amount that was granted to a holder and may be in force."""

    number: int  # the number of the grant
    amount: int  # points
    ends_at: float  # seconds on the machine's monotonic clock; infinity: the grant does not expire


class Ledger:
    """The outstanding grants of one resource; amounts are integers, so that sums are exact."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.grants: dict[str, list[OutstandingGrant]] = {}

    def copy(self) -> Ledger:
        """Return an independent copy of this ledger."""
        copy = Ledger(self.total)
        copy.grants = {holder: list(grants) for holder, grants in self.grants.items()}
        return copy

    def outstanding(self, holder: str, now: float) -> int:
        """Return the largest amount among the holder's grants that have not expired, in points."""
        return max((grant.amount for grant in self.grants.get(holder, ()) if grant.ends_at > now), default=0)

    def free(self, now: float) -> int:
        """Return the points that no holder can have in force."""
        return self.total - sum(self.outstanding(holder, now) for holder in self.grants)

    def newest_amount(self, holder: str) -> int:
        """Return the points of the holder's newest grant, or 0 if it has no grant."""
        grants = self.grants.get(holder)
        return grants[-1].amount if grants else 0

    def grant(self, holder: str, number: int, amount: int, ends_at: float, now: float) -> None:
        """Record a grant; the caller must do so before it sends the grant.

        :raises OverAllocationError: the amount is negative, or exceeds the holder's outstanding amount plus the free
            amount.
        """
        if amount < 0 or amount > self.outstanding(holder, now) + self.free(now):
            text = f"{amount} points cannot be granted to {holder}: only {self.free(now)} of {self.total} are free"
            raise OverAllocationError(text)
        current = [grant for grant in self.grants.get(holder, ()) if grant.ends_at > now]
        # A grant of the same amount that ends no later adds nothing to the outstanding amount, so it is dropped.
        remaining = [grant for grant in current if not (grant.amount == amount and grant.ends_at <= ends_at)]
        self.grants[holder] = [*remaining, OutstandingGrant(number, amount, ends_at)]

    def acknowledge(self, holder: str, number: int) -> None:
        """Drop the holder's grants with lower numbers, because it has acknowledged the grant with this number."""
        grants = self.grants.get(holder, [])
        if any(grant.number >= number for grant in grants):
            self.grants[holder] = [grant for grant in grants if grant.number >= number]

    def release(self, holder: str) -> None:
        """Drop all grants of the holder, because it is known to have ended."""
        self.grants.pop(holder, None)
