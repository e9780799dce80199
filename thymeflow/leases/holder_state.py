"""What the lease issuer knows of one holder: its state, the legal transitions and the record of its grants."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf

from thymeflow.leases.resources import Resource
from thymeflow.runtime.transitions import TransitionTable


class HolderState(Enum):
    """The state of a holder; the values are printed by status commands."""

    ABSENT = "absent"  # no process is known, and nothing is outstanding
    NOT_REPORTING = "unheard"  # something may be outstanding, and the holder does not report
    ACKNOWLEDGED = "held"  # it reports, and has acknowledged its newest grant
    GRANT_PENDING = "asked"  # it reports, and has not yet acknowledged its newest grant


class HolderEvent(Enum):
    """What may happen to a holder."""

    STARTING = "starting"  # a process is being started under its name
    REPORT = "speaks"  # a report arrived
    GRANT = "grant"  # a grant was issued
    ACK = "ack"  # a report acknowledged the newest grant
    UNRESPONSIVE = "unresponsive"  # its connection ended, or no report arrived for a while
    DEATH = "death"  # its process is known to have ended, from the kernel


HOLDER_TRANSITIONS: TransitionTable[HolderState, HolderEvent, HolderState] = TransitionTable(
    {
        (HolderState.ABSENT, HolderEvent.STARTING): HolderState.NOT_REPORTING,
        (HolderState.ABSENT, HolderEvent.DEATH): HolderState.ABSENT,
        (HolderState.ABSENT, HolderEvent.REPORT): HolderState.ACKNOWLEDGED,
        (HolderState.NOT_REPORTING, HolderEvent.STARTING): HolderState.NOT_REPORTING,
        (HolderState.NOT_REPORTING, HolderEvent.REPORT): HolderState.ACKNOWLEDGED,
        (HolderState.NOT_REPORTING, HolderEvent.UNRESPONSIVE): HolderState.NOT_REPORTING,
        (HolderState.NOT_REPORTING, HolderEvent.DEATH): HolderState.ABSENT,
        (HolderState.ACKNOWLEDGED, HolderEvent.REPORT): HolderState.ACKNOWLEDGED,
        (HolderState.ACKNOWLEDGED, HolderEvent.GRANT): HolderState.GRANT_PENDING,
        (HolderState.ACKNOWLEDGED, HolderEvent.ACK): HolderState.ACKNOWLEDGED,
        (HolderState.ACKNOWLEDGED, HolderEvent.UNRESPONSIVE): HolderState.NOT_REPORTING,
        (HolderState.ACKNOWLEDGED, HolderEvent.DEATH): HolderState.ABSENT,
        (HolderState.GRANT_PENDING, HolderEvent.REPORT): HolderState.GRANT_PENDING,
        (HolderState.GRANT_PENDING, HolderEvent.GRANT): HolderState.GRANT_PENDING,
        (HolderState.GRANT_PENDING, HolderEvent.ACK): HolderState.ACKNOWLEDGED,
        (HolderState.GRANT_PENDING, HolderEvent.UNRESPONSIVE): HolderState.NOT_REPORTING,
        (HolderState.GRANT_PENDING, HolderEvent.DEATH): HolderState.ABSENT,
    }
)


@dataclass(slots=True)
class HolderRecord:
    """The record of one holder; times are in s on the machine's monotonic clock."""

    state: HolderState = HolderState.ABSENT
    number: int = 0  # of its newest grant
    base: list[int] = field(default_factory=lambda: [0] * len(Resource))  # points by resource
    lease: list[int] = field(default_factory=lambda: [0] * len(Resource))
    lease_ends_at: float = 0.0  # of its lease
    demand: tuple[float, ...] = (0.0,) * len(Resource)
    reported: tuple[int, int] = (-1, -1)  # epoch and number of the allocation that it reported last
    last_report_at: float = -inf  # when its last report arrived
    last_acknowledged_at: float = -inf  # when it last acknowledged the newest grant, or began to report

    def is_reporting(self) -> bool:
        """Return whether reports of the holder arrive."""
        return self.state in (HolderState.ACKNOWLEDGED, HolderState.GRANT_PENDING)

    def clear_amounts(self) -> None:
        """Set the amounts to nothing, with no lease."""
        self.base = [0] * len(Resource)
        self.clear_lease()

    def clear_lease(self) -> None:
        """Set the leased amounts to nothing."""
        self.lease = [0] * len(Resource)
        self.lease_ends_at = 0.0
