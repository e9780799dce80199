"""The fleet controller, without a process: rolls, scales, crashes and what a roll never does."""

from __future__ import annotations

import random
from itertools import pairwise

import pytest
from hypothesis import Phase
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from thymeflow.fleet import actions, events
from thymeflow.fleet.controller import FleetController
from thymeflow.fleet.events import OperationKind
from thymeflow.fleet.member_state import NO_RUN, TRANSITIONS, Member, MemberState, Transition
from thymeflow.settings.sections import Fleet

SETTINGS = Fleet(
    instances=3, spread=1.0, ready=5.0, settle=0.5, stop=4.0, wait=0.5, longest_wait=8.0, crashes=3, crash_window=30.0
)


class FleetModel:
    """A controller, and the processes that it asked for."""

    def __init__(self, count: int = 3, start: bool = True) -> None:
        self.controller = FleetController(SETTINGS, random.Random(1))
        self.now = 100.0
        self.alive: dict[int, actions.StartProcess] = {}
        self.stopping: set[int] = set()
        self.actions: list[actions.Action] = []
        self.size = 0
        self.operations = 0
        if start:
            self.handle(events.FleetStarted(count))
            self.run_until_settled()

    def handle(self, event: events.Event) -> list[actions.Action]:
        """Handle an event, and keep track of the processes that the actions start and stop."""
        decided = self.controller.handle(self.now, event)
        for action in decided:
            if isinstance(action, actions.StartProcess):
                self.alive[action.run_id] = action
            elif isinstance(action, actions.StopProcess | actions.KillProcess) and action.run_id in self.alive:
                self.stopping.add(action.run_id)
            elif isinstance(action, actions.ResizeFleet):
                self.size = action.size
        self.actions += decided
        return decided

    def report_status(self, run_id: int, healthy: bool = True) -> None:
        """Report a run as serving."""
        self.handle(events.StatusReported(run_id, f"incarnation{run_id}", True, healthy))

    def end(self, run_id: int, reason: str = "ended with code 0") -> None:
        """End a run."""
        self.alive.pop(run_id)
        self.stopping.discard(run_id)
        self.handle(events.RunEnded(run_id, reason))

    def pass_time(self, seconds: float) -> None:
        """Let time pass, with a tick at each deadline of the controller."""
        end = self.now + seconds
        ticks = 0
        while (due := self.controller.next_deadline()) <= end:
            self.now = max(self.now, due)
            self.handle(events.Tick())
            ticks += 1
            assert ticks < 200 or self.controller.next_deadline() > self.now, f"it spins: {self.controller.members}"
        self.now = end
        self.handle(events.Tick())

    def run_until_settled(self, rounds: int = 60) -> None:
        """Let every stop and every start succeed."""
        for _ in range(rounds):
            for run in list(self.stopping):
                if run in self.alive:
                    self.end(run)
            for run, start in list(self.alive.items()):
                member = self.controller.members.get(start.number)
                if member and run in (member.run_id, member.successor_run_id):
                    if start.is_replacement and member.successor_run_id == run and member.run_id in self.alive:
                        old = member.run_id
                        self.report_status(run)
                        self.stopping.add(old)
                    else:
                        self.report_status(run)
            self.pass_time(0.3)

    def states(self) -> dict[int, MemberState]:
        """Return the members' states by number."""
        return {n: m.state for n, m in self.controller.members.items()}

    def begin(self, kind: OperationKind, count: int = 0) -> int:
        """Begin an operation and return its id."""
        self.operations += 1
        self.handle(events.Operation(self.operations, kind, count))
        return self.operations

    def last_report(self, operation_id: int) -> actions.ReportProgress:
        """Return the one final report of an operation."""
        (report,) = [
            a
            for a in self.actions
            if isinstance(a, actions.ReportProgress) and a.operation_id == operation_id and a.is_done
        ]
        return report

    def serving(self) -> int:
        """Return how many members serve."""
        return sum(m.state in (MemberState.READY, MemberState.REPLACING) for m in self.controller.members.values())


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
        model.pass_time(0.01)
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
        model.pass_time(0.01)
        run = model.controller.members[number].run_id
        model.report_status(run, healthy=False)
        model.pass_time(3.0)
        assert model.serving() == 3
        assert model.controller.describe_operation()  # ready is not yet healthy
        model.report_status(run)
        model.pass_time(SETTINGS.settle + 0.01)
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
        model.pass_time(SETTINGS.ready + 0.1)
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
        model.pass_time(SETTINGS.longest_wait if member.state is MemberState.WAITING else 0.0)
    assert 0.25 <= waits[0] <= 0.5 <= waits[1] <= 1.0
    assert model.states()[1] is MemberState.CRASH_LOOP
    model.pass_time(500.0)
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
    model.pass_time(SETTINGS.spread)
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


def test_new_supervisor_starts_only_missing_members_when_others_are_adopted() -> None:
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
    model.pass_time(SETTINGS.stop + 0.1)
    assert actions.KillProcess(model.controller.members[2].run_id) in model.actions
    model = FleetModel(start=False)
    model.handle(events.FleetStarted(1))
    model.pass_time(SETTINGS.spread + SETTINGS.ready + 0.1)
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


class ControllerMachine(RuleBasedStateMachine):
    """Any event at any time, against the invariants of the controller."""

    def __init__(self) -> None:
        super().__init__()
        self.model = FleetModel(start=False)

    @initialize(count=st.integers(1, 4))
    def up(self, count: int) -> None:
        """Start a fleet."""
        self.model.handle(events.FleetStarted(count))

    def pick(self, number: int) -> int:
        """Return one of the runs that are alive."""
        return sorted(self.model.alive)[number % len(self.model.alive)]

    @precondition(lambda self: self.model.alive)
    @rule(number=st.integers(0, 9), healthy=st.booleans())
    def status_is_reported(self, number: int, healthy: bool) -> None:
        """Report the status of a run."""
        self.model.report_status(self.pick(number), healthy)

    @precondition(lambda self: self.model.alive)
    @rule(number=st.integers(0, 9))
    def run_ends(self, number: int) -> None:
        """End a run unexpectedly."""
        self.model.end(self.pick(number), "ended with code 1")

    @rule(seconds=st.sampled_from([0.01, 0.6, 3.0, 9.0]))
    def time_passes(self, seconds: float) -> None:
        """Let time pass."""
        self.model.pass_time(seconds)

    @rule(
        kind=st.sampled_from([OperationKind.SCALE, OperationKind.RESTART, OperationKind.UPGRADE]),
        count=st.integers(1, 5),
    )
    def operation_begins(self, kind: OperationKind, count: int) -> None:
        """Begin an operation."""
        self.model.begin(kind, count)

    @invariant()
    def at_most_one_member_is_rolled(self) -> None:
        """Check that a roll touches one member at a time."""
        rolled = [
            m
            for m in self.model.controller.members.values()
            if m.state is MemberState.REPLACING or (m.state is MemberState.STOPPING and m.is_restarting)
        ]
        assert len(rolled) <= 1

    @invariant()
    def every_run_belongs_to_one_member(self) -> None:
        """Check that no run is counted twice."""
        runs: list[int] = [m.run_id for m in self.model.controller.members.values() if m.run_id != NO_RUN]
        runs += [m.successor_run_id for m in self.model.controller.members.values() if m.successor_run_id != NO_RUN]
        assert len(runs) == len(set(runs))

    @invariant()
    def fleet_size_covers_every_member(self) -> None:
        """Check that every member's number is below the announced size."""
        assert all(m.number < self.model.controller.fleet_size for m in self.model.controller.members.values())

    def teardown(self) -> None:
        """Check that from any state, once nothing fails, the fleet gets to the size that was ordered last."""
        model = self.model
        if model.controller.members:
            model.run_until_settled(150)
            assert not model.controller.describe_operation()
            assert set(model.states().values()) <= {MemberState.READY, MemberState.CRASH_LOOP}
            assert sorted(model.states()) == list(range(model.controller.wanted_count))
            assert model.controller.fleet_size == model.controller.wanted_count


TestFuzz = ControllerMachine.TestCase
TestFuzz.settings = profile(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True, phases=[Phase.explicit, Phase.generate]
)
