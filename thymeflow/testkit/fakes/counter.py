"""A fake counter: adds to named totals that expire, at a bounded rate of calls and in their order."""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from thymeflow.runtime import clock
from thymeflow.testkit.listener import LoopbackListener
from thymeflow.testkit.types import Address, NetworkReactor
from thymeflow.transport import resp

MAX_TTL_SECONDS = 60.0
MAX_AMOUNT = 1e9
MAX_NAME_BYTES = 64
EXPIRY_INTERVAL_SECONDS = 5.0  # between removals of expired totals
MAX_WAITING_CALLS = 400
DEFAULT_CALLS_PER_SECOND = 540.0


class _Total(NamedTuple):
    amount: float
    expires_at: float


class _Connection(Protocol):
    """One connection from a limiter, with its calls that wait."""

    transport: Any  # Twisted's transports share no static type

    def __init__(self, counter: FakeCounter) -> None:
        self._counter = counter
        self._parser = resp.Parser()
        self.calls: deque[resp.Event] = deque()

    def connectionMade(self) -> None:
        """Register with the counter."""
        self._counter.connections.append(self)
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        """Queue the calls that are complete; reset the connection on malformed bytes."""
        calls, error = self._parser.feed(data)
        self.calls.extend(calls)
        self._counter.process_calls()
        if error:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  # Twisted passes it
        """Drop the calls that wait."""
        self.calls.clear()
        self._counter.connections.remove(self)


class FakeCounter(Factory):
    """One counter with a capacity in calls per second."""

    noisy = False

    def __init__(
        self,
        reactor: NetworkReactor,
        deadlines: clock.Deadlines,
        calls_per_second: float = DEFAULT_CALLS_PER_SECOND,
    ) -> None:
        self.connections: list[_Connection] = []
        self.call_count = 0
        self.rejected_count = 0
        self.rejects_all = False
        self._totals: dict[bytes, _Total] = {}
        self._deadlines = deadlines
        self._calls_per_second = calls_per_second
        self._next_call_at = 0.0
        self._is_call_scheduled = False
        self._last_expiry_at = 0.0
        self._listener = LoopbackListener(reactor, self)

    @property
    def address(self) -> Address:
        """Return where it listens, or listened last."""
        return self._listener.address

    def buildProtocol(self, addr: IAddress | None) -> _Connection:  # noqa: ARG002  # Twisted passes it
        """Return the protocol of a new connection."""
        return _Connection(self)

    def start(self) -> None:
        """Listen, at its earlier address if there was one; does nothing while it listens."""
        self._listener.open()

    def kill(self) -> None:
        """End as a killed process does; its totals stay until `forget`."""
        for connection in list(self.connections):
            connection.transport.abortConnection()
        self._listener.close()

    def forget(self) -> None:
        """Lose all totals, as a counter that was replaced."""
        self._totals.clear()

    def process_calls(self) -> None:
        """Reply to the calls that the capacity allows for now."""
        now = clock.now()
        waiting_count = sum(len(connection.calls) for connection in self.connections)
        for connection in list(self.connections):
            while connection.calls:
                if not self._process_first(connection, now, waiting_count):
                    break
        if any(connection.calls for connection in self.connections) and not self._is_call_scheduled:
            self._is_call_scheduled = True
            self._deadlines.schedule(self._next_call_at, self._on_capacity)

    def _on_capacity(self, _: int) -> None:
        self._is_call_scheduled = False
        self.process_calls()

    def _process_first(self, connection: _Connection, now: float, waiting_count: int) -> bool:
        """Reply to a connection's first call; return False where it has to wait. Only INCRTTL uses capacity."""
        call = connection.calls[0]
        name = call[0] if isinstance(call, list) and call else b""
        if name == b"INCRTTL":
            if waiting_count > MAX_WAITING_CALLS or self.rejects_all:
                self.rejected_count += 1
                connection.calls.popleft()
                connection.transport.write(b"-BUSY\r\n")
                return True
            if now < self._next_call_at:
                return False
            self._next_call_at = max(now, self._next_call_at) + 1.0 / self._calls_per_second
            self.call_count += 1
        connection.calls.popleft()
        connection.transport.write(self._reply(call, now))
        return True

    def _reply(self, call: resp.Event, now: float) -> bytes:
        match call:
            case [b"PING"]:
                return b"+PONG\r\n"
            case [b"CLIENT" | b"SELECT", *_]:
                return b"+OK\r\n"
            case [b"INCRTTL", bytes(name), bytes(amount), bytes(ttl_ms)] if 1 <= len(name) <= MAX_NAME_BYTES:
                return self._increment(name, amount, ttl_ms, now)
            case _:
                return b"-ERR no such call\r\n"

    def _increment(self, name: bytes, amount: bytes, ttl_ms: bytes, now: float) -> bytes:
        try:
            added = float(amount)
            new_expires_at = now + min(MAX_TTL_SECONDS, max(1, int(ttl_ms)) / 1000.0)
        except ValueError:
            return b"-ERR no number\r\n"
        if not abs(added) <= MAX_AMOUNT:
            return b"-ERR out of range\r\n"
        total = self._totals.get(name)
        if total is None or total.expires_at <= now:
            total = _Total(0.0, new_expires_at)
        total = _Total(total.amount + added, total.expires_at)
        self._totals[name] = total
        self._remove_expired(now)
        return resp.bulk(b"%.7g" % total.amount)

    def _remove_expired(self, now: float) -> None:
        if now - self._last_expiry_at > EXPIRY_INTERVAL_SECONDS:
            self._last_expiry_at = now
            self._totals = {name: total for name, total in self._totals.items() if total.expires_at > now}
