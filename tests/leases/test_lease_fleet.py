"""Leases in fleets of processes whose members and supervisors are stopped, killed and cut off."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import psutil
import pytest

from tests.fleet.support import FleetOf, cli
from tests.leases.support import ControlSocketProxy, reported_allocation, wait_until
from tests.limiter import PATIENCE, ROOT, Limiter
from thymeflow.leases.resources import BASE_POINTS, LEASED_POINTS, TOTAL_POINTS


def test_survivors_share_all_and_a_returning_member_is_granted_again_when_members_stop_or_die(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, FleetOf(tmp_path, limiter) as fleet:
        wait_until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        stopped = psutil.Process(fleet.ready(3)["members"][0]["pid"])
        stopped.send_signal(signal.SIGSTOP)  # its lease ends, its base stays its own
        wait_until(fleet, lambda parts: parts["n1"] + parts["n2"] > 0.75)
        stopped.send_signal(signal.SIGCONT)
        wait_until(fleet, lambda parts: min(parts.values()) > 0.2)
        for member in fleet.ready(3)["members"][1:]:
            psutil.Process(member["pid"]).kill()
        wait_until(fleet, lambda parts: parts["n0"] > 0.9 or min(parts.values()) > 0.2)
        wait_until(fleet, lambda parts: len(parts) == 3 and min(parts.values()) > 0.2)
        told = cli("budgets", "--state", str(fleet.state))
        assert told.returncode == 0 and "places: base" in told.stdout and "n2" in told.stdout


def test_bases_stay_and_the_next_supervisor_divides_when_a_supervisor_is_killed(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, FleetOf(tmp_path, limiter) as fleet:
        wait_until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        era = fleet.ask(do="budgets")["era"]
        fleet.process.kill()
        fleet.process.communicate()
        fleet.process = fleet.up()
        fleet.ready(3)
        assert fleet.ask(do="budgets")["era"] == era + 1
        wait_until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        assert fleet.ask(do="upgrade")["ok"]  # each part is handed on, and never doubled
        wait_until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        assert fleet.ask(do="scale", count=5)["ok"]
        wait_until(fleet, lambda parts: len(parts) == 5 and sum(parts.values()) > 0.95 and min(parts.values()) > 0.1)
        assert fleet.ask(do="scale", count=2)["ok"]
        wait_until(fleet, lambda parts: len(parts) == 2 and sum(parts.values()) > 0.95)


def test_nothing_is_granted_before_all_leases_expired_when_the_grant_file_is_lost(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, FleetOf(tmp_path, limiter) as fleet:
        wait_until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        fleet.process.kill()
        fleet.process.communicate()
        (fleet.state / "fleet.grants").write_bytes(b"half")
        fleet.process = fleet.up()
        fleet.ready(3)
        assert "the previous grant file is not used" in (tmp_path / "log").read_text()
        wait_until(fleet, lambda parts: 0.3 < sum(parts.values()) <= LEASED_POINTS / TOTAL_POINTS, kept=False)
        wait_until(
            fleet, lambda parts: 0.3 < sum(parts.values()) <= LEASED_POINTS / TOTAL_POINTS
        )  # and there is a table again


def test_only_the_lease_is_lost_when_messages_of_one_direction_are_held_back(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, FleetOf(tmp_path, limiter) as fleet:
        wait_until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        with ControlSocketProxy(fleet.state, "n0") as proxy:
            fleet.process.kill()
            fleet.process.communicate()
            fleet.process = fleet.up()  # it speaks to n0 through the relay
            fleet.ready(3)
            wait_until(fleet, lambda parts: len(parts) == 3 and min(parts.values()) > 0.2)
            for way in ("up", "down"):  # not heard; then it hears nothing
                proxy.silent.add(way)
                wait_until(fleet, lambda parts: parts["n1"] + parts["n2"] > 0.75)
                word = reported_allocation(fleet, 0, proxy.real)
                assert 0 < word["in_force"]["places"] <= word["base"][0], word
                proxy.silent.clear()  # what was kept back comes now, late
                wait_until(fleet, lambda parts: len(parts) == 3 and min(parts.values()) > 0.2)


def test_members_keep_their_bases_when_the_supervisor_is_stopped_and_continues(
    tmp_path: Path,
) -> None:
    with Limiter(tmp_path) as limiter, FleetOf(tmp_path, limiter) as fleet:
        wait_until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        fleet.process.send_signal(signal.SIGSTOP)
        end = time.monotonic() + PATIENCE
        while any((word := reported_allocation(fleet, n))["in_force"]["places"] > word["base"][0] for n in range(3)):
            assert time.monotonic() < end
            time.sleep(0.05)
        assert all(0 < reported_allocation(fleet, n)["in_force"]["places"] <= BASE_POINTS for n in range(3))
        fleet.process.send_signal(signal.SIGCONT)
        wait_until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)


def test_allocation_stays_when_a_grant_is_old_or_malformed(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, FleetOf(tmp_path, limiter) as fleet:
        wait_until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        for part in (
            {"era": 0, "number": 1, "base": [TOTAL_POINTS] * 2, "lease": [0, 0], "end": 0.0},
            {"era": 9, "number": 1, "base": [TOTAL_POINTS * 2] * 2, "lease": [0, 0], "end": 0.0},
            "all",
        ):
            with socket.socket(socket.AF_UNIX) as line:
                line.connect(str(fleet.state / "n0.sock"))
                line.sendall(json.dumps({"do": "part", "part": part}).encode() + b"\n")
                line.sendall(b'{"do":"status"}\n')
                line.settimeout(PATIENCE)
                word = json.loads(line.makefile().readline())["part"]
                assert word["in_force"]["places"] < 0.9 * TOTAL_POINTS and word["era"] == 1, word


# A supervisor that kills itself at a step: the count is of that step, over its life.
DYING_SUPERVISOR = """
import os, signal, sys
from thymeflow.fleet.lease_distributor import LeaseDistributor
from thymeflow.leases import grant_file
step, count = {step!r}, [0]

def at(name, real):
    def done(*words):
        if step != name[0]:
            return real(*words)
        count[0] += 1
        if name[1] == "before" and count[0] == {count}:
            os.kill(os.getpid(), signal.SIGKILL)
        found = real(*words)
        if name[1] == "after" and count[0] == {count}:
            os.kill(os.getpid(), signal.SIGKILL)
        return found
    return done

grant_file.write = at(("before the write", "before"), at(("after the write", "after"), grant_file.write))
LeaseDistributor.on_report = at(("after a word", "after"), LeaseDistributor.on_report)
tick = LeaseDistributor._tick
def sending(self, _):
    self._send = at(("before a send", "before"), at(("after a send", "after"), self._send))
    LeaseDistributor._tick = tick
    tick(self, _)
LeaseDistributor._tick = sending
LeaseDistributor.on_starting = at(("after a birth is written", "after"), LeaseDistributor.on_starting)
from thymeflow.cli import run
sys.exit(run())
"""


@pytest.mark.parametrize(
    ("step", "count"),
    [
        ("before the write", 2),
        ("before the write", 5),
        ("after the write", 2),
        ("after the write", 5),
        ("before a send", 1),
        ("before a send", 3),
        ("after a send", 1),
        ("after a send", 3),
        ("after a word", 2),
        ("after a birth is written", 2),
    ],
)
def test_next_supervisor_keeps_the_sum_when_one_is_killed_at_a_step_of_a_grant(
    tmp_path: Path, step: str, count: int
) -> None:
    class DyingFleet(FleetOf):
        def up(self) -> Any:
            return subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    DYING_SUPERVISOR.format(step=step, count=count),
                    "fleet",
                    "up",
                    "--settings",
                    str(self.ini),
                    "--platform",
                    str(self.path),
                    "--state",
                    str(self.state),
                ],
                cwd=ROOT,
                text=True,
                stderr=subprocess.PIPE,
            )

        def ready(self, count: int) -> dict[str, Any]:
            return {} if self.process.args[1] == "-c" else super().ready(count)  # type: ignore[index]

    with Limiter(tmp_path) as limiter, DyingFleet(tmp_path, limiter) as fleet:
        assert fleet.process.wait(PATIENCE) == -signal.SIGKILL
        fleet.process.communicate()
        fleet.process = FleetOf.up(fleet)
        FleetOf.ready(fleet, 3)
        wait_until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
