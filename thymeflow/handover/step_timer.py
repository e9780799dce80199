"""The time limit of a handover's current step."""

from __future__ import annotations

from collections.abc import Callable

from thymeflow.handover.participant import HandoverParticipant
from thymeflow.runtime import clock


class StepTimer:
    """One deadline, for the step that is under way."""

    def __init__(self, participant: HandoverParticipant) -> None:
        self._participant = participant
        self._timeout_call = clock.NOT_SCHEDULED

    def start(self, deadline: float, on_timeout: Callable[[], None]) -> None:
        """Begin a step that has to end before `deadline`, in Unix seconds; replaces the step before."""
        self.cancel()
        self._timeout_call = self._participant.limiter.deadlines.schedule(deadline, lambda _: on_timeout())

    def cancel(self) -> None:
        """End the current step, if there is one."""
        self._participant.limiter.deadlines.cancel(self._timeout_call)
