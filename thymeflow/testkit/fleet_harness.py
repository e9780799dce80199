"""A supervisor and its members as real processes in a test environment, for scripts that check them from outside."""

from __future__ import annotations

import contextlib
import json
import os
import shlex
import signal
import subprocess
import sys
from pathlib import Path

from twisted.internet.defer import Deferred, inlineCallbacks

from thymeflow.errors import ThymeflowError
from thymeflow.handover.control_client import NoAnswerError, send_request
from thymeflow.runtime import clock
from thymeflow.testkit.async_steps import Steps, reactor, sleep
from thymeflow.testkit.fakes import Environment
from thymeflow.testkit.fleet_status import FleetStatus
from thymeflow.testkit.types import JsonObject

ORDER_TIMEOUT_SECONDS = 60.0
STATUS_TIMEOUT_SECONDS = 2.0
READY_TIMEOUT_SECONDS = 60.0
POLL_INTERVAL_SECONDS = 0.05


class FleetNotReadyError(ThymeflowError):
    """The members were not ready in time."""


def command_line_of(pid: int) -> str:
    """Return the command line of a process, empty where there is none."""
    try:
        return Path(f"/proc/{pid}/cmdline").read_bytes().decode("utf-8", "replace")
    except OSError:
        return ""


def fleet_settings(folder: Path, member_count: int, sections: str = "", *, restart_delay_seconds: float = 0.5) -> str:
    """Return the text of an INI file for a fleet.

    :param sections: further sections.
    :param restart_delay_seconds: before the first restart of a member that ended.
    """
    return (
        f"[log]\nfile = {folder}/log\n{sections}[fleet]\ninstances = {member_count}\n"
        f"spread = 500ms\nsettle = 100ms\nwait = {restart_delay_seconds:g}s\n"
    )


class FleetHarness:
    """One fleet. Only processes that it started, or that its supervisor reported, are signalled, by their ids."""

    def __init__(
        self,
        environment: Environment,
        folder: Path,
        member_count: int,
        settings: str | None = None,
        *,
        supervisor_code: str = "",
        member_code: str = "",
    ) -> None:
        """Write the configuration files.

        :param settings: the text of the INI file, None for settings from the process environment alone.
        :param supervisor_code: Python code to run in place of the supervisor, with a fault put in.
        :param member_code: the same in place of the members.
        """
        self.folder = folder
        self.state = folder / "s"
        self._environment = environment
        self._supervisor: subprocess.Popen[bytes] | None = None
        self._supervisor_program = ["-c", supervisor_code] if supervisor_code else ["-m", "thymeflow"]
        self._arguments = ["--platform", str(folder / "platform.json"), "--state", str(self.state)]
        (folder / "platform.json").write_text(json.dumps(environment.config(member_count)))
        if settings is not None:
            (folder / "fleet.ini").write_text(settings)
            self._arguments += ["--settings", str(folder / "fleet.ini")]
        if member_code:
            self._arguments += ["--program", shlex.join([sys.executable, "-c", member_code])]

    def start_supervisor(self, variables: dict[str, str] | None = None, *, is_own_session: bool = False) -> None:
        """Start a supervisor.

        :param variables: of the process environment, beside our own.
        :param is_own_session: keep signals of our terminal from it.
        """
        self._supervisor = subprocess.Popen(
            [sys.executable, *self._supervisor_program, "fleet", "up", *self._arguments],
            stdout=subprocess.DEVNULL,
            env={**os.environ, **(variables or {})},
            start_new_session=is_own_session,
        )

    def kill_supervisor(self) -> None:
        """Send SIGKILL to the supervisor; its members go on."""
        assert self._supervisor is not None
        self._supervisor.kill()
        self._supervisor.wait()

    def order(self, timeout_seconds: float = ORDER_TIMEOUT_SECONDS, **message: str | int) -> Deferred[JsonObject]:
        """Send an order to the supervisor, and return its final reply; progress messages are dropped.

        The Deferred fails with NoAnswerError.
        """
        deadline = clock.now() + timeout_seconds
        return send_request(reactor, self._environment.deadlines, self.state / "fleet.sock", dict(message), deadline)

    @inlineCallbacks
    def status(self, timeout_seconds: float = STATUS_TIMEOUT_SECONDS) -> Steps:
        """Return the FleetStatus, None where no supervisor replies."""
        try:
            reply = yield self.order(timeout_seconds, do="status")
        except NoAnswerError:
            return None
        return FleetStatus.from_message(reply)

    @inlineCallbacks
    def wait_until_ready(self, count: int, timeout_seconds: float = READY_TIMEOUT_SECONDS) -> Steps:
        """Wait until so many members are ready, note their addresses in the environment, and return the FleetStatus.

        :raises FleetNotReadyError: after the timeout.
        """
        end = clock.now() + timeout_seconds
        while clock.now() < end:
            status = yield self.status()
            if status is not None and status.has_ready(count):
                for number, member in enumerate(status.members):
                    self._environment.limiter_addresses[number] = member.address
                return status
            yield sleep(POLL_INTERVAL_SECONDS)
        text = f"{count} members were not ready within {timeout_seconds:g} s"
        raise FleetNotReadyError(text)

    @inlineCallbacks
    def running_pids(self) -> Steps:
        """Return the pids of the members that run, as the supervisor reports them."""
        status = yield self.status(ORDER_TIMEOUT_SECONDS)
        return [] if status is None else [member.pid for member in status.members if member.pid]

    @staticmethod
    def signal_member(pid: int, number: int) -> None:
        """Send a signal to a member that the supervisor reported."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, number)

    def wait_for_supervisor(self, timeout_seconds: float) -> None:
        """Wait for the supervisor to end by itself, if one was started."""
        if self._supervisor is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):
                self._supervisor.wait(timeout_seconds)

    def end(self) -> None:
        """Kill what is left of the fleet."""
        self.signal_members(signal.SIGKILL)
        self.end_supervisor()

    def signal_members(self, number: int) -> None:
        """Send a signal to all members, by the pids in their lock files."""
        for path in self.state.glob("n*.lock"):
            words = path.read_text().split()
            if words and words[0].isdigit() and str(self.state) in command_line_of(int(words[0])):
                self.signal_member(int(words[0]), number)

    def end_supervisor(self) -> None:
        """Kill the supervisor, if it is running."""
        if self._supervisor is not None and self._supervisor.poll() is None:
            self.kill_supervisor()
