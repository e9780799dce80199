"""The operators' endpoint: one command line a connection, one line back that begins with 200 or 400.

Callers may connect and send nothing, or never end their line. Each uses one of a few slots until its own deadline,
and the one that has been idle for longest is closed for a new one: no caller waits for another.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from thymeflow.limiter.phases import OperatorCommand
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.runtime.slot_table import SlotTable

MAX_LINE = 256  # bytes of a command line; the longest command has eight
MAX_CALLERS = 16  # callers at a time, out of the spare descriptors of the configuration
CALLER_TIMEOUT = 10.0  # s: from connecting to the end of the line, and again from the answer to the caller's close
MAX_ECHOED = 40  # bytes of an unknown command that the answer repeats

Call = Callable[[OperatorCommand], tuple[bool, str]]


def answer(line: bytes, call: Call) -> tuple[bool, str]:
    """Return whether the command of one line is accepted, and the reason as text."""
    try:
        command = OperatorCommand(line.decode("ascii").strip())
    except ValueError:  # also for bytes that are not ASCII
        known = ", ".join(command.value for command in OperatorCommand)
        return False, f"{line[:MAX_ECHOED]!r} is no call; it may be one of: {known}"
    return call(command)


class Caller(Protocol):
    """One operator's connection."""

    transport: Any

    def __init__(self, management: ManagementServer) -> None:
        self._management = management
        self._buffer = b""
        self._is_answered = False
        self.handle = -1
        self.active_at = clock.now()  # when it connected or was answered

    def connectionMade(self) -> None:
        """Register, which sets a deadline; the answer will leave at once."""
        self.transport.setTcpNoDelay(True)
        self.handle = self._management.register(self)

    def dataReceived(self, data: bytes) -> None:
        """Answer the one line; what follows it is a fault, and what follows the answer is discarded."""
        if self._is_answered:
            return
        self._buffer += data
        line, newline, rest = self._buffer.partition(b"\n")
        if len(line) > MAX_LINE:
            self.send(False, f"a call is one line of {MAX_LINE} bytes at most")
        elif newline and rest.strip():
            self.send(False, "a connection carries one call")
        elif newline:
            self.send(*answer(line, self._management.call))

    def send(self, is_accepted: bool, reason: str) -> None:
        """Answer, and let the caller close: a close with bytes unread would discard the answer."""
        self._is_answered = True
        self._buffer = b""
        self.active_at = clock.now()
        self.transport.write(b"%d %b\r\n" % (200 if is_accepted else 400, reason.encode("ascii", "replace")))
        self.transport.loseWriteConnection()
        self._management.expect_close(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  # Twisted passes it
        """Free the slot."""
        self._is_answered = True
        self._management.callers.remove(self.handle)


class ManagementServer(Factory):
    """The listening side."""

    noisy = False

    def __init__(self, deadlines: clock.Deadlines, call: Call) -> None:
        self._deadlines = deadlines
        self.call = call
        self.callers: SlotTable[Caller] = SlotTable(MAX_CALLERS)

    def buildProtocol(self, addr: IAddress | None) -> Caller:  # noqa: ARG002  # Twisted passes it
        """Accept a caller; where no slot is free, close the one that has been idle for longest."""
        if self.callers.is_full():
            oldest = min(self.callers.items(), key=lambda caller: caller.active_at)
            log.emit_rate_limited(
                LogKind.CALLS, f"all {MAX_CALLERS} connections are in use; the one that was idle for longest was closed"
            )
            self._close(oldest.handle)
        return Caller(self)

    def register(self, caller: Caller) -> int:
        """Return the caller's handle in the table, with its first deadline set."""
        handle = self.callers.add(caller)
        self._deadlines.schedule(clock.now() + CALLER_TIMEOUT, self._on_timeout, handle)
        return handle

    def expect_close(self, caller: Caller) -> None:
        """Set the deadline by which an answered caller should have closed."""
        self._deadlines.schedule(clock.now() + CALLER_TIMEOUT, self._on_timeout, caller.handle)

    def _on_timeout(self, handle: int) -> None:
        caller = self.callers.get(handle)
        if caller is not None and clock.now() - caller.active_at >= CALLER_TIMEOUT:
            self._close(handle)

    def _close(self, handle: int) -> None:
        caller = self.callers.remove(handle)
        if caller is not None:
            caller.transport.abortConnection()
