"""Who holds a part of the whole: what it may use now. No I/O; every question brings the moment with it.

A part is a base, which holds until a newer grant says otherwise, and a lease with an end. The holder stops using the
lease a margin before that end, and looks at each use: a process that was stopped and goes on finds its lease over
before it can send anything under it.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import Any

from thymeflow.leases.resources import WHOLE, Resource

AT = {kind: place for place, kind in enumerate(Resource)}  # of a kind's amount in a part; asked at each request
FEWEST = 2  # kinds that a program of before divided, the first ones
MARGIN = 0.25  # s: the lease is not used in its last moments, for the way from the decision to the kernel


@dataclass(frozen=True, slots=True)
class Allocation:
    """What was granted, under a number that only grows within an era, as eras do."""

    epoch: int = 0
    number: int = 0
    base: tuple[int, ...] = (0,) * len(Resource)
    lease: tuple[int, ...] = (0,) * len(Resource)
    ends_at: float = 0.0  # s on the machine's monotonic clock


EMPTY_ALLOCATION = Allocation()


def allocation_from_message(message: Any) -> Allocation:
    """A part as it is written; ValueError says what is wrong with it."""
    if not isinstance(message, dict):
        raise ValueError("a part is a table")
    era, number, end = message.get("era"), message.get("number"), message.get("end")
    if type(era) is not int or type(number) is not int or era < 0 or number < 0:
        raise ValueError(f"era {era!r} and number {number!r} are no whole numbers from 0 on")
    if isinstance(end, bool) or not isinstance(end, (int, float)) or not isfinite(end):
        raise ValueError(f"end is {end!r}, no time")
    found = []
    for name in ("base", "lease"):
        amounts = message.get(name)
        if (
            not isinstance(amounts, list)
            or not FEWEST <= len(amounts) <= len(Resource)
            or not all(type(a) is int and 0 <= a <= WHOLE for a in amounts)
        ):
            raise ValueError(f"{name} is {amounts!r}, not {len(Resource)} whole numbers from 0 to {WHOLE}")
        found.append((*amounts, *[0] * (len(Resource) - len(amounts))))  # a program of before knows of fewer kinds
    return Allocation(era, number, found[0], found[1], float(end))


def message_of(part: Allocation) -> dict[str, Any]:
    """The part as `part_from` reads it."""
    return {
        "era": part.epoch,
        "number": part.number,
        "base": list(part.base),
        "lease": list(part.lease),
        "end": part.ends_at,
    }


class LeaseHolder:
    """One limiter's part."""

    def __init__(self, part: Allocation = EMPTY_ALLOCATION) -> None:
        self.allocation = part
        self.handed_over = False  # handed on: another process uses it

    def on_grant(self, part: Allocation) -> bool:
        """A grant has come; whether it is newer than what we have. What is old, or comes twice, changes nothing."""
        if (part.epoch, part.number) <= (self.allocation.epoch, self.allocation.number):
            return False
        self.allocation = part
        return True

    def amount(self, kind: Resource, now: float) -> int:
        """Points that may be used now."""
        if self.handed_over:
            return 0
        place = AT[kind]
        lease = self.allocation.lease[place] if now < self.allocation.ends_at - MARGIN else 0
        return self.allocation.base[place] + lease

    def hand_over(self) -> Allocation:
        """Give the part to the next life of this limiter: from now on it is not ours to use."""
        self.handed_over = True
        return self.allocation

    def take_back(self) -> None:
        """That life never was: use it again."""
        self.handed_over = False
