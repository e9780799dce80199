"""A customer's quota as a single token bucket for all limiters would hold it: what checks compare with."""

from __future__ import annotations

from thymeflow.testkit.fakes.site import PlanQuota


class ReferenceBucket:
    """One customer's bucket, full at first; times are in seconds on any one clock."""

    def __init__(self, quota: PlanQuota, now: float) -> None:
        self.quota = quota
        self._level = quota.burst_units
        self._updated_at = now

    def level_at(self, now: float) -> float:
        """Return the units in the bucket."""
        elapsed_seconds = max(0.0, now - self._updated_at)
        self._level = min(self.quota.burst_units, self._level + self.quota.units_per_second * elapsed_seconds)
        self._updated_at = max(self._updated_at, now)
        return self._level

    def consume(self, units: float, now: float) -> None:
        """Take units that were forwarded; the level stays at 0 or above, so that rejections are judged by it."""
        self._level = max(0.0, self.level_at(now) - units)
