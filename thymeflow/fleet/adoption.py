"""Adopts the members that are already running when a supervisor starts, with a copy of each listening socket."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from thymeflow.fleet.actions import Action
from thymeflow.fleet.controller import FleetController
from thymeflow.fleet.events import MemberAdopted
from thymeflow.fleet.member_messages import SOCKET_REQUEST, UNKNOWN_PID, MemberStatus
from thymeflow.fleet.member_processes import MemberProcesses
from thymeflow.fleet.member_sockets import MemberSockets
from thymeflow.fleet.processes import AdoptedProcess, ProcessToFollow
from thymeflow.fleet.reactor import FleetReactor
from thymeflow.fleet.registry import FleetNames
from thymeflow.handover import control_client
from thymeflow.handover.control_socket import Message
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind


class MemberAdopter:
    """Finds running members by their control sockets; passes the controller's actions to `carry_out`."""

    def __init__(
        self,
        reactor: FleetReactor,
        names: FleetNames,
        controller: FleetController,
        processes: MemberProcesses,
        sockets: MemberSockets,
        carry_out: Callable[[list[Action]], None],
    ) -> None:
        self._reactor = reactor
        self._names = names
        self._controller = controller
        self._processes = processes
        self._sockets = sockets
        self._carry_out = carry_out

    def adopt(self, number: int) -> Deferred[int | None]:
        """Adopt a member if it runs; the Deferred fires with the member's number, or None if no process was adopted."""
        status_deferred = self._processes.request_status(number)
        return status_deferred.addCallbacks(partial(self._on_status, number), _ignore_failure)

    def _on_status(self, number: int, status: MemberStatus) -> Deferred[int | None] | None:
        if not status.message.get("ok") or status.pid == UNKNOWN_PID:
            return None
        try:
            process = AdoptedProcess(self._reactor, status.pid)
        except OSError:
            return None
        event = MemberAdopted(number, status.incarnation, status.is_serving)
        actions = self._controller.handle(clock.now(), event)
        run_id = self._controller.members[number].run_id
        self._processes.follow(ProcessToFollow(run_id, number, status.pid, process))
        log.emit(
            LogKind.ADOPTED,
            f"adopted the running member {self._names.name(number)}, pid {status.pid}, phase {status.phase}",
        )
        self._carry_out(actions)
        return _SocketCopyRequest(self._reactor, self._names, self._sockets, number).start()


class _SocketCopyRequest:
    """One request for a copy of a member's listening socket, over the member's control socket."""

    def __init__(self, reactor: FleetReactor, names: FleetNames, sockets: MemberSockets, number: int) -> None:
        self._reactor = reactor
        self._path = names.path(number, "sock")
        self._sockets = sockets
        self._number = number
        self._session: control_client.ControlSession | None = None
        self._finished: Deferred[int | None] = Deferred()

    def start(self) -> Deferred[int | None]:
        """Connect and send the request; the Deferred fires with the member's number when the connection has ended."""
        session_deferred = control_client.open_session(self._reactor, self._path, self._on_message, self._on_ended)
        session_deferred.addCallbacks(self._on_connected, self._on_connect_failure)
        return self._finished

    def _on_connected(self, session: control_client.ControlSession) -> None:
        self._session = session
        session.send(SOCKET_REQUEST)

    def _on_connect_failure(self, _: Failure) -> None:
        self._on_ended()

    def _on_message(self, message: Message) -> None:
        session = self._session
        if session is None:
            return
        if message.get("ok") and session.descriptors:
            self._sockets.adopt(self._number, session.descriptors.pop())
        session.close()

    def _on_ended(self) -> None:
        if not self._finished.called:
            self._finished.callback(self._number)


def _ignore_failure(_: Failure) -> None:
    return None
