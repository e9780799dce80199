"""The supervisor's hands round `overload.jury`: what members say of servers, and verdicts to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from thymeflow.handover.control_socket import Message
from thymeflow.outliers.coordinator import ZONE, Ejection, OutlierCoordinator, State
from thymeflow.outliers.member import keys_from_message, message_of, probes_from_message, zones_from_message
from thymeflow.runtime import clock, log
from thymeflow.shedding.threshold import AdmissionThreshold

BEAT = 0.25  # s: between looks
RENEW = 1.0  # s: a verdict that has not changed is said again, a third of its length


class OutlierService:
    """What the fleet knows of servers that fail, by the members' names."""

    def __init__(self, deadlines: clock.Deadlines, trials: float, send: Callable[[str, Message], None]) -> None:
        self._deadlines, self._send = deadlines, send
        self._jury, self._level = OutlierCoordinator(trials), AdmissionThreshold()
        self._shed: dict[str, tuple[float, float]] = {}  # by member: the level that was said last, and when
        self._sent: dict[str, tuple[list[Ejection], float]] = {}  # by member: what was said last, and when

    def start(self) -> None:
        """Look now and then from now on."""
        self._beat(0)

    def on_report(self, name: str, message: Any) -> None:
        """What a member says of servers; what cannot be true is left out and counted."""
        try:
            against, good = keys_from_message(message["against"]), keys_from_message(message["good"])
            trials, servers = probes_from_message(message["trials"]), message["servers"]
            if type(servers) is not int or servers < 0:
                raise ValueError(f"servers is {str(servers)[:40]!r}, no count")
            zones = zones_from_message(message.get("zones", {}))
            if "pressure" in message:  # members of the version before tell neither of them
                self._level.on_report(name, message["pressure"], clock.monotonic())
        except (ValueError, TypeError, KeyError, AttributeError) as fault:
            self._jury.invalid_reports += 1
            log.say("overload", f"{name} says of servers what cannot be: {fault}")
            return
        self._jury.on_endpoint_list(name, servers, zones)
        self._jury.on_report(name, against, good, trials, clock.monotonic())

    def on_member_gone(self, name: str) -> None:
        """A member has ended, or its line has."""
        self._jury.on_member_gone(name)
        self._level.on_member_gone(name)
        self._sent.pop(name, None)
        self._shed.pop(name, None)

    def _beat(self, _: int) -> None:
        jury, now = self._jury, clock.monotonic()
        before = {key: case.state for key, case in jury.ejected.items()}
        for key in jury.tick(now):
            words = ", ".join(sorted(jury.ejected[key].words))
            log.note("overload", f"{_named(key)} is left alone by all, on the word of {words}", server=key[0])
        for key, state in before.items():
            case = jury.ejected.get(key)
            if case is None and jury.is_covered_by_zone(key):
                continue  # its zone's case has taken its place, and says so
            if case is None:
                log.note("overload", f"{_named(key)} is back with all", server=key[0])
            elif case.state is not state:
                log.note("overload", f"{_named(key)} is {case.state.value}", server=key[0])
        for name in jury.reports:
            verdicts = [replace(v, end=0.0) for v in jury.ejections_for(name, now)]
            sent, at = self._sent.get(name, ([], now))
            if verdicts != sent or (verdicts and now - at >= RENEW):
                self._sent[name] = verdicts, now
                rows = [message_of(v) for v in jury.ejections_for(name, now)]
                self._send(name, {"do": "verdicts", "verdicts": rows})
        self._steer(now)
        self._deadlines.at(clock.now() + BEAT, self._beat)

    def _steer(self, now: float) -> None:
        before = round(self._level.level, 3)  # as it was told: a trace that rounds to nothing began nothing
        level = round(self._level.tick(now), 3)
        if (level > 0.0) != (before > 0.0):
            log.note(
                "overload",
                f"shedding by order {'begins' if level else 'is over'}: the back end's pressure is "
                f"{self._level.pressure:.2f} at the middle one of {len(self._level.reports)} members",
                level=level,
            )
        elif level:
            log.say("overload", f"shedding what stands under {level:.2f} of the order, everywhere", level=level)
        for name in self._level.reports:
            said, at = self._shed.get(name, (0.0, now - RENEW))
            if level != said or now - at >= RENEW:
                self._shed[name] = level, now
                self._send(name, {"do": "shed", "level": level})

    def status(self) -> dict[str, Any]:
        """Who is left alone and on whose word, as JSON takes it."""
        now, jury = clock.monotonic(), self._jury
        return {
            "level": round(self._level.level, 3),
            "pressure": round(self._level.pressure, 3),
            "every_s": jury.probe_interval,
            "left_out": jury.invalid_reports,
            "members": sorted(jury.reports),
            "cases": [
                {
                    "server": key[0],
                    **({"class": "", "zone": key[1]} if key[0] == ZONE else {"class": key[1], "zone": ""}),
                    "state": case.state.value,
                    "for_s": round(now - case.since, 2),
                    "words": sorted(case.words),
                    "trial": case.holder if case.state is State.CONDEMNED else "",
                    "let_in": case.let_in,
                }
                for key, case in sorted(jury.ejected.items())
            ],
        }


def _named(key: tuple[int, str]) -> str:
    if key[0] == ZONE:
        return f"zone {key[1]}"
    return f"server {key[0]:08x}" + (f" for {key[1]}" if key[1] else "")
