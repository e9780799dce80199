"""What a supervisor decides: events in, actions out; no I/O, no clock, no random source of its own.

Each member is in one named state, and `member_state.TRANSITIONS` has every legal change; anything else is a programming
error of the controller and raises IllegalTransitionError. Operations run one at a time; see `rollout`.
"""

from __future__ import annotations

import random
from math import inf

from thymeflow.fleet.actions import Action, Decisions
from thymeflow.fleet.events import (
    Event,
    FleetStarted,
    MemberAdopted,
    Operation,
    RunEnded,
    StatusReported,
    Tick,
)
from thymeflow.fleet.member_lifecycle import MemberLifecycle
from thymeflow.fleet.member_state import Member
from thymeflow.fleet.restart_policy import RestartPolicy
from thymeflow.fleet.rollout import OperationRunner
from thymeflow.settings.sections import Fleet


class FleetController:
    """The decisions about one fleet; all times are those that the caller hands in, in seconds."""

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
        """How many members are wanted."""
        return self._operations.wanted_count

    @property
    def fleet_size(self) -> int:
        """The size of the fleet that members are notified of."""
        return self._lifecycle.fleet_size

    def handle(self, now: float, event: Event) -> list[Action]:
        """Decide on one event."""
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
            case Operation():
                self._operations.begin(event)
            case Tick():
                pass
        self._lifecycle.on_tick()
        self._operations.advance()
        return self._decisions.actions

    def next_deadline(self) -> float:
        """Return when the next Tick would change something; inf if nothing waits for time."""
        return min([*self._lifecycle.deadlines(), *self._operations.deadlines()], default=inf)

    def describe_operation(self) -> str:
        """Return the operation in progress as text, empty where there is none."""
        return self._operations.describe()

    def _on_member_fault(self, member: Member, reason: str) -> None:
        self._operations.on_member_fault(member, reason)
