"""What the platform's run line costs, against another tree: start, idle memory and CPU per request, in turn.

    PYTHONPATH=. python benchmarks/run_line.py OTHER_TREE [ROUNDS]

Both trees run under this Python, one after the other in each round, in the same test environment; the figures are
medians, and the last line compares them with the budget: 3% for the start, 1 MB of memory, 3% of CPU.
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
from typing import NamedTuple

import psutil
from twisted.internet.defer import inlineCallbacks
from twisted.internet.threads import deferToThread

from benchmarks.frame import ScriptEnd, run_script
from thymeflow.testkit.async_steps import Steps, reactor, sleep
from thymeflow.testkit.fakes import Customer, Environment
from thymeflow.testkit.fakes.site import CHECK_CLASS, PlanQuota
from thymeflow.testkit.types import Address

SEED = 3
BACKEND_COUNT = 4
MEAN_WORK_SECONDS = 0.002
PLAN = "korporat"
QUOTA = PlanQuota(5000.0, 5000.0)
REQUEST_COUNT = 2400  # in a round
REQUESTS_PER_SECOND = 600.0
IDLE_SECONDS = 1.0  # before its memory is read
DEFAULT_ROUNDS = 5
MAX_START_RATIO = 1.03
MAX_EXTRA_MEMORY_MB = 1.0
MAX_CPU_RATIO = 1.03
SOURCE_ROOT = Path(__file__).resolve().parent.parent


class Cost(NamedTuple):
    """What one run of one tree cost."""

    start_seconds: float
    memory_mb: float
    cpu_ms_per_request: float


def wait_for_pong(address: Address) -> None:
    """Wait for the reply that the platform waits for; it may come before the line in the log or after it."""
    with socket.create_connection(address, 10.0) as connection:
        connection.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert connection.recv(100) == b"+PONG\r\n"


@inlineCallbacks
def start_limiter(environment: Environment, tree: Path, config_path: Path) -> Steps:
    """Start the run line of a tree, wait until it serves, and return the process."""
    process = subprocess.Popen(
        [sys.executable, "-m", "thymeflow"],
        cwd=tree,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "BALANCER_CONFIG": str(config_path)},
    )
    assert process.stderr is not None
    line = ""
    while "phase: serving" not in line:
        line = yield deferToThread(process.stderr.readline)  # in a thread, as discovery has to respond meanwhile
        if "listening:" in line:
            environment.limiter_addresses[0] = ("127.0.0.1", int(line.rsplit(":", 1)[1]))
    yield deferToThread(wait_for_pong, environment.limiter_addresses[0])
    return process


@inlineCallbacks
def send_load(environment: Environment) -> Steps:
    """Send the requests of a round, and wait for their responses."""
    customer = Customer(1, PLAN, REQUESTS_PER_SECOND)
    started_at = time.monotonic()
    for number in range(REQUEST_COUNT):
        environment.clients.send_request(customer, CHECK_CLASS)
        early_seconds = number / REQUESTS_PER_SECOND - (time.monotonic() - started_at)
        if early_seconds > 0.0:
            yield sleep(early_seconds)
    while environment.clients.pending:
        yield sleep(0.05)


@inlineCallbacks
def measure_tree(environment: Environment, tree: Path, config_path: Path) -> Steps:
    """Run the run line of a tree once, and return its Cost."""
    started_at = time.monotonic()
    process = yield start_limiter(environment, tree, config_path)
    start_seconds = time.monotonic() - started_at
    watched = psutil.Process(process.pid)
    yield sleep(IDLE_SECONDS)
    memory_mb = watched.memory_info().rss / 2**20
    before = watched.cpu_times()
    yield send_load(environment)
    after = watched.cpu_times()
    cpu_seconds = after.user + after.system - before.user - before.system
    process.send_signal(signal.SIGTERM)
    environment.clients.close()
    yield sleep(1.0)
    process.communicate(timeout=20)
    return Cost(start_seconds, memory_mb, cpu_seconds / REQUEST_COUNT * 1e3)


def median_cost(costs: list[Cost]) -> Cost:
    """Return the medians."""
    return Cost(
        median(cost.start_seconds for cost in costs),
        median(cost.memory_mb for cost in costs),
        median(cost.cpu_ms_per_request for cost in costs),
    )


def compare(old: Cost, new: Cost) -> bool:
    """Print the last line, and return whether the new costs are within the budget."""
    is_within = (
        new.start_seconds <= old.start_seconds * MAX_START_RATIO
        and new.memory_mb <= old.memory_mb + MAX_EXTRA_MEMORY_MB
        and new.cpu_ms_per_request <= old.cpu_ms_per_request * MAX_CPU_RATIO
    )
    print(
        f"run-line: start_s={old.start_seconds:.3f}->{new.start_seconds:.3f} "
        f"idle_mb={old.memory_mb:.2f}->{new.memory_mb:.2f} "
        f"cpu_ms={old.cpu_ms_per_request:.3f}->{new.cpu_ms_per_request:.3f} within={'yes' if is_within else 'no'}",
        flush=True,
    )
    return is_within


@inlineCallbacks
def measure(other_tree: Path, rounds: int) -> Steps:
    """Measure all rounds, and return the exit code."""
    environment = Environment(reactor, SEED, backend_count=BACKEND_COUNT, plans={PLAN: QUOTA})
    environment.start()
    for backend in environment.backends:
        backend.behavior.mean_work_seconds = MEAN_WORK_SECONDS
    trees = {"other": other_tree, "this": SOURCE_ROOT}
    costs: dict[str, list[Cost]] = {name: [] for name in trees}
    for tree in trees.values():
        # As the build of the deploy file does: else files that are newer than their bytecode cost at each start.
        subprocess.run([sys.executable, "-m", "compileall", "-q", "thymeflow"], cwd=tree, check=True)
    with tempfile.TemporaryDirectory() as folder:
        config_path = Path(folder) / "config.json"
        config_path.write_text(json.dumps(environment.config(1)))
        for number in range(rounds):
            for name in ("other", "this") if number % 2 == 0 else ("this", "other"):
                cost = yield measure_tree(environment, trees[name], config_path)
                costs[name].append(cost)
                print(
                    f"round {number + 1} {name}: start {cost.start_seconds:.3f} s, {cost.memory_mb:.2f} MB, "
                    f"{cost.cpu_ms_per_request:.3f} ms a request",
                    flush=True,
                )
    return int(not compare(median_cost(costs["other"]), median_cost(costs["this"])))


def main() -> int:
    """Measure, and return the exit code."""
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_ROUNDS
    end: ScriptEnd[int] = run_script(lambda: measure(Path(sys.argv[1]), rounds))
    for crash in end.crashes:
        print(crash, file=sys.stderr)
    return end.results[0] if end.results else 1


if __name__ == "__main__":
    sys.exit(main())
