"""The cluster harness: real limiters, a fault proxy on every link, the fakes behind them, and a schedule of faults."""

from __future__ import annotations

from functools import partial
from pathlib import Path

from twisted.internet.defer import inlineCallbacks

from thymeflow.runtime import clock
from thymeflow.testkit.async_steps import Steps, sleep
from thymeflow.testkit.fakes import Customer, Environment
from thymeflow.testkit.fakes.site import CHECK_CLASS, REQUEST_CLASSES
from thymeflow.testkit.faults.injector import FaultInjector
from thymeflow.testkit.faults.node import LimiterNode
from thymeflow.testkit.faults.ping import ping
from thymeflow.testkit.faults.schedule import FaultStep, Schedule
from thymeflow.testkit.types import NetworkReactor

PROGRESS_TIMEOUT_SECONDS = 30.0
FIRST_CHECK_CUSTOMER = 9000  # number of the customer whose requests check that limiter 0 serves
MIN_REQUESTS_PER_SECOND = 1e-3  # of one customer's quota


class ClusterHarness:
    """A test environment with its limiters, and one run of a schedule."""

    def __init__(self, reactor: NetworkReactor, schedule: Schedule, folder: Path, fault_mode: str = "") -> None:
        """`fault_mode`: the fault to put into the limiters; see `fault_modes`."""
        self.schedule = schedule
        self.environment = Environment(reactor, schedule.seed, backend_count=schedule.backend_count)
        self.nodes: list[LimiterNode] = []
        self.injector = FaultInjector(self.environment, self.nodes)
        self.stalls: list[str] = []  # limiters that were not ready or did not serve in time
        self.load_started_at = 0.0
        self._reactor = reactor
        self._folder = folder
        self._fault_mode = fault_mode

    def _start(self) -> None:
        environment = self.environment
        for backend in environment.backends:
            backend.behavior.mean_work_seconds = self.schedule.mean_work_seconds
            backend.start()
        environment.counter.start()
        environment.clients.was_connect_refused = self._was_connect_refused
        for number in range(self.schedule.limiter_count):
            self.nodes.append(LimiterNode(environment, self.schedule, number, self._folder, self._fault_mode))
        for node in self.nodes:
            node.process.start()

    def _was_connect_refused(self, limiter: int, local_port: int) -> bool:
        return self.nodes[limiter].has_refused_connection(local_port)

    @inlineCallbacks
    def run(self) -> Steps:
        """Start everything, run the schedule under load, heal all faults and end; the checkers see the result."""
        self._start()
        try:
            yield self._wait_until_ready("after its start")
            self.load_started_at = clock.now()
            self._start_load()
            for step in self.schedule.steps:
                self.environment.deadlines.schedule(self.load_started_at + step.at, partial(self._on_step_due, step))
            while clock.now() < self.load_started_at + self.schedule.load_seconds:
                yield sleep(0.05)
            self.environment.clients.stop()
            self.injector.heal_all()
            while self.environment.clients.pending:  # each has a deadline
                yield sleep(0.02)
            yield self._wait_until_ready("after all was healed")
            yield self._check_that_all_serve()
        finally:
            self.environment.clients.close()
            for node in self.nodes:
                node.process.end()

    def _on_step_due(self, step: FaultStep, _: int) -> None:
        self.injector.apply(step)

    @inlineCallbacks
    def _wait_until_ready(self, moment: str) -> Steps:
        end = clock.now() + PROGRESS_TIMEOUT_SECONDS
        for node in self.nodes:
            while not (yield ping(self._reactor, self.environment.limiter_addresses[node.number])):
                if clock.now() > end:
                    self.stalls.append(f"n{node.number} does not say yes {moment}")
                    break
                yield sleep(0.05)

    def _start_load(self) -> None:
        plans = self.environment.plans
        names = list(plans)
        limiter_count = self.schedule.limiter_count
        for index in range(self.schedule.customer_count):
            plan = names[index % len(names)]
            demand = max(MIN_REQUESTS_PER_SECOND, self.schedule.demand_fraction)
            customer = Customer(
                1 + index,
                plan,
                demand * plans[plan].units_per_second,
                first_limiter=index % limiter_count,
                spread=max(1, min(limiter_count, 2 + index % 3)),
                limiter_count=limiter_count,
                first_limiter_fraction=0.5,
            )
            self.environment.clients.start_customer(customer, REQUEST_CLASSES)

    @inlineCallbacks
    def _check_that_all_serve(self) -> Steps:
        end = clock.now() + PROGRESS_TIMEOUT_SECONDS
        for node in self.nodes:
            customer = Customer(FIRST_CHECK_CUSTOMER + node.number, "korporat", 1.0, first_limiter=node.number)
            while True:
                result = self.environment.clients.send_request(customer, CHECK_CLASS, limiter=node.number)
                while not result.is_finished:
                    yield sleep(0.01)
                if result.is_served:
                    break
                if clock.now() > end:
                    self.stalls.append(f"n{node.number} serves nothing after all was healed: {result.outcome.value}")
                    break
                yield sleep(max(0.05, result.retry_after_seconds))
