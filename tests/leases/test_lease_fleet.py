"""Leases in fleets of processes whose members and supervisors are stopped, killed or cut off.

The tests guard against two failures: the grants of a fleet exceed the total, and points stay unused after the fault.
"""

from __future__ import annotations

import json
import signal
import socket
import time
from pathlib import Path

import psutil
import pytest

from tests.fleet.support import RunningFleet, run_command
from tests.leases.support import ControlSocketProxy, fetch_reported_allocation, wait_until
from tests.limiter import PATIENCE, Limiter
from thymeflow.leases.resources import BASE_POINTS, LEASED_POINTS, TOTAL_POINTS


def test_survivors_share_the_total_and_a_returning_member_is_granted_again_when_members_stop_or_die(
    tmp_path: Path,
) -> None:
    with Limiter(tmp_path) as limiter, RunningFleet(tmp_path, limiter) as fleet:
        wait_until(fleet, lambda amounts: len(amounts) == 3 and sum(amounts.values()) > 0.95)
        stopped = psutil.Process(fleet.wait_until_ready(3)["members"][0]["pid"])
        stopped.send_signal(signal.SIGSTOP)  # its lease expires, and it keeps its base amount
        wait_until(fleet, lambda amounts: amounts["n1"] + amounts["n2"] > 0.75)
        stopped.send_signal(signal.SIGCONT)
        wait_until(fleet, lambda amounts: min(amounts.values()) > 0.2)
        for member in fleet.wait_until_ready(3)["members"][1:]:
            psutil.Process(member["pid"]).kill()
        wait_until(fleet, lambda amounts: amounts["n0"] > 0.9 or min(amounts.values()) > 0.2)
        wait_until(fleet, lambda amounts: len(amounts) == 3 and min(amounts.values()) > 0.2)
        budgets = run_command("budgets", "--state", str(fleet.state_folder))
        assert budgets.returncode == 0
        assert "concurrency: base" in budgets.stdout
        assert "n2" in budgets.stdout


def test_next_supervisor_divides_the_total_when_a_supervisor_is_killed(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, RunningFleet(tmp_path, limiter) as fleet:
        wait_until(fleet, lambda amounts: len(amounts) == 3 and sum(amounts.values()) > 0.95)
        epoch = fleet.request(do="budgets")["era"]
        fleet.process.kill()
        fleet.process.communicate()
        fleet.process = fleet.start_supervisor()
        fleet.wait_until_ready(3)
        assert fleet.request(do="budgets")["era"] == epoch + 1
        wait_until(fleet, lambda amounts: len(amounts) == 3 and sum(amounts.values()) > 0.95)
        assert fleet.request(do="upgrade")["ok"]  # allocations are handed over to new processes
        wait_until(fleet, lambda amounts: len(amounts) == 3 and sum(amounts.values()) > 0.95)
        assert fleet.request(do="scale", count=5)["ok"]
        wait_until(
            fleet, lambda amounts: len(amounts) == 5 and sum(amounts.values()) > 0.95 and min(amounts.values()) > 0.1
        )
        assert fleet.request(do="scale", count=2)["ok"]
        wait_until(fleet, lambda amounts: len(amounts) == 2 and sum(amounts.values()) > 0.95)


def test_only_leases_are_granted_when_the_grant_file_is_lost(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, RunningFleet(tmp_path, limiter) as fleet:
        wait_until(fleet, lambda amounts: len(amounts) == 3 and sum(amounts.values()) > 0.95)
        fleet.process.kill()
        fleet.process.communicate()
        (fleet.state_folder / "fleet.grants").write_bytes(b"half")
        fleet.process = fleet.start_supervisor()
        fleet.wait_until_ready(3)
        assert "the previous grant file is not used" in (tmp_path / "log").read_text()
        wait_until(
            fleet, lambda amounts: 0.3 < sum(amounts.values()) <= LEASED_POINTS / TOTAL_POINTS, has_grant_file=False
        )
        # The default of `wait_until` now also requires a valid grant file.
        wait_until(fleet, lambda amounts: 0.3 < sum(amounts.values()) <= LEASED_POINTS / TOTAL_POINTS)


def test_only_the_lease_is_lost_when_messages_of_one_direction_are_delayed(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, RunningFleet(tmp_path, limiter) as fleet:
        wait_until(fleet, lambda amounts: len(amounts) == 3 and sum(amounts.values()) > 0.95)
        with ControlSocketProxy(fleet.state_folder, "n0") as proxy:
            fleet.process.kill()
            fleet.process.communicate()
            fleet.process = fleet.start_supervisor()  # the new supervisor connects to n0 through the proxy
            fleet.wait_until_ready(3)
            wait_until(fleet, lambda amounts: len(amounts) == 3 and min(amounts.values()) > 0.2)
            for direction in ("up", "down"):
                proxy.delayed.add(direction)
                wait_until(fleet, lambda amounts: amounts["n1"] + amounts["n2"] > 0.75)
                report = fetch_reported_allocation(fleet, 0, proxy.real_path)
                assert 0 < report["in_force"]["places"] <= report["base"][0], report
                proxy.delayed.clear()  # the proxy forwards the delayed messages
                wait_until(fleet, lambda amounts: len(amounts) == 3 and min(amounts.values()) > 0.2)


def test_members_keep_their_base_amounts_when_the_supervisor_is_stopped_and_continues(
    tmp_path: Path,
) -> None:
    with Limiter(tmp_path) as limiter, RunningFleet(tmp_path, limiter) as fleet:
        wait_until(fleet, lambda amounts: len(amounts) == 3 and sum(amounts.values()) > 0.95)
        fleet.process.send_signal(signal.SIGSTOP)
        end = time.monotonic() + PATIENCE
        while any(
            (report := fetch_reported_allocation(fleet, number))["in_force"]["places"] > report["base"][0]
            for number in range(3)
        ):
            assert time.monotonic() < end
            time.sleep(0.05)
        assert all(0 < fetch_reported_allocation(fleet, n)["in_force"]["places"] <= BASE_POINTS for n in range(3))
        fleet.process.send_signal(signal.SIGCONT)
        wait_until(fleet, lambda amounts: len(amounts) == 3 and sum(amounts.values()) > 0.95)


def test_allocation_stays_when_a_grant_is_old_or_malformed(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, RunningFleet(tmp_path, limiter) as fleet:
        wait_until(fleet, lambda amounts: len(amounts) == 3 and sum(amounts.values()) > 0.95)
        for allocation in (
            {"era": 0, "number": 1, "base": [TOTAL_POINTS] * 2, "lease": [0, 0], "end": 0.0},
            {"era": 9, "number": 1, "base": [TOTAL_POINTS * 2] * 2, "lease": [0, 0], "end": 0.0},
            "all",
        ):
            with socket.socket(socket.AF_UNIX) as connection:
                connection.connect(str(fleet.state_folder / "n0.sock"))
                connection.sendall(json.dumps({"do": "part", "part": allocation}).encode() + b"\n")
                connection.sendall(b'{"do":"status"}\n')
                connection.settimeout(PATIENCE)
                report = json.loads(connection.makefile().readline())["part"]
                assert report["in_force"]["places"] < 0.9 * TOTAL_POINTS, report
                assert report["era"] == 1, report


# The program of a supervisor that kills itself when it reaches a step for the `count`-th time.
DYING_SUPERVISOR = """
import os, signal, sys
from thymeflow.fleet.lease_distributor import LeaseDistributor
from thymeflow.leases import grant_file
step, count = {step!r}, [0]

def killing(name, function):
    def wrapper(*arguments):
        if step != name[0]:
            return function(*arguments)
        count[0] += 1
        if name[1] == "before" and count[0] == {count}:
            os.kill(os.getpid(), signal.SIGKILL)
        result = function(*arguments)
        if name[1] == "after" and count[0] == {count}:
            os.kill(os.getpid(), signal.SIGKILL)
        return result
    return wrapper

grant_file.write = killing(("before the write", "before"), killing(("after the write", "after"), grant_file.write))
LeaseDistributor.on_report = killing(("after a report", "after"), LeaseDistributor.on_report)
tick = LeaseDistributor._tick
def sending(self, _):
    self._send = killing(("before a send", "before"), killing(("after a send", "after"), self._send))
    LeaseDistributor._tick = tick
    tick(self, _)
LeaseDistributor._tick = sending
LeaseDistributor.allocate_on_start = killing(("after a start is written", "after"), LeaseDistributor.allocate_on_start)
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
        ("after a report", 2),
        ("after a start is written", 2),
    ],
)
def test_sum_stays_within_the_total_and_is_divided_again_when_a_supervisor_is_killed_at_a_step_of_a_grant(
    tmp_path: Path, step: str, count: int
) -> None:
    program = ("-c", DYING_SUPERVISOR.format(step=step, count=count))
    with Limiter(tmp_path) as limiter, RunningFleet(tmp_path, limiter, program, wait_for_members=False) as fleet:
        assert fleet.process.wait(PATIENCE) == -signal.SIGKILL
        fleet.process.communicate()
        fleet.process = fleet.start_supervisor()
        fleet.wait_until_ready(3)
        wait_until(fleet, lambda amounts: len(amounts) == 3 and sum(amounts.values()) > 0.95)
