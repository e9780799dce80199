"""The decisions of a supervisor: a state machine that takes events and returns actions.

The controller does no I/O and has no clock or random source of its own. Each member is in one named state;
`member_state.TRANSITIONS` lists every legal transition, and any other one is a programming error of the controller and
raises IllegalTransitionError. Operations run one at a time; see `operation_runner`.
"""

from __future__ import annotations

import random
from math import inf

from thymeflow.fleet.actions import Action, Decisions
from thymeflow.fleet.events import (
    Event,
    FleetStarted,
    MemberAdopted,
    OperationOrdered,
    RunEnded,
    StatusReported,
    Tick,
)
from thymeflow.fleet.member_lifecycle import MemberLifecycle
from thymeflow.fleet.member_state import Member
from thymeflow.fleet.operation_runner import OperationRunner
from thymeflow.fleet.restart_policy import RestartPolicy
from thymeflow.settings.sections import Fleet


class FleetController:
    """Decides which actions follow the events of one fleet; all times are in seconds on the caller's clock."""

    def __init__(self, settings: Fleet, rng: random.Random) -> None:
        self._decisions = Decisions()
        policy = RestartPolicy(settings, rng)
        self._lifecycle = MemberLifecycle(settings, policy, self._decisions, self._on_member_fault)
        self._operations = OperationRunner(settings, self._lifecycle, self._decisions)

    @property
    def members(self) -> dict[int, Member]:
        """The members by number."""
        return self._lifecycle.members

    @property
    def wanted_count(self) -> int:
        """The wanted number of members."""
        return self._operations.wanted_count

    @property
    def fleet_size(self) -> int:
        """The fleet size that members are notified of."""
        return self._lifecycle.fleet_size

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event at time `now`, and return the actions to carry out in order."""
        self._decisions.begin(now)
        match event:
            case FleetStarted(count):
                self._operations.start_fleet(count)
            case MemberAdopted(number, incarnation, is_serving):
                self._lifecycle.adopt(number, incarnation, is_serving)
            case StatusReported():
                self._lifecycle.on_status(event)
            case RunEnded(run_id, reason):
                self._lifecycle.on_run_ended(run_id, reason)
            case OperationOrdered():
                self._operations.begin(event)
            case Tick():
                pass  # Deadlines are checked after every event.
        self._lifecycle.act_on_due_deadlines()
        self._operations.advance()
        return self._decisions.actions

    def next_deadline(self) -> float:
        """Return the time at which the next Tick is due, inf if the controller waits for no deadline."""
        return min([*self._lifecycle.deadlines(), *self._operations.deadlines()], default=inf)

    def describe_operation(self) -> str:
        """Return the operation in progress as text, empty if there is none."""
        return self._operations.describe()

    def _on_member_fault(self, member: Member, reason: str) -> None:
        self._operations.on_member_fault(member, reason)
