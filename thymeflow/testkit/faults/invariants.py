"""Invariant checkers over a run of the cluster harness: each looks from outside, and is valid under every timing.

A checker excuses what a fault of the schedule did itself: a link that delayed bytes, a process that was paused. What
it does not excuse a limiter did. Where our reactor ran late, times are taken in the limiter's favour.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from thymeflow.quota.reservations import BASE_BURST_FRACTION
from thymeflow.testkit.fakes import ReceivedRequest, RequestResult
from thymeflow.testkit.fakes.environment import TIMING_TOLERANCE_SECONDS
from thymeflow.testkit.fakes.load_generator import RESPONSE_TOLERANCE_SECONDS
from thymeflow.testkit.fakes.site import PlanQuota
from thymeflow.testkit.faults.cluster import ClusterHarness
from thymeflow.testkit.faults.quota_checks import HighestUse, first_attempts, highest_use
from thymeflow.testkit.faults.schedule import RESERVED_QUOTAS, FaultAction, Link

DRAIN_GRACE_SECONDS = 1.0  # as in the settings of the fakes' site
MAX_USE_PERCENT = 105.0  # of a quota, where limiters reserve units


def _results_by_id(cluster: ClusterHarness) -> dict[str, RequestResult]:
    return {result.request_id: result for result in cluster.environment.clients.results}


def _had_link_fault(cluster: ClusterHarness, link: Link, result: RequestResult) -> bool:
    """Return whether a link of the request's limiter was faulty at any time while it may have been pending."""
    until = result.deadline + RESPONSE_TOLERANCE_SECONDS
    return cluster.injector.link_faults[link].overlap(result.limiter, result.started_at, until)


def check_answers(cluster: ClusterHarness) -> list[str]:
    """Check that each accepted request has one final response of its own, in time."""
    violations = [
        f"{result.request_id} has {result.response_count} answers"
        f"{', one of another request' if result.has_wrong_value else ''}"
        for result in cluster.environment.wrongly_answered()
    ]
    for result in cluster.environment.unanswered():
        until = result.deadline + RESPONSE_TOLERANCE_SECONDS
        had_process_fault = cluster.injector.process_faults.overlap(result.limiter, result.started_at, until)
        if not had_process_fault and not _had_link_fault(cluster, Link.CLIENTS, result):
            violations.append(
                f"{result.request_id}, asked of n{result.limiter} "
                f"{result.started_at - cluster.load_started_at:.2f} s after the beginning, has no answer: "
                f"{'; '.join(result.details)}"
            )
    return violations


def check_effects(cluster: ClusterHarness) -> list[str]:
    """Check that no request has two effects, two attempts in flight at once, or a retry past its window."""
    results = _results_by_id(cluster)

    def is_excused(request_id: str) -> bool:
        """Excuse attempts that a faulty link may have delayed."""
        result = results.get(request_id)
        return result is None or _had_link_fault(cluster, Link.BACKENDS, result)

    return cluster.environment.attempt_violations(is_excused)


def check_drains(cluster: ClusterHarness) -> list[str]:
    """Check that nothing is forwarded to a backend later than the grace after the limiter was notified of its drain."""
    results = _results_by_id(cluster)
    backend_link_faults = cluster.injector.link_faults[Link.BACKENDS]
    violations: list[str] = []
    for request in cluster.environment.received():
        result = results.get(request.request_id)
        if result is None:
            continue
        notified_at = cluster.injector.drain_notified_at.get((result.limiter, request.backend))
        if notified_at is None:
            continue
        if request.earliest_at <= notified_at + DRAIN_GRACE_SECONDS + TIMING_TOLERANCE_SECONDS:
            continue
        if not backend_link_faults.overlap(result.limiter, notified_at, request.received_at):
            violations.append(
                f"{request.request_id} went to s{request.backend} {request.earliest_at - notified_at:.2f} s after "
                f"n{result.limiter} was told that it drains"
            )
    return violations


def check_ends(cluster: ClusterHarness) -> list[str]:
    """Check that every limiter came back, served again, and shut down gracefully."""
    return cluster.stalls + [
        f"n{node.number} ended with code {code}; its log is {node.process.log_path.name}"
        for node in cluster.nodes
        for code in node.process.exit_codes
        if code
    ]


def highest_quota_use(cluster: ClusterHarness, until: float = inf) -> HighestUse:
    """Return the highest use of a quota; requests that a faulty link to a backend may have delayed are left out."""
    results = _results_by_id(cluster)
    customers = {result.customer.name: result.customer for result in results.values()}
    cleared_at = [
        applied.at for applied in cluster.injector.applied if applied.step.action is FaultAction.CLEAR_COUNTER
    ]

    def quota_of(customer: str) -> PlanQuota:
        """Return the quota of a customer."""
        return cluster.environment.bucket_of(customers[customer]).quota

    def may_count(request: ReceivedRequest) -> bool:
        """Leave out what a faulty link may have delayed, and what came later."""
        result = results.get(request.request_id)
        is_in_time = request.received_at < until
        return result is not None and is_in_time and not _had_link_fault(cluster, Link.BACKENDS, result)

    def extra_bursts(since: float, until: float) -> float:
        """Allow for a counter that lost its totals, which lets the units of a window be reserved again."""
        clear_count = sum(since - TIMING_TOLERANCE_SECONDS <= at <= until for at in cleared_at)
        return (1.0 - BASE_BURST_FRACTION) * clear_count

    return highest_use(first_attempts(cluster.environment.received(), may_count), quota_of, extra_bursts)


def check_quotas(cluster: ClusterHarness) -> list[str]:
    """Check that no customer uses more than its quota over all limiters together, where they reserve units."""
    if cluster.schedule.quota_mode != RESERVED_QUOTAS:
        return []
    highest = highest_quota_use(cluster)
    if highest.percent <= MAX_USE_PERCENT:
        return []
    return [
        f"{highest.customer} got {highest.percent:.1f}% of its quota in the {highest.seconds:.1f} s from "
        f"{highest.since - cluster.load_started_at:.2f} s on"
    ]


# By the names that `thymeflow lab` prints.
CHECKERS: dict[str, Callable[[ClusterHarness], list[str]]] = {
    "answers": check_answers,
    "effects": check_effects,
    "drains": check_drains,
    "ends": check_ends,
    "quotas": check_quotas,
}


def check_all(cluster: ClusterHarness) -> dict[str, list[str]]:
    """Return the violations that each checker found, by its name."""
    return {name: check(cluster) for name, check in CHECKERS.items()}
