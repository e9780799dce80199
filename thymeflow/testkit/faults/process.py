"""One limiter as a real process: started, stopped, gone on with, killed, and started again with what is on disk."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

WAIT = 20.0  # s: for a process to end; only a failing run waits so long


class Process:
    """A limiter of a number. Only processes that were started here are signalled, by their handles."""

    def __init__(self, number: int, folder: Path, line: str, config: dict[str, Any], broken: str = "") -> None:
        self.number, self._folder, self._line = number, folder, line
        self._program = ["thymeflow.testkit.faults.fault_modes", broken] if broken else ["thymeflow"]
        self.stopped, self.killed, self.starts = False, False, 0
        self._popen: subprocess.Popen[bytes] | None = None
        self._path, self.log = folder / f"n{number}.json", folder / f"n{number}.log"
        self.config = config
        self.codes: list[int] = []  # of lives that ended by themselves

    def up(self) -> bool:
        """Whether it runs, stopped or not."""
        return self._popen is not None and self._popen.poll() is None

    def start(self) -> None:
        """Start a life, unless one runs."""
        if self.up():
            return
        self.reap()
        self._path.write_text(json.dumps(self.config))
        words = ["serve", "--state", str(self._folder / f"s{self.number}")] if self._line == "serve" else []
        with self.log.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *self._program, *words],
                stdout=log,
                stderr=log,
                cwd=Path(__file__).parents[3],
                env={
                    **os.environ,
                    "BALANCER_CONFIG": str(self._path),
                    "PYTHONPATH": str(Path(__file__).parents[3]),
                    "THYMEFLOW_BUDGETS_UNITS": str(self.config["units"]),
                },
            )
        self.stopped = self.killed = False
        self.starts += 1

    def signal(self, number: int) -> None:
        """Send a signal to the life that runs."""
        if self._popen is None or not self.up():
            return
        self._popen.send_signal(number)
        if number == signal.SIGKILL:
            self.killed = True
            self._popen.wait(WAIT)
        elif number in (signal.SIGSTOP, signal.SIGCONT):
            self.stopped = number == signal.SIGSTOP

    def reap(self) -> None:
        """Note how a life that ended by itself did so."""
        if self._popen is not None and self._popen.poll() is not None:
            if not self.killed:
                self.codes.append(self._popen.returncode)
            self._popen = None

    def end(self) -> None:
        """End it for good, in good order if it still does."""
        if self._popen is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.signal(signal.SIGCONT)
                self.signal(signal.SIGTERM)
                self._popen.wait(WAIT)
            self.reap()
        if self._popen is not None:
            self.signal(signal.SIGKILL)
            self.codes.append(-signal.SIGKILL)  # it did not end when told to
            self._popen = None
