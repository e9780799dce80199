"""The client side of a control socket: one request with its reply, or a session that stays open."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from thymeflow.handover.control_socket import ControlConnection, Message
from thymeflow.handover.errors import NoAnswerError as NoAnswerError
from thymeflow.handover.reactor_types import UnixReactor
from thymeflow.runtime import clock

CONNECT_TIMEOUT_SECONDS = 5


def _ignore_message(_: Message) -> None:
    """Drop an intermediate message."""


def _ignore_close() -> None:
    """Do nothing when the connection closes."""


class ControlSession(ControlConnection):
    """An open connection to a control socket; callbacks receive its messages and are notified of its end."""

    def __init__(
        self,
        message_handler: Callable[[Message], None],
        close_handler: Callable[[], None],
        connected: Deferred[ControlSession],
    ) -> None:
        super().__init__()
        self._message_handler = message_handler
        self._close_handler = close_handler
        self._connected = connected

    def connectionMade(self) -> None:
        """Fire the Deferred that `open_session` returned."""
        self._connected.callback(self)

    def on_message(self, message: Message) -> None:
        """Pass the message to the session's message handler."""
        self._message_handler(message)

    def on_closed(self) -> None:
        """Notify the session's close handler."""
        self._close_handler()


class _SessionFactory(ClientFactory):
    """Creates the single connection of a session."""

    noisy = False

    def __init__(self, session: ControlSession, connected: Deferred[ControlSession]) -> None:
        self._session = session
        self._connected = connected

    def buildProtocol(self, addr: IAddress | None) -> ControlSession:  # noqa: ARG002 (Twisted's signature)
        """Return the session as the protocol of the connection."""
        return self._session

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: ARG002 (Twisted's signature)
        """Fail the Deferred that `open_session` returned."""
        self._connected.errback(NoAnswerError(reason.getErrorMessage()))


def open_session(
    reactor: UnixReactor,
    path: Path,
    message_handler: Callable[[Message], None],
    close_handler: Callable[[], None] = _ignore_close,
) -> Deferred[ControlSession]:
    """Open a session with the control socket at `path`.

    The Deferred fires with the session; it fails with NoAnswerError if no process listens at the path.
    """
    connected: Deferred[ControlSession] = Deferred()
    session = ControlSession(message_handler, close_handler, connected)
    reactor.connectUNIX(str(path), _SessionFactory(session, connected), timeout=CONNECT_TIMEOUT_SECONDS)
    return connected


class _Request:
    """One request in flight; it ends with the final reply, a connection error or the deadline."""

    def __init__(
        self,
        deadlines: clock.Deadlines,
        path: Path,
        message: Message,
        deadline: float,
        on_intermediate: Callable[[Message], None],
    ) -> None:
        self.reply: Deferred[Message] = Deferred()
        self._deadlines = deadlines
        self._path = path
        self._message = message
        self._on_intermediate = on_intermediate
        self._session: ControlSession | None = None
        self._timer = deadlines.schedule(deadline, self._on_timeout)

    def on_connected(self, session: ControlSession) -> None:
        """Send the request, or close the session if the request has ended already."""
        self._session = session
        if self.reply.called:
            session.close()
        else:
            session.send(self._message)

    def on_connect_failed(self, failure: Failure) -> None:
        """Fail the request, because the connection could not be opened."""
        self._fail(failure.getErrorMessage())

    def on_message(self, message: Message) -> None:
        """Deliver the final reply, which has the key `ok`; pass any other message to `on_intermediate`."""
        if "ok" in message:
            self._finish()
            if not self.reply.called:
                self.reply.callback(message)
        else:
            self._on_intermediate(message)

    def on_closed(self) -> None:
        """Fail the request, because the server closed the connection before the final reply."""
        self._fail("the connection was closed before a reply")

    def _on_timeout(self, _: int) -> None:
        self._fail("no reply before the deadline")

    def _fail(self, cause: str) -> None:
        self._finish()
        if not self.reply.called:
            self.reply.errback(NoAnswerError(f"{self._path}: {cause}"))

    def _finish(self) -> None:
        self._deadlines.cancel(self._timer)
        if self._session is not None:
            self._session.close()


def send_request(
    reactor: UnixReactor,
    deadlines: clock.Deadlines,
    path: Path,
    message: Message,
    deadline: float,
    on_intermediate: Callable[[Message], None] = _ignore_message,
) -> Deferred[Message]:
    """Send a request and return a Deferred of its final reply, the first message that has the key `ok`.

    Messages before the final reply go to `on_intermediate`. `deadline` is a time in Unix seconds; the Deferred fails
    with NoAnswerError if no final reply arrives before that time.
    """
    request = _Request(deadlines, path, message, deadline, on_intermediate)
    connected = open_session(reactor, path, request.on_message, request.on_closed)
    connected.addCallbacks(request.on_connected, request.on_connect_failed)
    return request.reply
