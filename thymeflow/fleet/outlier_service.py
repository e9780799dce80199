"""Connects the outlier coordinator and the admission threshold to the members.

The service handles members' reports about backends, and sends ejections and the fleet's admission threshold to members.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from thymeflow.fleet.member_messages import build_ejections_message, build_threshold_message
from thymeflow.fleet.status_messages import JsonObject, build_outlier_status
from thymeflow.handover.control_socket import Message
from thymeflow.outliers.coordinator import OutlierCoordinator
from thymeflow.outliers.ejection import Ejection, EjectionKey, EjectionState
from thymeflow.outliers.errors import MalformedOutlierMessageError
from thymeflow.outliers.messages import report_from_message
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.shedding.threshold import AdmissionThreshold

TICK_INTERVAL_SECONDS = 0.25  # Interval between evaluations of the reports.
# Unchanged ejections and thresholds are sent again at this interval, which is a third of their leases
# (coordinator.EJECTION_LEASE_SECONDS and load_shedder.THRESHOLD_LEASE_SECONDS).
RENEWAL_INTERVAL_SECONDS = 1.0
THRESHOLD_DECIMALS = 3  # Number of decimals of a threshold in messages.
# Texts of the log lines that report a new state of an ejection.
STATE_TEXTS = {
    EjectionState.EJECTED: "ejected again",
    EjectionState.RECOVERING: "recovering",
    EjectionState.RECOVERED: "recovered",
}


@dataclass(frozen=True, slots=True)
class _SentThreshold:
    threshold: float
    sent_at: float


@dataclass(frozen=True, slots=True)
class _SentEjections:
    sent_at: float
    ejections: list[Ejection] = field(default_factory=list)


class OutlierService:
    """Computes the fleet's ejections and admission threshold from members' reports, and sends them to the members."""

    def __init__(
        self,
        deadlines: clock.Deadlines,
        probes_per_second: float,
        send: Callable[[str, Message], None],
    ) -> None:
        self._deadlines = deadlines
        self._send = send
        self._coordinator = OutlierCoordinator(probes_per_second)
        self._threshold = AdmissionThreshold()
        self._sent_thresholds: dict[str, _SentThreshold] = {}  # Key: member's name.
        self._sent_ejections: dict[str, _SentEjections] = {}  # Key: member's name.

    def start(self) -> None:
        """Evaluate the reports at once, and again every `TICK_INTERVAL_SECONDS`."""
        self._tick(0)

    def on_report(self, name: str, message: object) -> None:
        """Handle a member's report about backends; a malformed report is logged, counted and ignored."""
        try:
            report = report_from_message(message)
        except MalformedOutlierMessageError as error:
            self._coordinator.invalid_reports += 1
            log.emit_rate_limited(LogKind.OVERLOAD, f"ignored a malformed outlier report from {name}: {error}")
            return
        now = clock.monotonic()
        if report.pressure is not None:
            self._threshold.on_report(name, report.pressure, now)
        self._coordinator.on_endpoint_list(name, report.backend_count, report.zones)
        self._coordinator.on_report(name, report.ejecting, report.responding, report.probe_results, now)

    def on_member_gone(self, name: str) -> None:
        """Handle the end of a member, or of the connection to it."""
        self._coordinator.on_member_gone(name)
        self._threshold.on_member_gone(name)
        self._sent_ejections.pop(name, None)
        self._sent_thresholds.pop(name, None)

    def status(self) -> JsonObject:
        """Return the threshold, and the ejections with their reporting members, in the control socket's format."""
        return build_outlier_status(self._coordinator, self._threshold, clock.monotonic())

    def _tick(self, _: int) -> None:
        now = clock.monotonic()
        previous_states = {key: record.state for key, record in self._coordinator.ejections.items()}
        for key in self._coordinator.tick(now):
            reporters = ", ".join(sorted(self._coordinator.ejections[key].reported_by))
            text = f"{_describe_key(key)} is ejected by all members, as reported by {reporters}"
            log.emit(LogKind.OVERLOAD, text, server=key.backend)
        self._log_state_changes(previous_states)
        for name in self._coordinator.reports:
            self._send_ejections(name, now)
        self._update_threshold(now)
        self._deadlines.schedule(clock.now() + TICK_INTERVAL_SECONDS, self._tick)

    def _log_state_changes(self, previous_states: dict[EjectionKey, EjectionState]) -> None:
        for key, state in previous_states.items():
            record = self._coordinator.ejections.get(key)
            if record is None and self._coordinator.is_covered_by_zone(key):
                continue  # The ejection of the zone has replaced this one, and is logged instead.
            if record is None:
                log.emit(LogKind.OVERLOAD, f"{_describe_key(key)} is used again by all members", server=key.backend)
            elif record.state is not state:
                log.emit(LogKind.OVERLOAD, f"{_describe_key(key)} is {STATE_TEXTS[record.state]}", server=key.backend)

    def _send_ejections(self, name: str, now: float) -> None:
        # Ejections are compared without their expiry times, which change with every tick.
        ejections = [replace(ejection, ends_at=0.0) for ejection in self._coordinator.build_ejections(name, now)]
        sent = self._sent_ejections.get(name, _SentEjections(now))
        if ejections != sent.ejections or (ejections and now - sent.sent_at >= RENEWAL_INTERVAL_SECONDS):
            self._sent_ejections[name] = _SentEjections(now, ejections)
            self._send(name, build_ejections_message(self._coordinator.build_ejections(name, now)))

    def _update_threshold(self, now: float) -> None:
        # The rounded values are compared, because members receive them: a threshold that rounds to 0 sheds nothing.
        previous = round(self._threshold.value, THRESHOLD_DECIMALS)
        threshold = round(self._threshold.tick(now), THRESHOLD_DECIMALS)
        if (threshold > 0.0) != (previous > 0.0):
            log.emit(
                LogKind.OVERLOAD,
                f"load shedding {'begins' if threshold else 'ends'}: the median pressure that "
                f"{len(self._threshold.reports)} members report is {self._threshold.pressure:.2f}",
                level=threshold,
            )
        elif threshold:
            log.emit_rate_limited(
                LogKind.OVERLOAD,
                f"all members shed requests whose rank in the priority order is below the threshold {threshold:.2f}",
                level=threshold,
            )
        for name in self._threshold.reports:
            self._send_threshold(name, threshold, now)

    def _send_threshold(self, name: str, threshold: float, now: float) -> None:
        sent = self._sent_thresholds.get(name, _SentThreshold(0.0, now - RENEWAL_INTERVAL_SECONDS))
        if threshold != sent.threshold or now - sent.sent_at >= RENEWAL_INTERVAL_SECONDS:
            self._sent_thresholds[name] = _SentThreshold(threshold, now)
            self._send(name, build_threshold_message(threshold))


def _describe_key(key: EjectionKey) -> str:
    if key.is_zone():
        return f"zone {key.name}"
    return f"backend {key.backend:08x}" + (f" for {key.name}" if key.name else "")
