"""The lifecycle of fleet members: starts, adoptions, stops, replacements and crashes.

A *run* is a process of a member, identified by a number. If the supervisor finds that a process that it adopted has
handed over to a successor, the successor continues the same run. Reports about a run that has ended are ignored.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from thymeflow.fleet.actions import Decisions, KillProcess, ResizeFleet, StartProcess, StopProcess
from thymeflow.fleet.events import StatusReported
from thymeflow.fleet.member_state import NO_RUN, Member, MemberState, Transition
from thymeflow.fleet.restart_policy import RestartPolicy
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.settings.sections import Fleet

_STATES_WITH_DEADLINE = (MemberState.WAITING, MemberState.STARTING, MemberState.REPLACING, MemberState.STOPPING)


class MemberLifecycle:
    """Tracks all members of a fleet and their runs; calls `on_fault(member, reason)` for each failure."""

    def __init__(
        self,
        settings: Fleet,
        policy: RestartPolicy,
        decisions: Decisions,
        on_fault: Callable[[Member, str], None],
    ) -> None:
        self.members: dict[int, Member] = {}
        self.fleet_size = 0  # The size that members are notified of.
        self._settings = settings
        self._policy = policy
        self._decisions = decisions
        self._on_fault = on_fault
        self._last_run_id = 0
        self._member_number_by_run_id: dict[int, int] = {}  # Key: run id.
        # The times at which a retiring run, which is a replaced run or an abandoned successor, is killed if it has not
        # ended. Key: run id.
        self._retiring_deadlines: dict[int, float] = {}

    # --- queries -------------------------------------------------------------------------------------------

    def has_retiring_runs(self) -> bool:
        """Return whether any replaced run or abandoned successor has not ended yet."""
        return bool(self._retiring_deadlines)

    def deadlines(self) -> list[float]:
        """Return the times at which `act_on_due_deadlines` is due for a member or a retiring run."""
        pending = [member.deadline for member in self.members.values() if member.state in _STATES_WITH_DEADLINE]
        return [*pending, *self._retiring_deadlines.values()]

    def find_members_in_state(self, state: MemberState) -> list[Member]:
        """Return the members in a state."""
        return [member for member in self.members.values() if member.state is state]

    def _find_member(self, run_id: int) -> Member | None:
        number = self._member_number_by_run_id.get(run_id)
        return None if number is None else self.members.get(number)

    # --- starts --------------------------------------------------------------------------------------------

    def start_fleet(self, count: int) -> None:
        """Schedule a start for each missing number below `count`, and stop members whose number is `count` or above."""
        adopted_count = len(self.members)
        missing = [number for number in range(count) if number not in self.members]
        for position, number in enumerate(missing):
            # Starts are spread over time, so that they do not load the counter, discovery and the backends all at
            # once. If members were adopted, the missing members died while no supervisor ran, so they start at once.
            delay = 0.0 if adopted_count else self._policy.compute_spread_delay_seconds(position, len(missing))
            self.members[number] = Member(number, deadline=self._decisions.now + delay)
        surplus = [member for member in self.members.values() if member.number >= count]
        # The size has to be above the numbers of surplus members too, because they serve until they have ended.
        self.resize(max([count, *(member.number + 1 for member in surplus)]))
        for member in surplus:
            self.stop(member)
        if adopted_count:
            text = f"{adopted_count} members were running and are adopted, {len(missing)} are started"
            self._decisions.log(LogKind.FLEET, text)

    def schedule_joining_members(self, numbers: range) -> None:
        """Schedule the start of new members that join the running set."""
        for position, number in enumerate(numbers):
            delay = self._policy.compute_spread_delay_seconds(position, len(numbers))
            self.members[number] = Member(number, deadline=self._decisions.now + delay, is_joining=True)

    def resize(self, size: int) -> None:
        """Set the fleet size, and notify all members if it has changed."""
        if size != self.fleet_size:
            self.fleet_size = size
            self._decisions.add(ResizeFleet(size))

    def adopt(self, number: int, incarnation: str, is_serving: bool) -> None:
        """Add a member that is already running."""
        member = Member(number)
        self.members[number] = member
        member.run_id = self._assign_run_id(member)
        member.incarnation = incarnation
        member.deadline = self._decisions.now + self._settings.ready
        member.apply(Transition.ADOPT)
        if is_serving:
            member.apply(Transition.BECOME_READY)
            member.healthy_since = self._decisions.now

    def schedule_start(self, member: Member) -> None:
        """Schedule a stopped or crash-looping member to start at the next tick."""
        member.apply(Transition.RESET)
        member.deadline = self._decisions.now

    def start_replacement(self, member: Member) -> None:
        """Start a successor that takes over from the run that serves."""
        member.apply(Transition.REPLACE)
        member.successor_run_id = self._assign_run_id(member)
        member.deadline = self._decisions.now + self._settings.ready
        member.healthy_since = inf
        action = StartProcess(member.successor_run_id, member.number, is_joining=False, is_replacement=True)
        self._decisions.add(action)

    def _assign_run_id(self, member: Member) -> int:
        self._last_run_id += 1
        self._member_number_by_run_id[self._last_run_id] = member.number
        return self._last_run_id

    def _start(self, member: Member) -> None:
        member.apply(Transition.START)
        member.run_id = self._assign_run_id(member)
        member.deadline = self._decisions.now + self._settings.ready
        member.healthy_since = inf
        member.is_kill_logged = False
        action = StartProcess(member.run_id, member.number, is_joining=member.is_joining, is_replacement=False)
        self._decisions.add(action)
        # Only the first start joins the set. A member that starts after a crash already belongs to the set.
        member.is_joining = False

    # --- stops ---------------------------------------------------------------------------------------------

    def stop(self, member: Member, *, restart: bool = False) -> None:
        """Stop a member gracefully; if `restart` is set, start it again after it has ended."""
        member.is_restarting = restart
        if member.successor_run_id != NO_RUN:
            self._abandon_replacement(member)
        if member.state in (MemberState.WAITING, MemberState.CRASH_LOOP):
            member.apply(Transition.STOP)
            self._restart_if_ordered(member)
        elif member.state not in (MemberState.STOPPING, MemberState.STOPPED):
            member.apply(Transition.STOP)
            member.deadline = self._decisions.now + self._settings.stop
            member.is_kill_logged = False
            self._decisions.add(StopProcess(member.run_id))

    def _abandon_replacement(self, member: Member) -> None:
        # The controller does not know the progress of the handover, so both processes get SIGTERM, on which they end
        # gracefully; a kill could lose requests. If the old run has already ended, the successor is the current run.
        if member.run_id == NO_RUN:
            member.run_id = member.successor_run_id
        else:
            self._set_retiring_deadline(member.successor_run_id)
            self._decisions.add(StopProcess(member.successor_run_id))
        member.successor_run_id = NO_RUN

    def _restart_if_ordered(self, member: Member) -> None:
        if member.is_restarting:
            member.is_restarting = False
            self.schedule_start(member)

    def _set_retiring_deadline(self, run_id: int) -> None:
        self._retiring_deadlines[run_id] = self._decisions.now + self._settings.stop

    # --- events --------------------------------------------------------------------------------------------

    def on_status(self, status: StatusReported) -> None:
        """Handle the status report of a run."""
        member = self._find_member(status.run_id)
        if member is None or status.run_id in self._retiring_deadlines:
            return
        if status.run_id == member.successor_run_id:
            if status.is_serving:
                self._complete_replacement(member, status)
        elif status.run_id == member.run_id:
            self._update_health(member, status)

    def _update_health(self, member: Member, status: StatusReported) -> None:
        member.incarnation = status.incarnation
        if status.is_serving and member.state is MemberState.STARTING:
            member.apply(Transition.BECOME_READY)
            member.healthy_since = self._decisions.now if status.is_healthy else inf
        elif member.state in (MemberState.READY, MemberState.REPLACING):
            if not status.is_healthy:
                member.healthy_since = inf
            elif member.healthy_since == inf:
                member.healthy_since = self._decisions.now

    def _complete_replacement(self, member: Member, status: StatusReported) -> None:
        if member.run_id != NO_RUN:
            self._set_retiring_deadline(member.run_id)
        member.run_id = member.successor_run_id
        member.successor_run_id = NO_RUN
        member.incarnation = status.incarnation
        member.healthy_since = self._decisions.now if status.is_healthy else inf
        member.apply(Transition.END_REPLACEMENT)

    def on_run_ended(self, run_id: int, reason: str) -> None:
        """Handle the end of a run."""
        number = self._member_number_by_run_id.pop(run_id, None)
        if run_id in self._retiring_deadlines:
            del self._retiring_deadlines[run_id]
            return
        member = None if number is None else self.members.get(number)
        if member is None:
            return
        if run_id == member.successor_run_id:
            self._on_replacement_failed(member, reason)
        elif run_id == member.run_id:
            self._on_current_run_ended(member, reason)

    def _on_current_run_ended(self, member: Member, reason: str) -> None:
        member.run_id = NO_RUN
        if member.successor_run_id != NO_RUN:
            return  # The successor will report that it serves, or end too.
        if member.state is MemberState.STOPPING:
            member.apply(Transition.END)
            self._restart_if_ordered(member)
            return
        self._on_crash(member, reason)

    def _on_replacement_failed(self, member: Member, reason: str) -> None:
        member.successor_run_id = NO_RUN
        if member.run_id == NO_RUN:
            self._on_crash(member, f"ended with its successor, which {reason}")
        else:
            member.apply(Transition.END_REPLACEMENT)
            self._on_fault(member, f"its successor {reason}")

    def _on_crash(self, member: Member, reason: str) -> None:
        member.healthy_since = inf
        crash_count = self._policy.record_crash(member, reason, self._decisions.now)
        if self._policy.is_crash_loop(crash_count):
            member.apply(Transition.ENTER_CRASH_LOOP)
            text = (
                f"member {member.number} ended {crash_count} times within {self._settings.crash_window:g} s and is "
                f"not started again before an order; the last time it {reason}"
            )
            self._decisions.log(LogKind.CRASH_LOOP, text)
        else:
            member.apply(Transition.END)
            backoff = self._policy.compute_backoff_seconds(crash_count)
            member.deadline = self._decisions.now + backoff
            self._decisions.log(LogKind.MEMBER, f"{member.number} {reason}; started again in {backoff:.2f} s")
        self._on_fault(member, f"it {reason}")

    # --- time ----------------------------------------------------------------------------------------------

    def act_on_due_deadlines(self) -> None:
        """Start the members whose start is due, and kill the runs that have exceeded their deadline."""
        for member in list(self.members.values()):
            if self._decisions.now >= member.deadline:
                self._on_deadline(member)
        for run_id, deadline in self._retiring_deadlines.items():
            if self._decisions.now >= deadline:
                self._set_retiring_deadline(run_id)
                self._decisions.add(KillProcess(run_id))

    def _on_deadline(self, member: Member) -> None:
        if member.state is MemberState.WAITING:
            self._start(member)
        elif member.state is MemberState.STARTING:
            self._kill(member, f"was not ready within {self._settings.ready:g} s", self._settings.ready)
        elif member.state is MemberState.STOPPING:
            self._kill(member, f"did not end within {self._settings.stop:g} s", self._settings.stop)
        elif member.state is MemberState.REPLACING and member.successor_run_id != NO_RUN:
            self._decisions.add(KillProcess(member.successor_run_id))
            self._member_number_by_run_id.pop(member.successor_run_id, None)
            self._on_replacement_failed(member, f"was not ready within {self._settings.ready:g} s")

    def _kill(self, member: Member, reason: str, retry_seconds: float) -> None:
        # A process that waits for a disk write does not die at once. The kill is repeated after `retry_seconds`.
        if not member.is_kill_logged:
            member.is_kill_logged = True
            self._decisions.log(LogKind.MEMBER, f"{member.number} {reason}: killed")
        self._decisions.add(KillProcess(member.run_id))
        member.deadline = self._decisions.now + retry_seconds
