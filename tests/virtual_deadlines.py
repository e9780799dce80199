"""Scheduled calls that a test makes itself, with the time as the test sets it."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from thymeflow.runtime import clock


class PendingCall(NamedTuple):
    """A call that is to be made later."""

    callback: Callable[[int], None]
    argument: int


class VirtualDeadlines(clock.Deadlines):
    """Keeps what is to be called later; the test decides when."""

    def __init__(self) -> None:
        self._calls: list[PendingCall] = []

    def schedule(self, when: float, callback: Callable[[int], None], argument: int = 0) -> clock.ScheduledCall:
        """Keep the call, whatever its time."""
        self._calls.append(PendingCall(callback, argument))
        return clock.NOT_SCHEDULED

    def call_pending(self) -> None:
        """Make every call that was scheduled before."""
        calls = self._calls
        self._calls = []
        for call in calls:
            call.callback(call.argument)
