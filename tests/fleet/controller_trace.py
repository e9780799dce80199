"""Seeded runs of the fleet controller, whose decisions and texts are traced in labels that survive a renaming.

A model of members' processes drives the controller: starts that succeed, fail or hang, ends on request and unexpected
ones, adoption, health reports and operations that overlap.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from tests.fleet.controller_labels import (
    EXIT,
    KILL,
    LOG,
    OPERATIONS,
    REPORT,
    START,
    STOP,
    Controller,
    Event,
    build_controller,
    build_operation,
    list_states,
    list_values,
)
from tests.golden_trace import Trace
from thymeflow.fleet import events

EPISODES = 60
EPISODE_STEPS = 110
SHUTDOWN_STEPS = 500  # a controller that only schedules ticks fails here instead of running forever
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
    """The processes that a controller has started; `fault_rate` is the probability that one fails."""

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
        actions = [list_values(action) for action in self.controller.handle(self.now, event)]
        for action in actions:
            self._carry_out(action)
        next_deadline = self.controller.next_deadline()
        plain = [_without_text(action) for action in actions]
        self.decisions.add(label, round(self.now, 6), plain, list_states(self.controller), round(next_deadline, 6))
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
        fate = self.rng.random()
        delay = self.rng.uniform(0.05, 3.0)
        serves_at = NEVER if fate < self.fault_rate else self.now + delay
        ends_at = self.now + self.rng.uniform(0.0, 2.5) if fate < self.fault_rate * 0.6 else NEVER
        predecessor = self.serving.get(number, -1) if replaces else -1
        return Process(number, replaces, serves_at, ends_at, predecessor=predecessor)

    def adopt(self, number: int, serves: bool) -> None:
        """Let the controller adopt a process that ran before."""
        self.handle("adopted", events.MemberAdopted(number, f"life{number}", serves))
        run = next(row[2] for row in list_states(self.controller) if row[0] == number)
        assert isinstance(run, int)
        serves_at = self.now + self.rng.uniform(0.1, 4.0)
        self.processes[run] = Process(number, False, NEVER if serves else serves_at, NEVER, serves)
        if serves:
            self.serving[number] = run

    def step(self) -> None:
        """Let the next event happen: a process's change, a deadline, or a random event."""
        serves = min(((p.serves_at, run) for run, p in self.processes.items() if not p.serves), default=(NEVER, -1))
        ends = min(((p.ends_at, run) for run, p in self.processes.items()), default=(NEVER, -1))
        tick = (max(self.now, self.controller.next_deadline()), -1)
        chance = (self.now + self.rng.expovariate(1.5), -1)
        at, run = min(serves, ends, tick, chance)
        self.now = max(self.now, at)
        if (at, run) == ends:
            self._process_ends(run)
        elif (at, run) == serves:
            self._process_serves(run)
        elif (at, run) == tick:
            self.handle("tick", events.Tick())
        else:
            self._random_event()

    def _process_serves(self, run: int) -> None:
        process = self.processes[run]
        process.serves = True
        process.healthy = self.rng.random() > self.fault_rate / 2
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
            process.serves = False
            process.serves_at = self.now + self.rng.uniform(0.1, 1.0)
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
        self.handle(kind, build_operation(self.operations, kind, self.rng.randint(1, 6) if kind == "scale" else 0))


def _without_text(action: list[Any]) -> list[Any]:
    if action[0] == LOG:
        return [LOG]
    return [action[0], action[1], *action[3:]] if action[0] == REPORT else action


def run_episodes() -> tuple[Trace, Trace]:
    """Run all episodes, from a start to a shutdown or the last step: decisions and texts."""
    decisions = Trace()
    texts = Trace()
    for episode in range(EPISODES):
        rng = random.Random(7000 + episode)
        model = Model(build_controller(episode), rng, (0.05, 0.15, 0.3)[episode % 3], decisions, texts)
        for number in rng.sample(range(5), episode % 4):
            model.adopt(number, rng.random() < 0.7)
        model.handle("up", events.FleetStarted(rng.randint(1, 4)))
        for _ in range(EPISODE_STEPS):
            if model.is_over:
                break
            model.step()
        if not model.is_over and episode % 2:
            model.handle("down", build_operation(10_000, "down", 0))
            for _ in range(SHUTDOWN_STEPS):
                if model.is_over:
                    break
                model.step()
            assert model.is_over, f"episode {episode}: the fleet is not down after {SHUTDOWN_STEPS} steps"
    return decisions, texts
