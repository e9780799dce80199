"""`make prove-overload`: servers that fail and servers that slow down, met by 3, 12 and 24 members under one load.

One of six servers answers only errors, is left alone and tried, and is well again; counted at servers and user agents.
Then a member is stopped for a while and goes on with what it knew. Then all servers slow down to half of what is asked
for, and the more waits at them the longer each call takes, while clients that are turned away come again; half of the
members are killed in it; then the servers are well. Broken on purpose, this has to fail: BREAK=alone has each member
find out and try for itself, as it was, and BREAK=shed has nothing shed by pressure or places.
"""

from __future__ import annotations

import os
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from twisted.internet.defer import inlineCallbacks

from thymeflow.runtime import clock
from thymeflow.testkit.async_steps import Steps, reactor, sleep
from thymeflow.testkit.fakes import Customer, Result, World
from thymeflow.testkit.fakes.environment import TrueStore
from thymeflow.testkit.fakes.site import CLASSES, PLANS
from thymeflow.testkit.faults.fleet_cluster import Fleet

SIZES = tuple(int(n) for n in os.environ.get("SIZES", "3,12,24").split(","))
BREAK = os.environ.get("BREAK", "")
ALONE = "[overload]\ntogether = no\n[budgets]\ntrials = 10000\n"
LOAD, SERVERS, CUSTOMERS = 120.0, 6, 12
LEARN, WATCHED, BACK = 4.0, 8.0, 15.0  # s: until all know; counted over; for the server to be back
MOST_RATIO, MOST_ATTEMPTS, MOST_BACK, LEAST_GOOD = 1.5, 1.15, 10.0, 85.0
SLOTS, SLOW, THRASH = 1, 0.1, 0.05  # of a server that has slowed down: 60 a second in all, half of the load
BEYOND = 4  # customers that ask three times their quota, to be refused first
OVER, SETTLING, KILLED = 11.0, 4.0, 9.0  # s: of overload; before the level is where it stays; when half are killed
LEAST_GOODPUT, MOST_INVERSIONS = 85.0, 5.0  # percent of the capacity; of the refusals
WELL = 20.0  # s: for goodput to be back
REPEATS, REST = 0.5, 0.1  # share of the refused that come again; s before that, at least
NOTHING_SHED = (
    "import sys; from thymeflow.health import pressure; from thymeflow.shedding.threshold import AdmissionThreshold; "
    "pressure.concurrency_limit = lambda *_: 1e9; pressure.shedding_fraction = lambda *_: 0.0; "
    "AdmissionThreshold.tick = lambda self, now: 0.0; from thymeflow.cli import run; sys.exit(run())"
)  # in both


class Size:
    """One size of fleet."""

    def __init__(self, members: int) -> None:
        self.members, self.folder = members, Path(tempfile.mkdtemp(prefix="tf-"))
        self.world = World(reactor, 7, servers=SERVERS)
        self.world.start()
        broken = NOTHING_SHED if BREAK == "shed" else ""
        self.fleet = Fleet(
            self.world, self.folder, members, ALONE if BREAK == "alone" else "", broken, members_code=broken
        )
        self.bad_passes = self.back = self.attempts = self.good = 0.0
        self.goodput = self.inversions = self.recovered = 0.0
        self._ended, self.world.agents.on_end = self.world.agents.on_end, self._again
        self._repeats = False
        self.wrong: list[str] = []

    def passes(self, server: int, since: float, until: float) -> float:
        """Passes a second that reached a server."""
        return sum(since <= a.at < until for a in self.world.servers[server].arrivals) / max(1e-9, until - since)

    def _again(self, result: Result) -> None:
        # A client that was turned away comes again, with the advice that it got, half of the time.
        self._ended(result)
        if self._repeats and result.verdict == "refused" and self.world.rng.random() < REPEATS:
            reactor.callLater(max(REST, result.wait), self.world.agents.ask, result.customer, result.cls)

    def served(self, since: float, until: float) -> float:
        """Answers a second that came within the aim of their class, in a span."""
        return sum(
            r.verdict == "served" and since <= r.ended < until and r.ended - r.begun <= 1.0
            for r in self.world.agents.results
        ) / max(1e-9, until - since)

    @inlineCallbacks
    def overload(self, pids: list[int]) -> Steps:
        """Servers slow to half of the load, half of the members killed meanwhile, and servers well again."""
        well = [(server.mean, server.slots) for server in self.world.servers]
        self._repeats, began = True, clock.now()
        for server in self.world.servers:
            server.mean, server.slots, server.thrash = SLOW, SLOTS, THRASH
        yield sleep(KILLED)
        self.goodput = 100.0 * self.served(began + SETTLING, clock.now()) / (SERVERS * SLOTS / SLOW)
        for pid in pids[: len(pids) // 2]:
            self.fleet.signal(pid, signal.SIGKILL)
        yield sleep(OVER - KILLED)
        end = clock.now()
        self.inversions = self._inverted(began, end)
        for server, (server.mean, server.slots) in zip(self.world.servers, well, strict=True):
            server.thrash = 0.0
        while self.served(clock.now() - 1.0, clock.now()) < 0.95 * LOAD and clock.now() < end + WELL:
            yield sleep(0.05)
        self.recovered, self._repeats = clock.now() - end, False

    def _inverted(self, since: float, until: float) -> float:
        # Percent of the refusals that had room, in a second in which somebody without any was let in.
        stores, without = dict[int, TrueStore](), set[int]()
        refused = list[tuple[int, bool]]()
        for result in sorted(self.world.agents.results, key=lambda r: r.begun):
            rate, burst = self.world.plans[result.customer.plan]
            store = stores.setdefault(result.customer.number, TrueStore(rate, burst, result.begun))
            room = store.now(result.begun) >= result.customer.units - 1e-6
            if result.verdict == "served":
                store.take(result.customer.units, result.begun)
            if since <= result.begun < until:
                if result.verdict == "served" and not room:
                    without.add(int(result.begun))
                elif result.verdict == "refused":
                    refused.append((int(result.begun), room))
        return 100.0 * sum(room and at in without for at, room in refused) / max(1, len(refused))

    @inlineCallbacks
    def run(self) -> Steps:
        """From the start of the fleet to its end."""
        self.fleet.up()
        pids = yield self.fleet.ready(self.members)
        for n in range(CUSTOMERS):
            self.world.agents.begin(
                Customer(
                    1 + n,
                    "korporat",
                    LOAD / CUSTOMERS,
                    first=n * self.members // CUSTOMERS,
                    spread=min(3, self.members),
                    of=self.members,
                ),
                CLASSES,
            )
        for n in range(BEYOND):
            beyond = Customer(
                101 + n,
                "kedai",
                3.0 * PLANS["kedai"][0],
                first=n * self.members // BEYOND,
                spread=min(3, self.members),
                of=self.members,
            )
            self.world.agents.begin(beyond, CLASSES)
        yield sleep(2.0)
        bad, began = self.world.servers[0], clock.now()
        bad.error_rate = 1.0
        yield sleep(LEARN + WATCHED)
        self.bad_passes = self.passes(0, began + LEARN, clock.now())
        well = clock.now()
        bad.error_rate = 0.0
        while self.passes(0, clock.now() - 1.0, clock.now()) < 0.5 * LOAD / SERVERS and clock.now() < well + BACK:
            yield sleep(0.05)
        self.back = clock.now() - well
        self.fleet.signal(pids[0], signal.SIGSTOP)  # it goes on with what it knew
        yield sleep(3.0)
        self.fleet.signal(pids[0], signal.SIGCONT)
        yield sleep(3.0)
        share = self.passes(0, clock.now() - 2.0, clock.now()) / (LOAD / SERVERS)
        self.wrong += [f"{share:.2f} of its share at server 0 after one that slept went on"] * (share < 0.4)
        end = clock.now()
        pids = yield self.fleet.ready(self.members)
        yield self.overload(pids)
        self.world.agents.stop()
        while self.world.agents.open:
            yield sleep(0.02)
        self._judge(began, end)
        yield self.fleet.order(do="down")

    def _judge(self, began: float, end: float) -> None:
        results = [r for r in self.world.agents.results if began <= r.begun < end and r.customer.plan == "korporat"]
        served = sum(r.verdict == "served" for r in results)
        stopped = sum(r.verdict == "unanswered" for r in results)  # of the member that was stopped
        self.good = 100.0 * served / max(1, len(results) - stopped)
        at, everything = began, self.world.agents.results
        while at + 5.0 <= everything[-1].begun:
            firsts = {r.id for r in everything if at <= r.begun < at + 5.0}
            sent = [a.request for a in self.world.arrivals() if a.request in firsts]
            if sent:
                self.attempts = max(self.attempts, len(sent) / len(set(sent)))
            at += 1.0
        self.wrong += [f"{r.id} has {r.answers} answers" for r in self.world.answered_twice()][:3]
        self.wrong += self.world.unlawful()[:3]

    def clean(self) -> None:
        """End what is left."""
        self.fleet.end()
        for server in self.world.servers:
            server.die()
        self.world.counter.die()
        shutil.rmtree(self.folder, ignore_errors=True)


@inlineCallbacks
def prove(sizes: list[Size], begun: float) -> Steps:
    """All sizes, one after the other."""
    for members in SIZES:
        sizes.append(size := Size(members))
        try:
            yield size.run()
        finally:
            size.clean()
        print(
            f"{time.monotonic() - begun:6.1f} s  {members} members: {size.bad_passes:.2f} passes/s into the bad one, "
            f"back after {size.back:.1f} s, {size.attempts:.3f} attempts a first try, {size.good:.1f}% served; "
            f"in overload {size.goodput:.1f}% of the capacity, {size.inversions:.1f}% of refusals inverted, "
            f"well after {size.recovered:.1f} s",
            flush=True,
        )


def main() -> int:
    """The exit code."""
    sizes, crashed, begun = list[Size](), list[Any](), time.monotonic()
    reactor.callWhenRunning(lambda: prove(sizes, begun).addErrback(crashed.append).addBoth(lambda _: reactor.stop()))
    reactor.run()
    for failure in crashed:
        print(f"fault: {failure.getTraceback()}")
    if crashed:
        return 1
    first, last = sizes[0], sizes[-1]
    ratio = last.bad_passes / max(0.01, first.bad_passes)
    attempts, back = max(s.attempts for s in sizes), max(s.back for s in sizes)
    good = min(s.good for s in sizes)
    wrong = [fault for size in sizes for fault in size.wrong]
    wrong += [f"{ratio:.2f} times the passes into the bad server with {last.members} members"] * (ratio > MOST_RATIO)
    wrong += [f"{attempts:.3f} attempts a first try"] * (attempts > MOST_ATTEMPTS)
    wrong += [f"back after {back:.1f} s"] * (back > MOST_BACK)
    wrong += [f"{good:.1f}% served"] * (good < LEAST_GOOD)
    goodput, recovered = min(s.goodput for s in sizes), max(s.recovered for s in sizes)
    inversions = max(s.inversions for s in sizes)
    wrong += [f"goodput at {goodput:.1f}% of the capacity in overload"] * (goodput < LEAST_GOODPUT)
    wrong += [f"{inversions:.1f}% of refusals were of who had room while others had none"] * (
        inversions > MOST_INVERSIONS
    )
    wrong += [f"well again after {recovered:.1f} s"] * (recovered >= WELL)
    for fault in wrong:
        print(f"fault: {fault}")
    print(
        f"prove-overload: bad_passes_ratio_{last.members}_to_{first.members}={ratio:.2f} "
        f"bad_passes_s={last.bad_passes:.2f} attempts_per_first_max={attempts:.3f} back_s={back:.1f} "
        f"served_pct={good:.1f} shed_inversions_pct={inversions:.1f} recovered_s={recovered:.1f} "
        f"goodput_pct_of_capacity={goodput:.1f}"
    )
    return int(bool(wrong))


if __name__ == "__main__":
    sys.exit(main())
