"""One HTTP/1.1 request to discovery, and the messages in its response."""

from __future__ import annotations

import json
from collections.abc import Callable

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from thymeflow.discovery.http import HttpError, ResponseParser
from thymeflow.platform.endpoints import Address, EndpointUpdate, parse_endpoint_update
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.transport.connections import WriteTrackingConnection

# Exceptions that parsing a malformed message can raise.
MESSAGE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class EndpointStream(WriteTrackingConnection):
    """A connection with one GET request, which passes on each message of the response."""

    def __init__(
        self,
        path: str,
        host: Address,
        on_message: Callable[[EndpointStream, bytes], None],
        on_ended: Callable[[EndpointStream, str], None],
    ) -> None:
        self._path = path
        self._host = host
        self._on_message = on_message
        self._on_ended = on_ended
        self._body = ResponseParser()
        self._is_ended = False
        self.last_received_at = 0.0  # time of the last byte of the body

    def connectionMade(self) -> None:
        """Send the request."""
        super().connectionMade()
        self.write(f"GET {self._path} HTTP/1.1\r\nHost: {self._host}\r\nAccept: application/json\r\n\r\n".encode())

    def dataReceived(self, data: bytes) -> None:
        """Pass on the messages that are complete, and close the connection after the response."""
        try:
            messages = self._body.feed(data)
        except HttpError as fault:
            self.end(str(fault))
            return
        if self._body.begun:
            self.last_received_at = clock.now()
        for message in messages:
            if not self._is_ended:
                self._on_message(self, message)
        if self._body.done:
            self.end("discovery ended the response")

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002 - the signature is Twisted's
        """Report that discovery has closed or reset the connection."""
        self.end("discovery closed or reset the connection")

    def end(self, reason: str) -> None:
        """Close the connection and report the reason; further calls do nothing."""
        if not self._is_ended:
            self._is_ended = True
            self.transport.abortConnection()
            self._on_ended(self, reason)


def parse_message(message: bytes) -> EndpointUpdate | None:
    """Return the update in a message, or None for a heartbeat and for a message that is malformed."""
    if not message:
        return None
    try:
        return parse_endpoint_update(json.loads(message))
    except MESSAGE_ERRORS as error:
        log.emit_rate_limited(LogKind.DISCOVERY, f"a message from discovery is malformed and not applied: {error!r}")
        return None
