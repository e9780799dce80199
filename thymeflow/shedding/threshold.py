"""The fleet's admission threshold: the rank below which all members shed requests. Events in, threshold out; no I/O.

Each member reports the pressure that it observes at the backends: mean latency divided by the latency objective, capped
at 1. The fleet uses the median of the valid reports, so that a member that is cut off and sees only timeouts, or one
that reports wrong values, does not move the threshold. The threshold rises in small steps while the median is above
`pressure.PRESSURE_THRESHOLD`, and falls in small steps while it is below.

All members rank requests in the same way (`PriorityOrder`) and shed requests with a rank below the threshold. A gateway
rejects requests that exceed their customer's quota of units before it compares ranks, whatever the threshold is.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median_low

from thymeflow.health.pressure import PRESSURE_THRESHOLD
from thymeflow.runtime.value_checks import is_fraction
from thymeflow.shedding.errors import InvalidFractionError
from thymeflow.shedding.load_shedder import LoadShedder as LoadShedder

REPORT_TTL_SECONDS = 2.0  # a report is valid for four report intervals
TICK_INTERVAL_SECONDS = 0.25  # the time between steps; GAIN, MAX_RISE and MAX_FALL depend on it
# Change of the threshold per step for each unit of pressure above `PRESSURE_THRESHOLD`. A response belongs to a request
# that was admitted one latency objective ago, so a step takes effect after 1 to 2 s, which is 4 to 8 steps. A gain
# above 1 / 8 would make the threshold oscillate.
GAIN = 0.1
# Largest rise per step: all requests except those of the highest ranks are shed within 4 s of the start of an overload.
MAX_RISE = 0.06
# Largest fall per step: a full recovery takes up to 12 s, so that load returns no faster than backends in slow start
# can take it.
MAX_FALL = 0.02
MAX_THRESHOLD = 0.95  # some requests are always admitted, because a recovery shows only in their responses


@dataclass(frozen=True, slots=True)
class PressureReport:
    """The last report of a member."""

    received_at: float  # seconds on the machine's monotonic clock
    pressure: float

    def is_valid(self, now: float) -> bool:
        """Return whether the report has not expired."""
        return now - self.received_at <= REPORT_TTL_SECONDS


class AdmissionThreshold:
    """The fleet's admission threshold and the pressure reports from which it is computed."""

    def __init__(self) -> None:
        self.value = 0.0  # the threshold, from 0 (nothing is shed) to MAX_THRESHOLD
        self.pressure = 0.0  # the median of the valid reports
        self.reports: dict[str, PressureReport] = {}

    def on_report(self, member: str, pressure: object, now: float) -> None:
        """Handle a member's report of the pressure that it observes.

        :raises InvalidFractionError: a ValueError; the pressure is not a number from 0 to 1.
        """
        if not is_fraction(pressure):
            raise InvalidFractionError(name="pressure", value=pressure)
        self.reports[member] = PressureReport(now, float(pressure))

    def on_member_gone(self, member: str) -> None:
        """Drop the report of a member that has ended or is disconnected."""
        self.reports.pop(member, None)

    def tick(self, now: float) -> float:
        """Take one step and return the new threshold; without a valid report it falls."""
        pressures = [report.pressure for report in self.reports.values() if report.is_valid(now)]
        self.pressure = median_low(pressures) if pressures else 0.0
        step = max(-MAX_FALL, min(MAX_RISE, GAIN * (self.pressure - PRESSURE_THRESHOLD)))
        self.value = max(0.0, min(MAX_THRESHOLD, self.value + step))
        return self.value
