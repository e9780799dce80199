"""What the platform's run line costs, against another tree: start, idle memory and CPU a request, in turn.

    python benchmarks/run_line.py OTHER_TREE [ROUNDS]

Both trees run under this Python, one after the other in each round, over the same stand-ins; the figures are
medians, and the last line compares them with what DEVELOPERS.md allows: 3%, 1 MB, 3%.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median
from typing import Any

import psutil
from twisted.internet.defer import inlineCallbacks
from twisted.internet.threads import deferToThread

from thymeflow.testkit.async_steps import Steps, reactor, sleep
from thymeflow.testkit.fakes import Customer, World

REQUESTS, PACE = 2400, 600.0  # a round; open-loop, a second


def pong(address: tuple[str, int]) -> None:
    """Wait for the yes that the front waits for: what the log says comes before or after it, as the tree has it."""
    with socket.create_connection(address, 10.0) as front:
        front.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert front.recv(100) == b"+PONG\r\n"


@inlineCallbacks
def one(world: World, tree: Path, config: Path) -> Steps:
    """Start, idle MB and CPU ms a request of one tree."""
    begun = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "thymeflow"],
        cwd=tree,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "BALANCER_CONFIG": str(config)},
    )
    assert process.stderr is not None
    while "phase: serving" not in (line := (yield deferToThread(process.stderr.readline))):  # discovery has to answer
        if "listening:" in line:
            world.addresses[0] = ("127.0.0.1", int(line.rsplit(":", 1)[1]))
    yield deferToThread(pong, world.addresses[0])
    start = time.monotonic() - begun
    watched = psutil.Process(process.pid)
    yield sleep(1.0)
    memory = watched.memory_info().rss / 2**20
    before = watched.cpu_times()
    customer = Customer(1, "korporat", PACE)
    asked = time.monotonic()
    for number in range(REQUESTS):
        world.agents.ask(customer, "table-check")
        ahead = number / PACE - (time.monotonic() - asked)
        if ahead > 0.0:
            yield sleep(ahead)
    while world.agents.open:
        yield sleep(0.05)
    after = watched.cpu_times()
    cpu = (after.user + after.system - before.user - before.system) / REQUESTS * 1e3
    process.send_signal(signal.SIGTERM)
    world.agents.close()
    yield sleep(1.0)
    process.communicate(timeout=20)
    return start, memory, cpu


@inlineCallbacks
def measure(other: Path, rounds: int) -> Steps:
    """All rounds; the exit code."""
    world = World(reactor, 3, servers=4, plans={"korporat": (5000.0, 5000.0)})
    world.start()
    for server in world.servers:
        server.mean = 0.002
    found: dict[str, list[Any]] = {"other": [], "this": []}
    for tree in (other, Path(__file__).resolve().parent.parent):
        # As the deploy file's build does; else a tree whose files are newer than their bytecode pays at each start.
        subprocess.run([sys.executable, "-m", "compileall", "-q", "thymeflow"], cwd=tree, check=True)
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        config.write_text(json.dumps(world.config(1)))
        for turn in range(rounds):
            for name in (("other", "this"), ("this", "other"))[turn % 2]:
                tree = other if name == "other" else Path(__file__).resolve().parent.parent
                found[name].append((yield one(world, tree, config)))
                print(
                    f"round {turn + 1} {name}: start {found[name][-1][0]:.3f} s, {found[name][-1][1]:.2f} MB, "
                    f"{found[name][-1][2]:.3f} ms a request",
                    flush=True,
                )
    old, new = ([median(values) for values in zip(*found[name], strict=True)] for name in ("other", "this"))
    good = new[0] <= old[0] * 1.03 and new[1] <= old[1] + 1.0 and new[2] <= old[2] * 1.03
    print(
        f"run-line: start_s={old[0]:.3f}->{new[0]:.3f} idle_mb={old[1]:.2f}->{new[1]:.2f} "
        f"cpu_ms={old[2]:.3f}->{new[2]:.3f} within={'yes' if good else 'no'}",
        flush=True,
    )
    return int(not good)


def main() -> int:
    """Measure; the exit code."""
    code: list[int] = []
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 5
    reactor.callWhenRunning(
        lambda: (
            measure(Path(sys.argv[1]), rounds)
            .addCallbacks(code.append, lambda failure: failure.printTraceback())
            .addBoth(lambda _: reactor.stop())
        )
    )
    reactor.run()
    return code[0] if code else 1


if __name__ == "__main__":
    sys.exit(main())
