"""The phases of a limiter's lifecycle, and the effect of operators' commands in each: one table, no I/O, no clock."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from thymeflow.runtime.transitions import TransitionTable


class Phase(Enum):
    """Where the process is in its lifecycle."""

    STARTING = "starting"  # no endpoint list yet, or not listening
    SERVING = "serving"
    EVACUATED = "evacuated"  # turned its clients away on command; listens on, and serves again on command
    HANDED_OVER = "handed over"  # a successor accepts at the address; serves again should that one die
    DRAINING = "draining"  # got a termination signal; serves for a moment, then finishes what it took
    STOPPED = "stopped"


class OperatorCommand(Enum):
    """An operator's command."""

    READY = "readyz"
    EVACUATE = "evacuate"
    ACTIVATE = "activate"


class Transition(NamedTuple):
    """The effect of a command: the next phase, whether it was accepted, and the reason as text."""

    phase: Phase
    is_accepted: bool
    reason: str


# What is not in the table changes nothing and is rejected, with the phase as the reason.
TRANSITIONS: TransitionTable[Phase, OperatorCommand, Transition] = TransitionTable(
    {
        (Phase.SERVING, OperatorCommand.EVACUATE): Transition(Phase.EVACUATED, True, "user agents are sent away"),
        (Phase.EVACUATED, OperatorCommand.EVACUATE): Transition(Phase.EVACUATED, True, "evacuated already"),
        (Phase.EVACUATED, OperatorCommand.ACTIVATE): Transition(Phase.SERVING, True, "back at work"),
        (Phase.SERVING, OperatorCommand.ACTIVATE): Transition(Phase.SERVING, True, "at work already"),
        (Phase.STARTING, OperatorCommand.ACTIVATE): Transition(
            Phase.STARTING, True, "will be at work as soon as it has started"
        ),
    }
)
REASONS = {
    Phase.STARTING: "it is starting and takes no user agents yet",
    Phase.SERVING: "it takes user agents",
    Phase.EVACUATED: "it is evacuated; activate brings it back",
    Phase.HANDED_OVER: "its successor takes user agents at the address",
    Phase.DRAINING: "it was told to end and finishes what it took",
    Phase.STOPPED: "it has ended",
}


def apply_command(phase: Phase, command: OperatorCommand, is_accepting_clients: bool) -> Transition:
    """Return the effect of a command in a phase; `is_accepting_clients`: whether clients are accepted now."""
    if command is OperatorCommand.READY:
        return Transition(phase, is_accepting_clients, REASONS[phase])
    rejection = Transition(phase, False, REASONS[phase])
    return TRANSITIONS.get((phase, command), rejection)
