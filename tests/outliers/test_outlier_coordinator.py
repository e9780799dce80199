"""The outlier coordinator: ejections, half-open probes, recovery and zones.

The tests guard against ejections by too few members, ejections of more than half of the backends, more than one probe
at a time, and recoveries that never end or that send all members' requests at once.
"""

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
from thymeflow.outliers.messages import keys_from_message, zones_from_message
from thymeflow.outliers.quorum import REPORT_TTL_SECONDS

FAILED_KEY = EjectionKey(7, "")


def build_coordinator_with_votes(ejecting: int, responding: int = 0, backends: int = 6) -> OutlierCoordinator:
    """Return a coordinator to which the given numbers of members reported a backend as ejected and as responding."""
    coordinator = OutlierCoordinator(1.0)
    coordinator.backend_count = backends
    for n in range(ejecting + responding):
        is_ejecting = n < ejecting
        coordinator.on_report(
            f"n{n}", {FAILED_KEY} if is_ejecting else set(), set() if is_ejecting else {FAILED_KEY}, {}, 0.0
        )
    return coordinator


def test_event_raises_key_error_when_the_transition_table_has_no_entry_for_it() -> None:
    for state in EjectionState:
        for event in EjectionEvent:
            coordinator = OutlierCoordinator(1.0)
            record = EjectionRecord(1, 0.0, state)
            coordinator.ejections[FAILED_KEY] = record
            if (state, event) not in TRANSITIONS:
                with pytest.raises(KeyError):
                    coordinator._apply_event(FAILED_KEY, record, event, 0.0)
            else:
                coordinator._apply_event(FAILED_KEY, record, event, 0.0)
                assert TRANSITIONS[state, event] is (record.state if FAILED_KEY in coordinator.ejections else None)


@pytest.mark.parametrize(
    ("ejecting", "responding", "is_ejected"),
    [(1, 0, False), (1, 11, False), (2, 10, False), (2, 0, True), (2, 1, True), (6, 6, False), (7, 5, True)],
)
def test_backend_is_ejected_only_when_a_majority_of_at_least_two_members_ejects_it(
    ejecting: int, responding: int, is_ejected: bool
) -> None:
    assert bool(build_coordinator_with_votes(ejecting, responding).tick(0.1)) is is_ejected


def test_reports_expire_and_at_most_half_of_the_backends_are_ejected_when_all_fail() -> None:
    assert not build_coordinator_with_votes(3).tick(REPORT_TTL_SECONDS + 0.1)  # the reports have expired by then
    coordinator = OutlierCoordinator(1.0)
    coordinator.backend_count = 6
    for name in ("n0", "n1"):
        coordinator.on_report(name, {EjectionKey(n, name) for n in range(6) for name in ("", "a")}, set(), {}, 0.0)
    coordinator.tick(0.1)
    assert len({number for number, _ in coordinator.ejections}) == 3


def test_one_member_probes_at_a_time_and_members_are_admitted_in_steps_when_a_probe_succeeds() -> None:
    coordinator = build_coordinator_with_votes(3, 2)
    now = 0.1
    probing_members = list[str]()
    for _ in range(5):
        for n in range(5):
            coordinator.on_report(f"n{n}", {FAILED_KEY}, set(), {}, now)
        coordinator.tick(now)
        permits = [
            (n, ejection)
            for n in range(5)
            for ejection in coordinator.build_ejections(f"n{n}", now)
            if ejection.probe_permit
        ]
        assert len(permits) == 1
        assert not permits[0][1].is_admitted
        probing_members.append(f"n{permits[0][0]}")
        now += 1.0
    assert sorted(probing_members) == [f"n{n}" for n in range(5)]
    record = coordinator.ejections[FAILED_KEY]
    coordinator.on_report(record.probing_member, set(), {FAILED_KEY}, {record.permit: True}, now)
    admitted_counts = list[int]()
    while coordinator.ejections and now < 60.0:
        for n in range(5):
            coordinator.on_report(f"n{n}", set(), set(), {}, now)
        admitted_counts.append(
            sum(ejection.is_admitted for n in range(5) for ejection in coordinator.build_ejections(f"n{n}", now))
        )
        coordinator.tick(now)
        now += RECOVERY_STEP_SECONDS
    assert admitted_counts[0] == 1
    assert admitted_counts[1:3] == [1, 2]
    assert max(admitted_counts) == 5
    assert not coordinator.ejections
    assert admitted_counts == sorted(admitted_counts)
    assert now < 5.0 + 4 * RECOVERY_STEP_SECONDS + AFTER_RECOVERY_SECONDS + 2.0


def test_backend_is_ejected_again_when_it_fails_in_recovery_and_permit_moves_when_its_holder_ends() -> None:
    coordinator = build_coordinator_with_votes(3)
    coordinator.tick(0.1)
    record = coordinator.ejections[FAILED_KEY]
    first_prober = record.probing_member
    coordinator.on_member_gone(first_prober)
    coordinator.tick(0.2)
    assert record.probing_member not in ("", first_prober)
    coordinator.on_report(record.probing_member, set(), {FAILED_KEY}, {record.permit: True}, 0.3)
    assert coordinator.ejections[FAILED_KEY].state is EjectionState.RECOVERING
    # This report arrives within SETTLING_SECONDS of the admission, so it does not end the recovery.
    coordinator.on_report(record.probing_member, {FAILED_KEY}, set(), {}, 0.4)
    assert coordinator.ejections[FAILED_KEY].state is EjectionState.RECOVERING
    coordinator.on_report(record.probing_member, {FAILED_KEY}, set(), {}, 0.4 + SETTLING_SECONDS)
    assert coordinator.ejections[FAILED_KEY].state is EjectionState.EJECTED
    assert not any(
        ejection.probe_permit
        for n in range(3)
        for ejection in coordinator.build_ejections(f"n{n}", 0.4 + SETTLING_SECONDS)
    )
    # No permit with these numbers was ever issued to n9.
    coordinator.on_report("n9", set(), set(), {record.permit: True, 0: True, 99: True}, 0.5)
    assert coordinator.ejections[FAILED_KEY].state is EjectionState.EJECTED


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
def test_one_permit_at_a_time_is_issued_and_half_of_the_backends_stay_when_reports_are_arbitrary(
    reports: list[tuple[int, set[EjectionKey], set[EjectionKey], bool, float]],
) -> None:
    coordinator = OutlierCoordinator(1.0)
    now = 0.0
    permits_by_key = dict[EjectionKey, list[float]]()
    coordinator.backend_count = 6
    for member, ejecting, responding, has_succeeded, delay in reports:
        probe_results = {
            record.permit: has_succeeded
            for record in coordinator.ejections.values()
            if record.probing_member == f"n{member}" and record.permit
        }
        coordinator.on_report(f"n{member}", ejecting, responding, probe_results, now)
        coordinator.tick(now)
        assert len({number for number, _ in coordinator.ejections}) <= 3
        for key in coordinator.ejections:
            permits = {
                ejection.probe_permit
                for n in range(4)
                for ejection in coordinator.build_ejections(f"n{n}", now)
                if ejection.key == key and ejection.probe_permit
            }
            assert len(permits) <= 1
            if permits - set(permits_by_key.get(key, [])):
                permits_by_key.setdefault(key, []).extend(permits)
        now += delay
    success_count = sum(has_succeeded for *_, has_succeeded, _ in reports)
    assert all(len(permits) <= now + 2.0 + success_count for permits in permits_by_key.values())


ZONES = {"a": frozenset({1, 2, 3, 4}), "b": frozenset({5, 6, 7, 8})}


def build_coordinator_with_zones(members: int, ejected: set[int], responding: set[int]) -> OutlierCoordinator:
    """Return a coordinator to which two members report each of the ejected backends."""
    coordinator = OutlierCoordinator(1.0)
    for n in range(members):
        coordinator.on_endpoint_list(f"n{n}", 8, ZONES)
        ejecting = {
            EjectionKey(backend, "")
            for index, backend in enumerate(sorted(ejected))
            if n in (index % members, (index + 1) % members)
        }
        coordinator.on_report(f"n{n}", ejecting, {EjectionKey(backend, "") for backend in responding}, {}, 0.0)
    return coordinator


@pytest.mark.parametrize(
    ("ejected", "responding", "expected_keys"),
    [
        ({1, 2}, {5, 6}, [(ZONE, "a")]),
        ({1, 2, 3, 4}, set(), [(ZONE, "a")]),
        ({1}, {5}, [(1, "")]),
        ({1, 5}, {2, 6}, [(1, ""), (5, "")]),
        ({1, 2, 5, 6}, {3, 4}, [(ZONE, "a")]),
    ],
)
def test_zone_is_ejected_but_never_all_zones_when_half_of_its_backends_fail(
    ejected: set[int], responding: set[int], expected_keys: list[tuple[int, str]]
) -> None:
    coordinator = build_coordinator_with_zones(4, ejected, responding)
    assert coordinator.tick(0.1) == expected_keys
    assert list(coordinator.ejections) == expected_keys


def test_zone_recovers_as_a_whole_when_a_probe_succeeds_and_one_backend_still_fails() -> None:
    coordinator = build_coordinator_with_zones(4, {1, 2}, set())
    coordinator.tick(0.1)
    record = coordinator.ejections[EjectionKey(ZONE, "a")]
    member = record.probing_member
    permit = record.permit
    assert permit
    assert (
        sum(bool(ejection.probe_permit) for n in range(4) for ejection in coordinator.build_ejections(f"n{n}", 0.1))
        == 1
    )
    now = 0.5
    coordinator.on_report(member, set(), {EjectionKey(3, "")}, {permit: True}, now)
    assert record.state is EjectionState.RECOVERING
    while coordinator.ejections:
        now += RECOVERY_STEP_SECONDS
        for n in range(4):
            coordinator.on_report(f"n{n}", {EjectionKey(1, "")} if n == 0 else set(), {EjectionKey(3, "")}, {}, now)
        coordinator.tick(now)
        assert now < 10.0
    for n in range(4):  # half of the zone's backends fail again after the recovery
        coordinator.on_report(
            f"n{n}", {EjectionKey(1, ""), EjectionKey(2, "")}, set(), {}, now + AFTER_RECOVERY_SECONDS
        )
    assert coordinator.tick(now + AFTER_RECOVERY_SECONDS + 0.1) == [(ZONE, "a")]


def test_zones_are_those_of_the_majority_when_endpoint_lists_differ() -> None:
    coordinator = build_coordinator_with_zones(4, {1, 2}, set())
    coordinator.on_endpoint_list("n9", 2, {"a": frozenset({1, 2, 5, 6, 7, 8})})
    assert coordinator.backend_count == 8
    assert coordinator.zones == ZONES
    with pytest.raises(ValueError):
        zones_from_message({"a": [1, "2"]})
    with pytest.raises(ValueError):
        keys_from_message([[ZONE, "a"]])
