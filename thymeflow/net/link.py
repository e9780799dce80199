"""Connections that the limiter opens: dialled by an absolute deadline, and aware of what has left.

Whether a message's last byte was written decides if it may have had an effect. A pull producer is
asked for more exactly when the transport's buffer has gone to the kernel, which tells just that.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from typing import Any, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from thymeflow.net import resp
from thymeflow.net.clock import Deadlines
from thymeflow.net.config import Address

L = TypeVar("L", bound=Protocol)


@implementer(IPullProducer)
class Link(Protocol):
    """A connection on which we ask in RESP2; subclasses take the messages and the end."""

    transport: Any
    flushed = True   # all that was written has gone to the kernel
    closed = False   # ended, or given up by us

    def __init__(self) -> None:
        self._parser = resp.Parser()

    def connectionMade(self) -> None:
        """Small messages leave at once; see the module's text for the producer."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """The buffer has gone to the kernel."""
        self.flushed = True

    def stopProducing(self) -> None:
        """The transport will write no more; `connectionLost` says the rest."""

    def write(self, data: bytes) -> None:
        """Write behind what was written."""
        self.flushed = False
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        """Cut what came into messages."""
        found: list[resp.Value] = []
        fault = ""
        try:
            self._parser.feed_into(data, found)
        except resp.ProtocolError as problem:
            fault = str(problem)
        for value in found:
            if self.closed:
                return
            self.message(value)
        if fault and not self.closed:
            self.garbled(fault)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The connection has ended, by whoever's will."""
        if not self.closed:
            self.closed = True
            self.lost()

    def hang_up(self) -> None:
        """End the connection now; what the other end still sends is not wanted."""
        if self.closed:
            return
        self.closed = True
        # abortConnection waits for the reactor's next turn; a second proxy pass must not overtake this.
        with contextlib.suppress(OSError):
            self.transport.getHandle().shutdown(socket.SHUT_RDWR)
        self.transport.abortConnection()

    def message(self, value: resp.Value) -> None:
        """A whole message has come."""
        raise NotImplementedError

    def garbled(self, fault: str) -> None:
        """What came is no RESP2; the connection is of no more use."""
        raise NotImplementedError

    def lost(self) -> None:
        """The connection ended without our doing."""
        raise NotImplementedError


def dial(reactor: Any, deadlines: Deadlines, address: Address, deadline: float,
         build: Callable[[], L]) -> Deferred[L]:
    """Connect; fails if refused or not up by the deadline, on the one heap and not a timer of its own."""
    factory: Any = Factory.forProtocol(build)
    factory.noisy = False
    endpoint = TCP4ClientEndpoint(reactor, address.host, address.port, timeout=None)   # type: ignore[arg-type]
    attempt: Deferred[Any] = endpoint.connect(factory)
    entry = deadlines.at(deadline, lambda _: attempt.cancel())

    def settled(result: Any) -> Any:
        deadlines.cancel(entry)
        return result

    return attempt.addBoth(settled)
