"""The management endpoint: an operator sends one command line per connection, and gets one line with 200 or 400.

A caller may connect and send nothing, or never end its line. Each caller occupies one of a few slots until its own
deadline. If all slots are occupied, a new caller replaces the one that was idle for longest, so that none has to wait.
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
# Connections that wait to be accepted. A connection beyond them is delayed by 1 s, after which its client tries again.
BACKLOG = 128
MAX_CALLERS = 16  # simultaneous callers; their descriptors are part of the reserved ones
# Seconds from the connect to the end of the line, and again from the answer until the caller closes the connection.
CALLER_TIMEOUT = 10.0
MAX_ECHOED = 40  # bytes of an unknown command that the answer repeats

CommandHandler = Callable[[OperatorCommand], tuple[bool, str]]


def execute_line(line: bytes, execute: CommandHandler) -> tuple[bool, str]:
    """Execute the command in a line; return whether it was accepted, and the reason as text."""
    try:
        command = OperatorCommand(line.decode("ascii").strip())
    except ValueError:  # UnicodeDecodeError, for bytes that are not ASCII, is a ValueError.
        known = ", ".join(command.value for command in OperatorCommand)
        return False, f"{line[:MAX_ECHOED]!r} is no call; it may be one of: {known}"
    return execute(command)


class Caller(Protocol):
    """One operator's connection."""

    transport: Any

    def __init__(self, management: ManagementServer) -> None:
        self._management = management
        self._buffer = b""
        self._is_answered = False
        self.handle = -1
        self.active_at = clock.now()  # time of the connect or of the answer

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm, so that the answer is sent at once, and register the caller."""
        self.transport.setTcpNoDelay(True)
        self.handle = self._management.register(self)

    def dataReceived(self, data: bytes) -> None:
        """Answer the line; reject bytes that follow it, and discard bytes that follow the answer."""
        if self._is_answered:
            return
        self._buffer += data
        line, newline, surplus = self._buffer.partition(b"\n")
        if len(line) > MAX_LINE:
            self.send(False, f"a call is one line of {MAX_LINE} bytes at most")
        elif newline and surplus.strip():
            self.send(False, "a connection carries one call")
        elif newline:
            self.send(*execute_line(line, self._management.execute))

    def send(self, is_accepted: bool, reason: str) -> None:
        """Send the answer; the caller closes, because closing here with unread bytes would discard the answer."""
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
    """Accepts operators' connections, and closes them after their timeout."""

    noisy = False

    def __init__(self, deadlines: clock.Deadlines, execute: CommandHandler) -> None:
        self._deadlines = deadlines
        self.execute = execute
        self.callers: SlotTable[Caller] = SlotTable(MAX_CALLERS)

    def buildProtocol(self, addr: IAddress | None) -> Caller:  # noqa: ARG002  # Twisted passes it
        """Accept a caller; if no slot is free, close the caller that was idle for longest."""
        if self.callers.is_full():
            oldest = min(self.callers.items(), key=lambda caller: caller.active_at)
            log.emit_rate_limited(
                LogKind.CALLS,
                f"all {MAX_CALLERS} management connections are in use; the one idle for longest was closed",
            )
            self._close(oldest.handle)
        return Caller(self)

    def register(self, caller: Caller) -> int:
        """Add a caller to the table, set its first deadline and return its handle."""
        handle = self.callers.add(caller)
        self._deadlines.schedule(clock.now() + CALLER_TIMEOUT, self._on_timeout, handle)
        return handle

    def expect_close(self, caller: Caller) -> None:
        """Set the deadline by which an answered caller has to close its connection."""
        self._deadlines.schedule(clock.now() + CALLER_TIMEOUT, self._on_timeout, caller.handle)

    def _on_timeout(self, handle: int) -> None:
        caller = self.callers.get(handle)
        if caller is not None and clock.now() - caller.active_at >= CALLER_TIMEOUT:
            self._close(handle)

    def _close(self, handle: int) -> None:
        caller = self.callers.remove(handle)
        if caller is not None:
            caller.transport.abortConnection()
