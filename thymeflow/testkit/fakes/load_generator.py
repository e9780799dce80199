"""User agents: customers that ask, open-loop, and a count of every byte of answer for each request.

A request is written on a connection on which nothing else is open. A connection that ends before any byte of the
answer, after it has served before, may have crossed the request: it is written once more on a new one, as the
protocol allows. Whatever else happens to a request is counted, and nothing is ever tried again by itself.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from thymeflow.runtime import clock
from thymeflow.testkit.fakes.site import KEYED
from thymeflow.transport import resp

CONNECT = 2.0  # s
SLACK = 1.0  # s past its deadline, after which a request without an answer is unanswered


@dataclass(slots=True)
class Customer:
    """Who asks how much, and through which limiters."""

    number: int
    plan: str
    rate: float  # requests a second
    units: float = 1.0
    first: int = 0
    spread: int = 1
    of: int = 1  # limiters, round which its set is counted
    favourite: float = 0.0  # share that goes through the first of its set, beside its even part

    @property
    def name(self) -> str:
        """As it stands in calls."""
        return f"{self.number:016x}"


@dataclass(slots=True)
class Result:
    """What became of one request."""

    id: str
    customer: Customer
    cls: str
    limiter: int
    begun: float
    deadline: float
    ended: float = 0.0
    verdict: str = ""  # served, refused, failed, unanswered, refused connect; "" while open
    wait: float = 0.0  # advice, s
    answers: int = 0  # whole answers that came
    wrong: bool = False  # a value that no server made for it
    resent: bool = False
    killed: bool = False  # the limiter was killed while it was open
    notes: list[str] = field(default_factory=list)


class _Connection(Protocol):
    transport: Any

    def __init__(self, agents: Agents, limiter: int) -> None:
        self._agents, self.limiter, self._parser = agents, limiter, resp.Parser(resp.MAX_LONG_VALUE)
        self._long = b""  # the first bytes of a long value
        self.result: Result | None = None
        self.last: Result | None = None
        self.used, self.closed, self.begun = False, False, False
        self.port = 0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.port = self.transport.getHost().port
        self._agents.up(self)

    def ask(self, result: Result, line: bytes) -> None:
        self.result, self.begun = result, False
        self.transport.write(line)

    def dataReceived(self, data: bytes) -> None:
        found, _ = self._parser.feed(data)
        self.begun = True
        for value in found:
            if isinstance(value, resp.LongValueBegin):
                self._long = b""
            elif isinstance(value, resp.LongValueChunk):
                self._long = (self._long + value.data)[:64]
                self._agents.slowly(self, len(value.data))
            elif isinstance(value, resp.LongValueEnd):
                self._answer(self._long)
            elif not isinstance(value, resp.LongValueArrayEnd):
                self._answer(value)

    def _answer(self, value: resp.Event) -> None:
        result, self.result = self.result, None
        if result is None:
            if self.last is not None:  # bytes that nobody asked for: a second answer to the last one
                self.last.answers += 1
            return
        self.last, self.used = result, True
        self._agents.answered(result, value)
        self._agents.free(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.closed = True
        result, self.result = self.result, None
        self._agents.lost(self, result)


class _Dialler(ClientFactory):
    noisy = False

    def __init__(self, agents: Agents, limiter: int, result: Result, line: bytes) -> None:
        self._agents, self._limiter, self.result, self.line = agents, limiter, result, line

    def buildProtocol(self, addr: Any) -> _Connection:
        made = _Connection(self._agents, self._limiter)
        self._agents.dialled[made] = (self.result, self.line)
        return made

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._agents.refused(self.result)


class Agents:
    """All user agents, and what became of all that they asked."""

    def __init__(
        self, reactor: Any, deadlines: clock.Deadlines, rng: random.Random, address: Callable[[int], tuple[str, int]]
    ) -> None:
        self.results: list[Result] = []
        self.open: dict[str, Result] = {}
        self.dialled: dict[_Connection, tuple[Result, bytes]] = {}
        self.on_end: Callable[[Result], None] = lambda result: None
        self.not_taken: Callable[[int, int], bool] = lambda limiter, port: False  # a relay was refused for that port
        self.stopped = False
        self.pace: dict[str, float] = {}  # by class: bytes a second that are taken of a long answer
        self._reactor, self._deadlines, self._rng, self._address = reactor, deadlines, rng, address
        self._idle: dict[int, list[_Connection]] = {}
        self._connections: set[_Connection] = set()
        self._count = 0
        self._salt = rng.getrandbits(24)
        self._generation: dict[int, int] = {}

    def begin(self, customer: Customer, classes: tuple[str, ...]) -> None:
        """Let a customer ask from now on, at random moments, until `stop`."""
        generation = self._generation[customer.number] = self._generation.get(customer.number, 0) + 1

        def next_one(_: int) -> None:
            if self.stopped or self._generation[customer.number] != generation:
                return
            self.ask(customer, self._rng.choice(classes))
            self._deadlines.schedule(clock.now() + self._rng.expovariate(customer.rate), next_one)

        self._deadlines.schedule(clock.now() + self._rng.expovariate(customer.rate), next_one)

    def stop(self) -> None:
        """Ask nothing more; what is open still gets its answer."""
        self.stopped = True

    def close(self) -> None:
        """End all connections."""
        for connection in list(self._connections):
            connection.transport.abortConnection()

    def ask(self, customer: Customer, cls: str, limiter: int | None = None, deadline: float | None = None) -> Result:
        """One request, now; through a limiter of the customer's set unless one is named."""
        now = clock.now()
        self._count += 1
        if limiter is None:
            favourite = self._rng.random() < customer.favourite
            place = 0 if favourite else self._rng.randrange(customer.spread)
            limiter = (customer.first + place) % max(customer.of, customer.first + 1)
        allowed = (3.0 if cls == KEYED else 2.0) if deadline is None else deadline
        result = Result(f"{self._salt << 40 | self._count:016x}", customer, cls, limiter, now, now + allowed)
        self.results.append(result)
        self.open[result.id] = result
        self._deadlines.schedule(result.deadline + SLACK, lambda _: self._overdue(result))
        self._send(result)
        return result

    def _line(self, result: Result) -> bytes:
        customer, keyed = result.customer, result.cls == KEYED
        left = max(1, int((result.deadline - clock.now()) * 1000))
        terms = (
            f"c={result.cls},t={customer.plan},d={left}{f',k={result.id}' if keyed else ''},"
            f"units={customer.units:g},spread={customer.spread},first={customer.first}"
        )
        words = [b"SVC.SUBMIT" if keyed else b"SVC.QUERY", customer.name.encode(), result.id.encode(), terms.encode()]
        return resp.command(*words, *([b"table for two"] if keyed else []))

    def _send(self, result: Result) -> None:
        idle = self._idle.setdefault(result.limiter, [])
        while idle and not result.resent:  # what is written once more goes over a new connection
            connection = idle.pop()
            if not connection.closed:
                connection.ask(result, self._line(result))
                return
        host, port = self._address(result.limiter)
        self._reactor.connectTCP(
            host, port, _Dialler(self, result.limiter, result, self._line(result)), timeout=CONNECT
        )

    def up(self, connection: _Connection) -> None:
        """A connection is up: its request goes out."""
        self._connections.add(connection)
        connection.ask(*self.dialled.pop(connection))

    def free(self, connection: _Connection) -> None:
        """A connection has nothing open."""
        self._idle.setdefault(connection.limiter, []).append(connection)

    def answered(self, result: Result, value: resp.Event) -> None:
        """A whole answer has come."""
        result.answers += 1
        if result.verdict:
            result.notes.append("a late answer")
            return
        if isinstance(value, resp.ErrorReply):
            words = value.split()
            busy = words[:1] == [b"BUSY"]
            result.wait = int(words[1]) / 1000.0 if busy and len(words) > 1 and words[1].isdigit() else 0.0
            if not busy:
                result.notes.append(value.decode("ascii", "replace"))
            self._end(result, "refused" if busy else "failed")
        elif isinstance(value, bytes):
            result.wrong = not value.startswith(result.id.encode() + b":")
            self._end(result, "served")
        else:
            self._end(result, "failed")

    def _end(self, result: Result, verdict: str) -> None:
        result.verdict, result.ended = verdict, self._deadlines.earliest_arrival(clock.now())
        self.open.pop(result.id, None)
        self.on_end(result)

    def refused(self, result: Result) -> None:
        """No connection came up."""
        if not result.verdict:
            self._end(result, "refused connect")

    def lost(self, connection: _Connection, result: Result | None) -> None:
        """A connection has ended, with a request open on it or not."""
        self._connections.discard(connection)
        idle = self._idle.get(connection.limiter, [])
        if connection in idle:
            idle.remove(connection)
        if result is None or result.verdict:
            return
        if not connection.begun and self.not_taken(connection.limiter, connection.port):
            self._end(result, "refused connect")
        elif connection.used and not connection.begun and not result.resent and not result.killed:
            result.resent = True
            self._send(result)
        else:
            state = "used before" if connection.used else "new"
            result.notes.append(
                f"the connection ({state}{', a second one' if result.resent else ''}) ended without an "
                f"answer {clock.now() - result.begun:.3f} s after the request"
            )
            self._end(result, "unanswered")

    def _overdue(self, result: Result) -> None:
        if not result.verdict:
            result.notes.append("no answer in time")
            self._end(result, "unanswered")

    def slowly(self, connection: _Connection, taken: int) -> None:
        """Bytes of a long answer were taken: no more for a while, where its class has a pace."""
        pace = self.pace.get(connection.result.cls) if connection.result else None
        if pace:
            connection.transport.pauseProducing()
            self._deadlines.schedule(clock.now() + taken / pace, lambda _: connection.transport.resumeProducing())

    def killed(self, limiter: int) -> None:
        """A limiter is killed outright: what is open there is lost through no fault of its own."""
        for result in self.open.values():
            if result.limiter == limiter:
                result.killed = True
