"""The requests of the control socket: one method for each command, and status updates for those that watch."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

from thymeflow.daemon.instance import Instance
from thymeflow.daemon.status import build_status
from thymeflow.handover.control_socket import ControlCaller, Message
from thymeflow.handover.sender import HandoverSender
from thymeflow.limiter import phases
from thymeflow.logs.structured import LEVELS
from thymeflow.outliers.member import ejections_from_message
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind

WATCH_INTERVAL = 0.5  # s between status updates to watching callers
MAX_LINGER_SECONDS = 60.0
MAX_SHOWN = 40  # characters of a bad value in a message


class ControllableService(Protocol):
    """What control requests need of the service that they act on."""

    instance: Instance
    last_reload: str  # what the last reload resulted in

    @property
    def sender(self) -> HandoverSender:
        """The sender that hands the instance over to a successor."""

    def stop(self, linger: float | None) -> None:
        """Drain and stop; `linger`: seconds for which clients may still come, None for the configured ones."""

    def reload(self) -> bool:
        """Read all configuration again; return whether it is in force."""


class ControlRequestHandler:
    """Answers requests of the control socket, and sends status updates to callers that watch."""

    def __init__(self, service: ControllableService) -> None:
        self._service = service
        self._watchers: list[ControlCaller] = []
        # The commands, by their names in messages; an error message lists them in this order.
        self._commands: dict[str, Callable[[ControlCaller, Message], None]] = {
            "status": self._status,
            "watch": self._watch,
            "drain": self._drain,
            "reload": self._reload,
            "evacuate": self._call_operator_action,
            "activate": self._call_operator_action,
            "level": self._set_log_level,
            "snapshot": self._write_snapshot,
            "socket": self._send_socket,
            "part": self._apply_allocation,
            "verdicts": self._apply_ejections,
            "shed": self._apply_admission_threshold,
        }

    def handle(self, caller: ControlCaller, message: Message) -> None:
        """Handle one request.

        :raises ValueError: if a value of the request is out of range; the text is for the caller.
        """
        command = message.get("do")
        if self._service.sender.handle(caller, message):
            return
        if isinstance(command, str) and command in self._commands:
            self._commands[command](caller, message)
        else:
            why = f"'do' is {str(command)[:MAX_SHOWN]!r}; it may be {', '.join(self._commands)}"
            caller.send({"ok": False, "why": why})

    def update_watchers(self) -> None:
        """Send the status to callers that watch."""
        if self._watchers:
            update = {"status": self._build_status()}
            for caller in list(self._watchers):
                caller.send(update)

    def tick(self, _: int = 0) -> None:
        """Send the status to callers that watch, now and at every interval."""
        self.update_watchers()
        self._service.instance.limiter.deadlines.schedule(clock.now() + WATCH_INTERVAL, self.tick)

    def _build_status(self) -> Message:
        return build_status(self._service.instance, self._service.sender.state)

    def _status(self, caller: ControlCaller, _: Message) -> None:
        caller.send({"ok": True, **self._build_status()})

    def _watch(self, caller: ControlCaller, _: Message) -> None:
        caller.is_persistent = True
        self._watchers.append(caller)
        caller.on_disconnected = partial(self._watchers.remove, caller)
        caller.send({"status": self._build_status()})

    def _drain(self, caller: ControlCaller, message: Message) -> None:
        linger = _linger_from_message(message)
        caller.send({"ok": True, "open": self._service.instance.limiter.dispatcher.open_count()})
        self._service.stop(linger)

    def _call_operator_action(self, caller: ControlCaller, message: Message) -> None:
        is_done, why = self._service.instance.limiter.lifecycle.on_command(phases.OperatorCommand(message["do"]))
        caller.send({"ok": is_done, "why": why})

    def _reload(self, caller: ControlCaller, _: Message) -> None:
        is_reloaded = self._service.reload()
        caller.send({"ok": is_reloaded, "why": self._service.last_reload})

    def _set_log_level(self, caller: ControlCaller, message: Message) -> None:
        level = message.get("level")
        if level not in LEVELS:
            fault = f"level is {str(level)[:MAX_SHOWN]!r}; it may be {', '.join(LEVELS)}"
            raise ValueError(fault)
        self._service.instance.log_handler.set_level(level)
        log.emit(LogKind.LEVEL, f"{level} from now on, until a reload")
        caller.send({"ok": True})

    def _write_snapshot(self, caller: ControlCaller, _: Message) -> None:
        snapshots = self._service.instance.snapshots

        def on_written(fault: str) -> None:
            """Respond when the write has ended."""
            caller.send({"ok": not fault, "why": fault, "path": str(snapshots.path), **snapshots.status()})

        writing = snapshots.write_now()
        if writing is None:
            caller.send({"ok": False, "why": "one is being written, or this life does not hold the name"})
        else:
            writing.addCallback(on_written)

    def _apply_allocation(self, _: ControlCaller, message: Message) -> None:
        # No response: the next status update reports the allocation in force to the watching supervisor.
        self._service.instance.allocation.on_grant(message.get("part"))
        self.update_watchers()

    def _apply_ejections(self, _: ControlCaller, message: Message) -> None:
        ejections = self._service.instance.ejections
        if ejections is None:
            return
        try:
            received = ejections_from_message(message.get("verdicts"))
        except ValueError as fault:
            log.emit_rate_limited(LogKind.OVERLOAD, f"verdicts that cannot be read change nothing: {fault}")
        else:
            ejections.on_ejections(received, clock.now(), clock.monotonic())

    def _apply_admission_threshold(self, _: ControlCaller, message: Message) -> None:
        load_shedder = self._service.instance.load_shedder
        if load_shedder is None:
            return
        try:
            load_shedder.on_threshold(message.get("level"), clock.now(), clock.monotonic())
        except ValueError as fault:
            log.emit_rate_limited(LogKind.OVERLOAD, f"a level that cannot be read changes nothing: {fault}")

    def _send_socket(self, caller: ControlCaller, _: Message) -> None:
        # A supervisor that adopts this process keeps a duplicate of the listening socket, to outlast the process.
        lifecycle = self._service.instance.limiter.lifecycle
        if lifecycle.port is None:
            caller.send({"ok": False, "why": "it does not listen"})
        else:
            caller.send({"ok": True, "listen": lifecycle.listen_address}, lifecycle.port.fileno())


def _linger_from_message(message: Message) -> float | None:
    """Return the seconds for which clients may still come, or None if the message has no `linger`.

    :raises ValueError: if it is not a number in range.
    """
    linger: object = message.get("linger")
    if linger is None:
        return None
    if isinstance(linger, bool) or not isinstance(linger, int | float) or not 0.0 <= linger <= MAX_LINGER_SECONDS:
        fault = f"linger is {str(linger)[:MAX_SHOWN]!r}, no number of seconds from 0 to {MAX_LINGER_SECONDS:g}"
        raise ValueError(fault)
    return linger
