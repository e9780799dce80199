"""What the run line needs in service, measured in a test environment; exit code 1 where a bound is exceeded.

PYTHONPATH=. python benchmarks/in_service.py long      # twenty values of 4 MiB at once, at a memory limit of 64 MB
PYTHONPATH=. python benchmarks/in_service.py upgrades  # ten upgrades under load
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
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import psutil
from twisted.internet.defer import Deferred, inlineCallbacks

from benchmarks.frame import run_script
from thymeflow.testkit.async_steps import Steps, reactor, sleep
from thymeflow.testkit.fakes import Customer, Environment, RequestOutcome, RequestResult
from thymeflow.testkit.fakes.site import CHECK_CLASS, KEYED_CLASS, VIEW_CLASS, PlanQuota
from thymeflow.testkit.types import Address, JsonObject

SOURCE_ROOT = Path(__file__).resolve().parent.parent
SEED = 3
BACKEND_COUNT = 4
PLAN = "korporat"
QUOTA = PlanQuota(5000.0, 5000.0)

MEMORY_LIMIT_MB = 64
LONG_VALUE_COUNT = 20  # at once
LONG_VALUE_BYTES = 4 * 2**20
LONG_VALUE_DEADLINE_SECONDS = 20.0
READ_BYTES_PER_SECOND = 1e6  # by the client of each long value
SHORT_REQUESTS_PER_SECOND = 100.0  # beside the long values
LONG_MEAN_WORK_SECONDS = 0.01
ALONE_SECONDS = 4.0  # in which only short values are requested

UPGRADE_COUNT = 10
UPGRADE_INTERVAL_SECONDS = 1.0
UPGRADE_REQUESTS_PER_SECOND = 200.0
UPGRADE_CUSTOMER_COUNT = 20


class LimiterUnderTest:
    """One process of the run line, and its log."""

    def __init__(self, config_path: Path, folder: Path) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "thymeflow"],
            cwd=SOURCE_ROOT,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "BALANCER_CONFIG": str(config_path), "TMPDIR": str(folder)},
        )
        self._started_at = time.monotonic()
        self._log_lines: list[str] = []
        threading.Thread(target=self._read_log, daemon=True).start()

    def _read_log(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self._log_lines.append(line)

    def log_line(self, text: str) -> str:
        """Return the first log line with a text, empty while there is none."""
        return next((line for line in self._log_lines if text in line), "")

    def address(self) -> Address:
        """Return where it listens."""
        return "127.0.0.1", int(self.log_line("listening:").rsplit(":", 1)[1])

    @inlineCallbacks
    def wait_until_serving(self) -> Steps:
        """Wait until it serves, and return the seconds since its start."""
        while not self.log_line("phase: serving"):
            assert self.process.poll() is None, self._log_lines
            yield sleep(0.005)
        return time.monotonic() - self._started_at

    @inlineCallbacks
    def terminate(self) -> Steps:
        """Shut it down gracefully."""
        self.process.send_signal(signal.SIGTERM)
        while self.process.poll() is None:
            yield sleep(0.01)
        assert self.process.returncode == 0, self._log_lines

    def memory_bytes(self) -> int:
        """Return its resident memory."""
        memory: int = psutil.Process(self.process.pid).memory_info().rss
        return memory


class ServiceBenchmark:
    """A test environment with one limiter."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._config_path = folder / "config.json"
        self._environment = Environment(reactor, SEED, backend_count=BACKEND_COUNT, plans={PLAN: QUOTA})

    def _write_config(self, config: JsonObject) -> None:
        self._config_path.write_text(json.dumps(config))

    def _start_limiter(self) -> LimiterUnderTest:
        return LimiterUnderTest(self._config_path, self._folder)

    @inlineCallbacks
    def _start(self) -> Steps:
        """Start everything, and return the limiter with its configuration."""
        self._environment.start()
        config = {**self._environment.config(1, MEMORY_LIMIT_MB), "mgmt": "127.0.0.1:0"}
        self._write_config(config)
        limiter = self._start_limiter()
        yield limiter.wait_until_serving()
        self._environment.limiter_addresses[0] = limiter.address()
        return limiter, config

    # Long values.

    @inlineCallbacks
    def measure_long_values(self) -> Steps:
        """Request long values beside short ones; return the exit code."""
        limiter, _ = yield self._start()
        clients = self._environment.clients
        for backend in self._environment.backends:
            backend.behavior.mean_work_seconds = LONG_MEAN_WORK_SECONDS
            backend.behavior.min_value_bytes = {VIEW_CLASS: LONG_VALUE_BYTES}
        clients.read_bytes_per_second = {VIEW_CLASS: READ_BYTES_PER_SECOND}
        clients.start_customer(Customer(1, PLAN, SHORT_REQUESTS_PER_SECOND), (CHECK_CLASS,))
        yield sleep(ALONE_SECONDS)
        p99_alone_ms = p99_ms(clients.results)
        first_beside = len(clients.results)
        long_results = [
            clients.send_request(Customer(10 + number, PLAN, 1.0), VIEW_CLASS, 0, LONG_VALUE_DEADLINE_SECONDS)
            for number in range(LONG_VALUE_COUNT)
        ]
        peak_bytes = 0
        while not all(result.is_finished for result in long_results):
            peak_bytes = max(peak_bytes, limiter.memory_bytes())
            yield sleep(0.01)
        p99_beside_ms = p99_ms(clients.results[first_beside:])
        clients.stop()
        limiter.process.send_signal(signal.SIGTERM)
        complete_count = sum(result.is_served and not result.has_wrong_value for result in long_results)
        is_within = complete_count == LONG_VALUE_COUNT and peak_bytes < MEMORY_LIMIT_MB * 2**20
        print(
            f"long-values: whole={complete_count}/{LONG_VALUE_COUNT} bytes={LONG_VALUE_BYTES} "
            f"took_s={max(result.duration_seconds for result in long_results):.1f} "
            f"peak_mb={peak_bytes / 2**20:.1f}/{MEMORY_LIMIT_MB} small_p99_ms={p99_alone_ms:.1f}->{p99_beside_ms:.1f} "
            f"within={'yes' if is_within else 'no'}",
            flush=True,
        )
        return int(not is_within)

    # Upgrades.

    @inlineCallbacks
    def measure_upgrades(self) -> Steps:
        """Upgrade the limiter again and again under load; return the exit code."""
        limiter, config = yield self._start()
        clients = self._environment.clients
        self._write_config({**config, "listen": "{}:{}".format(*self._environment.limiter_addresses[0])})
        for number in range(UPGRADE_CUSTOMER_COUNT):
            customer = Customer(number, PLAN, UPGRADE_REQUESTS_PER_SECOND / UPGRADE_CUSTOMER_COUNT)
            clients.start_customer(customer, (CHECK_CLASS, KEYED_CLASS))
        max_ready_seconds = 0.0
        max_memory_bytes = 0
        for _ in range(UPGRADE_COUNT):
            yield sleep(UPGRADE_INTERVAL_SECONDS)
            predecessor = limiter
            limiter = self._start_limiter()
            ready_seconds = yield limiter.wait_until_serving()
            max_ready_seconds = max(max_ready_seconds, ready_seconds)
            max_memory_bytes = max(max_memory_bytes, predecessor.memory_bytes() + limiter.memory_bytes())
            yield predecessor.terminate()
        yield sleep(UPGRADE_INTERVAL_SECONDS)
        clients.stop()
        while clients.pending:
            yield sleep(0.05)
        limiter.process.send_signal(signal.SIGTERM)
        return self._evaluate_upgrades(max_ready_seconds, max_memory_bytes)

    def _evaluate_upgrades(self, max_ready_seconds: float, max_memory_bytes: int) -> int:
        results = self._environment.clients.results
        outcomes = Counter(result.outcome for result in results)
        refused_count = outcomes[RequestOutcome.CONNECT_REFUSED]
        unanswered_count = outcomes[RequestOutcome.UNANSWERED]
        violations = self._environment.attempt_violations()
        twice_count = len(self._environment.wrongly_answered()) + len(violations)
        is_within = not (refused_count or unanswered_count or twice_count)
        print(
            f"upgrades: n={UPGRADE_COUNT} asked={len(results)} refused_connects={refused_count} "
            f"unanswered={unanswered_count} twice={twice_count} "
            f"crossed_a_close={sum(result.is_resent for result in results)} ready_s={max_ready_seconds:.2f} "
            f"both_mb={max_memory_bytes / 2**20:.0f} within={'yes' if is_within else 'no'}",
            flush=True,
        )
        return int(not is_within)


def p99_ms(results: list[RequestResult]) -> float:
    """Return the 99th percentile of the durations of served short requests."""
    durations = sorted(
        result.duration_seconds for result in results if result.request_class == CHECK_CLASS and result.is_served
    )
    return durations[int(0.99 * len(durations))] * 1e3 if durations else float("nan")


SCENARIOS: dict[str, Callable[[ServiceBenchmark], Deferred[int]]] = {
    "long": ServiceBenchmark.measure_long_values,
    "upgrades": ServiceBenchmark.measure_upgrades,
}


def main() -> int:
    """Measure, and return the exit code."""
    if len(sys.argv) != 2 or sys.argv[1] not in SCENARIOS:
        print(__doc__, file=sys.stderr)
        return 2
    scenario = SCENARIOS[sys.argv[1]]
    with tempfile.TemporaryDirectory(prefix="tf") as name:
        folder = Path(name)
        end = run_script(lambda: scenario(ServiceBenchmark(folder)))
    for process in psutil.Process().children(recursive=True):
        process.kill()
    for crash in end.crashes:
        print(crash, file=sys.stderr)
    return end.results[0] if end.results else 1


if __name__ == "__main__":
    sys.exit(main())
