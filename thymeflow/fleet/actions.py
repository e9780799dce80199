"""The actions that the fleet controller decides on and its supervisor carries out, and the list that collects them."""

from __future__ import annotations

from dataclasses import dataclass, field

from thymeflow.runtime.log_kinds import LogKind


@dataclass(frozen=True, slots=True)
class StartProcess:
    """Start a process of a member, which may join a running set, or take over from the run that serves."""

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
    """End a run at once: it hangs, or did not shut down in time."""

    run_id: int


@dataclass(frozen=True, slots=True)
class ResizeFleet:
    """Notify every member, present or yet to start, of a new size of the fleet."""

    size: int


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a log line."""

    kind: LogKind
    text: str


@dataclass(frozen=True, slots=True)
class ReportProgress:
    """Report to the operator who ordered an operation; the last report has `is_done`."""

    operation_id: int
    text: str
    is_done: bool = False
    is_successful: bool = True


@dataclass(frozen=True, slots=True)
class Exit:
    """End the supervisor: every member has ended."""


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
