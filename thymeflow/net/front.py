"""User agents: their commands, answers in the order of the commands, and their departures.

This front speaks RESP2; all it does with a request is to hand it to the core and to wait for the
answer, which is all that another front would do.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from thymeflow import interface as api
from thymeflow.net import clock, log, resp
from thymeflow.net.call import QUERY, SUBMIT, CallError, Reader
from thymeflow.net.core import Answer, Core, Offer, Verdict
from thymeflow.net.link import Stream
from thymeflow.net.table import Table

MOST_PLACES = 64       # commands of one user agent that are not answered; then it is not read from
OVERHEAD = 2048        # bytes that a request takes beside its own
ATTENTION = (b"CLIENT", b"SELECT")


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
        self._handle = -1
        self._reading = True        # what we told the transport
        self._last = False          # close once all is answered
        self._held = 0              # bytes of answers that wait for earlier ones, or for the user agent

    def connectionMade(self) -> None:
        """Take a slot."""
        self._handle = self._front.agents.add(self)
        super().connectionMade()

    def resumeProducing(self) -> None:
        """It takes its answers."""
        super().resumeProducing()
        self._taken()
        self._pace()

    def _hold(self, change: int) -> None:
        self._held += change
        self._front.held += change

    def _taken(self) -> None:
        # All that was written has left, so only answers that wait for earlier ones are held.
        self._hold(sum(len(place.answer or b"") for place in self._places) - self._held)

    def _pace(self) -> None:
        # From a user agent that does not take its answers, nothing more is taken.
        wanted = self.flushed and not self._last and len(self._places) < MOST_PLACES
        if wanted != self._reading:
            self._reading = wanted
            if wanted:
                self.transport.resumeProducing()
            else:
                self.transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:
        """Begin each command as it is whole; the answers wait for their turn."""
        found, fault = self._parser.feed(data)
        for value in found:
            if self._last:
                return
            if isinstance(value, list) and all(type(word) is bytes for word in value):
                if value:
                    self._command(value)   # type: ignore[arg-type]
            else:
                fault = "a command is an array of bulk strings"
                break
        if fault and not self._last:
            # Where the next command begins is not known any more: one line, then the end.
            log.say("user agent garbled", fault)
            self._say(resp.problem(f"ERR Protocol error: {fault}"))
            self.finish()
        self._flush()

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
        place = Place()
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
            log.say("backlog", f"{self._front.held} bytes of answers are held; a connection was closed")
            self.transport.abortConnection()

    def _flush(self) -> None:
        ready: list[bytes] = []
        while self._places and self._places[0].answer is not None:
            ready.append(self._places.popleft().answer or b"")
        if ready:
            self.write(b"".join(ready))
            if self.flushed:
                self._taken()
        if self._last and not self._places:
            self.transport.unregisterProducer()
            self.transport.loseConnection()
        else:
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
        self._front.agents.remove(self._handle)
        for place in places:
            if place.due is not None and place.answer is None:
                place.due.cancel()
        self._front.gone()


class Front(Factory):
    """The listening side."""

    noisy = False

    def __init__(self, core: Core, settings: api.Settings, most: int, memory: int) -> None:
        self.core, self.reader = core, Reader(settings)
        self.held, self.most_held = 0, memory   # bytes of answers not taken yet; closing begins beyond
        self.agents: Table[UserAgent] = Table(most)
        self._closing = False
        self.able: Any = lambda: False      # set by the lifecycle: whether PING is answered
        self.gone: Any = lambda: None       # likewise: a user agent has left

    def buildProtocol(self, addr: Any) -> UserAgent | None:
        """A new connection, unless the descriptors are used up or we are about to end."""
        if self.agents.full():
            log.say("user agents", f"all {len(self.agents)} connections are taken; a new one was closed")
            return None
        return None if self._closing else UserAgent(self)

    def close(self) -> None:
        """Take nothing more: idle connections end now, the others with their last answer."""
        self._closing = True
        for agent in self.agents.all():
            agent.finish()
