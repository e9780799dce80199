"""Streams of bytes that know what has left, and the connections that the limiter opens.

Whether a message's last byte was written decides if it may have had an effect. A pull producer is
asked for more exactly when the transport's buffer has gone to the kernel, which tells just that.

What can go at once is given to the kernel at once. By way of the reactor each message would cost a
second turn with two changes of the poll set, which was a quarter of the CPU of a request.
"""

from __future__ import annotations

import contextlib
import select
import socket
from collections.abc import Callable
from typing import Any, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from thymeflow.platform.endpoints import Address
from thymeflow.runtime import clock
from thymeflow.runtime.clock import Deadlines
from thymeflow.transport import resp
from thymeflow.transport.flow import CHUNK


def unread(transport: Any) -> bool:
    """Whether bytes or the end of the connection wait to be read: it is not as quiet as it seems."""
    try:
        transport.getHandle().recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


# That the other end has closed, also where bytes that came before that wait unread: reading alone tells it only
# behind them, and not at all while nothing is read.
_CLOSED = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


@implementer(IPullProducer)
class Stream(Protocol):
    """A connection, made by us or to us."""

    transport: Any
    flushed = True  # all that was written has gone to the kernel
    connected_to: Callable[[Any], None] | None = None  # who waits for the connection to be up

    def connectionMade(self) -> None:
        """Small messages leave at once; see the module's text for the producer."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, False)
        if self.connected_to is not None:
            waits, self.connected_to = self.connected_to, None
            waits(self)

    def resumeProducing(self) -> None:
        """The buffer has gone to the kernel."""
        self.flushed = True

    def stopProducing(self) -> None:
        """The transport will write no more; `connectionLost` says the rest."""

    def departed(self) -> bool:
        """Whether the other end has closed, read or not."""
        number = self.transport.fileno()
        if number < 0:
            return True
        look = select.poll()
        look.register(number, _CLOSED)
        return bool(look.poll(0))

    def narrow(self) -> None:
        """Hold little on the way, here and in the kernel: a long value's sender goes at its reader's pace.

        Where the kernel takes megabytes at once, a reader that moves slowly looks like one that does not move.
        """
        self.transport.bufferSize = CHUNK
        with contextlib.suppress(OSError):
            self.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * CHUNK)

    def write(self, data: bytes) -> None:
        """Write behind what was written."""
        if self.flushed:
            sent = 0
            with contextlib.suppress(OSError):  # what is broken shows when the transport tries the rest
                sent = self.transport.getHandle().send(data)
            if sent == len(data):
                return
            data, self.flushed = data[sent:], False
        self.transport.write(data)


S = TypeVar("S", bound=Stream)


class Link(Stream):
    """A connection on which we ask in RESP2; subclasses take the messages and the end."""

    closed = False  # ended, or given up by us

    def __init__(self, longest: int = resp.MOST_VALUE) -> None:
        self._parser = resp.Parser(longest)

    def dataReceived(self, data: bytes) -> None:
        """Cut what came into messages."""
        found, fault = self._parser.feed(data)
        for value in found:
            if self.closed:
                return
            self.message(value)  # type: ignore[arg-type]   # events of long values come only where asked for
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


class _Dialler(ClientFactory):
    """Builds the one protocol, and says how the connecting ended."""

    noisy = False

    def __init__(self, build: Callable[[], Stream], settled: Deferred[Any]) -> None:
        self._build, self._settled = build, settled

    def buildProtocol(self, addr: Any) -> Stream:
        """The connection is up; it is told of once the protocol has its transport."""
        made = self._build()
        made.connected_to = self._settled.callback
        return made

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Refused, or given up at the deadline."""
        self._settled.errback(reason)


def dial(reactor: Any, deadlines: Deadlines, address: Address, deadline: float, build: Callable[[], S]) -> Deferred[S]:
    """Connect; fails if refused or not up by the deadline, on the one heap and not a timer of its own.

    A deadline that comes due in a turn that came late says nothing of the other end: the reactor begins to connect in
    its next turn, and finds that it is connected in one after that. So each gets its turn before we give up.
    """
    settled: Deferred[Any] = Deferred()
    connector = reactor.connectTCP(address.host, address.port, _Dialler(build, settled), timeout=None)
    entry: clock.Entry = []

    def late(_: int) -> None:
        nonlocal entry
        now = clock.now()
        if deadlines.is_stalled(now):
            entry = deadlines.at(now + clock.STALL, late)
        else:
            connector.stopConnecting()

    entry = deadlines.at(deadline, late)

    def done(result: Any) -> Any:
        deadlines.cancel(entry)
        return result

    return settled.addBoth(done)
