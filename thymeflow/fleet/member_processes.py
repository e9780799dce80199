"""Starts the processes of members, and follows each process from its start or adoption to its end."""

from __future__ import annotations

import os
import shlex
import signal
from collections.abc import Callable
from functools import partial

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from thymeflow.fleet.actions import StartProcess
from thymeflow.fleet.events import RunEnded, StatusReported, SupervisorInterface
from thymeflow.fleet.lease_distributor import LeaseDistributor
from thymeflow.fleet.member_messages import STATUS_REQUEST, MemberStatus, parse_status
from thymeflow.fleet.member_runs import MemberRuns
from thymeflow.fleet.member_sockets import MemberSockets, format_address
from thymeflow.fleet.member_state import NO_RUN, Member
from thymeflow.fleet.options import SupervisorOptions
from thymeflow.fleet.outlier_service import OutlierService
from thymeflow.fleet.processes import (
    AdoptedProcess,
    ChildProcess,
    MemberRun,
    ProcessToFollow,
    build_member_command,
    spawn_member,
)
from thymeflow.fleet.reactor import FleetReactor
from thymeflow.fleet.registry import ConfigurationJson, FleetNames, read_template, write_member_configuration
from thymeflow.handover import control_client
from thymeflow.handover.control_socket import Message
from thymeflow.leases.allocation import EMPTY_ALLOCATION, allocation_to_message
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.settings.sections import Fleet

STATUS_TIMEOUT_SECONDS = 1.0  # A member that does not answer within this time counts as not running.
OUTPUT_FILE_MODE = 0o600
SUPERVISOR_VARIABLE_PREFIXES = ("LISTEN_", "NOTIFY_")  # Members do not inherit these environment variables.


class ProcessEnvironment:
    """The command line, environment, output file and configuration that the processes of members start with."""

    def __init__(self, options: SupervisorOptions, settings: Fleet, names: FleetNames) -> None:
        self.names = names
        self.program = options.program  # Command line of members; if empty, that of the running thymeflow.
        self.output_descriptor = -1  # -1 until `open_output`.
        self.template: ConfigurationJson = {}
        self._options = options
        self._settings = settings

    def read_template(self) -> None:
        """Read the platform's file, the template of the configurations that are written from now on.

        :raises ConfigurationError: the file is invalid; the previous template stays in use.
        """
        self.template = read_template(self._options.platform_path)

    def open_output(self) -> None:
        """Open the file to which all processes write their output.

        :raises OSError: the file cannot be opened.
        """
        path = self.names.supervisor_path("out")
        self.output_descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, OUTPUT_FILE_MODE)

    def replace_program(self, program: str) -> str:
        """Set the command line of processes that start from now on, and return the previous command line."""
        previous = self.program
        self.program = program
        return previous

    def build_command(self, action: StartProcess) -> list[str]:
        """Return the command line of the process to start."""
        arguments = ["--platform", str(self.names.path(action.number, "json"))]
        arguments += ["--state", str(self.names.folder), "--detach"]
        if self._options.settings_path:
            arguments += ["--settings", self._options.settings_path]
        if action.is_joining:
            arguments.append("--joins")
        if action.is_replacement:
            arguments.append("--take-over")
        return build_member_command(shlex.split(self.program), arguments)

    def build_variables(self) -> dict[str, str]:
        """Return the environment variables of the process to start."""
        variables = {
            name: value for name, value in os.environ.items() if not name.startswith(SUPERVISOR_VARIABLE_PREFIXES)
        }
        variables["THYMEFLOW_DAEMON_DRAIN_LINGER"] = f"{self._settings.linger:g}s"
        return variables


class MemberProcesses:
    """Starts, adopts and follows the processes of all members.

    Passes status reports and the ends of processes to the handler as events, allocation reports to the lease
    distributor, and outlier reports to the outlier service.
    """

    def __init__(
        self,
        reactor: FleetReactor,
        deadlines: clock.Deadlines,
        environment: ProcessEnvironment,
        sockets: MemberSockets,
        runs: MemberRuns,
        leases: LeaseDistributor,
        outliers: OutlierService,
        supervisor: SupervisorInterface,
    ) -> None:
        self._reactor = reactor
        self._deadlines = deadlines
        self._environment = environment
        self._names = environment.names
        self._sockets = sockets
        self._runs = runs
        self._leases = leases
        self._outliers = outliers
        self._supervisor = supervisor

    # --- requests and messages ------------------------------------------------------------------------------

    def request_status(self, number: int) -> Deferred[MemberStatus]:
        """Request the status of the process that owns the member's control socket.

        The Deferred fails if no process answers within `STATUS_TIMEOUT_SECONDS`.
        """
        status_deferred = control_client.send_request(
            self._reactor,
            self._deadlines,
            self._names.path(number, "sock"),
            STATUS_REQUEST,
            clock.now() + STATUS_TIMEOUT_SECONDS,
        )
        return status_deferred.addCallback(parse_status)

    def reconfigure_members(self, members: dict[int, Member], fleet_size: int) -> None:
        """Rewrite the configuration of each running member for a fleet size, and signal the member to reload it."""
        for number, member in members.items():
            if number not in self._sockets or member.run_id == NO_RUN:
                continue
            try:
                listen_address = self._sockets.address_text(number)
                write_member_configuration(self._names, self._environment.template, listen_address, number, fleet_size)
            except OSError as error:
                log.emit(
                    LogKind.RESIZE,
                    f"{self._names.name(number)} was not notified of the fleet size {fleet_size}: {error}",
                )
                continue
            self._runs.send_signal(member.run_id, signal.SIGHUP)

    # --- starts --------------------------------------------------------------------------------------------

    def start(self, action: StartProcess) -> None:
        """Start a process, or adopt the one that answers on the member's control socket."""
        spawn = partial(self._spawn, action)
        if action.is_replacement or not self._names.path(action.number, "sock").is_symlink():
            spawn()
            return
        # A control socket is published as a symbolic link. If a process answers on the member's control socket, it is
        # the successor from a handover that the previous supervisor began.
        self.request_status(action.number).addCallbacks(
            partial(self._adopt_or_spawn, action, spawn), partial(_call_ignoring_failure, spawn)
        )

    def _adopt_or_spawn(self, action: StartProcess, spawn: Callable[[], None], status: MemberStatus) -> None:
        process = self._open_process(status)
        if process is None:
            spawn()
            return
        log.emit(LogKind.ADOPTED, f"adopted the running member {self._names.name(action.number)}, pid {status.pid}")
        self.follow(ProcessToFollow(action.run_id, action.number, status.pid, process))

    def _spawn(self, action: StartProcess) -> None:
        name = self._names.name(action.number)
        try:
            child, pid = self._spawn_process(action)
        except (OSError, ValueError) as error:
            event = RunEnded(action.run_id, f"could not be started: {error}")
            self._reactor.callLater(0, self._supervisor.handle_event, event)
            return
        suffix = ", to take over from the running process" if action.is_replacement else ""
        log.emit(LogKind.STARTED, f"started a process of {name}, pid {pid}{suffix}", number=action.number)
        self.follow(ProcessToFollow(action.run_id, action.number, pid, child))

    def _spawn_process(self, action: StartProcess) -> tuple[ChildProcess, int]:
        listening_socket = self._sockets.open(action.number)
        allocation = self._issue_initial_allocation(action)
        write_member_configuration(
            self._names,
            self._environment.template,
            format_address(listening_socket),
            action.number,
            self._supervisor.fleet_size(),
            allocation,
        )
        return spawn_member(
            self._reactor,
            self._environment.build_command(action),
            self._environment.build_variables(),
            self._environment.output_descriptor,
            None if action.is_replacement else listening_socket,
        )

    def _issue_initial_allocation(self, action: StartProcess) -> Message:
        if action.is_replacement:
            return allocation_to_message(EMPTY_ALLOCATION)
        return self._leases.allocate_on_start(self._names.name(action.number))

    def _open_process(self, status: MemberStatus) -> AdoptedProcess | None:
        try:
            return AdoptedProcess(self._reactor, status.pid)
        except OSError:
            return None

    # --- following -----------------------------------------------------------------------------------------

    def follow(self, process: ProcessToFollow) -> None:
        """Connect to a process's control socket and handle its reports until it ends."""
        path = self._names.path(process.number, "sock")
        run = MemberRun(self._reactor, self._deadlines, path, process, self)
        self._runs.add(run)
        # The end is reported in the reactor's next turn at the earliest, because the other actions of the current event
        # are still being carried out.
        self._reactor.callLater(0, process.handle.report_end_to, run)
        run.connect()

    def on_status(self, run: MemberRun, status: MemberStatus) -> None:
        """Handle a status report of a run."""
        name = self._names.name(run.number)
        if status.allocation_report is not None:
            self._leases.on_report(name, status.allocation_report)
        if status.outlier_report is not None:
            self._outliers.on_report(name, status.outlier_report)
        self._supervisor.handle_event(
            StatusReported(run.run_id, status.incarnation, status.is_serving, status.is_healthy)
        )

    def on_disconnected(self, run: MemberRun) -> None:
        """Handle the end of the connection to a run."""
        if self._runs.has_run(run.number):
            self._leases.on_disconnected(self._names.name(run.number))
            self._outliers.on_member_gone(self._names.name(run.number))

    def on_ended(self, run: MemberRun, reason: str) -> None:
        """Handle the end of a run's process."""
        end_run = partial(self._end_run, run, reason)
        if not run.is_adopted:
            end_run()
            return
        # An adopted process may have been in a handover that the previous supervisor began. The successor then answers
        # on the member's control socket, and continues the run.
        self.request_status(run.number).addCallbacks(
            partial(self._follow_successor, run, end_run), partial(_call_ignoring_failure, end_run)
        )

    def _follow_successor(self, run: MemberRun, end_run: Callable[[], None], status: MemberStatus) -> None:
        process = self._open_process(status)
        if process is None:
            end_run()
            return
        log.emit(
            LogKind.ADOPTED,
            f"adopted the successor of {self._names.name(run.number)}, pid {status.pid}, which took over",
        )
        self.follow(ProcessToFollow(run.run_id, run.number, status.pid, process))

    def _end_run(self, run: MemberRun, reason: str) -> None:
        self._runs.remove(run.run_id)
        if not self._runs.has_run(run.number):
            self._leases.on_death(self._names.name(run.number))
            self._outliers.on_member_gone(self._names.name(run.number))
        self._supervisor.handle_event(RunEnded(run.run_id, reason))


def _call_ignoring_failure(function: Callable[[], None], _: Failure) -> None:
    function()
