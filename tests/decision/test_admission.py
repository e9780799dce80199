"""Admission by concurrency and backend pressure, and the end of a request at its latency objective."""

from __future__ import annotations

from math import inf, nan

import pytest

from tests.helpers import SAFE, request, sends, started
from thymeflow.decision.actions import (
    CancelAttempt,
    RejectRequest,
    SetTimer,
)
from thymeflow.decision.context import TimerKind
from thymeflow.decision.events import (
    TimerFired,
)
from thymeflow.decision.settings import InvalidSettingError


def test_gateway_admits_again_when_its_pressure_has_decayed() -> None:
    """Pressure is measured from response latencies, so a gateway that rejects all requests gets no new measurement.

    Without a decay of the pressure, such a gateway would never admit a request again.
    """
    gateway = started()
    gateway.registry.pressure = 1.0
    for n in range(300):
        tokens = [t for t, (kind, _) in gateway.timers.items() if kind is TimerKind.TICK]
        gateway.handle(100.0 + n * 0.1, TimerFired(tokens[0]))
    assert any(sends(gateway.handle(131.0, request(f"r{n}", customer=f"c{n}"))) for n in range(3))


def test_request_ends_at_its_latency_objective_when_late_responses_have_no_value() -> None:
    gateway = started()
    actions = gateway.handle(100.0, request("r1", remaining=4.0))
    timer = next(a for a in actions if isinstance(a, SetTimer))
    assert timer.delay <= SAFE.latency_objective
    kinds = [type(a) for a in gateway.handle(100.0 + timer.delay, TimerFired(timer.token))]
    assert kinds == [RejectRequest, CancelAttempt]  # The client is answered at once, and the attempt is cancelled.


def test_more_requests_are_admitted_when_pressure_is_low() -> None:
    def count_admitted(pressure: float) -> int:
        gateway = started()
        gateway.registry.pressure = pressure
        return sum(bool(sends(gateway.handle(100.0, request(f"r{n}", customer=f"c{n}")))) for n in range(60))

    assert count_admitted(0.0) > 1.5 * count_admitted(0.4)


@pytest.mark.parametrize("remaining", [nan, inf])
@pytest.mark.parametrize("class_name", ["read", "unknown"])
def test_invalid_setting_is_reported_when_the_remaining_time_is_not_finite(class_name: str, remaining: float) -> None:
    gateway = started()
    with pytest.raises(InvalidSettingError, match=r"RequestClass\.deadline"):
        gateway.handle(100.0, request("r1", class_name=class_name, remaining=remaining))
