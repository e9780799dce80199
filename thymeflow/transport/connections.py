"""Connections that know whether all written bytes have gone to the kernel, and the function that opens connections.

A request may have been executed only if its last byte was written. The transport asks a pull producer for more bytes
exactly when its buffer has gone to the kernel, so that a connection registers itself as a pull producer.

Bytes are sent to the kernel immediately where it takes them. If the reactor sent them, each message would cost a second
turn of the reactor with two changes of the poll set.
"""

from __future__ import annotations

import array
import contextlib
import fcntl
import select
import socket
import termios
from collections.abc import Callable
from typing import Any, TypeVar

from twisted.internet.abstract import FileDescriptor
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


def _query_socket_queue(descriptor: int, request: int) -> int:
    """Return the number of bytes in the queue of a socket that the ioctl `request` names.

    It is 0 for a connection that has ended, and if the kernel does not support the request.
    """
    size = array.array("i", [0])
    try:
        fcntl.ioctl(descriptor, request, size)
    except (OSError, ValueError):
        return 0
    return size[0]


def has_unread_bytes(transport: Any) -> bool:  # noqa: ANN401  # Twisted's transports share no static type with getHandle()
    """Return whether bytes, an error or the end of the connection wait to be read, so that it is not idle."""
    try:
        transport.getHandle().recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


DEFAULT_READ_BYTES = FileDescriptor.bufferSize

# Poll events which show that the peer has closed the connection. Reading would show the close only after all earlier
# bytes are read, and never while the connection is not read from.
_PEER_CLOSED_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


@implementer(IPullProducer)
class WriteTrackingConnection(Protocol):
    """A connection, inbound or outbound, that writes immediately and knows when its buffer is empty."""

    transport: Any
    max_read_bytes = DEFAULT_READ_BYTES  # bytes that are read at a time
    flushed = True  # all written bytes have gone to the kernel
    on_connected: Callable[[Any], None] | None = None  # called once, when the connection is up

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm so that small messages are sent at once, and register as a pull producer."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, False)
        if self.on_connected is not None:
            on_connected = self.on_connected
            self.on_connected = None
            on_connected(self)

    def resumeProducing(self) -> None:
        """Record that the buffer has gone to the kernel."""
        self.flushed = True

    def stopProducing(self) -> None:
        """Do nothing, because the transport writes no more and calls `connectionLost` next."""

    def has_peer_closed(self) -> bool:
        """Return whether the peer has closed the connection, even if its close has not been read."""
        descriptor = self.transport.fileno()
        if descriptor < 0:
            return True
        poller = select.poll()
        poller.register(descriptor, _PEER_CLOSED_EVENTS)
        return bool(poller.poll(0))

    def count_received_bytes(self) -> int:
        """Return the number of bytes that have arrived at this machine and have not been read."""
        return _query_socket_queue(self.transport.fileno(), termios.FIONREAD)

    def count_unacknowledged_bytes(self) -> int:
        """Return the number of bytes that the kernel has accepted and the peer's machine has not acknowledged."""
        return _query_socket_queue(self.transport.fileno(), termios.TIOCOUTQ)

    def shrink_buffers(self) -> None:
        """Shrink the transport's and the kernel's buffers, so that a long value is sent at the pace of its reader.

        If the kernel buffered megabytes at once, a slow reader could not be told from a stalled one.
        """
        self.set_max_read_bytes(CHUNK_BYTES)
        with contextlib.suppress(OSError):
            self.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * CHUNK_BYTES)

    def set_max_read_bytes(self, max_bytes: int) -> None:
        """Set the number of bytes that are read at a time."""
        self.transport.bufferSize = self.max_read_bytes = max_bytes

    def write(self, data: bytes) -> None:
        """Write bytes after those already written; `flushed` shows whether all have gone to the kernel."""
        if self.flushed:
            sent = 0
            with contextlib.suppress(OSError):  # the transport reports the error when it sends the remaining bytes
                sent = self.transport.getHandle().send(data)
            if sent == len(data):
                return
            data = data[sent:]
            self.flushed = False
        self.transport.write(data)


ConnectionT = TypeVar("ConnectionT", bound=WriteTrackingConnection)


class RespConnection(WriteTrackingConnection):
    """A connection on which the limiter sends RESP2 commands; subclasses handle the replies and the end."""

    closed = False  # the connection has ended, or the limiter has closed it

    def __init__(self, max_value: int = resp.MAX_VALUE) -> None:
        self._parser = resp.Parser(max_value)

    def dataReceived(self, data: bytes) -> None:
        """Pass each complete message to `on_message`."""
        found, fault = self._parser.feed(data)
        for value in found:
            if self.closed:
                return
            self.on_message(value)  # type: ignore[arg-type]  # events occur only if long values are allowed
        if fault and not self.closed:
            self.on_malformed(fault)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  # Twisted passes it
        """Call `on_lost`, unless the limiter has closed the connection."""
        if not self.closed:
            self.closed = True
            self.on_lost()

    def abort_connection(self) -> None:
        """Close the connection now; bytes that the peer still sends are discarded."""
        if self.closed:
            return
        self.closed = True
        # abortConnection closes the socket only in the reactor's next turn. The shutdown here takes effect at once, so
        # that a second attempt of the same request does not reach a backend before this connection ends.
        with contextlib.suppress(OSError):
            self.transport.getHandle().shutdown(socket.SHUT_RDWR)
        self.transport.abortConnection()

    def on_message(self, value: resp.Value) -> None:
        """Handle a complete message."""
        raise NotImplementedError

    def on_malformed(self, fault: str) -> None:
        """Handle input that is not RESP2, after which the connection is unusable."""
        raise NotImplementedError

    def on_lost(self) -> None:
        """Handle the end of a connection that the limiter did not close."""
        raise NotImplementedError


class _SingleConnectionFactory(ClientFactory):
    """Builds the protocol of one connection, and reports whether the connection was made."""

    noisy = False

    def __init__(self, build: Callable[[], WriteTrackingConnection], connection_deferred: Deferred[Any]) -> None:
        self._build = build
        self._connection_deferred = connection_deferred

    def buildProtocol(self, addr: IAddress | None) -> WriteTrackingConnection:  # noqa: ARG002  # Twisted passes it
        """Build the protocol, which fires the Deferred once it has its transport."""
        stream = self._build()
        stream.on_connected = self._connection_deferred.callback
        return stream

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002  # Twisted passes both
        """Report a connection that was refused or was not made by the deadline."""
        self._connection_deferred.errback(reason)


def dial(
    reactor: Any,  # noqa: ANN401  # Twisted's reactor interfaces are no static types
    deadlines: Deadlines,
    address: Address,
    deadline: float,
    build: Callable[[], ConnectionT],
) -> Deferred[ConnectionT]:
    """Connect to an address and return a Deferred of the connection.

    The Deferred fails if the connection is refused or not made by `deadline` (a time of `clock.now`). If this process
    was stalled when the deadline passed, the peer may not be at fault: the reactor begins to connect in its next turn,
    and learns of the connection in a later one. The deadline is then extended by `clock.STALL_THRESHOLD` for these
    turns.
    """
    connection_deferred: Deferred[ConnectionT] = Deferred()
    connector = reactor.connectTCP(
        address.host, address.port, _SingleConnectionFactory(build, connection_deferred), timeout=None
    )
    timeout_call = clock.NOT_SCHEDULED

    def on_timeout(_: int) -> None:
        """Stop connecting, or extend the deadline if this process was stalled."""
        nonlocal timeout_call
        now = clock.now()
        if deadlines.is_stalled(now):
            timeout_call = deadlines.schedule(now + clock.STALL_THRESHOLD, on_timeout)
        else:
            connector.stopConnecting()

    timeout_call = deadlines.schedule(deadline, on_timeout)

    def cancel_deadline(result: ConnectionT | Failure) -> ConnectionT | Failure:
        """Cancel the deadline, and pass the result on."""
        deadlines.cancel(timeout_call)
        return result

    return connection_deferred.addBoth(cancel_deadline)
