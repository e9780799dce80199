"""The lease issuer's view of one holder: its state, the valid transitions and the record of its grants."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf

from thymeflow.leases.resources import Resource
from thymeflow.runtime.transitions import TransitionTable


class HolderState(Enum):
    """The state of a holder; status commands print the values."""

    ABSENT = "absent"  # No process is known, and no grant is outstanding.
    NOT_REPORTING = "unheard"  # Grants may be outstanding, and the holder does not report.
    ACKNOWLEDGED = "held"  # The holder reports and has acknowledged its newest grant.
    GRANT_PENDING = "asked"  # The holder reports and has not yet acknowledged its newest grant.


class HolderEvent(Enum):
    """An event that changes the state of a holder."""

    STARTING = "starting"  # A process is being started under the holder's name.
    REPORT = "speaks"  # A report of the holder arrived.
    GRANT = "grant"  # A grant was issued to the holder.
    ACK = "ack"  # A report acknowledged the newest grant.
    UNRESPONSIVE = "unresponsive"  # The connection ended, or the last report has expired.
    DEATH = "death"  # The kernel has reported that the process has ended.


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
    """The record of one holder; times are in seconds on the machine's monotonic clock."""

    state: HolderState = HolderState.ABSENT
    number: int = 0  # the number of the newest grant
    base: list[int] = field(default_factory=lambda: [0] * len(Resource))  # base amounts by resource, in points
    lease: list[int] = field(default_factory=lambda: [0] * len(Resource))  # leased amounts by resource, in points
    lease_ends_at: float = 0.0
    demand: tuple[float, ...] = (0.0,) * len(Resource)
    reported: tuple[int, int] = (-1, -1)  # the epoch and number of the allocation in the last report
    last_report_at: float = -inf
    # When the holder last acknowledged its then newest grant, or when it began to report, whichever is later.
    last_acknowledged_at: float = -inf

    def is_reporting(self) -> bool:
        """Return whether the issuer receives reports of the holder."""
        return self.state in (HolderState.ACKNOWLEDGED, HolderState.GRANT_PENDING)

    def clear_amounts(self) -> None:
        """Set the base amounts and the leased amounts to 0."""
        self.base = [0] * len(Resource)
        self.clear_lease()

    def clear_lease(self) -> None:
        """Set the leased amounts to 0 and end the lease."""
        self.lease = [0] * len(Resource)
        self.lease_ends_at = 0.0
