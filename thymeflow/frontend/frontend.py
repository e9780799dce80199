"""User agents: their commands, answers in the order of the commands, and their departures.

This front speaks RESP2; all it does with a request is to hand it to the core and to wait for the
answer, which is all that another front would do.
"""

from __future__ import annotations

import contextlib
import socket
from collections import deque
from heapq import nlargest
from math import inf
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from thymeflow.core.dispatcher import RequestDispatcher
from thymeflow.core.types import IncomingRequest, Response, ResponseKind
from thymeflow.decision.events import RequestReceived
from thymeflow.decision.settings import GatewaySettings
from thymeflow.runtime import clock, log
from thymeflow.runtime.slot_table import SlotTable
from thymeflow.transport import resp
from thymeflow.transport.commands import QUERY, SUBMIT, CallError, Reader
from thymeflow.transport.connections import Stream, unread
from thymeflow.transport.flow import Flow

STUCK = 10.0  # s: without a byte taken of what was written, for a user agent that reads slowly
SLOW_BODY = 4  # number of a command's word that may come slowly, in pieces; the others are its head
MOST_PLACES = 64  # commands of one user agent that are not answered; then it is not read from
OVERHEAD = 2048  # bytes that a request takes beside its own
ATTENTION = (b"CLIENT", b"SELECT")
SWEEP = 0.1  # s: between looks at who says nothing
SILENT = 2.3  # s: to the first whole command, for the head of one, and without a byte of a body
KEPT = 4.0  # s: with nothing open, for a user agent that has asked; it would come again
IDLE = 2.0  # s: the same where places are wanted; before, it may be about to ask
NEW = 0.05  # s: the same for one that has said nothing, as usual ones ask as they connect
CROWDED = 0.35  # of the places: from here on they are wanted; user agents have a limit of their own
FRESH = 0.25  # s: at the end, for one that has just connected and is about to ask
LINGER = 1.0  # s: from an error line that ends a connection to its close
DISCARD = 256 * 1024  # bytes that are read meanwhile and thrown away
MORE = (resp.Part, resp.Closed, resp.End)  # of a long value
LATE = 0.005  # s: less than that a request has waited unread in any turn
FEW = 8  # connections looked at for one that may be dropped to make room
MOST_GOING = 24  # connections dropped to make room whose descriptors are not free yet


class PipelineSlot:
    """A command's place in the order of answers."""

    __slots__ = ("answer", "body", "due", "flow", "request", "started")

    def __init__(
        self, answer: bytes | None = None, request: RequestReceived | None = None, body: Flow | None = None
    ) -> None:
        self.answer, self.request = answer, request
        self.due: Deferred[Response] | None = None
        self.body = body  # a long one that has not come whole: the answer waits for its end
        self.flow: Flow | None = None  # a long answer, whose head `answer` is
        self.started = False  # that head has been written


def written(answer: Response) -> bytes:
    """A final answer as RESP2; advice is in whole milliseconds, rounded up."""
    if answer.kind is ResponseKind.SERVED:
        return resp.bulk(answer.value) if answer.stream is None else resp.bulk_head(answer.stream.length)
    if answer.kind is ResponseKind.FAILED:
        return b"-ERR failed\r\n"
    return b"-BUSY %d\r\n" % -int(-answer.retry_after * 1000.0 // 1) if answer.retry_after > 0.0 else b"-BUSY\r\n"


class ClientConnection(Stream):
    """One connection."""

    def __init__(self, front: Frontend) -> None:
        self._front, self._parser = front, resp.Parser(resp.MOST_LONG)
        self._begun = 0.0  # when the command that is not whole began
        self._moved = 0.0  # when bytes came or left last
        self._came = 0.0  # the earliest at which what is read now can have come
        self._body: PipelineSlot | None = None  # whose long body is on its way
        self._blocked = False  # it finds no room
        self._places: deque[PipelineSlot] = deque()
        self.handle = -1
        self._reading = True  # what we told the transport
        self._last = False  # close once all is answered
        self._ended = False  # all is said, and our end closed; what still comes is thrown away
        self._dropped = False  # its slot was given to another
        self._spoken = False  # a whole command has come
        self._asked = False  # a request has come; whoever says PING alone is not served by staying
        self._since = 0.0  # when it last did something of use, or was last answered
        self._discarded = 0  # bytes thrown away
        self._held = 0  # bytes of answers that wait for earlier ones, or for the user agent

    def connectionMade(self) -> None:
        """Take a slot."""
        self.handle, self._since = self._front.agents.add(self), clock.now()
        self._moved = self._since
        self._came = self._front.deadlines.earliest_arrival(self._since)
        super().connectionMade()

    def resumeProducing(self) -> None:
        """It takes its answers."""
        super().resumeProducing()
        self._moved = clock.now()
        self._taken()
        if self._places and self._places[0].started and self._places[0].flow is not None:
            self._places[0].flow.more()
        self._flush()

    def _hold(self, change: int) -> None:
        self._held += change
        self._front.held += change

    def _taken(self) -> None:
        # All that was written has left, so only answers that wait for earlier ones are held.
        self._hold(sum(len(place.answer or b"") for place in self._places) - self._held)

    def _pace(self) -> None:
        # From a user agent that does not take its answers, nothing more is taken.
        if self._body is not None:  # also where nothing more is taken on
            wanted = not self._blocked
        else:
            wanted = self.flushed and not self._last and len(self._places) < MOST_PLACES
        wanted = wanted or (self._ended and self._discarded < DISCARD)
        if wanted != self._reading:
            self._reading = wanted
            if wanted:
                self.transport.resumeProducing()
            else:
                self.transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:
        """Begin each command as it is whole; the answers wait for their turn."""
        if self._last and self._body is None:
            self._discarded += len(data)
            self._pace()
            return
        before, amid = self._parser.held(), self._parser.amid()
        found, fault = self._parser.feed(data)
        self._moved = clock.now()
        # What comes first on a connection may have come as early as that did, where that was a moment ago: a stall
        # since then is known. What comes slowly or after a rest has its time from its last byte on.
        new = not self._spoken and not amid and self._moved - self._since < clock.STALL
        self._came = min(self._front.deadlines.earliest_arrival(self._moved), self._came if new else inf)
        if found or not amid:
            self._begun = self._moved
        for value in found:
            if isinstance(value, MORE):
                self._more(value)
            elif self._last:
                return
            elif isinstance(value, list) and all(type(word) is bytes for word in value):
                self._spoken, self._since = True, self._moved
                if value:
                    self._command(value)  # type: ignore[arg-type]
            elif isinstance(value, resp.Begin):
                self._long(value)
            else:
                fault = "a command is an array of bulk strings"
                break
        self._front.taken_in(self._parser.held() - before)
        if fault and (not self._last or self._body is not None):
            self._garbled(fault)
        self._flush()
        if self._front.emptying and (self._asked or self._front.closing) and not self._parser.amid():
            self.finish()

    def _long(self, begin: resp.Begin) -> None:
        # A command with a long body: it is taken on by its head, and answered once the body has come.
        self._spoken = True
        self.narrow()
        words, flow = begin.before, Flow(begin.length, self._block, lambda: None)
        if all(type(word) is bytes for word in words) and len(words) == SLOW_BODY and not begin.after:
            self._transaction([*words, b""], flow)  # type: ignore[list-item]
        else:
            self._say(resp.problem("ERR a value is too long for this command"))
        self._body = self._places[-1]
        self._body.body = flow
        if self._body.answer is not None:
            flow.discard()

    def _more(self, event: resp.Part | resp.Closed | resp.End) -> None:
        place = self._body
        if place is None or place.body is None:
            return
        if isinstance(event, resp.Part):
            place.body.push(event.data)
        elif isinstance(event, resp.Closed):
            body, self._body, place.body, self._blocked = place.body, None, None, False
            if place.request is not None:
                body.deadline = self._came + place.request.remaining
                self._front.core.body_received(place.request.id, body.deadline)
            self._since = self._moved
            body.finish()

    def _block(self, waits: bool) -> None:
        self._blocked = waits and self._body is not None
        self._moved = clock.now()
        self._pace()

    def _drop_body(self) -> None:
        # It stops in the middle: whoever passes it on must not wait for the rest.
        place, self._body, self._blocked = self._body, None, False
        if place is not None and place.body is not None:
            body, place.body = place.body, None
            if place.due is not None and place.answer is None:
                place.due.cancel()
                place.answer = b""
            body.fail()

    def _garbled(self, fault: str) -> None:
        # Where the next command begins is not known any more: one line, then the end.
        log.say("user agent garbled", fault)
        self._drop_body()
        self._front.taken_in(-self._parser.held())
        self._parser = resp.Parser()
        self._say(resp.problem(f"ERR Protocol error: {fault}"))
        self.finish()

    def idle(self, now: float) -> float:
        """For how long it has had nothing open."""
        return 0.0 if self._places else now - self._since

    def fresh(self, now: float) -> bool:
        """Whether it has connected a moment ago and said nothing yet."""
        return not self._spoken and now - self._since < FRESH

    def amid(self) -> bool:
        """Whether part of a command has come."""
        return self._parser.amid()

    def begun(self) -> tuple[bool, int]:
        """Whether nothing else is open, and the bytes held of a command that is not whole."""
        return not self._places, self._parser.held()

    def spare(self, now: float) -> float:
        """How well its place could be used by another; 0: not at all."""
        idle = self.idle(now)
        if self._ended or (self._spoken and not self._asked and not self._places):
            return 2e6 + idle
        if not self._asked:
            return 1e6 + idle if idle > NEW else 0.0
        return idle if idle > IDLE else 0.0

    def look(self, now: float, kept: float) -> None:
        """Guards the table against those that say nothing, or never end what they say."""
        idle = self.idle(now)
        if self._front.emptying and idle > FRESH:
            kept = 0.0  # who asks nothing at once is sent away, and who says PING often stays
        if not self._reading and self.departed():
            self.transport.abortConnection()
        elif self._ended or not self.flushed:
            if idle > LINGER if self._ended else now - self._moved > STUCK:
                self.transport.abortConnection()
        elif self._body is not None:
            if not self._blocked and now - self._moved > SILENT:
                self._garbled("a value was begun and not ended")
        elif self._last:
            return
        elif self._parser.amid():
            head = self._parser.item != SLOW_BODY  # a body may take its time, but not stand still
            if now - (self._begun if head else self._moved) > SILENT:
                self._garbled("a command was begun and not ended")
        elif idle > (kept if self._asked else min(kept, SILENT)) and not unread(self.transport):
            self.finish()

    def drop(self) -> None:
        """Leave the slot to another, now."""
        self._dropped = True
        self._front.agents.remove(self.handle)
        self._front.going += 1
        self.transport.abortConnection()

    def _command(self, words: list[bytes]) -> None:
        name = words[0].upper()
        if name in (QUERY, SUBMIT):
            self._transaction(words)
        elif name == b"PING" and len(words) <= 2:
            if not self._front.able():
                self._say(resp.problem(f"LOADING {self._front.why()}"))
            else:
                self._say(resp.bulk(words[1]) if len(words) == 2 else b"+PONG\r\n")
        elif name in ATTENTION:
            self._say(b"+OK\r\n")
        elif name == b"QUIT":
            self._say(b"+OK\r\n")
            self.finish()
        else:
            self._say(resp.problem(f"ERR unknown command '{name[:32].decode('ascii', 'replace')}'"))

    def _transaction(self, words: list[bytes], body: Flow | None = None) -> None:
        core = self._front.core
        try:
            call, request = self._front.reader.read(words)
            if core.is_open(request.id):
                raise CallError("that id is in hand")
        except CallError as fault:
            log.say("user agent wrong", str(fault))
            self._say(resp.problem(f"ERR {fault}"))
            return
        place, self._asked = PipelineSlot(None, request, body), True
        self._places.append(place)
        if body is not None:
            call = call._replace(flow=body)
        size = OVERHEAD + len(call.before) + len(call.after) + len(call.body or b"")
        deadline = min(self._came + request.remaining, self._front.until) if body is None else inf
        if body is None and (self._moved - self._came > LATE or deadline == self._front.until):
            # Its time runs from when it reached this machine: what a stall took of it is gone, as is what comes
            # after the end of a process that was told to end.
            request = request._replace(remaining=deadline - self._moved)
        place.due = core.submit(IncomingRequest(request, deadline, call, size, self.present))
        place.due.addCallbacks(self._answered, lambda _: None, callbackArgs=(place,))

    def present(self) -> bool:
        """Whether it is still there, also where we do not read, or our turn came late."""
        return not self.departed()

    def _say(self, line: bytes) -> None:
        self._places.append(PipelineSlot(line))

    def _answered(self, answer: Response, place: PipelineSlot) -> None:
        place.answer, place.flow = written(answer), answer.stream
        if place.body is not None and answer.stream is None:
            place.body.discard()
        self._hold(len(place.answer))
        if self._places and self._places[0] is place:
            self._flush()
        if self._front.held > self._front.most_held:
            # Guards the memory limit, past which the whole limiter would be killed: one user agent that
            # asks behind its own slow request, or takes no answers, is let go instead.
            log.say(
                "backlog",
                f"{self._front.held} bytes of answers are held; a connection was closed",
                held=self._front.held,
            )
            self.transport.abortConnection()

    def _flush(self) -> None:
        ready: list[bytes] = []
        long: Flow | None = None
        while self._places and (place := self._places[0]).answer is not None and place.body is None:
            if place.started:
                break
            ready.append(place.answer or b"")
            if place.flow is not None:
                place.started, long = True, place.flow
                self.narrow()
                break
            self._places.popleft()
        if ready:
            self._moved = clock.now()
            self.write(b"".join(ready))
            if self.flushed:
                self._taken()
            if not self._places:
                self._since = self._moved
        if long is not None:
            long.attach(self)  # may write it to its end, and come back here
        elif self._last and not self._places and not self._ended:
            self._end()
        else:
            self._pace()

    # A long answer on its way: see `flow.Sink`.

    def part(self, data: bytes) -> None:
        """The next bytes."""
        self._moved = clock.now()
        self.write(data)

    def end(self) -> None:
        """It has been passed on whole; the next in line."""
        self.write(b"\r\n")
        self._places.popleft()
        self._since = clock.now()
        self._flush()

    def broken(self) -> None:
        """The rest will not come: a close tells the user agent that the value is not whole."""
        log.say("cut short", "a long answer broke off on its way; the user agent's connection was closed")
        self._last = True
        self._forget()
        self._end()

    def _end(self) -> None:
        # Lingering close: one over bytes that are unread would reset the connection, and take with it what the user
        # agent has not read. What comes from now on crosses our close, and is its to send again elsewhere.
        if self.flushed and not self._ended:
            self._ended, self._since = True, clock.now()
            with contextlib.suppress(OSError):
                self.transport.getHandle().shutdown(socket.SHUT_WR)
            self._pace()

    def finish(self) -> None:
        """Read no more, and close once what was taken is answered."""
        if not self._last:
            self._last = True
            self._pace()
            self._flush()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The user agent has left; none of its requests is owed an answer any more."""
        self._last = True
        self._drop_body()
        self._front.taken_in(-self._parser.held())
        self._parser = resp.Parser()
        self._front.agents.remove(self.handle)
        self._front.going -= self._dropped
        self._forget()
        self._front.gone()

    def _forget(self) -> None:
        # Nothing can be answered here any more.
        places, self._places = self._places, deque()
        self._hold(-self._held)
        for place in places:
            if place.due is not None and place.answer is None:
                place.due.cancel()
            elif place.flow is not None:
                place.flow.abandon()


class Frontend(Factory):
    """The listening side."""

    noisy = False

    def __init__(
        self,
        core: RequestDispatcher,
        settings: GatewaySettings,
        deadlines: clock.Deadlines,
        most: int,
        most_held: int,
        most_input: int,
    ) -> None:
        self.core, self.reader, self.deadlines = core, Reader(settings), deadlines
        self.held, self.most_held = 0, most_held  # bytes of answers not taken yet; closing begins beyond
        self._input, self._most_input = 0, most_input  # bytes of commands that are not whole, likewise
        self._most = most
        self.agents: SlotTable[ClientConnection] = SlotTable(most)
        self.going = 0
        self.met = 0  # connections accepted so far, those closed at once included
        self.emptying = False  # a connection ends with its last answer, or as it falls idle
        self.closing = False  # and no new one is taken
        self.until = inf  # when this process ends, however long a request may wait
        self.able: Any = lambda: False  # set by the lifecycle: whether PING is answered with yes
        self.why: Any = lambda: "starting"  # likewise: why not
        self.gone: Any = lambda: None  # likewise: a user agent has left
        self._sweep(0)

    def buildProtocol(self, addr: Any) -> ClientConnection | None:
        """A new connection, unless the descriptors are used up or we are about to end."""
        self.met += 1
        if self.closing:
            return None
        if self.agents.is_full():
            # Many user agents ask once and stay, and others say nothing: who has least use of its place goes.
            now = clock.now()
            # Bytes that wait there may be a request, which a close would lose.
            least = next(
                (
                    agent
                    for agent in nlargest(FEW, self.agents.items(), key=lambda agent: agent.spare(now))
                    if agent.spare(now) and not unread(agent.transport)
                ),
                None,
            )
            if least is None or self.going >= MOST_GOING:
                log.say(
                    "user agents",
                    f"all {len(self.agents)} connections are in use; a new one was closed",
                    connections=len(self.agents),
                )
                return None
            least.drop()
        return ClientConnection(self)

    def limit(self, most: int, most_held: int, most_input: int) -> None:
        """Other bounds hold for what comes from now on."""
        self._most, self.most_held, self._most_input = most, most_held, most_input
        self.agents.set_limit(most)

    def taken_in(self, change: int) -> None:
        """Guards the memory limit against commands that are begun and not ended, on many connections."""
        self._input += change
        if change > 0 and self._input > self._most_input:
            log.say("input", f"{self._input} bytes of unfinished commands are held; the longest was let go")
            max(self.agents.items(), key=ClientConnection.begun).drop()

    def _sweep(self, _: int) -> None:
        now = clock.now()
        # User agents keep a bounded number of connections: while we hold one that has no more use, they
        # cannot open another for the next request.
        kept = IDLE if len(self.agents) >= CROWDED * self._most else KEPT
        for agent in self.agents.items():
            agent.look(now, kept)
        self.deadlines.at(now + SWEEP, self._sweep)

    def close(self) -> None:
        """Take nothing more, and let go of all there are."""
        self.closing = True
        self.empty()

    def fill(self) -> None:
        """Back at work: what connects or asks from now on stays."""
        self.emptying = self.closing = False

    def empty(self) -> None:
        """Let go of user agents: idle connections end now, the others with their last answer."""
        self.emptying = True
        now = clock.now()
        for agent in self.agents.items():
            # Who has just connected has a request on its way: a close that crosses it would lose it.
            if agent.fresh(now):
                self.deadlines.at(now + FRESH, self._finish_later, agent.handle)
            else:
                self._finish(agent)

    def _finish_later(self, handle: int) -> None:
        agent = self.agents.get(handle)
        if agent is not None and self.emptying:
            self._finish(agent)

    @staticmethod
    def _finish(agent: ClientConnection) -> None:
        # What has come is read first, and answered before the end.
        if not agent.amid() and not unread(agent.transport):
            agent.finish()
