"""What benchmarks and proofs share: a script on the reactor, progress with times, the last line and the exit code."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from thymeflow.testkit.async_steps import reactor

IS_FULL = os.environ.get("FULL") == "1"  # longer phases, more faults
FAULT_MODE = os.environ.get("FAULT_MODE", "")  # a fault to put in, which the proof has to find

ResultType = TypeVar("ResultType")


@dataclass
class ScriptEnd(Generic[ResultType]):
    """How a script on the reactor ended: its results, at most one, or why there is none."""

    results: list[ResultType] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)


def run_script(
    script: Callable[[], Deferred[ResultType]], timeout_seconds: float | None = None
) -> ScriptEnd[ResultType]:
    """Run a script on the reactor until it ends, crashes or times out."""
    end: ScriptEnd[ResultType] = ScriptEnd()

    def on_crash(failure: Failure) -> None:
        """Record a crash of the script."""
        end.crashes.append(failure.getTraceback())

    def on_timeout() -> None:
        """End a script that does not end."""
        end.crashes.append(f"no end within {timeout_seconds:g} s")
        reactor.stop()

    def start() -> None:
        """Run the script, and stop the reactor after it."""
        script().addCallbacks(end.results.append, on_crash).addBoth(
            lambda _: reactor.stop() if reactor.running else None
        )

    reactor.callWhenRunning(start)
    if timeout_seconds is not None:
        reactor.callLater(timeout_seconds, on_timeout)
    reactor.run()
    return end


class Proof:
    """The frame of one proof: what it reports on the way, and its verdict in the last line and the exit code."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._started_at = time.monotonic()
        self._failures: list[str] = []

    def elapsed_seconds(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._started_at

    def report(self, text: str) -> None:
        """Print progress, with the time since the start."""
        print(f"{self.elapsed_seconds():6.1f} s  {text}", flush=True)

    def fail_if(self, is_failure: bool, text: str) -> None:
        """Record a failure where there is one."""
        if is_failure:
            self._failures.append(text)

    def run(self, script: Callable[[], Deferred[None]], timeout_seconds: float | None = None) -> bool:
        """Run the script of the proof, and return whether it came to its end; a crash is a failure."""
        crashes = run_script(script, timeout_seconds).crashes
        self._failures += crashes
        return not crashes

    def print_failures(self, max_count: int | None = None) -> None:
        """Print the failures so far."""
        for text in self._failures[:max_count]:
            print(f"fault: {text}", flush=True)

    def print_last_line(self, figures: Mapping[str, object]) -> None:
        """Print the figures of the proof."""
        print(f"{self._name}: " + " ".join(f"{name}={value}" for name, value in figures.items()), flush=True)

    def exit_code(self) -> int:
        """Return 0 where nothing failed, else 1."""
        return int(bool(self._failures))
