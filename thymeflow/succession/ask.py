"""Asking over a control socket: one question, or a conversation that lasts."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from thymeflow.net import clock
from thymeflow.succession.control import Line, Message


class Unanswered(Exception):
    """Nobody listens there, or no answer came by the deadline."""


class Talk(Line):
    """A conversation: messages go to `heard`, the end to `ended`."""

    def __init__(self, heard: Callable[[Message], None], ended: Callable[[], None]) -> None:
        super().__init__()
        self.heard, self.ended = heard, ended

    def connectionMade(self) -> None:
        """The other end is there."""
        self.factory.up(self)

    def message(self, message: Message) -> None:
        """Pass it on."""
        self.heard(message)

    def gone(self) -> None:
        """Pass it on."""
        self.ended()


class _Dialler(ClientFactory):
    noisy = False

    def __init__(self, talk: Talk, made: Deferred[Talk]) -> None:
        self._talk, self._made = talk, made

    def buildProtocol(self, addr: Any) -> Talk:
        self._talk.factory = self
        return self._talk

    def up(self, talk: Talk) -> None:
        self._made.callback(talk)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._made.errback(Unanswered(reason.getErrorMessage()))


def talk(reactor: Any, path: Path, heard: Callable[[Message], None],
         ended: Callable[[], None] = lambda: None) -> Deferred[Talk]:
    """Open a conversation; fails with Unanswered where nobody listens."""
    made: Deferred[Talk] = Deferred()
    reactor.connectUNIX(str(path), _Dialler(Talk(heard, ended), made), timeout=5)
    return made


def ask(reactor: Any, deadlines: clock.Deadlines, path: Path, message: Message, deadline: float,
        heard: Callable[[Message], None] = lambda _: None) -> Deferred[Message]:
    """One question and its last answer, the first that has `ok`; others go to `heard` on the way."""
    result: Deferred[Message] = Deferred()
    line: list[Talk] = []

    def settle(value: Message | Unanswered) -> None:
        deadlines.cancel(entry)
        if line:
            line[0].close()
        if not result.called:
            if isinstance(value, Unanswered):
                result.errback(value)
            else:
                result.callback(value)

    def came(answer: Message) -> None:
        if "ok" in answer:
            settle(answer)
        else:
            heard(answer)

    def up(made: Talk) -> None:
        line.append(made)
        if result.called:
            made.close()
        else:
            made.say(message)

    entry = deadlines.at(deadline, lambda _: settle(Unanswered(f"{path}: no answer in time")))
    made = talk(reactor, path, came, lambda: settle(Unanswered(f"{path}: the other end closed without an answer")))
    made.addCallbacks(up, lambda failure: settle(Unanswered(f"{path}: {failure.getErrorMessage()}")))
    return result
