"""What a limiter did in the last seconds, in one line: over a fleet these lines add up to what the fleet did.

Nothing is written for seconds in which nobody was turned away: a quiet log is a healthy limiter.
"""

from __future__ import annotations

from thymeflow.runtime import clock, log

EVERY = 5.0  # s: between two lines; a day of a bench is a few of them, a day in service thousands

Counts = dict[str, int]


def _listed(counts: Counts) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items())


class RequestCounters:
    """Unavailable answers by reason and proxy passes by outcome, since the last line."""

    def __init__(self, deadlines: clock.Deadlines) -> None:
        self.rejections: Counts = {}
        self.attempts: Counts = {}
        self._deadlines, self._armed = deadlines, False

    def add(self, counts: Counts, name: str) -> None:
        """One more of that name."""
        counts[name] = counts.get(name, 0) + 1
        if counts is self.rejections and not self._armed:
            self._armed = True
            self._deadlines.at(clock.now() + EVERY, self._write)

    def _write(self, _: int) -> None:
        self._armed = False
        log.note(
            "unavailable answers",
            f"by reason: {_listed(self.rejections)}; proxy passes: {_listed(self.attempts)}",
            refused=dict(self.rejections),
            passes=dict(self.attempts),
        )
        self.rejections.clear()
        self.attempts.clear()
