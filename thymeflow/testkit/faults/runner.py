"""Running a schedule from the command line, and printing what the invariant checkers found."""

from __future__ import annotations

import shutil
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from twisted.python.failure import Failure

from thymeflow.testkit.async_steps import reactor
from thymeflow.testkit.faults.cluster import ClusterHarness
from thymeflow.testkit.faults.invariants import check_all
from thymeflow.testkit.faults.schedule import Schedule
from thymeflow.testkit.faults.schedule_file import text_of

MAX_SHOWN_VIOLATIONS = 5  # of each checker
HARNESS_NAME = "rig"  # among the printed names of checkers: faults of the harness itself


def run_schedule(schedule: Schedule, echo: Callable[[str], object] = print, fault_mode: str = "") -> int:
    """Run a schedule once; return 0 where no checker found anything, else 1 with the violations and the schedule.

    `fault_mode`: the fault to put into the limiters; see `fault_modes`.
    """
    folder = Path(tempfile.mkdtemp(prefix="thymeflow-lab-"))
    cluster = ClusterHarness(reactor, schedule, folder, fault_mode)
    crashes: list[str] = []

    def on_crash(failure: Failure) -> None:
        """Record a failure of the harness itself."""
        crashes.append(f"the rig itself: {failure.getTraceback()}")

    reactor.callWhenRunning(lambda: cluster.run().addErrback(on_crash).addBoth(lambda _: reactor.stop()))
    reactor.run()
    if cluster.load_started_at:
        violations = {HARNESS_NAME: crashes, **check_all(cluster)}
    else:
        violations = {HARNESS_NAME: crashes, "ends": cluster.stalls}
    _print_violations(violations, echo)
    has_violations = any(violations.values())
    if has_violations:
        echo(f"the schedule, to play it again with `thymeflow lab play FILE` (logs in {folder}):\n{text_of(schedule)}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    echo(_summary(cluster, violations))
    return int(has_violations)


def _print_violations(violations: dict[str, list[str]], echo: Callable[[str], object]) -> None:
    for checker, texts in violations.items():
        for text in texts[:MAX_SHOWN_VIOLATIONS]:
            echo(f"{checker}: {text}")
        if len(texts) > MAX_SHOWN_VIOLATIONS:
            echo(f"{checker}: and {len(texts) - MAX_SHOWN_VIOLATIONS} more")


def _summary(cluster: ClusterHarness, violations: dict[str, list[str]]) -> str:
    results = cluster.environment.clients.results
    counts = Counter(result.outcome.value.replace(" ", "_") for result in results)
    figures = [
        f"requests={len(results)}",
        *(f"{outcome}={count}" for outcome, count in sorted(counts.items())),
        f"steps={len(cluster.injector.applied)}",
        *(f"{checker}={len(texts)}" for checker, texts in violations.items()),
    ]
    return f"lab play: {' '.join(figures)}"
