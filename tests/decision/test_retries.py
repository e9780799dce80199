"""Limits on retries by the retry budget."""

from __future__ import annotations

from typing import Any

from tests.helpers import SAFE, ended, request, sends, settings, started
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.request_state import RequestState
from thymeflow.decision.types import Status


def test_retry_budget_of_a_fleet_is_bounded_when_it_is_large() -> None:
    assert sum(Gateway(settings(index=n, limiter_count=300), n).retries.compute_max_budget() for n in range(300)) < 400


def test_backend_is_still_selected_and_retries_stay_few_when_all_attempts_time_out() -> None:
    gateway = started()
    attempt_count = 0
    for n in range(200):
        now = 100.0 + n * 0.05
        for send in sends(gateway.handle(now, request(f"r{n}", customer=f"c{n}"))):
            attempt_count += 1
            attempt = 0
            attempts = [send]
            while attempts:
                attempts = sends(gateway.handle(now + 0.01, ended(f"r{n}", attempts[0], Status.TIMEOUT, attempt)))
                attempt = attempt + 1
                attempt_count = attempt_count + len(attempts)
    assert attempt_count <= 200 * 1.1 + 12  # The requests plus the retry budget.
    assert gateway.balancer.select_backend(gateway.pending.get("x") or _build_new_request_state(gateway)) is not None


def _build_new_request_state(gateway: Gateway) -> Any:
    return RequestState(request("probe"), SAFE, next(iter(gateway.buckets.values())), 200.0)
