"""The daemon's part in a hot restart: it passes the name, the sockets and the state on, or takes them over.

`thymeflow.handover.state_machine` decides which process accepts connections at each step.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from thymeflow.daemon.exit_codes import NO_HANDOVER
from thymeflow.daemon.instance import Instance
from thymeflow.daemon.lock import NameTakenError
from thymeflow.handover.control_socket import Message
from thymeflow.handover.listening_sockets import BadDescriptorError, duplicate_listening_socket
from thymeflow.handover.participant import RejectedHandoverError
from thymeflow.handover.receiver import HandoverReceiver
from thymeflow.handover.sender import DELEGATED_STATES, HandoverSender
from thymeflow.limiter.assembly import Limiter
from thymeflow.runtime import log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.snapshot.store import SnapshotStore

PASSED_DESCRIPTORS = 2  # The listening socket and the lock.


class DaemonHandover:
    """The instance as a `HandoverParticipant`: its sender and, if the process takes over, its receiver."""

    # Seconds. The sender does not wait: if the successor dies, the service manager or supervisor starts another.
    rollback_window = 0.0
    requires_same_site = True

    def __init__(self, instance: Instance, open_control: Callable[[], str], is_successor: bool) -> None:
        self._instance = instance
        self._open_control = open_control
        self.incarnation = instance.incarnation
        self.sender = HandoverSender(self)
        self.receiver: HandoverReceiver | None = None
        if is_successor:
            self.receiver = HandoverReceiver(self, instance.get_file_path("sock"))

    def is_name_owner(self) -> bool:
        """Return whether the name and the snapshot file belong to this process and not to a successor."""
        return self.sender.state not in DELEGATED_STATES and self._instance.lock is not None

    def on_endpoints_known(self) -> None:
        """Continue a handover to this process, if it waits for the endpoint list."""
        if self.receiver is not None:
            self.receiver.on_endpoints_known()

    @property
    def limiter(self) -> Limiter:
        """The limiter of this process."""
        return self._instance.limiter

    @property
    def snapshots(self) -> SnapshotStore:
        """The store that takes and restores the limiter's snapshots."""
        return self._instance.snapshots

    @property
    def step_timeout(self) -> float:
        """The time limit of one handover step, in seconds."""
        return self._instance.settings.daemon.hand_over

    def get_descriptors(self) -> list[int]:
        """Return the descriptors of the listening socket and the lock, in this order."""
        assert self._instance.lock is not None
        return [self.limiter.lifecycle.port.fileno(), self._instance.lock.descriptor]

    def adopt_descriptors(self, descriptors: list[int]) -> socket.socket:
        """Take over the lock and return the listening socket.

        :raises RejectedHandoverError: if the descriptors are not the listening socket and the lock.
        """
        try:
            _check_count(descriptors)
            listening_socket = duplicate_listening_socket(descriptors[0])
            self._instance.adopt_name(descriptors[1])
        except (BadDescriptorError, NameTakenError, OSError) as error:
            raise RejectedHandoverError(str(error)) from None
        return listening_socket

    def start_accepting(self, listening_socket: socket.socket) -> str:
        """Take over the name and start to accept connections; return the cause of a failure, or an empty string."""
        cause = self._open_control()
        if not cause:
            self._instance.write_owner()
            self.limiter.listen(listening_socket)
        return cause

    def hand_over_allocation(self) -> Message | None:
        """Return the allocation of the fleet limits for the successor and stop using it; None if there is none."""
        return self._instance.allocation.hand_over()

    def inherit_allocation(self, message: object) -> None:
        """Use the allocation in a message of the predecessor, which no longer uses it."""
        self._instance.allocation.inherit(message)

    def on_rolled_back(self, was_used: bool) -> None:
        """Use the allocation again; `was_used`: the successor may have used it and may still run."""
        self._instance.allocation.on_rolled_back(was_used)

    def on_resumed(self) -> None:
        """Write this process into the lock file as the owner of the name again."""
        if self._instance.lock is not None:
            self._instance.write_owner()

    def abandon(self) -> None:
        """Stop at once: this process has accepted no connections, and the predecessor serves under the name."""
        log.emit(
            LogKind.HANDOVER,
            "the handover was abandoned: the predecessor continues to serve, and this incarnation stops",
        )
        instance = self._instance
        instance.forget_name()
        instance.set_exit_code(instance.exit_code or NO_HANDOVER)
        instance.reactor.callWhenRunning(instance.reactor.stop)

    def retreat(self) -> None:
        """Drain and stop; the predecessor keeps the name, the control socket and the snapshot file."""
        log.emit(
            LogKind.HANDOVER, "rolled back: the predecessor serves, and this incarnation completes its open requests"
        )
        self.sender.relinquish()  # From now on only the predecessor writes the name and the snapshot.
        self._instance.set_exit_code(NO_HANDOVER)
        self.limiter.lifecycle.terminate(0.0)


def _check_count(descriptors: list[int]) -> None:
    if len(descriptors) != PASSED_DESCRIPTORS:
        message = f"{len(descriptors)} descriptors came with the offer, not {PASSED_DESCRIPTORS}"
        raise BadDescriptorError(message)
