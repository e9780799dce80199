"""Settings of the gateways in recorded runs, in the JSON format of the simulator's protocol."""

from __future__ import annotations

from typing import Any

COUNTER_TIMEOUT = 0.03


def build_gateway_settings(index: int, gateway_count: int, **changes: Any) -> dict[str, Any]:
    """Return the settings of one gateway in the JSON format of the protocol."""
    base: dict[str, Any] = {
        "index": index,
        "balancers": gateway_count,
        "zone": "ab"[index % 2],
        "azs": ["a", "b"],
        "step": 0.002,
        "discovery": "on_request" if index % 2 else "pushed",
        "report": {"how": "inline", "fields": ["active", "avg_ms"]},
        "rules": {"drain-grace": 0.5, "fall-multiple": 2.0, "fall": 1.5, "cold-share": 0.2, "cold": 8.0},
        "caps": {
            "cancel": True,
            "max-attempts": 3,
            "may-tell": True,
            "retry-after": True,
            "max-retry-after": 1.5,
        },
        "family-info": {"trued-up": True, "most-units": 4, "peer-intake": 60.0},
        "classes": [
            {"name": "read", "on-time": 0.4, "deadline": 1.2, "effect": "retryable", "late-share": 0.3},
            {"name": "quick", "on-time": 0.3, "deadline": 0.9, "effect": "retryable"},
            {"name": "zoned", "on-time": 0.5, "deadline": 1.5, "effect": "dedup", "key-scope": "zone", "window": 0.5},
            {"name": "celled", "on-time": 0.5, "deadline": 1.5, "effect": "dedup", "key-scope": "cell", "window": 0.6},
            {"name": "keyed", "on-time": 0.5, "deadline": 1.5, "effect": "dedup", "key-scope": "all", "window": 0.4},
            {"name": "sign", "on-time": 0.5, "deadline": 2.0, "effect": "fragile", "credit": 3.0},
            {"name": "feed", "on-time": 0.3, "deadline": 2.0, "effect": "retryable", "stream": True},
        ],
        "tiers-of-service": [
            {"name": "basic", "refill": 8.0, "most-at-once": 16.0},
            {"name": "capped", "refill": 20.0, "most-at-once": 30.0, "never-over-rate": 6.0, "never-over-depth": 9.0},
            {"name": "narrow", "refill": 10.0, "most-at-once": 20.0, "parallel": 4},
            {"name": "scarce", "refill": 1.5, "most-at-once": 7.0, "over-cost": 0.6, "over-worth": 0.2},
            {"name": "free", "refill": 0.0, "most-at-once": 0.0},
        ],
    }
    return {**base, **changes}


def build_counter_settings(index: int, gateway_count: int, **changes: Any) -> dict[str, Any]:
    """Return the settings of a gateway that has a counter and no gossip."""
    base = build_gateway_settings(index, gateway_count)
    information = {**base["family-info"], "may-count": True, "counter-timeout": COUNTER_TIMEOUT}
    return {**base, "caps": {**base["caps"], "may-tell": False}, "family-info": information, **changes}
