"""The control socket: a Unix socket that only its owner may open, with one JSON object per line in each direction.

Every resource is bounded: the number of callers, the length of a line, the bytes that a caller has not read yet, and
the time within which a line must be complete. Until that time has passed, a caller that hangs occupies one slot only.
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
MAX_UNSENT_BYTES = 1 << 20  # A caller with more unread bytes, such as a hung watcher, is disconnected.
MAX_DESCRIPTORS = 4  # Unclaimed descriptors that one connection may have.
MAX_PATH_BYTES = 100  # The kernel limits the path of a Unix socket to 107 bytes (unix(7)).
OVERDUE_CHECKS_PER_TIMEOUT = 4.0
SOCKET_MODE = 0o600
PEER_CREDENTIALS_FORMAT = "3i"  # struct ucred: pid, uid, gid (unix(7))
INVALID_REQUEST_PREFIX = "ValueError"  # The first word of the reply: a format, not the name of the exception class.

Message = dict[str, Any]  # A JSON object as it is read or written; each command defines its keys.
MessageHandler = Callable[["ControlCaller", Message], None]


def _do_nothing() -> None:
    """Do nothing when the connection ends."""


@implementer(IFileDescriptorReceiver)
class ControlConnection(Protocol):
    """One connection that carries JSON objects, one per line, and the file descriptors sent with them."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.descriptors: list[int] = []  # Unclaimed, in order of arrival; code that removes one has to close it.
        self.is_closed = False

    @property
    def unix_transport(self) -> UnixTransport:
        """The transport, as a type that declares the methods used here."""
        return cast("UnixTransport", self.transport)

    def is_same_user(self) -> bool:
        """Return whether the peer process runs as the same user as this process (SO_PEERCRED, unix(7))."""
        size = struct.calcsize(PEER_CREDENTIALS_FORMAT)
        credentials = self.unix_transport.getHandle().getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size)
        _, user_id, _ = struct.unpack(PEER_CREDENTIALS_FORMAT, credentials)
        return bool(user_id == os.geteuid())

    def send(self, message: Message, *descriptors: int) -> None:
        """Write a message; its descriptors are sent with its first bytes. A closed connection ignores the call."""
        if self.is_closed:
            return
        for descriptor in descriptors:
            self.unix_transport.sendFileDescriptor(descriptor)
        self.unix_transport.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    def fileDescriptorReceived(self, descriptor: int) -> None:
        """Keep a descriptor until the message that refers to it; close it at once if MAX_DESCRIPTORS are unclaimed."""
        if len(self.descriptors) >= MAX_DESCRIPTORS:
            os.close(descriptor)
        else:
            os.set_inheritable(descriptor, False)
            self.descriptors.append(descriptor)

    def dataReceived(self, data: bytes) -> None:
        """Split the bytes into lines and handle each complete line."""
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
        """Reply with the cause for which the input cannot be processed, and close the connection."""
        self.send({"ok": False, "why": cause})
        self.close()

    def close(self) -> None:
        """Close the connection once all written bytes have been sent."""
        self.unix_transport.loseConnection()

    def abort(self) -> None:
        """Close the connection at once and drop all unsent bytes."""
        self.unix_transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002 (Twisted's signature)
        """Close the unclaimed descriptors and call `on_closed`."""
        self.is_closed = True
        for descriptor in self.descriptors:
            os.close(descriptor)
        self.descriptors.clear()
        self.on_closed()

    def on_closed(self) -> None:
        """Handle the end of the connection."""


class ControlCaller(ControlConnection):
    """The server's side of one caller's connection."""

    def __init__(self, server: ControlServer) -> None:
        super().__init__()
        self._server = server
        self.handle = -1
        self.is_persistent = False  # True for a caller that watches or takes over, which need not send another line.
        self.last_message_at = clock.now()
        self._on_disconnected: Callable[[], None] = _do_nothing

    def connectionMade(self) -> None:
        """Occupy a caller slot, or reject the connection if no slot is free."""
        if self._server.callers.is_full():
            self.reject("the maximum number of callers is connected; try again in a moment")
            return
        self.handle = self._server.callers.add(self)
        self._server.schedule_overdue_check()

    def keep_open(self, on_disconnected: Callable[[], None]) -> None:
        """Exempt the caller from the line timeout; `on_disconnected` is called when the connection ends."""
        self.is_persistent = True
        self._on_disconnected = on_disconnected

    def abort_silently(self) -> None:
        """Close the connection at once, without the callback that was passed to `keep_open`."""
        self._on_disconnected = _do_nothing
        self.abort()

    def on_message(self, message: Message) -> None:
        """Pass the message to the server's handler; a malformed message gets an error reply and raises nothing."""
        self.last_message_at = clock.now()
        try:
            self._server.handler(self, message)
        except InvalidRequestError as error:
            self.send({"ok": False, "why": f"{INVALID_REQUEST_PREFIX}: {error}"})
        except (KeyError, ValueError, TypeError) as error:
            self.send({"ok": False, "why": f"{type(error).__name__}: {error}"})

    def is_overdue(self, timeout_seconds: float) -> bool:
        """Return whether no complete line arrived within the timeout, or more than MAX_UNSENT_BYTES are unread."""
        if not self.is_persistent and clock.now() - self.last_message_at > timeout_seconds:
            return True
        return self.count_unsent_bytes() > MAX_UNSENT_BYTES

    def count_unsent_bytes(self) -> int:
        """Return the number of written bytes that the caller has not read yet."""
        transport = self.unix_transport
        return len(transport.dataBuffer) + sum(map(len, transport._tempDataBuffer))

    def on_closed(self) -> None:
        """Free the caller slot and call the callback that was passed to `keep_open`."""
        self._server.callers.remove(self.handle)
        self._on_disconnected()


class ControlServer(Factory):
    """The listening side of a control socket.

    Each process listens at a path of its own. The public path is a symbolic link to that path, so that the public
    path moves from one process to its successor in one atomic step.
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

        :raises ControlError: if the path is too long, or the socket cannot be opened there.
        :raises OSError: if the symbolic link cannot be created in the same folder.
        """
        if len(os.fsencode(self._socket_path)) > MAX_PATH_BYTES:
            message = f"{self._socket_path} is longer than {MAX_PATH_BYTES} bytes; set a shorter [daemon] state"
            raise ControlError(message)
        self._remove_stale_socket()
        with contextlib.suppress(FileNotFoundError):
            self._socket_path.unlink()
        try:
            self._port = self._reactor.listenUNIX(str(self._socket_path), self, mode=SOCKET_MODE)
        except CannotListenError as error:  # This class wraps an OSError but is no subclass of it.
            message = f"cannot listen at {self._socket_path}: {error.socketError}"
            raise ControlError(message) from None
        self.publish_link()

    def _remove_stale_socket(self) -> None:
        # A killed process leaves its socket file behind. The socket file of a running process must stay.
        with contextlib.suppress(OSError):
            previous_socket = self._path.with_name(os.readlink(self._path))
            if not is_listening(previous_socket):
                previous_socket.unlink()

    def publish_link(self) -> None:
        """Let the public path point to this process's socket, by replacing the link in one atomic step."""
        link = self._path.with_name(f".{self._path.name}.{os.getpid()}")
        with contextlib.suppress(FileNotFoundError):
            link.unlink()
        link.symlink_to(self._socket_path.name)
        os.replace(link, self._path)

    def close(self) -> None:
        """Close the socket and all connections, and remove the public path if it still points to this socket."""
        with contextlib.suppress(OSError):
            if os.readlink(self._path) == self._socket_path.name:
                self._path.unlink()
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        for caller in self.callers.items():
            caller.close()

    def remove_socket_file(self) -> None:
        """Remove this process's socket file after the reactor has stopped, in case `close` did not take effect."""
        with contextlib.suppress(OSError):
            self._socket_path.unlink()

    def schedule_overdue_check(self) -> None:
        """Schedule the next check for overdue callers; no timer runs while no caller is connected."""
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
    """Return whether a process listens at the Unix socket at `path`; never blocks."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as connection:
        connection.setblocking(False)
        try:
            connection.connect(str(path))
        except BlockingIOError:
            return True  # The accept queue is full, so a process listens.
        except OSError:
            return False
    return True
