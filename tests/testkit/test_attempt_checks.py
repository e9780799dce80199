"""Checks of attempts in the test environment: violations of the protocol are described, legal retries are not."""

from __future__ import annotations

import pytest
from twisted.internet.testing import MemoryReactorClock

from thymeflow.runtime import clock
from thymeflow.testkit.fakes import Environment
from thymeflow.testkit.fakes.site import KEYED_CLASS, RETRY_WINDOW_SECONDS

REQUEST_ID = "r"


class VirtualEnvironment:
    """Two backends on a virtual clock, which receive attempts of one request with an idempotency key."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._reactor = MemoryReactorClock()  # type: ignore[no-untyped-call]
        monkeypatch.setattr(clock, "now", lambda: 1e9 + self._reactor.seconds())
        self.environment = Environment(self._reactor, 3, backend_count=2)

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self._reactor.advance(seconds)

    def receive_attempt(self, backend: int, work_seconds: float = 0.01, *, is_reset: bool = False) -> None:
        """Have a backend receive an attempt and work for about so long; `is_reset`: its connection ends at once."""
        fake = self.environment.backends[backend]
        fake.behavior.mean_work_seconds = work_seconds
        request = fake.on_request("c", REQUEST_ID, {"c": KEYED_CLASS}, True, lambda _: None)
        assert request is not None
        if is_reset:
            request.ended_at = clock.now()


@pytest.fixture
def virtual(monkeypatch: pytest.MonkeyPatch) -> VirtualEnvironment:
    return VirtualEnvironment(monkeypatch)


def test_retry_in_its_window_is_legal_and_one_effect_when_the_first_attempt_was_reset(
    virtual: VirtualEnvironment,
) -> None:
    virtual.receive_attempt(0, is_reset=True)
    virtual.advance(1.0)
    virtual.receive_attempt(1)
    virtual.advance(1.0)
    assert virtual.environment.attempt_violations() == []
    assert virtual.environment.idempotency.effect_counts == {REQUEST_ID: 1}


def test_two_attempts_are_a_violation_when_both_are_in_flight(virtual: VirtualEnvironment) -> None:
    virtual.receive_attempt(0, work_seconds=1e6)
    virtual.advance(0.2)
    virtual.receive_attempt(1)
    assert virtual.environment.attempt_violations() == ["r: out at s0 and s1 at once"]


def test_retry_is_a_violation_with_its_second_effect_when_its_window_is_past(virtual: VirtualEnvironment) -> None:
    virtual.receive_attempt(0)
    virtual.advance(RETRY_WINDOW_SECONDS + 1.0)
    virtual.receive_attempt(1)
    virtual.advance(RETRY_WINDOW_SECONDS + 1.0)
    violations = virtual.environment.attempt_violations()
    assert "r: 2 effects" in violations
    assert any("repeated 3.00 s" in violation for violation in violations)
