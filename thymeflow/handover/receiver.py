"""The receiver of a handover: carries out the actions of `state_machine.RECEIVER_TRANSITIONS`."""

from __future__ import annotations

import os
import socket
from pathlib import Path

from twisted.python.failure import Failure

from thymeflow.discovery.watch import FIRST_LIST_TIMEOUT
from thymeflow.handover import control_client, messages
from thymeflow.handover.control_socket import ControlConnection, Message
from thymeflow.handover.participant import HandoverParticipant, RejectedHandoverError
from thymeflow.handover.state_machine import (
    ReceiverAction,
    ReceiverEvent,
    ReceiverState,
    SenderEvent,
    advance_receiver,
)
from thymeflow.handover.step_timer import StepTimer
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.snapshot import schema
from thymeflow.snapshot.late_charges import apply_late_charges
from thymeflow.snapshot.store import SnapshotSource

MAX_DISCOVERY_WAIT_FRACTION = 0.5  # Fraction of a step's time limit in which discovery has to send its first reply.
MAX_LATE_UNITS = 1e9  # Late charges of a customer that reach this amount are ignored.


class HandoverReceiver:
    """Takes over the listening socket and the state of the sender; a failed handover leaves the sender as it was."""

    def __init__(self, participant: HandoverParticipant, path: Path) -> None:
        self._participant = participant
        self._path = path
        self.state = ReceiverState.REQUESTING
        self._sender: ControlConnection | None = None
        self._listening_socket: socket.socket | None = None
        self._step_timer = StepTimer(participant)
        # The sender's allocation, which arrives with the state; this process uses it once it may accept connections.
        self._allocation: object = None
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
        except OSError as error:  # The system forbids Unix sockets.
            self._abort(f"no predecessor to take over from: {error}")
            return
        connecting.addCallbacks(self._on_connected, self._on_connect_failed)

    def _restart_step_timer(self) -> None:
        self._step_timer.start(clock.now() + self._participant.step_timeout, self._on_timeout)

    def _on_timeout(self) -> None:
        self.step(ReceiverEvent.TIMED_OUT)

    def _on_disconnected(self) -> None:
        self._participant.limiter.share_limits_with_predecessor(None)
        self.step(ReceiverEvent.DISCONNECTED)

    def is_serving(self) -> bool:
        """Return whether this process accepts connections or starts without a handover: it shuts down gracefully."""
        return self.state in (ReceiverState.AWAITING_CONFIRMATION, ReceiverState.COMPLETED, ReceiverState.FAILED)

    def on_endpoints_known(self) -> None:
        """Continue the start; called once the endpoint list has arrived, or discovery did not send it in time."""
        if self.state is ReceiverState.STARTING_UP:
            self.step(ReceiverEvent.STARTED_UP)

    def step(self, event: ReceiverEvent) -> None:
        """Make the transition for an input and carry out the actions of the transition."""
        previous = self.state
        self.state, actions = advance_receiver(previous, event)
        if self.state in (ReceiverState.COMPLETED, ReceiverState.FAILED):
            self._step_timer.cancel()
        elif previous is not self.state:
            self._restart_step_timer()
        if self.state is ReceiverState.FAILED and previous is not self.state:
            log.emit(LogKind.HANDOVER, f"failed in state {previous.value!r} on event {event.value!r}")
        for action in actions:
            self._actions[action]()

    def _on_connect_failed(self, failure: Failure) -> None:
        self._abort(f"no predecessor to take over from: {failure.getErrorMessage()}")

    def _on_connected(self, session: control_client.ControlSession) -> None:
        self._sender = session
        if not session.is_same_user():
            self._abort(f"no handover is requested: the process that listens at {self._path} runs as another user")
        elif self.state is ReceiverState.FAILED:
            session.close()  # The step's time limit passed before the connection was open.
        else:
            self._send_request(session)

    def _send_request(self, session: control_client.ControlSession) -> None:
        log.emit(LogKind.HANDOVER, f"requested a handover at {self._path}")
        site = schema.compute_site_digest(self._participant.limiter.configuration.settings)
        session.send(messages.build_request_message(self._participant.incarnation, os.getpid(), site))

    def _abort(self, cause: str) -> None:
        log.emit(LogKind.HANDOVER, cause)
        self.step(ReceiverEvent.ABORTED)

    def _on_message(self, message: Message) -> None:
        received = messages.parse_sender_message(message)
        if received.open_connections is not None:
            self._participant.limiter.share_limits_with_predecessor(received.open_connections)
        if received.allocation is not None:
            self._allocation = received.allocation
        if received.event is not None:
            self.step(received.event)
        elif received.has_late_charges:
            self._apply_late_charges(received.late_charges)
        elif received.is_last and self._sender is not None:
            self._sender.close()
        elif received.rejection is not None:
            self._abort(f"the predecessor rejected the handover: {received.rejection}")

    def _get_connection(self) -> ControlConnection:
        assert self._sender is not None
        return self._sender

    def _start_up(self) -> None:
        connection = self._get_connection()
        try:
            self._listening_socket = self._participant.adopt_descriptors(connection.descriptors)
        except RejectedHandoverError as error:
            self._abort(f"the descriptors of the predecessor cannot be used: {error}")
            return
        os.close(connection.descriptors[0])
        connection.descriptors.clear()
        discovery_wait = min(FIRST_LIST_TIMEOUT, MAX_DISCOVERY_WAIT_FRACTION * self._participant.step_timeout)
        self._participant.limiter.connect(clock.now() + discovery_wait)

    def _send_ready(self) -> None:
        self._get_connection().send(messages.build_step_message(SenderEvent.RECEIVER_READY))

    def _restore_state(self) -> None:
        connection = self._get_connection()
        try:
            snapshot = self._read_snapshot(connection)
        except (schema.SnapshotError, OSError) as error:
            self._abort(f"the state of the predecessor cannot be used: {error}")
            return
        self._participant.snapshots.restore(snapshot, SnapshotSource.HANDOVER)
        connection.send(messages.build_step_message(SenderEvent.STATE_ACCEPTED))

    def _read_snapshot(self, connection: ControlConnection) -> schema.Snapshot:
        """Return the snapshot in the descriptor that came with the state message.

        :raises SnapshotError: if there is not exactly one descriptor, or the snapshot cannot be used.
        :raises OSError: if the descriptor cannot be read.
        """
        if len(connection.descriptors) != 1:
            message = f"{len(connection.descriptors)} descriptors came with the state, not 1"
            raise schema.SnapshotError(message)
        with os.fdopen(connection.descriptors.pop(), "rb") as file:
            file.seek(0)
            snapshot = schema.unpack(file.read(schema.MAX_SNAPSHOT_BYTES + 1))
        participant = self._participant
        configuration = participant.limiter.configuration
        site = schema.compute_site_digest(configuration.settings) if participant.requires_same_site else snapshot.site
        schema.check_applicable(snapshot, site, configuration.name, clock.now(), participant.step_timeout)
        return snapshot

    def _start_accepting(self) -> None:
        assert self._listening_socket is not None
        if self._allocation is not None:
            self._participant.inherit_allocation(self._allocation)
        cause = self._participant.start_accepting(self._listening_socket)
        if cause:
            log.emit(LogKind.HANDOVER, cause)
            self.state = ReceiverState.FAILED
            self._get_connection().close()  # The sender rolls back and accepts again when the connection ends.
            self._abandon()
            return
        self._get_connection().send(messages.build_step_message(SenderEvent.RECEIVER_SERVING))

    def _complete(self) -> None:
        name = self._participant.limiter.configuration.name
        log.emit(LogKind.HANDOVER, f"done: this incarnation owns name, socket and state of {name}")

    def _apply_late_charges(self, value: object) -> None:
        try:
            charges = messages.parse_late_charges(value)
        except (ValueError, TypeError, AttributeError):
            log.emit(LogKind.HANDOVER, "ignored late charges of the predecessor that cannot be parsed")
            return
        charges = {customer_id: units for customer_id, units in charges.items() if abs(units) < MAX_LATE_UNITS}
        charged = apply_late_charges(self._participant.limiter.gateway, charges)
        log.emit(LogKind.HANDOVER, f"{charged} of {len(charges)} customers charged for what came after the state")

    def _abandon(self) -> None:
        if self._listening_socket is not None:
            self._listening_socket.close()
        if self._sender is not None:
            self._sender.close()
        self._participant.abandon()
