"""The control socket: one JSON object a line each way, on a Unix socket that only its owner may open.

Bounded on every side: callers, bytes of a line, bytes that a caller does not take, and the time in which a line
must be whole. A caller that hangs holds a place until then, and nothing else.
"""

from __future__ import annotations

import contextlib
import json
import os
import socket
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from thymeflow.runtime import clock
from thymeflow.runtime.slot_table import SlotTable

MOST_LINE = 64 * 1024
MOST_OWED = 1 << 20  # bytes of answers that a caller has not taken; a watch that hangs ends there
MOST_DESCRIPTORS = 4  # passed in and not asked for yet
MOST_PATH = 100  # bytes of a Unix socket's path; the kernel takes 107 (unix(7))

Message = dict[str, Any]
Served = Callable[["ControlCaller", Message], None]


class ControlError(Exception):
    """The control socket cannot be opened; the text says why and what to do."""


@implementer(IFileDescriptorReceiver)
class ControlConnection(Protocol):
    """One connection that carries JSON objects, a line each, and descriptors beside them."""

    transport: Any
    factory: Any

    def __init__(self) -> None:
        self._held = bytearray()
        self.descriptors: list[int] = []  # passed in, in order; whoever takes one owns it
        self.closed = False

    def is_same_user(self) -> bool:
        """Whether the other end runs as the same user (SO_PEERCRED, unix(7))."""
        told = self.transport.getHandle().getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
        return bool(struct.unpack("3i", told)[1] == os.geteuid())

    def send(self, message: Message, *descriptors: int) -> None:
        """Write a message; the descriptors go with its first bytes."""
        if self.closed:
            return
        for descriptor in descriptors:
            self.transport.sendFileDescriptor(descriptor)
        self.transport.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    def fileDescriptorReceived(self, descriptor: int) -> None:
        """Keep a descriptor for the message that names it; more than are ever named are closed at once."""
        if len(self.descriptors) >= MOST_DESCRIPTORS:
            os.close(descriptor)
        else:
            os.set_inheritable(descriptor, False)
            self.descriptors.append(descriptor)

    def dataReceived(self, data: bytes) -> None:
        """Cut into lines."""
        *whole, rest = (bytes(self._held) + data).split(b"\n")
        self._held = bytearray(rest)
        for line in whole:
            if self.closed:
                return
            self._line(line)
        if len(self._held) > MOST_LINE:
            self.fault(f"a line is longer than {MOST_LINE} bytes")

    def _line(self, line: bytes) -> None:
        if len(line) > MOST_LINE:
            self.fault(f"a line is longer than {MOST_LINE} bytes")
            return
        try:
            message = json.loads(line)
        except (ValueError, RecursionError):
            self.fault("a line is no JSON")
            return
        if not isinstance(message, dict):
            self.fault("a line is no JSON object")
            return
        self.message(message)

    def message(self, message: Message) -> None:
        """A whole message."""
        raise NotImplementedError

    def fault(self, why: str) -> None:
        """What came cannot be followed: one line, and the end."""
        self.send({"ok": False, "why": why})
        self.close()

    def close(self) -> None:
        """End it; what was written still goes."""
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """It has ended: descriptors that nobody took are closed."""
        self.closed = True
        for descriptor in self.descriptors:
            os.close(descriptor)
        self.descriptors.clear()
        self.on_closed()

    def on_closed(self) -> None:
        """The connection has ended."""


class ControlCaller(ControlConnection):
    """Somebody who asks."""

    def __init__(self, control: ControlServer) -> None:
        super().__init__()
        self._control, self.handle = control, -1
        self.is_persistent = False  # it watches or takes over: no line is owed
        self.since = clock.now()
        self.on_disconnected: Callable[[], None] = lambda: None

    def connectionMade(self) -> None:
        """Take a place; where none is left, say so and close."""
        if self._control.callers.is_full():
            self.fault("all places for callers are taken; try again in a moment")
            return
        self.handle = self._control.callers.add(self)
        self._control.look_later()

    def message(self, message: Message) -> None:
        """Hand it on; a fault of ours must not end the limiter."""
        self.since = clock.now()
        try:
            self._control.handler(self, message)
        except (KeyError, ValueError, TypeError) as fault:
            self.send({"ok": False, "why": f"{type(fault).__name__}: {fault}"})

    def overdue(self, patience: float) -> bool:
        """Whether it has held its place too long without a whole line, or does not take its answers."""
        return (not self.is_persistent and clock.now() - self.since > patience) or self.unsent_bytes() > MOST_OWED

    def unsent_bytes(self) -> int:
        """Bytes that it has not taken."""
        transport = self.transport
        return len(transport.dataBuffer) + sum(map(len, transport._tempDataBuffer))

    def on_closed(self) -> None:
        """Its place is free."""
        self._control.callers.remove(self.handle)
        self.on_disconnected()


class ControlServer(Factory):
    """The listening side."""

    noisy = False

    def __init__(
        self, reactor: Any, deadlines: clock.Deadlines, path: Path, most: int, patience: float, served: Served
    ) -> None:
        self._reactor, self._deadlines, self._path, self._patience = reactor, deadlines, path, patience
        self.callers: SlotTable[ControlCaller] = SlotTable(most)
        self.handler = served
        self._own = path.with_name(f"{path.stem}.{os.getpid()}.sock")
        self._port: Any = None
        self._looking = False

    def buildProtocol(self, addr: Any) -> ControlCaller:
        """A new caller."""
        return ControlCaller(self)

    def listen(self) -> None:
        """Open the socket under a path of our own, then let the name point to it in one step."""
        if len(os.fsencode(self._own)) > MOST_PATH:
            raise ControlError(f"{self._own} is longer than {MOST_PATH} bytes; set a shorter [daemon] state")
        with contextlib.suppress(OSError):
            target = os.readlink(self._path)  # what a killed process left behind; a living one's stays
            stale = self._path.with_name(target)
            if not answers(stale):
                stale.unlink()
        with contextlib.suppress(FileNotFoundError):
            self._own.unlink()
        try:
            self._port = self._reactor.listenUNIX(str(self._own), self, mode=0o600)
        except CannotListenError as fault:  # no OSError, though it stands for one
            raise ControlError(f"{self._own}: {fault.socketError}") from None
        self.point()

    def point(self) -> None:
        """Let the name point to our socket, in one step."""
        link = self._path.with_name(f".{self._path.name}.{os.getpid()}")
        with contextlib.suppress(FileNotFoundError):
            link.unlink()
        link.symlink_to(self._own.name)
        os.replace(link, self._path)

    def close(self) -> None:
        """Close, and take the name away where it still is ours."""
        with contextlib.suppress(OSError):
            if os.readlink(self._path) == self._own.name:
                self._path.unlink()
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        for caller in self.callers.all():
            caller.close()

    def tidy(self) -> None:
        """After the reactor: nothing of ours stays in the folder, however soon it ended after `close`."""
        with contextlib.suppress(OSError):
            self._own.unlink()

    def look_later(self) -> None:
        """Guards the places against callers that hang; nothing runs while there are none."""
        if not self._looking:
            self._looking = True
            self._deadlines.at(clock.now() + self._patience / 4.0, self._look)

    def _look(self, _: int) -> None:
        self._looking = False
        for caller in self.callers.all():
            if caller.overdue(self._patience):
                caller.transport.abortConnection()
        if len(self.callers):
            self.look_later()


def answers(path: Path) -> bool:
    """Whether somebody listens at a Unix socket; asked once at a start, never waits."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.setblocking(False)
        try:
            probe.connect(str(path))
        except BlockingIOError:
            return True  # its queue is full: it lives
        except OSError:
            return False
    return True
