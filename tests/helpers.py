"""Small settings and a driver for one gateway, with none of the module's own logic."""

from __future__ import annotations

from typing import Any

from thymeflow import Gateway
from thymeflow import interface as i

SAFE = i.RequestClass("read", aim=1.0, deadline=4.0, effect=i.Effect.SAFE)
KEYED = i.RequestClass("book", aim=1.0, deadline=4.0, effect=i.Effect.KEYED, scope=i.Scope.ZONE, window=0.4)
UNSAFE = i.RequestClass("sign", aim=1.0, deadline=4.0, effect=i.Effect.UNSAFE)
PLAN = i.Plan("plain", rate=10.0, burst=30.0)
CAPPED = i.Plan("capped", rate=50.0, burst=90.0, ceiling_rate=15.0, ceiling_burst=30.0, ceiling_slack=3.0)
RULES = i.Rules(drain_grace=0.5, fall_multiple=2.0, fall_time=1.5, cold_share=0.2, cold_time=10.0,
                answer_slack=0.01)


def settings(**changes: Any) -> i.Settings:
    """Three gateways, two zones; whatever a test needs is changed."""
    base: dict[str, Any] = {
        "index": 0, "gateways": 3, "zone": "a", "zones": ("a", "b"), "classes": (SAFE, KEYED, UNSAFE),
        "plans": (PLAN, CAPPED), "rules": RULES,
        "limits": i.Limits(cancel=True, max_attempts=3, second_copies=False),
        "information": i.Information(max_units=4.0, settles=True, peer_intake=100.0), "tick": 0.002}
    return i.Settings(**{**base, **changes})


def fleet(count: int = 4) -> tuple[i.Backend, ...]:
    """Warm backends, alternating between the zones."""
    return tuple(i.Backend(n, "ab"[n % 2], cell=n % 2) for n in range(1, count + 1))


def started(config: i.Settings | None = None, now: float = 0.0, seed: int = 1) -> Gateway:
    """A gateway that holds a list."""
    gateway = Gateway(config or settings(), seed)
    gateway.handle(now, i.Membership(i.ListKind.CACHED, fleet()))
    return gateway


def request(name: str, units: float = 1.0, **changes: Any) -> i.Request:
    """A try of one customer that may come through all three gateways."""
    base: dict[str, Any] = {"class_name": "read", "plan": "plain", "customer": "c", "remaining": 4.0,
                            "units": units, "spread": 3, "first": 0}
    return i.Request(name, **{**base, **changes})


def sends(actions: list[i.Action]) -> list[i.Send]:
    """The attempts among some actions."""
    return [a for a in actions if isinstance(a, i.Send)]


def ended(name: str, send: i.Send, status: i.Status, attempt: int = 0, **more: Any) -> i.AttemptEnded:
    """The outcome of an attempt."""
    return i.AttemptEnded(name, attempt, send.backend, status, 0.1, closed=status is i.Status.OK, **more)


def only_store(gateway: Gateway) -> Any:
    """The store of the one customer seen."""
    (store,) = gateway.stores.values()
    return store
