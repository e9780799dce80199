"""Seeded runs of the fleet controller, whose decisions and texts are traced with labels that do not depend on names.

A model of members' processes drives the controller: starts that succeed, fail or hang, requested and unexpected ends,
adoptions, health reports and overlapping operations.
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
# Bound on the steps of a shutdown, so that a controller that schedules ticks without end fails instead of running
# forever.
SHUTDOWN_STEPS = 500
NEVER = 1e9
OPERATION_WEIGHTS = (0.35, 0.3, 0.33, 0.02)
ENDS = ("ended with code 0", "ended with code 1", "was killed by signal 9")


@dataclass(slots=True)
class Process:
    """One process of the model."""

    number: int
    is_replacement: bool
    serves_at: float
    ends_at: float
    is_serving: bool = False
    is_healthy: bool = True
    predecessor_run_id: int = -1


@dataclass(slots=True)
class Model:
    """A controller and the processes that it has started.

    `fault_probability` is the probability that a process fails its start; other faults occur with multiples of it.
    """

    controller: Controller
    rng: random.Random
    fault_probability: float
    decisions: Trace
    texts: Trace
    now: float = 1000.0
    processes: dict[int, Process] = field(default_factory=dict)
    serving_run_ids: dict[int, int] = field(default_factory=dict)
    last_operation_id: int = 0
    is_over: bool = False

    def handle(self, label: str, event: Event) -> None:
        """Pass one event to the controller, and trace and carry out the resulting actions."""
        actions = [list_values(action) for action in self.controller.handle(self.now, event)]
        for action in actions:
            self._carry_out(action)
        next_deadline = self.controller.next_deadline()
        plain = [_remove_text(action) for action in actions]
        self.decisions.add(label, round(self.now, 6), plain, list_states(self.controller), round(next_deadline, 6))
        self.texts.add(
            [action for action in actions if action[0] in (LOG, REPORT)], self.controller.describe_operation()
        )

    def _carry_out(self, action: list[Any]) -> None:
        if action[0] == START:
            _, run_id, number, _, is_replacement = action
            self.processes[run_id] = self._new_process(number, is_replacement)
        elif action[0] == STOP and action[1] in self.processes:
            is_hanging = self.rng.random() < self.fault_probability
            self._schedule_end(action[1], NEVER if is_hanging else self.rng.uniform(0.0, 2.0))
        elif action[0] == KILL and action[1] in self.processes:
            self._schedule_end(action[1], self.rng.choice([0.0, 0.05, 6.0]))
        elif action[0] == EXIT:
            self.is_over = True

    def _schedule_end(self, run_id: int, seconds: float) -> None:
        process = self.processes[run_id]
        process.ends_at = min(process.ends_at, self.now + seconds)

    def _new_process(self, number: int, is_replacement: bool) -> Process:
        random_value = self.rng.random()
        delay = self.rng.uniform(0.05, 3.0)
        serves_at = NEVER if random_value < self.fault_probability else self.now + delay
        ends_at = self.now + self.rng.uniform(0.0, 2.5) if random_value < self.fault_probability * 0.6 else NEVER
        predecessor_run_id = self.serving_run_ids.get(number, -1) if is_replacement else -1
        return Process(number, is_replacement, serves_at, ends_at, predecessor_run_id=predecessor_run_id)

    def adopt(self, number: int, is_serving: bool) -> None:
        """Let the controller adopt a member that was already running."""
        self.handle("adopted", events.MemberAdopted(number, f"life{number}", is_serving))
        run_id = next(row[2] for row in list_states(self.controller) if row[0] == number)
        assert isinstance(run_id, int)
        serves_at = self.now + self.rng.uniform(0.1, 4.0)
        self.processes[run_id] = Process(number, False, NEVER if is_serving else serves_at, NEVER, is_serving)
        if is_serving:
            self.serving_run_ids[number] = run_id

    def step(self) -> None:
        """Trigger the next event: the start or end of a process, a deadline, or a random event."""
        next_serving = min(
            ((p.serves_at, run_id) for run_id, p in self.processes.items() if not p.is_serving), default=(NEVER, -1)
        )
        next_end = min(((p.ends_at, run_id) for run_id, p in self.processes.items()), default=(NEVER, -1))
        next_tick = (max(self.now, self.controller.next_deadline()), -1)
        random_event = (self.now + self.rng.expovariate(1.5), -1)
        at, run_id = min(next_serving, next_end, next_tick, random_event)
        self.now = max(self.now, at)
        if (at, run_id) == next_end:
            self._end_process(run_id)
        elif (at, run_id) == next_serving:
            self._start_serving(run_id)
        elif (at, run_id) == next_tick:
            self.handle("tick", events.Tick())
        else:
            self._trigger_random_event()

    def _start_serving(self, run_id: int) -> None:
        process = self.processes[run_id]
        process.is_serving = True
        process.is_healthy = self.rng.random() > self.fault_probability / 2
        if process.predecessor_run_id in self.processes and self._withhold_report(process, run_id):
            return
        self.serving_run_ids[process.number] = run_id
        self.handle("told", events.StatusReported(run_id, f"life{run_id}", True, process.is_healthy))

    def _withhold_report(self, process: Process, run_id: int) -> bool:
        # Returns whether the successor's report is withheld: the predecessor has ended first, and the successor
        # reports later or ends too.
        is_hanging = self.rng.random() < self.fault_probability
        self._schedule_end(process.predecessor_run_id, NEVER if is_hanging else self.rng.uniform(0.0, 1.5))
        if self.rng.random() > 0.3:
            return False
        self._end_process(process.predecessor_run_id)
        if self.rng.random() < 2.0 * self.fault_probability:
            self._end_process(run_id)
        elif self.rng.random() < 0.5:
            process.is_serving = False
            process.serves_at = self.now + self.rng.uniform(0.1, 1.0)
            if self.rng.random() < 0.2:
                self._begin_operation("down")
        else:
            return False
        return True

    def _end_process(self, run_id: int) -> None:
        process = self.processes.pop(run_id)
        if self.serving_run_ids.get(process.number) == run_id:
            del self.serving_run_ids[process.number]
        self.handle("ended", events.RunEnded(run_id, self.rng.choice(ENDS)))

    def _trigger_random_event(self) -> None:
        sample = self.rng.random()
        run_id = self.rng.choice(list(self.processes)) if self.processes else -1
        if sample < 0.30:
            self._begin_operation(*self.rng.choices(list(OPERATIONS), OPERATION_WEIGHTS))
        elif sample < 0.30 + 0.4 * self.fault_probability and run_id >= 0:
            self._end_process(run_id)
        elif sample < 0.95 and run_id >= 0:
            process = self.processes[run_id]
            process.is_healthy = not process.is_healthy if self.rng.random() < 0.7 else process.is_healthy
            self.handle("told", events.StatusReported(run_id, f"life{run_id}", process.is_serving, process.is_healthy))
        elif sample < 0.97:
            self.handle("told", events.StatusReported(self.rng.randrange(1, 400), "stranger", True, True))
        else:
            self.handle("ended", events.RunEnded(self.rng.randrange(300, 400), ENDS[0]))

    def _begin_operation(self, kind: str) -> None:
        self.last_operation_id += 1
        self.handle(
            kind, build_operation(self.last_operation_id, kind, self.rng.randint(1, 6) if kind == "scale" else 0)
        )


def _remove_text(action: list[Any]) -> list[Any]:
    if action[0] == LOG:
        return [LOG]
    return [action[0], action[1], *action[3:]] if action[0] == REPORT else action


def run_episodes() -> tuple[Trace, Trace]:
    """Run all episodes, each from a start to a shutdown or the last step; return the traces of decisions and texts."""
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
