"""The supervisor's messages to members and operators equal the recorded ones, because other versions read them too."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from tests.control_session import control_session
from tests.limiter import PATIENCE, ROOT, Limiter
from tests.recorded_messages import AMOUNT_KEYS, VOLATILE_KEYS, Json, assert_as_recorded, masked
from tests.virtual_deadlines import VirtualDeadlines
from thymeflow.fleet.lease_distributor import LeaseDistributor
from thymeflow.fleet.outlier_service import OutlierService
from thymeflow.runtime import clock

OUTLIER_MEMBERS = ("n0", "n1", "n2")
LEASE_MEMBERS = ("web0", "web1", "web2")
COMMON_REPORT_FIELDS: dict[str, Json] = {"good": [], "trials": {}, "servers": 4, "zones": {"a": [1, 3], "b": [2, 4]}}
START_AT = 50.0
STEP_SECONDS = 0.25
OUTLIER_STEPS = 80
FIRST_FAILING_STEP = 4
FIRST_WORKING_STEP = 24
STEPS_PER_STATUS = 8
LEASE_STEPS = 24
SETTINGS_TEMPLATE = (
    "[fleet]\ninstances = {1}\nspread = 0s\nsettle = 10ms\nwait = 100ms\nready = 10s\n[log]\nfile = {0}/log\n"
)
POLL_SECONDS = 0.02


class SteppedClock:
    """A clock that a test advances; it replaces the wall clock and the monotonic clock."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = START_AT
        monkeypatch.setattr(clock, "now", self._time)
        monkeypatch.setattr(clock, "monotonic", self._time)

    def _time(self) -> float:
        return self.now

    def step(self) -> None:
        """Advance the time by one step."""
        self.now += STEP_SECONDS


def build_member_report(failed: list[list[Json]], is_failing: bool, probe_results: dict[str, bool]) -> dict[str, Json]:
    """Return the report that each member sends while a backend fails or after it has recovered."""
    good = [[2, ""], [2, "read"], *([] if is_failing else [[4, "read"]])]
    return {
        **COMMON_REPORT_FIELDS,
        "against": failed if is_failing else [],
        "good": good,
        "trials": probe_results,
        "pressure": 0.9 if is_failing else 0.1,
    }


def build_probe_results(sent: list[Json], is_failing: bool) -> dict[str, bool]:
    """Return the result of the half-open probe that was permitted last; the key is the number of its permit."""
    permitted = [ejection for _, message in sent for ejection in message.get("verdicts", ()) if ejection[3]]
    return {str(ejection[3]): not is_failing for ejection in permitted[-1:]}


@pytest.mark.parametrize(("case", "failed"), [("class", [[4, "read"]]), ("zone", [[4, "read"], [1, ""], [3, ""]])])
def test_overload_messages_and_status_equal_the_recorded_ones_when_backends_fail_and_recover(
    case: str, failed: list[list[Json]], monkeypatch: pytest.MonkeyPatch
) -> None:
    stepped_clock = SteppedClock(monkeypatch)
    deadlines = VirtualDeadlines()
    sent: list[Json] = []
    statuses: list[Json] = []
    service = OutlierService(deadlines, 1.0, lambda name, message: sent.append([name, message]))
    for step in range(OUTLIER_STEPS):
        stepped_clock.step()
        if step == 0:
            service.start()
        is_failing = FIRST_FAILING_STEP <= step < FIRST_WORKING_STEP
        results = build_probe_results(sent, is_failing)
        for name in OUTLIER_MEMBERS:
            service.on_report(name, build_member_report(failed, is_failing, results))
        service.on_report("n3", {"against": 7})
        deadlines.call_pending()
        if step % STEPS_PER_STATUS == STEPS_PER_STATUS - 1:
            statuses.append(service.status())
    service.on_member_gone("n2")
    statuses.append(service.status())
    assert_as_recorded(f"overload orders, {case}", sent)
    assert_as_recorded(f"overload status, {case}", statuses)


def test_allocation_grants_and_status_equal_the_recorded_ones_when_members_report(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    stepped_clock = SteppedClock(monkeypatch)
    deadlines = VirtualDeadlines()
    sent: list[Json] = []
    distributor = LeaseDistributor(
        deadlines,
        tmp_path / "fleet.grants",
        "web",
        lambda name, message: sent.append([name, message]),
        lambda: len(LEASE_MEMBERS),
    )
    distributor.start(False)
    allocations: dict[str, Json] = {name: distributor.allocate_on_start(name) for name in LEASE_MEMBERS}
    first_allocations = dict(allocations)
    for step in range(LEASE_STEPS):
        stepped_clock.step()
        allocations.update({name: message["part"] for name, message in sent})
        for index, name in enumerate(LEASE_MEMBERS):
            demand = [10.0 + 40.0 * index * (step // 8), 1.0, 2.0, 3.0, 4.0]
            distributor.on_report(name, {**allocations[name], "demand": demand})
        distributor.on_report("web1", {"era": "none"})
        deadlines.call_pending()
    statuses = [distributor.status()]
    distributor.on_disconnected("web1")
    distributor.on_death("web2")
    statuses.append(distributor.status())
    assert_as_recorded("allocation grants", [first_allocations, sent])
    assert_as_recorded("allocation status", [*statuses, distributor.find_members_with_allocation()])


@contextmanager
def run_supervisor(folder: Path, limiter: Limiter, members: int) -> Iterator[Path]:
    """Run a fleet's supervisor with the platform configuration of a limiter; yield the path of its control socket."""
    ini = folder / "fleet.ini"
    ini.write_text(SETTINGS_TEMPLATE.format(folder, members))
    options = ["--settings", str(ini), "--platform", str(limiter.path), "--state", str(limiter.state)]
    process = subprocess.Popen([sys.executable, "-m", "thymeflow", "fleet", "up", *options], cwd=ROOT)
    path = limiter.state / "fleet.sock"
    deadline = time.monotonic() + PATIENCE
    try:
        while not path.exists() or request_fleet_status(path)["ready"] < members:
            assert process.poll() is None
            assert time.monotonic() < deadline
            time.sleep(POLL_SECONDS)
        yield path
    finally:
        if process.poll() is None:
            process.terminate()
            process.wait(PATIENCE)


def request_fleet_status(path: Path) -> dict[str, Json]:
    """Return the supervisor's status."""
    with control_session(path) as session:
        session.send(do="status")
        return session.receive()


def request_responses(path: Path, message: dict[str, Json]) -> list[Json]:
    """Send a request, and return the supervisor's responses up to the last one, which has the key `ok`."""
    with control_session(path) as session:
        session.send(**message)
        responses = [session.receive()]
        while "ok" not in responses[-1]:
            responses.append(session.receive())
    return responses


def test_supervisor_responses_equal_the_recorded_ones_when_each_kind_is_requested(tmp_path: Path) -> None:
    requests: list[dict[str, Json]] = [
        {"do": "budgets"},
        {"do": "overload"},
        {"do": "reload"},
        {"do": "fly"},
        {"do": "scale"},
        {"do": "scale", "count": 900},
        {"do": "scale", "count": "x"},
        {"do": "restart", "program": 7},
        {"do": "scale", "count": 2},
        {"do": "down"},
    ]
    exchanges: list[Json] = []
    with Limiter(tmp_path) as limiter, run_supervisor(tmp_path, limiter, 2) as path:
        exchanges.append([{"do": "status"}, masked(request_fleet_status(path), VOLATILE_KEYS | {"base", "lease"})])
        for message in requests:
            exchanges.append([message, masked(request_responses(path, message), VOLATILE_KEYS | AMOUNT_KEYS)])
    assert_as_recorded("supervisor", exchanges)


def test_progress_reports_equal_the_recorded_ones_when_the_supervisor_restarts_a_member(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, run_supervisor(tmp_path, limiter, 1) as path:
        assert_as_recorded("supervisor restart", request_responses(path, {"do": "restart"}))
