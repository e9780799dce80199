"""Guards against a handover in which both processes or no process accept connections after a fault.

The tests check each pair of state and input of the two transition tables, and both sides together under faults.
"""

from __future__ import annotations

from enum import Enum

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thymeflow.handover.state_machine import (
    RECEIVER_TRANSITIONS,
    SENDER_TRANSITIONS,
    ReceiverAction,
    ReceiverEvent,
    ReceiverState,
    SenderAction,
    SenderEvent,
    SenderState,
    advance_receiver,
    advance_sender,
)

STATES_BEFORE_ACCEPTING = (
    ReceiverState.REQUESTING,
    ReceiverState.STARTING_UP,
    ReceiverState.AWAITING_STATE,
    ReceiverState.AWAITING_PERMISSION,
)


@pytest.mark.parametrize("state", SenderState)
@pytest.mark.parametrize("event", SenderEvent)
def test_sender_keeps_its_guarantees_for_every_state_and_event(state: SenderState, event: SenderEvent) -> None:
    next_state, actions = advance_sender(state, event)
    if (state, event) not in SENDER_TRANSITIONS:
        assert (next_state, actions) == (state, (SenderAction.REJECT_INPUT,))
    if state in (SenderState.TRANSFERRING_STATE, SenderState.LISTENER_PAUSED) and next_state is SenderState.SERVING:
        assert SenderAction.RESUME in actions  # A sender that rolls back accepts connections again.
    assert (SenderAction.DELEGATE in actions) == (
        state is SenderState.LISTENER_PAUSED and event is SenderEvent.RECEIVER_SERVING
    )
    assert (SenderAction.DRAIN in actions) == (state is SenderState.DELEGATED and event is SenderEvent.TIMED_OUT)
    if state is SenderState.DRAINING:
        assert next_state is SenderState.DRAINING  # A draining sender never rolls back.
    if state is SenderState.DELEGATED and event is SenderEvent.DISCONNECTED:
        # The receiver has died before the sender drains, so the sender rolls back.
        assert next_state is SenderState.SERVING
        assert SenderAction.RESUME in actions
    if event is SenderEvent.TIMED_OUT and state not in (
        SenderState.SERVING,
        SenderState.DELEGATED,
        SenderState.DRAINING,
    ):
        assert next_state is SenderState.SERVING
        assert SenderAction.DISCONNECT_RECEIVER in actions


@pytest.mark.parametrize("state", ReceiverState)
@pytest.mark.parametrize("event", ReceiverEvent)
def test_receiver_keeps_its_guarantees_for_every_state_and_event(state: ReceiverState, event: ReceiverEvent) -> None:
    next_state, actions = advance_receiver(state, event)
    if (state, event) not in RECEIVER_TRANSITIONS:
        assert (next_state, actions) == (state, ())
    is_accepting = state is ReceiverState.AWAITING_CONFIRMATION
    if (event is ReceiverEvent.DISCONNECTED and state not in (ReceiverState.COMPLETED, ReceiverState.FAILED)) or (
        event is ReceiverEvent.TIMED_OUT and state in STATES_BEFORE_ACCEPTING
    ):
        expected = (ReceiverAction.RETREAT,) if is_accepting else (ReceiverAction.ABANDON,)
        assert next_state is ReceiverState.FAILED
        assert actions == expected
    assert (ReceiverAction.START_ACCEPTING in actions) == (
        state is ReceiverState.AWAITING_PERMISSION and event is ReceiverEvent.ACCEPT_PERMITTED
    )


def test_receiver_keeps_accepting_when_the_confirmation_is_late() -> None:
    # The sender may drain already: a retreat of the receiver could leave no process that accepts connections.
    transition = advance_receiver(ReceiverState.AWAITING_CONFIRMATION, ReceiverEvent.TIMED_OUT)
    assert transition == (ReceiverState.AWAITING_CONFIRMATION, ())


class Fault(Enum):
    """A fault at a step of a handover."""

    SENDER_TIMEOUT = "sender timeout"
    RECEIVER_TIMEOUT = "receiver timeout"
    RECEIVER_DEATH = "receiver death"
    RECEIVER_ABORT = "receiver abort"
    CONNECTION_CUT = "connection cut"
    SENDER_SHUTDOWN = "sender shutdown"


MESSAGES_TO_RECEIVER = {
    SenderAction.SEND_DESCRIPTORS: ReceiverEvent.DESCRIPTORS_RECEIVED,
    SenderAction.PAUSE_LISTENER: ReceiverEvent.STATE_RECEIVED,
    SenderAction.PERMIT_ACCEPT: ReceiverEvent.ACCEPT_PERMITTED,
    SenderAction.DELEGATE: ReceiverEvent.DELEGATION_CONFIRMED,
    SenderAction.CONFIRM_DELEGATION: ReceiverEvent.DELEGATION_CONFIRMED,
}
MESSAGES_TO_SENDER = {
    ReceiverAction.SEND_READY: SenderEvent.RECEIVER_READY,
    ReceiverAction.RESTORE_STATE: SenderEvent.STATE_ACCEPTED,
    ReceiverAction.START_ACCEPTING: SenderEvent.RECEIVER_SERVING,
}
STEP_COUNT = 14


class Handover:
    """Both state machines, the messages in transit between them, and whether each side accepts connections."""

    def __init__(self) -> None:
        self.sender = SenderState.SERVING
        self.receiver = ReceiverState.REQUESTING
        self.is_cut = False
        self.is_receiver_dead = False
        self.is_sender_shutting_down = False
        self.sender_accepts = True
        self.receiver_accepts = False
        self.to_sender: list[SenderEvent] = [SenderEvent.REQUESTED]
        self.to_receiver: list[ReceiverEvent] = []

    def advance_sender(self, event: SenderEvent) -> None:
        """Pass an input to the sender and carry out its actions."""
        self.sender, actions = advance_sender(self.sender, event)
        for action in actions:
            if action is SenderAction.PAUSE_LISTENER:
                self.sender_accepts = False
            elif action is SenderAction.RESUME:
                self.sender_accepts = True
            elif action is SenderAction.DISCONNECT_RECEIVER:
                self.is_cut = True
            if action in MESSAGES_TO_RECEIVER and not self.is_cut:
                self.to_receiver.append(MESSAGES_TO_RECEIVER[action])

    def advance_receiver(self, event: ReceiverEvent) -> None:
        """Pass an input to the receiver, unless it is dead, and carry out its actions."""
        if self.is_receiver_dead:
            return
        self.receiver, actions = advance_receiver(self.receiver, event)
        for action in actions:
            if action is ReceiverAction.START_UP:
                self.advance_receiver(ReceiverEvent.STARTED_UP)
            elif action is ReceiverAction.START_ACCEPTING:
                self.receiver_accepts = True
            elif action in (ReceiverAction.ABANDON, ReceiverAction.RETREAT):
                self.receiver_accepts = False
            if action in MESSAGES_TO_SENDER and not self.is_cut:
                self.to_sender.append(MESSAGES_TO_SENDER[action])

    def inject(self, fault: Fault | None) -> None:
        """Make a fault occur; None for no fault."""
        if fault is Fault.SENDER_TIMEOUT:
            self.advance_sender(SenderEvent.TIMED_OUT)
        elif fault is Fault.SENDER_SHUTDOWN and self.sender is not SenderState.SERVING:
            self.is_sender_shutting_down = True
            self.advance_sender(SenderEvent.SHUTDOWN_REQUESTED)
        elif fault is Fault.RECEIVER_TIMEOUT:
            self.advance_receiver(ReceiverEvent.TIMED_OUT)
        elif fault is Fault.RECEIVER_ABORT:
            self.advance_receiver(ReceiverEvent.ABORTED)
        elif fault is Fault.RECEIVER_DEATH and self.receiver is not ReceiverState.COMPLETED:
            self.is_receiver_dead = True
            self.receiver_accepts = False
            self.is_cut = True
        elif fault is Fault.CONNECTION_CUT:
            self.is_cut = True
            # After the delegation neither side closes the connection while it runs, so a cut means the receiver died.
            self.is_receiver_dead = self.is_receiver_dead or self.sender is SenderState.DELEGATED
            self.receiver_accepts = self.receiver_accepts and not self.is_receiver_dead

    def deliver(self) -> None:
        """Deliver one message, or notify both sides of the end of the connection."""
        if self.is_cut or self.receiver is ReceiverState.FAILED:
            self._close()
        elif self.to_sender:
            self.advance_sender(self.to_sender.pop(0))
        elif self.to_receiver:
            self.advance_receiver(self.to_receiver.pop(0))

    def _close(self) -> None:
        # Messages that were sent before the end of the connection arrive before it.
        while self.to_sender and not self.is_cut:
            self.advance_sender(self.to_sender.pop(0))
        self.to_sender.clear()
        self.to_receiver.clear()
        self.advance_sender(SenderEvent.DISCONNECTED)
        self.advance_receiver(ReceiverEvent.DISCONNECTED)


@given(st.lists(st.tuples(st.integers(0, 8), st.sampled_from(Fault)), max_size=2))
def test_exactly_one_side_accepts_in_the_end_when_faults_occur(faults: list[tuple[int, Fault]]) -> None:
    handover = Handover()
    faults_by_step = dict(faults)
    for step in range(STEP_COUNT):
        handover.inject(faults_by_step.get(step))
        handover.deliver()
        if handover.receiver is not ReceiverState.AWAITING_CONFIRMATION:
            # Both sides may accept connections only until they notice that the connection is cut.
            both_accept = handover.sender_accepts and handover.receiver_accepts
            assert not (both_accept and handover.sender is SenderState.SERVING and not handover.is_cut)
    if handover.sender not in (SenderState.DELEGATED, SenderState.DRAINING):
        assert handover.sender_accepts
        assert not handover.receiver_accepts
    elif not handover.is_receiver_dead and not (handover.is_sender_shutting_down and handover.is_cut):
        assert handover.receiver_accepts
        assert handover.receiver is ReceiverState.COMPLETED
