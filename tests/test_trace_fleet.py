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
ORDERS = {
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
tick, up, adopted, told, ended = (
    events.Tick,
    events.FleetStarted,
    events.MemberAdopted,
    events.StatusReported,
    events.RunEnded,
)


def order(number: int, kind: str, count: int) -> Event:
    """An operator's order."""
    return events.Operation(number, ORDERS[kind], count)


def controller_of(seed: int) -> Controller:
    """A controller with short times."""
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
    """Each member's number, state, and the runs that serve and start up."""
    return [[n, STATES[m.state], m.run_id, m.successor_run_id] for n, m in controller.members.items()]


def values_of(action: Action) -> list[Any]:
    """An action's label and its values in declared order."""
    return [ACTIONS[type(action)], *(getattr(action, f.name) for f in fields(action))]


def record_transitions(monkeypatch: pytest.MonkeyPatch) -> set[tuple[str, str]]:
    """The pairs of state and transition that members go through from now on."""
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
ORDER_WEIGHTS = (0.35, 0.3, 0.33, 0.02)
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
    """The processes that a controller asked for; `bad` is how likely each of them goes wrong."""

    controller: Controller
    rng: random.Random
    bad: float
    decisions: Trace
    texts: Trace
    now: float = 1000.0
    processes: dict[int, Process] = field(default_factory=dict)
    serving: dict[int, int] = field(default_factory=dict)
    orders: int = 0
    over: bool = False

    def tell(self, label: str, event: Event) -> None:
        """Hand over one event, note what is decided, and carry it out."""
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
            self.processes[run] = self._started(number, replaces)
        elif action[0] == STOP and action[1] in self.processes:
            hangs = self.rng.random() < self.bad
            self._end_in(action[1], NEVER if hangs else self.rng.uniform(0.0, 2.0))
        elif action[0] == KILL and action[1] in self.processes:
            self._end_in(action[1], self.rng.choice([0.0, 0.05, 6.0]))
        elif action[0] == EXIT:
            self.over = True

    def _end_in(self, run: int, seconds: float) -> None:
        process = self.processes[run]
        process.ends_at = min(process.ends_at, self.now + seconds)

    def _started(self, number: int, replaces: bool) -> Process:
        fate, delay = self.rng.random(), self.rng.uniform(0.05, 3.0)
        serves_at = NEVER if fate < self.bad else self.now + delay
        ends_at = self.now + self.rng.uniform(0.0, 2.5) if fate < self.bad * 0.6 else NEVER
        predecessor = self.serving.get(number, -1) if replaces else -1
        return Process(number, replaces, serves_at, ends_at, predecessor=predecessor)

    def adopt(self, number: int, serves: bool) -> None:
        """A process that ran before the controller did is found."""
        self.tell("adopted", adopted(number, f"life{number}", serves))
        run = next(row[2] for row in states_of(self.controller) if row[0] == number)
        assert isinstance(run, int)
        later = self.now + self.rng.uniform(0.1, 4.0)
        self.processes[run] = Process(number, False, NEVER if serves else later, NEVER, serves)
        if serves:
            self.serving[number] = run

    def step(self) -> None:
        """The next thing that happens: a process's change, a due time, an order, or chance."""
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
            self.tell("tick", tick())
        else:
            self._chance()

    def _process_serves(self, run: int) -> None:
        process = self.processes[run]
        process.serves, process.healthy = True, self.rng.random() > self.bad / 2
        if process.predecessor in self.processes and self._predecessor_is_first(process, run):
            return
        self.serving[process.number] = run
        self.tell("told", told(run, f"life{run}", True, process.healthy))

    def _predecessor_is_first(self, process: Process, run: int) -> bool:
        # Whether the predecessor's end is known before its successor's report, which then comes later or never.
        hangs = self.rng.random() < self.bad
        self._end_in(process.predecessor, NEVER if hangs else self.rng.uniform(0.0, 1.5))
        if self.rng.random() > 0.3:
            return False
        self._process_ends(process.predecessor)
        if self.rng.random() < 2.0 * self.bad:
            self._process_ends(run)
        elif self.rng.random() < 0.5:
            process.serves, process.serves_at = False, self.now + self.rng.uniform(0.1, 1.0)
            if self.rng.random() < 0.2:
                self._order("down")
        else:
            return False
        return True

    def _process_ends(self, run: int) -> None:
        process = self.processes.pop(run)
        if self.serving.get(process.number) == run:
            del self.serving[process.number]
        self.tell("ended", ended(run, self.rng.choice(ENDS)))

    def _chance(self) -> None:
        drawn = self.rng.random()
        run = self.rng.choice(list(self.processes)) if self.processes else -1
        if drawn < 0.30:
            self._order(*self.rng.choices(list(ORDERS), ORDER_WEIGHTS))
        elif drawn < 0.30 + 0.4 * self.bad and run >= 0:
            self._process_ends(run)
        elif drawn < 0.95 and run >= 0:
            process = self.processes[run]
            process.healthy = not process.healthy if self.rng.random() < 0.7 else process.healthy
            self.tell("told", told(run, f"life{run}", process.serves, process.healthy))
        elif drawn < 0.97:
            self.tell("told", told(self.rng.randrange(1, 400), "stranger", True, True))
        else:
            self.tell("ended", ended(self.rng.randrange(300, 400), ENDS[0]))

    def _order(self, kind: str) -> None:
        self.orders += 1
        self.tell(kind, order(self.orders, kind, self.rng.randint(1, 6) if kind == "scale" else 0))


def _without_text(action: list[Any]) -> list[Any]:
    if action[0] == LOG:
        return [LOG]
    return [action[0], action[1], *action[3:]] if action[0] == REPORT else action


def play_all() -> tuple[Trace, Trace]:
    """All episodes, from a start to a shutdown or the last step: decisions and texts."""
    decisions, texts = Trace(), Trace()
    for episode in range(EPISODES):
        rng = random.Random(7000 + episode)
        model = Model(controller_of(episode), rng, (0.05, 0.15, 0.3)[episode % 3], decisions, texts)
        for number in rng.sample(range(5), episode % 4):
            model.adopt(number, rng.random() < 0.7)
        model.tell("up", up(rng.randint(1, 4)))
        for _ in range(EPISODE_STEPS):
            if model.over:
                break
            model.step()
        if not model.over and episode % 2:
            model.tell("down", order(10_000, "down", 0))
            for _ in range(SHUTDOWN_STEPS):
                if model.over:
                    break
                model.step()
            assert model.over, f"episode {episode}: the fleet is not down after {SHUTDOWN_STEPS} steps"
    return decisions, texts


# --- tests ------------------------------------------------------------------------------------------------------


def table_rows() -> list[list[str]]:
    """The transition table, in labels."""
    return sorted([STATES[at], TRANSITIONS[move], STATES[after]] for (at, move), after in TABLE.items())


def test_transition_table_is_the_one_on_file_when_written_in_labels() -> None:
    """Each legal pair of state and transition leads to the same state."""
    assert {"rows": table_rows()} == golden("fleet-table")


def test_every_legal_transition_is_driven_when_members_start_fail_and_are_ordered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The seeded runs go through the whole table, so that the digests say something of each pair."""
    pairs = record_transitions(monkeypatch)
    play_all()
    assert pairs == {(at, move) for at, move, _ in table_rows()}


def test_decisions_match_the_digest_when_members_start_fail_and_are_ordered() -> None:
    """Actions, states and due times are those on file."""
    assert_golden(play_all()[0], "fleet-decisions")


def test_texts_match_the_digest_when_members_start_fail_and_are_ordered() -> None:
    """Log lines, reports to operators and the words for the order under way are those on file."""
    assert_golden(play_all()[1], "fleet-texts")
