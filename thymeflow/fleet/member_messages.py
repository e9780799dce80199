"""The messages between a supervisor and its members, over the members' control sockets.

This module alone knows their keys and values: a format that programs of other versions read and write. The forms of
allocations, ejections and reports in them are those of `leases.allocation` and `outliers.messages`.
"""

from __future__ import annotations

from dataclasses import dataclass

from thymeflow.handover.control_socket import Message
from thymeflow.leases.allocation import Allocation, allocation_to_message
from thymeflow.outliers.ejection import Ejection
from thymeflow.outliers.messages import ejection_to_row

SERVING_PHASE = "serving"  # the value of `phase` while a process serves
UNKNOWN_PID = -1

# Requests without arguments.
STATUS_REQUEST: Message = {"do": "status"}
WATCH_REQUEST: Message = {"do": "watch"}  # the status, now and whenever it changes
SOCKET_REQUEST: Message = {"do": "socket"}  # a copy of the listening socket


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """The status of one process; `message` is the JSON object that it was read from."""

    pid: int  # or UNKNOWN_PID
    incarnation: str
    phase: str
    is_healthy: bool
    allocation_report: object  # None where the process has no allocation
    outlier_report: object  # None where the process reports no outliers
    message: Message

    @property
    def is_serving(self) -> bool:
        """Return whether the process accepts requests."""
        return self.phase == SERVING_PHASE


def status_from_message(message: Message) -> MemberStatus:
    """Return the record of a status message; what is missing counts as not serving, not healthy or not reported."""
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


def grant_message(allocation: Allocation) -> Message:
    """Return the message that grants an allocation."""
    return {"do": "part", "part": allocation_to_message(allocation)}


def ejections_message(ejections: list[Ejection]) -> Message:
    """Return the message that replaces all ejections of a member."""
    return {"do": "verdicts", "verdicts": [ejection_to_row(ejection) for ejection in ejections]}


def threshold_message(threshold: float) -> Message:
    """Return the message that sets the admission threshold of a member."""
    return {"do": "shed", "level": threshold}
