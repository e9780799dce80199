"""The messages between a supervisor and its members, over the members' control sockets.

Only this module knows the keys and values of these messages, which programs of other versions read and write too.
`leases.allocation` and `outliers.messages` define the format of the allocations, ejections and reports in them.
"""

from __future__ import annotations

from dataclasses import dataclass

from thymeflow.handover.control_socket import Message
from thymeflow.leases.allocation import Allocation, allocation_to_message
from thymeflow.outliers.ejection import Ejection
from thymeflow.outliers.messages import ejection_to_row

SERVING_PHASE = "serving"  # The value of `phase` while a process serves.
UNKNOWN_PID = -1

# Requests without arguments:
STATUS_REQUEST: Message = {"do": "status"}
WATCH_REQUEST: Message = {
    "do": "watch"
}  # Subscribes to the status, which the member sends at once and after each change.
SOCKET_REQUEST: Message = {"do": "socket"}  # Requests a copy of the listening socket.


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """The status of one process; `message` is the JSON object that the status was parsed from."""

    pid: int  # UNKNOWN_PID if the message has none.
    incarnation: str
    phase: str
    is_healthy: bool
    allocation_report: object  # None if the process has no allocation.
    outlier_report: object  # None if the process reports no outliers.
    message: Message

    @property
    def is_serving(self) -> bool:
        """Return whether the process accepts requests."""
        return self.phase == SERVING_PHASE


def parse_status(message: Message) -> MemberStatus:
    """Parse a status message.

    Without `phase` the process counts as not serving, without `healthy` as not healthy, and without `part` or
    `evidence` as not reporting; a missing pid becomes UNKNOWN_PID, and a missing incarnation the text "None".
    """
    pid = message.get("pid")
    return MemberStatus(
        pid=pid if isinstance(pid, int) else UNKNOWN_PID,
        incarnation=str(message.get("life")),
        phase=str(message.get("phase")),
        is_healthy=bool(message.get("healthy")),
        allocation_report=message.get("part"),
        outlier_report=message.get("evidence"),
        message=message,
    )


def build_grant_message(allocation: Allocation) -> Message:
    """Return the message that grants an allocation."""
    return {"do": "part", "part": allocation_to_message(allocation)}


def build_ejections_message(ejections: list[Ejection]) -> Message:
    """Return the message whose ejections replace all those that a member applies."""
    return {"do": "verdicts", "verdicts": [ejection_to_row(ejection) for ejection in ejections]}


def build_threshold_message(threshold: float) -> Message:
    """Return the message that sets the admission threshold of a member."""
    return {"do": "shed", "level": threshold}
