"""The messages of a handover.

This is the only module that knows the keys of the messages, a format that two versions of the program share. The key
of a message identifies the kind of the sender's messages; the command under the key `do` identifies the kind of the
receiver's. These commands are the values of `state_machine.SenderEvent`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from thymeflow.handover.control_socket import Message
from thymeflow.handover.state_machine import ReceiverEvent, SenderEvent

# The receiver's input by the key that identifies a message of the sender, in the order of the lookup.
RECEIVER_EVENTS_BY_KEY = {
    "offer": ReceiverEvent.DESCRIPTORS_RECEIVED,
    "state": ReceiverEvent.STATE_RECEIVED,
    "yours": ReceiverEvent.ACCEPT_PERMITTED,
    "draining": ReceiverEvent.DELEGATION_CONFIRMED,
}
COMMANDS_AFTER_REQUEST = {
    event.value: event
    for event in (SenderEvent.RECEIVER_READY, SenderEvent.STATE_ACCEPTED, SenderEvent.RECEIVER_SERVING)
}
MAX_LOGGED_INCARNATION_LENGTH = 20
MAX_LOGGED_PID_LENGTH = 10
MAX_REJECTION_LENGTH = 200  # Logged characters of the sender's rejection text.


@dataclass(frozen=True, slots=True)
class HandoverRequest:
    """The identity of a receiver; the texts are cut to the length that may be logged."""

    incarnation: str
    pid: str
    site: object


@dataclass(frozen=True, slots=True)
class SenderMessage:
    """A message of the sender, as the receiver parses it; a value that the message does not have is None."""

    event: ReceiverEvent | None
    open_connections: int | None  # The number of the sender's open connections.
    allocation: object
    has_late_charges: bool
    late_charges: object
    is_last: bool
    rejection: str | None


# Messages from the receiver to the sender.


def build_request_message(incarnation: str, pid: int, site: str) -> Message:
    """Return the request for a handover."""
    return {"do": SenderEvent.REQUESTED.value, "life": incarnation, "pid": pid, "site": site}


def build_step_message(event: SenderEvent) -> Message:
    """Return the notification that the receiver has reached a step after its request."""
    return {"do": event.value}


def is_request(message: Message) -> bool:
    """Return whether a message is a request for a handover."""
    return bool(message.get("do") == SenderEvent.REQUESTED.value)


def parse_request(message: Message) -> HandoverRequest:
    """Return the values of a request for a handover."""
    return HandoverRequest(
        str(message.get("life"))[:MAX_LOGGED_INCARNATION_LENGTH],
        str(message.get("pid"))[:MAX_LOGGED_PID_LENGTH],
        message.get("site"),
    )


def parse_step(message: Message) -> SenderEvent | None:
    """Return the step that a message notifies of, or None if the message is no notification of a step."""
    command = message.get("do")
    return COMMANDS_AFTER_REQUEST.get(command) if isinstance(command, str) else None


# Messages from the sender to the receiver.


def build_descriptors_message(address: str, incarnation: str) -> Message:
    """Return the message that carries the descriptors of the listening socket and the lock."""
    return {"offer": address, "life": incarnation}


def build_state_message(size_bytes: int, open_connections: int, allocation: Message | None) -> Message:
    """Return the message that carries the descriptor of the state, which is `size_bytes` long."""
    return {"state": size_bytes, "held": open_connections, "part": allocation}


def build_permission_message() -> Message:
    """Return the message that permits the receiver to accept connections."""
    return {"yours": True}


def build_delegation_message() -> Message:
    """Return the message that confirms the delegation."""
    return {"draining": True}


def build_open_connections_message(count: int) -> Message:
    """Return the message with the number of connections that the sender still has open."""
    return {"held": count}


def build_late_charges_message(units_by_customer: Mapping[int, float]) -> Message:
    """Return the message with the units that each customer was charged after the snapshot."""
    return {"late": {str(customer_id): units for customer_id, units in units_by_customer.items()}}


def build_last_message(customer_count: int) -> Message:
    """Return the sender's last message, with the number of customers that have late charges."""
    return {"bye": customer_count}


def build_rejection_message(cause: str) -> Message:
    """Return the message that rejects a request or a step."""
    return {"ok": False, "why": cause}


def parse_sender_message(message: Message) -> SenderMessage:
    """Return the values of a message of the sender."""
    open_connections = message.get("held")
    is_rejection = message.get("ok") is False
    return SenderMessage(
        next((event for key, event in RECEIVER_EVENTS_BY_KEY.items() if key in message), None),
        open_connections if type(open_connections) is int else None,
        message.get("part"),
        "late" in message,
        message.get("late"),
        "bye" in message,
        str(message.get("why"))[:MAX_REJECTION_LENGTH] if is_rejection else None,
    )


def parse_late_charges(value: object) -> dict[int, float]:
    """Return the late charges of a message, in units by customer.

    :raises ValueError: if a key is not an integer, or an amount is not a number.
    :raises TypeError: if the value is not an object, or an amount is neither a number nor text.
    """
    if not isinstance(value, dict):
        message = "late charges are not an object"
        raise TypeError(message)
    return {int(customer_id): float(units) for customer_id, units in value.items()}
