"""The messages of a handover: the one module that knows their keys, a format that two versions of the program share.

A message from the sender is recognized by its key, one from the receiver by the command under `do`. The commands of
requests and of the steps after them are the values of `state_machine.SenderEvent`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from thymeflow.handover.control_socket import Message
from thymeflow.handover.state_machine import ReceiverEvent, SenderEvent

# The key by which a message of the sender is recognized, in the order in which they are looked for.
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
MAX_REJECTION_LENGTH = 200  # characters of the sender's text that are logged


@dataclass(frozen=True, slots=True)
class HandoverRequest:
    """How a receiver identifies itself; the texts are cut to a length that can be logged."""

    incarnation: str
    pid: str
    site: object


@dataclass(frozen=True, slots=True)
class SenderMessage:
    """A message of the sender, as the receiver reads it; what it does not have is None."""

    event: ReceiverEvent | None
    open_connections: int | None  # of the sender
    allocation: object
    has_late_charges: bool
    late_charges: object
    is_last: bool
    rejection: str | None


# From the receiver to the sender.


def build_request_message(incarnation: str, pid: int, site: str) -> Message:
    """Return the request for a handover."""
    return {"do": SenderEvent.REQUESTED.value, "life": incarnation, "pid": pid, "site": site}


def build_step_message(event: SenderEvent) -> Message:
    """Return the notification of a later step."""
    return {"do": event.value}


def is_request(message: Message) -> bool:
    """Return whether a message requests a handover."""
    return bool(message.get("do") == SenderEvent.REQUESTED.value)


def parse_request(message: Message) -> HandoverRequest:
    """Return the content of a request for a handover."""
    return HandoverRequest(
        str(message.get("life"))[:MAX_LOGGED_INCARNATION_LENGTH],
        str(message.get("pid"))[:MAX_LOGGED_PID_LENGTH],
        message.get("site"),
    )


def parse_step(message: Message) -> SenderEvent | None:
    """Return the later step that a message notifies of, or None if it is another message."""
    command = message.get("do")
    return COMMANDS_AFTER_REQUEST.get(command) if isinstance(command, str) else None


# From the sender to the receiver.


def build_descriptors_message(address: str, incarnation: str) -> Message:
    """Return the message that the descriptors of the listening socket and the lock go with."""
    return {"offer": address, "life": incarnation}


def build_state_message(size_bytes: int, open_connections: int, allocation: Message | None) -> Message:
    """Return the message that the descriptor of the state goes with."""
    return {"state": size_bytes, "held": open_connections, "part": allocation}


def build_permission_message() -> Message:
    """Return the permission to accept connections."""
    return {"yours": True}


def build_delegation_message() -> Message:
    """Return the confirmation of the delegation."""
    return {"draining": True}


def build_open_connections_message(count: int) -> Message:
    """Return the number of connections that the sender still has."""
    return {"held": count}


def build_late_charges_message(units_by_customer: Mapping[int, float]) -> Message:
    """Return charges that were made after the state was taken."""
    return {"late": {str(customer_id): units for customer_id, units in units_by_customer.items()}}


def build_last_message(customer_count: int) -> Message:
    """Return the sender's last message, with the number of customers that late charges were sent of."""
    return {"bye": customer_count}


def build_rejection_message(cause: str) -> Message:
    """Return the rejection of a request or of a step."""
    return {"ok": False, "why": cause}


def parse_sender_message(message: Message) -> SenderMessage:
    """Return the content of a message of the sender."""
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
    """Return units by customer.

    :raises ValueError: if a key or an amount is not a number.
    :raises TypeError: if the value is not an object, or an amount has another type.
    """
    if not isinstance(value, dict):
        message = "late charges are not an object"
        raise TypeError(message)
    return {int(customer_id): float(units) for customer_id, units in value.items()}
