"""The states of a fleet member, the legal transitions between them, and the record of one member."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from thymeflow.runtime.transitions import TransitionTable

NO_RUN = -1  # in place of a run's id


class MemberState(Enum):
    """Where a member is; the values are shown to operators."""

    WAITING = "waiting"  # is started once its time has come
    STARTING = "starting"
    READY = "ready"
    REPLACING = "replacing"  # serves, while a successor starts beside it
    STOPPING = "stopping"
    STOPPED = "down"  # ended on purpose
    CRASH_LOOP = "crash loop"  # ended too often; not started again before an operator orders it


class Transition(Enum):
    """What may happen to a member."""

    START = "start"
    ADOPT = "adopt"
    BECOME_READY = "become ready"
    END = "end"
    ENTER_CRASH_LOOP = "enter crash loop"
    REPLACE = "replace"
    FINISH_REPLACEMENT = "finish replacement"  # whether it succeeded or not
    STOP = "stop"
    RESET = "reset"  # after an end on purpose, or out of a crash loop


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
        (MemberState.REPLACING, Transition.FINISH_REPLACEMENT): MemberState.READY,
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
    """One member, from the first use of its number to the supervisor's end; times in seconds."""

    number: int
    state: MemberState = MemberState.WAITING
    deadline: float = 0.0  # when to start it, or until when to wait for it
    run_id: int = NO_RUN  # the process that serves, or is to serve
    successor_run_id: int = NO_RUN
    incarnation: str = ""
    healthy_since: float = inf
    is_joining: bool = False  # its next start joins a running set
    is_restarting: bool = False  # start it again after the stop that is in progress
    is_killed: bool = False
    crashed_at: deque[float] = field(default_factory=deque)
    last_crash_reason: str = ""

    def apply(self, transition: Transition) -> None:
        """Go to the next state.

        :raises IllegalTransitionError: the transition is illegal in this state: a programming error of the controller.
        """
        self.state = TRANSITIONS[self.state, transition]
