"""The handover of a listening socket and its state as two transition tables, without I/O and without a clock.

    receiver  REQUESTED ->         sender  sends the descriptors of the listening socket and the lock
    receiver  RECEIVER_READY ->    sender  pauses its listener and sends its state
    receiver  STATE_ACCEPTED ->    sender  permits the receiver to accept
    receiver  RECEIVER_SERVING ->  sender  delegates: closes idle clients, and drains once it is shut down or the
                                           rollback window has passed; at the end sends what it charged since the state

Whatever fails, hangs or dies before the sender drains rolls everything back: the sender accepts again. The two never
accept at the same time, and connections that arrive while neither does wait in the kernel's queue. An input that is
not in a table changes nothing; the sender rejects it.

The values of the enums are sent to the other process, printed in the status or logged; they are a format and stay.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from thymeflow.runtime.transitions import TransitionTable


class SenderState(Enum):
    """The state of the old process."""

    SERVING = "whole"  # it serves, and no handover is under way
    DESCRIPTORS_SENT = "offered"  # the receiver starts up with the descriptors; the sender serves
    TRANSFERRING_STATE = "yielding"  # the listener is paused; the receiver reads the state
    LISTENER_PAUSED = "yielded"  # the receiver is permitted to accept
    DELEGATED = "handed"  # the receiver accepts; the sender closes idle clients, and could still take over again
    DRAINING = "given"  # it drains


class SenderEvent(Enum):
    """An input of the sender."""

    REQUESTED = "take"
    RECEIVER_READY = "ready"
    STATE_ACCEPTED = "took"
    RECEIVER_SERVING = "serving"
    DISCONNECTED = "broken"
    TIMED_OUT = "late"  # a step took too long
    SHUTDOWN_REQUESTED = "ending"  # the process has to shut down


class SenderAction(Enum):
    """An action of the sender."""

    SEND_DESCRIPTORS = "offer"
    PAUSE_LISTENER = "yield"  # and send the state
    PERMIT_ACCEPT = "grant"
    DELEGATE = "hand"  # close idle clients, and confirm the delegation
    CONFIRM_DELEGATION = "confirm"
    DRAIN = "drain"
    RESUME = "resume"  # accept again
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
        # The receiver accepts by now, or is about to.
        (SenderState.LISTENER_PAUSED, SenderEvent.SHUTDOWN_REQUESTED): SenderTransition(SenderState.DRAINING),
        # The receiver is dead, so no other process accepts.
        (SenderState.DELEGATED, SenderEvent.DISCONNECTED): SenderTransition(
            SenderState.SERVING, (SenderAction.RESUME,)
        ),
        # The receiver outlived the rollback window.
        (SenderState.DELEGATED, SenderEvent.TIMED_OUT): SenderTransition(SenderState.DRAINING, (SenderAction.DRAIN,)),
        (SenderState.DELEGATED, SenderEvent.SHUTDOWN_REQUESTED): SenderTransition(SenderState.DRAINING),
        # The sender began to shut down before this message arrived.
        (SenderState.DRAINING, SenderEvent.RECEIVER_SERVING): SenderTransition(
            SenderState.DRAINING, (SenderAction.CONFIRM_DELEGATION,)
        ),
        (SenderState.DRAINING, SenderEvent.DISCONNECTED): SenderTransition(SenderState.DRAINING),
        (SenderState.DRAINING, SenderEvent.TIMED_OUT): SenderTransition(SenderState.DRAINING),
        (SenderState.DRAINING, SenderEvent.SHUTDOWN_REQUESTED): SenderTransition(SenderState.DRAINING),
    }
)


def advance_sender(state: SenderState, event: SenderEvent) -> SenderTransition:
    """Return the sender's transition; an input that is not in the table is rejected and keeps the state."""
    rejection = SenderTransition(state, (SenderAction.REJECT_INPUT,))
    return SENDER_TRANSITIONS.get((state, event), rejection)


class ReceiverState(Enum):
    """The state of the new process."""

    REQUESTING = "asking"
    STARTING_UP = "loading"  # it has the descriptors, and starts up
    AWAITING_STATE = "reading"  # it is ready, and waits for the state
    AWAITING_PERMISSION = "claiming"  # it has restored the state, and waits for the permission to accept
    AWAITING_CONFIRMATION = "proving"  # it accepts, and waits for the confirmation of the delegation
    COMPLETED = "holding"  # it owns socket, state and name
    FAILED = "failed"


class ReceiverEvent(Enum):
    """An input of the receiver."""

    DESCRIPTORS_RECEIVED = "offer"
    STARTED_UP = "loaded"  # locally: the endpoint list is known, counter and discovery are connected
    STATE_RECEIVED = "state"
    ACCEPT_PERMITTED = "yours"
    DELEGATION_CONFIRMED = "draining"
    DISCONNECTED = "broken"
    TIMED_OUT = "late"
    ABORTED = "unfit"  # locally: what the receiver was sent cannot be used, or it has to shut down


class ReceiverAction(Enum):
    """An action of the receiver."""

    START_UP = "load"
    SEND_READY = "say ready"
    RESTORE_STATE = "adopt state"  # and acknowledge it
    START_ACCEPTING = "accept"  # and notify the sender
    COMPLETE = "settle"
    ABANDON = "quit"  # it never accepted: end at once
    RETREAT = "retreat"  # it accepts already: shut down gracefully


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
        # The sender may have delegated already, with its confirmation on the way: only the end of the connection shows
        # that it has not, since earlier messages arrive before it. To retreat on a guess could leave no process that
        # accepts.
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
    """Return the receiver's transition; an input that is not in the table changes nothing."""
    return RECEIVER_TRANSITIONS.get((state, event), ReceiverTransition(state))
