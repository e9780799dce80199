"""Fixed labels for the names in the fleet controller's code, so that recorded traces stay valid when a name changes."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import fields
from typing import Any, TypeAlias

import pytest

from thymeflow.fleet import actions, events, member_state
from thymeflow.fleet.controller import FleetController
from thymeflow.settings.sections import Fleet

STATES = {
    member_state.MemberState.WAITING: "waiting",
    member_state.MemberState.STARTING: "starting",
    member_state.MemberState.READY: "ready",
    member_state.MemberState.REPLACING: "replacing",
    member_state.MemberState.STOPPING: "stopping",
    member_state.MemberState.STOPPED: "down",
    member_state.MemberState.CRASH_LOOP: "crash loop",
}
TRANSITIONS = {
    member_state.Transition.START: "start",
    member_state.Transition.ADOPT: "adopt",
    member_state.Transition.BECOME_READY: "serves",
    member_state.Transition.END: "ends",
    member_state.Transition.ENTER_CRASH_LOOP: "loops",
    member_state.Transition.REPLACE: "replace",
    member_state.Transition.END_REPLACEMENT: "settle",
    member_state.Transition.STOP: "stop",
    member_state.Transition.RESET: "again",
}
START = "start"
STOP = "stop"
KILL = "kill"
RESIZE = "resize"
LOG = "log"
REPORT = "report"
EXIT = "exit"
ACTIONS: dict[type, str] = {
    actions.StartProcess: START,
    actions.StopProcess: STOP,
    actions.KillProcess: KILL,
    actions.ResizeFleet: RESIZE,
    actions.WriteLog: LOG,
    actions.ReportProgress: REPORT,
    actions.Exit: EXIT,
}
OPERATIONS = {
    "scale": events.OperationKind.SCALE,
    "restart": events.OperationKind.RESTART,
    "upgrade": events.OperationKind.UPGRADE,
    "down": events.OperationKind.SHUTDOWN,
}
TABLE = member_state.TRANSITIONS
Controller: TypeAlias = FleetController
Event: TypeAlias = events.Event
Action: TypeAlias = actions.Action
Member: TypeAlias = member_state.Member


def build_operation(number: int, kind: str, count: int) -> Event:
    """Return the event of an operation that an operator orders."""
    return events.OperationOrdered(number, OPERATIONS[kind], count)


def build_controller(seed: int) -> Controller:
    """Return a controller whose settings have short times."""
    settings = Fleet(
        instances=3,
        spread=1.0,
        ready=5.0,
        settle=0.5,
        stop=4.0,
        wait=0.5,
        longest_wait=8.0,
        crashes=3,
        crash_window=30.0,
    )
    return Controller(settings, random.Random(seed))


def list_states(controller: Controller) -> list[list[object]]:
    """Return each member's number, the label of its state, its run id and its successor's run id."""
    return [[n, STATES[m.state], m.run_id, m.successor_run_id] for n, m in controller.members.items()]


def list_values(action: Action) -> list[Any]:
    """Return an action's label and its field values in the order of declaration."""
    return [ACTIONS[type(action)], *(getattr(action, f.name) for f in fields(action))]


def record_transitions(monkeypatch: pytest.MonkeyPatch) -> set[tuple[str, str]]:
    """Record the label pairs of state and transition that members go through from now on, and return their set."""
    pairs = set[tuple[str, str]]()
    original: Callable[[Member, member_state.Transition], None] = Member.apply

    def record_and_apply(member: Member, transition: member_state.Transition) -> None:
        pairs.add((STATES[member.state], TRANSITIONS[transition]))
        original(member, transition)

    monkeypatch.setattr(Member, original.__name__, record_and_apply)
    return pairs


def list_table_rows() -> list[list[str]]:
    """Return the sorted rows of the transition table as labels: state, transition and next state."""
    return sorted(
        [STATES[state], TRANSITIONS[transition], STATES[next_state]]
        for (state, transition), next_state in TABLE.items()
    )
