"""The outlier coordinator: ejections, half-open probes, recovery and zones."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thymeflow.outliers.coordinator import (
    AFTER_RECOVERY_SECONDS,
    RECOVERY_STEP_SECONDS,
    SETTLING_SECONDS,
    OutlierCoordinator,
)
from thymeflow.outliers.ejection import (
    TRANSITIONS,
    ZONE,
    EjectionEvent,
    EjectionKey,
    EjectionRecord,
    EjectionState,
)
from thymeflow.outliers.member import (
    keys_from_message,
    zones_from_message,
)
from thymeflow.outliers.quorum import REPORT_TTL_SECONDS

BAD = EjectionKey(7, "")


def coordinator_with_votes(against: int, good: int = 0, servers: int = 6) -> OutlierCoordinator:
    """One that so many members told of a server, for and against."""
    coordinator = OutlierCoordinator(1.0)
    coordinator.backend_count = servers
    for n in range(against + good):
        coordinator.on_report(f"n{n}", {BAD} if n < against else set(), set() if n < against else {BAD}, {}, 0.0)
    return coordinator


def test_every_move_that_is_not_in_the_table_raises() -> None:
    for state in EjectionState:
        for move in EjectionEvent:
            coordinator = OutlierCoordinator(1.0)
            coordinator.ejections[BAD] = case = EjectionRecord(1, 0.0, state)
            if (state, move) not in TRANSITIONS:
                with pytest.raises(KeyError):
                    coordinator._move(BAD, case, move, 0.0)
            else:
                coordinator._move(BAD, case, move, 0.0)
                assert TRANSITIONS[state, move] is (case.state if BAD in coordinator.ejections else None)


@pytest.mark.parametrize(
    ("against", "good", "condemned"),
    [(1, 0, False), (1, 11, False), (2, 10, False), (2, 0, True), (2, 1, True), (6, 6, False), (7, 5, True)],
)
def test_backend_is_ejected_only_when_a_majority_of_at_least_two_members_ejects_it(
    against: int, good: int, condemned: bool
) -> None:
    assert bool(coordinator_with_votes(against, good).tick(0.1)) is condemned


def test_reports_expire_and_at_most_half_of_the_backends_are_ejected_when_all_fail() -> None:
    assert not coordinator_with_votes(3).tick(REPORT_TTL_SECONDS + 0.1)  # whoever was stopped since says nothing
    coordinator = OutlierCoordinator(1.0)
    coordinator.backend_count = 6
    for name in ("n0", "n1"):
        coordinator.on_report(name, {EjectionKey(n, part) for n in range(6) for part in ("", "a")}, set(), {}, 0.0)
    coordinator.tick(0.1)
    assert len({number for number, _ in coordinator.ejections}) == 3


def test_one_member_probes_at_a_time_and_members_return_in_steps_when_a_probe_succeeds() -> None:
    coordinator = coordinator_with_votes(3, 2)
    now, holders = 0.1, list[str]()
    for _ in range(5):
        for n in range(5):
            coordinator.on_report(f"n{n}", {BAD}, set(), {}, now)
        coordinator.tick(now)
        claims = [(n, v) for n in range(5) for v in coordinator.ejections_for(f"n{n}", now) if v.probe_permit]
        assert len(claims) == 1 and not claims[0][1].is_admitted
        holders.append(f"n{claims[0][0]}")
        now += 1.0
    assert sorted(holders) == [f"n{n}" for n in range(5)]
    case = coordinator.ejections[BAD]
    coordinator.on_report(case.probing_member, set(), {BAD}, {case.permit: True}, now)
    let_in = list[int]()
    while coordinator.ejections and now < 60.0:
        for n in range(5):
            coordinator.on_report(f"n{n}", set(), set(), {}, now)
        let_in.append(sum(v.is_admitted for n in range(5) for v in coordinator.ejections_for(f"n{n}", now)))
        coordinator.tick(now)
        now += RECOVERY_STEP_SECONDS
    assert let_in[0] == 1 and let_in[1:3] == [1, 2] and max(let_in) == 5 and not coordinator.ejections
    assert let_in == sorted(let_in) and now < 5.0 + 4 * RECOVERY_STEP_SECONDS + AFTER_RECOVERY_SECONDS + 2.0


def test_backend_is_ejected_anew_when_it_fails_in_recovery_and_permit_moves_when_its_holder_ends() -> None:
    coordinator = coordinator_with_votes(3)
    coordinator.tick(0.1)
    case = coordinator.ejections[BAD]
    first = case.probing_member
    coordinator.on_member_gone(first)
    coordinator.tick(0.2)
    assert case.probing_member not in ("", first)
    coordinator.on_report(case.probing_member, set(), {BAD}, {case.permit: True}, 0.3)
    assert coordinator.ejections[BAD].state is EjectionState.RECOVERING
    coordinator.on_report(case.probing_member, {BAD}, set(), {}, 0.4)  # an ejection of before
    assert coordinator.ejections[BAD].state is EjectionState.RECOVERING
    coordinator.on_report(case.probing_member, {BAD}, set(), {}, 0.4 + SETTLING_SECONDS)
    assert coordinator.ejections[BAD].state is EjectionState.EJECTED
    assert not any(v.probe_permit for n in range(3) for v in coordinator.ejections_for(f"n{n}", 0.4 + SETTLING_SECONDS))
    coordinator.on_report(
        "n9", set(), set(), {case.permit: True, 0: True, 99: True}, 0.5
    )  # trials that nobody gave out
    assert coordinator.ejections[BAD].state is EjectionState.EJECTED


@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.sets(st.builds(EjectionKey, st.integers(0, 5), st.sampled_from(["", "a"]))),
            st.sets(st.builds(EjectionKey, st.integers(0, 5), st.sampled_from(["", "a"]))),
            st.booleans(),
            st.floats(0.0, 1.5),
        ),
        max_size=40,
    )
)
def test_one_permit_at_a_time_and_half_of_the_backends_stay_whatever_is_reported(
    words: list[tuple[int, set[EjectionKey], set[EjectionKey], bool, float]],
) -> None:
    coordinator, now, seen = OutlierCoordinator(1.0), 0.0, dict[EjectionKey, list[float]]()
    coordinator.backend_count = 6
    for member, against, good, outcome, later in words:
        trials = {
            c.permit: outcome for c in coordinator.ejections.values() if c.probing_member == f"n{member}" and c.permit
        }
        coordinator.on_report(f"n{member}", against, good, trials, now)
        coordinator.tick(now)
        assert len({number for number, _ in coordinator.ejections}) <= 3
        for key in coordinator.ejections:
            claims = {
                v.probe_permit
                for n in range(4)
                for v in coordinator.ejections_for(f"n{n}", now)
                if v.key == key and v.probe_permit
            }
            assert len(claims) <= 1
            if claims - set(seen.get(key, [])):
                seen.setdefault(key, []).extend(claims)
        now += later
    assert all(len(claims) <= now + 2.0 + sum(o for *_, o, _ in words) for claims in seen.values())


ZONES = {"a": frozenset({1, 2, 3, 4}), "b": frozenset({5, 6, 7, 8})}


def coordinator_with_zones(members: int, against: set[int], good: set[int]) -> OutlierCoordinator:
    """One to which each of some members told of other servers against which it speaks, two of them of each."""
    coordinator = OutlierCoordinator(1.0)
    for n in range(members):
        coordinator.on_endpoint_list(f"n{n}", 8, ZONES)
        own = {number for place, number in enumerate(sorted(against)) if n in (place % members, (place + 1) % members)}
        coordinator.on_report(
            f"n{n}", {EjectionKey(number, "") for number in own}, {EjectionKey(number, "") for number in good}, {}, 0.0
        )
    return coordinator


@pytest.mark.parametrize(
    ("against", "good", "opened"),
    [
        ({1, 2}, {5, 6}, [(ZONE, "a")]),
        ({1, 2, 3, 4}, set(), [(ZONE, "a")]),
        ({1}, {5}, [(1, "")]),
        ({1, 5}, {2, 6}, [(1, ""), (5, "")]),
        ({1, 2, 5, 6}, {3, 4}, [(ZONE, "a")]),
    ],
)
def test_zone_is_ejected_as_one_but_never_all_zones_when_half_of_its_backends_fail(
    against: set[int], good: set[int], opened: list[tuple[int, str]]
) -> None:
    coordinator = coordinator_with_zones(4, against, good)
    assert coordinator.tick(0.1) == opened and list(coordinator.ejections) == opened


def test_zone_recovers_as_one_when_a_probe_succeeds_though_one_backend_still_fails() -> None:
    coordinator = coordinator_with_zones(4, {1, 2}, set())
    coordinator.tick(0.1)
    case = coordinator.ejections[EjectionKey(ZONE, "a")]
    holder, claim = case.probing_member, case.permit
    assert claim and sum(bool(v.probe_permit) for n in range(4) for v in coordinator.ejections_for(f"n{n}", 0.1)) == 1
    now = 0.5
    coordinator.on_report(holder, set(), {EjectionKey(3, "")}, {claim: True}, now)
    assert case.state is EjectionState.RECOVERING
    while coordinator.ejections:
        now += RECOVERY_STEP_SECONDS
        for n in range(4):
            coordinator.on_report(f"n{n}", {EjectionKey(1, "")} if n == 0 else set(), {EjectionKey(3, "")}, {}, now)
        coordinator.tick(now)
        assert now < 10.0
    for n in range(4):  # half of it again, on the way back, is another matter
        coordinator.on_report(
            f"n{n}", {EjectionKey(1, ""), EjectionKey(2, "")}, set(), {}, now + AFTER_RECOVERY_SECONDS
        )
    assert coordinator.tick(now + AFTER_RECOVERY_SECONDS + 0.1) == [(ZONE, "a")]


def test_zones_are_those_of_most_members_when_endpoint_lists_differ() -> None:
    coordinator = coordinator_with_zones(4, {1, 2}, set())
    coordinator.on_endpoint_list("n9", 2, {"a": frozenset({1, 2, 5, 6, 7, 8})})
    assert coordinator.backend_count == 8 and coordinator.zones == ZONES
    with pytest.raises(ValueError):
        zones_from_message({"a": [1, "2"]})
    with pytest.raises(ValueError):
        keys_from_message([[ZONE, "a"]])
