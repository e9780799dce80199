"""Selection of backends by slow start, health and half-open probes."""

from __future__ import annotations

import random

import pytest

from tests.helpers import RULES, SAFE, ended, request, sends, settings, started
from thymeflow.decision.events import (
    EndpointsChanged,
)
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.types import Backend, EndpointListKind, Status
from thymeflow.health.backend_stats import FailureStreak


@pytest.mark.parametrize("count", [1, 3, 100])
def test_new_backend_gets_no_more_than_its_load_limit_when_it_warms_up(count: int) -> None:
    """A backend fails if it gets too many requests while it warms up.

    All gateways together may send it at most `overload_multiple` times its present capacity in any window of
    `overload_seconds`.
    """
    gateways = [started(settings(index=n, limiter_count=count), seed=n) for n in range(count)]
    for gateway in gateways:
        gateway.handle(100.0, EndpointsChanged(EndpointListKind.DELTA, (Backend(9, "a", started=100.0),)))
    received_at = []
    total = 0
    rng = random.Random(count)
    for n in range(3000):
        now = 100.0 + n * 0.004
        gateway = rng.choice(gateways)
        for send in sends(gateway.handle(now, request(f"r{n}", customer=f"c{n}"))):
            total += 1
            received_at += [now] if send.backend == 9 else []
            gateway.handle(now, ended(f"r{n}", send, Status.OK, actual_units=1.0))
    assert total > 2500
    requests_per_backend_second = total / 12.0 / 5.0
    for start in received_at:
        attempts_in_window = [t for t in received_at if start <= t < start + RULES.overload_seconds]
        capacity_fraction = RULES.slow_start_fraction + (1 - RULES.slow_start_fraction) * min(
            1.0, (start - 100.0) / RULES.slow_start_seconds
        )
        if start + RULES.overload_seconds < 100.0 + RULES.slow_start_seconds:
            assert (
                len(attempts_in_window)
                <= RULES.overload_multiple * capacity_fraction * requests_per_backend_second * RULES.overload_seconds
                + 1
            )
    assert received_at


def test_new_backend_gets_no_burst_when_hundreds_of_gateways_were_idle() -> None:
    """A new backend once got 4 times the load that it could handle.

    Each of hundreds of gateways had saved up a slow-start budget for it while idle, and all spent their budgets at
    the same time.
    """
    gateways = [started(settings(index=n, limiter_count=200), seed=n) for n in range(200)]
    for gateway in gateways:  # A backend restarts, and the next 4 s bring no request.
        gateway.handle(100.0, EndpointsChanged(EndpointListKind.DELTA, (Backend(9, "a", started=100.0),)))
    backend_ids = [s.backend for n, g in enumerate(gateways) for s in sends(g.handle(104.0, request(f"r{n}")))]
    assert backend_ids.count(9) < len(backend_ids) / 5.0


def test_load_is_spread_when_gateways_have_few_requests_in_flight() -> None:
    """Without attempts in flight, the expected waits of all backends are equal.

    The gateways must not all select the same backend, the one with the highest weight.
    """
    endpoints = tuple(Backend(n, "a", weight=1.0 + n / 100.0) for n in range(1, 21))
    backend_ids: list[int] = []
    for n in range(300):
        gateway = Gateway(settings(index=n, limiter_count=300), n)
        gateway.handle(0.0, EndpointsChanged(EndpointListKind.CACHED, endpoints))
        backend_ids += [s.backend for s in sends(gateway.handle(50.0, request(f"r{n}")))]
    assert len(backend_ids) == 300
    assert max(backend_ids.count(n) for n in range(1, 21)) < 3 * 300 / 20


def test_one_failure_ejects_a_backend_when_it_is_rarely_used() -> None:
    gateway = started()
    send = sends(gateway.handle(100.0, request("r1")))[0]
    gateway.handle(100.5, ended("r1", send, Status.CONNECT_FAILED))
    assert not gateway.backends[send.backend].is_healthy("read", 101.0)


def test_backend_warms_up_without_failures_when_the_list_shows_a_restart() -> None:
    gateway = started()
    gateway.backends[1].failures[""] = FailureStreak(5, 200.0)
    gateway.handle(100.0, EndpointsChanged(EndpointListKind.FULL, (Backend(1, "a", started=99.0),)))
    assert set(gateway.backends) == {1}
    assert gateway.backends[1].is_healthy("read", 100.0)
    sent = [bool(sends(gateway.handle(100.0, request(f"r{n}", customer=f"c{n}")))) for n in range(100)]
    assert sum(sent) < 40  # The only backend is in slow start, so most requests are rejected.


def is_never_selected(gateway: Gateway, backend_id: int, class_name: str, now: float) -> bool:
    """Return whether some of 60 simultaneous requests of a class are sent, but none to the backend."""
    backend_ids = [
        s.backend
        for n in range(60)
        for s in sends(
            gateway.handle(now, request(f"q{class_name}{n}", class_name=class_name, customer=f"{class_name}{n}"))
        )
    ]
    return bool(backend_ids) and backend_id not in backend_ids


def run_requests(
    gateway: Gateway, failing_backend_id: int, status: Status, failing_class_name: str, start: float
) -> None:
    """Run 120 requests that succeed, but those of the failing class end with `status` at the failing backend."""
    for n in range(120):
        now = start + n * 0.05
        name = f"p{n}"
        class_name = ("read", "book")[n % 2]
        attempts = sends(gateway.handle(now, request(name, class_name=class_name, customer=f"p{n}")))
        for attempt in range(3):
            if attempts:
                has_failure = attempts[0].backend == failing_backend_id and class_name == failing_class_name
                attempts = sends(
                    gateway.handle(now + 0.02, ended(name, attempts[0], status if has_failure else Status.OK, attempt))
                )


@pytest.mark.parametrize("status", [Status.ERROR, Status.TIMEOUT])
def test_requests_of_a_class_go_to_other_backends_when_the_class_fails_at_one(status: Status) -> None:
    gateway = started(settings(limiter_count=1))
    run_requests(gateway, 1, status, "book", 100.0)
    assert is_never_selected(gateway, 1, "book", 106.05)
    assert not is_never_selected(gateway, 1, "read", 106.05)  # The class without failures still uses the backend.


def test_backend_is_not_ejected_when_it_responds_to_other_requests() -> None:
    gateway = started()
    for n in range(5):
        gateway.registry.pressure = 0.0
        send = sends(gateway.handle(100.0 + n, request(f"r{n}", customer=f"c{n}")))[0]
        gateway.backends[send.backend].last_response_at.update({"": 100.5 + n, "read": 100.5 + n})
        gateway.handle(100.9 + n, ended(f"r{n}", send, Status.TIMEOUT))
    assert all(not s.count_consecutive_failures("read") for s in gateway.backends.values())


def test_one_short_probe_is_sent_when_an_ejection_has_ended() -> None:
    gateway = started()
    gateway.registry.backends = {1: gateway.backends[1], **gateway.backends}
    gateway.backends[1].failures[""] = FailureStreak(2, 99.0)  # The ejection ended at 99 s.
    sent_attempts = [s for n in range(40) for s in sends(gateway.handle(100.0, request(f"r{n}", customer=f"c{n}")))]
    assert [s.timeout < SAFE.latency_objective for s in sent_attempts if s.backend == 1 and s.timeout] == [True]
    assert sum(s.backend == 1 for s in sent_attempts) == 1
