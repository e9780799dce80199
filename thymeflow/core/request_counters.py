"""What a limiter did in the last seconds, in one log line: over a fleet these lines add up.

Nothing is written for seconds in which no request was rejected: a quiet log is a healthy limiter.
"""

from __future__ import annotations

from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind

LOG_INTERVAL_SECONDS = 5.0  # s between two lines; a day of a bench is a few of them, a day in service thousands

Counts = dict[str, int]


def _format_counts(counts: Counts) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items())


class RequestCounters:
    """Rejections by reason and attempts by status, since the last line."""

    def __init__(self, deadlines: clock.Deadlines) -> None:
        self.rejections: Counts = {}
        self.attempts: Counts = {}
        self._deadlines = deadlines
        self._is_scheduled = False

    def add(self, counts: Counts, name: str) -> None:
        """Count one more of that name; the first rejection schedules a line."""
        counts[name] = counts.get(name, 0) + 1
        if counts is self.rejections and not self._is_scheduled:
            self._is_scheduled = True
            self._deadlines.schedule(clock.now() + LOG_INTERVAL_SECONDS, self._write)

    def _write(self, _: int) -> None:
        self._is_scheduled = False
        log.emit(
            LogKind.REJECTIONS,
            f"by reason: {_format_counts(self.rejections)}; attempts: {_format_counts(self.attempts)}",
            rejected=dict(self.rejections),
            attempts=dict(self.attempts),
        )
        self.rejections.clear()
        self.attempts.clear()
