"""A fleet of real processes for tests: the supervisor, its members, and the command line."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import psutil

from tests.limiter import PATIENCE, ROOT, Limiter, command

SETTINGS_TEMPLATE = (
    "[fleet]\ninstances = 3\nspread = 100ms\nsettle = 100ms\nwait = 100ms\nready = 10s\n[log]\nfile = {0}/log\n"
)
Message = dict[str, Any]  # A JSON object on the control socket.

THYMEFLOW = ("-m", "thymeflow")  # Arguments of the Python interpreter.
POLL_SECONDS = 0.05  # Interval between status requests.
LOG_TAIL_CHARACTERS = 3000


class RunningFleet:
    """A supervisor with three members.

    The members use the platform configuration and the state folder of a limiter that the test started.
    """

    def __init__(
        self, folder: Path, limiter: Limiter, program: tuple[str, ...] = THYMEFLOW, wait_for_members: bool = True
    ) -> None:
        """Start the supervisor with this program; if `wait_for_members`, wait until its members are ready."""
        self.state_folder = limiter.state
        self.settings_path = folder / "f.ini"
        self.settings_path.write_text(SETTINGS_TEMPLATE.format(folder))
        self.platform_path = limiter.path
        self.process = self.start_supervisor(program)
        if wait_for_members:
            self.wait_until_ready(3)

    def start_supervisor(self, program: tuple[str, ...] = THYMEFLOW) -> subprocess.Popen[str]:
        """Start a supervisor and return its process."""
        options = [
            "--settings",
            str(self.settings_path),
            "--platform",
            str(self.platform_path),
            "--state",
            str(self.state_folder),
        ]
        return subprocess.Popen(
            [sys.executable, *program, "fleet", "up", *options],
            cwd=ROOT,
            text=True,
            stderr=subprocess.PIPE,
        )

    def request(self, **message: object) -> Message:
        """Send a request to the control socket, and return the last answer.

        :raises ConnectionError: the connection ended without a last answer; the message is the end of the log.
        """
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(PATIENCE)
            connection.connect(str(self.state_folder / "fleet.sock"))
            connection.sendall(json.dumps(message).encode() + b"\n")
            for text in connection.makefile():
                answer: Message = json.loads(text)
                if "ok" in answer:
                    return answer
        raise ConnectionError((self.settings_path.parent / "log").read_text()[-LOG_TAIL_CHARACTERS:])

    def status(self) -> Message:
        """Return the fleet's status, empty if no supervisor answers."""
        try:
            return self.request(do="status")
        except (OSError, ValueError):
            return {}

    def wait_until_ready(self, count: int) -> Message:
        """Wait until `count` members are wanted and ready and no operation is in progress; return the status."""
        deadline = time.monotonic() + PATIENCE
        while (status := self.status()).get("ready") != count or status["wanted"] != count or status["working"]:
            assert time.monotonic() < deadline, status
            assert self.process.poll() is None, status
            time.sleep(POLL_SECONDS)
        return status

    def find_member_pids(self) -> list[int]:
        """Return the pids of the members."""
        return [member["pid"] for member in self.status()["members"]]

    def __enter__(self) -> RunningFleet:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self._find_lock_owners():
            if str(self.state_folder) in " ".join(process.cmdline()):
                process.kill()
        self.process.kill()
        self.process.communicate()

    def _find_lock_owners(self) -> list[psutil.Process]:
        contents = [path.read_text().split() for path in self.state_folder.glob("n*.lock")]
        pids = [int(words[0]) for words in contents if words]
        return [psutil.Process(pid) for pid in pids if psutil.pid_exists(pid)]


def is_serving(member: Message) -> bool:
    """Return whether a member answers a PING at its address."""
    host, _, port = member["listen"].rpartition(":")
    with socket.create_connection((host, int(port)), PATIENCE) as client:
        client.sendall(command(b"PING"))
        return client.recv(100) == b"+PONG\r\n"


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a thymeflow command until it exits, and return the result."""
    return subprocess.run(
        [sys.executable, "-m", "thymeflow", *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )
