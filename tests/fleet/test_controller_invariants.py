"""The invariants of the fleet controller, checked with random events in random order."""

from __future__ import annotations

from hypothesis import Phase
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from tests.fleet.controller_model import FleetModel
from thymeflow.fleet import events
from thymeflow.fleet.events import OperationKind
from thymeflow.fleet.member_state import NO_RUN, MemberState


class ControllerMachine(RuleBasedStateMachine):
    """A Hypothesis state machine that generates any event at any time and checks the invariants after each event."""

    def __init__(self) -> None:
        super().__init__()
        self.model = FleetModel(start=False)

    @initialize(count=st.integers(1, 4))
    def fleet_starts(self, count: int) -> None:
        """Start a fleet."""
        self.model.handle(events.FleetStarted(count))

    def choose_run(self, index: int) -> int:
        """Return the id of a run that is alive."""
        return sorted(self.model.starts_by_live_run_id)[index % len(self.model.starts_by_live_run_id)]

    @precondition(lambda self: self.model.starts_by_live_run_id)
    @rule(index=st.integers(0, 9), healthy=st.booleans())
    def status_is_reported(self, index: int, healthy: bool) -> None:
        """Report the status of a run."""
        self.model.report_status(self.choose_run(index), healthy)

    @precondition(lambda self: self.model.starts_by_live_run_id)
    @rule(index=st.integers(0, 9))
    def run_ends(self, index: int) -> None:
        """End a run unexpectedly."""
        self.model.end(self.choose_run(index), "ended with code 1")

    @rule(seconds=st.sampled_from([0.01, 0.6, 3.0, 9.0]))
    def time_advances(self, seconds: float) -> None:
        """Advance the time."""
        self.model.advance(seconds)

    @rule(
        kind=st.sampled_from([OperationKind.SCALE, OperationKind.RESTART, OperationKind.UPGRADE]),
        count=st.integers(1, 5),
    )
    def operation_begins(self, kind: OperationKind, count: int) -> None:
        """Order an operation."""
        self.model.begin(kind, count)

    @invariant()
    def rolled_members_never_exceed_one(self) -> None:
        """Check that a roll replaces or restarts at most one member at a time."""
        rolled = [
            m
            for m in self.model.controller.members.values()
            if m.state is MemberState.REPLACING or (m.state is MemberState.STOPPING and m.is_restarting)
        ]
        assert len(rolled) <= 1

    @invariant()
    def every_run_belongs_to_one_member(self) -> None:
        """Check that no run id is used by two members, or twice by one member."""
        runs: list[int] = [m.run_id for m in self.model.controller.members.values() if m.run_id != NO_RUN]
        runs += [m.successor_run_id for m in self.model.controller.members.values() if m.successor_run_id != NO_RUN]
        assert len(runs) == len(set(runs))

    @invariant()
    def fleet_size_is_above_every_member_number(self) -> None:
        """Check that every member's number is below the size that members are notified of."""
        assert all(m.number < self.model.controller.fleet_size for m in self.model.controller.members.values())

    def teardown(self) -> None:
        """Check that the fleet reaches the size that was ordered last from any state if no process fails any more."""
        model = self.model
        if model.controller.members:
            model.run_rounds_without_failures(150)
            assert not model.controller.describe_operation()
            assert set(model.states().values()) <= {MemberState.READY, MemberState.CRASH_LOOP}
            assert sorted(model.states()) == list(range(model.controller.wanted_count))
            assert model.controller.fleet_size == model.controller.wanted_count


TestFuzz = ControllerMachine.TestCase
TestFuzz.settings = profile(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True, phases=[Phase.explicit, Phase.generate]
)
