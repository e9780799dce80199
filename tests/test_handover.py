"""The hand-over's tables, walked pair by pair and then played by both sides with every step going wrong."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thymeflow.handover.state_machine import (
    GIVING,
    TAKING,
    Act,
    Move,
    ReceiverState,
    SenderState,
    Told,
    Word,
    heard,
    told,
)

ACCEPTS_OLD = (SenderState.WHOLE, SenderState.OFFERED)


@pytest.mark.parametrize("at", SenderState)
@pytest.mark.parametrize("word", Word)
def test_every_pair_of_the_old_side_keeps_its_promises(at: SenderState, word: Word) -> None:
    after, acts = heard(at, word)
    if (at, word) not in GIVING:
        assert (after, acts) == (at, (Act.REFUSE,))
    if at in (SenderState.YIELDING, SenderState.YIELDED) and after is SenderState.WHOLE:
        assert Act.RESUME in acts  # whoever stopped accepting and takes back accepts again
    assert (Act.HAND in acts) == (at is SenderState.YIELDED and word is Word.SERVING)
    assert (Act.DRAIN in acts) == (at is SenderState.HANDED and word is Word.LATE)
    if at is SenderState.GIVEN:
        assert after is SenderState.GIVEN  # what is given is never taken back
    if at is SenderState.HANDED and word is Word.BROKEN:  # but what is handed is, where the other end died
        assert after is SenderState.WHOLE and Act.RESUME in acts
    if word is Word.LATE and at not in (SenderState.WHOLE, SenderState.HANDED, SenderState.GIVEN):
        assert after is SenderState.WHOLE and Act.FORGET in acts


@pytest.mark.parametrize("at", ReceiverState)
@pytest.mark.parametrize("what", Told)
def test_every_pair_of_the_new_side_keeps_its_promises(at: ReceiverState, what: Told) -> None:
    after, moves = told(at, what)
    if (at, what) not in TAKING:
        assert (after, moves) == (at, ())
    accepted = at is ReceiverState.PROVING
    if (what is Told.BROKEN and at not in (ReceiverState.HOLDING, ReceiverState.FAILED)) or (
        what is Told.LATE
        and at in (ReceiverState.ASKING, ReceiverState.LOADING, ReceiverState.READING, ReceiverState.CLAIMING)
    ):
        assert after is ReceiverState.FAILED and moves == ((Move.RETREAT,) if accepted else (Move.QUIT,))
    assert (Move.ACCEPT in moves) == (at is ReceiverState.CLAIMING and what is Told.YOURS)


WORDS = {
    Act.OFFER: Told.OFFER,
    Act.YIELD: Told.STATE,
    Act.GRANT: Told.YOURS,
    Act.HAND: Told.DRAINING,
    Act.CONFIRM: Told.DRAINING,
}
REPLIES = {Move.SAY_READY: Word.READY, Move.ADOPT_STATE: Word.TOOK, Move.ACCEPT: Word.SERVING}
Fault = st.sampled_from(["old late", "new late", "new dies", "new unfit", "cut", "old ends"])


@given(st.lists(st.tuples(st.integers(0, 8), Fault), max_size=2))
def test_whatever_goes_wrong_exactly_one_of_them_ends_up_accepting(faults: list[tuple[int, str]]) -> None:
    old, new, cut, new_dead, old_ends = SenderState.WHOLE, ReceiverState.ASKING, False, False, False
    to_old: list[Word] = [Word.TAKE]
    to_new: list[Told] = []
    accepts_old, accepts_new = True, False
    at = dict(faults)

    def old_hears(word: Word) -> None:
        nonlocal old, accepts_old, cut
        old, acts = heard(old, word)
        for act in acts:
            if act is Act.YIELD:
                accepts_old = False
            elif act is Act.RESUME:
                accepts_old = True
            elif act is Act.FORGET:
                cut = True
            if act in WORDS and not cut:
                to_new.append(WORDS[act])

    def new_hears(what: Told) -> None:
        nonlocal new, accepts_new
        if new_dead:
            return
        new, moves = told(new, what)
        for move in moves:
            if move is Move.LOAD:
                new_hears(Told.LOADED)
            elif move is Move.ACCEPT:
                accepts_new = True
            elif move in (Move.QUIT, Move.RETREAT):
                accepts_new = False
            if move in REPLIES and not cut:
                to_old.append(REPLIES[move])

    for step in range(14):
        fault = at.get(step)
        if fault == "old late":
            old_hears(Word.LATE)
        elif fault == "old ends" and old is not SenderState.WHOLE:
            old_ends = True
            old_hears(Word.ENDING)
        elif fault == "new late":
            new_hears(Told.LATE)
        elif fault == "new unfit":
            new_hears(Told.UNFIT)
        elif fault == "new dies" and new is not ReceiverState.HOLDING:
            new_dead, accepts_new, cut = True, False, True
        elif fault == "cut":
            cut = True
            # The line of two that have agreed is cut by death alone: neither closes it while it lives.
            new_dead = new_dead or old is SenderState.HANDED
            accepts_new = accepts_new and not new_dead
        if cut or new is ReceiverState.FAILED:  # the end of the connection is heard by both, what was sent before first
            while to_old and not cut:
                old_hears(to_old.pop(0))
            to_old.clear()
            to_new.clear()
            old_hears(Word.BROKEN)
            new_hears(Told.BROKEN)
        elif to_old:
            old_hears(to_old.pop(0))
        elif to_new:
            new_hears(to_new.pop(0))
        if new is not ReceiverState.PROVING:  # only until the cut is heard may both think it theirs
            assert not (accepts_old and accepts_new and old is SenderState.WHOLE and not cut)
    if old not in (SenderState.HANDED, SenderState.GIVEN):
        assert accepts_old and not accepts_new
    elif not new_dead and not (old_ends and cut):
        assert accepts_new and new is ReceiverState.HOLDING
