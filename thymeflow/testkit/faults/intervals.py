"""When a fault was in effect at each limiter."""

from __future__ import annotations

from math import inf


class FaultIntervals:
    """The intervals in which one kind of fault was in effect, by limiter; times are in Unix seconds."""

    def __init__(self) -> None:
        self._intervals: dict[int, list[tuple[float, float]]] = {}

    def begin(self, limiter: int, now: float) -> None:
        """Begin an interval, unless one is open."""
        intervals = self._intervals.setdefault(limiter, [])
        if not intervals or intervals[-1][1] != inf:
            intervals.append((now, inf))

    def end(self, limiter: int, now: float) -> None:
        """End the open interval, if there is one."""
        intervals = self._intervals.get(limiter)
        if intervals:
            began_at, ended_at = intervals[-1]
            intervals[-1] = (began_at, min(ended_at, now))

    def overlap(self, limiter: int, since: float, until: float) -> bool:
        """Return whether the fault was in effect at any time between the two."""
        return any(began_at <= until and since <= ended_at for began_at, ended_at in self._intervals.get(limiter, []))
