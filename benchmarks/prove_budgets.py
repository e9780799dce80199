"""`make prove-budgets`: what a fleet may do, divided among twelve real members, through forty faults under load.

The sums are read from the grant table on the disk, which allows for all that can be in force, not from members' words.
Then the fleet is scaled to 24, to 4 and back, eight of twelve are killed at once, and it is measured each time how soon
those that are there hold the whole. Twelve of the platform's run line follow, with a relay on every link and customers
that ask three times their quotas; what reached the stand-in servers is held to the one true store of each customer,
first with the counter up and faults on links and processes, then with all killed. Last, the minds are explored, and
each of their rules is left out. FULL=1 plays four times as many faults. Broken on purpose, this has to fail: BREAK=free
lets the granter grant what is not free, and BREAK=demand divides units by demand and belief.
"""

from __future__ import annotations

import contextlib
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import LoopingCall

from thymeflow.leases import grant_file
from thymeflow.leases.resources import TOTAL_POINTS, Resource
from thymeflow.testkit.async_steps import Steps, reactor, sleep
from thymeflow.testkit.fakes import Customer, World
from thymeflow.testkit.fakes.site import CLASSES, PLANS
from thymeflow.testkit.faults.cluster import Rig
from thymeflow.testkit.faults.fleet_cluster import Fleet
from thymeflow.testkit.faults.invariants import got, judged
from thymeflow.testkit.faults.quota_checks import firsts, worst
from thymeflow.testkit.faults.schedule import Do, Link, Schedule, Step, Way
from thymeflow.testkit.lease_model import RULES, Model, caught
from thymeflow.testkit.model_checker import explored

FULL, BREAK = os.environ.get("FULL") == "1", os.environ.get("BREAK", "")
MEMBERS, VICTIMS = 12, 8
FAULTS = 160 if FULL else 40
PACE = 0.5  # s between faults
LONGEST_STOP = 5.0  # s
REGAINED = 5.0  # s: in which survivors have to hold what LEAST says
LEAST = 90.0  # percent of the whole
DEPTH = 6 if FULL else 5
PATIENCE = 60.0  # s: for a fleet to be ready
UP, RESTARTS = 105.0, 110.0  # percent of the one true store that a customer may get: counter up, through restarts
KILLED = 15.0  # s: when all of the run line are killed
BROKEN = (
    "import sys; from thymeflow.leases.ledger import Ledger; Ledger.free = lambda self, now: self.total; "
    "from thymeflow.cli import run; sys.exit(run())"
)


def run_line() -> Schedule:
    """Twelve of the platform's run line through faults on links and processes, and through two restarts."""
    all_of, some, others = tuple(range(MEMBERS)), (0, 3, 6, 9), (1, 4, 7)
    steps = [
        Step(1.0, Do.STOP, (2, 5)),
        Step(4.0, Do.GO_ON, (2, 5)),
        Step(2.0, Do.SILENCE, some, Link.COUNTER),
        Step(5.0, Do.HEAL, some, Link.COUNTER),
        Step(3.0, Do.DELAY, others, Link.COUNTER, amount=0.2),
        Step(7.0, Do.HEAL, others, Link.COUNTER),
        Step(6.0, Do.SILENCE, some, Link.COUNTER, Way.IN),
        Step(8.0, Do.HEAL, some, Link.COUNTER),
        Step(8.5, Do.CUT, others, Link.COUNTER),
        Step(10.0, Do.HEAL, others, Link.COUNTER),
        Step(9.0, Do.STALL, some, Link.COUNTER, amount=200),
        Step(11.0, Do.HEAL, some, Link.COUNTER),
        Step(KILLED, Do.KILL, all_of),
        Step(KILLED + 0.05, Do.START, all_of),
        Step(KILLED + 5.0, Do.KILL, all_of[:VICTIMS]),
        Step(KILLED + 6.0, Do.START, all_of[:VICTIMS]),
    ]
    return Schedule(
        limiters=MEMBERS,
        servers=4,
        seconds=KILLED + 11.0,
        seed=23,
        demand=3.0,
        customers=16,
        units="demand" if BREAK == "demand" else "tickets",
        steps=tuple(steps),
    )


class Proof:
    """The run."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="tf-"))
        self.rng = random.Random(23)
        self.world = World(reactor, 7, servers=8)
        self.world.start()
        self.fleet = Fleet(
            self.world, self.folder, MEMBERS, code=BROKEN if BREAK == "free" else "", wait=REGAINED + 2.0
        )
        self.begun, self.most, self.faults, self.looks = time.monotonic(), 0.0, 0, 0
        self.held: dict[str, float] = {}  # percent of the whole by member, of the kind that has least
        self.units = {"fleet": 0.0, "up": 0.0, "restart": 0.0}  # worst customer, percent of the one true store
        self.used = 0.0  # percent of their quotas that customers got while the counter was up
        self.wrong: list[str] = []
        self.customers: list[Customer] = []

    def say(self, text: str) -> None:
        """Progress, with the seconds since the beginning."""
        print(f"{time.monotonic() - self.begun:6.1f} s  {text}", flush=True)

    def look(self) -> None:
        """Read the table as it is on the disk now."""
        with contextlib.suppress(OSError):
            data = (self.fleet.state / "fleet.grants").read_bytes()
            try:
                found = grant_file.unpack(data, "n")
            except grant_file.GrantFileError as fault:
                self.wrong.append(f"the table on the disk: {fault}")
                return
            self.looks += 1
            kinds = range(len(Resource))
            sums = [sum(r.noted[k] + r.noted[k + len(Resource)] for r in found.rows.values()) for k in kinds]
            self.most = max(self.most, *(100.0 * s / TOTAL_POINTS for s in sums))
            self.held = {
                h: min(100.0 * (r.noted[k] + r.noted[k + len(Resource)]) / TOTAL_POINTS for k in kinds)
                for h, r in found.rows.items()
            }

    @inlineCallbacks
    def fault(self) -> Steps:
        """One of the faults."""
        self.faults += 1
        what = self.rng.choice(["kill", "stop", "stop", "stop", "supervisor", "scale"])
        pids = yield self.fleet.pids()
        if what == "supervisor" or not pids:
            self.fleet.kill_supervisor()
            self.fleet.up()
        elif what == "scale":
            count = self.rng.choice([MEMBERS - 3, MEMBERS, MEMBERS + 3])
            self.fleet.order(do="scale", count=count).addErrback(lambda _: None)
        else:
            pid = self.rng.choice(pids)
            self.fleet.signal(pid, signal.SIGKILL if what == "kill" else signal.SIGSTOP)
            if what == "stop":
                reactor.callLater(self.rng.uniform(0.2, LONGEST_STOP), self.fleet.signal, pid, signal.SIGCONT)

    @inlineCallbacks
    def scaled(self, count: int) -> Steps:
        """Another size under load: those that are there then hold the whole soon."""
        self.fleet.order(do="scale", count=count).addErrback(lambda _: None)
        yield self.fleet.ready(count)
        began, members = time.monotonic(), [f"n{n}" for n in range(count)]
        while (share := sum(self.held.get(n, 0.0) for n in members)) < LEAST and time.monotonic() < began + REGAINED:
            yield sleep(0.01)
        self.say(f"{count} members hold {share:.1f}% {time.monotonic() - began:.2f} s after they were ready")
        self.wrong += [f"{count} members hold {share:.1f}% after {REGAINED:g} s"] * (share < LEAST)

    @inlineCallbacks
    def run(self) -> Steps:
        """All of it."""
        self.fleet.up()
        yield self.fleet.ready(MEMBERS)
        LoopingCall(self.look).start(0.01)
        for n in range(36):
            plan = list(PLANS)[n % len(PLANS)]
            demand = 3.0 if n % 3 == 0 and PLANS[plan][0] < 5.0 else 0.7
            self.customers.append(
                Customer(1 + n, plan, demand * PLANS[plan][0], first=n % MEMBERS, spread=3, of=MEMBERS, favourite=0.5)
            )
            self.world.agents.begin(self.customers[-1], CLASSES)
        self.say(f"{MEMBERS} members under load")
        for _ in range(FAULTS):
            yield self.fault()
            yield sleep(PACE)
        yield sleep(LONGEST_STOP)
        yield self.fleet.order(do="scale", count=MEMBERS)
        pids = yield self.fleet.ready(MEMBERS)
        end = time.monotonic() + PATIENCE
        while sum(self.held.values()) < LEAST and time.monotonic() < end:
            yield sleep(0.02)
        self.say(f"{self.faults} faults played; {sum(self.held.values()):.1f}% is held by {len(self.held)} members")
        for count in (2 * MEMBERS, MEMBERS // 3, MEMBERS):
            yield self.scaled(count)
            pids = yield self.fleet.pids()
        for pid in pids[:VICTIMS]:
            self.fleet.signal(pid, signal.SIGKILL)
        killed = time.monotonic()
        survivors = [f"n{n}" for n in range(VICTIMS, MEMBERS)]
        while (share := sum(self.held.get(n, 0.0) for n in survivors)) < LEAST and time.monotonic() < killed + REGAINED:
            yield sleep(0.01)
        regained = time.monotonic() - killed
        self.say(f"{VICTIMS} of {MEMBERS} killed: the others hold {share:.1f}% after {regained:.2f} s")
        self.world.agents.stop()
        yield self.fleet.ready(MEMBERS)
        yield self.fleet.order(do="down")
        quota = {c.name: PLANS[c.plan] for c in self.customers}
        self.units["fleet"] = worst(firsts(self.world.arrivals(), lambda _: True), lambda name: quota[name]).percent
        self.say(f"the worst customer of the fleet got {self.units['fleet']:.1f}% of its quota in a span")
        yield self.run_lines()
        started = time.monotonic()
        found = explored(Model.running(), DEPTH)
        missed = [name for name, rule in RULES.items() if not caught(rule)]
        self.say(f"{found.states} states explored to depth {found.depth} in {time.monotonic() - started:.1f} s")
        self.wrong += [found.fault] * bool(found.fault) + [f"not caught: {name}" for name in missed]
        self.wrong += [f"the sum came to {self.most:.3f}%"] * (self.most > 100.0)
        self.wrong += [f"survivors hold {share:.1f}% after {regained:.1f} s"] * (share < LEAST)
        self.wrong += [
            f"a customer got {percent:.1f}% of its quota: {what}"
            for what, percent in self.units.items()
            if percent > (UP if what == "up" else RESTARTS)
        ]
        for fault in self.wrong[:10]:
            print(f"fault: {fault}")
        print(
            f"prove-budgets: max_sum_pct={self.most:.3f} worst_units_pct_up={self.units['up']:.1f} "
            f"worst_units_pct_restart={max(self.units['restart'], self.units['fleet']):.1f} "
            f"units_used_pct_up={self.used:.1f} used_after_loss_pct={share:.1f} regained_s={regained:.2f} "
            f"faults={self.faults} looks={self.looks} states_explored={found.states} "
            f"broken_caught={len(RULES) - len(missed)}/{len(RULES)}",
            flush=True,
        )

    @inlineCallbacks
    def run_lines(self) -> Steps:
        """The platform's run line, strictly divided, held to the true stores."""
        schedule = run_line()
        rig = Rig(reactor, schedule, self.folder)
        yield rig.play()
        self.faults += len([s for s in schedule.steps if s.do not in (Do.HEAL, Do.GO_ON, Do.START)])
        self.units["up"] = got(rig, rig.begun + KILLED).percent
        self.units["restart"] = got(rig).percent
        quota, sent = 0.0, 0.0
        for customer in {
            r.customer.name: r.customer for r in rig.world.agents.results if r.begun < rig.begun + KILLED
        }.values():
            rate, burst = rig.world.plans[customer.plan]
            quota += burst + rate * KILLED
            sent += sum(
                a.units for a in rig.world.arrivals() if a.customer == customer.name and a.at < rig.begun + KILLED
            )
        self.used = 100.0 * sent / quota
        self.wrong += [f"{judge}: {fault}" for judge, faults in judged(rig).items() for fault in faults[:3]]
        self.say(
            f"{MEMBERS} of the run line: the worst customer got {self.units['up']:.1f}% of its quota with the "
            f"counter up, {self.units['restart']:.1f}% through restarts; all together {self.used:.1f}%"
        )

    def clean(self) -> None:
        """End what is left."""
        self.fleet.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def main() -> int:
    """The exit code."""
    proof, crashed = Proof(), list[Any]()
    reactor.callWhenRunning(lambda: proof.run().addErrback(crashed.append).addBoth(lambda _: reactor.stop()))
    try:
        reactor.run()
    finally:
        proof.clean()
    for failure in crashed:
        print(f"fault: {failure.getTraceback()}")
    return int(bool(crashed or proof.wrong))


if __name__ == "__main__":
    sys.exit(main())
