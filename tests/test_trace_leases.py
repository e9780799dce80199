"""The lease issuer, its holders, ledger and table, held to digests of seeded runs in virtual time.

Members join, die, fall silent, sleep, hand over to a next life and change what they ask for; messages between them and
the issuer are late, lost or come twice; the issuer dies around the write of its table, or cannot write it, and another
goes on from what is in the file, which may be damaged. Traced are all messages in their wire form, the table in its
file's form, and the amounts in force.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from math import inf, nan
from pathlib import Path
from typing import Any

import pytest

from tests.trace_digest import TraceDigest
from thymeflow.leases import grant_file
from thymeflow.leases.errors import OverAllocationError
from thymeflow.leases.holder import Allocation, LeaseHolder, allocation_from_message, message_of
from thymeflow.leases.issuer import HolderState, Write
from thymeflow.leases.ledger import Ledger
from thymeflow.leases.resources import Resource, base_amount, divide_by_demand

NAMES = ("m0", "m1", "m2", "m3", "m4")
FLEET = "fleet"
START_SECONDS = 1000.0
STEPS = 1500
Message = dict[str, Any]


# Builders: the only places that know the names of the code under test.

STATE_LABELS = {
    HolderState.ABSENT: "absent",
    HolderState.NOT_REPORTING: "unheard",
    HolderState.ACKNOWLEDGED: "held",
    HolderState.GRANT_PENDING: "asked",
}
KIND_COUNT = len(Resource)


def new_ledger(whole: int) -> Ledger:
    """A ledger of so much."""
    return Ledger(whole)


def ledger_steps(ledger: Ledger) -> dict[str, Callable[[str, int, int, float, float], None]]:
    """What may happen to a ledger, by label; each takes holder, number, amount, end and the time."""
    return {
        "grant": lambda holder, number, amount, end, now: ledger.grant(holder, number, amount, end, now),
        "acknowledge": lambda holder, number, amount, end, now: ledger.acknowledge(holder, number),
        "dead": lambda holder, number, amount, end, now: ledger.release(holder),
    }


def ledger_view(ledger: Ledger, holders: str, now: float) -> list[Any]:
    """What is free, and for each holder what is out and its last grant."""
    return [ledger.free(now), [[ledger.outstanding(h, now), ledger.newest_amount(h)] for h in holders]]


def is_over_whole(call: Callable[[], None]) -> bool:
    """Whether the ledger refuses a step as more than the whole."""
    try:
        call()
    except OverAllocationError:
        return True
    return False


class Member:
    """A member's processes, the newest last; each holds an allocation."""

    def __init__(self) -> None:
        self.lives: list[LeaseHolder] = []
        self.asleep = False
        self.demand = [1.0] * KIND_COUNT

    def start(self, message: Message) -> None:
        """Start a process with this allocation."""
        self.lives = [LeaseHolder(allocation_from_message(message))]

    def hand_over(self) -> None:
        """Start a next life, which takes the allocation over."""
        self.lives.append(LeaseHolder(self.lives[-1].hand_over()))

    def hand_back(self) -> None:
        """End the next life again; the one before uses the allocation under a number of its own."""
        self.lives.pop()
        last = self.lives[-1]
        last.allocation = Allocation(last.allocation.epoch, last.allocation.number)
        last.take_back()

    def offer(self, message: Message) -> bool:
        """Hand in a grant; whether it is taken."""
        return self.lives[-1].on_grant(allocation_from_message(message))

    def message(self) -> Message:
        """What the member reports."""
        return message_of(self.lives[-1].allocation)

    def in_force(self, now: float) -> list[int]:
        """Amounts that the member's processes may use, by kind."""
        return [sum(life.usable_amount(kind, now) for life in self.lives) for kind in Resource]


class Issuer:
    """The lease issuer with its table in a file."""

    def __init__(self, path: Path, now: float, living: bool) -> None:
        self.path = path
        self.issuer, fault = grant_file.read(path, FLEET, now, living)
        self.is_faulty = bool(fault)

    def set_size(self, size: int) -> None:
        """Set how many members the fleet is to have."""
        self.issuer.resize(size)

    def start_member(self, name: str, now: float) -> Message:
        """The allocation that a new process of that name starts with."""
        if STATE_LABELS[self.issuer.record_of(name).state] in ("held", "asked"):
            self.issuer.on_disconnected(name)
        part, _ = self.issuer.on_starting(name, now)
        self.write_file()
        return message_of(part)

    def on_report(self, name: str, message: Message, demand: tuple[float, ...], now: float) -> None:
        """Take in what a member reports."""
        self.issuer.on_report(name, allocation_from_message(message), demand, now)

    def on_disconnected(self, name: str) -> None:
        """The connection to a member has ended."""
        self.issuer.on_disconnected(name)

    def on_dead(self, name: str) -> None:
        """A member's processes have all ended."""
        self.issuer.on_death(name)

    def tick(self, now: float, write: str) -> list[tuple[str, Any]]:
        """Divide; grants that may go out, and versions to write, which are written, fail, or are left undone."""
        done: list[tuple[str, Any]] = []
        for action in self.issuer.tick(now):
            if not isinstance(action, Write):
                done.append((action.holder, message_of(action.allocation)))
                continue
            done.append(("write", action.version))
            if write == "fails":
                self.issuer.on_write_failed(action.version)
            elif write == "done":
                self.write_file()
                sends = self.issuer.on_written(action.version)
                done.extend((send.holder, message_of(send.allocation)) for send in sends)
        return done

    def write_file(self) -> None:
        """Write the table."""
        self.path.write_bytes(grant_file.pack(self.issuer, FLEET))

    def view(self, now: float) -> list[Any]:
        """Rows and what is out and free of each kind."""
        ledgers = (*self.issuer.base, *self.issuer.leased)
        rows = [
            [
                name,
                STATE_LABELS[row.state],
                row.number,
                row.base,
                row.lease,
                row.lease_ends_at,
                list(row.reported),
                list(row.demand),
            ]
            for name, row in sorted(self.issuer.records.items())
        ]
        out = [[ledger.outstanding(name, now) for ledger in ledgers] for name in sorted(self.issuer.records)]
        return [self.issuer.epoch, rows, out, [ledger.free(now) for ledger in ledgers]]


def is_rejected(message: Any) -> bool:
    """Whether an allocation's wire form is rejected."""
    try:
        allocation_from_message(message)
    except ValueError:
        return True
    return False


# The run.


def file_content(path: Path) -> Any:
    """The table's file without what tells this boot of the machine from others."""
    if not path.exists():
        return None
    try:
        found = json.loads(path.read_bytes().partition(b"\n")[2])
    except ValueError:
        return "damaged"
    del found["boot"]
    return found


class Run:
    """One seeded run of a fleet; what happens is drawn at each step."""

    def __init__(self, seed: int, path: Path) -> None:
        self.rng, self.path, self.now = random.Random(seed), path, START_SECONDS
        self.trace = TraceDigest()
        self.members = {name: Member() for name in NAMES}
        self.issuer: Issuer | None = Issuer(path, self.now, False)
        self.down: list[tuple[float, str, Message]] = []
        self.up: list[tuple[float, str, Message, list[float]]] = []
        self.lines: list[str] = []

    def play(self) -> TraceDigest:
        """Play all steps; the trace."""
        choices: dict[str, tuple[float, Callable[[], None]]] = {
            "tick": (30, self.tick),
            "report": (60, self.report),
            "start": (6, self.start),
            "die": (1.5, self.die),
            "disconnect": (1, self.disconnect),
            "sleep": (1.5, self.sleep),
            "hand_over": (1, self.hand_over),
            "demand": (4, self.change_demand),
            "resize": (1, self.resize),
            "stranger": (1.5, self.stranger),
            "issuer_dies": (0.7, self.issuer_dies),
        }
        labels, weights = list(choices), [weight for weight, _ in choices.values()]
        for _ in range(STEPS):
            self.now = round(self.now + self.rng.choice((0.02, 0.05, 0.1, 0.1, 0.2)), 6)
            self.lines = []
            if self.issuer is None and self.rng.random() < 0.3:
                self.take_over()
            self.deliver()
            label = self.rng.choices(labels, weights)[0]
            self.note(label)
            choices[label][1]()
            self.observe()
            self.trace.add_step("\n".join(self.lines))
        return self.trace

    def note(self, event: str, *values: Any) -> None:
        """Write down one event."""
        self.trace.events[event] += 1
        self.lines.append(json.dumps([event, *values]))

    def observe(self) -> None:
        """Write down all that is in force."""
        force = {name: member.in_force(self.now) for name, member in self.members.items()}
        self.lines.append(json.dumps([f"{self.now:.6f}", force, self.issuer and self.issuer.view(self.now)]))

    def pick(self, alive: bool) -> str | None:
        """A member that runs, or one that does not."""
        found = [name for name, member in self.members.items() if bool(member.lives) is alive]
        return self.rng.choice(found) if found else None

    # Messages.

    def post(self, name: str, message: Message) -> None:
        copies = self.rng.choices((0, 1, 2), (8, 85, 7))[0]
        for _ in range(copies):
            delay = self.rng.choice((0.0, 0.05, 0.3, 1.5)) if self.rng.random() < 0.3 else 0.01
            self.down.append((self.now + delay, name, message))

    def deliver(self) -> None:
        due = [item for item in self.down if item[0] <= self.now]
        self.down = [item for item in self.down if item[0] > self.now]
        for _, name, message in due:
            member = self.members.get(name)
            if member and member.lives and not member.asleep:
                self.note("grant_arrives", name, message["number"], member.offer(message))
        reports = [item for item in self.up if item[0] <= self.now]
        self.up = [item for item in self.up if item[0] > self.now]
        for _, name, message, demand in reports:
            if self.issuer is not None and self.members[name].lives:
                self.note("report_arrives", name, message, demand)
                self.issuer.on_report(name, message, tuple(demand), self.now)

    def report(self) -> None:
        for name, member in self.members.items():
            if member.lives and not member.asleep and self.rng.random() < 0.9:
                late = self.rng.choice((0.1, 0.8)) if self.rng.random() < 0.1 else 0.0
                self.up.append((self.now + late, name, member.message(), list(member.demand)))

    def stranger(self) -> None:
        if self.issuer is None:
            return
        era, number = self.issuer.view(self.now)[0] + self.rng.choice((-1, 0, 0, 5)), self.rng.randrange(300)
        amounts = [self.rng.choice((0, 1000, 400_000, 1_000_000)) for _ in range(KIND_COUNT)]
        claim = {"era": era, "number": number, "base": amounts, "lease": amounts[::-1], "end": self.now + 3.0}
        name = self.rng.choice(("x0", "x1", "m0"))
        demand = self.rng.choice(((), (nan,) * KIND_COUNT, (inf,) * KIND_COUNT, (2.0,) * KIND_COUNT))
        self.note("claim", name, claim, [str(amount) for amount in demand])
        # What is not a number stays with the row, so that division has to bear it.
        self.issuer.on_report(name, claim, demand, self.now)

    # The issuer.

    def tick(self) -> None:
        if self.issuer is None:
            return
        write = self.rng.choices(("done", "fails"), (95, 5))[0]
        for name, message in self.issuer.tick(self.now, write):
            self.trace.actions["write" if name == "write" else "grant"] += 1
            self.lines.append(json.dumps([name, message]))
            if name == "write":
                self.lines.append(json.dumps([write, file_content(self.path)]))
            else:
                self.post(name, message)

    def issuer_dies(self) -> None:
        if self.issuer is None:
            return
        dies = self.rng.choice(("between", "before the write", "after the write"))
        if dies != "between":
            found = self.issuer.tick(self.now, "left")
            self.lines.append(json.dumps([dies, found]))
            if dies == "after the write" and any(name == "write" for name, _ in found):
                self.issuer.write_file()
        self.issuer = None
        damage = self.rng.random()
        if damage < 0.15:
            self.path.write_bytes(self.path.read_bytes()[:-2])
        elif damage < 0.25:
            self.path.unlink()

    def take_over(self) -> None:
        living = any(member.lives for member in self.members.values())
        self.issuer = Issuer(self.path, self.now, living)
        self.issuer.set_size(len(NAMES))
        self.note("take_over", living, self.issuer.is_faulty, file_content(self.path))
        for name, member in self.members.items():
            if not member.lives:
                self.issuer.on_dead(name)
        self.issuer.write_file()

    def resize(self) -> None:
        if self.issuer is not None:
            self.issuer.set_size(self.rng.randrange(7))

    # Members.

    def start(self) -> None:
        name = self.pick(alive=False)
        if name is None or self.issuer is None:
            return
        message = self.issuer.start_member(name, self.now)
        self.members[name].start(message)
        self.members[name].asleep = False
        self.note("started", name, message, file_content(self.path))

    def die(self) -> None:
        name = self.pick(alive=True)
        if name is None:
            return
        self.note("died", name)
        self.members[name].lives = []
        self.up = [item for item in self.up if item[1] != name]
        if self.issuer is not None:
            self.issuer.on_dead(name)

    def disconnect(self) -> None:
        name = self.pick(alive=True)
        if name is not None and self.issuer is not None:
            self.note("disconnected", name)
            self.issuer.on_disconnected(name)

    def sleep(self) -> None:
        name = self.pick(alive=True)
        if name is not None:
            self.members[name].asleep = not self.members[name].asleep
            self.note("asleep", name, self.members[name].asleep)

    def hand_over(self) -> None:
        name = self.pick(alive=True)
        if name is None:
            return
        member = self.members[name]
        back = len(member.lives) > 1
        if back:
            member.hand_back()
        else:
            member.hand_over()
        self.note("handed", name, back, member.message())

    def change_demand(self) -> None:
        member = self.members[self.rng.choice(NAMES)]
        member.demand = [
            round(self.rng.choice((0.0, 1.0, 5.0, 90.0)) * self.rng.random(), 3) for _ in range(KIND_COUNT)
        ]


@pytest.fixture
def lease_run(tmp_path: Path) -> TraceDigest:
    """A run of a fleet of five."""
    return Run(21, tmp_path / "fleet.grants").play()


def test_messages_and_amounts_match_the_recorded_trace_when_members_and_issuers_come_and_go(
    lease_run: TraceDigest,
) -> None:
    lease_run.check("leases")


def test_ledger_sums_match_the_recorded_trace_when_grants_are_acknowledged_end_or_are_too_large() -> None:
    rng, trace, now = random.Random(22), TraceDigest(), START_SECONDS
    ledger = new_ledger(100)
    steps = ledger_steps(ledger)
    for number in range(1200):
        now = round(now + rng.choice((0.0, 0.1, 0.9)), 6)
        label = rng.choices(("grant", "acknowledge", "dead"), (12, 5, 1))[0]
        holder, amount = rng.choice("abcd"), rng.choice((-1, 0, 10, 25, 40, 101))
        step_number = number - rng.choice((0, 0, 1, 3))
        end = inf if rng.random() < 0.1 else now + rng.choice((0.5, 2.0, 2.0, 4.0))

        def step(
            label: str = label, holder: str = holder, of: int = step_number, amount: int = amount, end: float = end
        ) -> None:
            steps[label](holder, of, amount, end, now)  # noqa: B023 - called at once

        over = is_over_whole(step)
        trace.events[f"{label} too large" if over else label] += 1
        trace.add_step(json.dumps([label, over, ledger_view(ledger, "abcd", now)]))
    trace.check("lease-ledger")


def test_divided_amounts_match_the_recorded_trace_when_demand_is_odd_or_absent() -> None:
    rng, trace = random.Random(23), TraceDigest()
    odd = (0.0, -1.0, inf, -inf, nan, 1e300, 1e-9)
    for _ in range(400):
        demand = {
            f"m{n}": rng.choice(odd) if rng.random() < 0.2 else rng.choice((0.0, 1.0, 100.0)) * rng.random()
            for n in range(rng.randrange(7))
        }
        whole = rng.choice((0, 1, 7, 400_000))
        trace.add_step(json.dumps([divide_by_demand(whole, demand), base_amount(len(demand))]))
    trace.check("lease-division")


def test_the_same_allocations_are_rejected_when_their_wire_form_is_spoilt() -> None:
    good: Message = {"era": 1, "number": 2, "base": [3] * KIND_COUNT, "lease": [4] * KIND_COUNT, "end": 5.0}
    spoilt: list[Any] = [None, [], 7, {}]
    for name in good:
        values: tuple[Any, ...] = (None, -1, 0, True, "1", 1.5, nan, inf, [], [0], [0, 1], [0, 1_000_001], [0, -1])
        spoilt.extend({**good, name: value} for value in (*values, [0, True], [0] * (KIND_COUNT + 1)))
        spoilt.append({key: value for key, value in good.items() if key != name})
    verdicts = "".join("x" if is_rejected(message) else "." for message in spoilt)
    assert verdicts == "xxxxxx.xxxxxxxxxxxxxxx.xxxxxxxxxxxxxxxxxxxxxxx.xxxxxxxxxxxxxxx.xxxxxx..xx.xxxxxxxxxx"
