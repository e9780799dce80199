"""The control socket: JSON objects, one a line in each direction, on a Unix socket that only its owner may open.

Every resource is bounded: the number of callers, the length of a line, the bytes that a caller has not read yet, and
the time within which a line must be complete. A caller that hangs occupies one slot until then, and nothing else.
"""

from __future__ import annotations

import contextlib
import json
import os
import socket
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IAddress, IFileDescriptorReceiver
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from thymeflow.handover.errors import ControlError as ControlError
from thymeflow.handover.errors import InvalidRequestError
from thymeflow.handover.reactor_types import ListeningPort, UnixReactor, UnixTransport
from thymeflow.runtime import clock
from thymeflow.runtime.slot_table import SlotTable

MAX_LINE_BYTES = 64 * 1024
MAX_UNSENT_BYTES = 1 << 20  # a caller that leaves more than these unread, such as a hung watch, is disconnected
MAX_DESCRIPTORS = 4  # received on one connection and not claimed yet
MAX_PATH_BYTES = 100  # of a Unix socket's path; the kernel's limit is 107 (unix(7))
OVERDUE_CHECKS_PER_TIMEOUT = 4.0
SOCKET_MODE = 0o600
PEER_CREDENTIALS_FORMAT = "3i"  # struct ucred: pid, uid, gid (unix(7))
INVALID_REQUEST_PREFIX = "ValueError"  # of the reply to an invalid request: a format, not the name of a class

Message = dict[str, Any]  # a JSON object as it is read or written; the keys are the format of each command
MessageHandler = Callable[["ControlCaller", Message], None]


def _do_nothing() -> None:
    """Ignore the end of a connection."""


@implementer(IFileDescriptorReceiver)
class ControlConnection(Protocol):
    """One connection that carries JSON objects, a line each, and file descriptors beside them."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.descriptors: list[int] = []  # received, in order; code that removes one has to close it
        self.is_closed = False

    @property
    def unix_transport(self) -> UnixTransport:
        """The transport, as a type that declares what is used of it here."""
        return cast("UnixTransport", self.transport)

    def is_same_user(self) -> bool:
        """Return whether the other end runs as the same user (SO_PEERCRED, unix(7))."""
        size = struct.calcsize(PEER_CREDENTIALS_FORMAT)
        credentials = self.unix_transport.getHandle().getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size)
        _, user_id, _ = struct.unpack(PEER_CREDENTIALS_FORMAT, credentials)
        return bool(user_id == os.geteuid())

    def send(self, message: Message, *descriptors: int) -> None:
        """Write a message, unless the connection is closed; the descriptors go with its first bytes."""
        if self.is_closed:
            return
        for descriptor in descriptors:
            self.unix_transport.sendFileDescriptor(descriptor)
        self.unix_transport.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    def fileDescriptorReceived(self, descriptor: int) -> None:
        """Keep a descriptor for the message that refers to it; close it at once if too many are unclaimed."""
        if len(self.descriptors) >= MAX_DESCRIPTORS:
            os.close(descriptor)
        else:
            os.set_inheritable(descriptor, False)
            self.descriptors.append(descriptor)

    def dataReceived(self, data: bytes) -> None:
        """Split the bytes into lines and handle each complete one."""
        *lines, remainder = (bytes(self._buffer) + data).split(b"\n")
        self._buffer = bytearray(remainder)
        for line in lines:
            if self.is_closed:
                return
            self._on_line(line)
        if len(self._buffer) > MAX_LINE_BYTES:
            self.reject(f"a line is longer than {MAX_LINE_BYTES} bytes")

    def _on_line(self, line: bytes) -> None:
        if len(line) > MAX_LINE_BYTES:
            self.reject(f"a line is longer than {MAX_LINE_BYTES} bytes")
            return
        try:
            message = json.loads(line)
        except (ValueError, RecursionError):
            self.reject("a line is no JSON")
            return
        if not isinstance(message, dict):
            self.reject("a line is no JSON object")
            return
        self.on_message(message)

    def on_message(self, message: Message) -> None:
        """Handle a complete message."""
        raise NotImplementedError

    def reject(self, cause: str) -> None:
        """Reply that the input cannot be processed, and close."""
        self.send({"ok": False, "why": cause})
        self.close()

    def close(self) -> None:
        """Close the connection once what was written has been sent."""
        self.unix_transport.loseConnection()

    def abort(self) -> None:
        """Close the connection at once, without sending what is still to be sent."""
        self.unix_transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002 (Twisted's signature)
        """Close the descriptors that were not claimed, and notify the subclass."""
        self.is_closed = True
        for descriptor in self.descriptors:
            os.close(descriptor)
        self.descriptors.clear()
        self.on_closed()

    def on_closed(self) -> None:
        """Handle the end of the connection."""


class ControlCaller(ControlConnection):
    """A client of the control server."""

    def __init__(self, server: ControlServer) -> None:
        super().__init__()
        self._server = server
        self.handle = -1
        self.is_persistent = False  # it watches or takes over, and need not send another line
        self.last_message_at = clock.now()
        self._on_disconnected: Callable[[], None] = _do_nothing

    def connectionMade(self) -> None:
        """Occupy a slot; reject the connection if none is free."""
        if self._server.callers.is_full():
            self.reject("the maximum number of callers is connected; try again in a moment")
            return
        self.handle = self._server.callers.add(self)
        self._server.schedule_overdue_check()

    def keep_open(self, on_disconnected: Callable[[], None]) -> None:
        """Expect no further lines from now on; `on_disconnected` is called when the connection ends."""
        self.is_persistent = True
        self._on_disconnected = on_disconnected

    def abort_silently(self) -> None:
        """Close the connection at once, without the callback of `keep_open`."""
        self._on_disconnected = _do_nothing
        self.abort()

    def on_message(self, message: Message) -> None:
        """Pass the message to the server's handler; a malformed one is answered and does not end the process."""
        self.last_message_at = clock.now()
        try:
            self._server.handler(self, message)
        except InvalidRequestError as error:
            self.send({"ok": False, "why": f"{INVALID_REQUEST_PREFIX}: {error}"})
        except (KeyError, ValueError, TypeError) as error:
            self.send({"ok": False, "why": f"{type(error).__name__}: {error}"})

    def is_overdue(self, timeout_seconds: float) -> bool:
        """Return whether no complete line came within the timeout, or too much that was sent is unread."""
        if not self.is_persistent and clock.now() - self.last_message_at > timeout_seconds:
            return True
        return self.count_unsent_bytes() > MAX_UNSENT_BYTES

    def count_unsent_bytes(self) -> int:
        """Return the number of bytes that the caller has not read yet."""
        transport = self.unix_transport
        return len(transport.dataBuffer) + sum(map(len, transport._tempDataBuffer))

    def on_closed(self) -> None:
        """Free the slot."""
        self._server.callers.remove(self.handle)
        self._on_disconnected()


class ControlServer(Factory):
    """The listening side of a control socket.

    Each process listens at a path of its own; the public path is a symbolic link to it, so that the name moves
    from one process to the next in one atomic step.
    """

    noisy = False

    def __init__(
        self,
        reactor: UnixReactor,
        deadlines: clock.Deadlines,
        path: Path,
        max_callers: int,
        timeout_seconds: float,
        handler: MessageHandler,
    ) -> None:
        self._reactor = reactor
        self._deadlines = deadlines
        self._path = path
        self._timeout_seconds = timeout_seconds
        self.callers: SlotTable[ControlCaller] = SlotTable(max_callers)
        self.handler = handler
        self._socket_path = path.with_name(f"{path.stem}.{os.getpid()}.sock")
        self._port: ListeningPort | None = None
        self._is_check_scheduled = False

    def buildProtocol(self, addr: IAddress | None) -> ControlCaller:  # noqa: ARG002 (Twisted's signature)
        """Return the protocol of a new caller."""
        return ControlCaller(self)

    def listen(self) -> None:
        """Open the socket at this process's path, then let the public path point to it.

        :raises ControlError: if the path is too long or cannot be listened at.
        :raises OSError: if a file beside it cannot be written.
        """
        if len(os.fsencode(self._socket_path)) > MAX_PATH_BYTES:
            message = f"{self._socket_path} is longer than {MAX_PATH_BYTES} bytes; set a shorter [daemon] state"
            raise ControlError(message)
        self._remove_stale_socket()
        with contextlib.suppress(FileNotFoundError):
            self._socket_path.unlink()
        try:
            self._port = self._reactor.listenUNIX(str(self._socket_path), self, mode=SOCKET_MODE)
        except CannotListenError as error:  # not an OSError, though it wraps one
            message = f"{self._socket_path}: {error.socketError}"
            raise ControlError(message) from None
        self.publish_link()

    def _remove_stale_socket(self) -> None:
        # A killed process leaves its socket behind; the socket of a running one stays.
        with contextlib.suppress(OSError):
            previous_socket = self._path.with_name(os.readlink(self._path))
            if not is_listening(previous_socket):
                previous_socket.unlink()

    def publish_link(self) -> None:
        """Let the public path point to this process's socket, in one atomic step."""
        link = self._path.with_name(f".{self._path.name}.{os.getpid()}")
        with contextlib.suppress(FileNotFoundError):
            link.unlink()
        link.symlink_to(self._socket_path.name)
        os.replace(link, self._path)

    def close(self) -> None:
        """Close the socket and all connections, and remove the public path if it still points here."""
        with contextlib.suppress(OSError):
            if os.readlink(self._path) == self._socket_path.name:
                self._path.unlink()
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        for caller in self.callers.items():
            caller.close()

    def remove_socket_file(self) -> None:
        """Remove this process's socket file after the reactor has stopped, in case `close` had no time to."""
        with contextlib.suppress(OSError):
            self._socket_path.unlink()

    def schedule_overdue_check(self) -> None:
        """Schedule the next check for callers that hang; no timer runs while there are no callers."""
        if not self._is_check_scheduled:
            self._is_check_scheduled = True
            interval = self._timeout_seconds / OVERDUE_CHECKS_PER_TIMEOUT
            self._deadlines.schedule(clock.now() + interval, self._disconnect_overdue_callers)

    def _disconnect_overdue_callers(self, _: int) -> None:
        self._is_check_scheduled = False
        for caller in self.callers.items():
            if caller.is_overdue(self._timeout_seconds):
                caller.abort()
        if len(self.callers):
            self.schedule_overdue_check()


def is_listening(path: Path) -> bool:
    """Return whether a process listens at a Unix socket; never blocks."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as connection:
        connection.setblocking(False)
        try:
            connection.connect(str(path))
        except BlockingIOError:
            return True  # its queue is full, so there is a listener
        except OSError:
            return False
    return True
