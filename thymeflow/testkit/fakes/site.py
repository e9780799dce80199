"""A table-booking site of our own making: four plans, three classes, as the platform tells them."""

from __future__ import annotations

from typing import Any

PLANS = {"kedai": (2.0, 10.0), "biasa": (3.0, 15.0), "rangkaian": (8.0, 32.0), "korporat": (20.0, 40.0)}
CLASSES = ("table-check", "booking-view", "booking-make")  # the last is keyed: its effect must come once
KEYED = "booking-make"
WINDOW = 2.0  # s after its first sending, in which it may be repeated anywhere
MOST_UNITS = 4.0


def settings(gateways: int, plans: dict[str, tuple[float, float]] | None = None, step: float = 0.002) -> dict[str, Any]:
    """The settings object; plans are name to units a second and burst."""
    return {
        "index": 0,
        "balancers": gateways,
        "zone": "floor-2",
        "azs": ["floor-2"],
        "step": step,
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
            {"name": "table-check", "on-time": 1.0, "deadline": 2.0, "effect": "retryable"},
            {"name": "booking-view", "on-time": 1.0, "deadline": 2.0, "effect": "retryable"},
            {"name": KEYED, "on-time": 1.5, "deadline": 3.0, "effect": "dedup", "key-scope": "all", "window": WINDOW},
        ],
        "family-info": {"may-count": True, "counter-timeout": 0.05, "trued-up": True, "most-units": MOST_UNITS},
        "report": {"how": "inline", "fields": ["avg_ms"]},
        "rules": {"drain-grace": 1.0, "grace-to-answer": 0.008},
        "tiers-of-service": [
            {"name": name, "refill": rate, "most-at-once": burst} for name, (rate, burst) in (plans or PLANS).items()
        ],
    }
