"""Small settings and a driver for one gateway, with none of its own logic."""

from __future__ import annotations

from typing import Any

from thymeflow.decision.actions import Action, StartAttempt
from thymeflow.decision.events import AttemptEnded, EndpointsChanged, RequestReceived
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import (
    GatewaySettings,
    Idempotency,
    IdempotencyScope,
    Information,
    Limits,
    Plan,
    RequestClass,
    Rules,
)
from thymeflow.decision.types import Backend, EndpointListKind, Status
from thymeflow.quota.token_bucket import TokenBucket

SAFE = RequestClass("read", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.IDEMPOTENT)
KEYED = RequestClass(
    "book",
    latency_objective=1.0,
    deadline=4.0,
    idempotency=Idempotency.WITH_KEY,
    idempotency_scope=IdempotencyScope.ZONE,
    idempotency_window=0.4,
)
UNSAFE = RequestClass("sign", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.NOT_IDEMPOTENT)
PLAN = Plan("plain", rate=10.0, burst=30.0)
CAPPED = Plan("capped", rate=50.0, burst=90.0, ceiling_rate=15.0, ceiling_burst=30.0, ceiling_slack=3.0)
RULES = Rules(
    drain_grace=0.5,
    overload_multiple=2.0,
    overload_seconds=1.5,
    slow_start_fraction=0.2,
    slow_start_seconds=10.0,
    response_grace=0.01,
)


def settings(**changes: Any) -> GatewaySettings:
    """Three gateways, two zones; whatever a test needs is changed."""
    base: dict[str, Any] = {
        "index": 0,
        "limiter_count": 3,
        "zone": "a",
        "zones": ("a", "b"),
        "classes": (SAFE, KEYED, UNSAFE),
        "plans": (PLAN, CAPPED),
        "rules": RULES,
        "limits": Limits(cancel=True, max_attempts=3, hedged_requests=False),
        "information": Information(max_units=4.0, settles_units=True, max_gossip_per_second=100.0),
        "timer_resolution": 0.002,
    }
    return GatewaySettings(**{**base, **changes})


def fleet(count: int = 4) -> tuple[Backend, ...]:
    """Warm backends, alternating between the zones."""
    return tuple(Backend(n, "ab"[n % 2], cell=n % 2) for n in range(1, count + 1))


def started(config: GatewaySettings | None = None, now: float = 0.0, seed: int = 1) -> Gateway:
    """Return a gateway that has an endpoint list."""
    gateway = Gateway(config or settings(), seed)
    gateway.handle(now, EndpointsChanged(EndpointListKind.CACHED, fleet()))
    return gateway


def request(name: str, units: float = 1.0, **changes: Any) -> RequestReceived:
    """Return a request of one customer, which may come through all three gateways."""
    base: dict[str, Any] = {
        "class_name": "read",
        "plan": "plain",
        "customer": "c",
        "remaining": 4.0,
        "units": units,
        "set_size": 3,
        "first_limiter": 0,
    }
    return RequestReceived(name, **{**base, **changes})


def sends(actions: list[Action]) -> list[StartAttempt]:
    """Return the attempts among some actions."""
    return [a for a in actions if isinstance(a, StartAttempt)]


def ended(name: str, send: StartAttempt, status: Status, attempt: int = 0, **more: Any) -> AttemptEnded:
    """Return the result of an attempt."""
    return AttemptEnded(name, attempt, send.backend, status, 0.1, request_answered=status is Status.OK, **more)


def only_store(gateway: Gateway) -> TokenBucket:
    """Return the bucket of the only customer."""
    (store,) = gateway.buckets.values()
    return store
