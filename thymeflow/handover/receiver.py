"""The receiver of a handover: carries out the actions of `state_machine.RECEIVER_TRANSITIONS`.

The keys and commands of the messages are a format: two versions of the program talk to each other.
"""

from __future__ import annotations

import os
import socket
from pathlib import Path

from twisted.python.failure import Failure

from thymeflow.discovery.watch import FIRST_LIST_TIMEOUT
from thymeflow.handover import control_client
from thymeflow.handover.control_socket import ControlConnection, Message
from thymeflow.handover.participant import HandoverParticipant, RejectedHandoverError
from thymeflow.handover.state_machine import ReceiverAction, ReceiverEvent, ReceiverState, advance_receiver
from thymeflow.handover.step_timer import StepTimer
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.snapshot import schema
from thymeflow.snapshot.late_charges import charge_late

MAX_DISCOVERY_WAIT_FRACTION = 0.5  # of a step's time limit: for the first reply of discovery
MAX_LATE_UNITS = 1e9  # of one customer; larger late charges are ignored
MAX_REJECTION_LENGTH = 200  # characters of the sender's text that are logged
# The key by which a message is recognized, in the order in which they are looked for.
EVENTS_BY_KEY = {
    "offer": ReceiverEvent.DESCRIPTORS_RECEIVED,
    "state": ReceiverEvent.STATE_RECEIVED,
    "yours": ReceiverEvent.ACCEPT_PERMITTED,
    "draining": ReceiverEvent.DELEGATION_CONFIRMED,
}


class HandoverReceiver:
    """Takes listening socket and state over from the process that has them, or leaves that process as it was."""

    def __init__(self, participant: HandoverParticipant, path: Path) -> None:
        self._participant = participant
        self._path = path
        self.state = ReceiverState.REQUESTING
        self._sender: ControlConnection | None = None
        self._listening_socket: socket.socket | None = None
        self._step_timer = StepTimer(participant)
        self._allocation: object = None  # arrives with the state; used once the state is
        self._actions = {
            ReceiverAction.START_UP: self._start_up,
            ReceiverAction.SEND_READY: self._send_ready,
            ReceiverAction.RESTORE_STATE: self._restore_state,
            ReceiverAction.START_ACCEPTING: self._start_accepting,
            ReceiverAction.COMPLETE: self._complete,
            ReceiverAction.ABANDON: self._abandon,
            ReceiverAction.RETREAT: participant.retreat,
        }

    def begin(self) -> None:
        """Request a handover from the process that listens at the path."""
        self._restart_step_timer()
        reactor = self._participant.limiter.reactor
        try:
            connecting = control_client.open_session(reactor, self._path, self._on_message, self._on_disconnected)
        except OSError as fault:  # the system forbids Unix sockets
            self._give_up(f"nobody to take over from: {fault}")
            return
        connecting.addCallbacks(self._on_connected, self._on_connect_failed)

    def _restart_step_timer(self) -> None:
        self._step_timer.start(clock.now() + self._participant.step_timeout, self._on_timeout)

    def _on_timeout(self) -> None:
        self.step(ReceiverEvent.TIMED_OUT)

    def _on_disconnected(self) -> None:
        self._participant.limiter.limit_beside_predecessor(None)
        self.step(ReceiverEvent.DISCONNECTED)

    def is_serving(self) -> bool:
        """Return whether this process accepts, or starts without a handover: it ends like any other limiter."""
        return self.state in (ReceiverState.AWAITING_CONFIRMATION, ReceiverState.COMPLETED, ReceiverState.FAILED)

    def on_endpoints_known(self) -> None:
        """Continue once the endpoint list has arrived, or is known to be unavailable."""
        if self.state is ReceiverState.STARTING_UP:
            self.step(ReceiverEvent.STARTED_UP)

    def step(self, event: ReceiverEvent) -> None:
        """Make the transition for an input, and carry out its actions."""
        previous = self.state
        self.state, actions = advance_receiver(previous, event)
        if self.state in (ReceiverState.COMPLETED, ReceiverState.FAILED):
            self._step_timer.cancel()
        elif previous is not self.state:
            self._restart_step_timer()
        if self.state is ReceiverState.FAILED and previous is not self.state:
            log.emit(LogKind.HANDOVER, f"came to no end ({previous.value}, {event.value})")
        for action in actions:
            self._actions[action]()

    def _on_connect_failed(self, failure: Failure) -> None:
        self._give_up(f"nobody to take over from: {failure.getErrorMessage()}")

    def _on_connected(self, session: control_client.ControlSession) -> None:
        self._sender = session
        if not session.is_same_user():
            self._give_up("who listens there runs as another user")
        elif self.state is ReceiverState.FAILED:
            session.close()  # it took too long to connect
        else:
            self._send_request(session)

    def _send_request(self, session: control_client.ControlSession) -> None:
        log.emit(LogKind.HANDOVER, f"asked for, at {self._path}")
        session.send(
            {
                "do": "take",
                "life": self._participant.incarnation,
                "pid": os.getpid(),
                "site": schema.site_digest(self._participant.limiter.configuration.settings),
            }
        )

    def _give_up(self, cause: str) -> None:
        log.emit(LogKind.HANDOVER, cause)
        self.step(ReceiverEvent.ABORTED)

    def _on_message(self, message: Message) -> None:
        if type(message.get("held")) is int:
            self._participant.limiter.limit_beside_predecessor(message["held"])
        if message.get("part") is not None:
            self._allocation = message["part"]
        for key, event in EVENTS_BY_KEY.items():
            if key in message:
                self.step(event)
                return
        if "late" in message:
            self._charge_late(message["late"])
        elif "bye" in message and self._sender is not None:
            self._sender.close()
        elif message.get("ok") is False:
            self._give_up(f"refused: {str(message.get('why'))[:MAX_REJECTION_LENGTH]}")

    def _connection(self) -> ControlConnection:
        assert self._sender is not None
        return self._sender

    def _start_up(self) -> None:
        connection = self._connection()
        try:
            self._listening_socket = self._participant.adopt_descriptors(connection.descriptors)
        except RejectedHandoverError as fault:
            self._give_up(f"what was offered cannot be used: {fault}")
            return
        os.close(connection.descriptors[0])
        connection.descriptors.clear()
        discovery_wait = min(FIRST_LIST_TIMEOUT, MAX_DISCOVERY_WAIT_FRACTION * self._participant.step_timeout)
        self._participant.limiter.connect(clock.now() + discovery_wait)

    def _send_ready(self) -> None:
        self._connection().send({"do": "ready"})

    def _restore_state(self) -> None:
        connection = self._connection()
        try:
            snapshot = self._read_snapshot(connection)
        except (schema.SnapshotError, OSError) as fault:
            self._give_up(f"the state cannot be used: {fault}")
            return
        self._participant.snapshots.restore(snapshot, "hand-over")
        connection.send({"do": "took"})

    def _read_snapshot(self, connection: ControlConnection) -> schema.Snapshot:
        """Read and check the snapshot in the descriptor that came with it.

        :raises SnapshotError: if there is not exactly one descriptor, or its content cannot be used.
        :raises OSError: if it cannot be read.
        """
        if len(connection.descriptors) != 1:
            message = f"{len(connection.descriptors)} descriptors came with it, not 1"
            raise schema.SnapshotError(message)
        with os.fdopen(connection.descriptors.pop(), "rb") as file:
            file.seek(0)
            snapshot = schema.unpack(file.read(schema.MAX_SNAPSHOT_BYTES + 1))
        participant = self._participant
        configuration = participant.limiter.configuration
        site = schema.site_digest(configuration.settings) if participant.requires_same_site else snapshot.site
        schema.check_applicable(snapshot, site, configuration.name, clock.now(), participant.step_timeout)
        return snapshot

    def _start_accepting(self) -> None:
        assert self._listening_socket is not None
        if self._allocation is not None:
            self._participant.inherit_allocation(self._allocation)
        fault = self._participant.accept(self._listening_socket)
        if fault:
            log.emit(LogKind.HANDOVER, fault)
            self.state = ReceiverState.FAILED
            self._connection().close()  # on which the sender accepts again
            self._abandon()
            return
        self._connection().send({"do": "serving"})

    def _complete(self) -> None:
        name = self._participant.limiter.configuration.name
        log.emit(LogKind.HANDOVER, f"done: this life holds name, socket and state of {name}")

    def _charge_late(self, value: object) -> None:
        try:
            charges = _parse_late_charges(value)
        except (ValueError, TypeError, AttributeError):
            log.emit(LogKind.HANDOVER, "late charges that cannot be read; none of them is taken")
            return
        charges = {customer_id: units for customer_id, units in charges.items() if abs(units) < MAX_LATE_UNITS}
        charged = charge_late(self._participant.limiter.gateway, charges)
        log.emit(LogKind.HANDOVER, f"{charged} of {len(charges)} customers charged for what came after the state")

    def _abandon(self) -> None:
        if self._listening_socket is not None:
            self._listening_socket.close()
        if self._sender is not None:
            self._sender.close()
        self._participant.abandon()


def _parse_late_charges(value: object) -> dict[int, float]:
    """Return units by customer.

    :raises ValueError: if a key or an amount is not a number.
    :raises TypeError: if the value is not an object, or an amount has another type.
    """
    if not isinstance(value, dict):
        message = "late charges are not an object"
        raise TypeError(message)
    return {int(customer_id): float(units) for customer_id, units in value.items()}
