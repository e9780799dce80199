"""Byte streams that know whether what was written has left, and the connections that the limiter opens.

Whether a message's last byte was written decides if it may have had an effect. A pull producer is
asked for more exactly when the transport's buffer has gone to the kernel, which is how this is known.

What can be sent at once is given to the kernel at once. By way of the reactor each message would cost a
second turn with two changes of the poll set.
"""

from __future__ import annotations

import contextlib
import select
import socket
from collections.abc import Callable
from typing import Any, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress, IConnector, IPullProducer
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from thymeflow.platform.endpoints import Address
from thymeflow.runtime import clock
from thymeflow.runtime.clock import Deadlines
from thymeflow.transport import resp
from thymeflow.transport.value_stream import CHUNK_BYTES


def has_unread_bytes(transport: Any) -> bool:  # noqa: ANN401  # Twisted's transports share no static type with getHandle()
    """Return whether bytes or the end of the connection wait to be read: it is not as idle as it seems."""
    try:
        transport.getHandle().recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


# That the peer has closed, also where bytes that came before that wait unread: reading alone shows it only
# behind them, and not at all while nothing is read.
_PEER_CLOSED = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


@implementer(IPullProducer)
class WriteTrackingConnection(Protocol):
    """A connection in either direction, which writes at once and knows when its buffer is empty."""

    transport: Any
    flushed = True  # all that was written has gone to the kernel
    on_connected: Callable[[Any], None] | None = None  # called once, when the connection is up

    def connectionMade(self) -> None:
        """Set the connection up so that small messages leave at once; see the module's text for the producer."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, False)
        if self.on_connected is not None:
            on_connected = self.on_connected
            self.on_connected = None
            on_connected(self)

    def resumeProducing(self) -> None:
        """Note that the buffer has gone to the kernel."""
        self.flushed = True

    def stopProducing(self) -> None:
        """Do nothing: the transport will write no more, and `connectionLost` follows."""

    def has_peer_closed(self) -> bool:
        """Return whether the peer has closed the connection, read or not."""
        descriptor = self.transport.fileno()
        if descriptor < 0:
            return True
        poller = select.poll()
        poller.register(descriptor, _PEER_CLOSED)
        return bool(poller.poll(0))

    def shrink_buffers(self) -> None:
        """Make the buffers small, here and in the kernel, so that a long value's sender goes at its reader's pace.

        Where the kernel takes megabytes at once, a slow reader looks like one that is stalled.
        """
        self.transport.bufferSize = CHUNK_BYTES
        with contextlib.suppress(OSError):
            self.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * CHUNK_BYTES)

    def write(self, data: bytes) -> None:
        """Write behind what was written; `flushed` shows whether all of it has gone to the kernel."""
        if self.flushed:
            sent = 0
            with contextlib.suppress(OSError):  # an error shows when the transport tries the rest
                sent = self.transport.getHandle().send(data)
            if sent == len(data):
                return
            data = data[sent:]
            self.flushed = False
        self.transport.write(data)


ConnectionT = TypeVar("ConnectionT", bound=WriteTrackingConnection)


class RespConnection(WriteTrackingConnection):
    """A connection on which we send commands in RESP2; subclasses handle the replies and the end."""

    closed = False  # ended, or closed by the limiter

    def __init__(self, max_value: int = resp.MAX_VALUE) -> None:
        self._parser = resp.Parser(max_value)

    def dataReceived(self, data: bytes) -> None:
        """Pass on each complete message."""
        found, fault = self._parser.feed(data)
        for value in found:
            if self.closed:
                return
            self.message(value)  # type: ignore[arg-type]  # events come only where long values are allowed
        if fault and not self.closed:
            self.on_malformed(fault)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  # Twisted passes it
        """Call `lost`, unless we ended the connection."""
        if not self.closed:
            self.closed = True
            self.on_lost()

    def hang_up(self) -> None:
        """End the connection now; what the peer still sends is discarded."""
        if self.closed:
            return
        self.closed = True
        # abortConnection waits for the reactor's next turn; a second attempt must not overtake this.
        with contextlib.suppress(OSError):
            self.transport.getHandle().shutdown(socket.SHUT_RDWR)
        self.transport.abortConnection()

    def message(self, value: resp.Value) -> None:
        """Handle a complete message."""
        raise NotImplementedError

    def on_malformed(self, fault: str) -> None:
        """Handle input that is not RESP2; the connection cannot be used any more."""
        raise NotImplementedError

    def on_lost(self) -> None:
        """Handle the end of the connection, where we did not end it."""
        raise NotImplementedError


class _SingleConnectionFactory(ClientFactory):
    """Builds the one protocol, and reports how the connecting ended."""

    noisy = False

    def __init__(self, build: Callable[[], WriteTrackingConnection], settled: Deferred[Any]) -> None:
        self._build = build
        self._settled = settled

    def buildProtocol(self, addr: IAddress | None) -> WriteTrackingConnection:  # noqa: ARG002  # Twisted passes it
        """Build the protocol, which reports success once it has its transport."""
        stream = self._build()
        stream.on_connected = self._settled.callback
        return stream

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002  # likewise
        """Report a connection that was refused, or abandoned at the deadline."""
        self._settled.errback(reason)


def dial(
    reactor: Any,  # noqa: ANN401  # Twisted's reactor interfaces are no static types
    deadlines: Deadlines,
    address: Address,
    deadline: float,
    build: Callable[[], ConnectionT],
) -> Deferred[ConnectionT]:
    """Connect; the Deferred fails if that is refused, or not done by `deadline` (a time of `clock.now`).

    A deadline that comes due in a turn that came late shows nothing of the peer: the reactor begins to connect in
    its next turn, and finds that it is connected in one after that. So each gets its turn before the attempt is
    abandoned.
    """
    settled: Deferred[ConnectionT] = Deferred()
    connector = reactor.connectTCP(address.host, address.port, _SingleConnectionFactory(build, settled), timeout=None)
    timeout_call = clock.NOT_SCHEDULED

    def give_up(_: int) -> None:
        """Stop connecting, or wait a little longer if the process itself was stalled."""
        nonlocal timeout_call
        now = clock.now()
        if deadlines.is_stalled(now):
            timeout_call = deadlines.schedule(now + clock.STALL_THRESHOLD, give_up)
        else:
            connector.stopConnecting()

    timeout_call = deadlines.schedule(deadline, give_up)

    def cancel_deadline(result: ConnectionT | Failure) -> ConnectionT | Failure:
        """Cancel the deadline, and pass the result on."""
        deadlines.cancel(timeout_call)
        return result

    return settled.addBoth(cancel_deadline)
