"""Where operators call: one line a connection, one line back that begins with 200 or 400.

Callers may connect and say nothing, or never end their line. Each holds one of a few places until its own
deadline, and the one that has been silent for longest makes room: nobody waits behind another.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from thymeflow.limiter.phases import Word
from thymeflow.runtime import clock, log
from thymeflow.runtime.slot_table import SlotTable

MOST_LINE = 256  # bytes of a call; the longest word has eight
PLACES = 16  # callers at a time, out of the spare descriptors of the configuration
PATIENCE = 10.0  # s: from connecting to the end of the line, and again from the answer to the caller's close

Call = Callable[[Word], tuple[bool, str]]


def answer(line: bytes, call: Call) -> tuple[bool, str]:
    """Whether the answer to one line is yes, and the reason in words."""
    try:
        word = Word(line.decode("ascii").strip())
    except ValueError:  # also what is no ASCII
        known = ", ".join(word.value for word in Word)
        return False, f"{line[:40]!r} is no call; it may be one of: {known}"
    return call(word)


class Caller(Protocol):
    """One connection."""

    transport: Any

    def __init__(self, management: Management) -> None:
        self._management, self._held, self._answered = management, b"", False
        self.handle, self.since = -1, clock.now()

    def connectionMade(self) -> None:
        """Take a place, and a deadline; the answer leaves at once."""
        self.transport.setTcpNoDelay(True)
        self.handle = self._management.place(self)

    def dataReceived(self, data: bytes) -> None:
        """Answer the one line; what follows it is a fault, and what follows the answer is not read."""
        if self._answered:
            return
        self._held += data
        line, ended, rest = self._held.partition(b"\n")
        if len(line) > MOST_LINE:
            self.send(False, f"a call is one line of {MOST_LINE} bytes at most")
        elif ended and rest.strip():
            self.send(False, "a connection carries one call")
        elif ended:
            self.send(*answer(line, self._management.call))

    def send(self, yes: bool, why: str) -> None:
        """Answer, and let the caller close: a close with bytes unread would take the answer away."""
        self._answered, self._held, self.since = True, b"", clock.now()
        self.transport.write(b"%d %b\r\n" % (200 if yes else 400, why.encode("ascii", "replace")))
        self.transport.loseWriteConnection()
        self._management.wait(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Its place is free."""
        self._answered = True
        self._management.callers.remove(self.handle)


class Management(Factory):
    """The listening side."""

    noisy = False

    def __init__(self, deadlines: clock.Deadlines, call: Call) -> None:
        self._deadlines, self.call = deadlines, call
        self.callers: SlotTable[Caller] = SlotTable(PLACES)

    def buildProtocol(self, addr: Any) -> Caller:
        """A new caller; where no place is left, whoever has been silent for longest goes."""
        if self.callers.is_full():
            oldest = min(self.callers.items(), key=lambda caller: caller.since)
            log.say("calls", f"all {PLACES} places are taken; the caller that was silent for longest was closed")
            self._drop(oldest.handle)
        return Caller(self)

    def place(self, caller: Caller) -> int:
        """Its handle in the table, with the first deadline set."""
        handle = self.callers.add(caller)
        self._deadlines.at(clock.now() + PATIENCE, self._late, handle)
        return handle

    def wait(self, caller: Caller) -> None:
        """It was answered, and should close by itself."""
        self._deadlines.at(clock.now() + PATIENCE, self._late, caller.handle)

    def _late(self, handle: int) -> None:
        caller = self.callers.get(handle)
        if caller is not None and clock.now() - caller.since >= PATIENCE:
            self._drop(handle)

    def _drop(self, handle: int) -> None:
        caller = self.callers.remove(handle)
        if caller is not None:
            caller.transport.abortConnection()
