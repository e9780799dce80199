"""One HTTP/1.1 request to discovery, and the messages that its response brings."""

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

MESSAGE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)  # raised for a message


class EndpointStream(WriteTrackingConnection):
    """One GET request and the messages in its response."""

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
        self.last_received_at = 0.0  # when some of the body arrived last

    def connectionMade(self) -> None:
        """Send the request."""
        super().connectionMade()
        self.write(f"GET {self._path} HTTP/1.1\r\nHost: {self._host}\r\nAccept: application/json\r\n\r\n".encode())

    def dataReceived(self, data: bytes) -> None:
        """Report the messages that are complete."""
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
            self.end("the response has ended")

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002 - the signature is Twisted's
        """Report that the other end closed or reset the connection."""
        self.end("the connection has ended")

    def end(self, reason: str) -> None:
        """Close the connection and report that, once."""
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
        log.emit_rate_limited(LogKind.DISCOVERY, f"unreadable message: {error!r}")
        return None
