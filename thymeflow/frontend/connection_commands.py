"""Answers the commands that concern a connection and carry no request."""

from __future__ import annotations

from typing import Protocol

from thymeflow.transport import resp

QUIT = b"QUIT"
ACKNOWLEDGED_COMMANDS = (b"CLIENT", b"SELECT", QUIT)
MAX_ECHOED_NAME_BYTES = 32  # bytes of an unknown command's name that are repeated in the error reply


class ReadinessSource(Protocol):
    """Knows whether clients are accepted."""

    def is_ready(self) -> bool:
        """Return whether PING is answered with PONG."""

    def describe_state(self) -> str:
        """Return the reason for which clients are not accepted."""


def answer_connection_command(name: bytes, arguments: list[bytes], readiness: ReadinessSource) -> bytes:
    """Return the encoded reply to a command; `name` is its first argument in upper case."""
    if name == b"PING" and len(arguments) <= 2:
        if not readiness.is_ready():
            return resp.error_reply(f"LOADING {readiness.describe_state()}")
        return resp.bulk(arguments[1]) if len(arguments) == 2 else b"+PONG\r\n"
    if name in ACKNOWLEDGED_COMMANDS:
        return b"+OK\r\n"
    return resp.error_reply(f"ERR unknown command '{name[:MAX_ECHOED_NAME_BYTES].decode('ascii', 'replace')}'")
