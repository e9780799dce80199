"""The sender of a handover: carries out the actions of `state_machine.SENDER_TRANSITIONS`."""

from __future__ import annotations

import os

from twisted.internet.defer import Deferred, succeed

from thymeflow.decision.types import Status
from thymeflow.handover import messages
from thymeflow.handover.control_socket import ControlCaller, Message
from thymeflow.handover.participant import HandoverParticipant, count_open_connections
from thymeflow.handover.state_machine import SenderAction, SenderEvent, SenderState, advance_sender
from thymeflow.handover.step_timer import StepTimer
from thymeflow.limiter.phases import Phase
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.snapshot import schema
from thymeflow.snapshot.late_charges import LateCharges

MAX_LATE_CHARGES_PER_MESSAGE = 500  # The number of customers.
FLUSH_SECONDS = 0.2  # The time that the last messages get to be sent before the process ends.
CONNECTION_REPORT_INTERVAL_SECONDS = 0.2  # Interval between reports of the number of open connections.
DELEGATED_STATES = (SenderState.DELEGATED, SenderState.DRAINING)  # The receiver is the active process.


class RejectingCounter:
    """A counter that rejects every call, because the receiver reports the demand once it has the state."""

    # A counter's interface requires these parameters.
    def add(self, name: int, amount: float, ttl: float, deadline: float) -> Deferred[tuple[Status, float]]:  # noqa: ARG002
        """Reject the call like a counter that replies `-BUSY`."""
        return succeed((Status.FULL, 0.0))


def _send_no_last_messages() -> float:
    """Send no messages before the process stops; return the seconds that this takes, 0.0."""
    return 0.0


class HandoverSender:
    """Hands the listening socket and the state over to a receiver, and rolls back if the handover fails."""

    def __init__(self, participant: HandoverParticipant) -> None:
        self._participant = participant
        self.state = SenderState.SERVING
        self._receiver: ControlCaller | None = None
        self._late_charges: LateCharges | None = None
        self._state_descriptor = -1
        self._is_allocation_handed_over = False
        self._is_accept_permitted = False
        self._step_timer = StepTimer(participant)
        self._actions = {
            SenderAction.SEND_DESCRIPTORS: self._send_descriptors,
            SenderAction.PAUSE_LISTENER: self._pause_listener,
            SenderAction.PERMIT_ACCEPT: self._permit_accept,
            SenderAction.DELEGATE: self._delegate,
            SenderAction.CONFIRM_DELEGATION: self._confirm_delegation,
            SenderAction.DRAIN: self._drain,
            SenderAction.RESUME: self._resume,
            SenderAction.DISCONNECT_RECEIVER: self._disconnect_receiver,
            SenderAction.REJECT_INPUT: self._reject_input,
        }

    def handle(self, caller: ControlCaller, message: Message) -> bool:
        """Process a message if it belongs to a handover; return whether it belongs to one."""
        if messages.is_request(message):
            self._on_request(caller, messages.parse_request(message))
            return True
        event = messages.parse_step(message)
        if caller is not self._receiver or event is None:
            return False
        self.step(event)
        return True

    def _on_request(self, caller: ControlCaller, request: messages.HandoverRequest) -> None:
        rejection = self._find_rejection(request)
        if rejection is not None:
            caller.send(messages.build_rejection_message(rejection))
            return
        self._receiver = caller
        caller.keep_open(self._on_disconnected)
        log.emit(LogKind.HANDOVER, f"incarnation {request.incarnation}, pid {request.pid}, requested a handover")
        self.step(SenderEvent.REQUESTED)

    def _find_rejection(self, request: messages.HandoverRequest) -> str | None:
        # These texts are a format, because receivers of any version get them.
        limiter = self._participant.limiter
        phase = limiter.lifecycle.phase
        if phase not in (Phase.SERVING, Phase.EVACUATED):
            return f"it is {phase.value}"
        requires_same_site = self._participant.requires_same_site
        if requires_same_site and request.site != schema.compute_site_digest(limiter.gateway.settings):
            return "plans or place in the set differ: restart it instead"
        if self.state is not SenderState.SERVING:
            return f"a hand-over is under way ({self.state.value})"
        return None

    def _on_disconnected(self) -> None:
        self.step(SenderEvent.DISCONNECTED)

    def _on_timeout(self) -> None:
        self.step(SenderEvent.TIMED_OUT)

    def relinquish(self) -> None:
        """Give up the name and the state to another process permanently, without handing anything over."""
        self.state = SenderState.DRAINING

    def step(self, event: SenderEvent) -> None:
        """Make the transition for an input and carry out the actions of the transition."""
        previous = self.state
        self.state, actions = advance_sender(previous, event)
        if self.state is SenderState.SERVING:
            self._step_timer.cancel()
            if previous is not self.state:
                log.emit(
                    LogKind.HANDOVER,
                    f"failed in state {previous.value!r} on event {event.value!r}: this incarnation continues to serve",
                )
        elif previous is not self.state:
            self._step_timer.start(clock.now() + self._state_timeout(), self._on_timeout)
        is_rollback = previous is SenderState.DELEGATED and SenderAction.RESUME in actions
        if is_rollback and self._late_charges is not None:
            self._late_charges.charge_unreported(clock.now())
        for action in actions:
            self._actions[action]()

    def _state_timeout(self) -> float:
        if self.state is SenderState.DELEGATED:
            return self._participant.rollback_window
        return self._participant.step_timeout

    def _send(self, message: Message, *descriptors: int) -> None:
        if self._receiver is not None:
            self._receiver.send(message, *descriptors)

    def _send_descriptors(self) -> None:
        participant = self._participant
        address = participant.limiter.lifecycle.listen_address
        message = messages.build_descriptors_message(address, participant.incarnation)
        self._send(message, *participant.get_descriptors())

    def _pause_listener(self) -> None:
        limiter = self._participant.limiter
        limiter.lifecycle.port.stopReading()  # New connections wait in the kernel's accept queue.
        if limiter.counter is not None:
            limiter.dispatcher.counter = RejectingCounter()
        state = schema.pack(self._participant.snapshots.take_snapshot(True))
        self._late_charges = LateCharges(limiter.gateway, clock.now())
        limiter.lifecycle.on_stopping = self._send_late_charges
        self._state_descriptor = os.memfd_create("thymeflow-state")
        with os.fdopen(os.dup(self._state_descriptor), "wb") as file:
            file.write(state)
        self._is_allocation_handed_over = True
        message = messages.build_state_message(
            len(state), count_open_connections(limiter), self._participant.hand_over_allocation()
        )
        self._send(message, self._state_descriptor)

    def _close_state_descriptor(self) -> None:
        if self._state_descriptor >= 0:
            os.close(self._state_descriptor)
            self._state_descriptor = -1

    def _permit_accept(self) -> None:
        self._close_state_descriptor()
        self._is_accept_permitted = True
        self._send(messages.build_permission_message())

    def _confirm_delegation(self) -> None:
        self._send(messages.build_delegation_message())

    def _delegate(self) -> None:
        log.emit(
            LogKind.HANDOVER,
            "done: the successor accepts connections, and this incarnation completes its open requests",
        )
        self._confirm_delegation()
        self._participant.limiter.on_handover_changed(True)
        self._report_open_connections()

    def _report_open_connections(self, _: int = 0) -> None:
        if self.state in DELEGATED_STATES and self._receiver is not None and not self._receiver.is_closed:
            limiter = self._participant.limiter
            self._send(messages.build_open_connections_message(count_open_connections(limiter)))
            next_at = clock.now() + CONNECTION_REPORT_INTERVAL_SECONDS
            limiter.deadlines.schedule(next_at, self._report_open_connections)

    def _drain(self) -> None:
        self._participant.limiter.lifecycle.terminate(0.0)

    def _send_late_charges(self) -> float:
        """Send the charges since the snapshot; return the seconds to wait until the messages have been sent."""
        if self._late_charges is None or self._receiver is None or self._receiver.is_closed:
            return 0.0
        charges = list(self._late_charges.compute_units().items())
        for start in range(0, len(charges), MAX_LATE_CHARGES_PER_MESSAGE):
            chunk = charges[start : start + MAX_LATE_CHARGES_PER_MESSAGE]
            self._send(messages.build_late_charges_message(dict(chunk)))
        self._send(messages.build_last_message(len(charges)))
        return FLUSH_SECONDS

    def _resume(self) -> None:
        self._close_state_descriptor()
        limiter = self._participant.limiter
        if self._is_allocation_handed_over:
            self._is_allocation_handed_over = False
            self._participant.on_rolled_back(self._is_accept_permitted)
        self._late_charges = None
        self._is_accept_permitted = False
        limiter.lifecycle.on_stopping = _send_no_last_messages
        if limiter.counter is not None:
            limiter.dispatcher.counter = limiter.counter
        limiter.on_handover_changed(False)
        self._participant.on_resumed()

    def _disconnect_receiver(self) -> None:
        receiver = self._receiver
        if receiver is not None:
            self._receiver = None
            receiver.abort_silently()

    def _reject_input(self) -> None:
        self._send(messages.build_rejection_message(f"out of turn while {self.state.value}"))
