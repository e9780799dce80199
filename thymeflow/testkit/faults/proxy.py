"""A relay on loopback that stands on one link and can cut it, go silent, delay, stall in a message, and heal.

Bytes that a silent or stalled link holds back are kept, at most what two kernels buffer and one read more: a sender
whose bytes nobody takes sees what it would see with a cut cable, and after the heal they come as they would then.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from thymeflow.runtime import clock
from thymeflow.testkit.faults.schedule import Do, Way
from thymeflow.testkit.ports import free_port

Address = tuple[str, int]
UNBOUND = -1  # bytes that may still pass before a stall: any number


class _End(Protocol):
    """One connection at the relay; `other` is the one that it is joined to."""

    transport: Any

    def __init__(self, relay: Relay, way: Way) -> None:
        self.relay, self.way, self.other = relay, way, self
        self.up, self.early = False, bytearray()

    def connectionMade(self) -> None:
        self.up = True
        self.transport.setTcpNoDelay(True)
        self.relay.ends.add(self)
        self.relay.pace(self)

    def dataReceived(self, data: bytes) -> None:
        self.relay.passes(self, data)

    def put(self, data: bytes) -> None:
        """Write towards this connection's far side, now or as soon as it is up."""
        if self.up:
            self.transport.write(data)
        else:
            self.early += data

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.up = False
        self.relay.ends.discard(self)
        self.relay.ended(self)


class _Near(_End):
    """From whoever opens the link."""

    def connectionMade(self) -> None:
        super().connectionMade()
        self.relay.join(self)


class _Dialler(ClientFactory):
    noisy = False

    def __init__(self, far: _End) -> None:
        self._far = far

    def buildProtocol(self, addr: Any) -> _End:
        return self._far

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        near = self._far.other
        if near.up:
            near.relay.refused.add(near.transport.getPeer().port)
            near.transport.abortConnection()


class Relay(Factory):
    """One link. `opened_by_limiter`: the near side is the limiter's, so that what comes from there goes out."""

    noisy = False

    def __init__(
        self, reactor: Any, deadlines: clock.Deadlines, target: Callable[[], Address], opened_by_limiter: bool = True
    ) -> None:
        self._reactor, self._deadlines, self._target = reactor, deadlines, target
        self._near = Way.OUT if opened_by_limiter else Way.IN
        self._far = Way.IN if opened_by_limiter else Way.OUT
        self.ends: set[_End] = set()
        self.silent: set[Way] = set()
        self.delay, self.left, self.cut = 0.0, UNBOUND, False
        self.refused: set[int] = set()  # ports of who was not let through, as nobody listens there
        self._held: list[tuple[_End, bytes]] = []  # what a silence or a stall holds back, in order
        self._port: Any = None
        self.address: Address = ("127.0.0.1", 0)

    def start(self) -> None:
        """Listen, at the address it had before if there was one."""
        port = self.address[1] or free_port()
        self._port = self._reactor.listenTCP(port, self, interface="127.0.0.1", backlog=511)
        self.address = ("127.0.0.1", self._port.getHost().port)

    def buildProtocol(self, addr: Any) -> _End:
        """Somebody opens the link."""
        return _Near(self, self._near)

    def join(self, near: _End) -> None:
        """Open the far side for it."""
        far = _End(self, self._far)
        near.other, far.other = far, near
        host, port = self._target()
        self._reactor.connectTCP(host, port, _Dialler(far), timeout=5.0)

    def _blocked(self, way: Way) -> bool:
        return way in self.silent or self.left == 0

    def pace(self, end: _End) -> None:
        """Take bytes from it, or leave them with the kernel; and let what waited for it be written."""
        if end.early:
            end.transport.write(bytes(end.early))
            end.early.clear()
        if self._blocked(end.way):
            end.transport.pauseProducing()

    def passes(self, end: _End, data: bytes) -> None:
        """Bytes have come."""
        if self._blocked(end.way):
            self._held.append((end, data))
            return
        if self.left != UNBOUND:
            data, rest = data[: self.left], data[self.left :]
            self.left -= len(data)
            if rest:
                self._held.append((end, rest))
            if not self.left:
                self._block()
        if self.delay:
            self._deadlines.schedule(clock.now() + self.delay, lambda _: end.other.put(data))
        else:
            end.other.put(data)

    def ended(self, end: _End) -> None:
        """One side has ended: so does the other, unless nobody can be told."""
        if self._blocked(end.way):
            self._held.append((end, b""))
        elif self.delay:
            self._deadlines.schedule(clock.now() + self.delay, lambda _: self._end(end.other))
        else:
            self._end(end.other)

    @staticmethod
    def _end(end: _End) -> None:
        if end.up:
            end.transport.loseConnection()

    def _block(self) -> None:
        for end in self.ends:
            if self._blocked(end.way):
                end.transport.pauseProducing()

    def act(self, do: Do, way: Way, amount: float) -> None:
        """A fault, or the end of all."""
        if do is Do.CUT:
            self.cut = True
            self._held.clear()
            for end in list(self.ends):
                end.transport.abortConnection()
            port, self._port = self._port, None
            if port is not None:
                port.stopListening()
        elif do is Do.SILENCE:
            self.silent |= {Way.OUT, Way.IN} if way is Way.BOTH else {way}
            self._block()
        elif do is Do.DELAY:
            self.delay = amount
        elif do is Do.STALL:
            self.left = int(amount)
            self._block()
        elif do is Do.HEAL:
            self._heal()

    def _heal(self) -> None:
        self.silent.clear()
        self.delay, self.left = 0.0, UNBOUND
        held, self._held = self._held, []
        for end, data in held:
            if data:
                end.other.put(data)
            else:
                self._end(end.other)
        for end in self.ends:
            end.transport.resumeProducing()
        if self._port is None:
            self.cut = False
            self.start()
