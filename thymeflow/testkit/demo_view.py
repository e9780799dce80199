"""The tables of the demo: requests by plan, limiters, backends."""

from __future__ import annotations

from dataclasses import dataclass

from rich.console import Group
from rich.table import Table
from rich.text import Text

from thymeflow.testkit.fakes import Environment, RequestOutcome
from thymeflow.testkit.fleet_status import MemberStatus

MAX_SHOWN_EVENTS = 6
PLAN_COLUMNS = (
    "asked",
    "served",
    "refused: quota used up",
    "refused: with room",
    "failed",
    "median ms",
    "p99 ms",
)
LIMITER_COLUMNS = ("served", "refused", "open", "customers", "servers ready")
FAILED_OUTCOMES = (RequestOutcome.FAILED, RequestOutcome.UNANSWERED, RequestOutcome.CONNECT_REFUSED)


@dataclass(frozen=True, slots=True)
class PlanSummary:
    """What became of one plan's requests."""

    plan: str
    request_count: int
    served_count: int
    over_quota_count: int  # rejected, as the customer's quota was used up
    within_quota_count: int  # rejected though the quota covered it: backends busy or down, or too small a fraction
    failed_count: int
    median_seconds: float  # of served requests
    p99_seconds: float


def percentile(sorted_values: list[float], fraction: float) -> float:
    """Return the value at a fraction of the sorted values, 0 without any."""
    if not sorted_values:
        return 0.0
    return sorted_values[min(len(sorted_values) - 1, int(fraction * len(sorted_values)))]


def summarize_plan(environment: Environment, plan: str) -> PlanSummary:
    """Summarize one plan's requests, as the clients saw them."""
    results = [result for result in environment.clients.results if result.customer.plan == plan]
    durations = sorted(result.duration_seconds for result in results if result.is_served)
    rejected_count = sum(result.outcome is RequestOutcome.REJECTED for result in results)
    within_quota_count = sum(
        rejection.was_within_quota
        for rejection in environment.rejections
        if rejection.result.customer.plan == plan and rejection.result.outcome is RequestOutcome.REJECTED
    )
    return PlanSummary(
        plan,
        len(results),
        len(durations),
        rejected_count - within_quota_count,
        within_quota_count,
        sum(result.outcome in FAILED_OUTCOMES for result in results),
        percentile(durations, 0.5),
        percentile(durations, 0.99),
    )


def _plans_table(environment: Environment) -> Table:
    table = Table("plan", title="what user agents saw", title_justify="left")
    for name in PLAN_COLUMNS:
        table.add_column(name, justify="right")
    for plan in environment.plans:
        summary = summarize_plan(environment, plan)
        table.add_row(
            summary.plan,
            str(summary.request_count),
            str(summary.served_count),
            str(summary.over_quota_count),
            str(summary.within_quota_count),
            str(summary.failed_count),
            f"{summary.median_seconds * 1e3:.0f}",
            f"{summary.p99_seconds * 1e3:.0f}",
        )
    return table


def _limiters_table(members: tuple[MemberStatus, ...]) -> Table:
    table = Table("limiter", "state", title="limiters", title_justify="left")
    for name in LIMITER_COLUMNS:
        table.add_column(name, justify="right")
    for member in members:
        table.add_row(
            member.name,
            member.state,
            str(member.served_count),
            str(member.rejected_count),
            str(member.open_count),
            str(member.customer_count),
            str(member.ready_backend_count),
        )
    return table


def _backends_table(environment: Environment) -> Table:
    table = Table("server", "state", title="servers (stand-ins)", title_justify="left")
    table.add_column("calls", justify="right")
    for backend in environment.backends:
        state = "up" if backend.is_up() else "[red]killed[/red]"
        table.add_row(f"s{backend.number}", state, str(len(backend.received)))
    return table


def render(environment: Environment, members: tuple[MemberStatus, ...], events: list[str]) -> Group:
    """Return the view: all tables, and the last events."""
    return Group(
        _plans_table(environment),
        _limiters_table(members),
        _backends_table(environment),
        Text("\n".join(events[-MAX_SHOWN_EVENTS:])),
    )
