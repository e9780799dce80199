"""Guards the daemon's messages to operators and to its supervisor, which two versions of the program exchange."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import cast

import pytest

from tests.control_session import control_session
from tests.daemon.support import restart
from tests.limiter import Limiter
from tests.recorded_messages import ALLOCATION, Json, assert_as_recorded, masked
from thymeflow.core.dispatcher import RequestDispatcher
from thymeflow.daemon.allocation import MemberAllocation
from thymeflow.limiter import management, phases
from thymeflow.runtime import clock


def test_allocation_report_is_as_recorded_when_the_member_has_an_allocation(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clock, "now", lambda: 100.0)
    monkeypatch.setattr(clock, "monotonic", lambda: 1200.0)
    allocation = MemberAllocation(ALLOCATION)
    monkeypatch.setattr(clock, "now", lambda: 102.0)
    dispatcher = cast("RequestDispatcher", SimpleNamespace(response_counts={"ok": 30, "busy": 11}))
    report = allocation.build_report(dispatcher)
    rejections = [
        allocation.on_grant({**ALLOCATION, "number": 8}),
        allocation.on_grant({}),
        MemberAllocation(None).on_grant(ALLOCATION),
    ]
    rejection_of_newer = allocation.on_grant({**ALLOCATION, "number": 10})
    handed_over = allocation.hand_over()
    assert_as_recorded(
        "allocation report", [report, rejection_of_newer, rejections, handed_over, allocation.build_report(dispatcher)]
    )


def test_operators_commands_have_the_same_responses_when_they_are_sent_in_each_phase() -> None:
    responses = []
    for phase in phases.Phase:
        for command in phases.OperatorCommand:
            for is_accepting_clients in (True, False):
                next_phase, is_accepted, reason = phases.apply_command(phase, command, is_accepting_clients)
                responses.append(
                    [phase.value, command.value, is_accepting_clients, next_phase.value, is_accepted, reason]
                )
    invalid = [management.execute_line(line, lambda _: (True, "")) for line in (b"", b"reload", b"\xff", b"READYZ")]
    valid = management.execute_line(b" readyz\r", lambda command: (False, command.value))
    assert_as_recorded("operators' calls", [responses, invalid, valid])


def test_daemon_responses_are_the_same_when_each_kind_is_requested(tmp_path: Path) -> None:
    requests: list[dict[str, Json]] = [
        {"do": "status"},
        {"do": "level", "level": "debug"},
        {"do": "level", "level": "loud"},
        {"do": "snapshot"},
        {"do": "reload"},
        {"do": "evacuate"},
        {"do": "evacuate"},
        {"do": "activate"},
        {"do": "activate"},
        {"do": "fly"},
        {},
        {"do": "drain", "linger": -1},
        {"do": "drain", "linger": "x"},
        {"do": "ready"},
        {"do": "take", "site": "feed"},
    ]
    without_response: list[dict[str, Json]] = [
        {"do": "part", "part": ALLOCATION},
        {"do": "verdicts", "verdicts": 7},
        {"do": "shed", "level": 2},
    ]
    with Limiter(tmp_path, serve=()) as limiter:
        exchanges: list[Json] = [[message, masked(limiter.request_control(**message))] for message in requests]
        with control_session(limiter.state / "n0.sock") as session:
            session.send(do="socket")
            exchanges.append(["socket", masked(session.receive()), len(session.descriptors)])
            for message in without_response:
                session.send(**message)
            session.send(do="watch")
            exchanges.append(["watch", masked(session.receive_with("status"))])
            session.send(do="drain", linger=0.1)
            exchanges.append(["drain", masked(session.receive_with("ok"))])
    assert_as_recorded("daemon", exchanges)


def test_allocation_report_is_as_recorded_when_the_daemon_was_started_with_one(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter:
        restart(limiter, part={**ALLOCATION, "end": 0.0})
        with control_session(limiter.state / "n0.sock") as session:
            session.send(do="watch")
            before = session.receive()["status"]["part"]
            session.send(do="part", part={**ALLOCATION, "number": 10, "base": [5, 4, 3, 2, 1]})
            while (after := session.receive()["status"]["part"])["number"] == before["number"]:
                pass
    assert_as_recorded(
        "daemon allocation", [[before["number"], before["base"], list(before)], [after["number"], after["base"]]]
    )
