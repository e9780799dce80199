"""The messages between a supervisor and its members: status, grants, ejections and thresholds."""

from __future__ import annotations

from thymeflow.fleet.member_messages import (
    UNKNOWN_PID,
    build_ejections_message,
    build_grant_message,
    build_threshold_message,
    parse_status,
)
from thymeflow.leases.allocation import Allocation, allocation_from_message
from thymeflow.outliers.ejection import Ejection, EjectionKey
from thymeflow.outliers.messages import ejections_from_message


def test_status_has_the_values_of_its_message_when_the_message_has_every_key() -> None:
    message = {"pid": 7, "life": "0b1c", "phase": "serving", "healthy": True, "part": {"era": 1}, "evidence": {}}
    status = parse_status(message)
    assert (status.pid, status.incarnation, status.is_healthy) == (7, "0b1c", True)
    assert status.is_serving
    assert status.allocation_report == {"era": 1}
    assert status.outlier_report == {}
    assert status.message is message


def test_status_is_not_serving_and_reports_nothing_when_its_message_is_empty() -> None:
    status = parse_status({})
    assert status.pid == UNKNOWN_PID
    assert not status.is_serving
    assert not status.is_healthy
    assert status.allocation_report is None
    assert status.outlier_report is None


def test_grant_and_ejections_are_unchanged_when_the_member_parses_them() -> None:
    allocation = Allocation(2, 3)
    assert allocation_from_message(build_grant_message(allocation)["part"]) == allocation
    ejection = Ejection(EjectionKey(7, "read"), 1, 0, False, False, 5.5)
    assert ejections_from_message(build_ejections_message([ejection])["verdicts"]) == [ejection]


def test_messages_have_the_keys_that_members_know_when_they_are_built() -> None:
    messages = (build_grant_message(Allocation()), build_ejections_message([]), build_threshold_message(0.5))
    assert [message["do"] for message in messages] == ["part", "verdicts", "shed"]
    assert build_threshold_message(0.5)["level"] == 0.5
