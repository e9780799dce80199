"""Shares the time of the process among connections whose clients send more commands than one turn should execute."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from thymeflow.runtime import clock

MAX_TURN_SECONDS = 0.005  # time for waiting commands in one turn of the reactor


class InputSource(Protocol):
    """A connection with commands that wait."""

    def process_input(self) -> None:
        """Execute some of the commands; do nothing if the connection has ended."""

    def on_fault(self, error: Exception) -> None:
        """Close the connection, of which an event could not be handled."""


class InputScheduler:
    """Lets connections execute waiting commands in turn, a few at a time."""

    def __init__(self, deadlines: clock.Deadlines) -> None:
        self._deadlines = deadlines
        self._sources: deque[InputSource] = deque()
        self._is_armed = False

    def add(self, source: InputSource) -> None:
        """Let a connection execute waiting commands once, after those that were added before it."""
        self._sources.append(source)
        self._arm()

    def _arm(self) -> None:
        if not self._is_armed:
            self._is_armed = True
            self._deadlines.schedule(clock.now(), self._run)

    def _run(self, _: int) -> None:
        self._is_armed = False
        ends_at = clock.now() + MAX_TURN_SECONDS
        for _ in range(len(self._sources)):
            self._process(self._sources.popleft())
            if clock.now() >= ends_at:
                break
        if self._sources:
            self._arm()

    @staticmethod
    def _process(source: InputSource) -> None:
        # The connections behind this one would wait for good if its error ended the turn.
        try:
            source.process_input()
        except Exception as error:
            source.on_fault(error)
