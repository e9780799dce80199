"""What customers used of their quotas, as backends saw it: the highest, in percent of one bucket for all limiters.

In any span a customer may use what the bucket contained when the span began, plus rate x time. Backends receive a
request a little after it was sent, and our reactor may read it later still; so a span counts only what was surely sent
within it, and the bucket is taken to fill from the earliest time at which requests before it can have arrived.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from thymeflow.testkit.fakes.backend_records import ReceivedRequest
from thymeflow.testkit.fakes.reference_bucket import ReferenceBucket
from thymeflow.testkit.fakes.site import PlanQuota

MIN_SPAN_SECONDS = 5.0  # shorter spans are dominated by jitter
MAX_SPAN_SECONDS = 20.0


@dataclass(frozen=True, slots=True)
class HighestUse:
    """The span in which a customer used most of its quota."""

    percent: float = 0.0
    customer: str = ""
    since: float = 0.0
    seconds: float = 0.0


def _no_extra_bursts(_since: float, _until: float) -> float:
    """Allow nothing beyond the quota."""
    return 0.0


def first_attempts(
    received: Iterable[ReceivedRequest], may_count: Callable[[ReceivedRequest], bool]
) -> dict[str, list[ReceivedRequest]]:
    """Return the first attempt of each request by customer; retries use no units."""
    seen: set[str] = set()
    attempts: dict[str, list[ReceivedRequest]] = {}
    for request in sorted(received, key=lambda request: request.earliest_at):
        if request.request_id not in seen and may_count(request):
            seen.add(request.request_id)
            attempts.setdefault(request.customer, []).append(request)
    return attempts


def highest_use(
    attempts_by_customer: Mapping[str, list[ReceivedRequest]],
    quota_of: Callable[[str], PlanQuota],
    extra_bursts: Callable[[float, float], float] = _no_extra_bursts,
) -> HighestUse:
    """Return the highest use by any customer; `extra_bursts`: what a span may have beyond its quota, in bursts."""
    highest = HighestUse()
    for customer, attempts in attempts_by_customer.items():
        quota = quota_of(customer)
        bucket = ReferenceBucket(quota, attempts[0].earliest_at)
        for index, first in enumerate(attempts):
            level_units = bucket.level_at(first.earliest_at)
            used_units = 0.0
            for attempt in attempts[index:]:
                span_seconds = attempt.received_at - first.earliest_at
                if span_seconds > MAX_SPAN_SECONDS:
                    break
                used_units += attempt.units
                span_or_minimum_seconds = max(MIN_SPAN_SECONDS, span_seconds)
                extra_units = quota.burst_units * extra_bursts(first.earliest_at, attempt.received_at)
                allowed_units = level_units + quota.units_per_second * span_or_minimum_seconds + extra_units
                percent = 100.0 * used_units / allowed_units
                if percent > highest.percent:
                    highest = HighestUse(percent, customer, first.earliest_at, span_or_minimum_seconds)
            bucket.consume(first.units, first.earliest_at)
    return highest
