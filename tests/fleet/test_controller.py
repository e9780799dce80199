"""The fleet controller with simulated processes: starts, rolls, scales, crashes and shutdowns."""

from __future__ import annotations

from itertools import pairwise

import pytest

from tests.fleet.controller_model import SETTINGS, FleetModel
from thymeflow.fleet import actions, events
from thymeflow.fleet.events import OperationKind
from thymeflow.fleet.member_state import NO_RUN, TRANSITIONS, Member, MemberState, Transition


def test_transition_raises_when_it_is_not_in_the_table() -> None:
    """A transition that the table does not list for a state must raise, and not change the state."""
    for state in MemberState:
        for transition in Transition:
            member = Member(0, state)
            if (state, transition) in TRANSITIONS:
                member.apply(transition)
                assert member.state is TRANSITIONS[state, transition]
            else:
                with pytest.raises(KeyError):
                    member.apply(transition)


def test_fleet_size_is_sent_before_the_spread_starts_when_a_fleet_starts() -> None:
    """Simultaneous starts would load the counter, discovery and the backends all at once."""
    model = FleetModel(start=False)
    first = model.handle(events.FleetStarted(3))
    assert first[0] == actions.ResizeFleet(3)
    started_at: dict[int, float] = {}
    for _ in range(200):
        model.advance(0.01)
        for run_id in model.starts_by_live_run_id:
            started_at.setdefault(run_id, model.now)
    times = sorted(started_at.values())
    assert len(times) == 3
    assert times[-1] - times[0] <= SETTINGS.spread + 0.02
    assert all(b > a for a, b in pairwise(times))
    assert not any(s.is_joining for s in model.starts_by_live_run_id.values())


def test_restart_does_not_continue_when_the_restarted_member_is_not_healthy() -> None:
    """A restart continues only when the restarted member has been healthy for the settle time."""
    model = FleetModel()
    operation = model.begin(OperationKind.RESTART)
    for number in range(3):
        assert [n for n, s in model.states().items() if s is MemberState.STOPPING] == [number]
        model.end(model.controller.members[number].run_id)
        model.advance(0.01)
        run_id = model.controller.members[number].run_id
        model.report_status(run_id, healthy=False)
        model.advance(3.0)
        assert model.count_serving() == 3
        assert model.controller.describe_operation()  # The member is ready but not healthy yet.
        model.report_status(run_id)
        model.advance(SETTINGS.settle + 0.01)
    assert model.final_report(operation).is_successful
    assert model.states() == dict.fromkeys(range(3), MemberState.READY)


def test_upgrade_keeps_the_old_run_when_its_successor_does_not_serve_yet() -> None:
    """A run that is stopped before its successor serves would leave the address without a process."""
    model = FleetModel()
    operation = model.begin(OperationKind.UPGRADE)
    member = model.controller.members[0]
    old_run_id = member.run_id
    new_run_id = member.successor_run_id
    assert model.starts_by_live_run_id[new_run_id].is_replacement
    assert old_run_id in model.starts_by_live_run_id
    assert not model.stopping
    model.report_status(new_run_id)
    assert member.run_id == new_run_id
    assert model.controller.members[1].state is MemberState.READY
    model.end(old_run_id)
    assert member.state is MemberState.READY
    assert member.run_id == new_run_id
    model.run_rounds_without_failures()
    assert model.final_report(operation).is_successful


def test_upgrade_succeeds_when_the_old_run_ends_before_the_successor_reports() -> None:
    """The end of the old run and the report of its successor come from two processes, so their order is undefined."""
    model = FleetModel()
    operation = model.begin(OperationKind.UPGRADE)
    member = model.controller.members[0]
    new_run_id = member.successor_run_id
    model.end(member.run_id)
    assert model.states()[0] is MemberState.REPLACING
    assert new_run_id in model.starts_by_live_run_id
    model.report_status(new_run_id)
    assert model.states()[0] is MemberState.READY
    assert member.run_id == new_run_id
    model.run_rounds_without_failures()
    assert model.final_report(operation).is_successful


@pytest.mark.parametrize("failure_mode", ["ends", "hangs", "both"])
def test_upgrade_stops_and_other_members_keep_their_runs_when_the_successor_fails(failure_mode: str) -> None:
    """A failed successor ends the upgrade, whose report names the members that were not replaced."""
    model = FleetModel()
    runs = [m.run_id for m in model.controller.members.values()]
    operation = model.begin(OperationKind.UPGRADE)
    member = model.controller.members[0]
    if failure_mode == "hangs":
        model.advance(SETTINGS.ready + 0.1)
        assert member.successor_run_id == NO_RUN
    else:
        successor = member.successor_run_id
        if failure_mode == "both":
            model.end(member.run_id)
        model.end(successor, "ended with code 1")
    report = model.final_report(operation)
    assert not report.is_successful
    assert "member 0" in report.text
    assert "not touched: 1, 2" in report.text
    assert [m.run_id for m in model.controller.members.values()][1:] == runs[1:]
    if failure_mode != "both":
        assert model.states() == dict.fromkeys(range(3), MemberState.READY)
        assert member.run_id == runs[0]
    else:
        assert member.state is MemberState.WAITING
    model.run_rounds_without_failures()
    assert model.states() == dict.fromkeys(range(3), MemberState.READY)


def test_roll_stops_when_another_member_crashes() -> None:
    """A crash of any member ends a roll, also if it is not the member that is being restarted."""
    model = FleetModel()
    operation = model.begin(OperationKind.RESTART)
    model.end(model.controller.members[2].run_id, "was ended by SIGKILL")
    assert not model.final_report(operation).is_successful
    model.run_rounds_without_failures()
    assert model.states() == dict.fromkeys(range(3), MemberState.READY)


def test_backoff_grows_into_a_crash_loop_when_a_member_keeps_crashing() -> None:
    """Each crash delays the next start longer; after too many crashes, only an ordered restart starts the member."""
    model = FleetModel()
    backoffs = []
    for _ in range(SETTINGS.crashes):
        member = model.controller.members[1]
        model.end(member.run_id, "ended with code 1")
        backoffs.append(member.deadline - model.now)
        model.advance(SETTINGS.longest_wait if member.state is MemberState.WAITING else 0.0)
    assert 0.25 <= backoffs[0] <= 0.5 <= backoffs[1] <= 1.0
    assert model.states()[1] is MemberState.CRASH_LOOP
    model.advance(500.0)
    assert model.states()[1] is MemberState.CRASH_LOOP
    assert model.controller.next_deadline() > model.now
    assert not model.final_report(model.begin(OperationKind.UPGRADE)).is_successful
    operation = model.begin(OperationKind.RESTART)
    model.run_rounds_without_failures()
    assert model.final_report(operation).is_successful
    assert model.states()[1] is MemberState.READY


def test_notified_size_is_above_every_member_number_when_the_fleet_is_scaled() -> None:
    """A member that knows a size below the real one would reject requests of customers whose set has grown."""
    model = FleetModel()
    scale_up_id = model.begin(OperationKind.SCALE, 5)
    assert model.notified_size == 5
    model.advance(SETTINGS.spread)
    assert sorted(s.number for s in model.starts_by_live_run_id.values() if s.is_joining) == [3, 4]
    model.run_rounds_without_failures()
    assert model.final_report(scale_up_id).is_successful
    assert len(model.states()) == 5
    joined = model.controller.members[4]
    model.end(joined.run_id, "was ended by SIGKILL")
    model.run_rounds_without_failures()
    assert not model.starts_by_live_run_id[joined.run_id].is_joining  # Only the first start joins the set.
    scale_down_id = model.begin(OperationKind.SCALE, 2)
    assert model.notified_size == 5
    assert {model.starts_by_live_run_id[r].number for r in model.stopping} == {2, 3, 4}
    model.run_rounds_without_failures()
    assert model.final_report(scale_down_id).is_successful
    assert model.notified_size == 2
    assert list(model.states()) == [0, 1]


def test_new_supervisor_starts_only_missing_members_when_some_are_adopted() -> None:
    """Adopted members keep their processes, and missing members start without a spread delay."""
    model = FleetModel(start=False)
    model.handle(events.MemberAdopted(0, "a", True))
    model.handle(events.MemberAdopted(2, "c", False))
    model.handle(events.FleetStarted(3))
    assert [s.number for s in model.starts_by_live_run_id.values()] == [1]  # Member 1 starts at once.
    model.handle(events.StatusReported(model.controller.members[2].run_id, "c", True, True))
    assert model.states()[0] is MemberState.READY
    assert model.states()[2] is MemberState.READY


def test_member_is_killed_when_it_never_ends_or_never_gets_ready() -> None:
    """A run that hangs in its start or its shutdown is killed, as its member would otherwise wait forever."""
    model = FleetModel()
    model.begin(OperationKind.SCALE, 2)
    model.stopping.clear()
    model.advance(SETTINGS.stop + 0.1)
    assert actions.KillProcess(model.controller.members[2].run_id) in model.actions
    model = FleetModel(start=False)
    model.handle(events.FleetStarted(1))
    model.advance(SETTINGS.spread + SETTINGS.ready + 0.1)
    assert actions.KillProcess(model.controller.members[0].run_id) in model.actions


def test_operation_is_rejected_but_a_shutdown_accepted_when_another_operation_is_in_progress() -> None:
    """Operations run one at a time, except that a shutdown aborts the operation in progress."""
    model = FleetModel()
    roll_id = model.begin(OperationKind.RESTART)
    assert "under way" in model.final_report(model.begin(OperationKind.SCALE, 9)).text
    shutdown_id = model.begin(OperationKind.SHUTDOWN)
    assert not model.final_report(roll_id).is_successful
    model.run_rounds_without_failures()
    assert model.final_report(shutdown_id).is_successful
    assert actions.Exit() in model.actions
    assert not model.starts_by_live_run_id
