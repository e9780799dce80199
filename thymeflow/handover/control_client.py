"""Asking over a control socket: one question, or a conversation that lasts."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from thymeflow.handover.control_socket import ControlConnection, Message
from thymeflow.runtime import clock


class NoAnswerError(Exception):
    """Nobody listens there, or no answer came by the deadline."""


class ControlSession(ControlConnection):
    """A conversation: messages go to `heard`, the end to `ended`."""

    def __init__(self, heard: Callable[[Message], None], ended: Callable[[], None]) -> None:
        super().__init__()
        self.on_message, self.on_ended = heard, ended

    def connectionMade(self) -> None:
        """The other end is there."""
        self.factory.up(self)

    def message(self, message: Message) -> None:
        """Pass it on."""
        self.on_message(message)

    def on_closed(self) -> None:
        """Pass it on."""
        self.on_ended()


class _Dialler(ClientFactory):
    noisy = False

    def __init__(self, talk: ControlSession, made: Deferred[ControlSession]) -> None:
        self._talk, self._made = talk, made

    def buildProtocol(self, addr: Any) -> ControlSession:
        self._talk.factory = self
        return self._talk

    def up(self, talk: ControlSession) -> None:
        self._made.callback(talk)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._made.errback(NoAnswerError(reason.getErrorMessage()))


def talk(
    reactor: Any, path: Path, heard: Callable[[Message], None], ended: Callable[[], None] = lambda: None
) -> Deferred[ControlSession]:
    """Open a conversation; fails with Unanswered where nobody listens."""
    made: Deferred[ControlSession] = Deferred()
    reactor.connectUNIX(str(path), _Dialler(ControlSession(heard, ended), made), timeout=5)
    return made


def ask(
    reactor: Any,
    deadlines: clock.Deadlines,
    path: Path,
    message: Message,
    deadline: float,
    heard: Callable[[Message], None] = lambda _: None,
) -> Deferred[Message]:
    """One question and its last answer, the first that has `ok`; others go to `heard` on the way."""
    result: Deferred[Message] = Deferred()
    line: list[ControlSession] = []

    def settle(value: Message | NoAnswerError) -> None:
        deadlines.cancel(entry)
        if line:
            line[0].close()
        if not result.called:
            if isinstance(value, NoAnswerError):
                result.errback(value)
            else:
                result.callback(value)

    def came(answer: Message) -> None:
        if "ok" in answer:
            settle(answer)
        else:
            heard(answer)

    def up(made: ControlSession) -> None:
        line.append(made)
        if result.called:
            made.close()
        else:
            made.send(message)

    entry = deadlines.at(deadline, lambda _: settle(NoAnswerError(f"{path}: no answer in time")))
    made = talk(reactor, path, came, lambda: settle(NoAnswerError(f"{path}: the other end closed without an answer")))
    made.addCallbacks(up, lambda failure: settle(NoAnswerError(f"{path}: {failure.getErrorMessage()}")))
    return result
