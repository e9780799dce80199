"""The count keeper: adds to named numbers that live for a while, so many calls a second, in order."""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from thymeflow.runtime import clock
from thymeflow.testkit.ports import free_port
from thymeflow.transport import resp

MOST_LIFE = 60.0  # s
MOST_AMOUNT = 1e9
SWEEP = 5.0  # s: between looks for names that have ended


class _Connection(Protocol):
    transport: Any

    def __init__(self, counter: Counter) -> None:
        self._counter, self._parser = counter, resp.Parser()
        self.calls: deque[resp.Event] = deque()

    def connectionMade(self) -> None:
        self._counter.connections.append(self)
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        found, fault = self._parser.feed(data)
        self.calls.extend(found)
        self._counter.work()
        if fault:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.calls.clear()
        self._counter.connections.remove(self)


class Counter(Factory):
    """One count keeper with a capacity."""

    noisy = False

    def __init__(self, reactor: Any, deadlines: clock.Deadlines, capacity: float = 540.0, room: int = 400) -> None:
        self.connections: list[_Connection] = []
        self.names: dict[bytes, tuple[float, float]] = {}  # total, end of life
        self.calls, self.turned_away, self.worst_wait = 0, 0, 0.0
        self._reactor, self._deadlines, self._capacity, self._room = reactor, deadlines, capacity, room
        self._free_at, self._armed, self._swept = 0.0, False, 0.0
        self.closed = False  # it turns every call away
        self._port: Any = None
        self.address = ("127.0.0.1", 0)

    def buildProtocol(self, addr: Any) -> _Connection:
        """A new connection."""
        return _Connection(self)

    def start(self) -> None:
        """Listen."""
        port = self.address[1] or free_port()
        self._port = self._reactor.listenTCP(port, self, interface="127.0.0.1", backlog=511)
        self.address = ("127.0.0.1", self._port.getHost().port)

    def die(self) -> Any:
        """End as a killed process does; what it held stays for `forget` to take."""
        for connection in list(self.connections):
            connection.transport.abortConnection()
        port, self._port = self._port, None
        return port.stopListening() if port else None

    def start_again(self) -> None:
        """Listen again, unless it does."""
        if self._port is None:
            self.start()

    def forget(self) -> None:
        """Lose all names, as a keeper that was replaced has."""
        self.names.clear()

    def work(self) -> None:
        """Answer what has had its turn; PING, CLIENT and SELECT cost nothing."""
        now = clock.now()
        waiting = sum(len(c.calls) for c in self.connections)
        for connection in list(self.connections):
            while connection.calls:
                if not self._one(connection, now, waiting):
                    break
        if any(c.calls for c in self.connections) and not self._armed:
            self._armed = True
            self._deadlines.schedule(self._free_at, self._again)

    def _again(self, _: int) -> None:
        self._armed = False
        self.work()

    def _one(self, connection: _Connection, now: float, waiting: int) -> bool:
        words = connection.calls[0]
        name = words[0] if isinstance(words, list) and words else b""
        if name == b"INCRTTL":
            if waiting > self._room or self.closed:
                self.turned_away += 1
                connection.calls.popleft()
                connection.transport.write(b"-BUSY\r\n")
                return True
            if now < self._free_at:
                return False
            self._free_at = max(now, self._free_at) + 1.0 / self._capacity
            self.calls += 1
        connection.calls.popleft()
        connection.transport.write(self._answer(words, now))
        return True

    def _answer(self, words: resp.Event, now: float) -> bytes:
        match words:
            case [b"PING"]:
                return b"+PONG\r\n"
            case [b"CLIENT" | b"SELECT", *_]:
                return b"+OK\r\n"
            case [b"INCRTTL", bytes(name), bytes(amount), bytes(life)] if 1 <= len(name) <= 64:
                try:
                    added, ends = float(amount), now + min(MOST_LIFE, max(1, int(life)) / 1000.0)
                except ValueError:
                    return b"-ERR no number\r\n"
                if not abs(added) <= MOST_AMOUNT:
                    return b"-ERR out of range\r\n"
                total, end = self.names.get(name, (0.0, ends))
                if end <= now:
                    total, end = 0.0, ends
                self.names[name] = (total + added, end)
                self._sweep(now)
                return resp.bulk(b"%.7g" % (total + added))
            case _:
                return b"-ERR no such call\r\n"

    def _sweep(self, now: float) -> None:
        if now - self._swept > SWEEP:
            self._swept = now
            self.names = {n: held for n, held in self.names.items() if held[1] > now}
