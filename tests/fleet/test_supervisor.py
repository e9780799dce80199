"""A fleet of real processes: a supervisor or a member is killed, a program fails, or a configuration is invalid."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path

import psutil

from tests.fleet.support import RunningFleet, is_serving, run_command
from tests.limiter import PATIENCE, ROOT, Limiter


def test_new_supervisor_adopts_members_when_the_last_one_was_killed_during_a_roll(tmp_path: Path) -> None:
    """Members keep serving without a supervisor, and keep their addresses under the next supervisor."""
    with Limiter(tmp_path) as limiter, RunningFleet(tmp_path, limiter) as fleet:
        first = fleet.wait_until_ready(3)
        upgrade_process = subprocess.Popen(
            [sys.executable, "-m", "thymeflow", "fleet", "upgrade", "--state", str(fleet.state_folder)],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
        )
        assert upgrade_process.stderr is not None
        assert "member 0 is ready" in upgrade_process.stderr.readline()
        fleet.process.kill()
        fleet.process.communicate()
        assert upgrade_process.wait(PATIENCE) == 6
        upgrade_process.communicate()
        assert all(is_serving(m) for m in first["members"])  # No supervisor runs.
        fleet.process = fleet.start_supervisor()
        status = fleet.wait_until_ready(3)
        assert [m["listen"] for m in status["members"]] == [m["listen"] for m in first["members"]]
        assert "the last supervisor ended during an operation (upgrade, 1 of 3 done)" in (tmp_path / "log").read_text()
        # A member whose handover, begun by the last supervisor, is still in progress rejects another handover, so the
        # upgrade is ordered until it succeeds.
        deadline = time.monotonic() + PATIENCE
        while not fleet.request(do="upgrade")["ok"]:
            assert time.monotonic() < deadline
        assert all(is_serving(m) for m in fleet.wait_until_ready(3)["members"])


def test_members_keep_addresses_and_report_the_new_size_when_one_is_killed_and_the_fleet_is_scaled(
    tmp_path: Path,
) -> None:
    """The supervisor's listening socket has to accept connections while a member restarts, or clients get errors."""
    with Limiter(tmp_path) as limiter, RunningFleet(tmp_path, limiter) as fleet:
        before = fleet.wait_until_ready(3)
        killed_process = psutil.Process(before["members"][1]["pid"])
        killed_process.kill()
        assert not psutil.wait_procs([killed_process], PATIENCE)[1]
        assert is_serving(before["members"][1])  # The connection waited in the supervisor's socket.
        fleet.wait_until_ready(3)
        assert fleet.request(do="scale", count=4)["ok"]
        deadline = time.monotonic() + PATIENCE  # Members reload on a signal and report the size later.
        while {m["told"].get("gateways") for m in fleet.wait_until_ready(4)["members"]} != {4}:
            assert time.monotonic() < deadline
        assert fleet.request(do="scale", count=2)["ok"]
        assert len(fleet.wait_until_ready(2)["members"]) == 2
        response = fleet.request(do="scale", count="many")
        assert not response["ok"]
        assert "no whole number" in response["why"]
        assert fleet.request(do="down")["ok"]
        assert fleet.process.wait(PATIENCE) == 0


def test_upgrade_stops_and_every_member_keeps_serving_when_the_program_fails(tmp_path: Path) -> None:
    """An upgrade to a program that fails must not replace any process, nor be used for later starts."""
    with Limiter(tmp_path) as limiter, RunningFleet(tmp_path, limiter) as fleet:
        fleet.wait_until_ready(3)
        pids = fleet.find_member_pids()
        for program, reason in (("/bin/false", "ended with code 1"), ("/no/such/program", "could not be started")):
            response = fleet.request(do="upgrade", program=program)
            assert not response["ok"]
            assert reason in response["why"]
            assert "not touched: 1, 2" in response["why"]
        status = fleet.wait_until_ready(3)
        assert fleet.find_member_pids() == pids
        assert all(is_serving(m) for m in status["members"])
        assert fleet.request(do="upgrade")["ok"]  # Uses the previous program.
        assert fleet.find_member_pids() != pids


def test_second_supervisor_and_invalid_reload_are_rejected_when_a_supervisor_runs(tmp_path: Path) -> None:
    """A fleet has one supervisor, and a reload of an invalid configuration changes nothing."""
    with Limiter(tmp_path) as limiter, RunningFleet(tmp_path, limiter) as fleet:
        fleet.wait_until_ready(3)
        second_process = fleet.start_supervisor()
        _, error_output = second_process.communicate(timeout=PATIENCE)
        assert second_process.returncode == 4
        assert "another supervisor runs" in error_output
        valid_configuration = limiter.path.read_text()
        limiter.path.write_text("{")
        response = fleet.request(do="reload")
        assert not response["ok"]
        assert "the old settings stay" in response["why"]
        limiter.path.write_text(valid_configuration)
        assert fleet.request(do="reload")["ok"]
        table = run_command("fleet", "status", "--state", str(fleet.state_folder)).stdout
        assert "3 of 3 members are ready" in table
        assert "n2" in table


def test_command_line_reports_every_fault_when_the_configuration_is_invalid(tmp_path: Path) -> None:
    """All faults of a configuration are reported at once, and each kind of failure has its exit code."""
    (tmp_path / "bad.ini").write_text("[daemon]\nstat = x\n[fleet]\nwait = 40s\n")
    (tmp_path / "bad.json").write_text('{"listen": "nowhere", "discovery": "a:1", "sed": "0"}')
    invalid_check = run_command(
        "check", "--settings", str(tmp_path / "bad.ini"), "--platform", str(tmp_path / "bad.json")
    )
    assert invalid_check.returncode == 2
    assert invalid_check.stderr.splitlines()[-1] == "3 faults"
    assert "did you mean 'state'?" in invalid_check.stderr
    assert "'nowhere' is no address; write host:port" in invalid_check.stderr
    assert "did you mean 'seed'?" in invalid_check.stderr
    valid_check = run_command(
        "check", "--settings", "deploy/thymeflow.ini", "--platform", "deploy/example.json", "--show"
    )
    assert valid_check.returncode == 0
    assert "[snapshot]\nevery = 2s" in valid_check.stdout
    as_json = json.loads(run_command("check", "--settings", str(tmp_path / "bad.ini"), "--json").stdout)
    assert [f["key"] for f in as_json["faults"]] == ["stat"]
    assert run_command("status", "n0", "--state", str(tmp_path)).returncode == 6
    assert run_command("snapshot", "show", str(tmp_path / "bad.ini")).returncode == 2
    assert run_command("fly").returncode == 2
