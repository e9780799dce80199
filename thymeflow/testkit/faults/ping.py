"""A PING to a limiter's listener, as the platform's load balancer sends it."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from thymeflow.testkit.types import Address, NetworkReactor

CONNECT_TIMEOUT_SECONDS = 2.0


class _Ping(Protocol):
    """One PING, and whether its reply is PONG."""

    transport: Any  # Twisted's transports share no static type

    def __init__(self, is_ready: Deferred[bool]) -> None:
        self._is_ready = is_ready

    def connectionMade(self) -> None:
        """Send the PING."""
        self.transport.write(b"*1\r\n$4\r\nPING\r\n")

    def dataReceived(self, data: bytes) -> None:
        """Read the reply."""
        self._settle(data.startswith(b"+PONG"))
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  # Twisted passes it
        """Treat a connection without a reply as not ready."""
        self._settle(False)

    def _settle(self, is_ready: bool) -> None:
        if not self._is_ready.called:
            self._is_ready.callback(is_ready)


class _PingFactory(ClientFactory):
    """Makes the connection of one PING."""

    noisy = False

    def __init__(self, is_ready: Deferred[bool]) -> None:
        self._is_ready = is_ready

    def buildProtocol(self, addr: IAddress | None) -> Protocol:  # noqa: ARG002  # Twisted passes it
        """Return the connection."""
        return _Ping(self._is_ready)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002  # likewise
        """Treat a refused connection as not ready."""
        self._is_ready.callback(False)


def ping(reactor: NetworkReactor, address: Address) -> Deferred[bool]:
    """Return whether the limiter at an address replies with PONG."""
    is_ready: Deferred[bool] = Deferred()
    host, port = address
    reactor.connectTCP(host, port, _PingFactory(is_ready), timeout=CONNECT_TIMEOUT_SECONDS)
    return is_ready
