"""The daemon's limiter with its name, files, lock and log, and its connections to its fleet."""

from __future__ import annotations

import os
import secrets
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Protocol

from thymeflow.daemon.allocation import MemberAllocation
from thymeflow.daemon.lock import NameLock
from thymeflow.daemon.member_bounds import MemberBounds
from thymeflow.daemon.notify import Notifier
from thymeflow.daemon.snapshot_file import SnapshotFile
from thymeflow.decision.gateway import Gateway
from thymeflow.handover.control_socket import ControlError, ControlServer, MessageHandler
from thymeflow.handover.reactor_types import UnixReactor
from thymeflow.handover.shared_executed_requests import share_executed_requests
from thymeflow.limiter.assembly import Limiter, make_gateway
from thymeflow.logs.structured import StructuredLog
from thymeflow.outliers.member import MemberEjections
from thymeflow.platform import configuration
from thymeflow.quota.buckets import INITIAL_FILL_FRACTION
from thymeflow.runtime import clock
from thymeflow.runtime.clock import TimerReactor
from thymeflow.settings import Settings
from thymeflow.shedding.load_shedder import LoadShedder
from thymeflow.snapshot import restore, schema
from thymeflow.snapshot.store import SnapshotSource, SnapshotStore

INCARNATION_BYTES = 4  # The length of a process's random identifier.


class Reactor(UnixReactor, TimerReactor, Protocol):
    """The methods of Twisted's reactor that the daemon itself uses."""

    def callFromThread(self, function: Callable[[], object]) -> object:  # noqa: N802 - Twisted's name
        """Call a function in the reactor's thread; can be used in signal handlers and before the reactor runs."""

    def callWhenRunning(self, function: Callable[[], object]) -> object:  # noqa: N802 - Twisted's name
        """Call a function now, or once the reactor runs."""

    def run(self, installSignalHandlers: bool = True) -> None:  # noqa: N803 - Twisted's name
        """Run until `stop` is called."""

    def stop(self) -> None:
        """Let `run` return."""


class Instance:
    """One limiter under one name; `build_limiter` sets the attribute `limiter`."""

    limiter: Limiter

    def __init__(
        self,
        settings: Settings,
        load_configuration: Callable[[], configuration.Configuration],
        is_joining: bool,
        reactor: Reactor,
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self._load_configuration = load_configuration
        self._is_joining = is_joining
        self.configuration = load_configuration()
        self.name = self.configuration.name
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.started_at = clock.now()
        self.log_handler = StructuredLog(settings.log, self.name, self.incarnation)
        self.notifier = Notifier(os.environ)
        self.folder = Path(settings.daemon.state or f".thymeflow-{self.name}")
        self.snapshots = SnapshotStore(self.name, self.incarnation, self.configuration.endpoints)
        self.snapshot_file = SnapshotFile(self.get_file_path("state"), self.snapshots)
        self.allocation = MemberAllocation(self.configuration.allocation)
        self.ejections: MemberEjections | None = None
        self.load_shedder: LoadShedder | None = None
        self.lock: NameLock | None = None
        self.control: ControlServer | None = None
        self.exit_code = 0

    def get_file_path(self, suffix: str) -> Path:
        """Return the path of a file of this instance: `lock`, `sock`, `state` or `ids`."""
        return self.folder / f"{self.name}.{suffix}"

    def acquire_name(self) -> None:
        """Acquire the lock of the name, which this process owns from now on.

        :raises NameTakenError: if another process owns it.
        :raises OSError: if the lock file cannot be opened.
        """
        self.lock = NameLock.acquire(self.get_file_path("lock"), self.incarnation)

    def adopt_name(self, descriptor: int) -> None:
        """Take over the name with the open descriptor of the predecessor's lock.

        :raises NameTakenError: if the descriptor does not refer to the lock file.
        :raises OSError: if the lock file or the descriptor does not exist.
        """
        self.lock = NameLock.adopt(self.get_file_path("lock"), descriptor)

    def write_owner(self) -> None:
        """Write this process into the lock file as the owner of the name."""
        assert self.lock is not None
        self.lock.write_owner(self.incarnation)

    def forget_name(self) -> None:
        """Stop owning the name, which the predecessor, the other owner of the lock, keeps."""
        self.lock = None

    def set_exit_code(self, exit_code: int) -> None:
        """Set the code that this process exits with."""
        self.exit_code = exit_code

    def apply_reloaded(self, settings: Settings) -> None:
        """Apply the sections of the settings that a reload may change: the log and the snapshots."""
        self.settings = replace(self.settings, log=settings.log, snapshot=settings.snapshot)
        self.log_handler.set_level(settings.log.level)

    def build_limiter(self, snapshot: schema.Snapshot | None, on_endpoints_known: Callable[[], None]) -> None:
        """Build the limiter and restore the snapshot, if there is one.

        `on_endpoints_known` is called once the limiter knows its endpoint list.
        """
        initial = self.configuration
        if snapshot is not None:
            initial = replace(initial, endpoints=restore.select_newest_endpoint_update(snapshot, initial.endpoints))
        gateway = self._build_gateway(initial)
        self._connect_to_fleet(gateway)
        self.limiter = Limiter(
            initial, self.reactor, gateway, self._load_configuration, self.settings.daemon.drain_linger
        )
        share_executed_requests(self.limiter, self.get_file_path("ids"))
        self.limiter.on_endpoints_applied = self.snapshots.on_endpoint_update
        self.limiter.on_endpoints_available = on_endpoints_known
        self.snapshots.on_endpoint_update(initial.endpoints)
        if snapshot is not None:
            self.snapshots.restore(snapshot, SnapshotSource.FILE)

    def _build_gateway(self, initial: configuration.Configuration) -> Gateway:
        budgets = self.settings.budgets
        # All members of a fleet run on one machine and share its monotonic clock, which is never stepped.
        return make_gateway(
            replace(initial, units=budgets.units),
            0.0 if self._is_joining else INITIAL_FILL_FRACTION,
            clock.monotonic() - clock.now(),
        )

    def _connect_to_fleet(self, gateway: Gateway) -> None:
        if self.settings.overload.together:
            self.ejections = MemberEjections(gateway)
            self.load_shedder = LoadShedder(gateway)
        self.snapshots.set_gateway(gateway)
        gateway.set_fleet_bounds(
            MemberBounds(self.allocation, self._build_fleet_limits(), self.ejections, self.load_shedder)
        )

    def _build_fleet_limits(self) -> dict[str, float]:
        budgets = self.settings.budgets
        # The keys are the names of the resources in `leases.resources`, which are a format between processes.
        limits = {"calls": float(budgets.calls), "trials": float(budgets.trials)}
        if budgets.connections:
            limits["connections"] = float(budgets.connections)
        return limits

    def open_control(self, handler: MessageHandler) -> str:
        """Open the control socket, if the settings have one; return the cause of a failure, or an empty string."""
        daemon = self.settings.daemon
        if not daemon.control:
            return ""
        self.control = ControlServer(
            self.reactor,
            self.limiter.deadlines,
            self.get_file_path("sock"),
            daemon.control_callers,
            daemon.control_patience,
            handler,
        )
        try:
            self.control.listen()
        except (ControlError, OSError) as error:
            return f"control socket: {error}"
        return ""
