"""`make prove-fleet`: twenty real limiters on loopback, under load, through all that happens to a fleet.

One run: start, roll, kill -9, scale from 20 to 24, upgrade, scale back, stop. What is told was counted outside the
program: at the servers, which note each call that reached them whole, and at the user agents, which count every
answer. FULL=1 runs the phases longer. BREAK=memory starts members without snapshots: broken on purpose, this has to
fail with units minted.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter as EventCounts
from pathlib import Path
from typing import Any

import psutil
from twisted.internet.defer import Deferred, inlineCallbacks

from thymeflow.handover.control_client import NoAnswerError, send_request
from thymeflow.runtime import clock
from thymeflow.testkit.async_steps import Steps, reactor, sleep
from thymeflow.testkit.fakes import Customer, World
from thymeflow.testkit.fakes.site import CLASSES, PLANS

FULL = os.environ.get("FULL") == "1"
BREAK = os.environ.get("BREAK", "")
MEMBERS, MORE = 20, 24
PARTY = ("pesta", (0.5, 60.0))  # a plan whose burst is worth two minutes of its rate: minting would show
PARTY_PACE = 4.0  # requests a second of each party customer, whose set is one limiter
ORDINARY, SHARE = 64, 0.9  # customers of the other plans, and what they ask of their quota
LATE_AFTER = 10.0  # s after joining, from when a late joiner has to be like its peers
MOST_GAP = 0.05
MARGIN = 3.0  # units: what docs/fleet.md promises for a customer of one limiter
LONGEST = 300.0 if FULL else 100.0  # s: past it something hangs, and that is a failure


class Proof:
    """The run."""

    def __init__(self) -> None:
        # Twenty-four snapshots a second, each with its fsync, are a trial of the machine's disk and not of this
        # program: in memory where the machine has such a folder, as docs/fleet.md advises for a state folder.
        memory = Path("/dev/shm")
        self.folder = Path(tempfile.mkdtemp(prefix="tf-", dir=memory if os.access(memory, os.W_OK) else None))
        self.world = World(reactor, 7, servers=12, plans={**PLANS, PARTY[0]: PARTY[1]})
        self.world.start()
        for server in self.world.servers:
            server.mean = 0.03
        (self.folder / "platform.json").write_text(json.dumps(self.world.config(MEMBERS)))
        (self.folder / "thymeflow.ini").write_text(
            f"[fleet]\ninstances = {MEMBERS}\nspread = 900ms\nsettle = {'2s' if FULL else '150ms'}\n"
            f"[log]\nform = json\nfile = {self.folder}/log\n"
            f"[snapshot]\nevery = 1s\nkeep = {'no' if BREAK == 'memory' else 'yes'}\n"
        )
        self.begun = time.monotonic()
        self.facts: dict[str, Any] = {}
        self.faults: list[str] = []
        self.supervisor: subprocess.Popen[bytes] | None = None

    def say(self, text: str) -> None:
        """Progress, with the seconds since the beginning."""
        print(f"{time.monotonic() - self.begun:6.1f} s  {text}", flush=True)

    def up(self) -> None:
        """Start a supervisor."""
        self.supervisor = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "thymeflow",
                "fleet",
                "up",
                "--settings",
                str(self.folder / "thymeflow.ini"),
                "--platform",
                str(self.folder / "platform.json"),
                "--state",
                str(self.folder / "s"),
            ],
            stdout=subprocess.DEVNULL,
        )

    def order(self, patience: float = 90.0, **message: Any) -> Deferred[dict[str, Any]]:
        """Ask the supervisor; progress is not printed, only the end counts."""
        return send_request(
            reactor, self.world.deadlines, self.folder / "s" / "fleet.sock", message, clock.now() + patience
        )

    @inlineCallbacks
    def status(self) -> Steps:
        """The fleet's status; {} while nobody answers."""
        try:
            answer = yield self.order(2.0, do="status")
        except NoAnswerError:
            return {}
        return answer

    @inlineCallbacks
    def ready(self, count: int, within: float) -> Steps:
        """Wait until so many members are ready; their status."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            status = yield self.status()
            if status.get("ready") == count and not status.get("working"):
                for number, member in enumerate(status["members"]):
                    host, _, port = member["listen"].rpartition(":")
                    self.world.addresses[number] = (host, int(port))
                return status
            yield sleep(0.05)
        raise AssertionError(f"{count} members were not ready within {within:g} s")

    @inlineCallbacks
    def ordered(self, **message: Any) -> Steps:
        """An order and its end; one that is not reached is a fault."""
        before = time.monotonic()
        answer = yield self.order(**message)
        self.say(f"{message['do']}: {answer.get('why')} ({time.monotonic() - before:.1f} s)")
        if not answer.get("ok"):
            self.faults.append(f"{message['do']}: {answer.get('why')}")

    def customers(self, gateways: int) -> None:
        """Deal all customers out over the set as it is now; each asks from now on as before."""
        plans = list(PLANS)
        for n in range(ORDINARY):
            plan = plans[n % len(plans)]
            self.world.agents.begin(
                Customer(
                    1000 + n,
                    plan,
                    SHARE * PLANS[plan][0],
                    first=(n * 7) % gateways,
                    spread=3,
                    of=gateways,
                    favourite=0.5,
                ),
                CLASSES,
            )
        for n in range(MEMBERS):
            self.world.agents.begin(Customer(1 + n, PARTY[0], PARTY_PACE, first=n, of=gateways), CLASSES)

    @inlineCallbacks
    def run(self) -> Steps:
        """All phases."""
        world = self.world
        self.up()
        yield self.ready(MEMBERS, 30.0)
        self.facts["ready_s"] = round(time.monotonic() - self.begun, 2)
        self.say(f"{MEMBERS} members are ready")
        self.customers(MEMBERS)
        loaded = clock.now()
        yield sleep(30.0 if FULL else 5.0)
        if FULL:
            self.say("spent")
        yield self.ordered(do="restart")
        status = yield self.status()
        rss = [psutil.Process(m["pid"]).memory_info().rss / 2**20 for m in status["members"]]
        self.facts["rss_mb_each"] = round(sum(rss) / len(rss), 1)
        victim = status["members"][5]
        world.agents.killed(5)
        os.kill(victim["pid"], signal.SIGKILL)
        killed = time.monotonic()
        yield sleep(0.3)
        yield self.ready(MEMBERS, 20.0)
        self.say(f"killed {victim['name']}, back after {time.monotonic() - killed:.1f} s")
        yield self.ordered(do="scale", count=MORE)
        yield self.ready(MORE, 20.0)
        joined = clock.now()
        self.customers(MORE)
        yield self.ordered(do="upgrade")
        if clock.now() < joined + LATE_AFTER + 6.0:
            yield sleep(joined + LATE_AFTER + 6.0 - clock.now())
        since, until = joined + LATE_AFTER, clock.now()
        late = world.room_share(set(range(MEMBERS, MORE)), since, until, PARTY[0])
        peers = world.room_share(set(range(MEMBERS)), since, until, PARTY[0])
        self.facts["late_joiner_gap"] = round(abs(late - peers), 3)
        self.say(f"refused with room: late joiners {late:.3f}, their peers {peers:.3f} over {until - since:.0f} s")
        self.customers(MEMBERS)
        yield sleep(0.5)
        yield self.ordered(do="scale", count=MEMBERS)
        yield self.ready(MEMBERS, 20.0)
        yield sleep(1.0)
        world.agents.stop()
        span = clock.now() - loaded
        while world.agents.open:
            yield sleep(0.05)
        self.judge(span)
        yield self.ordered(do="down")

    def judge(self, span: float) -> None:
        """What was seen from outside."""
        world = self.world
        results = world.agents.results
        verdicts = EventCounts(r.verdict for r in results)
        allowed = PARTY[1][1] + PARTY[1][0] * span + MARGIN
        sent = [world.units_sent(Customer(1 + n, PARTY[0], PARTY_PACE)) for n in range(MEMBERS)]
        asked = PARTY_PACE * span
        self.say(
            f"party customers were sent on {min(sent):.0f} to {max(sent):.0f} units of {allowed:.1f} allowed and "
            f"about {asked:.0f} asked"
        )
        unanswered, twice = world.unanswered(), world.answered_twice()
        for result in (unanswered + twice)[:5]:
            at = time.monotonic() - self.begun - (clock.now() - result.begun)
            self.say(
                f"{result.id} at {at:.2f} s through {result.limiter}: {result.verdict}, {result.answers} answers, "
                f"{'; '.join(result.notes)}"
            )
        cpu = psutil.Process().cpu_times()
        self.say(f"this process, stand-ins and user agents: {cpu.user + cpu.system:.0f} s of CPU")
        self.say(f"verdicts {dict(verdicts)}; counter turned away {world.counter.turned_away} of {world.counter.calls}")
        self.facts.update(
            requests=len(results),
            unanswered=len(unanswered),
            twice=len(twice) + len(world.unlawful()),
            lost_to_kill=sum(r.verdict == "unanswered" and r.killed for r in results),
            refused_connects=verdicts["refused connect"],
            failed=verdicts["failed"],  # no server here fails: a member that knows another size of the set does
            minted_units=round(max(0.0, max(sent) - allowed), 1),
        )

    def verdict(self) -> int:
        """The last line, and the exit code."""
        facts = self.facts
        order = (
            "requests",
            "unanswered",
            "twice",
            "ready_s",
            "refused_connects",
            "late_joiner_gap",
            "minted_units",
            "rss_mb_each",
            "lost_to_kill",
            "failed",
        )
        missed = [name for name in order if name not in facts]
        bad = bool(
            self.faults
            or missed
            or facts["unanswered"]
            or facts["twice"]
            or facts["minted_units"]
            or facts["late_joiner_gap"] > MOST_GAP
            or facts["refused_connects"]
            or facts["failed"]
            or facts["requests"] < 1000
        )
        for fault in self.faults + [f"not measured: {name}" for name in missed]:
            self.say(f"FAULT {fault}")
        print("prove-fleet: " + " ".join(f"{name}={facts.get(name, '?')}" for name in order), flush=True)
        return int(bad)

    def clean(self) -> None:
        """End what is left, by the ids of what we started, and remove the folder."""
        for path in (self.folder / "s").glob("*.lock"):
            words = path.read_text().split()
            if path.stem != "fleet" and words and words[0].isdigit():
                with contextlib.suppress(psutil.Error):
                    process = psutil.Process(int(words[0]))
                    if str(self.folder) in " ".join(process.cmdline()):
                        process.kill()
        if self.supervisor is not None and self.supervisor.poll() is None:
            self.supervisor.kill()
        if self.supervisor is not None:
            self.supervisor.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def main() -> int:
    """Run, judge, clean up."""
    proof = Proof()

    def failed(failure: Any) -> None:
        proof.faults.append(failure.getErrorMessage() or repr(failure.value))
        failure.printTraceback()

    def hung() -> None:
        proof.faults.append(f"no end within {LONGEST:g} s")
        reactor.stop()

    reactor.callWhenRunning(
        lambda: proof.run().addErrback(failed).addBoth(lambda _: reactor.stop() if reactor.running else None)
    )
    reactor.callLater(LONGEST, hung)
    try:
        reactor.run()
        return proof.verdict()
    finally:
        proof.clean()


if __name__ == "__main__":
    sys.exit(main())
