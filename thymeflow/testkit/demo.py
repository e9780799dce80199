"""What a newcomer runs first: stand-ins, three real limiters, requests of four plans, a live table.

One server is killed on the way and comes back; the fleet is rolled once while it serves. Nothing is left behind:
the folder is temporary, the members are stopped in good order, and whatever does not end is ended by its id.
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
from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text
from twisted.internet.defer import Deferred, inlineCallbacks

from thymeflow.handover.control_client import NoAnswerError, send_request
from thymeflow.runtime import clock
from thymeflow.testkit.fakes import Customer, World
from thymeflow.testkit.fakes.site import CLASSES, PLANS

LIMITERS, SERVERS = 3, 4
DEMAND = {"kedai": 0.6, "biasa": 0.8, "rangkaian": 1.0, "korporat": 1.6}  # of the quota: the last asks too much
CUSTOMERS = 3  # of each plan
REFRESH = 0.25  # s
VICTIM = 1  # the server that is killed

Steps = Generator[Deferred[Any], Any, Any]


@dataclass(frozen=True, slots=True)
class PlanRow:
    """What became of one plan's requests."""

    plan: str
    asked: int
    served: int
    beyond: int  # refused, its customer's quota being used up
    with_room: int  # refused though the customer had room: servers busy or away, or a slice too small
    failed: int
    median: float  # s, of the served
    slowest: float  # s, the 99th percentile


def rows(world: World) -> list[PlanRow]:
    """One row a plan, from what user agents saw."""
    found = []
    room = {id(result): had for _, result, had in world.refusals}
    for plan in world.plans:
        results = [r for r in world.agents.results if r.customer.plan == plan]
        served = sorted(r.ended - r.begun for r in results if r.verdict == "served")
        refused = [r for r in results if r.verdict == "refused"]
        with_room = sum(room.get(id(r), False) for r in refused)
        other = [r for r in results if r.verdict not in ("served", "refused", "")]

        def at(share: float, times: list[float] = served) -> float:
            return times[min(len(times) - 1, int(share * len(times)))] if times else 0.0

        found.append(
            PlanRow(plan, len(results), len(served), len(refused) - with_room, with_room, len(other), at(0.5), at(0.99))
        )
    return found


class Demo:
    """The whole show."""

    def __init__(self, reactor: Any, seconds: float, console: Console) -> None:
        self._reactor, self._seconds, self._console = reactor, seconds, console
        self._folder = Path(tempfile.mkdtemp(prefix="thymeflow-demo-"))
        self.world = World(reactor, 11, servers=SERVERS)
        self._begun = time.monotonic()
        self._happened: list[str] = []
        self._members: list[dict[str, Any]] = []
        self._supervisor: subprocess.Popen[bytes] | None = None
        self._live: Live | None = None
        self._ending = False
        self.code = 0

    def say(self, text: str) -> None:
        """Something has happened."""
        line = f"{time.monotonic() - self._begun:5.1f} s  {text}"
        self._happened.append(line)
        if self._live is None:
            self._console.print(line, highlight=False)

    def view(self) -> Group:
        """The live view."""
        plans = Table("plan", title="what user agents saw", title_justify="left")
        for name in (
            "asked",
            "served",
            "refused: quota used up",
            "refused: with room",
            "failed",
            "median ms",
            "p99 ms",
        ):
            plans.add_column(name, justify="right")
        for row in rows(self.world):
            plans.add_row(
                row.plan,
                str(row.asked),
                str(row.served),
                str(row.beyond),
                str(row.with_room),
                str(row.failed),
                f"{row.median * 1e3:.0f}",
                f"{row.slowest * 1e3:.0f}",
            )
        limiters = Table("limiter", "state", title="limiters", title_justify="left")
        for name in ("served", "refused", "open", "customers", "servers ready"):
            limiters.add_column(name, justify="right")
        for member in self._members:
            told = member.get("told") or {}
            answers = told.get("answers", {})
            limiters.add_row(
                member["name"],
                member["state"],
                str(answers.get("served", 0)),
                str(answers.get("unavailable", 0)),
                str(told.get("open", 0)),
                str(told.get("customers", 0)),
                str(told.get("servers", {}).get("ready", 0)),
            )
        servers = Table("server", "state", title="servers (stand-ins)", title_justify="left")
        servers.add_column("calls", justify="right")
        for server in self.world.servers:
            state = "up" if server.up() else "[red]killed[/red]"
            servers.add_row(f"s{server.number}", state, str(len(server.arrivals)))
        return Group(plans, limiters, servers, Text("\n".join(self._happened[-6:])))

    def _ask(self, patience: float, **message: Any) -> Deferred[dict[str, Any]]:
        return send_request(
            self._reactor, self.world.deadlines, self._folder / "s" / "fleet.sock", message, clock.now() + patience
        )

    def _beat(self) -> None:
        def told(answer: dict[str, Any]) -> None:
            self._members = answer.get("members", self._members)

        self._ask(2.0, do="status").addCallbacks(told, lambda _: None)
        if self._live is not None:
            self._live.update(self.view(), refresh=True)

    def _sleep(self, seconds: float) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        self._reactor.callLater(seconds, done.callback, None)
        return done

    @inlineCallbacks
    def _ready(self) -> Steps:
        end = time.monotonic() + 30.0
        while time.monotonic() < end:
            with contextlib.suppress(NoAnswerError):
                answer = yield self._ask(2.0, do="status")
                self._members = answer.get("members", [])
                if answer.get("ready") == LIMITERS:
                    for number, member in enumerate(self._members):
                        host, _, port = member["listen"].rpartition(":")
                        self.world.addresses[number] = (host, int(port))
                    return
            yield self._sleep(0.1)
        raise RuntimeError("the limiters were not ready within 30 s")

    @inlineCallbacks
    def play(self) -> Steps:
        """From the start to the summary."""
        self.world.start()
        platform = self._folder / "platform.json"
        platform.write_text(json.dumps(self.world.config(LIMITERS)))
        environment = {
            **os.environ,
            "THYMEFLOW_FLEET_INSTANCES": str(LIMITERS),
            "THYMEFLOW_FLEET_SPREAD": "200ms",
            "THYMEFLOW_FLEET_SETTLE": "300ms",
            "THYMEFLOW_LOG_FILE": str(self._folder / "log"),
        }
        self._supervisor = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "thymeflow",
                "fleet",
                "up",
                "--platform",
                str(platform),
                "--state",
                str(self._folder / "s"),
            ],
            env=environment,
            stdout=subprocess.DEVNULL,
            start_new_session=True,
        )
        yield self._ready()
        self.say(f"{LIMITERS} limiters serve at {', '.join(m['listen'] for m in self._members)}")
        number = 0
        for plan, share in DEMAND.items():
            for _ in range(CUSTOMERS):
                number += 1
                customer = Customer(
                    number,
                    plan,
                    share * PLANS[plan][0],
                    first=number % LIMITERS,
                    spread=LIMITERS,
                    of=LIMITERS,
                    favourite=0.4,
                )
                self.world.agents.begin(customer, CLASSES)
        victim = self.world.servers[VICTIM]
        yield self._pause(0.25)
        if not self._ending:
            victim.die()
            self.say(f"server s{VICTIM} is killed: its work goes to the others")
        yield self._pause(0.25)
        victim.start_again()
        self.say(f"server s{VICTIM} is back")
        yield self._pause(0.15)
        if not self._ending:
            self.say("the fleet is upgraded, one limiter after the other, while it serves")
            answer = yield self._ask(60.0, do="upgrade")
            self.say(str(answer.get("why")))
        yield self._pause(0.35)
        self.world.agents.stop()
        while self.world.agents.open:
            yield self._sleep(0.05)
        self.say("no more is asked; the fleet goes down")
        answer = yield self._ask(30.0, do="down")
        self.say(str(answer.get("why")))

    @inlineCallbacks
    def _pause(self, share: float) -> Steps:
        end = time.monotonic() + share * self._seconds
        while time.monotonic() < end and not self._ending:
            yield self._sleep(0.1)

    def interrupt(self) -> None:
        """Ctrl-C: come to the end now."""
        self._ending = True
        self.say("asked to end")

    def run(self) -> int:
        """Play on the reactor; the exit code."""
        from twisted.internet.task import LoopingCall

        def failed(failure: Any) -> None:
            self.code = 1
            self.say(f"fault: {failure.getErrorMessage()}")

        signal.signal(signal.SIGINT, lambda *_: self._reactor.callFromThread(self.interrupt))
        signal.signal(signal.SIGTERM, lambda *_: self._reactor.callFromThread(self.interrupt))
        self._reactor.callWhenRunning(lambda: self.play().addErrback(failed).addBoth(lambda _: self._reactor.stop()))
        LoopingCall(self._beat).start(REFRESH, now=False)
        live = Live(self.view(), console=self._console, auto_refresh=False) if self._console.is_terminal else None
        try:
            with live or contextlib.nullcontext():
                self._live = live
                self._reactor.run(installSignalHandlers=False)
        finally:
            self._live = None
            self._clean()
        self._summary()
        return self.code

    def _summary(self) -> None:
        if not self._console.is_terminal:
            self._console.print(self.view())
        results = self.world.agents.results
        twice = len(self.world.answered_twice()) + len(self.world.unlawful())
        unanswered = len(self.world.unanswered())
        for fault in self.world.unlawful()[:5]:
            self._console.print(f"sent as the rules forbid: {fault}", highlight=False)
        self._console.print(
            f"{len(results)} requests, {unanswered} without an answer, {twice} answered or sent twice", highlight=False
        )
        self.code = self.code or int(bool(unanswered or twice))

    def _clean(self) -> None:
        if self._supervisor is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):
                self._supervisor.wait(0.5 if self.code == 0 else 0.0)
            for path in (self._folder / "s").glob("n*.lock"):  # whoever did not end: the lock names its process
                words = path.read_text().split()
                if self.code and words and words[0].isdigit():
                    with contextlib.suppress(ProcessLookupError):
                        os.kill(int(words[0]), signal.SIGTERM)
            if self._supervisor.poll() is None:
                self._supervisor.kill()
                self._supervisor.wait()
        shutil.rmtree(self._folder, ignore_errors=True)


def play(seconds: float) -> int:
    """Run the demo for about so many seconds; the exit code."""
    from twisted.internet import reactor

    return Demo(reactor, seconds, Console()).run()
