"""Application servers: the connections kept to each, proxy passes over them, and how passes end.

One pass at a time goes over a connection, since giving a pass up means closing its connection and
would take others along. The warmest connection is used first, so that the rest can fall idle and go.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import inf, isfinite
from typing import Any

from twisted.internet.defer import Deferred

from thymeflow.core.types import AttemptResult, AttemptSpec
from thymeflow.decision.settings import Limits
from thymeflow.decision.types import BackendState, EndpointListKind, LoadReport, Status
from thymeflow.platform.endpoints import Address, EndpointUpdate
from thymeflow.runtime import clock, log
from thymeflow.runtime.slot_table import SlotTable
from thymeflow.transport import resp
from thymeflow.transport.commands import Call
from thymeflow.transport.connections import Link, dial, unread
from thymeflow.transport.flow import Flow

IDLE_SHARE = 0.7  # of conn-idle: an idle connection is dropped then, well before the other end may
SWEEP = 1.0  # s: between looks for connections that have been idle for long
STALL = 1.0  # s: without a byte of an answer that has begun; servers write in pieces, and some slowly
HUNG = 5.0  # s: the same of a long one that is being passed on, as to cut off one that moves would lose it;
#                      and of a long body, without a byte taken of it
MOST_FIGURE = 1e6  # beyond it no figure is believed: 10,000 times a quota, 17 minutes of service time
READY = BackendState.READY
WHOLE = (list, resp.Problem)  # types of an answer that came whole
FIELDS = {
    b"inflight": "inflight",
    b"active": "inflight",
    b"queue": "queued",
    b"waiting": "queued",
    b"util": "utilization",
    b"cpu": "utilization",
    b"latency_ms": "service_time",
    b"avg_ms": "service_time",
    b"qps": "requests_per_second",
    b"rps": "requests_per_second",
    b"eps": "errors_per_second",
    b"err_rps": "errors_per_second",
}


def _pairs(text: bytes, found: dict[bytes, float]) -> None:
    for pair in text.split(b","):
        name, _, value = pair.partition(b"=")
        try:
            number = float(value)
        except ValueError:
            number = -1.0
        # One figure that is not finite would stay in the module's running means and sums for good.
        if isfinite(number) and 0.0 <= number <= MOST_FIGURE:
            found[name] = number
        else:
            log.say("bad figures", repr(text[:60]))


def _outcome(status: Status, value: bytes, figures: list[bytes]) -> AttemptResult:
    found: dict[bytes, float] = {}
    for text in figures:
        _pairs(text, found)
    used, units = found.get(b"used"), found.get(b"cost")
    load = {FIELDS[n]: v / 1000.0 if n.endswith(b"_ms") else v for n, v in found.items() if n in FIELDS}
    return AttemptResult(
        status, value, None if used is None else used / 100.0, units or None, LoadReport(**load) if load else None
    )


def outcome_of(reply: resp.Event) -> AttemptResult | None:
    """What an application server's reply means; None for one that is no answer, after which nothing holds."""
    if isinstance(reply, list) and len(reply) == 3 and isinstance(reply[0], bytes):
        return _outcome(Status.OK, reply[0], [r for r in reply[1:] if isinstance(r, bytes)])
    if isinstance(reply, resp.Problem):
        words = reply.split()
        figures = [w for w in words[1:] if b"=" in w]
        if words[:1] == [b"BUSY"]:
            return _outcome(Status.FULL, b"", figures)
        if words[:1] == [b"ERR"]:
            return _outcome(Status.ERROR, b"", figures)
    return None


class Attempt:
    """One pass, from the order to its outcome."""

    __slots__ = ("connection", "due", "ended", "order")

    def __init__(self, order: AttemptSpec, ended: Deferred[AttemptResult]) -> None:
        self.order, self.ended = order, ended
        self.connection: Connection | None = None
        self.due: clock.Entry = []


class Pool:
    """What is kept for one application server."""

    __slots__ = ("address", "dialing", "id", "idle", "state", "waiting")

    def __init__(self, number: int, address: Address, state: BackendState) -> None:
        self.id, self.address, self.state = number, address, state
        self.idle: list[Connection] = []  # the warmest last
        self.waiting: deque[int] = deque()  # passes for which a connection is being opened
        self.dialing = 0


class Connection(Link):
    """A connection to an application server, which carries one pass at a time."""

    def __init__(self, upstream: BackendConnections, pool: Pool) -> None:
        super().__init__(resp.MOST_LONG)
        self.upstream, self.pool = upstream, pool
        self.carries = -1  # handle of the pass that is out on it
        self.since = 0.0  # when it fell idle, or when bytes of an answer came last
        self.begun = False  # the first bytes of an answer have come
        self.flow: Flow | None = None  # a long answer on its way
        self.body: Flow | None = None  # a long body that is not all written

    def sent(self) -> bool:
        """Whether the last byte of the pass has gone to the kernel, so that it may run."""
        return self.flushed and self.body is None

    def resumeProducing(self) -> None:
        """The buffer has gone to the kernel: there is room for more of a body."""
        super().resumeProducing()
        if self.body is not None:
            self.body.more()

    def dataReceived(self, data: bytes) -> None:
        """Read all that came before the connection may be used again: it may hold more than the answer."""
        found, fault = self._parser.feed(data)
        if self.closed:
            return
        if self.carries < 0:
            self.garbled("bytes though nothing was asked")
            return
        self.since = clock.now()
        if len(found) == 1 and type(found[0]) in WHOLE:  # what nearly all are
            self._answered(found.pop(), found, fault)
            return
        while found:
            event = found.pop(0)
            if isinstance(event, resp.Begin):
                if event.before or event.after != 2 or self.body is not None:
                    self.garbled("a long value where none belongs")
                else:
                    self.upstream.long_answer(self, event.length)
            elif isinstance(event, resp.Part) and self.flow is not None:
                self.flow.push(event.data)
            elif isinstance(event, resp.Closed) and self.flow is not None:
                self.flow.finish()
            else:
                self._answered(event, found, fault)
                return
            if self.closed:
                return
        if fault:
            self.garbled(fault)
        elif not self.begun:
            self.begun = True
            self.upstream.expect_rest(self)

    def _answered(self, event: resp.Event, more: list[resp.Event], fault: str) -> None:
        long = isinstance(event, resp.End)
        outcome = outcome_of([b"", *event.after] if isinstance(event, resp.End) else event)
        if outcome is None or (self.body is not None and outcome.status is Status.OK):
            self.garbled(f"no answer: {str(event)[:60]}")
            return
        # What follows is a second copy or noise: the next pass over this connection would be given it.
        clean = not more and not fault and not self._parser.held()
        if not clean:
            log.say("application server garbled", f"{self.pool.address}: more than the answer")
        if long:
            self.flow = None
        self.upstream.answered(self, outcome, clean and self.body is None)

    # A long body on its way: see `flow.Sink`.

    def part(self, data: bytes) -> None:
        """The next bytes of the body."""
        self.since = clock.now()
        self.write(data)

    def end(self) -> None:
        """All of the body has been written: from now on the pass may run, and its sender waits."""
        self.write(b"\r\n")
        self.body = None

    def broken(self) -> None:
        """The rest of the body will not come: the pass never ran."""
        self.upstream.cut_off(self)

    def garbled(self, fault: str) -> None:
        """The pass that is out may have run, and its answer cannot be told."""
        log.say("application server garbled", f"{self.pool.address}: {fault}", address=self.pool.address)
        self.hang_up()
        self.upstream.spoilt(self)

    def lost(self) -> None:
        """The other end closed or broke it."""
        self.upstream.lost(self)


class BackendConnections:
    """All application servers."""

    def __init__(self, reactor: Any, deadlines: clock.Deadlines, limits: Limits, most: int) -> None:
        self._reactor, self._deadlines, self.limits, self._most = reactor, deadlines, limits, most
        self._pools: dict[int, Pool] = {}
        self._passes: SlotTable[Attempt] = SlotTable(1 << 16)
        self.count = 0  # connections open or being opened
        self.look: Callable[[], None] = lambda: None  # reads what discovery has told and nobody has read
        self.resting = False  # nothing new is expected: a connection that falls idle is closed
        self._sweep(0)

    def listed(self, listed: EndpointUpdate) -> None:
        """A change of the list, which holds from now on for all that is not written yet."""
        if listed.change.kind is not EndpointListKind.DELTA:
            for number in self._pools.keys() - {b.id for b in listed.change.backends}:
                self._retire(self._pools.pop(number), BackendState.GONE)
        for entry in listed.change.backends:
            pool, address = self._pools.get(entry.id), listed.addresses.get(entry.id)
            if pool is not None and (address != pool.address or entry.state is BackendState.GONE):
                self._retire(self._pools.pop(entry.id), BackendState.GONE)
                pool = None
            if pool is None and address is not None:
                self._pools[entry.id] = Pool(entry.id, address, entry.state)
            elif pool is not None and entry.state is READY:
                pool.state = READY
            elif pool is not None:
                self._retire(pool, entry.state)

    def _retire(self, pool: Pool, state: BackendState) -> None:
        # No new work may reach an application server that drains: passes waiting for a connection end here.
        pool.state = state
        self._close(pool)
        while pool.waiting:
            self._end(pool.waiting.popleft(), AttemptResult(Status.CONNECT_FAILED))

    def _close(self, pool: Pool) -> None:
        for connection in pool.idle:
            connection.hang_up()
        self.count -= len(pool.idle)
        pool.idle.clear()

    def limit(self, most: int) -> None:
        """Another bound on connections, for those that are opened from now on."""
        self._most = most

    def rest(self, resting: bool) -> None:
        """Whether connections that fall idle are of no more use: servers hold only so many."""
        self.resting = resting
        for pool in self._pools.values() if resting else ():
            self._close(pool)

    def close_idle(self, backend: int) -> None:
        """Close the idle connections to one application server."""
        if pool := self._pools.get(backend):
            self._close(pool)

    def begin(self, order: AttemptSpec) -> Deferred[AttemptResult]:
        """Make a pass; cancelling the Deferred gives it up."""
        ended: Deferred[AttemptResult] = Deferred(lambda _: self._give_up(handle, Status.CANCELLED))
        going = Attempt(order, ended)
        handle = self._passes.add(going)
        pool = self._pools.get(order.backend)
        if order.deadline <= clock.now():
            self._end(handle, AttemptResult(Status.TIMEOUT))
        elif pool is None or pool.state is not READY:
            self._end(handle, AttemptResult(Status.CONNECT_FAILED))
        else:
            if order.deadline < inf:
                going.due = self._deadlines.at(order.deadline, self._late, handle)
            if connection := self._warm(pool):
                self._pass_on(connection, handle)
            elif self.count < self._most or self._spare_one():
                pool.waiting.append(handle)
                self._dial(pool)
            else:
                log.say("pool", f"all {self._most} connections to application servers are busy", most=self._most)
                self._end(handle, AttemptResult(Status.CONNECT_FAILED))
        return ended

    def _usable(self, connection: Connection) -> bool:
        # A pass written to a connection that has ended, or that still brings what belongs to an earlier
        # one, counts as one that may have run, or would be given the wrong answer.
        if not unread(connection.transport):
            return True
        connection.hang_up()
        self.count -= 1
        return False

    def _warm(self, pool: Pool) -> Connection | None:
        while pool.idle:
            if self._usable(connection := pool.idle.pop()):
                return connection
        return None

    def _spare_one(self) -> bool:
        # The descriptor limit binds over all of them: the connection idle for longest, anywhere, makes room.
        pools = [p for p in self._pools.values() if p.idle]
        if not pools:
            return False
        min(pools, key=lambda p: p.idle[0].since).idle.pop(0).hang_up()
        self.count -= 1
        return True

    def _dial(self, pool: Pool) -> None:
        pool.dialing, self.count = pool.dialing + 1, self.count + 1
        deadline = clock.now() + self.limits.connect_timeout
        up = dial(self._reactor, self._deadlines, pool.address, deadline, lambda: Connection(self, pool))
        up.addCallbacks(self._dialled, self._not_dialled, errbackArgs=(pool,))

    def _dialled(self, connection: Connection) -> None:
        connection.pool.dialing -= 1
        if not connection.closed:
            self._release(connection)

    def _not_dialled(self, failure: Any, pool: Pool) -> None:
        pool.dialing, self.count = pool.dialing - 1, self.count - 1
        log.say("connect failed", f"{pool.address}: {failure.getErrorMessage()}", address=pool.address)
        self._dial_void(pool)

    def _dial_void(self, pool: Pool) -> None:
        # Each waiting pass has a dial of its own, but any connection that came free may have served it.
        if len(pool.waiting) > pool.dialing:
            self._end(pool.waiting.popleft(), AttemptResult(Status.CONNECT_FAILED))

    def _release(self, connection: Connection) -> None:
        pool = connection.pool
        # Looked at again when about to write: it may drain by now.
        if pool.state is not READY or (self.resting and not pool.waiting):
            connection.hang_up()
            self.count -= 1
        elif not self._usable(connection):
            self._dial_void(pool)  # it ended as it came up, and was the dial of a pass that waits
        else:
            self._serve(connection)

    def _serve(self, connection: Connection) -> None:
        # The first that waits and still stands goes over it; a connection may have come up late, or never.
        pool, void, now = connection.pool, list[int](), clock.now()
        while pool.waiting:
            handle = pool.waiting.popleft()
            going = self._passes.get(handle)
            assert going is not None
            if now < min(going.order.deadline, going.order.start_before) and going.order.is_connected():
                self._pass_on(connection, handle)
                break
            void.append(handle)
        else:
            connection.since = now
            pool.idle.append(connection)
        for handle in void:  # the server did nothing wrong: it is not held against it
            self._end(handle, AttemptResult(Status.MOOT))

    def _pass_on(self, connection: Connection, handle: int) -> None:
        going = self._passes.get(handle)
        assert going is not None and isinstance(going.order.payload, Call)
        if self._deadlines.is_stalled(clock.now()):
            # Guards a drain's grace against our own stall: the word of it may lie unread for longer than that.
            self.look()
            if connection.pool.state is not READY or self._passes.get(handle) is not going:
                connection.hang_up()
                self.count -= 1
                if self._passes.get(handle) is going:
                    self._end(handle, AttemptResult(Status.CONNECT_FAILED))
                return
        going.connection, connection.carries, connection.begun = connection, handle, False
        call, connection.flow = going.order.payload, None
        if call.flow is None:
            connection.write(call.write(max(1, int((going.order.deadline - clock.now()) * 1000.0))))
        else:  # the time of one that is not whole starts with its last byte
            connection.body = body = call.flow
            connection.narrow()
            connection.since = clock.now()
            self._deadlines.at(connection.since + HUNG, self._stuck, handle)
            body.when_whole(lambda: self._whole(handle, body.deadline))
            going.order.on_response_started(None)
            connection.write(call.write(call.wait))
            call.flow.attach(connection)

    def _whole(self, handle: int, deadline: float) -> None:
        # A long body has come whole from its sender, whose time runs from now on.
        going = self._passes.get(handle)
        if going is not None:
            going.due = self._deadlines.at(deadline, self._late, handle)

    def _stuck(self, handle: int) -> None:
        # Guards both ends of a long body against an application server that has gone without a word.
        going = self._passes.get(handle)
        connection = None if going is None else going.connection
        if connection is None or connection.body is None:
            return
        now = clock.now()
        due = connection.since + HUNG if not connection.flushed else now + HUNG
        if due > now:
            self._deadlines.at(due, self._stuck, handle)
        else:
            address = connection.pool.address
            log.say("body stuck", f"{address} takes nothing of a long body: never whole, it never ran", address=address)
            self._give_up(handle, Status.CONNECT_FAILED)

    def cut_off(self, connection: Connection) -> None:
        """A long body stops in the middle; closing is how the application server learns that."""
        self._give_up(connection.carries, Status.CANCELLED)

    def long_answer(self, connection: Connection, length: int) -> None:
        """A long answer begins: its deadline is met, and it goes to whoever asked."""
        handle, transport = connection.carries, connection.transport
        going = self._passes.get(handle)
        assert going is not None
        if going.due:
            self._deadlines.cancel(going.due)

        def pace(waits: bool) -> None:
            if waits:
                transport.pauseProducing()
            else:
                connection.since = clock.now()  # it could not move before
                transport.resumeProducing()

        connection.narrow()
        connection.flow = flow = Flow(length, pace, lambda: self._give_up(handle, Status.CANCELLED))
        if not going.order.on_response_started(flow):
            self._give_up(handle, Status.CANCELLED)

    def answered(self, connection: Connection, outcome: AttemptResult, clean: bool) -> None:
        """The pass out on this connection has its answer; if that was all, the connection is free first."""
        handle, connection.carries = connection.carries, -1
        self._unload(connection)
        if clean:
            self._release(connection)
        else:
            connection.hang_up()
            self.count -= 1
        self._end(handle, outcome)

    def expect_rest(self, connection: Connection) -> None:
        """An answer has begun: one that does not go on is as spoilt as one that cannot be read."""
        self._deadlines.at(clock.now() + STALL, self._stalled, connection.carries)

    def _stalled(self, handle: int) -> None:
        going = self._passes.get(handle)
        connection = None if going is None else going.connection
        if connection is None or not connection.begun:
            return
        flow, now = connection.flow, clock.now()
        due = connection.since + (STALL if flow is None else HUNG)
        if flow is not None and flow.waits:
            due = now + HUNG  # its reader takes its time
        if due <= now:
            connection.garbled("an answer was begun and not ended")
        else:
            self._deadlines.at(due, self._stalled, handle)

    @staticmethod
    def _unload(connection: Connection) -> None:
        # The pass has ended: the rest of a body is not wanted here, and that of an answer will not come.
        body, connection.body = connection.body, None
        flow, connection.flow = connection.flow, None
        if body is not None:
            body.discard()
        if flow is not None:
            flow.fail()

    def spoilt(self, connection: Connection) -> None:
        """A connection was given up as what it brought cannot be read."""
        self.count -= 1
        handle, connection.carries = connection.carries, -1
        sent = connection.sent()
        self._unload(connection)
        if handle >= 0:
            self._end(handle, AttemptResult(Status.ERROR if sent else Status.CONNECT_FAILED))
        elif connection in connection.pool.idle:
            connection.pool.idle.remove(connection)

    def lost(self, connection: Connection) -> None:
        """A connection ended; a pass not wholly written has never run, another one may have."""
        handle, connection.carries = connection.carries, -1
        self.count -= 1
        sent = connection.sent()
        self._unload(connection)
        if handle >= 0:
            address = connection.pool.address
            log.say("reset", f"{address} broke a connection with a proxy pass out", address=address)
            self._end(handle, AttemptResult(Status.RESET if sent else Status.CONNECT_FAILED))
        elif connection in connection.pool.idle:
            connection.pool.idle.remove(connection)

    def _late(self, handle: int) -> None:
        going = self._passes.get(handle)
        if going is not None:
            left = going.connection is not None and going.connection.sent()
            self._give_up(handle, Status.TIMEOUT if left else Status.CONNECT_FAILED)

    def _give_up(self, handle: int, status: Status) -> None:
        going = self._passes.get(handle)
        if going is None:
            return
        if going.connection is not None:  # closing it is how the other end learns that nobody waits
            connection, connection.carries = going.connection, -1
            connection.hang_up()
            self.count -= 1
            self._unload(connection)
        elif pool := self._pools.get(going.order.backend):
            pool.waiting.remove(handle)
        self._end(handle, AttemptResult(status))

    def _end(self, handle: int, outcome: AttemptResult) -> None:
        going = self._passes.remove(handle)
        if going is not None:
            if going.due:
                self._deadlines.cancel(going.due)
            going.ended.callback(outcome)

    def _sweep(self, _: int) -> None:
        now = clock.now()
        for pool in self._pools.values():
            while pool.idle and now - pool.idle[0].since > IDLE_SHARE * self.limits.connection_idle:
                pool.idle.pop(0).hang_up()
                self.count -= 1
        self._deadlines.at(now + SWEEP, self._sweep)
