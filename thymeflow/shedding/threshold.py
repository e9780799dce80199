"""The admission threshold of the fleet: how much it sheds, as one figure. Events in, a threshold out; no I/O.

Each member reports how much pressure it observes at the backends: the mean latency over the latency objective, 0 to 1.
The fleet uses the median of the valid reports, so that neither a member that is cut off, and sees only timeouts, nor
one that reports wrong figures moves it. The threshold rises while the median is over `pressure.PRESSURE_THRESHOLD` and
falls while it is under it, in small steps.

All members rank requests in the same way (`PriorityOrder`) and shed those that rank under the threshold. Customers over
their quota are rejected before, by their units, whatever the threshold.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median_low

from thymeflow.health.pressure import PRESSURE_THRESHOLD
from thymeflow.runtime.value_checks import is_fraction
from thymeflow.shedding.errors import InvalidFractionError
from thymeflow.shedding.load_shedder import LoadShedder as LoadShedder

REPORT_TTL_SECONDS = 2.0  # how long a report is valid: four report intervals
TICK_INTERVAL_SECONDS = 0.25  # between steps; GAIN, MAX_RISE and MAX_FALL depend on it
# Of the threshold, per step, for each latency objective over the goal. Responses are those of requests that were
# admitted one objective ago, so a step shows its effect after 1 to 2 s, 4 to 8 steps: more than 1 / 8 would oscillate.
GAIN = 0.1
MAX_RISE = 0.06  # of the threshold, per step: all but the first in rank are shed within 4 s of an overload
MAX_FALL = 0.02  # per step: the way back takes up to 12 s, and stays behind what backends in slow start can bear
MAX_THRESHOLD = 0.95  # some requests are always admitted: without responses a recovery would never be noticed


@dataclass(frozen=True, slots=True)
class PressureReport:
    """The last report of a member."""

    received_at: float  # s on the machine's monotonic clock
    pressure: float

    def is_valid(self, now: float) -> bool:
        """Return whether the report is not too old to count."""
        return now - self.received_at <= REPORT_TTL_SECONDS


class AdmissionThreshold:
    """The fleet's admission threshold, and the reports that it depends on."""

    def __init__(self) -> None:
        self.value = 0.0  # the threshold, from 0, which sheds nothing, to MAX_THRESHOLD
        self.pressure = 0.0  # the median of the valid reports
        self.reports: dict[str, PressureReport] = {}

    def on_report(self, member: str, pressure: object, now: float) -> None:
        """Handle a member's report of the pressure that it sees.

        :raises InvalidFractionError: a ValueError, where that is no number from 0 to 1.
        """
        if not is_fraction(pressure):
            raise InvalidFractionError(name="pressure", value=pressure)
        self.reports[member] = PressureReport(now, float(pressure))

    def on_member_gone(self, member: str) -> None:
        """Drop the report of a member that has ended or is disconnected."""
        self.reports.pop(member, None)

    def tick(self, now: float) -> float:
        """Take one step and return the threshold; it falls where no report is valid."""
        pressures = [report.pressure for report in self.reports.values() if report.is_valid(now)]
        self.pressure = median_low(pressures) if pressures else 0.0
        step = max(-MAX_FALL, min(MAX_RISE, GAIN * (self.pressure - PRESSURE_THRESHOLD)))
        self.value = max(0.0, min(MAX_THRESHOLD, self.value + step))
        return self.value
