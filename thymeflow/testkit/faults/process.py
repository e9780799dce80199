"""One limiter as a real process: started, paused, resumed, killed, and started again with what is on disk."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from thymeflow.testkit.faults.schedule import SERVE_COMMAND
from thymeflow.testkit.types import JsonObject

EXIT_TIMEOUT_SECONDS = 20.0
SOURCE_ROOT = Path(__file__).parents[3]


class LimiterProcess:
    """The process of one limiter. Only processes that were started here are signalled, by their handles."""

    def __init__(self, number: int, folder: Path, command: str, config: JsonObject, fault_mode: str = "") -> None:
        """`fault_mode`: the fault to put into the limiter; see `fault_modes`."""
        self.number = number
        self.log_path = folder / f"n{number}.log"
        self.config = config
        self.exit_codes: list[int] = []  # of processes that ended by themselves
        self.is_paused = False
        self._is_killed = False
        self._config_path = folder / f"n{number}.json"
        self._module = ["thymeflow.testkit.faults.fault_modes", fault_mode] if fault_mode else ["thymeflow"]
        self._arguments: list[str] = []
        if command == SERVE_COMMAND:
            self._arguments = ["serve", "--state", str(folder / f"s{number}")]
        self._process: subprocess.Popen[bytes] | None = None

    def is_running(self) -> bool:
        """Return whether there is a process, paused or not."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start a process, unless one is running."""
        if self.is_running():
            return
        self._record_exit()
        self._config_path.write_text(json.dumps(self.config))
        environment = {
            **os.environ,
            "BALANCER_CONFIG": str(self._config_path),
            "PYTHONPATH": str(SOURCE_ROOT),
            "THYMEFLOW_BUDGETS_UNITS": str(self.config["units"]),
        }
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self._module, *self._arguments],
                stdout=log,
                stderr=log,
                cwd=SOURCE_ROOT,
                env=environment,
            )
        self.is_paused = False
        self._is_killed = False

    def signal(self, number: int) -> None:
        """Send a signal to the process, if one is running."""
        if self._process is None or not self.is_running():
            return
        self._process.send_signal(number)
        if number == signal.SIGKILL:
            self._is_killed = True
            self._process.wait(EXIT_TIMEOUT_SECONDS)
        elif number in (signal.SIGSTOP, signal.SIGCONT):
            self.is_paused = number == signal.SIGSTOP

    def _record_exit(self) -> None:
        if self._process is not None and self._process.poll() is not None:
            if not self._is_killed:
                self.exit_codes.append(self._process.returncode)
            self._process = None

    def end(self) -> None:
        """Terminate the process, and kill it where it does not end in time."""
        if self._process is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.signal(signal.SIGCONT)
                self.signal(signal.SIGTERM)
                self._process.wait(EXIT_TIMEOUT_SECONDS)
            self._record_exit()
        if self._process is not None:
            self.signal(signal.SIGKILL)
            self.exit_codes.append(-signal.SIGKILL)
            self._process = None
