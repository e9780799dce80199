"""The phases of a limiter's lifecycle, and a table of the effect of operators' commands in each phase. No I/O."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from thymeflow.runtime.transitions import TransitionTable


class Phase(Enum):
    """A phase of the process's lifecycle."""

    # The endpoint list is unknown, or the limiter doesn't listen yet.
    STARTING = "starting"
    SERVING = "serving"
    # A command has turned the clients away. The limiter still listens, and serves again on command.
    EVACUATED = "evacuated"
    # A successor accepts clients at the address. The limiter serves again if the successor dies.
    HANDED_OVER = "handed over"
    # After a termination signal: the limiter accepts clients for a short time, then completes their requests.
    DRAINING = "draining"
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


# A command without an entry for the phase is rejected and changes nothing; the phase is the reason.
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
    """Return the effect of a command in a phase; `is_accepting_clients` is the answer to READY."""
    if command is OperatorCommand.READY:
        return Transition(phase, is_accepting_clients, REASONS[phase])
    rejection = Transition(phase, False, REASONS[phase])
    return TRANSITIONS.get((phase, command), rejection)
