"""Handlers of the control socket's requests, and status updates for callers that watch."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

from thymeflow.daemon import control_messages
from thymeflow.daemon.control_messages import ControlCommand
from thymeflow.daemon.instance import Instance
from thymeflow.daemon.status import build_status, status_to_message
from thymeflow.handover.control_socket import ControlCaller, Message
from thymeflow.handover.sender import HandoverSender
from thymeflow.limiter import phases
from thymeflow.outliers.member import ejections_from_message
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind

WATCH_INTERVAL_SECONDS = 0.5  # Interval between status updates to callers that watch.


class ControllableService(Protocol):
    """The interface that control requests require of the service that they act on."""

    instance: Instance
    last_reload: str  # A text with the result of the last reload.

    @property
    def sender(self) -> HandoverSender:
        """The sender that hands the instance over to a successor."""

    def stop(self, linger: float | None) -> None:
        """Drain and stop; accept connections for `linger` more seconds, or for the configured time if it is None."""

    def reload(self) -> bool:
        """Read the complete configuration again; return whether it has been applied."""


class ControlRequestHandler:
    """Handles the requests of the control socket, and sends status updates to callers that watch."""

    def __init__(self, service: ControllableService) -> None:
        self._service = service
        self._watchers: list[ControlCaller] = []
        evacuate = partial(self._apply_operator_command, phases.OperatorCommand.EVACUATE)
        activate = partial(self._apply_operator_command, phases.OperatorCommand.ACTIVATE)
        self._handlers: dict[ControlCommand, Callable[[ControlCaller, Message], None]] = {
            ControlCommand.SEND_STATUS: self._send_status,
            ControlCommand.WATCH_STATUS: self._watch_status,
            ControlCommand.DRAIN: self._drain,
            ControlCommand.RELOAD: self._reload,
            ControlCommand.EVACUATE: evacuate,
            ControlCommand.ACTIVATE: activate,
            ControlCommand.SET_LOG_LEVEL: self._set_log_level,
            ControlCommand.WRITE_SNAPSHOT: self._write_snapshot,
            ControlCommand.SEND_LISTENING_SOCKET: self._send_listening_socket,
            ControlCommand.APPLY_ALLOCATION: self._apply_allocation,
            ControlCommand.APPLY_EJECTIONS: self._apply_ejections,
            ControlCommand.APPLY_ADMISSION_THRESHOLD: self._apply_admission_threshold,
        }

    def handle(self, caller: ControlCaller, message: Message) -> None:
        """Handle one request.

        :raises InvalidRequestError: if a value of the request is invalid; the caller gets the text as the reply.
        """
        if self._service.sender.handle(caller, message):
            return
        try:
            command = control_messages.parse_command(message)
        except control_messages.UnknownCommandError as error:
            caller.send({"ok": False, "why": str(error)})
        else:
            self._handlers[command](caller, message)

    def update_watchers(self) -> None:
        """Send the status to callers that watch."""
        if self._watchers:
            update = {"status": self._status_message()}
            for caller in list(self._watchers):
                caller.send(update)

    def update_watchers_at_interval(self, _: int = 0) -> None:
        """Send the status to callers that watch, now and then every WATCH_INTERVAL_SECONDS."""
        self.update_watchers()
        self._service.instance.limiter.deadlines.schedule(
            clock.now() + WATCH_INTERVAL_SECONDS, self.update_watchers_at_interval
        )

    def _status_message(self) -> Message:
        return status_to_message(build_status(self._service.instance, self._service.sender.state))

    def _send_status(self, caller: ControlCaller, _: Message) -> None:
        caller.send({"ok": True, **self._status_message()})

    def _watch_status(self, caller: ControlCaller, _: Message) -> None:
        self._watchers.append(caller)
        caller.keep_open(partial(self._watchers.remove, caller))
        caller.send({"status": self._status_message()})

    def _drain(self, caller: ControlCaller, message: Message) -> None:
        linger_seconds = control_messages.parse_linger_seconds(message)
        caller.send({"ok": True, "open": self._service.instance.limiter.dispatcher.open_count()})
        self._service.stop(linger_seconds)

    def _apply_operator_command(self, command: phases.OperatorCommand, caller: ControlCaller, _: Message) -> None:
        is_accepted, reason = self._service.instance.limiter.lifecycle.on_command(command)
        caller.send({"ok": is_accepted, "why": reason})

    def _reload(self, caller: ControlCaller, _: Message) -> None:
        is_reloaded = self._service.reload()
        caller.send({"ok": is_reloaded, "why": self._service.last_reload})

    def _set_log_level(self, caller: ControlCaller, message: Message) -> None:
        level = control_messages.parse_log_level(message)
        self._service.instance.log_handler.set_level(level)
        log.emit(LogKind.LEVEL, f"the log level is {level} until the next reload")
        caller.send({"ok": True})

    def _write_snapshot(self, caller: ControlCaller, _: Message) -> None:
        snapshot_file = self._service.instance.snapshot_file

        def on_written(cause: str) -> None:
            """Reply once the write has ended; `cause` is empty if the write succeeded."""
            caller.send(
                {"ok": not cause, "why": cause, "path": str(snapshot_file.path), **snapshot_file.build_status_message()}
            )

        writing = snapshot_file.start_write()
        if writing is None:
            caller.send({"ok": False, "why": "another write is in progress"})
        else:
            writing.addCallback(on_written)

    def _apply_allocation(self, _: ControlCaller, message: Message) -> None:
        # There is no reply, because the next status update reports the applied allocation to the watching supervisor.
        self._service.instance.allocation.on_grant(control_messages.get_allocation_field(message))
        self.update_watchers()

    def _apply_ejections(self, _: ControlCaller, message: Message) -> None:
        ejections = self._service.instance.ejections
        if ejections is None:
            return
        try:
            received = ejections_from_message(control_messages.get_ejections_field(message))
        except ValueError as error:
            log.emit_rate_limited(LogKind.OVERLOAD, f"ignored ejections that cannot be parsed: {error}")
        else:
            ejections.on_ejections(received, clock.now(), clock.monotonic())

    def _apply_admission_threshold(self, _: ControlCaller, message: Message) -> None:
        load_shedder = self._service.instance.load_shedder
        if load_shedder is None:
            return
        threshold = control_messages.get_admission_threshold_field(message)
        try:
            load_shedder.on_threshold(threshold, clock.now(), clock.monotonic())
        except ValueError as error:
            log.emit_rate_limited(LogKind.OVERLOAD, f"ignored an admission threshold that cannot be parsed: {error}")

    def _send_listening_socket(self, caller: ControlCaller, _: Message) -> None:
        # A supervisor that adopts this process keeps the duplicate, so the listening socket outlives the process.
        lifecycle = self._service.instance.limiter.lifecycle
        if lifecycle.port is None:
            caller.send({"ok": False, "why": "the limiter does not listen"})
        else:
            caller.send({"ok": True, "listen": lifecycle.listen_address}, lifecycle.port.fileno())
