"""The actions that the fleet controller decides on and its supervisor carries out, and the list that collects them."""

from __future__ import annotations

from dataclasses import dataclass, field

from thymeflow.runtime.log_kinds import LogKind


@dataclass(frozen=True, slots=True)
class StartProcess:
    """Start a process of a member.

    With `is_joining` the member joins a running set; with `is_replacement` the process takes over from the run that
    serves.
    """

    run_id: int
    number: int
    is_joining: bool
    is_replacement: bool


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Request the graceful shutdown of a run."""

    run_id: int


@dataclass(frozen=True, slots=True)
class KillProcess:
    """Kill a run that hangs or did not shut down in time."""

    run_id: int


@dataclass(frozen=True, slots=True)
class ResizeFleet:
    """Notify every member of a new fleet size, including members that have yet to start."""

    size: int


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a log line."""

    kind: LogKind
    text: str


@dataclass(frozen=True, slots=True)
class ReportProgress:
    """Send a report to the operator who ordered an operation; `is_done` is set in the last report."""

    operation_id: int
    text: str
    is_done: bool = False
    is_successful: bool = True


@dataclass(frozen=True, slots=True)
class Exit:
    """Stop the supervisor, because every member has ended."""


Action = StartProcess | StopProcess | KillProcess | ResizeFleet | WriteLog | ReportProgress | Exit


@dataclass(slots=True)
class Decisions:
    """The actions decided on for one event, and the time of that event in seconds."""

    now: float = 0.0
    actions: list[Action] = field(default_factory=list)

    def begin(self, now: float) -> None:
        """Start an empty list for an event at `now`."""
        self.now = now
        self.actions = []

    def add(self, action: Action) -> None:
        """Append an action."""
        self.actions.append(action)

    def log(self, kind: LogKind, text: str) -> None:
        """Append a log line."""
        self.add(WriteLog(kind, text))

    def report(self, operation_id: int, text: str) -> None:
        """Append an intermediate report of an operation."""
        self.add(ReportProgress(operation_id, text))

    def report_success(self, operation_id: int, text: str) -> None:
        """Append the last report of an operation that succeeded."""
        self.add(ReportProgress(operation_id, text, is_done=True))

    def report_failure(self, operation_id: int, text: str) -> None:
        """Append the last report of an operation that failed or was rejected."""
        self.add(ReportProgress(operation_id, text, is_done=True, is_successful=False))
