"""The phases of a limiter's life, and what operators' calls mean in each: one table, no I/O, no clock."""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """Where the program is in its life."""

    STARTING = "starting"  # no list yet, or not listening
    SERVING = "serving"
    EVACUATED = "evacuated"  # told to send user agents away; listens on, and comes back when told to
    HANDED_OVER = "handed over"  # a successor accepts at the address; it comes back should that one die
    DRAINING = "draining"  # told to end; serves for a moment, then finishes what it took
    STOPPED = "stopped"


class Word(Enum):
    """What operators may call."""

    READY = "readyz"
    EVACUATE = "evacuate"
    ACTIVATE = "activate"


# What is not in the table changes nothing and is answered no, with the phase as the reason.
CALLS: dict[tuple[Phase, Word], tuple[Phase, str]] = {
    (Phase.SERVING, Word.EVACUATE): (Phase.EVACUATED, "user agents are sent away"),
    (Phase.EVACUATED, Word.EVACUATE): (Phase.EVACUATED, "evacuated already"),
    (Phase.EVACUATED, Word.ACTIVATE): (Phase.SERVING, "back at work"),
    (Phase.SERVING, Word.ACTIVATE): (Phase.SERVING, "at work already"),
    (Phase.STARTING, Word.ACTIVATE): (Phase.STARTING, "will be at work as soon as it has started"),
}
WHY = {
    Phase.STARTING: "it is starting and takes no user agents yet",
    Phase.SERVING: "it takes user agents",
    Phase.EVACUATED: "it is evacuated; activate brings it back",
    Phase.HANDED_OVER: "its successor takes user agents at the address",
    Phase.DRAINING: "it was told to end and finishes what it took",
    Phase.STOPPED: "it has ended",
}


def called(phase: Phase, word: Word, takes: bool) -> tuple[Phase, bool, str]:
    """The next phase, whether the answer is yes, and the reason; `takes`: whether user agents are taken now."""
    if word is Word.READY:
        return phase, takes, WHY[phase]
    if (phase, word) in CALLS:
        after, why = CALLS[phase, word]
        return after, True, why
    return phase, False, WHY[phase]
