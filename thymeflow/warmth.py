"""How much of its capacity a server has since its start: stateless arithmetic after the rules, no decisions."""

from __future__ import annotations

from collections.abc import Iterable

from thymeflow import interface as api


def share(age: float, rules: api.Rules) -> float:
    """Of its capacity, at so many seconds after its start: it rises evenly from the cold share to all."""
    return min(1.0, rules.cold_share + (1.0 - rules.cold_share) * max(0.0, age) / max(1e-9, rules.cold_time))


def present(entries: Iterable[api.Backend], now: float, rules: api.Rules) -> float:
    """How many warm servers those that are ready come to."""
    return sum(share(now - e.started, rules) if e.started > 0.0 else 1.0   # 0: long ago
               for e in entries if e.state is api.BackendState.READY)
