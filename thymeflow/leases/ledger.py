"""Claims on one whole that several may hold for a time: what is out, and what is free. No I/O, no clock.

The one rule: what may be in force at any moment, at whoever holds it, never comes to more than the whole. A grant that
was sent may have arrived or not, so it counts from before it is sent; one that replaces it counts beside it, and the
larger of the two is out, until the holder has said that it has the new one, the old one has ended, or the holder is
known dead.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Claim:
    """So much, under a grant of that number, until then (s on the machine's monotonic clock; inf: until given back)."""

    number: int
    amount: int
    end: float


class OverAllocationError(Exception):
    """A grant that would have broken the rule; a fault of ours."""


class Ledger:
    """Whole amounts, so that sums are exact."""

    def __init__(self, whole: int) -> None:
        self.whole = whole
        self.rows: dict[str, list[Claim]] = {}

    def copied(self) -> Ledger:
        """Another one, as this one is."""
        made = Ledger(self.whole)
        made.rows = {holder: list(claims) for holder, claims in self.rows.items()}
        return made

    def out(self, holder: str, now: float) -> int:
        """The most that the holder may have in force now or later under what was granted."""
        return max((c.amount for c in self.rows.get(holder, ()) if c.end > now), default=0)

    def free(self, now: float) -> int:
        """What nobody can have in force."""
        return self.whole - sum(self.out(holder, now) for holder in self.rows)

    def last(self, holder: str) -> int:
        """The amount of the newest grant."""
        claims = self.rows.get(holder)
        return claims[-1].amount if claims else 0

    def grant(self, holder: str, number: int, amount: int, end: float, now: float) -> None:
        """Note a grant, before it is sent; OverWhole where it is more than is free."""
        if amount < 0 or amount > self.out(holder, now) + self.free(now):
            raise OverAllocationError(f"{amount} for {holder}, with {self.free(now)} of {self.whole} free")
        claims = [c for c in self.rows.get(holder, ()) if c.end > now]
        # A renewal of the same amount swallows what it outlasts: nothing is known less by it.
        claims = [c for c in claims if not (c.amount == amount and c.end <= end)]
        self.rows[holder] = [*claims, Claim(number, amount, end)]

    def acked(self, holder: str, number: int) -> None:
        """The holder has the grant of that number, and so none before it."""
        claims = self.rows.get(holder, [])
        if any(c.number >= number for c in claims):
            self.rows[holder] = [c for c in claims if c.number >= number]

    def dead(self, holder: str) -> None:
        """The holder is known to have ended: all of its claims are free."""
        self.rows.pop(holder, None)
