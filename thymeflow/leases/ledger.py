"""A ledger of grants of one resource: how much is outstanding, and how much is free. No I/O, no clock.

Invariant: the sum of what may be in force at any moment, at any holder, never exceeds the total. A grant that was sent
may have arrived or not, so it counts from before it is sent. Where it replaces another, both count, and the larger of
the two is outstanding until the holder acknowledges the new one, the old one expires, or the holder is known dead.
"""

from __future__ import annotations

from dataclasses import dataclass

from thymeflow.leases.errors import OverAllocationError


@dataclass(frozen=True, slots=True)
class OutstandingGrant:
    """An amount granted under a number until `end`, in s on the machine's monotonic clock; inf does not expire."""

    number: int
    amount: int
    ends_at: float


class Ledger:
    """Outstanding grants of one resource; amounts are integers, so that sums are exact."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.grants: dict[str, list[OutstandingGrant]] = {}

    def copy(self) -> Ledger:
        """Return an independent copy."""
        copy = Ledger(self.total)
        copy.grants = {holder: list(grants) for holder, grants in self.grants.items()}
        return copy

    def outstanding(self, holder: str, now: float) -> int:
        """Return the largest amount that the holder may have in force now or later under its grants."""
        return max((grant.amount for grant in self.grants.get(holder, ()) if grant.ends_at > now), default=0)

    def free(self, now: float) -> int:
        """Return the amount that no holder can have in force."""
        return self.total - sum(self.outstanding(holder, now) for holder in self.grants)

    def newest_amount(self, holder: str) -> int:
        """Return the amount of the holder's newest grant, 0 without one."""
        grants = self.grants.get(holder)
        return grants[-1].amount if grants else 0

    def grant(self, holder: str, number: int, amount: int, end: float, now: float) -> None:
        """Record a grant; to be called before the grant is sent.

        :raises OverAllocationError: where the amount is negative, or more than the holder has and what is free.
        """
        if amount < 0 or amount > self.outstanding(holder, now) + self.free(now):
            text = f"{amount} for {holder}, with {self.free(now)} of {self.total} free"
            raise OverAllocationError(text)
        current = [grant for grant in self.grants.get(holder, ()) if grant.ends_at > now]
        # A renewal of the same amount replaces those that it outlasts: no knowledge is lost by it.
        remaining = [grant for grant in current if not (grant.amount == amount and grant.ends_at <= end)]
        self.grants[holder] = [*remaining, OutstandingGrant(number, amount, end)]

    def acknowledge(self, holder: str, number: int) -> None:
        """Drop the holder's grants before this number, as it has acknowledged that one."""
        grants = self.grants.get(holder, [])
        if any(grant.number >= number for grant in grants):
            self.grants[holder] = [grant for grant in grants if grant.number >= number]

    def release(self, holder: str) -> None:
        """Free all that the holder had, as it is known to have ended."""
        self.grants.pop(holder, None)
