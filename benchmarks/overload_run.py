"""One fleet size in the overload proof: a backend that fails, a member that is paused, and backends that slow down."""

from __future__ import annotations

import shutil
import signal
import tempfile
from pathlib import Path

from twisted.internet.defer import inlineCallbacks

from benchmarks.frame import FAULT_MODE, Proof
from thymeflow.runtime import clock
from thymeflow.testkit.async_steps import Steps, reactor, sleep
from thymeflow.testkit.fakes import Customer, Environment, RequestOutcome, RequestResult
from thymeflow.testkit.fakes.reference_bucket import ReferenceBucket
from thymeflow.testkit.fakes.site import PLANS, REQUEST_CLASSES
from thymeflow.testkit.fleet_harness import FleetHarness, fleet_settings

SEED = 7
BACKEND_COUNT = 6
FAILING_BACKEND = 0

LOAD_PLAN = "korporat"
LOAD_REQUESTS_PER_SECOND = 120.0
LOAD_CUSTOMER_COUNT = 12
OVER_QUOTA_PLAN = "kedai"
OVER_QUOTA_CUSTOMER_COUNT = 4  # each sends three times its quota, to be rejected first
OVER_QUOTA_FACTOR = 3.0
FIRST_OVER_QUOTA_CUSTOMER = 101
SPREAD = 3
SETTLING_SECONDS = 2.0  # between the start of the load and the first fault

EJECTION_SECONDS = 4.0  # until all members have ejected the failing backend
OBSERVED_SECONDS = 8.0  # after that, in which attempts at it are counted
RECOVERY_TIMEOUT_SECONDS = 15.0  # of the backend, until it has half of its fraction of the load
RECOVERED_FRACTION = 0.5
PAUSE_SECONDS = 3.0  # of one member, and as long after it
MIN_FRACTION_AFTER_PAUSE = 0.4  # of the backend's fraction of the load

OVERLOAD_SLOTS = 1
OVERLOAD_WORK_SECONDS = 0.1  # with six slots: 60 requests a second, half of the load
OVERLOAD_SLOWDOWN_PER_QUEUED = 0.05
OVERLOAD_SECONDS = 11.0
OVERLOAD_SETTLING_SECONDS = 4.0  # before goodput is counted
KILL_AFTER_SECONDS = 9.0  # of overload: half of the members
WELL_TIMEOUT_SECONDS = 20.0  # for goodput after the overload
WELL_FRACTION = 0.95  # of the load
LATENCY_OBJECTIVE_SECONDS = 1.0
RESEND_FRACTION = 0.5  # of rejected requests, with the retry-after that they got
MIN_RESEND_DELAY_SECONDS = 0.1
ATTEMPT_WINDOW_SECONDS = 5.0  # in which attempts per request are counted
BUCKET_TOLERANCE_UNITS = 1e-6

MAX_SHOWN_VIOLATIONS = 3

NO_COORDINATION_SETTINGS = "[overload]\ntogether = no\n[budgets]\ntrials = 10000\n"
# Run in place of the supervisor and of each member.
NO_SHEDDING_CODE = (
    "import sys; from thymeflow.health import pressure; from thymeflow.shedding.threshold import AdmissionThreshold; "
    "pressure.compute_concurrency_limit = lambda *_: 1e9; pressure.compute_shedding_fraction = lambda *_: 0.0; "
    "AdmissionThreshold.tick = lambda self, now: 0.0; from thymeflow.cli import run; sys.exit(run())"
)


class SizeRun:
    """The run with one fleet size, and its figures."""

    def __init__(self, proof: Proof, member_count: int) -> None:
        self.member_count = member_count
        self.bad_attempts_per_second = 0.0
        self.recovery_seconds = 0.0
        self.max_attempts_per_request = 0.0
        self.served_percent = 0.0
        self.goodput_percent = 0.0
        self.inversions_percent = 0.0
        self.well_seconds = 0.0
        self._proof = proof
        self._folder = Path(tempfile.mkdtemp(prefix="tf-"))
        self._environment = Environment(reactor, SEED, backend_count=BACKEND_COUNT)
        self._environment.start()
        self._environment.clients.on_finished.append(self._resend_rejected)
        self._is_resending = False
        code = NO_SHEDDING_CODE if FAULT_MODE == "no-shedding" else ""
        sections = NO_COORDINATION_SETTINGS if FAULT_MODE == "no-coordination" else ""
        settings = fleet_settings(self._folder, member_count, sections)
        self._fleet = FleetHarness(
            self._environment, self._folder, member_count, settings, supervisor_code=code, member_code=code
        )

    def _attempts_per_second(self, since: float, until: float) -> float:
        """Return the rate of attempts at the backend that fails."""
        received = self._environment.backends[FAILING_BACKEND].received
        return sum(since <= request.received_at < until for request in received) / max(1e-9, until - since)

    def _goodput_per_second(self, since: float, until: float) -> float:
        """Return the rate of requests that were served within the latency objective."""
        results = self._environment.clients.results
        return sum(
            result.is_served
            and since <= result.finished_at < until
            and result.duration_seconds <= LATENCY_OBJECTIVE_SECONDS
            for result in results
        ) / max(1e-9, until - since)

    def _resend_rejected(self, result: RequestResult) -> None:
        is_rejected = result.outcome is RequestOutcome.REJECTED
        if self._is_resending and is_rejected and self._environment.rng.random() < RESEND_FRACTION:
            delay_seconds = max(MIN_RESEND_DELAY_SECONDS, result.retry_after_seconds)
            send_request = self._environment.clients.send_request
            reactor.callLater(delay_seconds, send_request, result.customer, result.request_class)

    @inlineCallbacks
    def run(self) -> Steps:
        """Run all phases, from the start of the fleet to its end."""
        self._fleet.start_supervisor()
        status = yield self._fleet.wait_until_ready(self.member_count)
        self._start_load()
        yield sleep(SETTLING_SECONDS)
        started_at = clock.now()
        yield self._fail_and_recover_backend()
        yield self._pause_member(status.members[0].pid)
        ended_at = clock.now()
        status = yield self._fleet.wait_until_ready(self.member_count)
        yield self._overload([member.pid for member in status.members])
        self._environment.clients.stop()
        while self._environment.clients.pending:
            yield sleep(0.02)
        self._evaluate(started_at, ended_at)
        yield self._fleet.order(do="down")

    def _start_load(self) -> None:
        spread = min(SPREAD, self.member_count)
        for index in range(LOAD_CUSTOMER_COUNT):
            customer = Customer(
                1 + index,
                LOAD_PLAN,
                LOAD_REQUESTS_PER_SECOND / LOAD_CUSTOMER_COUNT,
                first_limiter=index * self.member_count // LOAD_CUSTOMER_COUNT,
                spread=spread,
                limiter_count=self.member_count,
            )
            self._environment.clients.start_customer(customer, REQUEST_CLASSES)
        for index in range(OVER_QUOTA_CUSTOMER_COUNT):
            customer = Customer(
                FIRST_OVER_QUOTA_CUSTOMER + index,
                OVER_QUOTA_PLAN,
                OVER_QUOTA_FACTOR * PLANS[OVER_QUOTA_PLAN].units_per_second,
                first_limiter=index * self.member_count // OVER_QUOTA_CUSTOMER_COUNT,
                spread=spread,
                limiter_count=self.member_count,
            )
            self._environment.clients.start_customer(customer, REQUEST_CLASSES)

    @inlineCallbacks
    def _fail_and_recover_backend(self) -> Steps:
        backend = self._environment.backends[FAILING_BACKEND]
        failed_at = clock.now()
        backend.behavior.error_fraction = 1.0
        yield sleep(EJECTION_SECONDS + OBSERVED_SECONDS)
        self.bad_attempts_per_second = self._attempts_per_second(failed_at + EJECTION_SECONDS, clock.now())
        well_at = clock.now()
        backend.behavior.error_fraction = 0.0
        recovered_rate = RECOVERED_FRACTION * LOAD_REQUESTS_PER_SECOND / BACKEND_COUNT
        while (
            self._attempts_per_second(clock.now() - 1.0, clock.now()) < recovered_rate
            and clock.now() < well_at + RECOVERY_TIMEOUT_SECONDS
        ):
            yield sleep(0.05)
        self.recovery_seconds = clock.now() - well_at

    @inlineCallbacks
    def _pause_member(self, pid: int) -> Steps:
        self._fleet.signal_member(pid, signal.SIGSTOP)
        yield sleep(PAUSE_SECONDS)
        self._fleet.signal_member(pid, signal.SIGCONT)
        yield sleep(PAUSE_SECONDS)
        rate = self._attempts_per_second(clock.now() - 2.0, clock.now())
        fraction = rate / (LOAD_REQUESTS_PER_SECOND / BACKEND_COUNT)
        self._proof.fail_if(
            fraction < MIN_FRACTION_AFTER_PAUSE,
            f"backend 0 has {fraction:.2f} of its fraction of the load after a member was paused and resumed",
        )

    @inlineCallbacks
    def _overload(self, pids: list[int]) -> Steps:
        """Slow all backends down to half of the load, kill half of the members meanwhile, and recover."""
        self._is_resending = True
        started_at = clock.now()
        normal_behaviors = [
            (backend.behavior.mean_work_seconds, backend.behavior.slots) for backend in self._environment.backends
        ]
        for backend in self._environment.backends:
            backend.behavior.mean_work_seconds = OVERLOAD_WORK_SECONDS
            backend.behavior.slots = OVERLOAD_SLOTS
            backend.behavior.slowdown_per_queued = OVERLOAD_SLOWDOWN_PER_QUEUED
        yield sleep(KILL_AFTER_SECONDS)
        capacity_per_second = BACKEND_COUNT * OVERLOAD_SLOTS / OVERLOAD_WORK_SECONDS
        goodput = self._goodput_per_second(started_at + OVERLOAD_SETTLING_SECONDS, clock.now())
        self.goodput_percent = 100.0 * goodput / capacity_per_second
        for pid in pids[: len(pids) // 2]:
            self._fleet.signal_member(pid, signal.SIGKILL)
        yield sleep(OVERLOAD_SECONDS - KILL_AFTER_SECONDS)
        ended_at = clock.now()
        self.inversions_percent = self._inversions_percent(started_at, ended_at)
        for backend, (mean_work_seconds, slots) in zip(self._environment.backends, normal_behaviors, strict=True):
            backend.behavior.mean_work_seconds = mean_work_seconds
            backend.behavior.slots = slots
            backend.behavior.slowdown_per_queued = 0.0
        while (
            self._goodput_per_second(clock.now() - 1.0, clock.now()) < WELL_FRACTION * LOAD_REQUESTS_PER_SECOND
            and clock.now() < ended_at + WELL_TIMEOUT_SECONDS
        ):
            yield sleep(0.05)
        self.well_seconds = clock.now() - ended_at
        self._is_resending = False

    def _inversions_percent(self, since: float, until: float) -> float:
        """Return the percentage of rejections within quota, in a second in which a request over quota was served."""
        buckets: dict[int, ReferenceBucket] = {}
        over_quota_seconds: set[int] = set()  # in which a request over quota was served
        rejections: list[tuple[int, bool]] = []  # second, and whether the quota covered the request
        for result in sorted(self._environment.clients.results, key=lambda result: result.started_at):
            customer = result.customer
            quota = self._environment.plans[customer.plan]
            bucket = buckets.setdefault(customer.number, ReferenceBucket(quota, result.started_at))
            is_within_quota = bucket.level_at(result.started_at) >= customer.units - BUCKET_TOLERANCE_UNITS
            if result.is_served:
                bucket.consume(customer.units, result.started_at)
            if since <= result.started_at < until:
                if result.is_served and not is_within_quota:
                    over_quota_seconds.add(int(result.started_at))
                elif result.outcome is RequestOutcome.REJECTED:
                    rejections.append((int(result.started_at), is_within_quota))
        inversion_count = sum(is_within and second in over_quota_seconds for second, is_within in rejections)
        return 100.0 * inversion_count / max(1, len(rejections))

    def _evaluate(self, started_at: float, ended_at: float) -> None:
        results = [
            result
            for result in self._environment.clients.results
            if started_at <= result.started_at < ended_at and result.customer.plan == LOAD_PLAN
        ]
        served_count = sum(result.is_served for result in results)
        # Of the member that was paused.
        unanswered_count = sum(result.outcome is RequestOutcome.UNANSWERED for result in results)
        self.served_percent = 100.0 * served_count / max(1, len(results) - unanswered_count)
        self.max_attempts_per_request = self._max_attempts_per_request(started_at)
        for result in self._environment.wrongly_answered()[:MAX_SHOWN_VIOLATIONS]:
            self._proof.fail_if(True, f"{result.request_id} has {result.response_count} responses")
        for violation in self._environment.attempt_violations()[:MAX_SHOWN_VIOLATIONS]:
            self._proof.fail_if(True, violation)

    def _max_attempts_per_request(self, started_at: float) -> float:
        """Return the highest mean of attempts per request in any window of the run."""
        results = self._environment.clients.results
        received = self._environment.received()
        highest = 0.0
        since = started_at
        while since + ATTEMPT_WINDOW_SECONDS <= results[-1].started_at:
            until = since + ATTEMPT_WINDOW_SECONDS
            request_ids = {result.request_id for result in results if since <= result.started_at < until}
            attempts = [request.request_id for request in received if request.request_id in request_ids]
            if attempts:
                highest = max(highest, len(attempts) / len(set(attempts)))
            since += 1.0
        return highest

    def summary(self) -> str:
        """Return the figures as text."""
        return (
            f"{self.member_count} members: {self.bad_attempts_per_second:.2f} attempts/s at the failing backend, "
            f"back after {self.recovery_seconds:.1f} s, {self.max_attempts_per_request:.3f} attempts per request, "
            f"{self.served_percent:.1f}% served; in overload {self.goodput_percent:.1f}% of the capacity, "
            f"{self.inversions_percent:.1f}% of rejections inverted, recovered after {self.well_seconds:.1f} s"
        )

    def clean_up(self) -> None:
        """End what is left, and remove the folder."""
        self._fleet.end()
        for backend in self._environment.backends:
            backend.kill()
        self._environment.counter.kill()
        shutil.rmtree(self._folder, ignore_errors=True)
