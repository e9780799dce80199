"""Connects the lease issuer to the grant file and to the members: handles their reports and sends them grants."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from thymeflow.fleet.member_messages import build_grant_message
from thymeflow.fleet.status_messages import JsonObject, build_lease_status
from thymeflow.handover.control_socket import Message
from thymeflow.leases import grant_file
from thymeflow.leases.allocation import Allocation, allocation_to_message, report_from_message
from thymeflow.leases.errors import MalformedAllocationError
from thymeflow.leases.holder_state import HolderState
from thymeflow.leases.issuer import LeaseIssuer, Write
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind

TICK_INTERVAL_SECONDS = 0.25  # Interval between distributions of the fleet's limits.


class LeaseDistributor:
    """Divides the fleet's limits among the members, which are identified by name."""

    def __init__(
        self,
        deadlines: clock.Deadlines,
        grant_file_path: Path,
        fleet_name: str,
        send: Callable[[str, Message], None],
        fleet_size: Callable[[], int],
    ) -> None:
        self.write_error = ""  # Error of the last write of the grant file, empty if it succeeded.
        self._deadlines = deadlines
        self._grant_file_path = grant_file_path
        self._fleet_name = fleet_name
        self._send = send
        self._fleet_size = fleet_size
        self._issuer = LeaseIssuer(1, clock.monotonic())  # Has the first epoch; `start` replaces the issuer.

    def start(self, may_have_running_members: bool) -> None:
        """Continue from the previous supervisor's grant file.

        Set `may_have_running_members` if members of the previous supervisor may still run.
        """
        self._issuer, error = grant_file.read(
            self._grant_file_path, self._fleet_name, clock.monotonic(), may_have_running_members
        )
        if error:
            log.emit(LogKind.BUDGETS, f"the previous grant file is not used; a new epoch begins without it: {error}")
        log.emit(
            LogKind.BUDGETS,
            f"lease epoch {self._issuer.epoch} begins; {len(self._issuer.records)} members may have older allocations",
            era=self._issuer.epoch,  # Operators search logs by this field name.
        )
        self._tick(0)

    def find_members_with_allocation(self) -> list[str]:
        """Return the names of the members that may have an allocation."""
        return [name for name, record in self._issuer.records.items() if record.state is not HolderState.ABSENT]

    def allocate_on_start(self, name: str) -> Message:
        """Return the initial allocation of a member's new process, as a message."""
        # A start is legal only in these two states; the end of the connection leads to one of them from any other.
        if self._issuer.get_or_create_record(name).state not in (HolderState.ABSENT, HolderState.NOT_REPORTING):
            self._issuer.on_disconnected(name)
        allocation, _ = self._issuer.on_starting(name, clock.monotonic())
        if not self._write_grant_file():
            # Without a written grant file the process starts with an empty allocation, and is granted one later.
            allocation = Allocation(allocation.epoch, allocation.number)
        return allocation_to_message(allocation)

    def on_report(self, name: str, message: object) -> None:
        """Handle a member's report of its allocation; a malformed report is logged and ignored."""
        try:
            report = report_from_message(message)
        except MalformedAllocationError as error:
            log.emit_rate_limited(LogKind.BUDGETS, f"ignored a malformed allocation report from {name}: {error}")
            return
        self._issuer.on_report(name, report.allocation, report.demand, clock.monotonic())

    def on_disconnected(self, name: str) -> None:
        """Handle the end of the connection to a member."""
        self._issuer.on_disconnected(name)

    def on_death(self, name: str) -> None:
        """Handle the end of all processes of a member."""
        self._issuer.on_death(name)

    def status(self) -> JsonObject:
        """Return the limits, the allocations and their expiry times in the control socket's format."""
        return build_lease_status(self._issuer, self.write_error, clock.monotonic())

    def _write_grant_file(self) -> bool:
        try:
            grant_file.write(self._grant_file_path, self._issuer, self._fleet_name)
        except OSError as error:
            if not self.write_error:
                log.emit(
                    LogKind.BUDGETS,
                    f"the grant file was not written; nothing new is granted until a write succeeds: {error}",
                )
            self.write_error = str(error)
            return False
        self.write_error = ""
        return True

    def _tick(self, _: int) -> None:
        self._issuer.resize(self._fleet_size())
        for action in self._issuer.tick(clock.monotonic()):
            if isinstance(action, Write):
                self._write_and_grant(action)
            else:
                self._send_allocation(action.holder, action.allocation)
        self._deadlines.schedule(clock.now() + TICK_INTERVAL_SECONDS, self._tick)

    def _write_and_grant(self, action: Write) -> None:
        if not self._write_grant_file():
            self._issuer.on_write_failed(action.version)
            return
        for grant in self._issuer.on_written(action.version):
            self._send_allocation(grant.holder, grant.allocation)

    def _send_allocation(self, name: str, allocation: Allocation) -> None:
        self._send(name, build_grant_message(allocation))
