"""The processes of members, which are spawned or adopted, and followed over their control sockets until they end."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from twisted.internet.error import ProcessTerminated
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

from thymeflow.fleet.member_messages import WATCH_REQUEST, MemberStatus, parse_status
from thymeflow.fleet.reactor import FleetReactor
from thymeflow.handover import control_client
from thymeflow.handover.control_socket import Message
from thymeflow.runtime import clock

CONNECT_RETRY_SECONDS = 0.05  # Interval between connection attempts; a starting process has no control socket yet.
LISTENING_DESCRIPTOR = 3  # The first descriptor of sd_listen_fds(3).
SET_LISTEN_PID_SCRIPT = 'LISTEN_PID=$$ exec "$@"'  # sd_listen_fds(3) requires the process's own pid.


class RunObserver(Protocol):
    """The observer of a run, which is notified of its status reports and its end."""

    def on_status(self, run: MemberRun, status: MemberStatus) -> None:
        """Handle a status report."""

    def on_disconnected(self, run: MemberRun) -> None:
        """Handle the end of the connection; the run then connects again."""

    def on_ended(self, run: MemberRun, reason: str) -> None:
        """Handle the end of the process; called once. `reason` is a verb phrase about the process, as in `RunEnded`."""


class MemberRun:
    """One process of a member, which is followed over the control socket at `path`."""

    def __init__(
        self,
        reactor: FleetReactor,
        deadlines: clock.Deadlines,
        path: Path,
        process: ProcessToFollow,
        observer: RunObserver,
    ) -> None:
        self.run_id = process.run_id
        self.number = process.number
        self.pid = process.pid
        self.is_adopted = isinstance(process.handle, AdoptedProcess)
        self.is_ended = False
        self.last_status: Message = {}
        self._reactor = reactor
        self._deadlines = deadlines
        self._path = path
        self._observer = observer
        self._session: control_client.ControlSession | None = None

    def connect(self, _: int = 0) -> None:
        """Connect to the control socket, and reconnect after each failure until the process ends."""
        if self.is_ended:
            return
        session_deferred = control_client.open_session(
            self._reactor, self._path, self._on_message, self._on_disconnected
        )
        session_deferred.addCallbacks(self._on_connected, self._on_connect_failure)

    def send(self, message: Message) -> None:
        """Send a message if connected, without waiting for an answer; otherwise drop it."""
        if self._session is not None and not self.is_ended:
            self._session.send(message)

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process, unless it has ended."""
        # The pid is 0 if the process ended while it was spawned; a signal to pid 0 would go to the supervisor's group.
        if not self.is_ended and self.pid > 0:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, signal_number)

    def on_process_ended(self, reason: str) -> None:
        """Stop following the process, because it has ended."""
        if self.is_ended:
            return
        self.is_ended = True
        if self._session is not None:
            self._session.close()
        self._observer.on_ended(self, reason)

    def _schedule_connect(self) -> None:
        if not self.is_ended:
            self._deadlines.schedule(clock.now() + CONNECT_RETRY_SECONDS, self.connect)

    def _on_connected(self, session: control_client.ControlSession) -> None:
        self._session = session
        if self.is_ended:
            session.close()
        else:
            session.send(WATCH_REQUEST)

    def _on_connect_failure(self, _: Failure) -> None:
        self._schedule_connect()

    def _on_disconnected(self) -> None:
        self._session = None
        self._observer.on_disconnected(self)
        self._schedule_connect()

    def _on_message(self, message: Message) -> None:
        content = message.get("status")
        status = parse_status(content) if isinstance(content, dict) else None
        if status is None or status.pid != self.pid:
            # The control socket still belongs to an earlier process, such as the predecessor in a handover. Closing the
            # session makes this run connect again.
            if self._session is not None:
                self._session.close()
            return
        self.last_status = status.message
        self._observer.on_status(self, status)


class ChildProcess(ProcessProtocol):
    """A process that this supervisor spawned. The reactor reports its end."""

    def __init__(self) -> None:
        self._run: MemberRun | None = None
        # Empty until the process has ended. The text is kept for a run that begins to follow the process after that.
        self._end_reason = ""

    def report_end_to(self, run: MemberRun) -> None:
        """Notify a run of the process's end, at once if the process has already ended."""
        self._run = run
        if self._end_reason:
            run.on_process_ended(self._end_reason)

    def processEnded(self, reason: Failure) -> None:
        """Handle the end of the process; the reactor has already reaped it."""
        self._end_reason = _describe_exit(reason.value)
        if self._run is not None:
            self._run.on_process_ended(self._end_reason)


def _describe_exit(status: BaseException | None) -> str:
    if isinstance(status, ProcessTerminated) and status.signal:
        return f"was ended by {signal.Signals(status.signal).name}"
    return f"ended with code {getattr(status, 'exitCode', None)}"


class AdoptedProcess:
    """A process that another supervisor spawned. Its pidfd becomes readable when it ends (pidfd_open(2)).

    :raises OSError: no process has this pid.
    """

    def __init__(self, reactor: FleetReactor, pid: int) -> None:
        self._reactor = reactor
        self._descriptor = os.pidfd_open(pid)
        self._run: MemberRun | None = None

    def report_end_to(self, run: MemberRun) -> None:
        """Notify a run of the process's end; if it has already ended, the descriptor is readable at once."""
        self._run = run
        self._reactor.addReader(self)

    def fileno(self) -> int:
        """Return the descriptor that the reactor watches."""
        return self._descriptor

    def logPrefix(self) -> str:
        """Return the name of this reader in Twisted's log."""
        return "adopted member process"

    def doRead(self) -> None:
        """Handle the end of the process."""
        self._reactor.removeReader(self)
        os.close(self._descriptor)
        if self._run is not None:
            self._run.on_process_ended("ended (it was not started by this supervisor)")

    def connectionLost(self, _: Failure) -> None:
        """Do nothing, because the reactor is stopping."""


@dataclass(frozen=True, slots=True)
class ProcessToFollow:
    """A process of a member, and the run that it belongs to."""

    run_id: int
    number: int  # The member's number.
    pid: int
    handle: ChildProcess | AdoptedProcess


def build_member_command(program_arguments: Sequence[str], arguments: Sequence[str]) -> list[str]:
    """Return the command line of a member; empty `program_arguments` stand for the running thymeflow."""
    return [*(program_arguments or (sys.executable, "-m", "thymeflow")), "serve", *arguments]


def spawn_member(
    reactor: FleetReactor,
    command: Sequence[str],
    environment: Mapping[str, str],
    output_descriptor: int,
    listening_socket: socket.socket | None,
) -> tuple[ChildProcess, int]:
    """Start a process that outlives the supervisor, and return it with its pid.

    The process writes its output to `output_descriptor` and inherits the listening socket as descriptor 3. The pid is
    0 if the process has already ended; the returned process then reports its end as soon as a run follows it.
    """
    child = ChildProcess()
    null_descriptor = os.open(os.devnull, os.O_RDONLY)
    child_descriptors = {0: null_descriptor, 1: output_descriptor, 2: output_descriptor}
    child_environment = dict(environment)
    child_command = list(command)
    if listening_socket is not None:
        child_descriptors[LISTENING_DESCRIPTOR] = listening_socket.fileno()
        child_environment["LISTEN_FDS"] = "1"
        child_command = ["/bin/sh", "-c", SET_LISTEN_PID_SCRIPT, "sh", *command]
    try:
        transport = reactor.spawnProcess(
            child, child_command[0], child_command, child_environment, childFDs=child_descriptors
        )
    finally:
        os.close(null_descriptor)
    return child, int(transport.pid or 0)
