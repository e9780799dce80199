"""What the lease issuer knows of one holder: its state, the legal transitions and the record of its grants."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf

from thymeflow.leases.resources import Resource


class State(Enum):
    """The state of a holder; the values are printed by status commands."""

    ABSENT = "absent"  # no process is known, and nothing is outstanding
    UNHEARD = "unheard"  # something may be outstanding, and the holder does not report
    ACKNOWLEDGED = "held"  # it reports, and has acknowledged its newest grant
    GRANT_PENDING = "asked"  # it reports, and has not yet acknowledged its newest grant


class Move(Enum):
    """An event in the life cycle of a holder."""

    STARTING = "starting"  # a process is being started under its name
    SPEAKS = "speaks"  # a report arrived
    GRANT = "grant"  # a grant was issued
    ACK = "ack"  # a report acknowledged the newest grant
    UNRESPONSIVE = "unresponsive"  # its connection ended, or no report arrived for a while
    DEATH = "death"  # its process is known to have ended, from the kernel


# A pair that is not in the table is illegal, and raises KeyError.
MOVES: dict[tuple[State, Move], State] = {
    (State.ABSENT, Move.STARTING): State.UNHEARD,
    (State.ABSENT, Move.DEATH): State.ABSENT,
    (State.ABSENT, Move.SPEAKS): State.ACKNOWLEDGED,
    (State.UNHEARD, Move.STARTING): State.UNHEARD,
    (State.UNHEARD, Move.SPEAKS): State.ACKNOWLEDGED,
    (State.UNHEARD, Move.UNRESPONSIVE): State.UNHEARD,
    (State.UNHEARD, Move.DEATH): State.ABSENT,
    (State.ACKNOWLEDGED, Move.SPEAKS): State.ACKNOWLEDGED,
    (State.ACKNOWLEDGED, Move.GRANT): State.GRANT_PENDING,
    (State.ACKNOWLEDGED, Move.ACK): State.ACKNOWLEDGED,
    (State.ACKNOWLEDGED, Move.UNRESPONSIVE): State.UNHEARD,
    (State.ACKNOWLEDGED, Move.DEATH): State.ABSENT,
    (State.GRANT_PENDING, Move.SPEAKS): State.GRANT_PENDING,
    (State.GRANT_PENDING, Move.GRANT): State.GRANT_PENDING,
    (State.GRANT_PENDING, Move.ACK): State.ACKNOWLEDGED,
    (State.GRANT_PENDING, Move.UNRESPONSIVE): State.UNHEARD,
    (State.GRANT_PENDING, Move.DEATH): State.ABSENT,
}


@dataclass(slots=True)
class Row:
    """The record of one holder; times are in s on the machine's monotonic clock."""

    state: State = State.ABSENT
    number: int = 0  # of its newest grant
    base: list[int] = field(default_factory=lambda: [0] * len(Resource))  # points by resource
    lease: list[int] = field(default_factory=lambda: [0] * len(Resource))
    end: float = 0.0  # of its lease
    demand: tuple[float, ...] = (0.0,) * len(Resource)
    told: tuple[int, int] = (-1, -1)  # epoch and number of the allocation that it reported last
    heard: float = -inf  # when its last report arrived
    answered: float = -inf  # when it last acknowledged the newest grant, or began to report

    def is_reporting(self) -> bool:
        """Return whether reports of the holder arrive."""
        return self.state in (State.ACKNOWLEDGED, State.GRANT_PENDING)

    def clear_amounts(self) -> None:
        """Set the amounts to nothing, with no lease."""
        self.base = [0] * len(Resource)
        self.clear_lease()

    def clear_lease(self) -> None:
        """Set the leased amounts to nothing."""
        self.lease = [0] * len(Resource)
        self.end = 0.0
