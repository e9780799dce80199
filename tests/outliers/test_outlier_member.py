"""A member's side of outlier detection: the backends that its gateway selects, and the message forms.

The tests guard against a member that sends more than one request to an ejected backend for each permit, and against
ejections that apply after they have expired.
"""

from __future__ import annotations

from dataclasses import replace
from math import inf

import pytest

from tests.fleet_bounds import member_bounds
from tests.helpers import ended, request, sends, settings, started
from thymeflow.decision.types import Status
from thymeflow.health.backend_stats import FailureStreak
from thymeflow.outliers.coordinator import (
    EJECTION_LEASE_SECONDS,
)
from thymeflow.outliers.ejection import (
    ZONE,
    Ejection,
    EjectionKey,
)
from thymeflow.outliers.member import MemberEjections
from thymeflow.outliers.messages import (
    ejection_to_row,
    ejections_from_message,
    keys_from_message,
    probes_from_message,
)


def test_member_sends_one_probe_and_forgets_failures_when_a_zone_is_ejected_and_recovers() -> None:
    gateway = started(settings(zones=("a", "b")))
    member = MemberEjections(gateway)
    gateway.set_fleet_bounds(member_bounds(member))
    failed_zone = [n for n, backend in gateway.backends.items() if backend.endpoint.zone == "a"]
    gateway.backends[failed_zone[0]].failures[""] = FailureStreak(2, 1e9)

    def selected(now: float) -> list[int]:
        backends = list[int]()
        for n in range(60):
            for send in sends(gateway.handle(now, request(f"{now}-{n}", 0.01, customer=f"{n}"))):
                backends.append(send.backend)
                gateway.handle(now, ended(send.id, send, Status.OK, actual_units=0.01))
        return backends

    ejected = Ejection(EjectionKey(ZONE, "a"), 1, 0, False, False, 100.0 + EJECTION_LEASE_SECONDS)
    member.on_ejections([ejected], 0.0, 100.0)
    assert not set(selected(0.1)) & set(failed_zone)
    member.on_ejections([replace(ejected, probe_permit=5)], 0.2, 100.2)
    assert sum(number in failed_zone for number in selected(0.3)) == 1, "a permit for a zone allows one request"
    member.on_ejections([replace(ejected, is_admitted=True)], 0.4, 100.4)
    assert "" not in gateway.backends[failed_zone[0]].failures
    assert set(selected(0.5)) >= set(failed_zone)


def test_member_sends_one_probe_until_the_ejection_expires_when_a_backend_is_ejected() -> None:
    gateway = started(settings(), now=100.0)
    member = MemberEjections(gateway)
    backend = gateway.backends[2]
    # The fraction is so large that concurrency is not limited.
    gateway.set_fleet_bounds(member_bounds(member, fraction=1e6))

    def selected(now: float, count: int = 40) -> int:
        selected_count = 0
        for n in range(count):
            (send,) = sends(gateway.handle(now, request(f"{now}.{n}", 0.01)))
            selected_count += send.backend == 2
        return selected_count

    ejected = Ejection(EjectionKey(2, ""), 1, 0, False, False, inf)
    admitted = replace(ejected, is_admitted=True)

    def receive(now: float, ejection: Ejection) -> None:
        leased = replace(ejection, ends_at=now + EJECTION_LEASE_SECONDS)
        member.on_ejections(ejections_from_message([ejection_to_row(leased)]), now, now)

    receive(100.0, ejected)
    assert selected(100.1) == 0
    receive(100.5, replace(ejected, probe_permit=5))
    assert selected(100.6) == 1
    assert member.report(100.7)["trials"] == {}
    backend.in_flight = 0
    backend.failures[""] = FailureStreak(3, 108.0)
    report = member.report(100.7)
    assert report["trials"] == {"5": False}
    assert isinstance(report["against"], list)
    assert [2, ""] in report["against"]
    receive(101.0, replace(ejected, probe_permit=5))
    assert selected(101.1) == 0  # the member has used this permit already
    receive(101.5, replace(ejected, probe_permit=6))
    assert selected(101.6) == 1  # the new permit overrides the member's own ejection
    receive(102.0, admitted)
    assert selected(102.1) > 0
    backend.failures[""] = FailureStreak(3, 110.0)
    receive(102.5, ejected)
    assert selected(102.5 + EJECTION_LEASE_SECONDS + 0.1) == 0
    assert backend.failures
    receive(106.0, replace(admitted, is_recovered=True))
    assert not backend.failures
    assert selected(106.1) > 0
    member.on_ejections([], 107.0, 107.0)
    assert selected(107.1) > 0


@pytest.mark.parametrize("rows", [1, [[1]], [["a", ""]], [[1, 2]], [[True, ""]], [[1, ""]] * 600])
def test_rows_are_rejected_when_they_are_malformed(rows: object) -> None:
    with pytest.raises(ValueError):
        keys_from_message(rows)
    with pytest.raises(ValueError):
        ejections_from_message(rows)
    with pytest.raises(ValueError):
        probes_from_message(rows)
    with pytest.raises(ValueError):
        ejections_from_message([[1, "", 1, 1, True, False, float("nan")]])
