"""A seeded and traced run of a lease issuer with its members in virtual time.

Members join, end, become unresponsive, are stopped, hand over to a successor and change their demand. Messages between
members and the issuer are late, lost or duplicated. The issuer dies shortly before or after the write of its grant
file, or cannot write it; the next issuer continues from the file, which may be damaged. The trace contains all messages
as they are sent, the grant file as it is stored, and the amounts in force.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from math import inf, nan
from pathlib import Path
from typing import Any

from tests.leases.traced_fleet import RESOURCE_COUNT, Issuer, Member, Message
from tests.trace_digest import TraceDigest

NAMES = ("m0", "m1", "m2", "m3", "m4")
START_SECONDS = 1000.0
STEPS = 1500


def read_grant_file(path: Path) -> Any:
    """Return the grant file's JSON without the boot identifier; None if the file is missing, "damaged" if it is."""
    if not path.exists():
        return None
    try:
        content = json.loads(path.read_bytes().partition(b"\n")[2])
    except ValueError:
        return "damaged"
    del content["boot"]
    return content


class LeaseRun:
    """One seeded run of a fleet; each step samples the next event."""

    def __init__(self, seed: int, path: Path) -> None:
        self.rng = random.Random(seed)
        self.path = path
        self.now = START_SECONDS
        self.trace = TraceDigest()
        self.members = {name: Member() for name in NAMES}
        self.issuer: Issuer | None = Issuer(path, self.now, False)
        self.to_members: list[tuple[float, str, Message]] = []
        self.to_issuer: list[tuple[float, str, Message, list[float]]] = []
        self.lines: list[str] = []

    def run(self) -> TraceDigest:
        """Run all steps and return the trace."""
        choices: dict[str, tuple[float, Callable[[], None]]] = {
            "tick": (30, self.tick),
            "report": (60, self.report),
            "start": (6, self.start_member),
            "die": (1.5, self.kill_member),
            "disconnect": (1, self.disconnect_member),
            "sleep": (1.5, self.stop_or_continue_member),
            "hand_over": (1, self.hand_over),
            "demand": (4, self.change_demand),
            "resize": (1, self.resize),
            "stranger": (1.5, self.report_from_stranger),
            "issuer_dies": (0.7, self.kill_issuer),
        }
        labels = list(choices)
        weights = [weight for weight, _ in choices.values()]
        for _ in range(STEPS):
            self.now = round(self.now + self.rng.choice((0.02, 0.05, 0.1, 0.1, 0.2)), 6)
            self.lines = []
            if self.issuer is None and self.rng.random() < 0.3:
                self.start_next_issuer()
            self.deliver()
            label = self.rng.choices(labels, weights)[0]
            self.trace_event(label)
            choices[label][1]()
            self.observe()
            self.trace.add_step("\n".join(self.lines))
        return self.trace

    def trace_event(self, event: str, *values: Any) -> None:
        """Add an event to the trace."""
        self.trace.events[event] += 1
        self.lines.append(json.dumps([event, *values]))

    def observe(self) -> None:
        """Add the time, the amounts in force and the issuer's state to the trace."""
        in_force = {name: member.in_force(self.now) for name, member in self.members.items()}
        self.lines.append(json.dumps([f"{self.now:.6f}", in_force, self.issuer and self.issuer.view(self.now)]))

    def choose_member(self, is_running: bool) -> str | None:
        """Return a random member that runs, or one that does not run; None if there is no such member."""
        names = [name for name, member in self.members.items() if bool(member.holders) is is_running]
        return self.rng.choice(names) if names else None

    # Messages.

    def send_to_member(self, name: str, message: Message) -> None:
        copies = self.rng.choices((0, 1, 2), (8, 85, 7))[0]
        for _ in range(copies):
            delay = self.rng.choice((0.0, 0.05, 0.3, 1.5)) if self.rng.random() < 0.3 else 0.01
            self.to_members.append((self.now + delay, name, message))

    def deliver(self) -> None:
        arrived = [item for item in self.to_members if item[0] <= self.now]
        self.to_members = [item for item in self.to_members if item[0] > self.now]
        for _, name, message in arrived:
            member = self.members.get(name)
            if member and member.holders and not member.is_stopped:
                self.trace_event("grant_arrives", name, message["number"], member.on_grant(message))
        reports = [item for item in self.to_issuer if item[0] <= self.now]
        self.to_issuer = [item for item in self.to_issuer if item[0] > self.now]
        for _, name, message, demand in reports:
            if self.issuer is not None and self.members[name].holders:
                self.trace_event("report_arrives", name, message, demand)
                self.issuer.on_report(name, message, tuple(demand), self.now)

    def report(self) -> None:
        for name, member in self.members.items():
            if member.holders and not member.is_stopped and self.rng.random() < 0.9:
                delay = self.rng.choice((0.1, 0.8)) if self.rng.random() < 0.1 else 0.0
                self.to_issuer.append((self.now + delay, name, member.message(), list(member.demand)))

    def report_from_stranger(self) -> None:
        if self.issuer is None:
            return
        epoch = self.issuer.view(self.now)[0] + self.rng.choice((-1, 0, 0, 5))
        number = self.rng.randrange(300)
        amounts = [self.rng.choice((0, 1000, 400_000, 1_000_000)) for _ in range(RESOURCE_COUNT)]
        message = {"era": epoch, "number": number, "base": amounts, "lease": amounts[::-1], "end": self.now + 3.0}
        name = self.rng.choice(("x0", "x1", "m0"))
        demand = self.rng.choice(((), (nan,) * RESOURCE_COUNT, (inf,) * RESOURCE_COUNT, (2.0,) * RESOURCE_COUNT))
        self.trace_event("claim", name, message, [str(amount) for amount in demand])
        # The issuer stores NaN and infinite demand, so its division has to handle such values in later ticks.
        self.issuer.on_report(name, message, demand, self.now)

    # The issuer.

    def tick(self) -> None:
        if self.issuer is None:
            return
        write = self.rng.choices(("done", "fails"), (95, 5))[0]
        for name, message in self.issuer.tick(self.now, write):
            self.trace.actions["write" if name == "write" else "grant"] += 1
            self.lines.append(json.dumps([name, message]))
            if name == "write":
                self.lines.append(json.dumps([write, read_grant_file(self.path)]))
            else:
                self.send_to_member(name, message)

    def kill_issuer(self) -> None:
        if self.issuer is None:
            return
        moment_of_death = self.rng.choice(("between", "before the write", "after the write"))
        if moment_of_death != "between":
            actions = self.issuer.tick(self.now, "left")
            self.lines.append(json.dumps([moment_of_death, actions]))
            if moment_of_death == "after the write" and any(name == "write" for name, _ in actions):
                self.issuer.write_file()
        self.issuer = None
        damage = self.rng.random()
        if damage < 0.15:
            self.path.write_bytes(self.path.read_bytes()[:-2])
        elif damage < 0.25:
            self.path.unlink()

    def start_next_issuer(self) -> None:
        has_members = any(member.holders for member in self.members.values())
        self.issuer = Issuer(self.path, self.now, has_members)
        self.issuer.set_size(len(NAMES))
        self.trace_event("take_over", has_members, self.issuer.is_faulty, read_grant_file(self.path))
        for name, member in self.members.items():
            if not member.holders:
                self.issuer.on_death(name)
        self.issuer.write_file()

    def resize(self) -> None:
        if self.issuer is not None:
            self.issuer.set_size(self.rng.randrange(7))

    # Members.

    def start_member(self) -> None:
        name = self.choose_member(is_running=False)
        if name is None or self.issuer is None:
            return
        message = self.issuer.start_member(name, self.now)
        self.members[name].start(message)
        self.members[name].is_stopped = False
        self.trace_event("started", name, message, read_grant_file(self.path))

    def kill_member(self) -> None:
        name = self.choose_member(is_running=True)
        if name is None:
            return
        self.trace_event("died", name)
        self.members[name].holders = []
        self.to_issuer = [item for item in self.to_issuer if item[1] != name]
        if self.issuer is not None:
            self.issuer.on_death(name)

    def disconnect_member(self) -> None:
        name = self.choose_member(is_running=True)
        if name is not None and self.issuer is not None:
            self.trace_event("disconnected", name)
            self.issuer.on_disconnected(name)

    def stop_or_continue_member(self) -> None:
        name = self.choose_member(is_running=True)
        if name is not None:
            self.members[name].is_stopped = not self.members[name].is_stopped
            self.trace_event("asleep", name, self.members[name].is_stopped)

    def hand_over(self) -> None:
        name = self.choose_member(is_running=True)
        if name is None:
            return
        member = self.members[name]
        is_successor_running = len(member.holders) > 1
        if is_successor_running:
            member.hand_back()
        else:
            member.hand_over()
        self.trace_event("handed", name, is_successor_running, member.message())

    def change_demand(self) -> None:
        member = self.members[self.rng.choice(NAMES)]
        member.demand = [
            round(self.rng.choice((0.0, 1.0, 5.0, 90.0)) * self.rng.random(), 3) for _ in range(RESOURCE_COUNT)
        ]
