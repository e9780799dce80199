"""The hand-over's tables, walked pair by pair and then played by both sides with every step going wrong."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thymeflow.handover.state_machine import (
    RECEIVER_TRANSITIONS,
    SENDER_TRANSITIONS,
    ReceiverAction,
    ReceiverState,
    SenderAction,
    SenderState,
    Told,
    Word,
    advance_receiver,
    advance_sender,
)

ACCEPTS_OLD = (SenderState.SERVING, SenderState.DESCRIPTORS_SENT)


@pytest.mark.parametrize("at", SenderState)
@pytest.mark.parametrize("word", Word)
def test_every_pair_of_the_old_side_keeps_its_promises(at: SenderState, word: Word) -> None:
    after, acts = advance_sender(at, word)
    if (at, word) not in SENDER_TRANSITIONS:
        assert (after, acts) == (at, (SenderAction.REJECT_INPUT,))
    if at in (SenderState.TRANSFERRING_STATE, SenderState.LISTENER_PAUSED) and after is SenderState.SERVING:
        assert SenderAction.RESUME in acts  # whoever stopped accepting and takes back accepts again
    assert (SenderAction.DELEGATE in acts) == (at is SenderState.LISTENER_PAUSED and word is Word.RECEIVER_SERVING)
    assert (SenderAction.DRAIN in acts) == (at is SenderState.DELEGATED and word is Word.TIMED_OUT)
    if at is SenderState.GIVEN:
        assert after is SenderState.GIVEN  # what is given is never taken back
    if at is SenderState.DELEGATED and word is Word.DISCONNECTED:  # but what is handed is, where the other end died
        assert after is SenderState.SERVING and SenderAction.RESUME in acts
    if word is Word.TIMED_OUT and at not in (SenderState.SERVING, SenderState.DELEGATED, SenderState.GIVEN):
        assert after is SenderState.SERVING and SenderAction.DISCONNECT_RECEIVER in acts


@pytest.mark.parametrize("at", ReceiverState)
@pytest.mark.parametrize("what", Told)
def test_every_pair_of_the_new_side_keeps_its_promises(at: ReceiverState, what: Told) -> None:
    after, moves = advance_receiver(at, what)
    if (at, what) not in RECEIVER_TRANSITIONS:
        assert (after, moves) == (at, ())
    accepted = at is ReceiverState.AWAITING_CONFIRMATION
    if (what is Told.DISCONNECTED and at not in (ReceiverState.COMPLETED, ReceiverState.FAILED)) or (
        what is Told.TIMED_OUT
        and at
        in (
            ReceiverState.REQUESTING,
            ReceiverState.STARTING_UP,
            ReceiverState.AWAITING_STATE,
            ReceiverState.AWAITING_PERMISSION,
        )
    ):
        assert after is ReceiverState.FAILED and moves == (
            (ReceiverAction.RETREAT,) if accepted else (ReceiverAction.ABANDON,)
        )
    assert (ReceiverAction.START_ACCEPTING in moves) == (
        at is ReceiverState.AWAITING_PERMISSION and what is Told.ACCEPT_PERMITTED
    )


WORDS = {
    SenderAction.SEND_DESCRIPTORS: Told.DESCRIPTORS_RECEIVED,
    SenderAction.PAUSE_LISTENER: Told.STATE_RECEIVED,
    SenderAction.PERMIT_ACCEPT: Told.ACCEPT_PERMITTED,
    SenderAction.DELEGATE: Told.DELEGATION_CONFIRMED,
    SenderAction.CONFIRM_DELEGATION: Told.DELEGATION_CONFIRMED,
}
REPLIES = {
    ReceiverAction.SEND_READY: Word.RECEIVER_READY,
    ReceiverAction.RESTORE_STATE: Word.STATE_ACCEPTED,
    ReceiverAction.START_ACCEPTING: Word.RECEIVER_SERVING,
}
Fault = st.sampled_from(["old late", "new late", "new dies", "new unfit", "cut", "old ends"])


@given(st.lists(st.tuples(st.integers(0, 8), Fault), max_size=2))
def test_whatever_goes_wrong_exactly_one_of_them_ends_up_accepting(faults: list[tuple[int, str]]) -> None:
    old, new, cut, new_dead, old_ends = SenderState.SERVING, ReceiverState.REQUESTING, False, False, False
    to_old: list[Word] = [Word.REQUESTED]
    to_new: list[Told] = []
    accepts_old, accepts_new = True, False
    at = dict(faults)

    def old_hears(word: Word) -> None:
        nonlocal old, accepts_old, cut
        old, acts = advance_sender(old, word)
        for act in acts:
            if act is SenderAction.PAUSE_LISTENER:
                accepts_old = False
            elif act is SenderAction.RESUME:
                accepts_old = True
            elif act is SenderAction.DISCONNECT_RECEIVER:
                cut = True
            if act in WORDS and not cut:
                to_new.append(WORDS[act])

    def new_hears(what: Told) -> None:
        nonlocal new, accepts_new
        if new_dead:
            return
        new, moves = advance_receiver(new, what)
        for move in moves:
            if move is ReceiverAction.START_UP:
                new_hears(Told.STARTED_UP)
            elif move is ReceiverAction.START_ACCEPTING:
                accepts_new = True
            elif move in (ReceiverAction.ABANDON, ReceiverAction.RETREAT):
                accepts_new = False
            if move in REPLIES and not cut:
                to_old.append(REPLIES[move])

    for step in range(14):
        fault = at.get(step)
        if fault == "old late":
            old_hears(Word.TIMED_OUT)
        elif fault == "old ends" and old is not SenderState.SERVING:
            old_ends = True
            old_hears(Word.ENDING)
        elif fault == "new late":
            new_hears(Told.TIMED_OUT)
        elif fault == "new unfit":
            new_hears(Told.UNFIT)
        elif fault == "new dies" and new is not ReceiverState.COMPLETED:
            new_dead, accepts_new, cut = True, False, True
        elif fault == "cut":
            cut = True
            # The line of two that have agreed is cut by death alone: neither closes it while it lives.
            new_dead = new_dead or old is SenderState.DELEGATED
            accepts_new = accepts_new and not new_dead
        if cut or new is ReceiverState.FAILED:  # both see the end of the connection, after what was sent before
            while to_old and not cut:
                old_hears(to_old.pop(0))
            to_old.clear()
            to_new.clear()
            old_hears(Word.DISCONNECTED)
            new_hears(Told.DISCONNECTED)
        elif to_old:
            old_hears(to_old.pop(0))
        elif to_new:
            new_hears(to_new.pop(0))
        if new is not ReceiverState.AWAITING_CONFIRMATION:  # only until the cut is seen may both think it theirs
            assert not (accepts_old and accepts_new and old is SenderState.SERVING and not cut)
    if old not in (SenderState.DELEGATED, SenderState.GIVEN):
        assert accepts_old and not accepts_new
    elif not new_dead and not (old_ends and cut):
        assert accepts_new and new is ReceiverState.COMPLETED
