"""What a member reports of itself over its control socket, as a typed record."""

from __future__ import annotations

from dataclasses import dataclass

from thymeflow.handover.control_socket import Message

SERVING_PHASE = "serving"  # the value of `phase` while a process serves
UNKNOWN_PID = -1


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
    # The keys are those of the control socket of members.
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
