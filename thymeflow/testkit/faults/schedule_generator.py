"""Schedules from a seed."""

from __future__ import annotations

import random
from dataclasses import replace

from thymeflow.testkit.faults.schedule import (
    BACKEND_ACTIONS,
    COUNTER_ACTIONS,
    LINK_ACTIONS,
    Direction,
    FaultAction,
    FaultStep,
    Link,
    Schedule,
    in_order,
)

ENDING_ACTIONS = {
    FaultAction.KILL_LIMITER: FaultAction.START_LIMITER,
    FaultAction.PAUSE_LIMITER: FaultAction.RESUME_LIMITER,
    FaultAction.KILL_BACKEND: FaultAction.RESTART_BACKEND,
    FaultAction.KILL_COUNTER: FaultAction.RESTART_COUNTER,
    FaultAction.SATURATE_COUNTER: FaultAction.RELIEVE_COUNTER,
}
GENERATED_ACTIONS = (
    *ENDING_ACTIONS,
    FaultAction.CUT_LINK,
    FaultAction.BLACKHOLE_LINK,
    FaultAction.DELAY_LINK,
    FaultAction.STALL_LINK,
    FaultAction.FAIL_BACKEND,
)
MAX_TARGET_FRACTION = 0.4  # of the limiters or backends, for one fault
EARLIEST_START_FRACTION = 0.05  # of the load's time
LATEST_START_FRACTION = 0.7
LATEST_END_FRACTION = 0.95
MIN_FAULT_SECONDS = 0.2
MAX_FAULT_FRACTION = 0.3  # of the load's time, for the length of one fault


class _FaultGenerator:
    """Generates faults for a test cluster; the order of its random draws makes the schedule of a seed."""

    def __init__(self, schedule: Schedule) -> None:
        self._schedule = schedule
        self._rng = random.Random(schedule.seed)

    def next_fault(self) -> tuple[FaultStep, FaultStep]:
        """Return the start and the end of a fault."""
        load_seconds = self._schedule.load_seconds
        start = round(self._rng.uniform(EARLIEST_START_FRACTION, LATEST_START_FRACTION) * load_seconds, 3)
        length = self._rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_FRACTION * load_seconds)
        end = round(min(LATEST_END_FRACTION * load_seconds, start + length), 3)
        action = self._rng.choice(GENERATED_ACTIONS)
        if action in LINK_ACTIONS:
            return self._link_fault(action, start, end)
        if action is FaultAction.FAIL_BACKEND:
            targets = self._targets(self._schedule.backend_count)
            return FaultStep(start, action, targets, amount=1.0), FaultStep(end, action, targets)
        targets = self._process_targets(action)
        return FaultStep(start, action, targets), FaultStep(end, ENDING_ACTIONS[action], targets)

    def _link_fault(self, action: FaultAction, start: float, end: float) -> tuple[FaultStep, FaultStep]:
        link = self._rng.choice(list(Link))
        targets = self._targets(self._schedule.limiter_count)
        delay_seconds = round(self._rng.uniform(0.01, 0.3), 3)
        stall_bytes = float(self._rng.randint(1, 600))
        amount = {FaultAction.DELAY_LINK: delay_seconds, FaultAction.STALL_LINK: stall_bytes}.get(action, 0.0)
        direction = Direction.BOTH
        if action is FaultAction.BLACKHOLE_LINK:
            direction = self._rng.choice(list(Direction))
        return (
            FaultStep(start, action, targets, link, direction, amount),
            FaultStep(end, FaultAction.HEAL_LINK, targets, link),
        )

    def _process_targets(self, action: FaultAction) -> tuple[int, ...]:
        if action in COUNTER_ACTIONS:
            return ()
        is_backend_action = action in BACKEND_ACTIONS
        return self._targets(self._schedule.backend_count if is_backend_action else self._schedule.limiter_count)

    def _targets(self, count: int) -> tuple[int, ...]:
        target_count = self._rng.randint(1, max(1, int(MAX_TARGET_FRACTION * count)))
        return tuple(sorted(self._rng.sample(range(count), target_count)))


def generate(cluster: Schedule, fault_count: int) -> Schedule:
    """Return the schedule with faults from its seed, each of which ends before the load does."""
    generator = _FaultGenerator(cluster)
    steps = [step for _ in range(fault_count) for step in generator.next_fault()]
    return replace(cluster, steps=in_order(steps))
