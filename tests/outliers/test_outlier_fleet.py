"""Outlier detection in fleets of processes.

The tests guard against a failing backend, class or zone that is not ejected or not used again after its recovery, and
against ejections that go further than the failure.
"""

from __future__ import annotations

import json
import time
from pathlib import Path

from tests.fleet.support import RunningFleet, run_command
from tests.limiter import PATIENCE, Limiter
from tests.outliers.support import MemberClients, RespondingBackends


def test_fleet_ejects_a_backend_and_uses_it_again_when_it_fails_and_recovers(tmp_path: Path) -> None:
    with (
        Limiter(tmp_path, backend_count=4) as limiter,
        RunningFleet(tmp_path, limiter) as fleet,
        RespondingBackends(limiter) as backends,
    ):
        clients = MemberClients(limiter, fleet.wait_until_ready(3)["members"])

        def wait_until(state: str) -> None:
            end = time.monotonic() + PATIENCE
            while {ejection["state"] for ejection in fleet.request(do="overload")["cases"]} != (
                {state} if state else set()
            ):
                assert time.monotonic() < end, json.dumps(fleet.request(do="overload")) + repr(backends.attempt_counts)
                clients.request_of_each()

        backends.failing = {0}
        wait_until("condemned")
        ejection = fleet.request(do="overload")["cases"][0]
        assert ejection["server"] == 1
        assert len(ejection["words"]) >= 2
        shown = run_command("overload", "--state", str(fleet.state_folder))
        # The first reports of any two of the three members lead to the ejection.
        row = shown.stdout.splitlines()[-1]
        assert shown.returncode == 0
        assert row.split()[2] == "ejected"
        assert ejection["words"][0] in row
        backends.failing = set()
        previous_count = backends.attempt_counts[0]
        wait_until("")
        assert backends.attempt_counts[0] > previous_count
        assert "backend 00000001 for look is ejected by all members" in (tmp_path / "log").read_text()


def test_fleet_ejects_a_backend_for_one_class_only_when_requests_of_that_class_fail(tmp_path: Path) -> None:
    classes = [
        {"name": name, "on-time": 3000.0, "deadline": 3000.0, "effect": "retryable"} for name in ("look", "peek")
    ]
    with (
        Limiter(tmp_path, backend_count=4, classes=classes) as limiter,
        RunningFleet(tmp_path, limiter) as fleet,
        RespondingBackends(limiter) as backends,
    ):
        clients = MemberClients(limiter, fleet.wait_until_ready(3)["members"])
        other_class_attempts = 0  # attempts of the other class since the ejection
        backends.failing = {0}
        backends.failing_class = b"c=look,"
        # The wait for the ejection and the wait for attempts after it have a time limit each.
        end = time.monotonic() + PATIENCE
        is_ejected = False
        while other_class_attempts < 20:
            assert time.monotonic() < end, json.dumps(fleet.request(do="overload")) + repr(backends.attempt_counts)
            clients.request_of_each("look")
            assert not any(line.startswith(b"-ERR") for line in clients.request_of_each("peek")), (
                "a request of a class that does not fail was rejected"
            )
            ejections = [(row["server"], row["class"]) for row in fleet.request(do="overload")["cases"]]
            assert set(ejections) <= {(1, "look")}, "the backend is ejected for a class that does not fail"
            if ejections and not is_ejected:
                is_ejected = True
                end = time.monotonic() + PATIENCE
            if not ejections:
                backends.other_class_attempts = 0
            other_class_attempts = backends.other_class_attempts


def test_fleet_ejects_a_zone_and_uses_it_again_when_it_fails_and_recovers(tmp_path: Path) -> None:
    with Limiter(tmp_path, backend_count=8, azs=["east", "west"]) as limiter:
        for entry in limiter.config["known"]["instances"][:4]:
            entry["zone"] = "west"
        limiter.path.write_text(json.dumps(limiter.config))
        with RunningFleet(tmp_path, limiter) as fleet, RespondingBackends(limiter) as backends:
            clients = MemberClients(limiter, fleet.wait_until_ready(3)["members"])

            def wait_until(expected_ejections: set[tuple[str, str]]) -> None:
                end = time.monotonic() + PATIENCE
                while {(c["zone"], c["state"]) for c in fleet.request(do="overload")["cases"]} != expected_ejections:
                    assert time.monotonic() < end, json.dumps(fleet.request(do="overload")) + repr(
                        backends.attempt_counts
                    )
                    clients.request_of_each()

            backends.failing = {0, 1, 2, 3}
            backends.closes_connections = True
            wait_until({("west", "condemned")})
            backends.failing = set()
            previous_count = sum(backends.attempt_counts[:4])
            wait_until(set())
            assert sum(backends.attempt_counts[:4]) > previous_count
            assert "zone west is ejected by all members" in (tmp_path / "log").read_text()


def test_fleet_ejects_nothing_when_one_member_is_cut_off_from_two_of_six_backends(tmp_path: Path) -> None:
    with (
        Limiter(tmp_path, backend_count=6) as limiter,
        RunningFleet(tmp_path, limiter) as fleet,
        RespondingBackends(limiter) as backends,
    ):
        members = fleet.wait_until_ready(3)["members"]
        clients = MemberClients(limiter, members)
        backends.closed_to = {members[0]["pid"]: {0, 1}}

        def check_all_members() -> None:
            assert not any(line.startswith(b"-ERR") for line in clients.request_of_each()[1:]), (
                "a request failed at a member that is not cut off"
            )
            assert fleet.request(do="overload")["cases"] == [], (
                "a backend was ejected by the reports of a single member"
            )

        end = time.monotonic() + PATIENCE
        while {row[0] for row in limiter.request_control(do="status")["evidence"]["against"]} != {1, 2}:
            assert time.monotonic() < end, limiter.request_control(do="status")["evidence"]
            check_all_members()
        previous_counts = list(backends.attempt_counts)
        while (
            min(count - previous for count, previous in zip(backends.attempt_counts, previous_counts, strict=True)) < 5
        ):
            assert time.monotonic() < end, backends.attempt_counts
            check_all_members()
