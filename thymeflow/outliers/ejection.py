"""Ejections: what they concern, their states with the legal transitions, and what members receive of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple

ZONE = -1  # in place of a backend's number in a key: the ejection is of a zone; also in messages


class EjectionKey(NamedTuple):
    """What an ejection concerns: a backend for a request class ("" for all classes), or a zone."""

    backend: int  # or ZONE
    name: str  # of the request class, or of the zone

    def is_zone(self) -> bool:
        """Return whether a zone is concerned."""
        return self.backend == ZONE


class State(Enum):
    """The state of an ejection; the values are printed by status commands."""

    CONDEMNED = "condemned"  # ejected everywhere; one member probes for all
    RECOVERING = "returning"  # a probe succeeded: some members send requests again, more with each step
    RECOVERED = "cleared"  # all members send requests again, and forget failures of before


class EjectionEvent(Enum):
    """An event in the life cycle of an ejection."""

    SUCCESS = "success"  # a probe succeeded
    FAILURE = "failure"  # a probe failed, or a member ejected it again while it recovers
    STEP = "step"  # the time for more members to send requests again
    DONE = "done"  # the recovery, or the time after it, is complete


# None: the ejection is removed. A pair that is not in the table is illegal, and raises KeyError.
TRANSITIONS: dict[tuple[State, EjectionEvent], State | None] = {
    (State.CONDEMNED, EjectionEvent.SUCCESS): State.RECOVERING,
    (State.CONDEMNED, EjectionEvent.FAILURE): State.CONDEMNED,
    (State.RECOVERING, EjectionEvent.SUCCESS): State.RECOVERING,
    (State.RECOVERING, EjectionEvent.FAILURE): State.CONDEMNED,
    (State.RECOVERING, EjectionEvent.STEP): State.RECOVERING,
    (State.RECOVERING, EjectionEvent.DONE): State.RECOVERED,
    (State.RECOVERED, EjectionEvent.DONE): None,
}


@dataclass(frozen=True, slots=True)
class Ejection:
    """What one member is to do about an ejected backend, class or zone until `end`."""

    key: EjectionKey
    number: int  # of the ejection; grows
    claim: int  # the number of this member's permit for a half-open probe, 0 without one
    allowed: bool  # the key recovers, and this member may send requests again
    cleared: bool  # the key has recovered: forget its failures
    end: float  # s on the machine's monotonic clock


@dataclass(slots=True)
class EjectionRecord:
    """What the coordinator knows of one ejection; times are in s on the machine's monotonic clock."""

    number: int
    since: float
    state: State = State.CONDEMNED
    words: dict[str, str] = field(default_factory=dict)  # the members whose reports led to it
    permit: int = 0  # the number of the permit for the next half-open probe, 0 while there is none
    holder: str = ""  # the member that has the permit
    next_step_at: float = -inf  # when the next permit is issued or the next recovery step taken
    let_in: int = 0  # how many members may send requests again
    admitted_at: dict[str, float] = field(default_factory=dict)  # by member that may send requests again
    permit_holders: dict[int, str] = field(default_factory=dict)  # members by number of the latest permits
    failed_probes: int = 0  # in a row
    last_permits: dict[str, int] = field(default_factory=dict)  # number of the last permit by member
