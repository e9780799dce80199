"""The time limit of a handover's current step."""

from __future__ import annotations

from collections.abc import Callable

from thymeflow.handover.participant import HandoverParticipant
from thymeflow.runtime import clock


class StepTimer:
    """The deadline of the current step, if there is one."""

    def __init__(self, participant: HandoverParticipant) -> None:
        self._participant = participant
        self._timeout_call = clock.NOT_SCHEDULED

    def start(self, deadline: float, on_timeout: Callable[[], None]) -> None:
        """Call `on_timeout` at `deadline`, in Unix seconds; this cancels the deadline of the previous step."""
        self.cancel()
        self._timeout_call = self._participant.limiter.deadlines.schedule(deadline, lambda _: on_timeout())

    def cancel(self) -> None:
        """Cancel the deadline of the current step, if there is one."""
        self._participant.limiter.deadlines.cancel(self._timeout_call)
