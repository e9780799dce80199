"""Ejections: their keys, their states with the valid transitions, and the form in which members receive them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple

from thymeflow.runtime.transitions import TransitionTable

ZONE = -1  # replaces the backend's number in the key of a zone's ejection; messages contain the same value


class EjectionKey(NamedTuple):
    """The target of an ejection: a backend for a request class ("" for all classes), or a zone."""

    backend: int  # the number of the backend, or ZONE
    name: str  # the name of the request class, or of the zone

    def is_zone(self) -> bool:
        """Return whether the target is a zone."""
        return self.backend == ZONE


class EjectionState(Enum):
    """The state of an ejection; status commands print the values."""

    EJECTED = "condemned"  # All members eject the target; one member at a time may probe it.
    RECOVERING = "returning"  # A probe succeeded: some members send requests again, and more do with each step.
    RECOVERED = "cleared"  # All members send requests again; each forgot its earlier failures when it was admitted.


class EjectionEvent(Enum):
    """An event that changes the state of an ejection."""

    SUCCESS = "success"  # A probe succeeded.
    FAILURE = "failure"  # A probe failed, or a member ejected the target again during the recovery.
    STEP = "step"  # A recovery step is due: more members may send requests.
    DONE = "done"  # The recovery, or the period after it, is complete.


# The next state by state and event; None removes the ejection.
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
    """An ejection as the coordinator sends it to one member; the member applies it until `ends_at`."""

    key: EjectionKey
    number: int  # the number of the ejection; each new ejection has a higher one
    probe_permit: int  # the number of this member's permit for a half-open probe, or 0 if it has none
    is_admitted: bool  # whether this member may send requests to the target again
    is_recovered: bool  # whether the recovery is complete; `is_admitted` is then true as well
    ends_at: float  # seconds on the machine's monotonic clock


@dataclass(slots=True)
class EjectionRecord:
    """The coordinator's record of one ejection; times are in seconds on the machine's monotonic clock."""

    number: int
    ejected_at: float
    state: EjectionState = EjectionState.EJECTED
    reported_by: dict[str, str] = field(default_factory=dict)  # keyed by the members whose reports led to the ejection
    permit: int = 0  # the number of the permit for the next half-open probe, or 0 while there is none
    probing_member: str = ""  # the member that has the permit
    next_step_at: float = -inf  # the time of the next permit or of the next recovery step
    admitted_count: int = 0  # the number of members that may send requests again
    admitted_at: dict[str, float] = field(default_factory=dict)  # time of admission, by admitted member
    permit_holders: dict[int, str] = field(default_factory=dict)  # holders of recent permits, keyed by permit number
    failed_probes: int = 0  # consecutive failed probes
    last_permits: dict[str, int] = field(default_factory=dict)  # number of the last permit, by member
