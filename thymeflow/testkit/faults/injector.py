"""Fault injection: carries out the steps of a schedule, and records since when which limiter was affected."""

from __future__ import annotations

import signal
from typing import NamedTuple

from thymeflow.runtime import clock
from thymeflow.testkit.fakes import Environment
from thymeflow.testkit.faults.intervals import FaultIntervals
from thymeflow.testkit.faults.node import LimiterNode
from thymeflow.testkit.faults.schedule import BACKEND_ACTIONS, LINK_ACTIONS, FaultAction, FaultStep, Link

SIGNALS = {
    FaultAction.KILL_LIMITER: signal.SIGKILL,
    FaultAction.TERMINATE_LIMITER: signal.SIGTERM,
    FaultAction.PAUSE_LIMITER: signal.SIGSTOP,
    FaultAction.RESUME_LIMITER: signal.SIGCONT,
}
LIFECYCLES = {FaultAction.DRAIN_BACKEND: "leaving", FaultAction.REMOVE_BACKEND: "left"}


class AppliedStep(NamedTuple):
    """A step that was carried out, and when."""

    at: float
    step: FaultStep


class FaultInjector:
    """Carries out steps in one test cluster."""

    def __init__(self, environment: Environment, nodes: list[LimiterNode]) -> None:
        self.applied: list[AppliedStep] = []
        self.link_faults = {link: FaultIntervals() for link in Link}
        self.process_faults = FaultIntervals()
        self.drain_notified_at: dict[tuple[int, int], float] = {}  # by limiter and backend
        self._pending_drains: set[tuple[int, int]] = set()  # behind a faulty discovery link
        self._environment = environment
        self._nodes = nodes

    def apply(self, step: FaultStep) -> None:
        """Carry out a step now."""
        now = clock.now()
        self.applied.append(AppliedStep(now, step))
        if step.action in LINK_ACTIONS:
            assert step.link is not None
            for number in step.targets:
                self._apply_to_link(step, step.link, number, now)
        elif step.action in SIGNALS:
            for number in step.targets:
                self._apply_to_process(step.action, number, now)
        elif step.action is FaultAction.START_LIMITER:
            for number in step.targets:
                self._start_process(number, now)
        elif step.action in LIFECYCLES:
            for number in step.targets:
                self._publish_lifecycle(number, LIFECYCLES[step.action], now)
        elif step.action in BACKEND_ACTIONS:
            self._apply_to_backends(step)
        else:
            self._apply_to_counter(step.action)

    def _apply_to_link(self, step: FaultStep, link: Link, number: int, now: float) -> None:
        if step.action is FaultAction.HEAL_LINK:
            self.link_faults[link].end(number, now)
        else:
            self.link_faults[link].begin(number, now)
        for proxy in self._nodes[number].proxies[link]:
            proxy.apply(step.action, step.direction, step.amount)
        if link is Link.DISCOVERY and step.action is FaultAction.HEAL_LINK:
            for limiter, backend in [drain for drain in self._pending_drains if drain[0] == number]:
                self._pending_drains.discard((limiter, backend))
                self.drain_notified_at[limiter, backend] = now
            self._update_known_endpoints(number, now)

    def _start_process(self, number: int, now: float) -> None:
        self._update_known_endpoints(number, now)
        self._nodes[number].process.start()
        self.process_faults.end(number, now)

    def _apply_to_process(self, action: FaultAction, number: int, now: float) -> None:
        process = self._nodes[number].process
        if action is FaultAction.KILL_LIMITER and process.is_running():
            self._environment.clients.on_limiter_killed(number)
        if action is FaultAction.RESUME_LIMITER:
            self.process_faults.end(number, now)
        else:
            self.process_faults.begin(number, now)
        process.signal(SIGNALS[action])

    def _update_known_endpoints(self, number: int, now: float) -> None:
        # A limiter starts with the list that it had last: changes behind a faulty link are not in it.
        if not self.link_faults[Link.DISCOVERY].overlap(number, now, now):
            self._nodes[number].update_known_endpoints()

    def _publish_lifecycle(self, backend: int, lifecycle: str, now: float) -> None:
        for node in self._nodes:
            node.discovery.update(node.endpoint(self._environment.backends[backend], lifecycle))
            if self.link_faults[Link.DISCOVERY].overlap(node.number, now, now):
                self._pending_drains.add((node.number, backend))
            else:
                self.drain_notified_at.setdefault((node.number, backend), now)
            self._update_known_endpoints(node.number, now)

    def _apply_to_backends(self, step: FaultStep) -> None:
        for number in step.targets:
            backend = self._environment.backends[number]
            if step.action is FaultAction.KILL_BACKEND:
                backend.kill()
            elif step.action is FaultAction.RESTART_BACKEND:
                backend.start()
            else:
                backend.behavior.error_fraction = step.amount

    def _apply_to_counter(self, action: FaultAction) -> None:
        counter = self._environment.counter
        if action is FaultAction.KILL_COUNTER:
            counter.kill()
        elif action is FaultAction.RESTART_COUNTER:
            counter.start()
        elif action is FaultAction.CLEAR_COUNTER:
            counter.forget()
        else:
            counter.rejects_all = action is FaultAction.SATURATE_COUNTER

    def heal_all(self) -> None:
        """End all faults."""
        limiters = tuple(node.number for node in self._nodes)
        backends = tuple(backend.number for backend in self._environment.backends)
        for link in Link:
            self.apply(FaultStep(0.0, FaultAction.HEAL_LINK, limiters, link))
        for action in (FaultAction.RESTART_COUNTER, FaultAction.RELIEVE_COUNTER):
            self.apply(FaultStep(0.0, action))
        self.apply(FaultStep(0.0, FaultAction.RESTART_BACKEND, backends))
        self.apply(FaultStep(0.0, FaultAction.FAIL_BACKEND, backends))
        paused = tuple(node.number for node in self._nodes if node.process.is_paused)
        self.apply(FaultStep(0.0, FaultAction.RESUME_LIMITER, paused))
        ended = tuple(node.number for node in self._nodes if not node.process.is_running())
        self.apply(FaultStep(0.0, FaultAction.START_LIMITER, ended))
