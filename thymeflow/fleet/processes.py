"""Processes: started by us or found running, followed by their control sockets, and their ends noticed."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

from thymeflow.handover import control_client
from thymeflow.handover.control_socket import Message
from thymeflow.runtime import clock

LINK_PACE = 0.05  # s: between tries to reach a control socket that is not there yet
SHELL = 'LISTEN_PID=$$ exec "$@"'  # the child's own pid, as sd_listen_fds(3) wants it


class Run:
    """One process of a member: `heard` gets each status, `ended` its end in words, once."""

    def __init__(
        self,
        reactor: Any,
        deadlines: clock.Deadlines,
        path: Path,
        pid: int,
        heard: Callable[[Message], None],
        ended: Callable[[str], None],
        silent: Callable[[], None] = lambda: None,
    ) -> None:
        self.pid, self.over = pid, False
        self._reactor, self._deadlines, self._path, self._heard, self._ended = reactor, deadlines, path, heard, ended
        self._silent = silent
        self._talk: control_client.ControlSession | None = None
        self.last: Message = {}

    def link(self, _: int = 0) -> None:
        """Follow it over its control socket, from the moment that there is one."""
        if self.over:
            return
        made = control_client.open_session(self._reactor, self._path, self._status, self._unlinked)
        made.addCallbacks(self._linked, lambda _: self._again())

    def _again(self) -> None:
        if not self.over:
            self._deadlines.at(clock.now() + LINK_PACE, self.link)

    def _linked(self, talk: control_client.ControlSession) -> None:
        self._talk = talk
        if self.over:
            talk.close()
        else:
            talk.send({"do": "watch"})

    def say(self, message: Message) -> None:
        """Say something to it; what does not arrive is said anew by whoever cares."""
        if self._talk is not None and not self.over:
            self._talk.send(message)

    def _unlinked(self) -> None:
        self._talk = None
        self._silent()
        self._again()

    def _status(self, message: Message) -> None:
        status = message.get("status")
        if not isinstance(status, dict) or status.get("pid") != self.pid:
            # The name belongs to the process that this one is to replace, or to one before it: try again.
            if self._talk is not None:
                self._talk.close()
            return
        self.last = status
        self._heard(status)

    def end(self, how: str) -> None:
        """It is over."""
        if not self.over:
            self.over = True
            if self._talk is not None:
                self._talk.close()
            self._ended(how)

    def signal(self, number: int) -> None:
        """Send it a signal, unless it is over."""
        if not self.over and self.pid > 0:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)


class Child(ProcessProtocol):
    """A process that we started: its end comes from the system."""

    def __init__(self) -> None:
        self._run: Run | None = None
        self._how = ""  # its end, where that came before anybody followed it

    def follow(self, run: Run) -> None:
        """Tell a run of its end, which may have come already."""
        self._run = run
        if self._how:
            run.end(self._how)

    def processEnded(self, reason: Failure) -> None:
        """It has ended and was waited for."""
        value: Any = reason.value
        code, number = getattr(value, "exitCode", None), getattr(value, "signal", None)
        self._how = f"was ended by {signal.Signals(number).name}" if number else f"ended with code {code}"
        if self._run is not None:
            self._run.end(self._how)


class Found:
    """A process that somebody else started: its end is read from a descriptor of it (pidfd_open(2))."""

    def __init__(self, reactor: Any, pid: int) -> None:
        self._reactor, self._descriptor = reactor, os.pidfd_open(pid)
        self._run: Run | None = None

    def follow(self, run: Run) -> None:
        """Tell a run of its end; the descriptor is readable also where that has come already."""
        self._run = run
        self._reactor.addReader(self)

    def fileno(self) -> int:
        """What the reactor waits on."""
        return self._descriptor

    def logPrefix(self) -> str:
        """For Twisted's log."""
        return "found process"

    def doRead(self) -> None:
        """Readable: it has ended."""
        self._reactor.removeReader(self)
        os.close(self._descriptor)
        if self._run is not None:
            self._run.end("ended (it was not started by this supervisor)")

    def connectionLost(self, _: Any) -> None:
        """The reactor stops."""


def command(program: Sequence[str], arguments: Sequence[str]) -> list[str]:
    """How a member is started."""
    return [*(program or (sys.executable, "-m", "thymeflow")), "serve", *arguments]


def spawn(
    reactor: Any, words: Sequence[str], environment: Mapping[str, str], output: int, listening: socket.socket | None
) -> tuple[Child, int]:
    """Start a process that outlives us, its output in a file, with a listening socket as descriptor 3."""
    child, nothing = Child(), os.open(os.devnull, os.O_RDONLY)
    passed = {0: nothing, 1: output, 2: output}
    environment = {**environment}
    if listening is not None:
        passed[3] = listening.fileno()
        environment["LISTEN_FDS"] = "1"
        words = ["/bin/sh", "-c", SHELL, "sh", *words]
    try:
        transport = reactor.spawnProcess(child, words[0], list(words), environment, childFDs=passed)
    finally:
        os.close(nothing)
    return child, int(transport.pid or 0)  # 0: it has ended by now, which the child tells
