"""The settings of a table-booking deployment of our own making: four plans and three classes of requests."""

from __future__ import annotations

from typing import NamedTuple

from thymeflow.testkit.types import JsonObject


class PlanQuota(NamedTuple):
    """The quota of a customer of one plan."""

    units_per_second: float
    burst_units: float


Plans = dict[str, PlanQuota]

PLANS: Plans = {
    "kedai": PlanQuota(2.0, 10.0),
    "biasa": PlanQuota(3.0, 15.0),
    "rangkaian": PlanQuota(8.0, 32.0),
    "korporat": PlanQuota(20.0, 40.0),
}
CHECK_CLASS = "table-check"
VIEW_CLASS = "booking-view"
KEYED_CLASS = "booking-make"  # its requests have an idempotency key: the effect must come once
REQUEST_CLASSES = (CHECK_CLASS, VIEW_CLASS, KEYED_CLASS)
RETRY_WINDOW_SECONDS = 2.0  # after its first attempt, in which a request with a key may be retried at any backend
MAX_UNITS = 4.0


def settings(limiter_count: int, plans: Plans | None = None) -> JsonObject:
    """Return the `settings` object of the platform's JSON for a set of limiters."""
    return {
        "index": 0,
        "balancers": limiter_count,
        "zone": "floor-2",
        "azs": ["floor-2"],
        "step": 0.002,
        "caps": {
            "cancel": True,
            "max-attempts": 4,
            "retry-after": True,
            "max-retry-after": 2.0,
            "dial-timeout": 0.25,
            "conn-idle": 30.0,
            "open-cap": 20000,
        },
        "classes": [
            {"name": CHECK_CLASS, "on-time": 1.0, "deadline": 2.0, "effect": "retryable"},
            {"name": VIEW_CLASS, "on-time": 1.0, "deadline": 2.0, "effect": "retryable"},
            {
                "name": KEYED_CLASS,
                "on-time": 1.5,
                "deadline": 3.0,
                "effect": "dedup",
                "key-scope": "all",
                "window": RETRY_WINDOW_SECONDS,
            },
        ],
        "family-info": {"may-count": True, "counter-timeout": 0.05, "trued-up": True, "most-units": MAX_UNITS},
        "report": {"how": "inline", "fields": ["avg_ms"]},
        "rules": {"drain-grace": 1.0, "grace-to-answer": 0.008},
        "tiers-of-service": [
            {"name": name, "refill": quota.units_per_second, "most-at-once": quota.burst_units}
            for name, quota in (plans or PLANS).items()
        ],
    }
