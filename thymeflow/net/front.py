"""User agents: their commands, answers in the order of the commands, and their departures.

This front speaks RESP2; all it does with a request is to hand it to the core and to wait for the
answer, which is all that another front would do.
"""

from __future__ import annotations

import contextlib
import socket
from collections import deque
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from thymeflow import interface as api
from thymeflow.net import clock, log, resp
from thymeflow.net.call import QUERY, SUBMIT, CallError, Reader
from thymeflow.net.core import Answer, Core, Offer, Verdict
from thymeflow.net.link import Stream, unread
from thymeflow.net.table import Table

MOST_PLACES = 64       # commands of one user agent that are not answered; then it is not read from
OVERHEAD = 2048        # bytes that a request takes beside its own
ATTENTION = (b"CLIENT", b"SELECT")
SWEEP = 0.1            # s: between looks at who says nothing
SILENT = 2.3           # s: from connecting to the first whole command, or from the rest of one to its end
KEPT = 4.0             # s: with nothing open, for a user agent that has asked; it would come again
IDLE = 2.0             # s: the same where places are wanted; before, it may be about to ask
NEW = 0.05             # s: the same for one that has said nothing, as usual ones ask as they connect
CROWDED = 0.35         # of the places: from here on they are wanted; user agents have a limit of their own
FRESH = 0.25           # s: at the end, for one that has just connected and is about to ask
LINGER = 1.0           # s: from an error line that ends a connection to its close
DISCARD = 256 * 1024   # bytes that are read meanwhile and thrown away
MOST_GOING = 24        # connections dropped to make room whose descriptors are not free yet


class Place:
    """A command's place in the order of answers."""

    __slots__ = ("answer", "due")

    def __init__(self, answer: bytes | None = None) -> None:
        self.answer = answer
        self.due: Deferred[Answer] | None = None


def written(answer: Answer) -> bytes:
    """A final answer as RESP2; advice is in whole milliseconds, rounded up."""
    if answer.verdict is Verdict.SERVED:
        return resp.bulk(answer.value)
    if answer.verdict is Verdict.FAILED:
        return b"-ERR failed\r\n"
    return b"-BUSY %d\r\n" % -int(-answer.wait * 1000.0 // 1) if answer.wait > 0.0 else b"-BUSY\r\n"


class UserAgent(Stream):
    """One connection."""

    def __init__(self, front: Front) -> None:
        self._front, self._parser = front, resp.Parser()
        self._places: deque[Place] = deque()
        self.handle = -1
        self._reading = True        # what we told the transport
        self._last = False          # close once all is answered
        self._lingers = False       # and then first let the other end read the error line
        self._ended = False         # all is said; what still comes is thrown away
        self._dropped = False       # its slot was given to another
        self._spoken = False        # a whole command has come
        self._asked = False         # a request has come; whoever says PING alone is not served by staying
        self._since = 0.0           # when it last did something of use, or was last answered
        self._discarded = 0         # bytes thrown away
        self._held = 0              # bytes of answers that wait for earlier ones, or for the user agent

    def connectionMade(self) -> None:
        """Take a slot."""
        self.handle, self._since = self._front.agents.add(self), clock.now()
        super().connectionMade()

    def resumeProducing(self) -> None:
        """It takes its answers."""
        super().resumeProducing()
        self._taken()
        self._flush()

    def _hold(self, change: int) -> None:
        self._held += change
        self._front.held += change

    def _taken(self) -> None:
        # All that was written has left, so only answers that wait for earlier ones are held.
        self._hold(sum(len(place.answer or b"") for place in self._places) - self._held)

    def _pace(self) -> None:
        # From a user agent that does not take its answers, nothing more is taken.
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
        if self._last:
            self._discarded += len(data)
            self._pace()
            return
        before = self._parser.held()
        found, fault = self._parser.feed(data)
        if found:
            self._spoken, self._since = True, clock.now()
        for value in found:
            if self._last:
                return
            if isinstance(value, list) and all(type(word) is bytes for word in value):
                if value:
                    self._command(value)   # type: ignore[arg-type]
            else:
                fault = "a command is an array of bulk strings"
                break
        self._front.taken_in(self._parser.held() - before)
        if fault and not self._last:
            self._garbled(fault)
        self._flush()
        if self._front.emptying and (self._asked or self._front.closing):
            self.finish()

    def _garbled(self, fault: str) -> None:
        # Where the next command begins is not known any more: one line, then the end.
        log.say("user agent garbled", fault)
        self._lingers = True
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
            kept = 0.0              # who asks nothing at once is sent away, and who says PING often stays
        if self._ended or not self.flushed:
            if idle > (LINGER if self._ended else KEPT):
                self.transport.abortConnection()
        elif self._last:
            return
        elif self._parser.held():
            if idle > SILENT:
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
                self._say(b"-LOADING not able to serve yet\r\n")
            else:
                self._say(resp.bulk(words[1]) if len(words) == 2 else b"+PONG\r\n")
        elif name in ATTENTION:
            self._say(b"+OK\r\n")
        elif name == b"QUIT":
            self._say(b"+OK\r\n")
            self.finish()
        else:
            self._say(resp.problem(f"ERR unknown command '{name[:32].decode('ascii', 'replace')}'"))

    def _transaction(self, words: list[bytes]) -> None:
        core = self._front.core
        try:
            call, request = self._front.reader.read(words)
            if core.known(request.id):
                raise CallError("that id is in hand")
        except CallError as fault:
            log.say("user agent wrong", str(fault))
            self._say(resp.problem(f"ERR {fault}"))
            return
        place, self._asked = Place(), True
        self._places.append(place)
        size = OVERHEAD + len(call.before) + len(call.after) + len(call.body or b"")
        place.due = core.take(Offer(request, clock.now() + request.remaining, call, size))
        place.due.addCallbacks(self._answered, lambda _: None, callbackArgs=(place,))

    def _say(self, line: bytes) -> None:
        self._places.append(Place(line))

    def _answered(self, answer: Answer, place: Place) -> None:
        place.answer = written(answer)
        self._hold(len(place.answer))
        if self._places and self._places[0] is place:
            self._flush()
        if self._front.held > self._front.most_held:
            # Guards the memory limit, past which the whole limiter would be killed: one user agent that
            # asks behind its own slow request, or takes no answers, is let go instead.
            log.say("backlog", f"{self._front.held} bytes of answers are held; a connection was closed",
                    held=self._front.held)
            self.transport.abortConnection()

    def _flush(self) -> None:
        ready: list[bytes] = []
        while self._places and self._places[0].answer is not None:
            ready.append(self._places.popleft().answer or b"")
        if ready:
            self.write(b"".join(ready))
            if self.flushed:
                self._taken()
            if not self._places:
                self._since = clock.now()
        if self._last and not self._places and not self._ended:
            self._end()
        else:
            self._pace()

    def _end(self) -> None:
        if not self._lingers:
            self.transport.unregisterProducer()
            self.transport.loseConnection()
        elif self.flushed:
            # A close with bytes unread would reset the connection, and the error line might go with it.
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
        places, self._places = self._places, deque()
        self._hold(-self._held)
        self._front.taken_in(-self._parser.held())
        self._parser = resp.Parser()
        self._front.agents.remove(self.handle)
        self._front.going -= self._dropped
        for place in places:
            if place.due is not None and place.answer is None:
                place.due.cancel()
        self._front.gone()


class Front(Factory):
    """The listening side."""

    noisy = False

    def __init__(self, core: Core, settings: api.Settings, deadlines: clock.Deadlines, most: int,
                 most_held: int, most_input: int) -> None:
        self.core, self.reader, self._deadlines = core, Reader(settings), deadlines
        self.held, self.most_held = 0, most_held   # bytes of answers not taken yet; closing begins beyond
        self._input, self._most_input = 0, most_input   # bytes of commands that are not whole, likewise
        self._most = most
        self.agents: Table[UserAgent] = Table(most)
        self.going = 0
        self.emptying = False       # a connection ends with its last answer, or as it falls idle
        self.closing = False        # and no new one is taken
        self.able: Any = lambda: False      # set by the lifecycle: whether PING is answered
        self.gone: Any = lambda: None       # likewise: a user agent has left
        self._sweep(0)

    def buildProtocol(self, addr: Any) -> UserAgent | None:
        """A new connection, unless the descriptors are used up or we are about to end."""
        if self.closing:
            return None
        if self.agents.full():
            # Many user agents ask once and stay, and others say nothing: who has least use of its place goes.
            now = clock.now()
            least = max(self.agents.all(), key=lambda agent: agent.spare(now))
            if not least.spare(now) or self.going >= MOST_GOING:
                log.say("user agents", f"all {len(self.agents)} connections are in use; a new one was closed",
                        connections=len(self.agents))
                return None
            least.drop()
        return UserAgent(self)

    def limit(self, most: int, most_held: int, most_input: int) -> None:
        """Other bounds hold for what comes from now on."""
        self._most, self.most_held, self._most_input = most, most_held, most_input
        self.agents.limit(most)

    def taken_in(self, change: int) -> None:
        """Guards the memory limit against commands that are begun and not ended, on many connections."""
        self._input += change
        if change > 0 and self._input > self._most_input:
            log.say("input", f"{self._input} bytes of unfinished commands are held; the longest was let go")
            max(self.agents.all(), key=UserAgent.begun).drop()

    def _sweep(self, _: int) -> None:
        now = clock.now()
        # User agents keep a bounded number of connections: while we hold one that has no more use, they
        # cannot open another for the next request.
        kept = IDLE if len(self.agents) >= CROWDED * self._most else KEPT
        for agent in self.agents.all():
            agent.look(now, kept)
        self._deadlines.at(now + SWEEP, self._sweep)

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
        for agent in self.agents.all():
            # Who has just connected has a request on its way: a close that crosses it would lose it.
            if agent.fresh(now):
                self._deadlines.at(now + FRESH, self._finish_later, agent.handle)
            else:
                self._finish(agent)

    def _finish_later(self, handle: int) -> None:
        agent = self.agents.get(handle)
        if agent is not None and self.emptying:
            self._finish(agent)

    @staticmethod
    def _finish(agent: UserAgent) -> None:
        if not unread(agent.transport):   # what has come is read first, and answered before the end
            agent.finish()
