"""A client's connection to a limiter: one request at a time, and the bytes of its response."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet import protocol
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from thymeflow.testkit.fakes.requests import RequestResult
from thymeflow.transport import resp

LONG_VALUE_PREFIX_BYTES = 64  # of a long value that are buffered: enough for the request id


class ClientConnectionOwner(Protocol):
    """The load generator that a connection belongs to."""

    def on_connected(self, connection: ClientConnection) -> None:
        """Handle that a connection is established."""

    def on_idle(self, connection: ClientConnection) -> None:
        """Handle that a connection has no request any more."""

    def on_disconnected(self, connection: ClientConnection, result: RequestResult | None) -> None:
        """Handle the end of a connection, with the request that was pending on it."""

    def on_connect_failed(self, result: RequestResult) -> None:
        """Handle that a connection was not established."""

    def on_response(self, result: RequestResult, value: resp.Event) -> None:
        """Handle a complete response."""

    def on_long_value_bytes(self, connection: ClientConnection, byte_count: int) -> None:
        """Handle that bytes of a long value were read."""


class ClientConnection(protocol.Protocol):
    """One connection to one limiter, opened for its first request."""

    transport: Any  # Twisted's transports share no static type

    def __init__(
        self, owner: ClientConnectionOwner, limiter: int, first_result: RequestResult, first_command: bytes
    ) -> None:
        self.limiter = limiter
        self.result: RequestResult | None = None  # of the pending request
        self.has_served = False  # an earlier request got its response here
        self.has_response_bytes = False  # of the pending request
        self.is_closed = False
        self.local_port = 0
        self._owner = owner
        self._first_result = first_result
        self._first_command = first_command
        self._parser = resp.Parser(resp.MAX_LONG_VALUE)
        self._long_value_prefix = b""
        self._last_result: RequestResult | None = None

    def connectionMade(self) -> None:
        """Send the first request."""
        self.transport.setTcpNoDelay(True)
        self.local_port = self.transport.getHost().port
        self._owner.on_connected(self)
        self.send(self._first_result, self._first_command)

    def send(self, result: RequestResult, command: bytes) -> None:
        """Send a request."""
        self.result = result
        self.has_response_bytes = False
        self.transport.write(command)

    def dataReceived(self, data: bytes) -> None:
        """Handle bytes of responses."""
        events, _ = self._parser.feed(data)
        self.has_response_bytes = True
        for event in events:
            if isinstance(event, resp.LongValueBegin):
                self._long_value_prefix = b""
            elif isinstance(event, resp.LongValueChunk):
                self._long_value_prefix = (self._long_value_prefix + event.data)[:LONG_VALUE_PREFIX_BYTES]
                self._owner.on_long_value_bytes(self, len(event.data))
            elif isinstance(event, resp.LongValueEnd):
                self._on_response(self._long_value_prefix)
            elif not isinstance(event, resp.LongValueArrayEnd):
                self._on_response(event)

    def _on_response(self, value: resp.Event) -> None:
        result = self.result
        self.result = None
        if result is None:
            if self._last_result is not None:  # nothing is pending: another response to the last request
                self._last_result.response_count += 1
            return
        self._last_result = result
        self.has_served = True
        self._owner.on_response(result, value)
        self._owner.on_idle(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  # Twisted passes it
        """Report the end, with the pending request."""
        self.is_closed = True
        result = self.result
        self.result = None
        self._owner.on_disconnected(self, result)


class ClientConnectionFactory(protocol.ClientFactory):
    """Makes one connection for one request."""

    noisy = False

    def __init__(self, owner: ClientConnectionOwner, limiter: int, result: RequestResult, command: bytes) -> None:
        self._owner = owner
        self._limiter = limiter
        self._result = result
        self._command = command

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection:  # noqa: ARG002  # Twisted passes it
        """Return the connection."""
        return ClientConnection(self._owner, self._limiter, self._result, self._command)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002  # likewise
        """Report that there is no connection."""
        self._owner.on_connect_failed(self._result)
