"""Real limiters with a relay on every link, the stand-ins behind them, and a schedule of faults played over all."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from thymeflow.runtime import clock
from thymeflow.testkit.async_steps import Steps, sleep
from thymeflow.testkit.fakes import Customer, Discovery, World
from thymeflow.testkit.fakes.site import CLASSES
from thymeflow.testkit.faults.process import Process
from thymeflow.testkit.faults.proxy import Address, Relay
from thymeflow.testkit.faults.schedule import ON_LINKS, Do, Link, Schedule, Step
from thymeflow.testkit.ports import free_port

PATIENCE = 30.0  # s: for progress; only a failing run waits so long
SIGNALS = {Do.KILL: signal.SIGKILL, Do.END: signal.SIGTERM, Do.STOP: signal.SIGSTOP, Do.GO_ON: signal.SIGCONT}


class _Ping(Protocol):
    transport: Any

    def __init__(self, settled: Deferred[bool]) -> None:
        self._settled = settled

    def connectionMade(self) -> None:
        self.transport.write(b"*1\r\n$4\r\nPING\r\n")

    def dataReceived(self, data: bytes) -> None:
        self._say(data.startswith(b"+PONG"))
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._say(False)

    def _say(self, yes: bool) -> None:
        if not self._settled.called:
            self._settled.callback(yes)


class _Pinger(ClientFactory):
    noisy = False

    def __init__(self, settled: Deferred[bool]) -> None:
        self._settled = settled

    def buildProtocol(self, addr: Any) -> Protocol:
        return _Ping(self._settled)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._settled.callback(False)


class Trouble:
    """Since when and until when something was wrong with a limiter's links and its process, by what it was."""

    def __init__(self) -> None:
        self._spans: dict[tuple[str, int], list[list[float]]] = {}

    def begin(self, what: str, limiter: int, now: float) -> None:
        """Something is wrong from now on, unless it was already."""
        spans = self._spans.setdefault((what, limiter), [])
        if not spans or spans[-1][1] != float("inf"):
            spans.append([now, float("inf")])

    def end(self, what: str, limiter: int, now: float) -> None:
        """It is well again."""
        for span in self._spans.get((what, limiter), [])[-1:]:
            span[1] = min(span[1], now)

    def during(self, what: str, limiter: int, since: float, until: float) -> bool:
        """Whether it was wrong at any time in between."""
        return any(begin <= until and since <= end for begin, end in self._spans.get((what, limiter), []))


class Rig:
    """The world, its links, its processes, and what was done to them."""

    def __init__(self, reactor: Any, schedule: Schedule, folder: Path, broken: str = "") -> None:
        self.reactor, self.schedule, self.folder, self._broken = reactor, schedule, folder, broken
        self.world = World(reactor, schedule.seed, servers=schedule.servers)
        self.deadlines = self.world.deadlines
        self.trouble = Trouble()
        self.told: dict[tuple[int, int], float] = {}  # limiter, server: since when it knows of a drain
        self._untold: set[tuple[int, int]] = set()  # on the way, behind a link that is not well
        self.done: list[tuple[float, Step]] = []
        self.stuck: list[str] = []  # progress that did not come
        self.discoveries: list[Discovery] = []
        self.relays: dict[tuple[Link, int], list[Relay]] = {}
        self.processes: list[Process] = []
        self.begun = 0.0

    def _relay(self, link: Link, limiter: int, target: Address) -> Relay:
        relay = Relay(self.reactor, self.deadlines, lambda: target, link is not Link.AGENTS)
        relay.start()
        self.relays.setdefault((link, limiter), []).append(relay)
        return relay

    def _entry(self, limiter: int, server: int, lifecycle: str = "active") -> dict[str, Any]:
        host, port = self.relays[Link.SERVERS, limiter][server].address
        return {**self.world.servers[server].endpoint(lifecycle), "hostPort": f"{host}:{port}"}

    def open(self) -> None:
        """Open stand-ins and relays, and start the processes."""
        world, schedule = self.world, self.schedule
        for server in world.servers:
            server.mean = schedule.work
            server.start()
        world.counter.start()
        for number in range(schedule.limiters):
            discovery = Discovery(self.reactor, self.deadlines)
            discovery.start()
            self.discoveries.append(discovery)
            for server in world.servers:
                self._relay(Link.SERVERS, number, server.address)
            discovery.put(*(self._entry(number, n) for n in range(schedule.servers)))
            told = self._relay(Link.DISCOVERY, number, discovery.address).address
            counter = self._relay(Link.COUNTER, number, world.counter.address).address
            own = free_port()
            world.addresses[number] = self._relay(Link.AGENTS, number, ("127.0.0.1", own)).address
            world.agents.not_taken = lambda n, port: port in self.relays[Link.AGENTS, n][0].refused
            config = world.config(schedule.limiters)
            config |= {
                "name": f"n{number}",
                "listen": f"127.0.0.1:{own}",
                "discovery": "{}:{}".format(*told),
                "counter": "{}:{}".format(*counter),
                "known": discovery.whole(),
                "units": schedule.units,
            }
            config["settings"] = {**config["settings"], "index": number}
            self.processes.append(Process(number, self.folder, schedule.line, config, self._broken))
        for process in self.processes:
            process.start()

    # --- faults --------------------------------------------------------------------------------------------

    def act(self, step: Step) -> None:
        """Carry out a step."""
        now = clock.now()
        self.done.append((now, step))
        if step.do in ON_LINKS:
            assert step.link is not None
            for number in step.who:
                self._on_link(step, step.link, number, now)
        elif step.do in SIGNALS or step.do is Do.START:
            for number in step.who:
                self._on_process(step.do, number, now)
        elif step.do in (Do.SERVER_DRAINS, Do.SERVER_GONE):
            for server in step.who:
                self._tell(server, "leaving" if step.do is Do.SERVER_DRAINS else "left", now)
        else:
            self._on_others(step)

    def _on_link(self, step: Step, link: Link, number: int, now: float) -> None:
        if step.do is Do.HEAL:
            self.trouble.end(link.value, number, now)
        else:
            self.trouble.begin(link.value, number, now)
        for relay in self.relays[link, number]:
            relay.act(step.do, step.way, step.amount)
        if link is Link.DISCOVERY and step.do is Do.HEAL:
            for key in [k for k in self._untold if k[0] == number]:
                self._untold.discard(key)
                self.told[key] = now
            self._known(number, now)

    def _on_process(self, do: Do, number: int, now: float) -> None:
        process = self.processes[number]
        if do is Do.START:
            self._known(number, now)
            process.start()
            self.trouble.end("process", number, now)
            return
        if do is Do.KILL and process.up():
            self.world.agents.killed(number)
        if do is Do.GO_ON:
            self.trouble.end("process", number, now)
        else:
            self.trouble.begin("process", number, now)
        process.signal(SIGNALS[do])

    def _known(self, number: int, now: float) -> None:
        # A limiter starts with the list as it last had it: of what is on the way it knows nothing yet.
        if not self.trouble.during(Link.DISCOVERY.value, number, now, now):
            self.processes[number].config["known"] = self.discoveries[number].whole()

    def _tell(self, server: int, lifecycle: str, now: float) -> None:
        for number, discovery in enumerate(self.discoveries):
            discovery.put(self._entry(number, server, lifecycle))
            if self.trouble.during(Link.DISCOVERY.value, number, now, now):
                self._untold.add((number, server))
            else:
                self.told.setdefault((number, server), now)
            self._known(number, now)

    def _on_others(self, step: Step) -> None:
        world = self.world
        for number in step.who:
            server = world.servers[number]
            if step.do is Do.SERVER_DIES:
                server.die()
            elif step.do is Do.SERVER_BACK:
                server.start_again()
            elif step.do is Do.SERVER_BAD:
                server.error_rate = step.amount
        if step.do is Do.COUNTER_DIES:
            world.counter.die()
        elif step.do is Do.COUNTER_BACK:
            world.counter.start_again()
        elif step.do is Do.COUNTER_FORGETS:
            world.counter.forget()
        elif step.do in (Do.COUNTER_FULL, Do.COUNTER_WELL):
            world.counter.closed = step.do is Do.COUNTER_FULL

    def _heal(self) -> None:
        everyone = tuple(range(self.schedule.limiters))
        for link in Link:
            self.act(Step(0.0, Do.HEAL, everyone, link))
        for do in (Do.COUNTER_BACK, Do.COUNTER_WELL):
            self.act(Step(0.0, do))
        self.act(Step(0.0, Do.SERVER_BACK, tuple(range(self.schedule.servers))))
        self.act(Step(0.0, Do.SERVER_BAD, tuple(range(self.schedule.servers))))
        self.act(Step(0.0, Do.GO_ON, tuple(p.number for p in self.processes if p.stopped)))
        self.act(Step(0.0, Do.START, tuple(p.number for p in self.processes if not p.up())))

    # --- the run -------------------------------------------------------------------------------------------

    def ping(self, number: int) -> Deferred[bool]:
        """Whether a limiter says yes to the front."""
        settled: Deferred[bool] = Deferred()
        host, port = self.world.addresses[number]
        self.reactor.connectTCP(host, port, _Pinger(settled), timeout=2.0)
        return settled

    @inlineCallbacks
    def ready(self, what: str) -> Steps:
        """Wait until all limiters say yes."""
        end = clock.now() + PATIENCE
        for number in range(self.schedule.limiters):
            while not (yield self.ping(number)):
                if clock.now() > end:
                    self.stuck.append(f"n{number} does not say yes {what}")
                    break
                yield sleep(0.05)

    def load(self) -> None:
        """Let customers ask, each through a set that is told as the sites tell it."""
        schedule, plans = self.schedule, self.world.plans
        for n in range(schedule.customers):
            plan = list(plans)[n % len(plans)]
            spread = max(1, min(schedule.limiters, 2 + n % 3))
            self.world.agents.begin(
                Customer(
                    1 + n,
                    plan,
                    max(1e-3, schedule.demand) * plans[plan][0],
                    first=n % schedule.limiters,
                    spread=spread,
                    of=schedule.limiters,
                    favourite=0.5,
                ),
                CLASSES,
            )

    @inlineCallbacks
    def play(self) -> Steps:
        """From the start of all to the end of all; what went wrong is for the judges."""
        self.open()
        try:
            yield self.ready("after its start")
            self.begun = clock.now()
            self.load()
            for step in self.schedule.steps:
                self.deadlines.schedule(self.begun + step.at, lambda _, step=step: self.act(step))  # type: ignore[misc]
            while clock.now() < self.begun + self.schedule.seconds:
                yield sleep(0.05)
            self.world.agents.stop()
            self._heal()
            while self.world.agents.open:  # each has a deadline of its own
                yield sleep(0.02)
            yield self.ready("after all was healed")
            yield self._serves()
        finally:
            self.world.agents.close()
            for process in self.processes:
                process.end()

    @inlineCallbacks
    def _serves(self) -> Steps:
        end = clock.now() + PATIENCE
        for number in range(self.schedule.limiters):
            customer = Customer(9000 + number, "korporat", 1.0, first=number)
            while True:
                result = self.world.agents.ask(customer, CLASSES[0], limiter=number)
                while not result.verdict:
                    yield sleep(0.01)
                if result.verdict == "served":
                    break
                if clock.now() > end:
                    self.stuck.append(f"n{number} serves nothing after all was healed: {result.verdict}")
                    break
                yield sleep(max(0.05, result.wait))
