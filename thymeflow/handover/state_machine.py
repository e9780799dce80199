"""The handover of a listening socket and its state as two transition tables, without I/O and without a clock.

    receiver  REQUESTED ->         sender  sends the descriptors of the listening socket and the lock
    receiver  RECEIVER_READY ->    sender  pauses its listener and sends its state
    receiver  STATE_ACCEPTED ->    sender  permits the receiver to accept connections
    receiver  RECEIVER_SERVING ->  sender  delegates: it closes idle clients, and drains once it is shut down or the
                                           rollback window has passed; at the end it sends the charges that it made
                                           after the snapshot

A failure, hang or death of either side before the sender drains rolls the handover back: the sender accepts
connections again. The two processes never accept at the same time; connections that arrive while neither process
accepts wait in the kernel's accept queue. An input that is not in a table changes nothing, and the sender rejects it.

The values of the enums are sent to the other process, printed in the status or logged; this format must not change.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from thymeflow.runtime.transitions import TransitionTable


class SenderState(Enum):
    """The state of the old process."""

    SERVING = "whole"  # The sender serves, and no handover is in progress.
    DESCRIPTORS_SENT = "offered"  # The receiver starts up with the descriptors; the sender serves.
    TRANSFERRING_STATE = "yielding"  # The listener is paused; the receiver reads the state.
    LISTENER_PAUSED = "yielded"  # The receiver is permitted to accept connections.
    DELEGATED = "handed"  # The receiver accepts; the sender closes idle clients, and can still roll back.
    DRAINING = "given"  # The sender completes its open requests and cannot roll back.


class SenderEvent(Enum):
    """An input of the sender."""

    REQUESTED = "take"
    RECEIVER_READY = "ready"
    STATE_ACCEPTED = "took"
    RECEIVER_SERVING = "serving"
    DISCONNECTED = "broken"
    TIMED_OUT = "late"  # The step's time limit or the rollback window has passed.
    SHUTDOWN_REQUESTED = "ending"  # The process has to shut down.


class SenderAction(Enum):
    """An action of the sender."""

    SEND_DESCRIPTORS = "offer"
    PAUSE_LISTENER = "yield"  # Pause the listener and send the state.
    PERMIT_ACCEPT = "grant"
    DELEGATE = "hand"  # Close idle clients and confirm the delegation.
    CONFIRM_DELEGATION = "confirm"
    DRAIN = "drain"
    RESUME = "resume"  # Accept connections again.
    DISCONNECT_RECEIVER = "forget"
    REJECT_INPUT = "refuse"


class SenderTransition(NamedTuple):
    """The next state of the sender, and its actions in order."""

    state: SenderState
    actions: tuple[SenderAction, ...] = ()


SENDER_TRANSITIONS: TransitionTable[SenderState, SenderEvent, SenderTransition] = TransitionTable(
    {
        (SenderState.SERVING, SenderEvent.REQUESTED): SenderTransition(
            SenderState.DESCRIPTORS_SENT, (SenderAction.SEND_DESCRIPTORS,)
        ),
        (SenderState.SERVING, SenderEvent.SHUTDOWN_REQUESTED): SenderTransition(SenderState.SERVING),
        (SenderState.DESCRIPTORS_SENT, SenderEvent.RECEIVER_READY): SenderTransition(
            SenderState.TRANSFERRING_STATE, (SenderAction.PAUSE_LISTENER,)
        ),
        (SenderState.DESCRIPTORS_SENT, SenderEvent.DISCONNECTED): SenderTransition(SenderState.SERVING),
        (SenderState.DESCRIPTORS_SENT, SenderEvent.TIMED_OUT): SenderTransition(
            SenderState.SERVING, (SenderAction.DISCONNECT_RECEIVER,)
        ),
        (SenderState.DESCRIPTORS_SENT, SenderEvent.SHUTDOWN_REQUESTED): SenderTransition(
            SenderState.SERVING, (SenderAction.DISCONNECT_RECEIVER,)
        ),
        (SenderState.TRANSFERRING_STATE, SenderEvent.STATE_ACCEPTED): SenderTransition(
            SenderState.LISTENER_PAUSED, (SenderAction.PERMIT_ACCEPT,)
        ),
        (SenderState.TRANSFERRING_STATE, SenderEvent.DISCONNECTED): SenderTransition(
            SenderState.SERVING, (SenderAction.RESUME,)
        ),
        (SenderState.TRANSFERRING_STATE, SenderEvent.TIMED_OUT): SenderTransition(
            SenderState.SERVING, (SenderAction.DISCONNECT_RECEIVER, SenderAction.RESUME)
        ),
        (SenderState.TRANSFERRING_STATE, SenderEvent.SHUTDOWN_REQUESTED): SenderTransition(
            SenderState.SERVING, (SenderAction.DISCONNECT_RECEIVER, SenderAction.RESUME)
        ),
        (SenderState.LISTENER_PAUSED, SenderEvent.RECEIVER_SERVING): SenderTransition(
            SenderState.DELEGATED, (SenderAction.DELEGATE,)
        ),
        (SenderState.LISTENER_PAUSED, SenderEvent.DISCONNECTED): SenderTransition(
            SenderState.SERVING, (SenderAction.RESUME,)
        ),
        (SenderState.LISTENER_PAUSED, SenderEvent.TIMED_OUT): SenderTransition(
            SenderState.SERVING, (SenderAction.DISCONNECT_RECEIVER, SenderAction.RESUME)
        ),
        # The receiver may accept connections already or may be about to.
        (SenderState.LISTENER_PAUSED, SenderEvent.SHUTDOWN_REQUESTED): SenderTransition(SenderState.DRAINING),
        # The receiver has died, so no other process accepts connections.
        (SenderState.DELEGATED, SenderEvent.DISCONNECTED): SenderTransition(
            SenderState.SERVING, (SenderAction.RESUME,)
        ),
        # The receiver has run for the complete rollback window.
        (SenderState.DELEGATED, SenderEvent.TIMED_OUT): SenderTransition(SenderState.DRAINING, (SenderAction.DRAIN,)),
        (SenderState.DELEGATED, SenderEvent.SHUTDOWN_REQUESTED): SenderTransition(SenderState.DRAINING),
        # The sender began to shut down before the receiver's message arrived.
        (SenderState.DRAINING, SenderEvent.RECEIVER_SERVING): SenderTransition(
            SenderState.DRAINING, (SenderAction.CONFIRM_DELEGATION,)
        ),
        (SenderState.DRAINING, SenderEvent.DISCONNECTED): SenderTransition(SenderState.DRAINING),
        (SenderState.DRAINING, SenderEvent.TIMED_OUT): SenderTransition(SenderState.DRAINING),
        (SenderState.DRAINING, SenderEvent.SHUTDOWN_REQUESTED): SenderTransition(SenderState.DRAINING),
    }
)


def advance_sender(state: SenderState, event: SenderEvent) -> SenderTransition:
    """Return the sender's transition; an input that is not in the table keeps the state and is rejected."""
    rejection = SenderTransition(state, (SenderAction.REJECT_INPUT,))
    return SENDER_TRANSITIONS.get((state, event), rejection)


class ReceiverState(Enum):
    """The state of the new process."""

    REQUESTING = "asking"
    STARTING_UP = "loading"  # The receiver has the descriptors and starts up.
    AWAITING_STATE = "reading"  # The receiver is ready and waits for the state.
    AWAITING_PERMISSION = "claiming"  # The receiver has restored the state and waits for the permission to accept.
    AWAITING_CONFIRMATION = "proving"  # The receiver accepts and waits for the confirmation of the delegation.
    COMPLETED = "holding"  # The receiver owns the listening socket, the state and the name.
    FAILED = "failed"


class ReceiverEvent(Enum):
    """An input of the receiver."""

    DESCRIPTORS_RECEIVED = "offer"
    STARTED_UP = "loaded"  # A local input: counter and discovery are connected, and the endpoint list is known.
    STATE_RECEIVED = "state"
    ACCEPT_PERMITTED = "yours"
    DELEGATION_CONFIRMED = "draining"
    DISCONNECTED = "broken"
    TIMED_OUT = "late"
    ABORTED = "unfit"  # A local input: a received message cannot be used, or the receiver has to shut down.


class ReceiverAction(Enum):
    """An action of the receiver."""

    START_UP = "load"
    SEND_READY = "say ready"
    RESTORE_STATE = "adopt state"  # Restore the state and acknowledge it.
    START_ACCEPTING = "accept"  # Start to accept connections and notify the sender.
    COMPLETE = "settle"
    ABANDON = "quit"  # The receiver never accepted connections: give the handover up at once.
    RETREAT = "retreat"  # The receiver accepts connections already: shut down gracefully.


class ReceiverTransition(NamedTuple):
    """The next state of the receiver, and its actions in order."""

    state: ReceiverState
    actions: tuple[ReceiverAction, ...] = ()


STATES_BEFORE_ACCEPTING = (
    ReceiverState.REQUESTING,
    ReceiverState.STARTING_UP,
    ReceiverState.AWAITING_STATE,
    ReceiverState.AWAITING_PERMISSION,
)
FAULTS = (ReceiverEvent.DISCONNECTED, ReceiverEvent.TIMED_OUT, ReceiverEvent.ABORTED)

RECEIVER_TRANSITIONS: TransitionTable[ReceiverState, ReceiverEvent, ReceiverTransition] = TransitionTable(
    {
        (ReceiverState.REQUESTING, ReceiverEvent.DESCRIPTORS_RECEIVED): ReceiverTransition(
            ReceiverState.STARTING_UP, (ReceiverAction.START_UP,)
        ),
        (ReceiverState.STARTING_UP, ReceiverEvent.STARTED_UP): ReceiverTransition(
            ReceiverState.AWAITING_STATE, (ReceiverAction.SEND_READY,)
        ),
        (ReceiverState.AWAITING_STATE, ReceiverEvent.STATE_RECEIVED): ReceiverTransition(
            ReceiverState.AWAITING_PERMISSION, (ReceiverAction.RESTORE_STATE,)
        ),
        (ReceiverState.AWAITING_PERMISSION, ReceiverEvent.ACCEPT_PERMITTED): ReceiverTransition(
            ReceiverState.AWAITING_CONFIRMATION, (ReceiverAction.START_ACCEPTING,)
        ),
        (ReceiverState.AWAITING_CONFIRMATION, ReceiverEvent.DELEGATION_CONFIRMED): ReceiverTransition(
            ReceiverState.COMPLETED, (ReceiverAction.COMPLETE,)
        ),
        (ReceiverState.AWAITING_CONFIRMATION, ReceiverEvent.DISCONNECTED): ReceiverTransition(
            ReceiverState.FAILED, (ReceiverAction.RETREAT,)
        ),
        # The sender may have delegated already while its confirmation is still in transit. Only the end of the
        # connection shows that the sender has not delegated, because earlier messages arrive before the end. If the
        # receiver retreated on a timeout, no process might be left that accepts connections.
        (ReceiverState.AWAITING_CONFIRMATION, ReceiverEvent.TIMED_OUT): ReceiverTransition(
            ReceiverState.AWAITING_CONFIRMATION
        ),
        (ReceiverState.COMPLETED, ReceiverEvent.DISCONNECTED): ReceiverTransition(ReceiverState.COMPLETED),
        (ReceiverState.COMPLETED, ReceiverEvent.TIMED_OUT): ReceiverTransition(ReceiverState.COMPLETED),
        (ReceiverState.FAILED, ReceiverEvent.DISCONNECTED): ReceiverTransition(ReceiverState.FAILED),
        (ReceiverState.FAILED, ReceiverEvent.TIMED_OUT): ReceiverTransition(ReceiverState.FAILED),
        **{
            (state, fault): ReceiverTransition(ReceiverState.FAILED, (ReceiverAction.ABANDON,))
            for state in STATES_BEFORE_ACCEPTING
            for fault in FAULTS
        },
    }
)


def advance_receiver(state: ReceiverState, event: ReceiverEvent) -> ReceiverTransition:
    """Return the receiver's transition; an input that is not in the table keeps the state and has no actions."""
    return RECEIVER_TRANSITIONS.get((state, event), ReceiverTransition(state))
