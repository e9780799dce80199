"""The fleet controller, without a process: rolls, scales, crashes and what a roll never does."""

from __future__ import annotations

from itertools import pairwise

import pytest

from tests.fleet.controller_model import SETTINGS, FleetModel
from thymeflow.fleet import actions, events
from thymeflow.fleet.events import OperationKind
from thymeflow.fleet.member_state import NO_RUN, TRANSITIONS, Member, MemberState, Transition


def test_transition_raises_when_it_is_not_in_the_table() -> None:
    """A transition leads to the state in the table, or raises."""
    for state in MemberState:
        for transition in Transition:
            member = Member(0, state)
            if (state, transition) in TRANSITIONS:
                member.apply(transition)
                assert member.state is TRANSITIONS[state, transition]
            else:
                with pytest.raises(KeyError):
                    member.apply(transition)


def test_starts_are_spread_and_members_notified_of_the_size_before() -> None:
    """The size is announced first, and the starts differ in time."""
    model = FleetModel(start=False)
    first = model.handle(events.FleetStarted(3))
    assert first[0] == actions.ResizeFleet(3)
    starts: dict[int, float] = {}
    for _ in range(200):
        model.advance(0.01)
        for run in model.alive:
            starts.setdefault(run, model.now)
    times = sorted(starts.values())
    assert len(times) == 3
    assert times[-1] - times[0] <= SETTINGS.spread + 0.02
    assert all(b > a for a, b in pairwise(times))
    assert not any(s.is_joining for s in model.alive.values())


def test_restart_rolls_one_by_one_and_waits_for_health() -> None:
    """A restart goes on only when the restarted member has been healthy for a while."""
    model = FleetModel()
    operation = model.begin(OperationKind.RESTART)
    for number in range(3):
        assert [n for n, s in model.states().items() if s is MemberState.STOPPING] == [number]
        model.end(model.controller.members[number].run_id)
        model.advance(0.01)
        run = model.controller.members[number].run_id
        model.report_status(run, healthy=False)
        model.advance(3.0)
        assert model.serving() == 3
        assert model.controller.describe_operation()  # ready is not yet healthy
        model.report_status(run)
        model.advance(SETTINGS.settle + 0.01)
    assert model.last_report(operation).is_successful
    assert model.states() == dict.fromkeys(range(3), MemberState.READY)


def test_upgrade_keeps_the_old_run_until_its_successor_serves() -> None:
    """No run is stopped before the run that replaces it serves."""
    model = FleetModel()
    operation = model.begin(OperationKind.UPGRADE)
    member = model.controller.members[0]
    old = member.run_id
    new = member.successor_run_id
    assert model.alive[new].is_replacement
    assert old in model.alive
    assert not model.stopping
    model.report_status(new)
    assert member.run_id == new
    assert model.controller.members[1].state is MemberState.READY
    model.end(old)
    assert member.state is MemberState.READY
    assert member.run_id == new
    model.run_until_settled()
    assert model.last_report(operation).is_successful


def test_upgrade_succeeds_when_the_old_run_ends_before_the_successor_reports() -> None:
    """The order of an end and a report across processes is not defined."""
    model = FleetModel()
    operation = model.begin(OperationKind.UPGRADE)
    member = model.controller.members[0]
    new = member.successor_run_id
    model.end(member.run_id)
    assert model.states()[0] is MemberState.REPLACING
    assert new in model.alive
    model.report_status(new)
    assert model.states()[0] is MemberState.READY
    assert member.run_id == new
    model.run_until_settled()
    assert model.last_report(operation).is_successful


@pytest.mark.parametrize("way", ["ends", "hangs", "both"])
def test_upgrade_stops_and_old_runs_serve_on_when_the_successor_fails(way: str) -> None:
    """A failed successor ends the upgrade, and names the members that were not touched."""
    model = FleetModel()
    runs = [m.run_id for m in model.controller.members.values()]
    operation = model.begin(OperationKind.UPGRADE)
    member = model.controller.members[0]
    if way == "hangs":
        model.advance(SETTINGS.ready + 0.1)
        assert member.successor_run_id == NO_RUN
    else:
        successor = member.successor_run_id
        if way == "both":
            model.end(member.run_id)
        model.end(successor, "ended with code 1")
    report = model.last_report(operation)
    assert not report.is_successful
    assert "member 0" in report.text
    assert "not touched: 1, 2" in report.text
    assert [m.run_id for m in model.controller.members.values()][1:] == runs[1:]
    if way != "both":
        assert model.states() == dict.fromkeys(range(3), MemberState.READY)
        assert member.run_id == runs[0]
    else:
        assert member.state is MemberState.WAITING
    model.run_until_settled()
    assert model.states() == dict.fromkeys(range(3), MemberState.READY)


def test_roll_stops_when_another_member_crashes() -> None:
    """A crash of any member ends a roll."""
    model = FleetModel()
    operation = model.begin(OperationKind.RESTART)
    model.end(model.controller.members[2].run_id, "was ended by SIGKILL")
    assert not model.last_report(operation).is_successful
    model.run_until_settled()
    assert model.states() == dict.fromkeys(range(3), MemberState.READY)


def test_backoff_grows_and_a_crash_loop_lasts_until_a_restart_is_ordered() -> None:
    """Crashes delay the next start, until there are too many of them."""
    model = FleetModel()
    waits = []
    for _ in range(SETTINGS.crashes):
        member = model.controller.members[1]
        model.end(member.run_id, "ended with code 1")
        waits.append(member.deadline - model.now)
        model.advance(SETTINGS.longest_wait if member.state is MemberState.WAITING else 0.0)
    assert 0.25 <= waits[0] <= 0.5 <= waits[1] <= 1.0
    assert model.states()[1] is MemberState.CRASH_LOOP
    model.advance(500.0)
    assert model.states()[1] is MemberState.CRASH_LOOP
    assert model.controller.next_deadline() > model.now
    assert not model.last_report(model.begin(OperationKind.UPGRADE)).is_successful
    operation = model.begin(OperationKind.RESTART)
    model.run_until_settled()
    assert model.last_report(operation).is_successful
    assert model.states()[1] is MemberState.READY


def test_scaling_notifies_members_before_starts_and_after_stops() -> None:
    """The announced size covers every member that runs."""
    model = FleetModel()
    up = model.begin(OperationKind.SCALE, 5)
    assert model.size == 5
    model.advance(SETTINGS.spread)
    assert sorted(s.number for s in model.alive.values() if s.is_joining) == [3, 4]
    model.run_until_settled()
    assert model.last_report(up).is_successful
    assert len(model.states()) == 5
    joined = model.controller.members[4]
    model.end(joined.run_id, "was ended by SIGKILL")
    model.run_until_settled()
    assert not model.alive[joined.run_id].is_joining  # only the first start is a joining
    down = model.begin(OperationKind.SCALE, 2)
    assert model.size == 5
    assert {model.alive[r].number for r in model.stopping} == {2, 3, 4}
    model.run_until_settled()
    assert model.last_report(down).is_successful
    assert model.size == 2
    assert list(model.states()) == [0, 1]


def test_new_supervisor_starts_only_missing_members_when_some_are_adopted() -> None:
    """Adopted members are not started, and missing ones are started at once."""
    model = FleetModel(start=False)
    model.handle(events.MemberAdopted(0, "a", True))
    model.handle(events.MemberAdopted(2, "c", False))
    model.handle(events.FleetStarted(3))
    assert [s.number for s in model.alive.values()] == [1]  # and at once
    model.handle(events.StatusReported(model.controller.members[2].run_id, "c", True, True))
    assert model.states()[0] is MemberState.READY
    assert model.states()[2] is MemberState.READY


def test_member_is_killed_when_it_never_ends_or_never_gets_ready() -> None:
    """A run that exceeds its time is killed."""
    model = FleetModel()
    model.begin(OperationKind.SCALE, 2)
    model.stopping.clear()
    model.advance(SETTINGS.stop + 0.1)
    assert actions.KillProcess(model.controller.members[2].run_id) in model.actions
    model = FleetModel(start=False)
    model.handle(events.FleetStarted(1))
    model.advance(SETTINGS.spread + SETTINGS.ready + 0.1)
    assert actions.KillProcess(model.controller.members[0].run_id) in model.actions


def test_operation_is_rejected_while_another_runs_but_a_shutdown_is_not() -> None:
    """A shutdown ends the operation in progress."""
    model = FleetModel()
    roll = model.begin(OperationKind.RESTART)
    assert "under way" in model.last_report(model.begin(OperationKind.SCALE, 9)).text
    down = model.begin(OperationKind.SHUTDOWN)
    assert not model.last_report(roll).is_successful
    model.run_until_settled()
    assert model.last_report(down).is_successful
    assert actions.Exit() in model.actions
    assert not model.alive
