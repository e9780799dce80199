"""Runs the operations that operators order, one at a time: scaling, rolling restarts and upgrades, and shutdown.

A roll changes one member at a time. It continues with the next member only when the current one is ready and has been
healthy for the settle time, and stops if any member fails in the meantime.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf

from thymeflow.fleet.actions import Decisions, Exit
from thymeflow.fleet.events import OperationKind, OperationOrdered
from thymeflow.fleet.member_lifecycle import MemberLifecycle
from thymeflow.fleet.member_state import Member, MemberState
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.settings.sections import Fleet

NO_MEMBER = -1  # Stands for a member's number where there is no member.
ROLLING_KINDS = (OperationKind.RESTART, OperationKind.UPGRADE)


@dataclass(slots=True)
class OperationProgress:
    """The operation that is in progress."""

    operation: OperationOrdered
    total: int
    remaining_numbers: deque[int] = field(default_factory=deque)  # Numbers of members that a roll has not changed yet.
    current_member_number: int = NO_MEMBER
    failure: str = ""
    scaled_numbers: range = range(0)  # Numbers of the members that a scale adds or removes.
    unreported_numbers: set[int] = field(default_factory=set)  # Members in `scaled_numbers` not reported yet.

    def describe(self) -> str:
        """Return the operation's kind and its number of finished members as text."""
        done = self.total - len(self.remaining_numbers) - (self.current_member_number != NO_MEMBER)
        return f"{self.operation.kind.value}, {done} of {self.total} done"


class OperationRunner:
    """Runs one operation at a time over the members of a fleet."""

    def __init__(self, settings: Fleet, lifecycle: MemberLifecycle, decisions: Decisions) -> None:
        self.wanted_count = 0
        self._settings = settings
        self._lifecycle = lifecycle
        self._decisions = decisions
        self._progress: OperationProgress | None = None

    # --- queries -------------------------------------------------------------------------------------------

    def describe(self) -> str:
        """Return the operation in progress as text, empty if there is none."""
        return "" if self._progress is None else self._progress.describe()

    def deadlines(self) -> list[float]:
        """Return the time at which the rolling member will have been healthy for the settle time.

        The list is empty if no roll is in progress or its current member is not ready.
        """
        if self._progress is None or self._progress.current_member_number == NO_MEMBER:
            return []
        member = self._lifecycle.members[self._progress.current_member_number]
        if member.state is not MemberState.READY:
            return []
        return [member.healthy_since + self._settings.settle]

    # --- begin ---------------------------------------------------------------------------------------------

    def start_fleet(self, count: int) -> None:
        """Set the wanted number of members, and schedule the start of the missing ones."""
        self.wanted_count = count
        self._lifecycle.start_fleet(count)

    def begin(self, operation: OperationOrdered) -> None:
        """Begin an operation.

        If another operation is in progress, a shutdown aborts it, and an operation of any other kind is rejected.
        """
        if self._progress is not None and operation.kind is not OperationKind.SHUTDOWN:
            self._decisions.report_failure(operation.id, f"{self.describe()} is under way: wait for its end")
            return
        if self._progress is not None:
            self._abort("the fleet goes down")
        if operation.kind is OperationKind.SHUTDOWN:
            self._begin_shutdown(operation)
        elif operation.kind is OperationKind.SCALE:
            self._begin_scale(operation)
        else:
            self._begin_roll(operation)

    def _begin_shutdown(self, operation: OperationOrdered) -> None:
        members = self._lifecycle.members
        self._progress = OperationProgress(operation, total=len(members))
        for member in members.values():
            self._lifecycle.stop(member)

    def _begin_scale(self, operation: OperationOrdered) -> None:
        previous_count = self.wanted_count
        self.wanted_count = operation.count
        numbers = range(min(previous_count, operation.count), max(previous_count, operation.count))
        self._progress = OperationProgress(
            operation, total=len(numbers), scaled_numbers=numbers, unreported_numbers=set(numbers)
        )
        if operation.count > previous_count:
            # All members are notified before the starts. Otherwise a member that knows only the smaller set would
            # reject requests of customers whose set has grown.
            self._lifecycle.resize(operation.count)
            self._lifecycle.schedule_joining_members(numbers)
        else:
            for number in numbers:
                self._lifecycle.stop(self._lifecycle.members[number])

    def _begin_roll(self, operation: OperationOrdered) -> None:
        crash_looping = self._lifecycle.find_members_in_state(MemberState.CRASH_LOOP)
        if operation.kind is OperationKind.RESTART:
            # A restart is the operation that ends a crash loop.
            for member in crash_looping:
                member.crash_times.clear()
                self._lifecycle.schedule_start(member)
        members = self._lifecycle.members.values()
        rollable = [member for member in members if member not in crash_looping]
        unready = [member for member in rollable if member.state is not MemberState.READY]
        if operation.kind is OperationKind.UPGRADE:
            unready += crash_looping
        if unready:
            self._reject_roll(operation, unready[0])
            return
        self._progress = OperationProgress(
            operation, total=len(rollable), remaining_numbers=deque(member.number for member in rollable)
        )

    def _reject_roll(self, operation: OperationOrdered, unready: Member) -> None:
        text = (
            f"member {unready.number} is {unready.state.value}: nothing was touched; all have to be ready before a roll"
        )
        self._decisions.report_failure(operation.id, text)

    def on_member_fault(self, member: Member, reason: str) -> None:
        """Mark the roll in progress as failed; the fault of any member fails it."""
        progress = self._progress
        if progress is None or progress.operation.kind not in ROLLING_KINDS:
            return
        progress.failure = progress.failure or f"member {member.number}: {reason}"

    # --- advance -------------------------------------------------------------------------------------------

    def advance(self) -> None:
        """Take the next step of the operation in progress if it is due."""
        if self._progress is None:
            return
        match self._progress.operation.kind:
            case OperationKind.SHUTDOWN:
                self._advance_shutdown(self._progress)
            case OperationKind.SCALE:
                self._advance_scale(self._progress)
            case OperationKind.RESTART | OperationKind.UPGRADE:
                self._advance_roll(self._progress)

    def _abort(self, reason: str) -> None:
        if self._progress is not None:
            self._decisions.report_failure(self._progress.operation.id, reason)
            self._progress = None

    def _complete(self, progress: OperationProgress, text: str) -> None:
        self._decisions.report_success(progress.operation.id, text)
        self._progress = None

    def _advance_shutdown(self, progress: OperationProgress) -> None:
        is_stopped = all(member.state is MemberState.STOPPED for member in self._lifecycle.members.values())
        if is_stopped and not self._lifecycle.has_retiring_runs():
            self._complete(progress, "all have ended")
            self._decisions.add(Exit())

    def _advance_scale(self, progress: OperationProgress) -> None:
        members = self._lifecycle.members
        removed = [member for member in members.values() if member.number >= self.wanted_count]
        self._report_scaled_members(progress)
        scaled = [member for member in members.values() if member.number in progress.scaled_numbers]
        added = [member for member in scaled if member not in removed]
        crash_looping = [member for member in added if member.state is MemberState.CRASH_LOOP]
        if crash_looping:
            first = crash_looping[0]
            self._abort(f"member {first.number} is in a crash loop: {first.last_crash_reason}")
            return
        is_removal_done = all(member.state is MemberState.STOPPED for member in removed)
        if is_removal_done and all(member.state is MemberState.READY for member in added):
            for member in removed:
                del members[member.number]
            self._lifecycle.resize(self.wanted_count)
            self._complete(progress, f"the fleet has {self.wanted_count} members")

    def _report_scaled_members(self, progress: OperationProgress) -> None:
        for member in self._lifecycle.members.values():
            is_done = member.state in (MemberState.READY, MemberState.STOPPED)
            if member.number in progress.unreported_numbers and is_done:
                progress.unreported_numbers.discard(member.number)
                text = f"member {member.number} is {member.state.value}"
                self._decisions.report(progress.operation.id, text)

    def _advance_roll(self, progress: OperationProgress) -> None:
        if progress.current_member_number != NO_MEMBER and not progress.failure:
            member = self._lifecycle.members[progress.current_member_number]
            if not self._is_settled(member):
                return
            done = progress.total - len(progress.remaining_numbers)
            text = f"member {member.number} is ready ({done} of {progress.total})"
            self._decisions.report(progress.operation.id, text)
        if progress.failure:
            self._fail_roll(progress)
            return
        progress.current_member_number = NO_MEMBER
        if not progress.remaining_numbers:
            self._complete(progress, f"{progress.operation.kind.value} done: {progress.total} members")
            return
        self._roll_next_member(progress)

    def _is_settled(self, member: Member) -> bool:
        is_ready = member.state is MemberState.READY
        return is_ready and self._decisions.now >= member.healthy_since + self._settings.settle

    def _fail_roll(self, progress: OperationProgress) -> None:
        untouched = ", ".join(str(number) for number in progress.remaining_numbers)
        self._decisions.log(LogKind.ROLL, f"{progress.operation.kind.value} stopped: {progress.failure}")
        self._abort(f"stopped: {progress.failure}; not touched: {untouched or 'none'}")

    def _roll_next_member(self, progress: OperationProgress) -> None:
        progress.current_member_number = progress.remaining_numbers.popleft()
        member = self._lifecycle.members[progress.current_member_number]
        if progress.operation.kind is OperationKind.RESTART:
            member.healthy_since = inf
            self._lifecycle.stop(member, restart=True)
        else:
            self._lifecycle.start_replacement(member)
