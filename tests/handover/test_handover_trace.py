"""Guards the transitions of both handover sides and of a limiter's phases against changes between two versions.

The transition of each pair of state and event, and the digest of seeded runs of events, are compared with a file that
an earlier version recorded. The file has the enum values of that version.
"""

from __future__ import annotations

import hashlib
import json
import random
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import Any

from thymeflow.handover.state_machine import (
    ReceiverAction,
    ReceiverEvent,
    ReceiverState,
    SenderEvent,
    SenderState,
    advance_receiver,
    advance_sender,
)
from thymeflow.limiter.phases import OperatorCommand, Phase, apply_command

RECORDED_PATH = Path(__file__).resolve().parent.parent / "data" / "before-rename" / "handover-and-phases.json"
RECORDED: dict[str, Any] = json.loads(RECORDED_PATH.read_text())
# The value of this action has changed since the recording; it is sent to no other process.
RECORDED_ACTION_LABELS = {ReceiverAction.SEND_READY: "ready"}
RUNS = 20
STEPS = 400
RESTART_PROBABILITY = 0.08

Advance = Callable[[Any, Any], Any]


def get_action_label(action: Any) -> str:
    """Return the name under which an action was recorded."""
    return RECORDED_ACTION_LABELS.get(action, str(action.value))


def list_transitions(states: type[Enum], events: type[Enum], advance: Advance) -> dict[str, Any]:
    """Return the next state and the actions for each pair of state and event."""
    rows: dict[str, Any] = {}
    for state in states:
        for event in events:
            next_state, actions = advance(state, event)
            rows[f"{state.value} / {event.value}"] = [next_state.value, [get_action_label(a) for a in actions]]
    return rows


def compute_digest_of_runs(events: type[Enum], advance: Advance, first: Enum) -> str:
    """Return the digest of RUNS seeded runs of STEPS random events from the state `first`."""
    lines: list[str] = []
    for seed in range(RUNS):
        rng = random.Random(seed)
        state: Any = first
        for _ in range(STEPS):
            event = rng.choice(list(events))
            next_state, actions = advance(state, event)
            lines.append(" ".join([state.value, event.value, next_state.value, *map(get_action_label, actions)]))
            state = first if rng.random() < RESTART_PROBABILITY else next_state
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()


def test_sender_takes_the_recorded_steps_when_any_event_comes_in_any_state() -> None:
    assert list_transitions(SenderState, SenderEvent, advance_sender) == RECORDED["sender"]


def test_receiver_takes_the_recorded_steps_when_any_event_comes_in_any_state() -> None:
    assert list_transitions(ReceiverState, ReceiverEvent, advance_receiver) == RECORDED["receiver"]


def test_sender_acts_as_recorded_when_events_come_in_seeded_runs() -> None:
    assert compute_digest_of_runs(SenderEvent, advance_sender, SenderState.SERVING) == RECORDED["runs"]["sender"]


def test_receiver_acts_as_recorded_when_events_come_in_seeded_runs() -> None:
    assert (
        compute_digest_of_runs(ReceiverEvent, advance_receiver, ReceiverState.REQUESTING)
        == RECORDED["runs"]["receiver"]
    )


def test_operators_are_answered_as_recorded_when_they_call_in_any_phase() -> None:
    answers = {}
    for phase in Phase:
        for command in OperatorCommand:
            for is_accepting_clients in (False, True):
                next_phase, is_accepted, reason = apply_command(phase, command, is_accepting_clients)
                answers[f"{phase.value} / {command.value} / {is_accepting_clients}"] = [
                    next_phase.value,
                    is_accepted,
                    reason,
                ]
    assert answers == RECORDED["phases"]
