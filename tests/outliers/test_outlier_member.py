"""A member's side of outlier detection: which backends its gateway selects, and the message forms."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.helpers import ended, request, sends, settings, started
from thymeflow.decision.types import Status
from thymeflow.outliers.coordinator import (
    EJECTION_LEASE_SECONDS,
)
from thymeflow.outliers.ejection import (
    ZONE,
    Ejection,
    EjectionKey,
)
from thymeflow.outliers.member import (
    MemberEjections,
    ejections_from_message,
    keys_from_message,
    message_of,
    probes_from_message,
)


def test_member_sends_one_probe_and_forgets_failures_when_a_zone_is_ejected_and_recovers() -> None:
    gateway = started(settings(zones=("a", "b")))
    verdicts = MemberEjections(gateway)
    lost = [n for n, server in gateway.backends.items() if server.endpoint.zone == "a"]
    gateway.backends[lost[0]].failures[""] = (2, 1e9)

    def chosen(now: float) -> list[int]:
        found = list[int]()
        for n in range(60):
            for send in sends(gateway.handle(now, request(f"{now}-{n}", 0.01, customer=f"{n}"))):
                found.append(send.backend)
                gateway.handle(now, ended(send.id, send, Status.OK, actual_units=0.01))
        return found

    told = Ejection(EjectionKey(ZONE, "a"), 1, 0, False, False, 100.0 + EJECTION_LEASE_SECONDS)
    verdicts.on_ejections([told], 0.0, 100.0)
    assert not set(chosen(0.1)) & set(lost)
    verdicts.on_ejections([replace(told, claim=5)], 0.2, 100.2)
    assert sum(number in lost for number in chosen(0.3)) == 1, "a zone's claim is one request"
    verdicts.on_ejections([replace(told, allowed=True)], 0.4, 100.4)
    assert "" not in gateway.backends[lost[0]].failures
    assert set(chosen(0.5)) >= set(lost)


def test_member_sends_one_probe_until_the_ejection_expires_when_a_backend_is_ejected() -> None:
    gateway = started(settings(), now=100.0)
    gateway.fraction_of = lambda kind: 1e6  # places are not the matter here
    verdicts, server = MemberEjections(gateway), gateway.backends[2]

    def chosen(now: float, count: int = 40) -> int:
        found = 0
        for n in range(count):
            (send,) = sends(gateway.handle(now, request(f"{now}.{n}", 0.01)))
            found += send.backend == 2
        return found

    def told(now: float, **changes: object) -> None:
        made = Ejection(
            **{
                "key": EjectionKey(2, ""),
                "number": 1,
                "claim": 0,
                "allowed": False,
                "cleared": False,  # type: ignore[arg-type]
                "end": now + EJECTION_LEASE_SECONDS,
                **changes,
            }
        )
        verdicts.on_ejections(ejections_from_message([message_of(made)]), now, now)

    told(100.0)
    assert chosen(100.1) == 0
    told(100.5, claim=5)
    assert chosen(100.6) == 1 and verdicts.report(100.7)["trials"] == {}  # it is out
    server.in_flight = 0
    server.failures[""] = (3, 108.0)
    report = verdicts.report(100.7)
    assert report["trials"] == {"5": False}
    assert isinstance(report["against"], list) and [2, ""] in report["against"]
    told(101.0, claim=5)
    assert chosen(101.1) == 0  # said again, it is the same claim
    told(101.5, claim=6)
    assert chosen(101.6) == 1  # though our own ejection lasts
    told(102.0, allowed=True)
    assert chosen(102.1) > 0
    server.failures[""] = (3, 110.0)
    told(102.5)
    assert chosen(102.5 + EJECTION_LEASE_SECONDS + 0.1) == 0 and server.failures  # ours lasts on its own
    told(106.0, allowed=True, cleared=True)
    assert not server.failures and chosen(106.1) > 0
    verdicts.on_ejections([], 107.0, 107.0)
    assert chosen(107.1) > 0


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
