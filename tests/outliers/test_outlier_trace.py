"""The outlier coordinator, its members and the admission threshold, compared with digests of recorded seeded runs.

Members start, become unresponsive and end. Backends fail for all requests, for one class or as a zone, or are slow, and
recover. Each member is a gateway with the adapters of a fleet. Its reports are sent as JSON to the coordinator and the
threshold, and their decisions are sent back as JSON. The trace contains the reports, the ejections as rows, each state
change, the threshold, and the backend of each attempt. A digest differs if a change of the code changes any of these.
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
from thymeflow.outliers.coordinator import OutlierCoordinator
from thymeflow.outliers.ejection import ZONE, EjectionKey, EjectionState
from thymeflow.outliers.member import MemberEjections
from thymeflow.outliers.messages import (
    ejection_to_row,
    ejections_from_message,
    keys_from_message,
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
MONOTONIC_OFFSET_SECONDS = 5000.0
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
    """A gateway with a fleet's adapters for ejections and load shedding."""

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.gateway = Gateway(settings(zones=("a", "b"), classes=(SAFE, UNSAFE), plans=PLANS), LARGE_FLEET.index(name))
        self.gateway.handle(now, EndpointsChanged(EndpointListKind.CACHED, fleet(BACKEND_COUNT)))
        self.ejections = MemberEjections(self.gateway)
        self.shedder = LoadShedder(self.gateway)
        self.gateway.set_fleet_bounds(member_bounds(self.ejections, self.shedder))
        self.attempts: list[Attempt] = []
        self.numbers: Counter[str] = Counter()
        self.is_unresponsive = False

    def report(self, now: float) -> dict[str, Any]:
        """Return the member's report after it was written as JSON and read again."""
        report: dict[str, Any] = json.loads(json.dumps(self.ejections.report(now)))
        return report


class OutlierRun:
    """One seeded run of a fleet; each step samples faults, changes of members and requests."""

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

    def run(self) -> TraceDigest:
        """Run all steps and return the trace."""
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

    def trace_event(self, event: str, *values: Any) -> None:
        """Add an event to the trace."""
        self.trace.events[event] += 1
        self.lines.append(json.dumps([event, *values]))

    def change_faults(self) -> None:
        backend = self.rng.randrange(1, BACKEND_COUNT + 1)
        chance = self.rng.random()
        if chance < 0.01:
            self.faults[backend] = self.rng.choice(FAULTS)
            self.trace_event("fault", backend, self.faults[backend])
        elif chance < 0.013:
            self.faults.update(dict.fromkeys(range(1, BACKEND_COUNT, 2), "error"))
            self.trace_event("zone fault")
        elif chance < 0.016:
            self.faults.update(dict.fromkeys(range(1, BACKEND_COUNT + 1), "slow"))
            self.trace_event("all slow")
        elif chance < 0.03:
            self.faults.clear()
            self.cut_off.clear()
            self.trace_event("recovery")
        elif chance < 0.034:
            self.cut_off.add((self.rng.choice(self.names), backend))
            self.trace_event("cut off", sorted(self.cut_off))
        recovering = [
            key for key, record in self.coordinator.ejections.items() if record.state is EjectionState.RECOVERING
        ]
        if recovering and self.rng.random() < 0.06:
            number, zone = self.rng.choice(sorted(recovering))
            failing = range(1, BACKEND_COUNT, 2) if zone == "a" else range(2, BACKEND_COUNT + 1, 2)
            self.faults.update(dict.fromkeys(failing if number == ZONE else (number,), "error"))
            self.trace_event("relapse", number, zone)

    def change_members(self) -> None:
        name = self.rng.choice(self.names)
        chance = self.rng.random()
        if chance < 0.012:
            self.trace_event("member gone" if self.members.pop(name, None) else "unknown member gone", name)
            self.coordinator.on_member_gone(name)
            self.threshold.on_member_gone(name)
        elif chance < 0.05 and name not in self.members:
            self.members[name] = Member(name, self.now)
            self.trace_event("member starts", name)
        elif chance < 0.07 and name in self.members:
            self.members[name].is_unresponsive = not self.members[name].is_unresponsive
            self.trace_event("silence", name, self.members[name].is_unresponsive)

    # Requests.

    def serve(self, member: Member) -> None:
        timers = [number for number, (kind, _) in member.gateway.timers.items() if kind is TimerKind.TICK]
        for number in timers:
            self.start(member, member.gateway.handle(self.now, TimerFired(number)), "")
        ended_attempts = [attempt for attempt in member.attempts if attempt.ends_at <= self.now]
        member.attempts = [attempt for attempt in member.attempts if attempt.ends_at > self.now]
        for attempt in ended_attempts:
            self.end(member, attempt)
        for _ in range(self.rng.randrange(4)):
            self.request_count += 1
            name = f"r{self.request_count}"
            class_name = self.rng.choice(CLASSES)
            plan = self.rng.choice(PLANS).name
            customer = f"{self.rng.randrange(200):016x}"
            event = request(name, 0.1, class_name=class_name, plan=plan, customer=customer)
            self.start(member, member.gateway.handle(self.now, event), class_name)

    def start(self, member: Member, actions: list[Action], class_name: str) -> None:
        for send in sends(actions):
            member.numbers[send.id] += 1
            is_slow = self.faults.get(send.backend) == "slow"
            latency = self.rng.uniform(2.0, 3.0) if is_slow else self.rng.uniform(0.02, 0.3)
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
            if member.is_unresponsive:
                continue
            report = member.report(self.now)
            self.trace_event("report", name, report)
            self.trace.events["failed probe"] += list(report["trials"].values()).count(False)
            if (recovering := self.recovering_backends()) and self.rng.random() < 0.3:
                report["against"] += recovering
                self.trace_event("relapse report", name, recovering)
            if self.rng.random() < 0.05:
                random_rows = [[self.rng.randrange(1, 12), self.rng.choice(("", *CLASSES))] for _ in range(5)]
                report["against"] += random_rows
                report["good"] += random_rows[:2]
                self.trace_event("odd report", name, random_rows)
            monotonic_now = self.now + MONOTONIC_OFFSET_SECONDS
            self.coordinator.on_endpoint_list(name, report["servers"], zones_from_message(report["zones"]))
            probe_results = probes_from_message(report["trials"])
            ejecting = keys_from_message(report["against"])
            responding = keys_from_message(report["good"])
            self.coordinator.on_report(name, ejecting, responding, probe_results, monotonic_now)
            self.threshold.on_report(name, report["pressure"], monotonic_now)

    def recovering_backends(self) -> list[list[Any]]:
        return [
            list(key)
            for key, record in self.coordinator.ejections.items()
            if record.state is EjectionState.RECOVERING and not key.is_zone()
        ]

    def decide(self) -> None:
        monotonic_now = self.now + MONOTONIC_OFFSET_SECONDS
        previous = self.states
        for key in self.coordinator.tick(monotonic_now):
            self.trace.actions["opened"] += 1
            self.trace.actions["opened zone"] += key[0] == ZONE
            self.lines.append(json.dumps(["opened", key]))
        self.states = {key: record.state.value for key, record in self.coordinator.ejections.items()}
        for key in sorted(previous.keys() | self.states.keys()):
            if previous.get(key) != self.states.get(key):
                self.trace.actions[f"{previous.get(key)} to {self.states.get(key)}"] += 1
        self.lines.append(json.dumps(["invalid", self.coordinator.invalid_reports]))
        self.threshold.tick(monotonic_now)
        threshold = round(self.threshold.value, 9)
        self.trace.actions["threshold above 0"] += threshold > 0.0
        self.lines.append(json.dumps(["threshold", threshold, round(self.threshold.pressure, 9)]))
        for name in (*self.names, "stranger"):
            ejections = self.coordinator.build_ejections(name, monotonic_now)
            rows = json.loads(json.dumps([ejection_to_row(ejection) for ejection in ejections]))
            self.trace.actions["row"] += len(rows)
            self.trace.actions["probe permit"] += sum(row[3] > 0 for row in rows)
            self.lines.append(json.dumps([name, rows]))
            if name in self.members and self.rng.random() < 0.9:
                self.members[name].ejections.on_ejections(ejections_from_message(rows), self.now, monotonic_now)
                self.members[name].shedder.on_threshold(round(self.threshold.value, 3), self.now, monotonic_now)


@pytest.mark.parametrize(
    ("seed", "names", "recorded"), [(31, LARGE_FLEET, "outliers"), (32, SMALL_FLEET, "outliers-small-fleet")]
)
def test_ejections_and_threshold_match_the_recorded_trace_when_backends_and_members_fail_and_recover(
    seed: int, names: tuple[str, ...], recorded: str
) -> None:
    OutlierRun(seed, names).run().check(recorded)
