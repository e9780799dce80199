"""Ejections: what they concern, their states with the legal transitions, and what members receive of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple

from thymeflow.runtime.transitions import TransitionTable

ZONE = -1  # in place of a backend's number in a key: the ejection is of a zone; also in messages


class EjectionKey(NamedTuple):
    """What an ejection concerns: a backend for a request class ("" for all classes), or a zone."""

    backend: int  # or ZONE
    name: str  # of the request class, or of the zone

    def is_zone(self) -> bool:
        """Return whether a zone is concerned."""
        return self.backend == ZONE


class EjectionState(Enum):
    """The state of an ejection; the values are printed by status commands."""

    EJECTED = "condemned"  # ejected everywhere; one member probes for all
    RECOVERING = "returning"  # a probe succeeded: some members send requests again, more with each step
    RECOVERED = "cleared"  # all members send requests again, and forget failures of before


class EjectionEvent(Enum):
    """What may happen to an ejection."""

    SUCCESS = "success"  # a probe succeeded
    FAILURE = "failure"  # a probe failed, or a member ejected it again while it recovers
    STEP = "step"  # the time for more members to send requests again
    DONE = "done"  # the recovery, or the time after it, is complete


# None: the ejection is removed.
TRANSITIONS: TransitionTable[EjectionState, EjectionEvent, EjectionState | None] = TransitionTable(
    {
        (EjectionState.EJECTED, EjectionEvent.SUCCESS): EjectionState.RECOVERING,
        (EjectionState.EJECTED, EjectionEvent.FAILURE): EjectionState.EJECTED,
        (EjectionState.RECOVERING, EjectionEvent.SUCCESS): EjectionState.RECOVERING,
        (EjectionState.RECOVERING, EjectionEvent.FAILURE): EjectionState.EJECTED,
        (EjectionState.RECOVERING, EjectionEvent.STEP): EjectionState.RECOVERING,
        (EjectionState.RECOVERING, EjectionEvent.DONE): EjectionState.RECOVERED,
        (EjectionState.RECOVERED, EjectionEvent.DONE): None,
    }
)


@dataclass(frozen=True, slots=True)
class Ejection:
    """What one member is to do about an ejected backend, class or zone until `ends_at`."""

    key: EjectionKey
    number: int  # of the ejection; grows
    probe_permit: int  # the number of this member's permit for a half-open probe, 0 without one
    is_admitted: bool  # the key recovers, and this member may send requests again
    is_recovered: bool  # the key has recovered: forget its failures
    ends_at: float  # s on the machine's monotonic clock


@dataclass(slots=True)
class EjectionRecord:
    """What the coordinator knows of one ejection; times are in s on the machine's monotonic clock."""

    number: int
    ejected_at: float
    state: EjectionState = EjectionState.EJECTED
    reported_by: dict[str, str] = field(default_factory=dict)  # the members whose reports led to it
    permit: int = 0  # the number of the permit for the next half-open probe, 0 while there is none
    probing_member: str = ""  # the member that has the permit
    next_step_at: float = -inf  # when the next permit is issued or the next recovery step taken
    admitted_count: int = 0  # how many members may send requests again
    admitted_at: dict[str, float] = field(default_factory=dict)  # by member that may send requests again
    permit_holders: dict[int, str] = field(default_factory=dict)  # members by number of the latest permits
    failed_probes: int = 0  # in a row
    last_permits: dict[str, int] = field(default_factory=dict)  # number of the last permit by member
