"""The counter: a few lasting connections, calls written behind one another, answers told in order.

A name always takes the same connection, so that its answers come in the order of its calls. A call
that is given up keeps its place in the line: its answer still comes, and must not be taken for the
next one's.
"""

from __future__ import annotations

import re
from collections import deque
from typing import Any

from twisted.internet.defer import Deferred

from thymeflow.decision.types import Status
from thymeflow.platform.endpoints import Address
from thymeflow.runtime import clock, log
from thymeflow.transport import resp
from thymeflow.transport.connections import Link, dial

LINES = 3  # connections; the counter may be split over as many parts
STALL = 0.3  # s: without a byte of an answer that has begun; some write theirs in pieces
DEAD = 1.0  # s: nothing heard while calls wait; the host is gone without a word
MOST_WAITING = 512  # calls in one line that are not answered
CONNECT = 0.25  # s: to connect
PAUSE = 0.2  # s: between a failed connect and the next
LEAVE = 2.0  # s: for calls that are out when the counter has moved

MOST_TOTAL = 1e15  # no sum of believable amounts is more
_TOTAL = re.compile(rb"-?[0-9]{1,18}(\.[0-9]{1,18})?([eE][+-]?[0-9]{1,2})?")

Result = tuple[Status, float]


class Waiting:
    """One call, until its answer has come; it may have been reported before."""

    __slots__ = ("begun", "data", "due", "reported", "result")

    def __init__(self, data: bytes, begun: float, result: Deferred[Result]) -> None:
        self.data, self.begun, self.result, self.reported = data, begun, result, False
        self.due: clock.Entry = []


class Wire(Link):
    """One connection to the counter."""

    def __init__(self, line: Line) -> None:
        super().__init__()
        self.line, self._moved = line, 0.0

    def resumeProducing(self) -> None:
        """All that was written has left."""
        super().resumeProducing()
        self.line.all_left()

    def dataReceived(self, data: bytes) -> None:
        """Answers, or parts of one."""
        self._moved = clock.now()
        super().dataReceived(data)

    def message(self, value: resp.Value) -> None:
        """The answer to the oldest call."""
        self.line.answered(value)

    def stalled(self) -> bool:
        """Whether part of an answer has come, and for a while no more of it."""
        return self._parser.held() > 0 and clock.now() - self._moved > STALL

    def garbled(self, fault: str) -> None:
        """The line cannot be followed any more."""
        log.say("counter garbled", fault)
        self.hang_up()
        self.lost()

    def lost(self) -> None:
        """The connection ended."""
        self.line.lost()


class Line:
    """A place in which calls stand in order: those written, and those that wait for a connection."""

    def __init__(self, reactor: Any, deadlines: clock.Deadlines, address: Address) -> None:
        self._reactor, self._deadlines, self._address = reactor, deadlines, address
        self._wire: Wire | None = None
        self._dialing, self._again, self._heard = False, 0.0, 0.0
        self._leaving = False  # the counter has moved: no new calls, and none are awaited long
        self.written: deque[Waiting] = deque()
        self.left = 0  # how many of the written ones have gone to the kernel
        self._unwritten: deque[Waiting] = deque()

    def call(self, data: bytes, deadline: float) -> Deferred[Result]:
        """Put a call into the line."""
        now = clock.now()
        result: Deferred[Result] = Deferred()
        waiting = Waiting(data, now, result)
        if self._wire is None:
            self.connect()
        if self._wire is None and not self._dialing:
            self._report(waiting, (Status.CONNECT_FAILED, 0.0))
        elif len(self.written) + len(self._unwritten) >= MOST_WAITING:
            self._report(waiting, (Status.FULL, 0.0))  # nothing was added, as when turned away
        else:
            waiting.due = self._deadlines.at(deadline, lambda _: self._late(waiting))
            if self._wire is None:
                self._unwritten.append(waiting)
            else:
                self._write(waiting)
        return result

    def connect(self) -> None:
        """Dial, unless that failed a moment ago."""
        now = clock.now()
        if self._dialing or self._wire is not None or now < self._again or self._leaving:
            return
        self._dialing = True
        dialling = dial(self._reactor, self._deadlines, self._address, now + CONNECT, lambda: Wire(self))
        dialling.addCallbacks(self._up, self._down)

    def leave(self) -> None:
        """The counter has moved: calls that are out end here, and then the connection."""
        self._leaving = True
        self._deadlines.at(clock.now() + LEAVE, self._left)
        self._left_all()

    def _left(self, _: int) -> None:
        if self._wire is not None:
            self._wire.hang_up()
            self.lost()

    def _left_all(self) -> None:
        if self._leaving and not self.written and not self._unwritten:
            self._left(0)

    def _up(self, wire: Wire) -> None:
        self._dialing, self._heard = False, clock.now()
        if wire.closed:
            self.lost()
            return
        self._wire = wire
        while self._unwritten:
            self._write(self._unwritten.popleft())
        self._left_all()

    def _down(self, failure: Any) -> None:
        self._dialing, self._again = False, clock.now() + PAUSE
        log.say("counter down", f"{self._address}: {failure.getErrorMessage()}", address=self._address)
        self._fail_unwritten()

    def _fail_unwritten(self) -> None:
        while self._unwritten:
            self._report(self._unwritten.popleft(), (Status.CONNECT_FAILED, 0.0))

    def _write(self, waiting: Waiting) -> None:
        assert self._wire is not None
        self.written.append(waiting)
        self._wire.write(waiting.data)
        if self._wire.flushed:
            self.all_left()

    def all_left(self) -> None:
        """What was written has gone to the kernel."""
        self.left = len(self.written)

    def _late(self, waiting: Waiting) -> None:
        now = clock.now()
        if waiting in self._unwritten:  # never written: nothing was added
            self._unwritten.remove(waiting)
            self._report(waiting, (Status.CONNECT_FAILED, 0.0))
            return
        self._report(waiting, (Status.TIMEOUT, 0.0))
        if self._wire is not None and self._wire.stalled():
            self._wire.garbled("an answer was begun and not ended")
            return
        head = self.written[0] if self.written else waiting
        if self._wire is not None and now - max(self._heard, head.begun) > DEAD:
            log.say(
                "counter silent",
                f"{self._address}: no answer for {DEAD:g} s, connecting anew",
                address=self._address,
                waiting=len(self.written),
            )
            self._wire.hang_up()
            self.lost()

    def answered(self, value: resp.Value) -> None:
        """The oldest call has its answer, whether or not anybody still waits for it."""
        self._heard = clock.now()
        result = self._result(value) if self.written else None
        if result is None:
            # Which answer belongs to which call cannot be told any more; all that left may have been added.
            if self._wire is not None:
                self._wire.garbled(f"no answer: {str(value)[:60]}")
            return
        waiting = self.written.popleft()
        self.left = max(0, self.left - 1)
        self._report(waiting, result)
        self._left_all()

    @staticmethod
    def _result(value: resp.Value) -> Result | None:
        if isinstance(value, resp.Problem):
            if value.startswith(b"ERR"):
                log.say("counter odd", repr(bytes(value)[:80]))
            return (Status.FULL, 0.0) if value.split()[:1] in ([b"BUSY"], [b"ERR"]) else None
        if not isinstance(value, bytes) or isinstance(value, resp.Simple) or not _TOTAL.fullmatch(value):
            return None
        total = float(value)
        return (Status.OK, total) if abs(total) <= MOST_TOTAL else None

    def lost(self) -> None:
        """The connection ended: what had left may have been added, the rest was not."""
        self._wire = None
        written, left = list(self.written), self.left
        self.written.clear()
        self.left = 0
        for place, waiting in enumerate(written):
            status = Status.TIMEOUT if place < left else Status.CONNECT_FAILED
            self._report(waiting, (status, 0.0))
        self._fail_unwritten()

    def _report(self, waiting: Waiting, result: Result) -> None:
        if not waiting.reported:
            waiting.reported = True
            if waiting.due:
                self._deadlines.cancel(waiting.due)
            waiting.result.callback(result)


class Counter:
    """The counter, by a few lines."""

    def __init__(self, reactor: Any, deadlines: clock.Deadlines, address: Address) -> None:
        self._reactor, self._deadlines = reactor, deadlines
        self._lines = self._at(address)

    def _at(self, address: Address) -> list[Line]:
        return [Line(self._reactor, self._deadlines, address) for _ in range(LINES)]

    def connect(self) -> None:
        """Connect ahead of the first calls."""
        for line in self._lines:
            line.connect()

    def move(self, address: Address) -> None:
        """New calls go to another address; those that are out end where they went."""
        old, self._lines = self._lines, self._at(address)
        self.connect()
        for line in old:
            line.leave()

    def add(self, name: int, amount: float, ttl: float, deadline: float) -> Deferred[Result]:
        """Add to a named number; always ends in a status and the total, never in a failure."""
        data = resp.command(b"INCRTTL", b"%d" % name, b"%.6f" % amount, b"%d" % max(1, round(ttl * 1000.0)))
        return self._lines[name % LINES].call(data, deadline)
