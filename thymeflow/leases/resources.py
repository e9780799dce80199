"""What is divided: the kinds, and how a whole is cut into base parts and a pool. Stateless arithmetic.

All amounts are points of one whole, which the decisions turn into places, attempts or calls: so one division serves
whatever the settings make of the whole, and a change of settings divides nothing anew.
"""

from __future__ import annotations

from enum import Enum

WHOLE = 1_000_000  # points
BASE = 600_000  # of them, without an end: what is left in all to those who hear nothing; docs/design/budgets.md
LENT = WHOLE - BASE  # the pool: lent for a while, by demand
LEAST = 0.25  # of an even share: weight of a holder that asks for nothing now, as it may at any moment


class Resource(Enum):
    """What is bounded over the whole fleet."""

    CONCURRENCY = "places"  # proxy passes that may be out: the settings' capacity that is present
    RETRIES = "attempts"  # further attempts that may run twice, as many as may be saved up
    COUNTER_CALLS = "calls"  # counter calls a second, as [budgets] has it
    HALF_OPEN_PROBES = "trials"  # passes a second to a server that has failed, to each: [budgets]
    CONNECTIONS = "connections"  # that one server holds: [budgets]


def base_amount(holders: int) -> int:
    """The base part of one of so many."""
    return BASE // max(1, holders)


def divide_by_demand(whole: int, demand: dict[str, float]) -> dict[str, int]:
    """The whole by demand, at most the whole in sum; a holder that asks nothing keeps a little."""
    if not demand:
        return {}
    told = {holder: max(0.0, min(1e12, asked)) if asked == asked else 0.0 for holder, asked in demand.items()}
    floor = LEAST * sum(told.values()) / len(told) or 1.0
    weights = {holder: max(floor, asked) for holder, asked in told.items()}
    total = sum(weights.values())
    return {holder: int(whole * weight / total) for holder, weight in weights.items()}
