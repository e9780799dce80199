"""The platform's run with an operators' port: two copies of the program run side by side during an upgrade.

A copy finds its predecessor by a Unix socket in the folder `$TMPDIR`, which stays the same during an upgrade. If there
is no such socket, or its process does not reply as a predecessor does, the copy starts without a handover and listens
at an address that several processes may share.
"""

from __future__ import annotations

import os
import secrets
import socket
import sys
from pathlib import Path

from thymeflow.discovery.watch import FIRST_LIST_TIMEOUT
from thymeflow.frontend.listener import bind_listener
from thymeflow.handover import listening_sockets
from thymeflow.handover.control_socket import ControlCaller, ControlError, ControlServer, Message
from thymeflow.handover.participant import RejectedHandoverError
from thymeflow.handover.reactor_types import UnixReactor
from thymeflow.handover.receiver import HandoverReceiver
from thymeflow.handover.sender import DELEGATED_STATES, HandoverSender
from thymeflow.handover.shared_executed_requests import REQUEST_IDS_SUFFIX, share_executed_requests
from thymeflow.handover.state_machine import ReceiverEvent, SenderEvent
from thymeflow.limiter.assembly import CANNOT_LISTEN, Limiter
from thymeflow.limiter.phases import Phase
from thymeflow.platform import configuration
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.snapshot.store import SnapshotStore

MAX_CALLERS = 4  # Callers at the control socket: one successor, and a reserve for unexpected callers.
INCARNATION_BYTES = 4  # The length of a process's random identifier.


class UpgradableLimiter:
    """One copy of the limiter, from its start to its end."""

    step_timeout = 1.5  # Seconds per handover step; the platform allows 6 s for the complete start.
    rollback_window = 30.0  # Seconds in which the old copy can roll back; the platform ends it long before.
    requires_same_site = False  # A release may change the plans; the state that still applies is restored.

    def __init__(self, initial: configuration.Configuration, reactor: UnixReactor) -> None:
        self.limiter = Limiter(initial, reactor)
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._exit_code = 0
        self.snapshots = SnapshotStore(initial.name, self.incarnation, initial.endpoints)
        self.snapshots.set_gateway(self.limiter.gateway)
        self.snapshots.on_endpoint_update(initial.endpoints)
        self.limiter.on_endpoints_applied = self.snapshots.on_endpoint_update
        self.limiter.on_endpoints_available = self._on_endpoints_ready
        self._path = _find_control_socket_path(initial.name)
        self._request_ids_path = None if self._path is None else self._path.with_suffix(REQUEST_IDS_SUFFIX)
        if self._request_ids_path is not None:
            share_executed_requests(self.limiter, self._request_ids_path)
        self._control: ControlServer | None = None
        self._is_ending = False
        self._sender = HandoverSender(self)
        self._receiver: HandoverReceiver | None = None

    def start(self) -> None:
        """Listen for operators, then request a handover if there is a predecessor, or begin to serve otherwise."""
        self.limiter.listen_for_operators()
        if self._path is not None and os.path.lexists(self._path):
            self._receiver = HandoverReceiver(self, self._path)
            self._receiver.begin()
        else:
            self._start_without_predecessor()

    def end(self) -> None:
        """Shut down gracefully, on SIGTERM or SIGINT."""
        self._is_ending = True
        if self._receiver is not None and not self._receiver.is_serving():
            self._receiver.step(ReceiverEvent.ABORTED)
            return
        self._sender.step(SenderEvent.SHUTDOWN_REQUESTED)
        self.limiter.lifecycle.terminate(0.0 if self._sender.state in DELEGATED_STATES else None)

    def finish(self) -> int:
        """Clean up after the reactor has stopped, and return the exit code."""
        if self._control is not None:
            self._control.remove_socket_file()
            self._remove_request_ids()
        return self._exit_code or self.limiter.exit_code

    def _remove_request_ids(self) -> None:
        # A process that took over still uses the file; it has a control socket at the same path.
        if self._path is not None and self._request_ids_path is not None and not os.path.lexists(self._path):
            self._request_ids_path.unlink(missing_ok=True)

    def _on_endpoints_ready(self) -> None:
        if self._receiver is not None:
            self._receiver.on_endpoints_known()

    def _start_without_predecessor(self) -> None:
        address = self.limiter.configuration.listen
        try:
            listening_socket = bind_listener(address.host, address.port, shared=True)
        except OSError as error:
            print(f"thymeflow: cannot listen: {address}: {error.strerror}", file=sys.stderr)
            self._exit_code = CANNOT_LISTEN
            self.limiter.reactor.callWhenRunning(self.limiter.reactor.stop)
            return
        self._open_control_socket()
        self.limiter.listen(listening_socket)
        self.limiter.connect(clock.now() + FIRST_LIST_TIMEOUT)

    def _open_control_socket(self) -> None:
        if self._path is None:
            return
        limiter = self.limiter
        control = ControlServer(
            limiter.reactor, limiter.deadlines, self._path, MAX_CALLERS, self.step_timeout, self._on_control_message
        )
        try:
            control.listen()
        except (ControlError, OSError, ValueError) as error:  # The limiter serves without a control socket.
            log.emit(LogKind.HANDOVER, f"no successor can take over from this incarnation: {error}")
            return
        self._control = control
        limiter.lifecycle.on_phase = self._on_phase

    def _on_phase(self, phase: Phase) -> None:
        if phase is Phase.STOPPED and self._control is not None:
            self._control.close()

    def _on_control_message(self, caller: ControlCaller, message: Message) -> None:
        if not self._sender.handle(caller, message):
            caller.send({"ok": False, "why": "only a successor's requests are accepted at this socket"})

    # The methods below implement `participant.HandoverParticipant`.

    def get_descriptors(self) -> list[int]:
        """Return the descriptor of the listening socket."""
        return [self.limiter.lifecycle.port.fileno()]

    def adopt_descriptors(self, descriptors: list[int]) -> socket.socket:
        """Return the passed listening socket.

        :raises RejectedHandoverError: if the descriptor is no listening socket, or listens at another address.
        """
        try:
            listening_socket = _duplicate_listening_socket(descriptors)
        except (listening_sockets.BadDescriptorError, OSError) as error:
            raise RejectedHandoverError(str(error)) from None
        host, port = listening_socket.getsockname()[:2]
        expected = self.limiter.configuration.listen
        if host != expected.host or expected.port not in (0, port):
            listening_socket.close()
            message = f"the listening socket is at {host}:{port}, not at {expected}"
            raise RejectedHandoverError(message)
        return listening_socket

    def start_accepting(self, listening_socket: socket.socket) -> str:
        """Start to accept connections; return an empty string, because this cannot fail."""
        self._open_control_socket()
        self.limiter.listen(listening_socket)
        return ""

    def hand_over_allocation(self) -> None:
        """Return None, because the platform grants no allocation."""

    def inherit_allocation(self, message: object) -> None:
        """Do nothing, because the platform grants no allocation."""

    def on_rolled_back(self, was_used: bool) -> None:
        """Do nothing, because there is no allocation to use again."""

    def on_resumed(self) -> None:
        """Let the public path of the control socket point to this process again, so that successors find it."""
        if self._control is not None:
            self._control.publish_link()

    def abandon(self) -> None:
        """Start without a handover at a shared address, or stop if this process is shutting down."""
        if self._is_ending:
            self.limiter.reactor.callWhenRunning(self.limiter.reactor.stop)
        else:
            log.emit(LogKind.HANDOVER, "the handover was abandoned: this incarnation starts without a predecessor")
            self._start_without_predecessor()

    def retreat(self) -> None:
        """Continue to serve, because the old copy has ended or serves at the same time."""
        log.emit(
            LogKind.HANDOVER,
            "the predecessor ended before it confirmed the delegation: this incarnation continues to serve",
        )


def _find_control_socket_path(name: str) -> Path | None:
    folder = os.environ.get("TMPDIR")
    if not folder:
        return None
    return Path(folder) / f"{name.replace('/', '_')}.sock"


def _duplicate_listening_socket(descriptors: list[int]) -> socket.socket:
    if len(descriptors) != 1:
        message = f"{len(descriptors)} descriptors came with the offer, not 1"
        raise listening_sockets.BadDescriptorError(message)
    return listening_sockets.duplicate_listening_socket(descriptors[0])
