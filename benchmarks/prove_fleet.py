"""`make prove-fleet`: twenty real limiters on loopback, under load, through all that happens to a fleet.

One run: start, roll, kill -9, scale from 20 to 24, upgrade, scale back, stop. The figures are counted outside the
program: at the backends, which record each complete request, and at the clients, which count every response. FULL=1
makes the phases longer. FAULT_MODE=no-snapshots starts members without snapshots, which the proof has to find by the
units that were minted. KEEP=1 keeps the folder.
"""

from __future__ import annotations

import os
import shutil
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

import psutil
from twisted.internet.defer import inlineCallbacks

from benchmarks.frame import FAULT_MODE, IS_FULL, Proof
from thymeflow.runtime import clock
from thymeflow.testkit.async_steps import Steps, reactor, sleep
from thymeflow.testkit.fakes import Customer, Environment, RequestOutcome
from thymeflow.testkit.fakes.site import PLANS, REQUEST_CLASSES, PlanQuota
from thymeflow.testkit.fleet_harness import FleetHarness

SEED = 7
BACKEND_COUNT = 12
MEAN_WORK_SECONDS = 0.03
MEMBER_COUNT = 20
SCALED_MEMBER_COUNT = 24
KILLED_MEMBER = 5
BURSTY_PLAN = "pesta"
BURSTY_QUOTA = PlanQuota(0.5, 60.0)  # a burst of two minutes of the rate, so that minted units show
BURSTY_REQUESTS_PER_SECOND = 4.0  # of each customer of that plan, each of which uses one limiter
ORDINARY_CUSTOMER_COUNT = 64
FIRST_ORDINARY_CUSTOMER = 1000
ORDINARY_DEMAND_FRACTION = 0.9  # of the quota
LATE_JOINER_SETTLING_SECONDS = 10.0  # after which a member that joined late has to be like its peers
LATE_JOINER_OBSERVED_SECONDS = 6.0
MAX_LATE_JOINER_GAP = 0.05
MAX_EXTRA_UNITS = 3.0  # beyond its quota, that docs/fleet.md allows a customer of one limiter
MIN_REQUEST_COUNT = 1000
MAX_SHOWN_RESULTS = 5
LOAD_SECONDS = 30.0 if IS_FULL else 5.0
ORDER_TIMEOUT_SECONDS = 90.0
TIMEOUT_SECONDS = 300.0 if IS_FULL else 100.0
FIGURE_NAMES = (
    "requests",
    "unanswered",
    "twice",
    "ready_s",
    "refused_connects",
    "late_joiner_gap",
    "minted_units",
    "rss_mb_each",
    "lost_to_kill",
    "failed",
)


def make_folder() -> Path:
    """Return a temporary folder, in memory where the machine has one that can be written.

    Twenty-four snapshots a second, each with its fsync, would test the machine's disk and not this program;
    docs/fleet.md advises the same for a state folder.
    """
    memory = Path("/dev/shm")
    return Path(tempfile.mkdtemp(prefix="tf-", dir=memory if os.access(memory, os.W_OK) else None))


def settings_text(folder: Path) -> str:
    """Return the INI file of the fleet."""
    return (
        f"[fleet]\ninstances = {MEMBER_COUNT}\nspread = 900ms\nsettle = {'2s' if IS_FULL else '150ms'}\n"
        f"[log]\nform = json\nfile = {folder}/log\n"
        f"[snapshot]\nevery = 1s\nkeep = {'no' if FAULT_MODE == 'no-snapshots' else 'yes'}\n"
    )


class FleetProof:
    """One run."""

    def __init__(self) -> None:
        self._folder = make_folder()
        self._environment = Environment(
            reactor, SEED, backend_count=BACKEND_COUNT, plans={**PLANS, BURSTY_PLAN: BURSTY_QUOTA}
        )
        self._environment.start()
        for backend in self._environment.backends:
            backend.behavior.mean_work_seconds = MEAN_WORK_SECONDS
        self._fleet = FleetHarness(self._environment, self._folder, MEMBER_COUNT, settings_text(self._folder))
        self._figures: dict[str, float] = {}
        self.proof = Proof("prove-fleet")

    @inlineCallbacks
    def run(self) -> Steps:
        """Run all phases."""
        self._fleet.start_supervisor()
        yield self._fleet.wait_until_ready(MEMBER_COUNT, 30.0)
        self._figures["ready_s"] = round(self.proof.elapsed_seconds(), 2)
        self.proof.report(f"{MEMBER_COUNT} members are ready")
        self._start_load(MEMBER_COUNT)
        load_started_at = clock.now()
        yield sleep(LOAD_SECONDS)
        yield self._order("restart")
        yield self._kill_member()
        yield self._scale_up_and_upgrade()
        self._start_load(MEMBER_COUNT)
        yield sleep(0.5)
        yield self._order("scale", count=MEMBER_COUNT)
        yield self._fleet.wait_until_ready(MEMBER_COUNT, 20.0)
        yield sleep(1.0)
        self._environment.clients.stop()
        load_seconds = clock.now() - load_started_at
        while self._environment.clients.pending:
            yield sleep(0.05)
        self._evaluate(load_seconds)
        yield self._order("down")

    @inlineCallbacks
    def _order(self, order: str, **arguments: int) -> Steps:
        """Give an order and wait for its end; a negative reply is a failure."""
        started_at = clock.now()
        reply = yield self._fleet.order(ORDER_TIMEOUT_SECONDS, do=order, **arguments)
        self.proof.report(f"{order}: {reply.get('why')} ({clock.now() - started_at:.1f} s)")
        self.proof.fail_if(not reply.get("ok"), f"{order}: {reply.get('why')}")

    def _start_load(self, limiter_count: int) -> None:
        """Distribute all customers over the limiters as they are now; each sends requests from now on as before."""
        plans = list(PLANS)
        for index in range(ORDINARY_CUSTOMER_COUNT):
            plan = plans[index % len(plans)]
            customer = Customer(
                FIRST_ORDINARY_CUSTOMER + index,
                plan,
                ORDINARY_DEMAND_FRACTION * PLANS[plan].units_per_second,
                first_limiter=(index * 7) % limiter_count,
                spread=3,
                limiter_count=limiter_count,
                first_limiter_fraction=0.5,
            )
            self._environment.clients.start_customer(customer, REQUEST_CLASSES)
        for index in range(MEMBER_COUNT):
            customer = self._bursty_customer(index, limiter_count)
            self._environment.clients.start_customer(customer, REQUEST_CLASSES)

    @staticmethod
    def _bursty_customer(index: int, limiter_count: int = 1) -> Customer:
        return Customer(
            1 + index, BURSTY_PLAN, BURSTY_REQUESTS_PER_SECOND, first_limiter=index, limiter_count=limiter_count
        )

    @inlineCallbacks
    def _kill_member(self) -> Steps:
        status = yield self._fleet.status()
        memory_mb = [psutil.Process(member.pid).memory_info().rss / 2**20 for member in status.members]
        self._figures["rss_mb_each"] = round(sum(memory_mb) / len(memory_mb), 1)
        victim = status.members[KILLED_MEMBER]
        self._environment.clients.on_limiter_killed(KILLED_MEMBER)
        self._fleet.signal_member(victim.pid, signal.SIGKILL)
        killed_at = clock.now()
        yield sleep(0.3)
        yield self._fleet.wait_until_ready(MEMBER_COUNT, 20.0)
        self.proof.report(f"killed {victim.name}, back after {clock.now() - killed_at:.1f} s")

    @inlineCallbacks
    def _scale_up_and_upgrade(self) -> Steps:
        yield self._order("scale", count=SCALED_MEMBER_COUNT)
        yield self._fleet.wait_until_ready(SCALED_MEMBER_COUNT, 20.0)
        joined_at = clock.now()
        self._start_load(SCALED_MEMBER_COUNT)
        yield self._order("upgrade")
        since = joined_at + LATE_JOINER_SETTLING_SECONDS
        remaining_seconds = since + LATE_JOINER_OBSERVED_SECONDS - clock.now()
        if remaining_seconds > 0.0:
            yield sleep(remaining_seconds)
        until = clock.now()
        late_fraction = self._rejected_fraction(range(MEMBER_COUNT, SCALED_MEMBER_COUNT), since, until)
        peer_fraction = self._rejected_fraction(range(MEMBER_COUNT), since, until)
        self._figures["late_joiner_gap"] = round(abs(late_fraction - peer_fraction), 3)
        self.proof.report(
            f"rejected within quota: late joiners {late_fraction:.3f}, their peers {peer_fraction:.3f} over "
            f"{until - since:.0f} s"
        )

    def _rejected_fraction(self, limiters: range, since: float, until: float) -> float:
        return self._environment.rejected_within_quota_fraction(set(limiters), since, until, BURSTY_PLAN)

    def _evaluate(self, load_seconds: float) -> None:
        """Evaluate what was seen from outside."""
        environment = self._environment
        results = environment.clients.results
        outcomes = Counter(result.outcome for result in results)
        unanswered = environment.unanswered()
        wrongly_answered = environment.wrongly_answered()
        self._figures.update(
            requests=len(results),
            unanswered=len(unanswered),
            twice=len(wrongly_answered) + len(environment.attempt_violations()),
            lost_to_kill=outcomes[RequestOutcome.UNANSWERED] - len(unanswered),
            refused_connects=outcomes[RequestOutcome.CONNECT_REFUSED],
            failed=outcomes[RequestOutcome.FAILED],  # backends do not fail: a member with a wrong fleet size does
            minted_units=self._minted_units(load_seconds),
        )
        for result in (unanswered + wrongly_answered)[:MAX_SHOWN_RESULTS]:
            started_at = self.proof.elapsed_seconds() - (clock.now() - result.started_at)
            self.proof.report(
                f"{result.request_id} at {started_at:.2f} s through {result.limiter}: {result.outcome.value}, "
                f"{result.response_count} responses, {'; '.join(result.details)}"
            )
        cpu = psutil.Process().cpu_times()
        self.proof.report(f"this process, fakes and clients: {cpu.user + cpu.system:.0f} s of CPU")
        counts = {outcome.value: count for outcome, count in outcomes.items()}
        self.proof.report(
            f"outcomes {counts}; the counter rejected {environment.counter.rejected_count} of "
            f"{environment.counter.call_count} calls"
        )

    def _minted_units(self, load_seconds: float) -> float:
        allowed_units = BURSTY_QUOTA.burst_units + BURSTY_QUOTA.units_per_second * load_seconds + MAX_EXTRA_UNITS
        forwarded = [self._environment.units_received(self._bursty_customer(index)) for index in range(MEMBER_COUNT)]
        self.proof.report(
            f"{min(forwarded):.0f} to {max(forwarded):.0f} units of each bursty customer were forwarded, of "
            f"{allowed_units:.1f} allowed and about {BURSTY_REQUESTS_PER_SECOND * load_seconds:.0f} requested"
        )
        return round(max(0.0, max(forwarded) - allowed_units), 1)

    def finish(self) -> int:
        """Print the failures and the last line, and return the exit code."""
        figures = self._figures
        for name in FIGURE_NAMES:
            self.proof.fail_if(name not in figures, f"not measured: {name}")
        for name in ("unanswered", "twice", "minted_units", "refused_connects", "failed"):
            self.proof.fail_if(figures.get(name, 0) != 0, f"{name} is {figures.get(name)}")
        gap = figures.get("late_joiner_gap", 0.0)
        self.proof.fail_if(gap > MAX_LATE_JOINER_GAP, f"late_joiner_gap is {gap}, over {MAX_LATE_JOINER_GAP}")
        request_count = figures.get("requests", MIN_REQUEST_COUNT)
        self.proof.fail_if(request_count < MIN_REQUEST_COUNT, f"only {request_count} requests were sent")
        self.proof.print_failures()
        self.proof.print_last_line({name: figures.get(name, "?") for name in FIGURE_NAMES})
        return self.proof.exit_code()

    def clean_up(self) -> None:
        """End what is left, and remove the folder."""
        self._fleet.end()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self._folder, ignore_errors=True)


def main() -> int:
    """Run, evaluate and clean up; return the exit code."""
    fleet_proof = FleetProof()
    try:
        fleet_proof.proof.run(fleet_proof.run, TIMEOUT_SECONDS)
        return fleet_proof.finish()
    finally:
        fleet_proof.clean_up()


if __name__ == "__main__":
    sys.exit(main())
