"""An application server: takes calls, works for a while, answers; notes each call that reached it whole."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from thymeflow.runtime import clock
from thymeflow.testkit.ports import free_port
from thymeflow.transport import resp

VERBS = (b"SVC.QUERY", b"SVC.SUBMIT")


@dataclass(slots=True)
class Arrival:
    """A call whose last byte has come; `since` where our own turn was late: the earliest at which it can have."""

    at: float
    since: float
    server: int
    request: str
    customer: str
    cls: str
    units: float
    keyed: bool
    over: float = inf  # when its answer was written, or its connection ended: until then it is out


class Keys:
    """What servers of one group remember of keyed calls: a key that ran to its end is not run again for a while."""

    def __init__(self, window: float) -> None:
        self.window, self.effects = window, dict[str, int]()
        self._done: dict[str, float] = {}

    def run(self, request: str, now: float) -> None:
        """A keyed call has run to its end: an effect, unless the key is remembered."""
        if now - self._done.get(request, -inf) > self.window:
            self.effects[request] = self.effects.get(request, 0) + 1
        self._done[request] = now


class Meter:
    """Use of each customer over all servers, as they tell it: percent of its rate over the last seconds."""

    SPAN = 2.0  # s

    def __init__(self, rates: dict[str, float]) -> None:
        self._rates, self._seen = rates, dict[str, deque[tuple[float, float]]]()

    def add(self, customer: str, plan: str, units: float, now: float) -> float:
        """Count units and tell the percentage."""
        seen = self._seen.setdefault(customer, deque())
        seen.append((now, units))
        while seen and now - seen[0][0] > self.SPAN:
            seen.popleft()
        return 100.0 * sum(u for _, u in seen) / (self.SPAN * max(1e-9, self._rates.get(plan, 1.0)))


def terms_of(text: bytes) -> dict[str, str]:
    """The list of names and values of a call."""
    found = {}
    for pair in text.decode("ascii", "replace").split(","):
        name, _, value = pair.partition("=")
        found[name] = value
    return found


class _Connection(Protocol):
    transport: Any

    def __init__(self, server: Server) -> None:
        self._server, self._parser = server, resp.Parser()
        self._answers: deque[list[bytes | None]] = deque()  # in the order of their calls
        self._out: list[Arrival] = []
        self.closed = False

    def connectionMade(self) -> None:
        self._server.connections.add(self)
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        found, fault = self._parser.feed(data)
        for words in found:
            self._call(words)
        if fault:
            self.transport.abortConnection()

    def _call(self, words: resp.Event) -> None:
        if not isinstance(words, list) or len(words) < 4 or words[0] not in VERBS:
            self._put(
                b"+OK\r\n"
                if isinstance(words, list) and words[:1] in ([b"CLIENT"], [b"SELECT"])
                else b"-ERR unknown\r\n"
            )
            return
        _, customer, request, text = words[:4]
        assert isinstance(customer, bytes) and isinstance(request, bytes) and isinstance(text, bytes)
        place: list[bytes | None] = [None]
        self._answers.append(place)

        def answered(answer: bytes) -> None:
            place[0] = answer
            self._flush()

        arrival = self._server.take(customer.decode(), request.decode(), terms_of(text), words[0] == VERBS[1], answered)
        if arrival is not None:
            self._out = [a for a in self._out if a.over == inf] + [arrival]

    def _put(self, answer: bytes) -> None:
        self._answers.append([answer])
        self._flush()

    def _flush(self) -> None:
        while self._answers and self._answers[0][0] is not None:
            answer = self._answers.popleft()[0]
            if not self.closed and answer:
                self.transport.write(answer)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.closed = True
        self._server.connections.discard(self)
        for arrival in self._out:
            arrival.over = min(arrival.over, self._server.last_sent_at())


class Server(Factory):
    """One server of some slots; what finds none waits, and past its waiting room is turned away."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        deadlines: clock.Deadlines,
        number: int,
        meter: Meter,
        keys: Keys,
        rng: random.Random,
        slots: int = 8,
        room: int = 64,
        mean: float = 0.02,
        cost: float = 1.0,
    ) -> None:
        self.number, self.arrivals, self.connections = number, list[Arrival](), set[_Connection]()
        self.mean, self.cost = mean, cost  # s of work; true units for a declared one
        self.thrash = 0.0  # how much longer work takes for each one that waits for a slot
        self.error_rate = 0.0
        self.long: dict[str, int] = {}  # by class: bytes that a value is filled up to
        self._reactor, self._deadlines, self._meter, self._keys, self._rng = reactor, deadlines, meter, keys, rng
        self.slots, self._room, self._busy = slots, room, 0
        self._waiting: deque[tuple[Arrival, Callable[[], None]]] = deque()
        self._port: Any = None
        self.address = ("127.0.0.1", 0)
        self.generation = 0  # of its life; work of an earlier one is not answered

    def buildProtocol(self, addr: Any) -> _Connection:
        """A new connection."""
        return _Connection(self)

    def start(self) -> None:
        """Listen, at the address it had before if there was one."""
        port = self.address[1] or free_port()
        self._port = self._reactor.listenTCP(port, self, interface=self.address[0], backlog=511)
        self.address = ("127.0.0.1", self._port.getHost().port)

    def last_sent_at(self) -> float:
        """The earliest at which what is read now can have come."""
        return self._deadlines.earliest_arrival(clock.now())

    def up(self) -> bool:
        """Whether it listens."""
        return self._port is not None

    def start_again(self) -> None:
        """Listen again, unless it does."""
        if self._port is None:
            self.start()

    def die(self) -> Any:
        """End as a killed process does: connections are reset, new ones refused."""
        self.generation += 1
        self._busy = 0
        self._waiting.clear()
        for connection in list(self.connections):
            connection.transport.abortConnection()
        port, self._port = self._port, None
        return port.stopListening() if port else None

    def take(
        self, customer: str, request: str, terms: dict[str, str], keyed: bool, answered: Callable[[bytes], None]
    ) -> Arrival | None:
        """A call has come; None where it is turned away."""
        now = clock.now()
        units = float(terms.get("units", "1"))
        if self._busy >= self.slots and len(self._waiting) >= self._room:
            answered(b"-BUSY\r\n")
            return None
        arrival = Arrival(
            now, self._deadlines.earliest_arrival(now), self.number, request, customer, terms.get("c", ""), units, keyed
        )
        self.arrivals.append(arrival)
        used = self._meter.add(customer, terms.get("t", ""), units, now)
        life = self.generation

        def begin() -> None:
            self._busy += 1
            crowd = 1.0 + self.thrash * len(self._waiting) / self.slots
            work = crowd * self._rng.expovariate(1.0 / self.mean)
            self._deadlines.schedule(clock.now() + work, lambda _: end(work))

        def end(work: float) -> None:
            if life != self.generation:
                return
            self._busy -= 1
            arrival.over = min(arrival.over, clock.now())
            if keyed:
                self._keys.run(request, clock.now())
            figures = b"used=%d,cost=%.3f" % (min(999, round(used)), units * self.cost)
            if self._rng.random() < self.error_rate:
                answered(b"-ERR failed " + figures + b"\r\n")
            else:
                value = (b"%b:%d " % (request.encode(), self.number)).ljust(self.long.get(terms.get("c", ""), 0), b".")
                answered(b"*3\r\n" + resp.bulk(value) + resp.bulk(figures) + resp.bulk(b"avg_ms=%.2f" % (work * 1e3)))
            while self._waiting and self._busy < self.slots:
                waits, go_on = self._waiting.popleft()
                if waits.over == inf:  # one whose connection has ended meanwhile was called off
                    go_on()

        if self._busy < self.slots:
            begin()
        else:
            self._waiting.append((arrival, begin))
        return arrival

    def endpoint(self, lifecycle: str = "active") -> dict[str, Any]:
        """As discovery lists it."""
        return {
            "instanceId": f"s-{self.number + 1:08x}",
            "hostPort": "{}:{}".format(*self.address),
            "zone": "floor-2",
            "machineType": "std",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }
