"""`make prove-budgets`: what a fleet may do, divided among twelve real members, through forty faults under load.

The sums are read from the grant file on the disk, which covers all that can be in force, not from members' reports.
Then the fleet is scaled to 24, to 4 and back, eight of twelve are killed at once, and each time the proof measures
how soon the remaining members have the fleet's limits again. Twelve of the platform's run line follow, with a fault
proxy on every link and customers that request three times their quotas; what reached the fake backends is compared
with a single token bucket for each customer, first with the counter up and faults on links and processes, then with
all limiters killed. Last, the lease model is explored, and each of its rules is left out. FULL=1 injects four times
as many faults. FAULT_MODE puts in a fault that the proof has to find: over-allocate lets the lease issuer grant what
is not free, and demand-quotas divides units by demand.
"""

from __future__ import annotations

import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from benchmarks.frame import FAULT_MODE, IS_FULL, Proof
from benchmarks.grant_watch import GrantWatch
from benchmarks.run_line_schedule import KILL_AT_SECONDS, LIMITER_COUNT, run_line_schedule
from thymeflow.testkit.async_steps import Steps, reactor, sleep
from thymeflow.testkit.fakes import Customer, Environment
from thymeflow.testkit.fakes.site import PLANS, REQUEST_CLASSES
from thymeflow.testkit.faults.cluster import ClusterHarness
from thymeflow.testkit.faults.invariants import check_all, highest_quota_use
from thymeflow.testkit.faults.quota_checks import first_attempts, highest_use
from thymeflow.testkit.faults.schedule import FaultAction
from thymeflow.testkit.fleet_harness import FleetHarness, fleet_settings
from thymeflow.testkit.lease_model import LeaseModel
from thymeflow.testkit.lease_rules import RULES, violation_without
from thymeflow.testkit.model_checker import Exploration, explore

FAULT_SEED = 23
SEED = 7
BACKEND_COUNT = 8
MEMBER_COUNT = 12
VICTIM_COUNT = 8
SCALED_MEMBER_COUNTS = (24, 4, 12)
SCALE_STEP = 3  # members, of a fault that scales the fleet
FAULT_COUNT = 160 if IS_FULL else 40
FAULT_INTERVAL_SECONDS = 0.5
MIN_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 5.0
CUSTOMER_COUNT = 36
REGAIN_TIMEOUT_SECONDS = 5.0  # in which the remaining members have to have MIN_SHARE_PERCENT
RESTART_DELAY_SECONDS = REGAIN_TIMEOUT_SECONDS + 2.0  # of members that ended
MIN_SHARE_PERCENT = 90.0  # of the fleet's limits
READY_TIMEOUT_SECONDS = 60.0
MAX_SUM_PERCENT = 100.0
MAX_USE_PERCENT_COUNTER_UP = 105.0  # of a quota
MAX_USE_PERCENT_RESTARTS = 110.0
MODEL_DEPTH = 6 if IS_FULL else 5
MAX_SHOWN_FAILURES = 10
MAX_SHOWN_VIOLATIONS = 3  # of each checker
FAULT_KINDS = ("kill", "stop", "stop", "stop", "supervisor", "scale")
# Run in place of the supervisor.
OVER_ALLOCATE_CODE = (
    "import sys; from thymeflow.leases.ledger import Ledger; Ledger.free = lambda self, now: self.total; "
    "from thymeflow.cli import run; sys.exit(run())"
)


def _ignore_error(_: Failure) -> None:
    """Go on where an order failed, as its supervisor may be killed meanwhile."""


class BudgetProof:
    """One run, and its figures."""

    def __init__(self) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix="tf-"))
        self._rng = random.Random(FAULT_SEED)
        self._environment = Environment(reactor, SEED, backend_count=BACKEND_COUNT)
        self._environment.start()
        self._fleet = FleetHarness(
            self._environment,
            self._folder,
            MEMBER_COUNT,
            fleet_settings(self._folder, MEMBER_COUNT, restart_delay_seconds=RESTART_DELAY_SECONDS),
            supervisor_code=OVER_ALLOCATE_CODE if FAULT_MODE == "over-allocate" else "",
        )
        self.proof = Proof("prove-budgets")
        self._grants = GrantWatch(self._fleet.state / "fleet.grants", self.proof)
        self._customers: list[Customer] = []
        self._fault_count = 0
        self._regained_share_percent = 0.0
        self._regained_seconds = 0.0
        self._fleet_use_percent = 0.0  # of the customer that used most of its quota
        self._counter_up_use_percent = 0.0
        self._restart_use_percent = 0.0
        self._quota_used_percent = 0.0  # of all quotas together, while the counter was up
        self._exploration: Exploration | None = None
        self._caught_count = 0

    @inlineCallbacks
    def run(self) -> Steps:
        """Run all phases."""
        self._fleet.start_supervisor()
        yield self._fleet.wait_until_ready(MEMBER_COUNT)
        LoopingCall(self._grants.read).start(0.01)
        self._start_load()
        self.proof.report(f"{MEMBER_COUNT} members under load")
        yield self._inject_faults()
        pids: list[int] = []
        for member_count in SCALED_MEMBER_COUNTS:
            yield self._scale(member_count)
            pids = yield self._fleet.running_pids()
        yield self._kill_members(pids)
        self._environment.clients.stop()
        yield self._fleet.wait_until_ready(MEMBER_COUNT)
        yield self._fleet.order(do="down")
        self._evaluate_fleet_use()
        yield self._run_limiters_without_fleet()
        self._explore_model()

    def _start_load(self) -> None:
        plans = list(PLANS)
        for index in range(CUSTOMER_COUNT):
            plan = plans[index % len(plans)]
            units_per_second = PLANS[plan].units_per_second
            demand_fraction = 3.0 if index % 3 == 0 and units_per_second < 5.0 else 0.7
            customer = Customer(
                1 + index,
                plan,
                demand_fraction * units_per_second,
                first_limiter=index % MEMBER_COUNT,
                spread=3,
                limiter_count=MEMBER_COUNT,
                first_limiter_fraction=0.5,
            )
            self._customers.append(customer)
            self._environment.clients.start_customer(customer, REQUEST_CLASSES)

    # Faults in the fleet.

    @inlineCallbacks
    def _inject_faults(self) -> Steps:
        for _ in range(FAULT_COUNT):
            yield self._inject_fault()
            yield sleep(FAULT_INTERVAL_SECONDS)
        yield sleep(MAX_PAUSE_SECONDS)
        end = time.monotonic() + READY_TIMEOUT_SECONDS
        while self._grants.total_percent() < MIN_SHARE_PERCENT and time.monotonic() < end:
            yield sleep(0.02)
        self.proof.report(
            f"{self._fault_count} faults injected; {self._grants.holder_count()} members have "
            f"{self._grants.total_percent():.1f}%"
        )

    @inlineCallbacks
    def _inject_fault(self) -> Steps:
        self._fault_count += 1
        kind = self._rng.choice(FAULT_KINDS)
        pids = yield self._fleet.running_pids()
        if kind == "supervisor" or not pids:
            self._fleet.kill_supervisor()
            self._fleet.start_supervisor()
        elif kind == "scale":
            count = self._rng.choice([MEMBER_COUNT - SCALE_STEP, MEMBER_COUNT, MEMBER_COUNT + SCALE_STEP])
            self._fleet.order(do="scale", count=count).addErrback(_ignore_error)
        else:
            pid = self._rng.choice(pids)
            self._fleet.signal_member(pid, signal.SIGKILL if kind == "kill" else signal.SIGSTOP)
            if kind == "stop":
                pause_seconds = self._rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)
                reactor.callLater(pause_seconds, self._fleet.signal_member, pid, signal.SIGCONT)

    @inlineCallbacks
    def _wait_until_regained(self, members: list[str]) -> Steps:
        """Wait until these members have the fleet's limits again; return their share and the time that it took."""
        started_at = time.monotonic()
        share_percent = self._grants.total_percent(members)
        while share_percent < MIN_SHARE_PERCENT and time.monotonic() < started_at + REGAIN_TIMEOUT_SECONDS:
            yield sleep(0.01)
            share_percent = self._grants.total_percent(members)
        return share_percent, time.monotonic() - started_at

    @inlineCallbacks
    def _scale(self, member_count: int) -> Steps:
        """Scale the fleet under load; its members have the fleet's limits soon after."""
        self._fleet.order(do="scale", count=member_count).addErrback(_ignore_error)
        yield self._fleet.wait_until_ready(member_count)
        members = [f"n{number}" for number in range(member_count)]
        share_percent, seconds = yield self._wait_until_regained(members)
        self.proof.report(f"{member_count} members have {share_percent:.1f}% {seconds:.2f} s after they were ready")
        self.proof.fail_if(
            share_percent < MIN_SHARE_PERCENT,
            f"{member_count} members have {share_percent:.1f}% after {REGAIN_TIMEOUT_SECONDS:g} s",
        )

    @inlineCallbacks
    def _kill_members(self, pids: list[int]) -> Steps:
        for pid in pids[:VICTIM_COUNT]:
            self._fleet.signal_member(pid, signal.SIGKILL)
        survivors = [f"n{number}" for number in range(VICTIM_COUNT, MEMBER_COUNT)]
        share_percent, seconds = yield self._wait_until_regained(survivors)
        self._regained_share_percent = share_percent
        self._regained_seconds = seconds
        self.proof.report(
            f"{VICTIM_COUNT} of {MEMBER_COUNT} killed: the others have {share_percent:.1f}% after {seconds:.2f} s"
        )

    # What customers used.

    def _evaluate_fleet_use(self) -> None:
        quotas = {customer.name: PLANS[customer.plan] for customer in self._customers}
        attempts = first_attempts(self._environment.received(), lambda _: True)
        self._fleet_use_percent = highest_use(attempts, quotas.__getitem__).percent
        self.proof.report(f"the highest use of a quota in a span was {self._fleet_use_percent:.1f}% in the fleet")

    @inlineCallbacks
    def _run_limiters_without_fleet(self) -> Steps:
        """Run limiters of the platform's run line, which reserve units, and compare with one bucket a customer."""
        quota_mode = "demand" if FAULT_MODE == "demand-quotas" else "tickets"
        schedule = run_line_schedule(quota_mode)
        cluster = ClusterHarness(reactor, schedule, self._folder)
        yield cluster.run()
        ending_actions = (FaultAction.HEAL_LINK, FaultAction.RESUME_LIMITER, FaultAction.START_LIMITER)
        self._fault_count += sum(step.action not in ending_actions for step in schedule.steps)
        killed_at = cluster.load_started_at + KILL_AT_SECONDS
        self._counter_up_use_percent = highest_quota_use(cluster, killed_at).percent
        self._restart_use_percent = highest_quota_use(cluster).percent
        self._quota_used_percent = self._used_percent_of_all(cluster, killed_at)
        for checker, violations in check_all(cluster).items():
            for violation in violations[:MAX_SHOWN_VIOLATIONS]:
                self.proof.fail_if(True, f"{checker}: {violation}")
        self.proof.report(
            f"{LIMITER_COUNT} of the run line: the highest use of a quota was {self._counter_up_use_percent:.1f}% with "
            f"the counter up, {self._restart_use_percent:.1f}% through restarts; all quotas together "
            f"{self._quota_used_percent:.1f}%"
        )

    @staticmethod
    def _used_percent_of_all(cluster: ClusterHarness, until: float) -> float:
        """Return how much of all customers' quotas together was used until a time."""
        environment = cluster.environment
        results = environment.clients.results
        customers = {result.customer.name: result.customer for result in results if result.started_at < until}
        quotas = [environment.plans[customer.plan] for customer in customers.values()]
        quota_units = sum(quota.burst_units + quota.units_per_second * KILL_AT_SECONDS for quota in quotas)
        used_units = sum(
            request.units
            for request in environment.received()
            if request.customer in customers and request.received_at < until
        )
        return 100.0 * used_units / quota_units

    # The model, and the end.

    def _explore_model(self) -> None:
        started_at = time.monotonic()
        exploration = explore(LeaseModel.all_running(), MODEL_DEPTH)
        missed = [name for name, rule in RULES.items() if not violation_without(rule)]
        self._exploration = exploration
        self._caught_count = len(RULES) - len(missed)
        self.proof.report(
            f"{exploration.state_count} states explored to depth {exploration.depth} in "
            f"{time.monotonic() - started_at:.1f} s"
        )
        self.proof.fail_if(bool(exploration.violation), exploration.violation)
        for name in missed:
            self.proof.fail_if(True, f"not caught: {name}")

    def _check_bounds(self) -> None:
        sum_percent = self._grants.max_sum_percent
        self.proof.fail_if(sum_percent > MAX_SUM_PERCENT, f"the sum came to {sum_percent:.3f}%")
        self.proof.fail_if(
            self._regained_share_percent < MIN_SHARE_PERCENT,
            f"survivors have {self._regained_share_percent:.1f}% after {self._regained_seconds:.1f} s",
        )
        for name, percent, max_percent in (
            ("fleet", self._fleet_use_percent, MAX_USE_PERCENT_RESTARTS),
            ("up", self._counter_up_use_percent, MAX_USE_PERCENT_COUNTER_UP),
            ("restart", self._restart_use_percent, MAX_USE_PERCENT_RESTARTS),
        ):
            self.proof.fail_if(percent > max_percent, f"a customer used {percent:.1f}% of its quota: {name}")

    def _figures(self) -> dict[str, object]:
        return {
            "max_sum_pct": f"{self._grants.max_sum_percent:.3f}",
            "worst_units_pct_up": f"{self._counter_up_use_percent:.1f}",
            "worst_units_pct_restart": f"{max(self._restart_use_percent, self._fleet_use_percent):.1f}",
            "units_used_pct_up": f"{self._quota_used_percent:.1f}",
            "used_after_loss_pct": f"{self._regained_share_percent:.1f}",
            "regained_s": f"{self._regained_seconds:.2f}",
            "faults": self._fault_count,
            "looks": self._grants.read_count,
            "states_explored": self._exploration.state_count if self._exploration else 0,
            "broken_caught": f"{self._caught_count}/{len(RULES)}",
        }

    def finish(self, *, is_complete: bool) -> int:
        """Print the failures, and after a complete run the last line; return the exit code."""
        if is_complete:
            self._check_bounds()
        self.proof.print_failures(MAX_SHOWN_FAILURES)
        if is_complete:
            self.proof.print_last_line(self._figures())
        return self.proof.exit_code()

    def clean_up(self) -> None:
        """End what is left, and remove the folder."""
        self._fleet.end()
        shutil.rmtree(self._folder, ignore_errors=True)


def main() -> int:
    """Run, evaluate and clean up; return the exit code."""
    budget_proof = BudgetProof()
    try:
        is_complete = budget_proof.proof.run(budget_proof.run)
    finally:
        budget_proof.clean_up()
    return budget_proof.finish(is_complete=is_complete)


if __name__ == "__main__":
    sys.exit(main())
