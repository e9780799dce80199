"""The running processes of all members, found by run id or by the member's name."""

from __future__ import annotations

from thymeflow.fleet.processes import MemberRun
from thymeflow.fleet.registry import FleetNames
from thymeflow.handover.control_socket import Message


class MemberRuns:
    """The runs that the supervisor follows; drops messages and signals to a run that has ended."""

    def __init__(self, names: FleetNames) -> None:
        self._names = names
        self._runs: dict[int, MemberRun] = {}

    def add(self, run: MemberRun) -> None:
        """Add a run, or replace the run with the same id."""
        self._runs[run.run_id] = run

    def remove(self, run_id: int) -> None:
        """Remove a run that has ended."""
        self._runs.pop(run_id, None)

    def get(self, run_id: int) -> MemberRun | None:
        """Return the run with this id, None if it has ended."""
        return self._runs.get(run_id)

    def has_run(self, number: int) -> bool:
        """Return whether any process of the member runs."""
        return any(run.number == number for run in self._runs.values())

    def send(self, name: str, message: Message) -> None:
        """Send a message to all runs of a member."""
        for run in self._runs.values():
            if self._names.name(run.number) == name:
                run.send(message)

    def send_signal(self, run_id: int, signal_number: int) -> None:
        """Send a signal to a run."""
        if run_id in self._runs:
            self._runs[run_id].send_signal(signal_number)
