"""The supervisor of a fleet: carries out the controller's actions with processes, sockets and files.

The supervisor keeps every listening socket open and passes it to the member (LISTEN_FDS), so that the address accepts
connections while the member restarts. Members run in sessions of their own and keep serving when the supervisor dies.
The next supervisor finds them by their control sockets, copies their listening sockets, and continues.
"""

from __future__ import annotations

import os
import random
import signal
import sys
from collections.abc import Callable
from functools import partial
from math import inf

from twisted.internet.defer import DeferredList

from thymeflow.daemon.exit_codes import BAD_CONFIGURATION, CANNOT_LISTEN, NAME_TAKEN
from thymeflow.daemon.lock import NameLock, NameTakenError, is_name_free
from thymeflow.daemon.notify import Notifier
from thymeflow.fleet.actions import (
    Action,
    Exit,
    KillProcess,
    ReportProgress,
    ResizeFleet,
    StartProcess,
    StopProcess,
    WriteLog,
)
from thymeflow.fleet.adoption import MemberAdopter
from thymeflow.fleet.control_requests import ControlRequests, OperationRequest, RequestHandlers
from thymeflow.fleet.controller import FleetController
from thymeflow.fleet.errors import SupervisorStartError
from thymeflow.fleet.events import Event, FleetStarted, OperationKind, Tick
from thymeflow.fleet.lease_distributor import LeaseDistributor
from thymeflow.fleet.member_processes import MemberProcesses, ProcessEnvironment
from thymeflow.fleet.member_runs import MemberRuns
from thymeflow.fleet.member_sockets import MemberSockets
from thymeflow.fleet.options import SupervisorOptions as SupervisorOptions  # The command line imports it from here.
from thymeflow.fleet.outlier_service import OutlierService
from thymeflow.fleet.reactor import FleetReactor
from thymeflow.fleet.registry import FleetNames, FleetRegistry
from thymeflow.fleet.registry_store import RegistryStore
from thymeflow.fleet.status_messages import JsonObject, build_fleet_status
from thymeflow.handover.control_socket import ControlError, ControlServer
from thymeflow.logs.structured import StructuredLog
from thymeflow.platform import configuration
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.settings import SettingsError

EXIT_DELAY_SECONDS = 0.1  # Time to send the last answer before the reactor stops.
MAX_CALLERS = 32  # Concurrent connections to the control socket.


class Supervisor:
    """Runs a fleet until it has shut down, or until an operator orders the supervisor to leave the members running."""

    def __init__(self, options: SupervisorOptions, reactor: FleetReactor) -> None:
        self.settings = options.read_settings()
        self.exit_code = 0
        self._options = options
        self._reactor = reactor
        self._fleet_settings = self.settings.fleet
        self._names = FleetNames(options.state_folder, self._fleet_settings.name)
        self._deadlines = clock.Deadlines(reactor)
        self._controller = FleetController(self._fleet_settings, random.Random(os.urandom(8)))
        self._log = StructuredLog(self.settings.log, "fleet", os.urandom(4).hex())
        self._notifier = Notifier(os.environ)
        self._tick_timer = clock.NOT_SCHEDULED
        self._lock: NameLock
        self._control: ControlServer
        self._registry = RegistryStore(self._names.supervisor_path("json"))
        self._environment = ProcessEnvironment(options, self._fleet_settings, self._names)
        self._sockets = MemberSockets(self._fleet_settings.listen)
        self._runs = MemberRuns(self._names)
        self._leases = LeaseDistributor(
            self._deadlines,
            self._names.supervisor_path("grants"),
            self._fleet_settings.name,
            self._runs.send,
            self.fleet_size,
        )
        self._outliers = OutlierService(self._deadlines, float(self.settings.budgets.trials), self._runs.send)
        self._processes = MemberProcesses(
            reactor,
            self._deadlines,
            self._environment,
            self._sockets,
            self._runs,
            self._leases,
            self._outliers,
            self,
        )
        handlers = RequestHandlers(
            self.status, self._leases.status, self._outliers.status, self._reload, self._schedule_reactor_stop
        )
        self._requests = ControlRequests(self._controller, self._environment, handlers, self)

    # --- start and end -------------------------------------------------------------------------------------

    def start(self) -> None:
        """Acquire the lock of the fleet's name, adopt the running members, and start the missing ones.

        :raises SupervisorStartError: the supervisor cannot start.
        """
        self._log.install()
        try:
            self._open_files()
        except configuration.ConfigurationError as error:
            raise SupervisorStartError(str(error), BAD_CONFIGURATION) from None
        except NameTakenError as error:
            text = f"another supervisor runs: {error}"
            raise SupervisorStartError(text, NAME_TAKEN) from None
        except (ControlError, OSError) as error:
            text = f"{self._options.state_folder}: {error}"
            raise SupervisorStartError(text, CANNOT_LISTEN) from None
        previous = self._read_previous_registry()
        self._leases.start(bool(self._names.find_control_sockets()))
        self._outliers.start()
        adopter = MemberAdopter(
            self._reactor, self._names, self._controller, self._processes, self._sockets, self._carry_out
        )
        adoptions = [adopter.adopt(number) for number in self._names.find_control_sockets()]
        DeferredList(adoptions, consumeErrors=True).addCallback(self._start_fleet, previous)

    def run(self) -> int:
        """Run the reactor until it stops, and return the exit code."""
        # Twisted installs its signal handlers when the reactor starts. Its SIGCHLD handler has to stay, because it
        # reports the ends of child processes; the supervisor then replaces the handlers of SIGTERM, SIGINT and SIGHUP.
        self._reactor.callWhenRunning(self._install_signal_handlers)
        self._reactor.run()
        self._control.close()
        self._lock.release()
        self._log.file.close()
        return self.exit_code

    def _open_files(self) -> None:
        self._options.state_folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._environment.read_template()
        self._lock = NameLock.acquire(self._names.supervisor_path("lock"), "supervisor")
        self._environment.open_output()
        self._control = ControlServer(
            self._reactor,
            self._deadlines,
            self._names.supervisor_path("sock"),
            MAX_CALLERS,
            self.settings.daemon.control_patience,
            self._requests.handle,
        )
        self._control.listen()

    def _read_previous_registry(self) -> FleetRegistry | None:
        previous = self._registry.read_previous()
        if previous is not None:
            self._sockets.restore_ports(previous.ports)
            if previous.working:
                log.emit(
                    LogKind.ROLL,
                    f"the last supervisor ended during an operation ({previous.working}), which is not resumed",
                )
        return previous

    def _start_fleet(self, adoptions: list[tuple[bool, int | None]], previous: FleetRegistry | None) -> None:
        has_adopted = any(is_successful and number is not None for is_successful, number in adoptions)
        for name in self._leases.find_members_with_allocation():
            if is_name_free(self._names.folder / f"{name}.lock"):
                self._leases.on_death(name)  # The kernel has released the lock, so the process has ended.
        # If members still run, the count that was ordered last applies; otherwise the count in the settings applies.
        count = previous.count if previous is not None and has_adopted else self._fleet_settings.instances
        self.handle_event(FleetStarted(count))
        self._notifier.notify(ready=1, mainpid=os.getpid(), status=f"{count} members")

    def _install_signal_handlers(self) -> None:
        signal.signal(signal.SIGTERM, partial(self._on_signal, self._shut_down))
        signal.signal(signal.SIGINT, partial(self._on_signal, self._shut_down))
        signal.signal(signal.SIGHUP, partial(self._on_signal, self._reload))

    def _on_signal(self, handler: Callable[[], object], *_: object) -> None:
        self._reactor.callFromThread(handler)

    def _shut_down(self) -> None:
        self._requests.begin_operation(None, OperationRequest(OperationKind.SHUTDOWN))

    def _schedule_reactor_stop(self) -> None:
        # The delay is counted from the reactor's next turn. If the current turn blocks on the disk for longer than the
        # delay, the reactor would otherwise stop before it sends the last answer.
        self._reactor.callLater(0, self._reactor.callLater, EXIT_DELAY_SECONDS, self._reactor.stop)

    # --- decisions -----------------------------------------------------------------------------------------

    def handle_event(self, event: Event) -> None:
        """Pass an event to the controller, and carry out the resulting actions."""
        self._carry_out(self._controller.handle(clock.now(), event))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            self._carry_out_action(action)
        self._sockets.close_all_except(self._controller.members)
        self._write_registry()
        self._set_tick_timer()

    def _carry_out_action(self, action: Action) -> None:
        match action:
            case StartProcess():
                self._processes.start(action)
            case StopProcess(run_id):
                self._runs.send_signal(run_id, signal.SIGTERM)
            case KillProcess(run_id):
                self._runs.send_signal(run_id, signal.SIGKILL)
            case ResizeFleet(size):
                self._processes.reconfigure_members(self._controller.members, size)
            case WriteLog(kind, text):
                log.emit(kind, text)
            case ReportProgress():
                self._requests.report(action)
            case Exit():
                self._notifier.notify(stopping=1)
                self._schedule_reactor_stop()

    def _write_registry(self) -> None:
        wanted_count = self._controller.wanted_count
        if wanted_count:  # The count is 0 until the fleet has started.
            operation = self._controller.describe_operation()
            self._registry.write_if_changed(FleetRegistry(wanted_count, self._sockets.ports, operation))

    def _set_tick_timer(self) -> None:
        self._deadlines.cancel(self._tick_timer)
        deadline = self._controller.next_deadline()
        if deadline < inf:
            self._tick_timer = self._deadlines.schedule(max(deadline, clock.now()), self._on_tick_timer)

    def _on_tick_timer(self, _: int) -> None:
        self.handle_event(Tick())

    # --- members -------------------------------------------------------------------------------------------

    def fleet_size(self) -> int:
        """Return the fleet size that members are notified of."""
        return self._controller.fleet_size

    def _reload(self) -> str:
        """Read the settings and the platform's file again.

        If they are invalid, change nothing and return the reason; otherwise return an empty text.
        """
        try:
            settings = self._options.read_settings()
            self._environment.read_template()
        except (SettingsError, configuration.ConfigurationError) as error:
            reason = f"the old settings stay: {' | '.join(str(error).splitlines())}"
            log.emit(LogKind.RELOAD, reason)
            return reason
        self._log.set_level(settings.log.level)
        self._processes.reconfigure_members(self._controller.members, self._controller.fleet_size)
        log.emit(
            LogKind.RELOAD, "the settings were read again; every member is signalled to read its configuration again"
        )
        return ""

    def status(self) -> JsonObject:
        """Return the status of the fleet and of each member in the control socket's format."""
        return build_fleet_status(self._controller, self._names, self._runs, self._sockets)


def supervise(options: SupervisorOptions) -> int:
    """Run a supervisor in the foreground until it stops, and return its exit code."""
    from twisted.internet import reactor  # The import installs the reactor, so it comes late.

    try:
        supervisor = Supervisor(options, reactor)
        supervisor.start()
    except SupervisorStartError as error:
        print(f"thymeflow: fleet cannot start: {error}", file=sys.stderr)
        return error.exit_code
    return supervisor.run()
