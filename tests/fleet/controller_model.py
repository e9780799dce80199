"""A model of a fleet in virtual time: a real controller, and simulated processes that it starts."""

from __future__ import annotations

import random

from thymeflow.fleet import actions, events
from thymeflow.fleet.controller import FleetController
from thymeflow.fleet.events import OperationKind
from thymeflow.fleet.member_state import MemberState
from thymeflow.settings.sections import Fleet

SETTINGS = Fleet(
    instances=3, spread=1.0, ready=5.0, settle=0.5, stop=4.0, wait=0.5, longest_wait=8.0, crashes=3, crash_window=30.0
)


class FleetModel:
    """A controller, and the simulated processes that it has started."""

    def __init__(self, count: int = 3, start: bool = True) -> None:
        self.controller = FleetController(SETTINGS, random.Random(1))
        self.now = 100.0
        self.starts_by_live_run_id: dict[int, actions.StartProcess] = {}
        self.stopping: set[int] = set()
        self.actions: list[actions.Action] = []
        self.notified_size = 0
        self.last_operation_id = 0
        if start:
            self.handle(events.FleetStarted(count))
            self.run_rounds_without_failures()

    def handle(self, event: events.Event) -> list[actions.Action]:
        """Pass an event to the controller, and track the processes that its actions start and stop."""
        decided = self.controller.handle(self.now, event)
        for action in decided:
            if isinstance(action, actions.StartProcess):
                self.starts_by_live_run_id[action.run_id] = action
            elif (
                isinstance(action, actions.StopProcess | actions.KillProcess)
                and action.run_id in self.starts_by_live_run_id
            ):
                self.stopping.add(action.run_id)
            elif isinstance(action, actions.ResizeFleet):
                self.notified_size = action.size
        self.actions += decided
        return decided

    def report_status(self, run_id: int, healthy: bool = True) -> None:
        """Report that a run serves, and whether it is healthy."""
        self.handle(events.StatusReported(run_id, f"incarnation{run_id}", True, healthy))

    def end(self, run_id: int, reason: str = "ended with code 0") -> None:
        """End the process of a run, and report the end to the controller."""
        self.starts_by_live_run_id.pop(run_id)
        self.stopping.discard(run_id)
        self.handle(events.RunEnded(run_id, reason))

    def advance(self, seconds: float) -> None:
        """Advance the time, with a tick at each deadline of the controller."""
        end = self.now + seconds
        ticks = 0
        while (deadline := self.controller.next_deadline()) <= end:
            self.now = max(self.now, deadline)
            self.handle(events.Tick())
            ticks += 1
            assert ticks < 200 or self.controller.next_deadline() > self.now, (
                f"the controller schedules one tick after another without a pause: {self.controller.members}"
            )
        self.now = end
        self.handle(events.Tick())

    def run_rounds_without_failures(self, rounds: int = 60) -> None:
        """Let every pending stop and start succeed, and advance the time by 0.3 s per round."""
        for _ in range(rounds):
            for run_id in list(self.stopping):
                if run_id in self.starts_by_live_run_id:
                    self.end(run_id)
            for run_id, start in list(self.starts_by_live_run_id.items()):
                member = self.controller.members.get(start.number)
                if member and run_id in (member.run_id, member.successor_run_id):
                    if (
                        start.is_replacement
                        and member.successor_run_id == run_id
                        and member.run_id in self.starts_by_live_run_id
                    ):
                        previous_run_id = member.run_id
                        self.report_status(run_id)
                        self.stopping.add(previous_run_id)
                    else:
                        self.report_status(run_id)
            self.advance(0.3)

    def states(self) -> dict[int, MemberState]:
        """Return the members' states by number."""
        return {n: m.state for n, m in self.controller.members.items()}

    def begin(self, kind: OperationKind, count: int = 0) -> int:
        """Order an operation, and return its id."""
        self.last_operation_id += 1
        self.handle(events.OperationOrdered(self.last_operation_id, kind, count))
        return self.last_operation_id

    def final_report(self, operation_id: int) -> actions.ReportProgress:
        """Return the final report of an operation, of which there has to be exactly one."""
        (report,) = [
            a
            for a in self.actions
            if isinstance(a, actions.ReportProgress) and a.operation_id == operation_id and a.is_done
        ]
        return report

    def count_serving(self) -> int:
        """Return the number of members that serve."""
        return sum(m.state in (MemberState.READY, MemberState.REPLACING) for m in self.controller.members.values())
