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


class Giver(Enum):
    """Where the old process is."""

    WHOLE = "whole"           # it serves, nobody asks
    OFFERED = "offered"       # the other end has the descriptors and starts up; this one serves
    YIELDING = "yielding"     # it accepts nothing; the other end reads its state
    YIELDED = "yielded"       # the other end may accept
    HANDED = "handed"         # the other end accepts; this one sends away, and would come back
    GIVEN = "given"           # it drains


class Word(Enum):
    """What the old process hears."""

    TAKE = "take"
    READY = "ready"
    TOOK = "took"
    SERVING = "serving"
    BROKEN = "broken"         # the connection ended
    LATE = "late"             # a step took too long
    ENDING = "ending"         # it was told to end meanwhile


class Act(Enum):
    """What the old process does."""

    OFFER = "offer"
    YIELD = "yield"
    GRANT = "grant"
    HAND = "hand"             # send user agents away, and say that the other end holds all
    CONFIRM = "confirm"       # only say so
    DRAIN = "drain"
    RESUME = "resume"         # accept again
    FORGET = "forget"         # close the connection of the other end
    REFUSE = "refuse"


GIVING: dict[tuple[Giver, Word], tuple[Giver, tuple[Act, ...]]] = {
    (Giver.WHOLE, Word.TAKE): (Giver.OFFERED, (Act.OFFER,)),
    (Giver.WHOLE, Word.ENDING): (Giver.WHOLE, ()),
    (Giver.OFFERED, Word.READY): (Giver.YIELDING, (Act.YIELD,)),
    (Giver.OFFERED, Word.BROKEN): (Giver.WHOLE, ()),
    (Giver.OFFERED, Word.LATE): (Giver.WHOLE, (Act.FORGET,)),
    (Giver.OFFERED, Word.ENDING): (Giver.WHOLE, (Act.FORGET,)),
    (Giver.YIELDING, Word.TOOK): (Giver.YIELDED, (Act.GRANT,)),
    (Giver.YIELDING, Word.BROKEN): (Giver.WHOLE, (Act.RESUME,)),
    (Giver.YIELDING, Word.LATE): (Giver.WHOLE, (Act.FORGET, Act.RESUME)),
    (Giver.YIELDING, Word.ENDING): (Giver.WHOLE, (Act.FORGET, Act.RESUME)),
    (Giver.YIELDED, Word.SERVING): (Giver.HANDED, (Act.HAND,)),
    (Giver.YIELDED, Word.BROKEN): (Giver.WHOLE, (Act.RESUME,)),
    (Giver.YIELDED, Word.LATE): (Giver.WHOLE, (Act.FORGET, Act.RESUME)),
    (Giver.YIELDED, Word.ENDING): (Giver.GIVEN, ()),     # the other end accepts by now, or is about to
    (Giver.HANDED, Word.BROKEN): (Giver.WHOLE, (Act.RESUME,)),    # the other end is dead: nobody else accepts
    (Giver.HANDED, Word.LATE): (Giver.GIVEN, (Act.DRAIN,)),       # it has proved itself
    (Giver.HANDED, Word.ENDING): (Giver.GIVEN, ()),
    (Giver.GIVEN, Word.SERVING): (Giver.GIVEN, (Act.CONFIRM,)),   # it was told to end first: the word crossed
    (Giver.GIVEN, Word.BROKEN): (Giver.GIVEN, ()),
    (Giver.GIVEN, Word.LATE): (Giver.GIVEN, ()),
    (Giver.GIVEN, Word.ENDING): (Giver.GIVEN, ()),
}


def heard(at: Giver, word: Word) -> tuple[Giver, tuple[Act, ...]]:
    """The old process's next state and what it does."""
    return GIVING.get((at, word), (at, (Act.REFUSE,)))


class Taker(Enum):
    """Where the new process is."""

    ASKING = "asking"
    LOADING = "loading"       # it has the descriptors, and starts up
    READING = "reading"       # it said that it is ready, and waits for the state
    CLAIMING = "claiming"     # it holds the state, and waits for the old one's word
    PROVING = "proving"       # it accepts, and waits to hear that the old one drains
    HOLDING = "holding"       # all is its own
    FAILED = "failed"


class Told(Enum):
    """What the new process is told."""

    OFFER = "offer"
    LOADED = "loaded"         # by itself: the list is known, counter and discovery are connected
    STATE = "state"
    YOURS = "yours"
    DRAINING = "draining"
    BROKEN = "broken"
    LATE = "late"
    UNFIT = "unfit"           # by itself: what it was given cannot be used


class Move(Enum):
    """What the new process does."""

    LOAD = "load"
    SAY_READY = "ready"
    ADOPT_STATE = "adopt state"   # and say that it took it
    ACCEPT = "accept"             # and say that it serves
    SETTLE = "settle"             # it is what the name means from now on
    QUIT = "quit"                 # it never accepted: end at once
    RETREAT = "retreat"           # it accepts already: end in good order


TAKING: dict[tuple[Taker, Told], tuple[Taker, tuple[Move, ...]]] = {
    (Taker.ASKING, Told.OFFER): (Taker.LOADING, (Move.LOAD,)),
    (Taker.LOADING, Told.LOADED): (Taker.READING, (Move.SAY_READY,)),
    (Taker.READING, Told.STATE): (Taker.CLAIMING, (Move.ADOPT_STATE,)),
    (Taker.CLAIMING, Told.YOURS): (Taker.PROVING, (Move.ACCEPT,)),
    (Taker.PROVING, Told.DRAINING): (Taker.HOLDING, (Move.SETTLE,)),
    (Taker.PROVING, Told.BROKEN): (Taker.FAILED, (Move.RETREAT,)),
    # The old one may have drained already, its word on the way: only the end of the connection tells that it has
    # not, as what it said before comes first. To retreat on a guess could leave nobody who accepts.
    (Taker.PROVING, Told.LATE): (Taker.PROVING, ()),
    (Taker.HOLDING, Told.BROKEN): (Taker.HOLDING, ()),
    (Taker.HOLDING, Told.LATE): (Taker.HOLDING, ()),
    (Taker.FAILED, Told.BROKEN): (Taker.FAILED, ()),
    (Taker.FAILED, Told.LATE): (Taker.FAILED, ()),
    **{(at, told): (Taker.FAILED, (Move.QUIT,))
       for at in (Taker.ASKING, Taker.LOADING, Taker.READING, Taker.CLAIMING)
       for told in (Told.BROKEN, Told.LATE, Told.UNFIT)},
}


def told(at: Taker, what: Told) -> tuple[Taker, tuple[Move, ...]]:
    """The new process's next state and what it does; what comes out of turn changes nothing."""
    return TAKING.get((at, what), (at, ()))
