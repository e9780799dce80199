"""The outlier coordinator, its members and the admission threshold, held to the digest of a seeded run in virtual time.

Members come, fall silent and go; backends fail for all requests, for one class, or as a zone, or are slow, and recover.
Each member is a gateway with the adapters of this fleet; what they report goes to the coordinator and the threshold as
JSON, and what these decide goes back in wire form. Traced are the reports, the ejections as rows, each state change,
the threshold, and which requests are sent where.
"""

from __future__ import annotations

import json
import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

import pytest

from tests.fleet_bounds import member_bounds
from tests.helpers import SAFE, UNSAFE, fleet, request, sends, settings
from tests.trace_digest import TraceDigest
from thymeflow.decision.actions import Action
from thymeflow.decision.context import TimerKind
from thymeflow.decision.events import AttemptEnded, EndpointsChanged, TimerFired
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import Plan
from thymeflow.decision.types import EndpointListKind, Status
from thymeflow.outliers.coordinator import ZONE, OutlierCoordinator
from thymeflow.outliers.ejection import EjectionKey
from thymeflow.outliers.member import (
    MemberEjections,
    ejections_from_message,
    keys_from_message,
    message_of,
    probes_from_message,
    zones_from_message,
)
from thymeflow.shedding.threshold import AdmissionThreshold, LoadShedder

LARGE_FLEET = tuple(f"n{number}" for number in range(9))
SMALL_FLEET = LARGE_FLEET[:5]
CLASSES = ("read", "sign")
PLANS = (Plan("plain", rate=0.0, burst=0.0), Plan("rich", rate=0.0, burst=0.0, price=4.0))
BACKEND_COUNT = 8
STEPS = 1200
STEP_SECONDS = (0.05, 0.1, 0.1, 0.2)
WALL_OFFSET_SECONDS = 5000.0
FAULTS = ("error", "read", "slow")


@dataclass
class Attempt:
    """An attempt that has not ended."""

    ends_at: float
    backend: int
    request: str
    number: int
    class_name: str
    latency: float


class Member:
    """A gateway with the adapters of a fleet."""

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.gateway = Gateway(settings(zones=("a", "b"), classes=(SAFE, UNSAFE), plans=PLANS), LARGE_FLEET.index(name))
        self.gateway.handle(now, EndpointsChanged(EndpointListKind.CACHED, fleet(BACKEND_COUNT)))
        self.ejections = MemberEjections(self.gateway)
        self.shedder = LoadShedder(self.gateway)
        self.gateway.set_fleet_bounds(member_bounds(self.ejections, self.shedder))
        self.attempts: list[Attempt] = []
        self.numbers: Counter[str] = Counter()
        self.is_silent = False

    def report(self, now: float) -> dict[str, Any]:
        """What the member reports, as it is after the wire."""
        found: dict[str, Any] = json.loads(json.dumps(self.ejections.report(now)))
        return found


class Run:
    """One seeded run of a fleet; what happens is drawn at each step."""

    def __init__(self, seed: int, names: tuple[str, ...]) -> None:
        self.names = names
        self.rng = random.Random(seed)
        self.now = 100.0
        self.trace = TraceDigest()
        self.coordinator = OutlierCoordinator(1.0)
        self.threshold = AdmissionThreshold()
        self.members = {name: Member(name, self.now) for name in names[:-1]}
        self.states: dict[EjectionKey, str] = {}
        self.faults: dict[int, str] = {}
        self.cut_off: set[tuple[str, int]] = set()
        self.request_count = 0
        self.lines: list[str] = []

    def play(self) -> TraceDigest:
        """Play all steps; the trace."""
        for step in range(STEPS):
            self.now = round(self.now + self.rng.choice(STEP_SECONDS), 6)
            self.lines = [f"{self.now:.6f}"]
            self.change_faults()
            self.change_members()
            for member in self.members.values():
                self.serve(member)
            if step % 3 == 0:
                self.report()
            if step % 2 == 0:
                self.decide()
            self.trace.add_step("\n".join(self.lines))
        return self.trace

    def note(self, event: str, *values: Any) -> None:
        """Write down one event."""
        self.trace.events[event] += 1
        self.lines.append(json.dumps([event, *values]))

    def change_faults(self) -> None:
        backend = self.rng.randrange(1, BACKEND_COUNT + 1)
        chance = self.rng.random()
        if chance < 0.01:
            self.faults[backend] = self.rng.choice(FAULTS)
            self.note("fault", backend, self.faults[backend])
        elif chance < 0.013:
            self.faults.update(dict.fromkeys(range(1, BACKEND_COUNT, 2), "error"))
            self.note("zone fault")
        elif chance < 0.016:
            self.faults.update(dict.fromkeys(range(1, BACKEND_COUNT + 1), "slow"))
            self.note("all slow")
        elif chance < 0.03:
            self.faults.clear()
            self.cut_off.clear()
            self.note("recovery")
        elif chance < 0.034:
            self.cut_off.add((self.rng.choice(self.names), backend))
            self.note("cut off", sorted(self.cut_off))
        returning = [key for key, entry in self.coordinator.ejections.items() if entry.state.value == "returning"]
        if returning and self.rng.random() < 0.06:
            number, zone = self.rng.choice(sorted(returning))
            failing = range(1, BACKEND_COUNT, 2) if zone == "a" else range(2, BACKEND_COUNT + 1, 2)
            self.faults.update(dict.fromkeys(failing if number == ZONE else (number,), "error"))
            self.note("relapse", number, zone)

    def change_members(self) -> None:
        name = self.rng.choice(self.names)
        chance = self.rng.random()
        if chance < 0.012:
            self.note("member gone" if self.members.pop(name, None) else "unknown member gone", name)
            self.coordinator.on_member_gone(name)
            self.threshold.on_member_gone(name)
        elif chance < 0.05 and name not in self.members:
            self.members[name] = Member(name, self.now)
            self.note("member starts", name)
        elif chance < 0.07 and name in self.members:
            self.members[name].is_silent = not self.members[name].is_silent
            self.note("silence", name, self.members[name].is_silent)

    # Requests.

    def serve(self, member: Member) -> None:
        timers = [number for number, (kind, _) in member.gateway.timers.items() if kind is TimerKind.TICK]
        for number in timers:
            self.start(member, member.gateway.handle(self.now, TimerFired(number)), "")
        done = [attempt for attempt in member.attempts if attempt.ends_at <= self.now]
        member.attempts = [attempt for attempt in member.attempts if attempt.ends_at > self.now]
        for attempt in done:
            self.end(member, attempt)
        for _ in range(self.rng.randrange(4)):
            self.request_count += 1
            name = f"r{self.request_count}"
            class_name, plan = self.rng.choice(CLASSES), self.rng.choice(PLANS).name
            customer = f"{self.rng.randrange(200):016x}"
            event = request(name, 0.1, class_name=class_name, plan=plan, customer=customer)
            self.start(member, member.gateway.handle(self.now, event), class_name)

    def start(self, member: Member, actions: list[Action], class_name: str) -> None:
        for send in sends(actions):
            member.numbers[send.id] += 1
            slow = self.faults.get(send.backend) == "slow"
            latency = self.rng.uniform(2.0, 3.0) if slow else self.rng.uniform(0.02, 0.3)
            number = member.numbers[send.id] - 1
            member.attempts.append(Attempt(self.now + latency, send.backend, send.id, number, class_name, latency))
            self.trace.actions["send"] += 1
            self.lines.append(f"{member.name} {send.id} {number} {send.backend}")
        self.trace.actions["other"] += len(actions) - len(sends(actions))

    def end(self, member: Member, attempt: Attempt) -> None:
        status = Status.OK
        fault = self.faults.get(attempt.backend)
        if fault in ("error", attempt.class_name) or (member.name, attempt.backend) in self.cut_off:
            status = self.rng.choice((Status.ERROR, Status.RESET, Status.CONNECT_FAILED))
        event = AttemptEnded(
            attempt.request,
            attempt.number,
            attempt.backend,
            status,
            attempt.latency,
            request_answered=status is Status.OK,
            actual_units=0.1,
        )
        self.trace.events[f"ended {status.name.lower()}"] += 1
        self.start(member, member.gateway.handle(self.now, event), attempt.class_name)

    # The coordinator and the threshold.

    def report(self) -> None:
        for name, member in self.members.items():
            if member.is_silent:
                continue
            found = member.report(self.now)
            self.note("report", name, found)
            self.trace.events["failed probe"] += list(found["trials"].values()).count(False)
            if (returning := self.returning_backends()) and self.rng.random() < 0.3:
                found["against"] += returning
                self.note("relapse report", name, returning)
            if self.rng.random() < 0.05:
                odd = [[self.rng.randrange(1, 12), self.rng.choice(("", *CLASSES))] for _ in range(5)]
                found["against"] += odd
                found["good"] += odd[:2]
                self.note("odd report", name, odd)
            moment = self.now + WALL_OFFSET_SECONDS
            self.coordinator.on_endpoint_list(name, found["servers"], zones_from_message(found["zones"]))
            probes = probes_from_message(found["trials"])
            against, good = keys_from_message(found["against"]), keys_from_message(found["good"])
            self.coordinator.on_report(name, against, good, probes, moment)
            self.threshold.on_report(name, found["pressure"], moment)

    def returning_backends(self) -> list[list[Any]]:
        entries = self.coordinator.ejections.items()
        return [list(key) for key, entry in entries if entry.state.value == "returning" and key[0] != ZONE]

    def decide(self) -> None:
        moment = self.now + WALL_OFFSET_SECONDS
        before = self.states
        for key in self.coordinator.tick(moment):
            self.trace.actions["opened"] += 1
            self.trace.actions["opened zone"] += key[0] == ZONE
            self.lines.append(json.dumps(["opened", key]))
        after = self.states = {key: entry.state.value for key, entry in self.coordinator.ejections.items()}
        for key in sorted(before.keys() | after.keys()):
            if before.get(key) != after.get(key):
                self.trace.actions[f"{before.get(key)} to {after.get(key)}"] += 1
        self.lines.append(json.dumps(["invalid", self.coordinator.invalid_reports]))
        self.threshold.tick(moment)
        level, pressure = round(self.threshold.value, 9), round(self.threshold.pressure, 9)
        self.trace.actions["threshold above 0"] += level > 0.0
        self.lines.append(json.dumps(["threshold", level, pressure]))
        for name in (*self.names, "stranger"):
            rows = json.loads(json.dumps([message_of(one) for one in self.coordinator.ejections_for(name, moment)]))
            self.trace.actions["row"] += len(rows)
            self.trace.actions["probe permit"] += sum(row[3] > 0 for row in rows)
            self.lines.append(json.dumps([name, rows]))
            if name in self.members and self.rng.random() < 0.9:
                self.members[name].ejections.on_ejections(ejections_from_message(rows), self.now, moment)
                self.members[name].shedder.on_threshold(round(self.threshold.value, 3), self.now, moment)


@pytest.mark.parametrize(
    ("seed", "names", "recorded"), [(31, LARGE_FLEET, "outliers"), (32, SMALL_FLEET, "outliers-small-fleet")]
)
def test_ejections_and_threshold_match_the_recorded_trace_when_backends_and_members_fail_and_recover(
    seed: int, names: tuple[str, ...], recorded: str
) -> None:
    Run(seed, names).play().check(recorded)
