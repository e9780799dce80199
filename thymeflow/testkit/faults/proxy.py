"""A fault proxy on loopback for one link: it can cut, blackhole, delay, stall in a message, and heal.

Bytes that are blocked by a blackholed or stalled link are buffered, at most what two kernels buffer and one read more:
a sender whose bytes nobody reads sees what it would see with a cut cable, and after the fault the bytes are delivered.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from thymeflow.runtime import clock
from thymeflow.testkit.faults.schedule import Direction, FaultAction
from thymeflow.testkit.listener import LoopbackListener
from thymeflow.testkit.types import Address, NetworkReactor

UNLIMITED = -1  # bytes that may pass before a stall
CONNECT_TIMEOUT_SECONDS = 5.0


class _ProxyConnection(Protocol):
    """One of the two connections of a proxied connection; `peer` is the other one."""

    transport: Any  # Twisted's transports share no static type

    def __init__(self, proxy: FaultProxy, direction: Direction, *, is_accepted: bool) -> None:
        """`direction`: of the bytes that are read here; `is_accepted`: opened by the other end, not by the proxy."""
        self.direction = direction
        self.peer = self
        self.is_up = False
        self.early_bytes = bytearray()  # to be written once the connection is up
        self._proxy = proxy
        self._is_accepted = is_accepted

    def connectionMade(self) -> None:
        """Register with the proxy, and have it connect to the target."""
        self.is_up = True
        self.transport.setTcpNoDelay(True)
        self._proxy.on_connected(self)
        if self._is_accepted:
            self._proxy.connect_target(self)

    def dataReceived(self, data: bytes) -> None:
        """Forward bytes as the fault allows."""
        self._proxy.on_data(self, data)

    def send(self, data: bytes) -> None:
        """Write bytes, now or as soon as the connection is up."""
        if self.is_up:
            self.transport.write(data)
        else:
            self.early_bytes += data

    def close(self) -> None:
        """Close the connection, if it is up."""
        if self.is_up:
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  # Twisted passes it
        """Close the peer as the fault allows."""
        self.is_up = False
        self._proxy.on_closed(self)


class _TargetFactory(ClientFactory):
    """Makes the connection to the target."""

    noisy = False

    def __init__(self, proxy: FaultProxy, connection: _ProxyConnection) -> None:
        self._proxy = proxy
        self._connection = connection

    def buildProtocol(self, addr: IAddress | None) -> _ProxyConnection:  # noqa: ARG002  # Twisted passes it
        """Return the connection."""
        return self._connection

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002  # likewise
        """Reset the accepted connection."""
        self._proxy.on_target_refused(self._connection.peer)


class FaultProxy(Factory):
    """The proxy of one link; `is_opened_by_limiter`: the limiter is the side that connects."""

    noisy = False

    def __init__(
        self,
        reactor: NetworkReactor,
        deadlines: clock.Deadlines,
        target: Address,
        *,
        is_opened_by_limiter: bool = True,
    ) -> None:
        self.refused_ports: set[int] = set()  # local ports of connections that the target refused
        self._reactor = reactor
        self._deadlines = deadlines
        self._target = target
        self._accepted_direction = Direction.OUT if is_opened_by_limiter else Direction.IN
        self._target_direction = Direction.IN if is_opened_by_limiter else Direction.OUT
        self._connections: set[_ProxyConnection] = set()
        self._blackholed_directions: set[Direction] = set()
        self._delay_seconds = 0.0
        self._bytes_before_stall = UNLIMITED
        self._blocked: list[tuple[_ProxyConnection, bytes]] = []  # in order of arrival; no bytes: the end
        self._listener = LoopbackListener(reactor, self)

    @property
    def address(self) -> Address:
        """Return where it listens, or listened last."""
        return self._listener.address

    def start(self) -> None:
        """Listen, at its earlier address if there was one."""
        self._listener.open()

    def buildProtocol(self, addr: IAddress | None) -> _ProxyConnection:  # noqa: ARG002  # Twisted passes it
        """Return the protocol of an accepted connection."""
        return _ProxyConnection(self, self._accepted_direction, is_accepted=True)

    def connect_target(self, accepted: _ProxyConnection) -> None:
        """Open the connection to the target for an accepted one."""
        connection = _ProxyConnection(self, self._target_direction, is_accepted=False)
        accepted.peer = connection
        connection.peer = accepted
        host, port = self._target
        self._reactor.connectTCP(host, port, _TargetFactory(self, connection), timeout=CONNECT_TIMEOUT_SECONDS)

    def on_target_refused(self, accepted: _ProxyConnection) -> None:
        """Reset an accepted connection, as the target refused the other one."""
        if accepted.is_up:
            self.refused_ports.add(accepted.transport.getPeer().port)
            accepted.transport.abortConnection()

    def _is_blocked(self, direction: Direction) -> bool:
        return direction in self._blackholed_directions or self._bytes_before_stall == 0

    def on_connected(self, connection: _ProxyConnection) -> None:
        """Write what waited for the connection, and read from it as the fault allows."""
        self._connections.add(connection)
        if connection.early_bytes:
            connection.transport.write(bytes(connection.early_bytes))
            connection.early_bytes.clear()
        if self._is_blocked(connection.direction):
            connection.transport.pauseProducing()

    def on_data(self, connection: _ProxyConnection, data: bytes) -> None:
        """Forward bytes to the peer as the fault allows."""
        if self._is_blocked(connection.direction):
            self._blocked.append((connection, data))
            return
        if self._bytes_before_stall != UNLIMITED:
            blocked_data = data[self._bytes_before_stall :]
            data = data[: self._bytes_before_stall]
            self._bytes_before_stall -= len(data)
            if blocked_data:
                self._blocked.append((connection, blocked_data))
            if not self._bytes_before_stall:
                self._pause_blocked()
        if self._delay_seconds:
            self._deadlines.schedule(clock.now() + self._delay_seconds, lambda _: connection.peer.send(data))
        else:
            connection.peer.send(data)

    def on_closed(self, connection: _ProxyConnection) -> None:
        """Close the peer, unless the end is blocked too."""
        self._connections.discard(connection)
        if self._is_blocked(connection.direction):
            self._blocked.append((connection, b""))
        elif self._delay_seconds:
            self._deadlines.schedule(clock.now() + self._delay_seconds, lambda _: connection.peer.close())
        else:
            connection.peer.close()

    def _pause_blocked(self) -> None:
        for connection in self._connections:
            if self._is_blocked(connection.direction):
                connection.transport.pauseProducing()

    def apply(self, action: FaultAction, direction: Direction, amount: float) -> None:
        """Begin a fault, or end all."""
        if action is FaultAction.CUT_LINK:
            self._cut()
        elif action is FaultAction.BLACKHOLE_LINK:
            both = {Direction.OUT, Direction.IN}
            self._blackholed_directions |= both if direction is Direction.BOTH else {direction}
            self._pause_blocked()
        elif action is FaultAction.DELAY_LINK:
            self._delay_seconds = amount
        elif action is FaultAction.STALL_LINK:
            self._bytes_before_stall = int(amount)
            self._pause_blocked()
        elif action is FaultAction.HEAL_LINK:
            self._heal()

    def _cut(self) -> None:
        self._blocked.clear()
        for connection in list(self._connections):
            connection.transport.abortConnection()
        self._listener.close()

    def _heal(self) -> None:
        self._blackholed_directions.clear()
        self._delay_seconds = 0.0
        self._bytes_before_stall = UNLIMITED
        blocked = self._blocked
        self._blocked = []
        for connection, data in blocked:
            if data:
                connection.peer.send(data)
            else:
                connection.peer.close()
        for connection in self._connections:
            connection.transport.resumeProducing()
        self._listener.open()
