"""Handles the requests on the supervisor's control socket, and the operations that operators order there."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from thymeflow.fleet.actions import ReportProgress
from thymeflow.fleet.controller import FleetController
from thymeflow.fleet.events import OperationKind, OperationOrdered, SupervisorInterface
from thymeflow.fleet.member_processes import ProcessEnvironment
from thymeflow.fleet.status_messages import JsonObject
from thymeflow.handover.control_socket import ControlCaller, Message
from thymeflow.runtime import log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.settings.units import Count, InvalidValueError

MAX_MEMBERS = 256
MAX_PROGRAM_CHARACTERS = 4096
OPERATION_COMMANDS = tuple(kind.value for kind in OperationKind)


@dataclass(frozen=True, slots=True)
class RequestHandlers:
    """The handlers of requests that order no operation; `reload` returns an error text, which is empty on success."""

    get_status: Callable[[], JsonObject]
    get_lease_status: Callable[[], JsonObject]
    get_outlier_status: Callable[[], JsonObject]
    reload: Callable[[], str]
    leave: Callable[[], None]


@dataclass(frozen=True, slots=True)
class OperationRequest:
    """The content of a request that orders an operation."""

    kind: OperationKind
    count: int = 0  # Number of wanted members, for a SCALE only.
    program: str | None = None  # Command line of members that start from now on; None leaves it unchanged.


class ControlRequests:
    """Answers callers, and reports the progress of each operation to the caller who ordered it."""

    def __init__(
        self,
        controller: FleetController,
        environment: ProcessEnvironment,
        handlers: RequestHandlers,
        supervisor: SupervisorInterface,
    ) -> None:
        self._controller = controller
        self._environment = environment
        self._handlers = handlers
        self._supervisor = supervisor
        self._last_operation_id = 0
        self._callers: dict[int, ControlCaller] = {}  # Key: operation id.
        self._previous_programs: dict[int, str] = {}  # Key: id of the operation that replaced the program.
        # The keys are the values of `do` in a request.
        self._commands: dict[str, Callable[[ControlCaller], None]] = {
            "status": self._send_status,
            "budgets": self._send_lease_status,
            "overload": self._send_outlier_status,
            "reload": self._reload,
            "leave": self._leave,
        }

    def handle(self, caller: ControlCaller, message: Message) -> None:
        """Handle one request, and answer the caller.

        :raises ValueError: an argument of the request is invalid.
        """
        command = message.get("do")
        if isinstance(command, str) and command in self._commands:
            self._commands[command](caller)
        elif command in OPERATION_COMMANDS:
            self.begin_operation(caller, parse_operation(OperationKind(command), message))
        else:
            commands = ", ".join([*self._commands, *OPERATION_COMMANDS])
            caller.send({"ok": False, "why": f"'do' is {str(command)[:40]!r}; it may be {commands}"})

    def begin_operation(self, caller: ControlCaller | None, request: OperationRequest) -> None:
        """Start an operation that a caller orders; `caller` is None if the supervisor orders it."""
        self._last_operation_id += 1
        operation_id = self._last_operation_id
        if caller is not None:
            # The caller need not send another request while it waits for the reports.
            caller.is_persistent = True
            self._callers[operation_id] = caller
        # The program is not replaced while another operation is in progress, because the controller then rejects any
        # operation except a shutdown.
        if request.program is not None and not self._controller.describe_operation():
            self._previous_programs[operation_id] = self._environment.replace_program(request.program)
        suffix = f" to {request.count}" if request.kind is OperationKind.SCALE else ""
        log.emit(LogKind.ORDER, f"operation ordered: {request.kind.value}{suffix}")
        self._supervisor.handle_event(OperationOrdered(operation_id, request.kind, request.count))

    def report(self, report: ReportProgress) -> None:
        """Log a report of an operation, and send it to the caller who ordered it."""
        log.emit(LogKind.ORDER, report.text, done=report.is_done, good=report.is_successful)
        if report.is_done:
            self._restore_program(report)
        caller = self._callers.get(report.operation_id)
        if caller is not None and not caller.is_closed:
            caller.send(_build_progress_message(report))
        if report.is_done:
            self._callers.pop(report.operation_id, None)

    def _restore_program(self, report: ReportProgress) -> None:
        previous = self._previous_programs.pop(report.operation_id, None)
        if previous is not None and not report.is_successful:
            # A member that starts later must not run a program that failed.
            self._environment.replace_program(previous)

    def _send_status(self, caller: ControlCaller) -> None:
        caller.send({"ok": True, **self._handlers.get_status()})

    def _send_lease_status(self, caller: ControlCaller) -> None:
        caller.send({"ok": True, **self._handlers.get_lease_status()})

    def _send_outlier_status(self, caller: ControlCaller) -> None:
        caller.send({"ok": True, **self._handlers.get_outlier_status()})

    def _reload(self, caller: ControlCaller) -> None:
        error = self._handlers.reload()
        caller.send({"ok": not error, "why": error})

    def _leave(self, caller: ControlCaller) -> None:
        log.emit(LogKind.LEAVE, "the supervisor exits on request; its members keep serving without a supervisor")
        caller.send({"ok": True, "why": f"{len(self._controller.members)} members go on by themselves"})
        self._handlers.leave()


def parse_operation(kind: OperationKind, message: Message) -> OperationRequest:
    """Parse the operation that a request orders.

    :raises ValueError: the count or the program is invalid.
    """
    # Only plain ValueErrors are raised, because the control socket shows the name of the exception's type to callers,
    # to whom that name has to stay the same.
    count = _parse_count(message.get("count", 0)) if kind is OperationKind.SCALE else 0
    program = message.get("program")
    if program is not None and (not isinstance(program, str) or len(program) > MAX_PROGRAM_CHARACTERS):
        text = "program is no command line"
        raise ValueError(text)
    return OperationRequest(kind, count, program)


def _parse_count(count: object) -> int:
    try:
        return Count(1, MAX_MEMBERS).read(str(count))
    except InvalidValueError as error:
        text = f"count: {error}; {error.remedy}"
        raise ValueError(text) from None


def _build_progress_message(report: ReportProgress) -> Message:
    if report.is_done:
        return {"ok": report.is_successful, "why": report.text}
    return {"text": report.text}
