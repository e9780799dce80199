"""Starts the processes of members, and follows each of them from its start or adoption to its end."""

from __future__ import annotations

import os
import shlex
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from thymeflow.fleet.actions import StartProcess
from thymeflow.fleet.events import Event, RunEnded, StatusReported
from thymeflow.fleet.lease_distributor import LeaseDistributor
from thymeflow.fleet.member_sockets import MemberSockets, format_address
from thymeflow.fleet.member_state import NO_RUN, Member
from thymeflow.fleet.options import SupervisorOptions
from thymeflow.fleet.outlier_service import OutlierService
from thymeflow.fleet.processes import AdoptedProcess, ChildProcess, MemberRun, member_command, spawn_member
from thymeflow.fleet.reactor import FleetReactor
from thymeflow.fleet.registry import ConfigurationTemplate, FleetNames, write_member
from thymeflow.handover import control_client
from thymeflow.handover.control_socket import Message
from thymeflow.leases.holder import EMPTY_ALLOCATION, message_of
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.settings.sections import Fleet

STATUS_TIMEOUT_SECONDS = 1.0  # within which a running member answers
SERVING_PHASE = "serving"  # the value of a status's `phase`
SUPERVISOR_VARIABLES = ("LISTEN_", "NOTIFY_")  # prefixes of variables that members do not inherit


@dataclass(slots=True)
class ProcessEnvironment:
    """What all processes of members are started with; the supervisor fills in and replaces parts of it."""

    options: SupervisorOptions
    settings: Fleet
    names: FleetNames
    program: str
    output_descriptor: int = -1
    template: ConfigurationTemplate = field(default_factory=dict)

    def command(self, action: StartProcess) -> list[str]:
        """Return the command line of a process."""
        arguments = ["--platform", str(self.names.path(action.number, "json"))]
        arguments += ["--state", str(self.names.folder), "--detach"]
        if self.options.settings_path:
            arguments += ["--settings", self.options.settings_path]
        if action.is_joining:
            arguments.append("--joins")
        if action.is_replacement:
            arguments.append("--take-over")
        return member_command(shlex.split(self.program), arguments)

    def variables(self) -> dict[str, str]:
        """Return the environment variables of a process."""
        variables = {name: value for name, value in os.environ.items() if not name.startswith(SUPERVISOR_VARIABLES)}
        variables["THYMEFLOW_DAEMON_DRAIN_LINGER"] = f"{self.settings.linger:g}s"
        return variables


class MemberProcesses:
    """The running processes of all members.

    Status reports and ends become events for `decide`; leases and outliers are reported on the way.
    """

    def __init__(
        self,
        reactor: FleetReactor,
        deadlines: clock.Deadlines,
        environment: ProcessEnvironment,
        sockets: MemberSockets,
        leases: LeaseDistributor,
        outliers: OutlierService,
        decide: Callable[[Event], None],
        fleet_size: Callable[[], int],
    ) -> None:
        self._reactor = reactor
        self._deadlines = deadlines
        self._environment = environment
        self._names = environment.names
        self._sockets = sockets
        self._leases = leases
        self._outliers = outliers
        self._decide = decide
        self._fleet_size = fleet_size
        self._runs: dict[int, MemberRun] = {}
        self._member_numbers: dict[int, int] = {}  # by run

    # --- queries and messages ------------------------------------------------------------------------------

    def run(self, run_id: int) -> MemberRun | None:
        """Return a run, None where it has ended."""
        return self._runs.get(run_id)

    def send(self, name: str, message: Message) -> None:
        """Send a message to all runs of a member."""
        for run_id, number in self._member_numbers.items():
            if self._names.name(number) == name and run_id in self._runs:
                self._runs[run_id].send(message)

    def send_signal(self, run_id: int, signal_number: int) -> None:
        """Send a signal to a run, unless it has ended."""
        if run_id in self._runs:
            self._runs[run_id].send_signal(signal_number)

    def request_status(self, number: int) -> Deferred[Message]:
        """Request the status of whichever process has the member's name; fails where none answers."""
        return control_client.send_request(
            self._reactor,
            self._deadlines,
            self._names.path(number, "sock"),
            {"do": "status"},
            clock.now() + STATUS_TIMEOUT_SECONDS,
        )

    def resize(self, members: dict[int, Member], fleet_size: int) -> None:
        """Rewrite the configuration of all members for a size, and let those that run read it again."""
        for number, member in members.items():
            if number not in self._sockets or member.run_id == NO_RUN:
                continue
            try:
                listen = self._sockets.address_text(number)
                write_member(self._names, self._environment.template, listen, number, fleet_size)
            except OSError as error:
                log.emit(LogKind.RESIZE, f"{self._names.name(number)} was not told: {error}")
                continue
            self.send_signal(member.run_id, signal.SIGHUP)

    # --- starts --------------------------------------------------------------------------------------------

    def start(self, action: StartProcess) -> None:
        """Start a process, or adopt one that already runs under the member's name."""
        spawn = partial(self._spawn, action)
        if action.is_replacement or not self._names.path(action.number, "sock").is_symlink():
            spawn()
            return
        # A process that answers to the name was in a handover that the previous supervisor had begun.
        self.request_status(action.number).addCallbacks(
            partial(self._adopt_or_spawn, action, spawn), partial(_call_ignoring_failure, spawn)
        )

    def _adopt_or_spawn(self, action: StartProcess, spawn: Callable[[], None], status: Message) -> None:
        process = self._adopted_process(status)
        if process is None:
            spawn()
            return
        log.emit(LogKind.ADOPTED, f"{self._names.name(action.number)}, pid {status['pid']}")
        self.follow(action.run_id, action.number, status["pid"], process)

    def _spawn(self, action: StartProcess) -> None:
        name = self._names.name(action.number)
        try:
            child, pid = self._spawn_process(action)
        except (OSError, ValueError) as error:
            event = RunEnded(action.run_id, f"could not be started: {error}")
            self._reactor.callLater(0, self._decide, event)
            return
        suffix = ", to take over" if action.is_replacement else ""
        log.emit(LogKind.STARTED, f"{name}, pid {pid}{suffix}", number=action.number)
        self.follow(action.run_id, action.number, pid, child)

    def _spawn_process(self, action: StartProcess) -> tuple[ChildProcess, int]:
        listening = self._sockets.open(action.number)
        allocation = self._initial_allocation(action)
        write_member(
            self._names,
            self._environment.template,
            format_address(listening),
            action.number,
            self._fleet_size(),
            allocation,
        )
        return spawn_member(
            self._reactor,
            self._environment.command(action),
            self._environment.variables(),
            self._environment.output_descriptor,
            None if action.is_replacement else listening,
        )

    def _initial_allocation(self, action: StartProcess) -> Message:
        if action.is_replacement:
            return message_of(EMPTY_ALLOCATION)
        return self._leases.on_starting(self._names.name(action.number))

    def _adopted_process(self, status: Message) -> AdoptedProcess | None:
        try:
            return AdoptedProcess(self._reactor, status["pid"])
        except (OSError, KeyError, TypeError):
            return None

    # --- following -----------------------------------------------------------------------------------------

    def follow(self, run_id: int, number: int, pid: int, process: ChildProcess | AdoptedProcess) -> None:
        """Follow a process until it ends."""
        run = MemberRun(
            self._reactor,
            self._deadlines,
            self._names.path(number, "sock"),
            pid,
            on_status=partial(self._on_status, run_id, number),
            on_ended=partial(self._on_process_ended, run_id, number, process),
            on_disconnected=partial(self._on_disconnected, number),
        )
        self._runs[run_id] = run
        self._member_numbers[run_id] = number
        # Not at once: the actions that this start is one of are still being carried out.
        self._reactor.callLater(0, process.report_end_to, run)
        run.connect()

    def _on_status(self, run_id: int, number: int, status: Message) -> None:
        # The keys are those of the status that members send over their control sockets.
        name = self._names.name(number)
        if status.get("part") is not None:
            self._leases.on_report(name, status["part"])
        if status.get("evidence") is not None:
            self._outliers.on_report(name, status["evidence"])
        is_serving = status.get("phase") == SERVING_PHASE
        self._decide(StatusReported(run_id, str(status.get("life")), is_serving, bool(status.get("healthy"))))

    def _on_disconnected(self, number: int) -> None:
        if number in self._member_numbers.values():
            self._leases.on_disconnected(self._names.name(number))
            self._outliers.on_member_gone(self._names.name(number))

    def _on_process_ended(self, run_id: int, number: int, process: ChildProcess | AdoptedProcess, reason: str) -> None:
        end_run = partial(self._end_run, run_id, number, reason)
        if isinstance(process, ChildProcess):
            end_run()
            return
        # An adopted process may have been in a handover that the previous supervisor had begun: then its
        # successor answers to the name, and is the same member.
        self.request_status(number).addCallbacks(
            partial(self._follow_successor, run_id, number, end_run), partial(_call_ignoring_failure, end_run)
        )

    def _follow_successor(self, run_id: int, number: int, end_run: Callable[[], None], status: Message) -> None:
        process = self._adopted_process(status)
        if process is None:
            end_run()
            return
        log.emit(LogKind.ADOPTED, f"{self._names.name(number)}, pid {status['pid']}, which took over")
        self.follow(run_id, number, status["pid"], process)

    def _end_run(self, run_id: int, number: int, reason: str) -> None:
        self._runs.pop(run_id, None)
        self._member_numbers.pop(run_id, None)
        if number not in self._member_numbers.values():
            self._leases.on_death(self._names.name(number))
            self._outliers.on_member_gone(self._names.name(number))
        self._decide(RunEnded(run_id, reason))


def _call_ignoring_failure(function: Callable[[], None], _: Failure) -> None:
    function()
