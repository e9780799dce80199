"""A supervisor and its members as real processes over the stand-ins, for scripts that judge them from outside."""

from __future__ import annotations

import contextlib
import json
import os
import shlex
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks

from thymeflow.handover.control_client import NoAnswerError, send_request
from thymeflow.runtime import clock
from thymeflow.testkit.async_steps import Steps, reactor, sleep
from thymeflow.testkit.fakes import World

PATIENCE = 60.0  # s: for members to be ready; only a failing run waits so long


class Fleet:
    """One fleet. Only processes that it started, or that its supervisor told of, are signalled, by their ids."""

    def __init__(
        self,
        world: World,
        folder: Path,
        members: int,
        settings: str = "",
        code: str = "",
        wait: float = 0.5,
        members_code: str = "",
    ) -> None:
        """`settings`: more of our INI; `code`, `members_code`: a program in place of the supervisor's own, and of the
        members', to break it on purpose; `wait`: s before the first restart of a member that ended."""
        self._world, self.folder, self.state, self._code = world, folder, folder / "s", code
        self._members = ["--program", shlex.join([sys.executable, "-c", members_code])] if members_code else []
        (folder / "platform.json").write_text(json.dumps(world.config(members)))
        (folder / "f.ini").write_text(
            f"[log]\nfile = {folder}/log\n{settings}[fleet]\ninstances = {members}\n"
            f"spread = 500ms\nsettle = 100ms\nwait = {wait:g}s\n"
        )
        self.supervisor: subprocess.Popen[bytes] | None = None

    def up(self) -> None:
        """Start a supervisor."""
        program = ["-c", self._code] if self._code else ["-m", "thymeflow"]
        self.supervisor = subprocess.Popen(
            [
                sys.executable,
                *program,
                "fleet",
                "up",
                "--settings",
                str(self.folder / "f.ini"),
                "--platform",
                str(self.folder / "platform.json"),
                "--state",
                str(self.state),
                *self._members,
            ],
            stdout=subprocess.DEVNULL,
        )

    def kill_supervisor(self) -> None:
        """SIGKILL; its members go on."""
        assert self.supervisor is not None
        self.supervisor.kill()
        self.supervisor.wait()

    def order(self, **message: Any) -> Deferred[dict[str, Any]]:
        """Ask the supervisor."""
        return send_request(reactor, self._world.deadlines, self.state / "fleet.sock", message, clock.now() + PATIENCE)

    @inlineCallbacks
    def ready(self, count: int) -> Steps:
        """Wait until so many members are ready, and know their addresses; their pids."""
        end = clock.now() + PATIENCE
        while clock.now() < end:
            with contextlib.suppress(NoAnswerError):
                status = yield self.order(do="status")
                if (
                    status.get("ready") == count
                    and not status.get("working")
                    and all(m["listen"] for m in status["members"])
                ):  # one that is replaced says none for a while
                    for number, member in enumerate(status["members"]):
                        host, _, port = member["listen"].rpartition(":")
                        self._world.addresses[number] = (host, int(port))
                    return [m["pid"] for m in status["members"]]
            yield sleep(0.05)
        raise AssertionError(f"{count} members were not ready within {PATIENCE:g} s")

    @inlineCallbacks
    def pids(self) -> Steps:
        """The members that run, as far as a supervisor says."""
        with contextlib.suppress(NoAnswerError):
            status = yield self.order(do="status")
            return [m["pid"] for m in status.get("members", []) if m["pid"]]
        return []

    @staticmethod
    def signal(pid: int, number: int) -> None:
        """A signal to a member that the supervisor told of."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, number)

    def end(self) -> None:
        """End what is left: the supervisor by its handle, members by the pids that their locks hold."""
        for path in self.state.glob("n*.lock"):
            words = path.read_text().split()
            if words and words[0].isdigit() and str(self.state) in _command_of(int(words[0])):
                self.signal(int(words[0]), signal.SIGKILL)
        if self.supervisor is not None and self.supervisor.poll() is None:
            self.kill_supervisor()


def _command_of(pid: int) -> str:
    try:
        return Path(f"/proc/{pid}/cmdline").read_bytes().decode("utf-8", "replace")
    except OSError:
        return ""
