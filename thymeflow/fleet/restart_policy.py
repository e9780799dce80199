"""The times of member starts: spread starts, exponential backoff after crashes, and crash loops."""

from __future__ import annotations

import random

from thymeflow.fleet.member_state import Member
from thymeflow.settings.sections import Fleet

# Random fraction of a backoff, so that members that crashed together restart at different times.
JITTER_FRACTION = 0.5
MAX_BACKOFF_DOUBLINGS = 16


class RestartPolicy:
    """Computes the delays before starts, with random numbers from `rng`."""

    def __init__(self, settings: Fleet, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng

    def compute_spread_delay_seconds(self, position: int, total: int) -> float:
        """Return the delay in seconds of the start at `position` among `total` starts that are spread over time."""
        return self._settings.spread * (position + self._rng.random()) / total

    def record_crash(self, member: Member, reason: str, now: float) -> int:
        """Record a crash, and return the number of the member's crashes within the crash window."""
        member.last_crash_reason = reason
        member.crash_times.append(now)
        while member.crash_times and now - member.crash_times[0] > self._settings.crash_window:
            member.crash_times.popleft()
        return len(member.crash_times)

    def is_crash_loop(self, crash_count: int) -> bool:
        """Return whether this number of crashes within the crash window counts as a crash loop."""
        return crash_count >= self._settings.crashes

    def compute_backoff_seconds(self, crash_count: int) -> float:
        """Return the jittered delay in seconds before the start that follows the last of `crash_count` crashes."""
        doublings = min(MAX_BACKOFF_DOUBLINGS, crash_count - 1)
        backoff = min(self._settings.longest_wait, self._settings.wait * 2.0**doublings)
        return backoff * (1.0 - JITTER_FRACTION * self._rng.random())
