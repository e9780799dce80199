"""Characterization of the fleet controller: the decisions of seeded runs, as digests that survive a renaming.

A model of members' processes drives the controller: starts that succeed, fail or hang, ends that are asked for and
not, adoption, health reports and orders that overlap. Decisions and texts have digests of their own, as a text may be
reworded on purpose while a decision may not change.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from typing import Any, TypeAlias

import pytest

from tests.golden_trace import Trace, assert_golden, golden
from thymeflow.fleet import actions, events, member_state
from thymeflow.fleet.controller import FleetController
from thymeflow.settings.sections import Fleet

# --- the controller's names, all of them in this part ----------------------------------------------------------

STATES = {
    member_state.MemberState.WAITING: "waiting",
    member_state.MemberState.STARTING: "starting",
    member_state.MemberState.READY: "ready",
    member_state.MemberState.REPLACING: "replacing",
    member_state.MemberState.STOPPING: "stopping",
    member_state.MemberState.STOPPED: "down",
    member_state.MemberState.CRASH_LOOP: "crash loop",
}
TRANSITIONS = {
    member_state.Transition.START: "start",
    member_state.Transition.ADOPT: "adopt",
    member_state.Transition.BECOME_READY: "serves",
    member_state.Transition.END: "ends",
    member_state.Transition.ENTER_CRASH_LOOP: "loops",
    member_state.Transition.REPLACE: "replace",
    member_state.Transition.FINISH_REPLACEMENT: "settle",
    member_state.Transition.STOP: "stop",
    member_state.Transition.RESET: "again",
}
START, STOP, KILL, RESIZE, LOG, REPORT, EXIT = "start", "stop", "kill", "resize", "log", "report", "exit"
ACTIONS: dict[type, str] = {
    actions.StartProcess: START,
    actions.StopProcess: STOP,
    actions.KillProcess: KILL,
    actions.ResizeFleet: RESIZE,
    actions.WriteLog: LOG,
    actions.ReportProgress: REPORT,
    actions.Exit: EXIT,
}
OPERATIONS = {
    "scale": events.OperationKind.SCALE,
    "restart": events.OperationKind.RESTART,
    "upgrade": events.OperationKind.UPGRADE,
    "down": events.OperationKind.SHUTDOWN,
}
TABLE = member_state.TRANSITIONS
Controller: TypeAlias = FleetController
Event: TypeAlias = events.Event
Action: TypeAlias = actions.Action
Member: TypeAlias = member_state.Member


def operation_of(number: int, kind: str, count: int) -> Event:
    """Return an operator's order."""
    return events.Operation(number, OPERATIONS[kind], count)


def controller_of(seed: int) -> Controller:
    """Return a controller with short times."""
    settings = Fleet(
        instances=3,
        spread=1.0,
        ready=5.0,
        settle=0.5,
        stop=4.0,
        wait=0.5,
        longest_wait=8.0,
        crashes=3,
        crash_window=30.0,
    )
    return Controller(settings, random.Random(seed))


def states_of(controller: Controller) -> list[list[object]]:
    """Return each member's number, state, and the runs that serve and start up."""
    return [[n, STATES[m.state], m.run_id, m.successor_run_id] for n, m in controller.members.items()]


def values_of(action: Action) -> list[Any]:
    """Return an action's label and its values in declared order."""
    return [ACTIONS[type(action)], *(getattr(action, f.name) for f in fields(action))]


def record_transitions(monkeypatch: pytest.MonkeyPatch) -> set[tuple[str, str]]:
    """Return a set that collects the pairs of state and transition that members go through from now on."""
    pairs = set[tuple[str, str]]()
    original: Callable[[Member, member_state.Transition], None] = Member.apply

    def recorded(member: Member, transition: member_state.Transition) -> None:
        pairs.add((STATES[member.state], TRANSITIONS[transition]))
        original(member, transition)

    monkeypatch.setattr(Member, original.__name__, recorded)
    return pairs


# --- the model --------------------------------------------------------------------------------------------------

EPISODES = 60
EPISODE_STEPS = 110
SHUTDOWN_STEPS = 500  # a controller that asks for ticks and does nothing fails here instead of running forever
NEVER = 1e9
OPERATION_WEIGHTS = (0.35, 0.3, 0.33, 0.02)
ENDS = ("ended with code 0", "ended with code 1", "was killed by signal 9")


@dataclass(slots=True)
class Process:
    """One process of the model."""

    number: int
    replaces: bool
    serves_at: float
    ends_at: float
    serves: bool = False
    healthy: bool = True
    predecessor: int = -1


@dataclass(slots=True)
class Model:
    """The processes that a controller asked for; `fault_rate` is how likely each of them goes wrong."""

    controller: Controller
    rng: random.Random
    fault_rate: float
    decisions: Trace
    texts: Trace
    now: float = 1000.0
    processes: dict[int, Process] = field(default_factory=dict)
    serving: dict[int, int] = field(default_factory=dict)
    operations: int = 0
    is_over: bool = False

    def handle(self, label: str, event: Event) -> None:
        """Hand over one event, trace what is decided, and carry it out."""
        actions = [values_of(action) for action in self.controller.handle(self.now, event)]
        for action in actions:
            self._carry_out(action)
        due = self.controller.next_deadline()
        plain = [_without_text(action) for action in actions]
        self.decisions.add(label, round(self.now, 6), plain, states_of(self.controller), round(due, 6))
        self.texts.add(
            [action for action in actions if action[0] in (LOG, REPORT)], self.controller.describe_operation()
        )

    def _carry_out(self, action: list[Any]) -> None:
        if action[0] == START:
            _, run, number, _, replaces = action
            self.processes[run] = self._new_process(number, replaces)
        elif action[0] == STOP and action[1] in self.processes:
            hangs = self.rng.random() < self.fault_rate
            self._end_in(action[1], NEVER if hangs else self.rng.uniform(0.0, 2.0))
        elif action[0] == KILL and action[1] in self.processes:
            self._end_in(action[1], self.rng.choice([0.0, 0.05, 6.0]))
        elif action[0] == EXIT:
            self.is_over = True

    def _end_in(self, run: int, seconds: float) -> None:
        process = self.processes[run]
        process.ends_at = min(process.ends_at, self.now + seconds)

    def _new_process(self, number: int, replaces: bool) -> Process:
        fate, delay = self.rng.random(), self.rng.uniform(0.05, 3.0)
        serves_at = NEVER if fate < self.fault_rate else self.now + delay
        ends_at = self.now + self.rng.uniform(0.0, 2.5) if fate < self.fault_rate * 0.6 else NEVER
        predecessor = self.serving.get(number, -1) if replaces else -1
        return Process(number, replaces, serves_at, ends_at, predecessor=predecessor)

    def adopt(self, number: int, serves: bool) -> None:
        """Let the controller adopt a process that ran before."""
        self.handle("adopted", events.MemberAdopted(number, f"life{number}", serves))
        run = next(row[2] for row in states_of(self.controller) if row[0] == number)
        assert isinstance(run, int)
        later = self.now + self.rng.uniform(0.1, 4.0)
        self.processes[run] = Process(number, False, NEVER if serves else later, NEVER, serves)
        if serves:
            self.serving[number] = run

    def step(self) -> None:
        """Let the next event happen: a process's change, a deadline, or a random event."""
        serves = min(((p.serves_at, run) for run, p in self.processes.items() if not p.serves), default=(NEVER, -1))
        ends = min(((p.ends_at, run) for run, p in self.processes.items()), default=(NEVER, -1))
        due = (max(self.now, self.controller.next_deadline()), -1)
        chance = (self.now + self.rng.expovariate(1.5), -1)
        at, run = min(serves, ends, due, chance)
        self.now = max(self.now, at)
        if (at, run) == ends:
            self._process_ends(run)
        elif (at, run) == serves:
            self._process_serves(run)
        elif (at, run) == due:
            self.handle("tick", events.Tick())
        else:
            self._random_event()

    def _process_serves(self, run: int) -> None:
        process = self.processes[run]
        process.serves, process.healthy = True, self.rng.random() > self.fault_rate / 2
        if process.predecessor in self.processes and self._predecessor_is_first(process, run):
            return
        self.serving[process.number] = run
        self.handle("told", events.StatusReported(run, f"life{run}", True, process.healthy))

    def _predecessor_is_first(self, process: Process, run: int) -> bool:
        # Whether the predecessor's end is known before its successor's report, which then comes later or never.
        hangs = self.rng.random() < self.fault_rate
        self._end_in(process.predecessor, NEVER if hangs else self.rng.uniform(0.0, 1.5))
        if self.rng.random() > 0.3:
            return False
        self._process_ends(process.predecessor)
        if self.rng.random() < 2.0 * self.fault_rate:
            self._process_ends(run)
        elif self.rng.random() < 0.5:
            process.serves, process.serves_at = False, self.now + self.rng.uniform(0.1, 1.0)
            if self.rng.random() < 0.2:
                self._begin_operation("down")
        else:
            return False
        return True

    def _process_ends(self, run: int) -> None:
        process = self.processes.pop(run)
        if self.serving.get(process.number) == run:
            del self.serving[process.number]
        self.handle("ended", events.RunEnded(run, self.rng.choice(ENDS)))

    def _random_event(self) -> None:
        sample = self.rng.random()
        run = self.rng.choice(list(self.processes)) if self.processes else -1
        if sample < 0.30:
            self._begin_operation(*self.rng.choices(list(OPERATIONS), OPERATION_WEIGHTS))
        elif sample < 0.30 + 0.4 * self.fault_rate and run >= 0:
            self._process_ends(run)
        elif sample < 0.95 and run >= 0:
            process = self.processes[run]
            process.healthy = not process.healthy if self.rng.random() < 0.7 else process.healthy
            self.handle("told", events.StatusReported(run, f"life{run}", process.serves, process.healthy))
        elif sample < 0.97:
            self.handle("told", events.StatusReported(self.rng.randrange(1, 400), "stranger", True, True))
        else:
            self.handle("ended", events.RunEnded(self.rng.randrange(300, 400), ENDS[0]))

    def _begin_operation(self, kind: str) -> None:
        self.operations += 1
        self.handle(kind, operation_of(self.operations, kind, self.rng.randint(1, 6) if kind == "scale" else 0))


def _without_text(action: list[Any]) -> list[Any]:
    if action[0] == LOG:
        return [LOG]
    return [action[0], action[1], *action[3:]] if action[0] == REPORT else action


def run_episodes() -> tuple[Trace, Trace]:
    """Run all episodes, from a start to a shutdown or the last step: decisions and texts."""
    decisions, texts = Trace(), Trace()
    for episode in range(EPISODES):
        rng = random.Random(7000 + episode)
        model = Model(controller_of(episode), rng, (0.05, 0.15, 0.3)[episode % 3], decisions, texts)
        for number in rng.sample(range(5), episode % 4):
            model.adopt(number, rng.random() < 0.7)
        model.handle("up", events.FleetStarted(rng.randint(1, 4)))
        for _ in range(EPISODE_STEPS):
            if model.is_over:
                break
            model.step()
        if not model.is_over and episode % 2:
            model.handle("down", operation_of(10_000, "down", 0))
            for _ in range(SHUTDOWN_STEPS):
                if model.is_over:
                    break
                model.step()
            assert model.is_over, f"episode {episode}: the fleet is not down after {SHUTDOWN_STEPS} steps"
    return decisions, texts


# --- tests ------------------------------------------------------------------------------------------------------


def table_rows() -> list[list[str]]:
    """Return the transition table, in labels."""
    return sorted([STATES[at], TRANSITIONS[move], STATES[after]] for (at, move), after in TABLE.items())


def test_transition_table_is_the_one_on_file_when_written_in_labels() -> None:
    """Each legal pair of state and transition leads to the same state."""
    assert {"rows": table_rows()} == golden("fleet-table")


def test_every_legal_transition_is_driven_when_members_start_fail_and_are_ordered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The seeded runs go through the whole table, so that the digests say something of each pair."""
    pairs = record_transitions(monkeypatch)
    run_episodes()
    assert pairs == {(at, move) for at, move, _ in table_rows()}


def test_decisions_match_the_digest_when_members_start_fail_and_are_ordered() -> None:
    """Actions, states and due times are those on file."""
    assert_golden(run_episodes()[0], "fleet-decisions")


def test_texts_match_the_digest_when_members_start_fail_and_are_ordered() -> None:
    """Log lines, reports to operators and the words for the order under way are those on file."""
    assert_golden(run_episodes()[1], "fleet-texts")
