"""What the days in service ask of the run line, measured over our own stand-ins; exit 1 past a bound.

python benchmarks/in_service.py long        # twenty 4 MiB answers at once at a 64 MB limit, small ones beside them
python benchmarks/in_service.py upgrades    # ten upgrades under load, and what ended at the door meanwhile
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter as EventCounts
from pathlib import Path
from typing import Any

import psutil
from twisted.internet.defer import inlineCallbacks

from thymeflow.testkit.async_steps import Steps, reactor, sleep
from thymeflow.testkit.fakes import Customer, World

ROOT = Path(__file__).resolve().parent.parent
MEMORY, LONG, MOST = 64, 20, 4 * 2**20  # MB of the limit; answers at once, and their bytes
PACE = 1e6  # bytes a second that each of their readers takes
SMALL = 100.0  # small requests a second beside them
UPGRADES, LOAD = 10, 200.0  # how many, and requests a second all the while


class Copy:
    """One process of the run line, and what it logs."""

    def __init__(self, config: Path, folder: Path) -> None:
        self.begun, self.lines = time.monotonic(), list[str]()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "thymeflow"],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "BALANCER_CONFIG": str(config), "TMPDIR": str(folder)},
        )
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.lines.append(line)

    def said(self, part: str) -> str:
        """The line that holds the part, once there is one."""
        return next((line for line in self.lines if part in line), "")

    @inlineCallbacks
    def ready(self) -> Steps:
        """Wait until it serves; seconds since its start."""
        while not self.said("phase: serving"):
            assert self.process.poll() is None, self.lines
            yield sleep(0.005)
        return time.monotonic() - self.begun


def p99(results: list[Any]) -> float:
    """Of the answer times of what was served, in ms."""
    times = sorted(r.ended - r.begun for r in results if r.verdict == "served")
    return times[int(0.99 * len(times))] * 1e3 if times else float("nan")


def started(world: World, folder: Path) -> tuple[Copy, dict[str, Any], Path]:
    """The first copy, its configuration and the file of that."""
    config, path = {**world.config(1, MEMORY), "mgmt": "127.0.0.1:0"}, folder / "config.json"
    path.write_text(json.dumps(config))
    return Copy(path, folder), config, path


@inlineCallbacks
def long(world: World, folder: Path) -> Steps:
    """The exit code for long values."""
    copy, _, _ = started(world, folder)
    yield copy.ready()
    world.addresses[0] = ("127.0.0.1", int(copy.said("listening:").rsplit(":", 1)[1]))
    for server in world.servers:
        server.mean, server.long = 0.01, {"booking-view": MOST}
    world.agents.pace = {"booking-view": PACE}
    small = Customer(1, "korporat", SMALL)
    world.agents.begin(small, ("table-check",))
    yield sleep(4.0)
    alone = p99([r for r in world.agents.results if r.cls == "table-check"])
    first = len(world.agents.results)
    big = [world.agents.ask(Customer(10 + n, "korporat", 1.0), "booking-view", 0, 20.0) for n in range(LONG)]
    watched, peak = psutil.Process(copy.process.pid), 0
    while not all(result.verdict for result in big):
        peak = max(peak, watched.memory_info().rss)
        yield sleep(0.01)
    beside = p99([r for r in world.agents.results[first:] if r.cls == "table-check"])
    world.agents.stop()
    whole = sum(r.verdict == "served" and not r.wrong for r in big)
    took = max(r.ended - r.begun for r in big)
    copy.process.send_signal(signal.SIGTERM)
    good = whole == LONG and peak < MEMORY * 2**20
    print(
        f"long-values: whole={whole}/{LONG} bytes={MOST} took_s={took:.1f} peak_mb={peak / 2**20:.1f}/{MEMORY} "
        f"small_p99_ms={alone:.1f}->{beside:.1f} within={'yes' if good else 'no'}",
        flush=True,
    )
    return int(not good)


@inlineCallbacks
def upgrades(world: World, folder: Path) -> Steps:
    """The exit code for upgrades."""
    copy, config, path = started(world, folder)
    yield copy.ready()
    world.addresses[0] = ("127.0.0.1", int(copy.said("listening:").rsplit(":", 1)[1]))
    path.write_text(json.dumps({**config, "listen": "{}:{}".format(*world.addresses[0])}))
    for number in range(20):
        world.agents.begin(Customer(number, "korporat", LOAD / 20), ("table-check", "booking-make"))
    ready, both = list[float](), 0
    for _ in range(UPGRADES):
        yield sleep(1.0)
        old, copy = copy, Copy(path, folder)
        ready.append((yield copy.ready()))
        both = max(both, sum(psutil.Process(c.process.pid).memory_info().rss for c in (old, copy)))
        old.process.send_signal(signal.SIGTERM)
        while old.process.poll() is None:
            yield sleep(0.01)
        assert old.process.returncode == 0, old.lines
    yield sleep(1.0)
    world.agents.stop()
    while world.agents.open:
        yield sleep(0.05)
    copy.process.send_signal(signal.SIGTERM)
    results = world.agents.results
    found = EventCounts(r.verdict for r in results)
    resent, twice = sum(r.resent for r in results), len(world.answered_twice()) + len(world.unlawful())
    good = not (found["refused connect"] or found["unanswered"] or twice)
    print(
        f"upgrades: n={UPGRADES} asked={len(results)} refused_connects={found['refused connect']} "
        f"unanswered={found['unanswered']} twice={twice} crossed_a_close={resent} ready_s={max(ready):.2f} "
        f"both_mb={both / 2**20:.0f} within={'yes' if good else 'no'}",
        flush=True,
    )
    return int(not good)


def main() -> int:
    """Measure; the exit code."""
    kinds = {"long": long, "upgrades": upgrades}
    if len(sys.argv) != 2 or sys.argv[1] not in kinds:
        print(__doc__, file=sys.stderr)
        return 2
    code: list[int] = []
    plans = {"korporat": (5000.0, 5000.0)}

    def begin() -> None:
        world = World(reactor, 3, servers=4, plans=plans)
        world.start()
        kinds[sys.argv[1]](world, folder).addCallbacks(code.append, lambda failure: failure.printTraceback()).addBoth(
            lambda _: reactor.stop()
        )

    with tempfile.TemporaryDirectory(prefix="tf") as name:
        folder = Path(name)
        reactor.callWhenRunning(begin)
        reactor.run()
    for process in psutil.Process().children(recursive=True):
        process.kill()
    return code[0] if code else 1


if __name__ == "__main__":
    sys.exit(main())
