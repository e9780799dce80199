"""The supervisor's adapter of the outlier coordinator and the admission threshold.

It takes members' reports about servers, and sends them ejections and the fleet's load shedding level.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from thymeflow.fleet.status_messages import JsonObject, outlier_status
from thymeflow.handover.control_socket import Message
from thymeflow.outliers.coordinator import OutlierCoordinator
from thymeflow.outliers.ejection import Ejection, EjectionKey, EjectionState
from thymeflow.outliers.errors import MalformedOutlierMessageError
from thymeflow.outliers.messages import message_of, report_from_message
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.shedding.threshold import AdmissionThreshold

TICK_SECONDS = 0.25
RENEWAL_SECONDS = 1.0  # ejections and levels that have not changed are sent again, a third of an ejection's length


@dataclass(frozen=True, slots=True)
class _SentLevel:
    level: float
    sent_at: float


@dataclass(frozen=True, slots=True)
class _SentEjections:
    sent_at: float
    ejections: list[Ejection] = field(default_factory=list)


class OutlierService:
    """What the fleet knows of servers that fail, by the members' names."""

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
        self._sent_levels: dict[str, _SentLevel] = {}  # by member
        self._sent_ejections: dict[str, _SentEjections] = {}  # by member

    def start(self) -> None:
        """Begin to evaluate the reports, every `TICK_SECONDS`."""
        self._tick(0)

    def on_report(self, name: str, message: object) -> None:
        """Handle a member's report about backends; a malformed one is counted and ignored."""
        try:
            report = report_from_message(message)
        except MalformedOutlierMessageError as error:
            self._coordinator.invalid_reports += 1
            log.emit_rate_limited(LogKind.OVERLOAD, f"{name} says of servers what cannot be: {error}")
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
        self._sent_levels.pop(name, None)

    def status(self) -> JsonObject:
        """Return the threshold, and the ejections with the members that reported them, in the control socket's form."""
        return outlier_status(self._coordinator, self._threshold, clock.monotonic())

    def _tick(self, _: int) -> None:
        now = clock.monotonic()
        previous_states = {key: ejected.state for key, ejected in self._coordinator.ejections.items()}
        for key in self._coordinator.tick(now):
            reporters = ", ".join(sorted(self._coordinator.ejections[key].reported_by))
            text = f"{_describe_key(key)} is left alone by all, on the word of {reporters}"
            log.emit(LogKind.OVERLOAD, text, server=key.backend)
        self._log_state_changes(previous_states)
        for name in self._coordinator.reports:
            self._send_ejections(name, now)
        self._update_level(now)
        self._deadlines.schedule(clock.now() + TICK_SECONDS, self._tick)

    def _log_state_changes(self, previous_states: dict[EjectionKey, EjectionState]) -> None:
        for key, state in previous_states.items():
            ejected = self._coordinator.ejections.get(key)
            if ejected is None and self._coordinator.is_covered_by_zone(key):
                continue  # the ejection of its zone has replaced it, and is logged
            if ejected is None:
                log.emit(LogKind.OVERLOAD, f"{_describe_key(key)} is back with all", server=key.backend)
            elif ejected.state is not state:
                log.emit(LogKind.OVERLOAD, f"{_describe_key(key)} is {ejected.state.value}", server=key.backend)

    def _send_ejections(self, name: str, now: float) -> None:
        # Compared without their ends, which move with every tick.
        ejections = [replace(ejection, ends_at=0.0) for ejection in self._coordinator.ejections_for(name, now)]
        sent = self._sent_ejections.get(name, _SentEjections(now))
        if ejections != sent.ejections or (ejections and now - sent.sent_at >= RENEWAL_SECONDS):
            self._sent_ejections[name] = _SentEjections(now, ejections)
            rows = [message_of(ejection) for ejection in self._coordinator.ejections_for(name, now)]
            self._send(name, {"do": "verdicts", "verdicts": rows})

    def _update_level(self, now: float) -> None:
        previous_level = round(self._threshold.value, 3)  # as it was sent: one that rounds to 0 began no shedding
        level = round(self._threshold.tick(now), 3)
        if (level > 0.0) != (previous_level > 0.0):
            log.emit(
                LogKind.OVERLOAD,
                f"shedding by order {'begins' if level else 'is over'}: the back end's pressure is "
                f"{self._threshold.pressure:.2f} at the middle one of {len(self._threshold.reports)} members",
                level=level,
            )
        elif level:
            log.emit_rate_limited(
                LogKind.OVERLOAD, f"shedding what stands under {level:.2f} of the order, everywhere", level=level
            )
        for name in self._threshold.reports:
            self._send_level(name, level, now)

    def _send_level(self, name: str, level: float, now: float) -> None:
        sent = self._sent_levels.get(name, _SentLevel(0.0, now - RENEWAL_SECONDS))
        if level != sent.level or now - sent.sent_at >= RENEWAL_SECONDS:
            self._sent_levels[name] = _SentLevel(level, now)
            self._send(name, {"do": "shed", "level": level})


def _describe_key(key: EjectionKey) -> str:
    if key.is_zone():
        return f"zone {key.name}"
    return f"server {key.backend:08x}" + (f" for {key.name}" if key.name else "")
