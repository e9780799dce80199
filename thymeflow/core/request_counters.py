"""Counts rejections and attempts, and writes the counts to one log line at an interval.

The counts of all limiters of a fleet can be added up. No line is written for an interval without a rejected request,
so that a healthy limiter writes none.
"""

from __future__ import annotations

from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind

LOG_INTERVAL_SECONDS = 5.0  # a benchmark writes a few lines, a day in service thousands

Counts = dict[str, int]


def _format_counts(counts: Counts) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items())


class RequestCounters:
    """Counts rejections by reason and attempts by status since the last log line."""

    def __init__(self, deadlines: clock.Deadlines) -> None:
        self.rejections: Counts = {}
        self.attempts: Counts = {}
        self._deadlines = deadlines
        self._is_scheduled = False

    def add(self, counts: Counts, name: str) -> None:
        """Increment the count of `name` in `counts`; the first rejection schedules a log line."""
        counts[name] = counts.get(name, 0) + 1
        if counts is self.rejections and not self._is_scheduled:
            self._is_scheduled = True
            self._deadlines.schedule(clock.now() + LOG_INTERVAL_SECONDS, self._write)

    def _write(self, _: int) -> None:
        self._is_scheduled = False
        log.emit(
            LogKind.REJECTIONS,
            f"requests rejected, by reason: {_format_counts(self.rejections)}; "
            f"attempts ended, by status: {_format_counts(self.attempts)}",
            rejected=dict(self.rejections),
            attempts=dict(self.attempts),
        )
        self.rejections.clear()
        self.attempts.clear()
