"""The watch on discovery: an HTTP/1.1 answer that never ends, with a JSON object for each change.

What is known holds while discovery is silent. A broken watch starts again from the last version, so nothing is
missed and nothing is asked for twice. There is one clock of silence, by when discovery was last heard: a watch that
is new and says nothing has no more of it than the one before.

Where lists are pushed, discovery is an agent on this machine, and what it has counts as told whether or not we are
connected: we are back at once. Where they are asked for, it is one service for the whole set, and what breaks one
watch breaks most of them: each asks again at a moment of its own, later as that fails, and in time all the same.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from thymeflow.discovery.http import Body, HttpError
from thymeflow.platform.endpoints import Address, EndpointUpdate, endpoint_update
from thymeflow.runtime import clock, log
from thymeflow.runtime.clock import STALL
from thymeflow.transport.connections import Stream, dial, unread

SILENCE = 6.0  # s: what a watch misses that has fallen silent counts as told by then
HEARTBEATS = 4.5  # s: two empty lines of an agent on this machine have not come: its watch is silent
CONNECT = 1.0  # s: to connect
FIRST = 1.0  # s: until user agents are let in by the list as it is known, where nothing was heard
WORD = (0.5, 2.0)  # s: without a first word, after which another watch is opened beside; pushed, asked for
MOST_TRIES = 3  # watches open or being opened, of which the first to speak is kept
PAUSE = 0.3  # s: most before the next try, where lists are pushed or the set is small
SPACING = 0.025  # s for each limiter of the set: over it first tries at a crowded service are spread
LONGEST = SILENCE - CONNECT - FIRST  # s: most between tries: with the dial and its first word told in time
GROWTH = 4.0  # times the bound with each failure: a crowded service also works on who has left
MOST_LOOKS = 64  # times a socket's buffer read at once, so that a torrent does not hold the turn


class Reading(Stream):
    """One GET and its answer."""

    def __init__(
        self, path: str, host: Address, message: Callable[[Reading, bytes], None], ended: Callable[[Reading, str], None]
    ) -> None:
        self._path, self._host, self._message, self._ended = path, host, message, ended
        self._body, self._over = Body(), False
        self.heard = 0.0  # when some of the body came last

    def connectionMade(self) -> None:
        """Ask."""
        super().connectionMade()
        self.write(f"GET {self._path} HTTP/1.1\r\nHost: {self._host}\r\nAccept: application/json\r\n\r\n".encode())

    def dataReceived(self, data: bytes) -> None:
        """Pass the messages on as they are complete."""
        try:
            found = self._body.feed(data)
        except HttpError as fault:
            self.end(str(fault))
            return
        if self._body.begun:
            self.heard = clock.now()
        for message in found:
            if not self._over:
                self._message(self, message)
        if self._body.done:
            self.end("the answer has ended")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The other end closed or broke it."""
        self.end("the connection has ended")

    def end(self, why: str) -> None:
        """Close, and say so once."""
        if not self._over:
            self._over = True
            self.transport.abortConnection()
            self._ended(self, why)


class BackOff:
    """Back-off between tries, with jitter; nowhere so long that a change could count as told before it is heard."""

    def __init__(self, limiters: int, seed: int, pushed: bool) -> None:
        self._rng, self._pushed = random.Random(seed), pushed
        self._bound = 0.0  # s: now
        self.resized(limiters)

    def resized(self, limiters: int) -> None:
        """The set is of another size: the bounds follow."""
        self._first = PAUSE if self._pushed else min(LONGEST, max(PAUSE, SPACING * limiters))
        self._last = PAUSE if self._pushed else LONGEST
        self._bound = max(self._first, min(self._last, self._bound))

    def next(self) -> float:
        """Seconds to wait now; the bound is higher next time, and then half of it at the least."""
        bound, self._bound = self._bound, min(self._last, GROWTH * self._bound)
        least = 0.0 if bound <= self._first else 0.5 * bound
        return least + (bound - least) * self._rng.random()

    def soon(self) -> float:
        """Seconds to wait where a watch fell silent: nobody said that discovery is crowded, and time runs out.

        What a silent watch misses counts as told 6 s after it fell silent, and a drain's grace later nothing may go
        there: of the second that is left the spread of a large set would take five. One try of each in a moment is
        what a service of any size is built for; the tries after it are spread if it turns some away.
        """
        return PAUSE * self._rng.random()

    def reset(self) -> None:
        """A watch was served: the next break is a new one."""
        self._bound = self._first


class Discovery:
    """The list as discovery tells it."""

    def __init__(
        self,
        reactor: Any,
        deadlines: clock.Deadlines,
        address: Address,
        version: int,
        changed: Callable[[EndpointUpdate], None],
        limiters: int,
        seed: int,
        pushed: bool = True,
    ) -> None:
        self._reactor, self._deadlines, self._address = reactor, deadlines, address
        self.back_off = BackOff(limiters, seed, pushed)
        self._pushed = pushed
        self._silence, self._word = (HEARTBEATS, WORD[0]) if pushed else (SILENCE, WORD[1])
        self._version, self._changed = version, changed
        self.is_ready = False  # a first word was heard, or is not to be had: the list is as good as it gets
        self.on_ready: Callable[[], None] = lambda: None
        self._watching: Reading | None = None  # the watch that spoke last, and is not silent
        self._open: list[Reading] = []  # all that are open, the oldest first
        self._dialling = 0
        self._turn = 0  # of the address; what is said of an earlier one is old
        self._waiting = False  # a try is due
        self._due: clock.Entry = []  # by when discovery has to be heard

    def start(self, by: float) -> None:
        """Begin to watch, and go on for good; `by` when to go on without a first word."""
        self._deadlines.at(by, self._unheard)
        self._try(0)

    def _unheard(self, _: int) -> None:
        now = clock.now()
        if self.is_ready:
            return
        if self._deadlines.is_stalled(now):  # it may be what waits to be read
            self._deadlines.at(now + STALL, self._unheard)
            return
        log.note("discovery", f"no word from {self._address}: the list as it was known counts", version=self._version)
        self._tell()

    def _tell(self) -> None:
        if not self.is_ready:
            self.is_ready = True
            self.on_ready()

    def look(self) -> None:
        """Read what waits to be read, as after a stall: it counts as told, and holds for what is sent from now on."""
        for reading in list(self._open):
            for _ in range(MOST_LOOKS):
                if not unread(reading.transport) or reading.transport.doRead() is not None:
                    break  # all is read; or it has ended, which the reactor finds too

    def move(self, address: Address) -> None:
        """Watch at another address from now on; the list and its version stay."""
        old, self._open, self._watching = self._open, [], None
        self._address, self._turn, self._dialling = address, self._turn + 1, 0
        self.back_off.reset()
        for reading in old:
            reading.end("moved")
        self._try(self._turn)

    def _hear_by(self, when: float) -> None:
        if self._due:
            self._deadlines.cancel(self._due)
        self._due = self._deadlines.at(when, self._quiet, self._turn)

    def _try(self, turn: int) -> None:
        if turn != self._turn:
            return
        self._waiting = False
        while self._open and len(self._open) + self._dialling >= MOST_TRIES:
            self._open.pop(0).end("it said nothing")
        self._hear_by(clock.now() + self._word)
        if self._dialling >= MOST_TRIES:
            return
        self._dialling += 1
        path = f"/api/targets?stream=1&index={self._version}"

        def ended(reading: Reading, why: str) -> None:
            self._ended(turn, reading, why)

        dialling = dial(
            self._reactor,
            self._deadlines,
            self._address,
            clock.now() + CONNECT,
            lambda: Reading(path, self._address, self._told, ended),
        )
        dialling.addCallbacks(self._up, self._not_up, callbackArgs=(turn,), errbackArgs=(turn,))

    def _up(self, reading: Reading, turn: int) -> None:
        if turn != self._turn:  # moved while it was dialled
            reading.end("moved")
            return
        self._dialling -= 1
        self._open.append(reading)
        if self._watching is not None:  # another has spoken meanwhile
            reading.end("there is another")

    def _not_up(self, failure: Failure, turn: int) -> None:
        if turn == self._turn:
            self._dialling -= 1
            self._broken(failure.getErrorMessage())

    def _ended(self, turn: int, reading: Reading, why: str) -> None:
        if turn != self._turn or reading not in self._open:
            return
        self._open.remove(reading)
        if self._watching in (None, reading):
            self._watching = None
            self._broken(why)

    def _broken(self, why: str) -> None:
        log.say("discovery", f"watch at {self._address} broke: {why}", address=self._address, version=self._version)
        if self._watching is None:
            self._again(self.back_off.next())

    def _again(self, pause: float) -> None:
        if not self._waiting:
            self._waiting = True
            self._deadlines.at(clock.now() + pause, self._try, self._turn)

    def _quiet(self, turn: int) -> None:
        # Nothing was heard for as long as a watch may be silent: another one is opened, beside those that are.
        if turn != self._turn:
            return
        now, watch = clock.now(), self._watching
        if watch is not None and watch.heard + self._silence > now:
            self._hear_by(watch.heard + self._silence)
            return
        if watch is None and any(reading.heard + self._word > now for reading in self._open):
            self._hear_by(now + self._word)  # a list comes in pieces
            return
        if watch is not None:
            log.say(
                "discovery",
                f"watch at {self._address} is silent for {self._silence:g} s",
                address=self._address,
                version=self._version,
            )
            self._watching = None
            self._again(self.back_off.soon())
        self._hear_by(now + self._word)
        if watch is None:
            self._again(0.0 if self._pushed else self.back_off.next())

    def _told(self, reading: Reading, message: bytes) -> None:
        self.back_off.reset()
        if self._watching is not reading:
            others, self._watching, self._open = self._open, reading, [reading]
            for other in others:
                if other is not reading:
                    other.end("there is another")
            self._hear_by(reading.heard + self._silence)
        change = self._read(message)
        if message and change is None:
            # The list stands. What this message held is asked for again, from the version before it.
            reading.end("unreadable message")
            return
        if change is not None:
            self._take(change)
        self._tell()

    @staticmethod
    def _read(message: bytes) -> EndpointUpdate | None:
        if not message:
            return None
        try:
            return endpoint_update(json.loads(message))
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError) as fault:
            log.say("discovery", f"unreadable message: {fault!r}")
            return None

    def _take(self, change: EndpointUpdate) -> None:
        version = change.change.version
        if version < self._version:
            # Told by one that lags, or late: what came after it was told already, and holds.
            log.say(
                "discovery",
                f"generation {version} is behind {self._version}, which was told: not taken",
                version=self._version,
            )
            return
        self._version = version
        self._changed(change)

    def fetch(self) -> None:
        """Ask for the whole list once, beside the watch; a failure leaves list and watch as they are."""
        due: list[clock.Entry] = []

        def told(reading: Reading, message: bytes) -> None:
            change = self._read(message)
            if change is not None:
                self._take(change)

        def ended(reading: Reading, why: str) -> None:
            for entry in due:
                self._deadlines.cancel(entry)

        def up(reading: Reading) -> None:
            due.append(self._deadlines.at(clock.now() + SILENCE, lambda _: reading.end("late")))

        def failed(_: Any) -> None:
            log.say("discovery", f"no list from {self._address}")

        dialling = dial(
            self._reactor,
            self._deadlines,
            self._address,
            clock.now() + CONNECT,
            lambda: Reading("/api/targets", self._address, told, ended),
        )
        dialling.addCallbacks(up, failed)
