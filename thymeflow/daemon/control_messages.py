"""The requests of a daemon's control socket: the one module that knows their commands and keys, which are a format."""

from __future__ import annotations

from enum import Enum

from thymeflow.handover.control_socket import Message
from thymeflow.handover.errors import InvalidRequestError
from thymeflow.logs.structured import LEVELS

MAX_LINGER_SECONDS = 60.0
MAX_SHOWN_LENGTH = 40  # characters of an invalid value in an error text


class ControlCommand(Enum):
    """The command of a request; an error message lists them in this order."""

    SEND_STATUS = "status"
    WATCH_STATUS = "watch"
    DRAIN = "drain"
    RELOAD = "reload"
    EVACUATE = "evacuate"
    ACTIVATE = "activate"
    SET_LOG_LEVEL = "level"
    WRITE_SNAPSHOT = "snapshot"
    SEND_LISTENING_SOCKET = "socket"
    APPLY_ALLOCATION = "part"
    APPLY_EJECTIONS = "verdicts"
    APPLY_ADMISSION_THRESHOLD = "shed"


class UnknownCommandError(InvalidRequestError):
    """A request has no command that is known; the text lists those that are."""


def parse_command(message: Message) -> ControlCommand:
    """Return the command of a request.

    :raises UnknownCommandError: if it has none that is known.
    """
    value = message.get("do")
    try:
        return ControlCommand(value)
    except ValueError:
        known = ", ".join(command.value for command in ControlCommand)
        text = f"'do' is {str(value)[:MAX_SHOWN_LENGTH]!r}; it may be {known}"
        raise UnknownCommandError(text) from None


def parse_linger_seconds(message: Message) -> float | None:
    """Return the seconds for which new connections are still accepted, or None if the message does not set them.

    :raises InvalidRequestError: if it is not a number in range.
    """
    linger: object = message.get("linger")
    if linger is None:
        return None
    if isinstance(linger, bool) or not isinstance(linger, int | float) or not 0.0 <= linger <= MAX_LINGER_SECONDS:
        text = f"linger is {str(linger)[:MAX_SHOWN_LENGTH]!r}, no number of seconds from 0 to {MAX_LINGER_SECONDS:g}"
        raise InvalidRequestError(text)
    return linger


def parse_log_level(message: Message) -> str:
    """Return the log level.

    :raises InvalidRequestError: if it is none.
    """
    level: object = message.get("level")
    if not isinstance(level, str) or level not in LEVELS:
        text = f"level is {str(level)[:MAX_SHOWN_LENGTH]!r}; it may be {', '.join(LEVELS)}"
        raise InvalidRequestError(text)
    return level


def get_allocation_field(message: Message) -> object:
    """Return the allocation of the fleet limits, in the form that `thymeflow.leases` parses."""
    return message.get("part")


def get_ejections_field(message: Message) -> object:
    """Return the ejections, in the form that `thymeflow.outliers` parses."""
    return message.get("verdicts")


def get_admission_threshold_field(message: Message) -> object:
    """Return the admission threshold, which `thymeflow.shedding` checks."""
    return message.get("level")
