"""The states of a fleet member, the legal transitions between them, and the record of one member."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from thymeflow.runtime.transitions import TransitionTable

NO_RUN = -1  # Stands for a run id where there is no run.


class MemberState(Enum):
    """The state of a member; operators see the values."""

    WAITING = "waiting"  # Starts when its deadline is due.
    STARTING = "starting"
    READY = "ready"
    REPLACING = "replacing"  # Serves while its successor starts.
    STOPPING = "stopping"
    STOPPED = "down"  # Ended on request.
    CRASH_LOOP = "crash loop"  # Crashed too often; starts again only when an operator orders it.


class Transition(Enum):
    """The transitions between the states of a member."""

    START = "start"
    ADOPT = "adopt"
    BECOME_READY = "become ready"
    END = "end"
    ENTER_CRASH_LOOP = "enter crash loop"
    REPLACE = "replace"
    END_REPLACEMENT = "end replacement"  # The replacement has succeeded or failed.
    STOP = "stop"
    RESET = "reset"  # Schedules a stopped or crash-looping member to start.


TRANSITIONS: TransitionTable[MemberState, Transition, MemberState] = TransitionTable(
    {
        (MemberState.WAITING, Transition.START): MemberState.STARTING,
        (MemberState.WAITING, Transition.ADOPT): MemberState.STARTING,
        (MemberState.WAITING, Transition.STOP): MemberState.STOPPED,
        (MemberState.STARTING, Transition.BECOME_READY): MemberState.READY,
        (MemberState.STARTING, Transition.END): MemberState.WAITING,
        (MemberState.STARTING, Transition.ENTER_CRASH_LOOP): MemberState.CRASH_LOOP,
        (MemberState.STARTING, Transition.STOP): MemberState.STOPPING,
        (MemberState.READY, Transition.END): MemberState.WAITING,
        (MemberState.READY, Transition.ENTER_CRASH_LOOP): MemberState.CRASH_LOOP,
        (MemberState.READY, Transition.REPLACE): MemberState.REPLACING,
        (MemberState.READY, Transition.STOP): MemberState.STOPPING,
        (MemberState.REPLACING, Transition.END_REPLACEMENT): MemberState.READY,
        (MemberState.REPLACING, Transition.END): MemberState.WAITING,
        (MemberState.REPLACING, Transition.ENTER_CRASH_LOOP): MemberState.CRASH_LOOP,
        (MemberState.REPLACING, Transition.STOP): MemberState.STOPPING,
        (MemberState.STOPPING, Transition.END): MemberState.STOPPED,
        (MemberState.STOPPED, Transition.RESET): MemberState.WAITING,
        (MemberState.CRASH_LOOP, Transition.RESET): MemberState.WAITING,
        (MemberState.CRASH_LOOP, Transition.STOP): MemberState.STOPPED,
    }
)


@dataclass(slots=True)
class Member:
    """One member, from the first use of its number until a scale removes it; all times are in seconds."""

    number: int
    state: MemberState = MemberState.WAITING
    deadline: float = 0.0  # When to start a waiting member, or when a start or stop has taken too long.
    run_id: int = NO_RUN  # The process that serves or is starting to serve.
    successor_run_id: int = NO_RUN
    incarnation: str = ""
    healthy_since: float = inf  # Start of the current healthy period; inf if none has begun.
    is_joining: bool = False  # The next start joins a running set.
    is_restarting: bool = False  # Starts again after the stop that is in progress.
    is_kill_logged: bool = False  # A repeated kill of a start or stop that took too long is logged only once.
    crash_times: deque[float] = field(default_factory=deque)
    last_crash_reason: str = ""

    def apply(self, transition: Transition) -> None:
        """Apply a transition to the state.

        :raises IllegalTransitionError: the transition is illegal in this state, which is an error in the controller.
        """
        self.state = TRANSITIONS[self.state, transition]
