"""The hand-over of a listening socket and its state, as two tables: no I/O, no clock.

    new  TAKE ->            old  offers the listening socket and the lock (descriptors)
    new  READY ->           old  stops accepting, tells its state
    new  TOOK ->            old  gives its word
    new  SERVING ->         old  sends its user agents away; drains once it is told to end, or the new one has proved
                                 itself; at the end tells what it charged since the state

Whatever breaks, hangs or dies before the old one drains gives everything back: the old one accepts again.
At no moment do both accept, and connections that come while neither does wait in the kernel's queue. What is
not in a table is refused and changes nothing.
"""

from __future__ import annotations

from enum import Enum


class SenderState(Enum):
    """Where the old process is."""

    WHOLE = "whole"  # it serves, nobody asks
    OFFERED = "offered"  # the other end has the descriptors and starts up; this one serves
    YIELDING = "yielding"  # it accepts nothing; the other end reads its state
    YIELDED = "yielded"  # the other end may accept
    HANDED = "handed"  # the other end accepts; this one sends away, and would come back
    GIVEN = "given"  # it drains


class Word(Enum):
    """What the old process hears."""

    TAKE = "take"
    READY = "ready"
    TOOK = "took"
    SERVING = "serving"
    BROKEN = "broken"  # the connection ended
    LATE = "late"  # a step took too long
    ENDING = "ending"  # it was told to end meanwhile


class Act(Enum):
    """What the old process does."""

    OFFER = "offer"
    YIELD = "yield"
    GRANT = "grant"
    HAND = "hand"  # send user agents away, and say that the other end holds all
    CONFIRM = "confirm"  # only say so
    DRAIN = "drain"
    RESUME = "resume"  # accept again
    FORGET = "forget"  # close the connection of the other end
    REFUSE = "refuse"


GIVING: dict[tuple[SenderState, Word], tuple[SenderState, tuple[Act, ...]]] = {
    (SenderState.WHOLE, Word.TAKE): (SenderState.OFFERED, (Act.OFFER,)),
    (SenderState.WHOLE, Word.ENDING): (SenderState.WHOLE, ()),
    (SenderState.OFFERED, Word.READY): (SenderState.YIELDING, (Act.YIELD,)),
    (SenderState.OFFERED, Word.BROKEN): (SenderState.WHOLE, ()),
    (SenderState.OFFERED, Word.LATE): (SenderState.WHOLE, (Act.FORGET,)),
    (SenderState.OFFERED, Word.ENDING): (SenderState.WHOLE, (Act.FORGET,)),
    (SenderState.YIELDING, Word.TOOK): (SenderState.YIELDED, (Act.GRANT,)),
    (SenderState.YIELDING, Word.BROKEN): (SenderState.WHOLE, (Act.RESUME,)),
    (SenderState.YIELDING, Word.LATE): (SenderState.WHOLE, (Act.FORGET, Act.RESUME)),
    (SenderState.YIELDING, Word.ENDING): (SenderState.WHOLE, (Act.FORGET, Act.RESUME)),
    (SenderState.YIELDED, Word.SERVING): (SenderState.HANDED, (Act.HAND,)),
    (SenderState.YIELDED, Word.BROKEN): (SenderState.WHOLE, (Act.RESUME,)),
    (SenderState.YIELDED, Word.LATE): (SenderState.WHOLE, (Act.FORGET, Act.RESUME)),
    (SenderState.YIELDED, Word.ENDING): (SenderState.GIVEN, ()),  # the other end accepts by now, or is about to
    (SenderState.HANDED, Word.BROKEN): (SenderState.WHOLE, (Act.RESUME,)),  # the other end is dead: nobody else accepts
    (SenderState.HANDED, Word.LATE): (SenderState.GIVEN, (Act.DRAIN,)),  # it has proved itself
    (SenderState.HANDED, Word.ENDING): (SenderState.GIVEN, ()),
    (SenderState.GIVEN, Word.SERVING): (
        SenderState.GIVEN,
        (Act.CONFIRM,),
    ),  # it was told to end first: the word crossed
    (SenderState.GIVEN, Word.BROKEN): (SenderState.GIVEN, ()),
    (SenderState.GIVEN, Word.LATE): (SenderState.GIVEN, ()),
    (SenderState.GIVEN, Word.ENDING): (SenderState.GIVEN, ()),
}


def heard(at: SenderState, word: Word) -> tuple[SenderState, tuple[Act, ...]]:
    """The old process's next state and what it does."""
    return GIVING.get((at, word), (at, (Act.REFUSE,)))


class ReceiverState(Enum):
    """Where the new process is."""

    ASKING = "asking"
    LOADING = "loading"  # it has the descriptors, and starts up
    READING = "reading"  # it said that it is ready, and waits for the state
    CLAIMING = "claiming"  # it holds the state, and waits for the old one's word
    PROVING = "proving"  # it accepts, and waits to hear that the old one drains
    HOLDING = "holding"  # all is its own
    FAILED = "failed"


class Told(Enum):
    """What the new process is told."""

    OFFER = "offer"
    LOADED = "loaded"  # by itself: the list is known, counter and discovery are connected
    STATE = "state"
    YOURS = "yours"
    DRAINING = "draining"
    BROKEN = "broken"
    LATE = "late"
    UNFIT = "unfit"  # by itself: what it was given cannot be used


class Move(Enum):
    """What the new process does."""

    LOAD = "load"
    SAY_READY = "ready"
    ADOPT_STATE = "adopt state"  # and say that it took it
    ACCEPT = "accept"  # and say that it serves
    SETTLE = "settle"  # it is what the name means from now on
    QUIT = "quit"  # it never accepted: end at once
    RETREAT = "retreat"  # it accepts already: end in good order


TAKING: dict[tuple[ReceiverState, Told], tuple[ReceiverState, tuple[Move, ...]]] = {
    (ReceiverState.ASKING, Told.OFFER): (ReceiverState.LOADING, (Move.LOAD,)),
    (ReceiverState.LOADING, Told.LOADED): (ReceiverState.READING, (Move.SAY_READY,)),
    (ReceiverState.READING, Told.STATE): (ReceiverState.CLAIMING, (Move.ADOPT_STATE,)),
    (ReceiverState.CLAIMING, Told.YOURS): (ReceiverState.PROVING, (Move.ACCEPT,)),
    (ReceiverState.PROVING, Told.DRAINING): (ReceiverState.HOLDING, (Move.SETTLE,)),
    (ReceiverState.PROVING, Told.BROKEN): (ReceiverState.FAILED, (Move.RETREAT,)),
    # The old one may have drained already, its word on the way: only the end of the connection tells that it has
    # not, as what it said before comes first. To retreat on a guess could leave nobody who accepts.
    (ReceiverState.PROVING, Told.LATE): (ReceiverState.PROVING, ()),
    (ReceiverState.HOLDING, Told.BROKEN): (ReceiverState.HOLDING, ()),
    (ReceiverState.HOLDING, Told.LATE): (ReceiverState.HOLDING, ()),
    (ReceiverState.FAILED, Told.BROKEN): (ReceiverState.FAILED, ()),
    (ReceiverState.FAILED, Told.LATE): (ReceiverState.FAILED, ()),
    **{
        (at, told): (ReceiverState.FAILED, (Move.QUIT,))
        for at in (ReceiverState.ASKING, ReceiverState.LOADING, ReceiverState.READING, ReceiverState.CLAIMING)
        for told in (Told.BROKEN, Told.LATE, Told.UNFIT)
    },
}


def told(at: ReceiverState, what: Told) -> tuple[ReceiverState, tuple[Move, ...]]:
    """The new process's next state and what it does; what comes out of turn changes nothing."""
    return TAKING.get((at, what), (at, ()))
