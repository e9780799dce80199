"""The requests of a daemon's control socket.

This is the only module that knows their commands and keys, which are a format.
"""

from __future__ import annotations

from enum import Enum

from thymeflow.handover.control_socket import Message
from thymeflow.handover.errors import InvalidRequestError
from thymeflow.logs.structured import LEVELS

MAX_LINGER_SECONDS = 60.0
MAX_SHOWN_LENGTH = 40  # Characters of an invalid value that an error text shows.


class ControlCommand(Enum):
    """The command of a request; an error message lists the commands in this order."""

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
    """A request has no command or an unknown command; the text lists the known commands."""


def parse_command(message: Message) -> ControlCommand:
    """Return the command of a request.

    :raises UnknownCommandError: if the request has no command or an unknown one.
    """
    value = message.get("do")
    try:
        return ControlCommand(value)
    except ValueError:
        known = ", ".join(command.value for command in ControlCommand)
        text = f"'do' is {str(value)[:MAX_SHOWN_LENGTH]!r}; it may be {known}"
        raise UnknownCommandError(text) from None


def parse_linger_seconds(message: Message) -> float | None:
    """Return the seconds for which a drain still accepts connections, or None if the request does not set them.

    :raises InvalidRequestError: if the value is not a number from 0 to MAX_LINGER_SECONDS.
    """
    linger: object = message.get("linger")
    if linger is None:
        return None
    if isinstance(linger, bool) or not isinstance(linger, int | float) or not 0.0 <= linger <= MAX_LINGER_SECONDS:
        text = f"linger is {str(linger)[:MAX_SHOWN_LENGTH]!r}, no number of seconds from 0 to {MAX_LINGER_SECONDS:g}"
        raise InvalidRequestError(text)
    return linger


def parse_log_level(message: Message) -> str:
    """Return the log level of a request.

    :raises InvalidRequestError: if the value is not a log level.
    """
    level: object = message.get("level")
    if not isinstance(level, str) or level not in LEVELS:
        text = f"level is {str(level)[:MAX_SHOWN_LENGTH]!r}; it may be {', '.join(LEVELS)}"
        raise InvalidRequestError(text)
    return level


def get_allocation_field(message: Message) -> object:
    """Return the unparsed allocation of the fleet limits, which `thymeflow.leases` parses."""
    return message.get("part")


def get_ejections_field(message: Message) -> object:
    """Return the unparsed ejections, which `thymeflow.outliers` parses."""
    return message.get("verdicts")


def get_admission_threshold_field(message: Message) -> object:
    """Return the unchecked admission threshold, which `thymeflow.shedding` checks."""
    return message.get("level")
