"""Guards against restarts that create units, lose debt or restore state that no longer applies."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import PLAN, fleet, request, sends, settings
from tests.snapshot.support import ADDRESSES, get_only_bucket, make_gateway, restore_new_gateway, spend, take_snapshot
from thymeflow.decision.events import EndpointsChanged, SettingsChanged
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import Information, Plan
from thymeflow.decision.types import Backend, EndpointListKind
from thymeflow.health.backend_stats import FailureStreak
from thymeflow.quota.counter_reporter import CounterCall
from thymeflow.snapshot import restore, schema

RESTORED_FIELDS = (
    "level",
    "set_level",
    "local_rate",
    "remote_rate",
    "requested_units",
    "charged_units",
    "predicted_remote_usage",
    "mean_cost",
    "member_count",
    "members",
)


def test_bucket_is_equal_when_restored_from_its_packed_snapshot() -> None:
    gateway = make_gateway()
    spend(gateway, 10.0, 3.0, 20.0)
    snapshot = take_snapshot(gateway, 13.0)
    assert schema.unpack(schema.pack(snapshot)) == snapshot
    restored = get_only_bucket(restore_new_gateway(snapshot, 13.0))
    original = get_only_bucket(gateway)
    for name in RESTORED_FIELDS:
        assert getattr(restored, name) == pytest.approx(getattr(original, name)), name
    assert restored.counter_ledger == original.counter_ledger
    packed = schema.pack(snapshot)
    restored.counter_ledger.mark_uncertain(5, 3.0)
    assert schema.pack(snapshot) == packed  # Later changes of the restored bucket do not change the snapshot.


@given(st.floats(0.0, 6.0), st.floats(0.5, 60.0), st.floats(0.0, 25.0), st.booleans(), st.integers(1, 4))
def test_no_units_are_created_when_a_limiter_restarts_repeatedly(
    busy_seconds: float, rate: float, pause_seconds: float, final: bool, restart_count: int
) -> None:
    # The limiter is the only member of the customer's set, so it may forward burst + rate x time units in total.
    information = Information(max_units=4.0, settles_units=True)
    gateway = make_gateway(limiter_count=1, information=information)
    started_at = 10.0
    now = started_at
    forwarded_units = 0.0
    for restart in range(restart_count):
        units, now = spend(gateway, now, busy_seconds, rate, f"l{restart}-")
        forwarded_units += units
        snapshot = take_snapshot(gateway, now, final)
        now += pause_seconds
        gateway = restore_new_gateway(snapshot, now, limiter_count=1, information=information)
    units, now = spend(gateway, now, 4.0, 40.0, "last-")
    assert forwarded_units + units <= PLAN.burst + PLAN.rate * (now - started_at) + 1.0


def test_bucket_is_charged_for_possible_spending_when_the_limiter_crashed() -> None:
    gateway = make_gateway()
    now = spend(gateway, 10.0, 1.0, 8.0).ended_at
    crash_snapshot = take_snapshot(gateway, now, final=False)
    after_shutdown = get_only_bucket(restore_new_gateway(take_snapshot(gateway, now), now + 1.5))
    after_crash = get_only_bucket(restore_new_gateway(crash_snapshot, now + 1.5))
    local_rate = get_only_bucket(gateway).local_rate
    assert after_crash.level == pytest.approx(max(after_shutdown.level - local_rate * 1.5, 0.0), abs=1e-6)
    assert after_crash.level < after_shutdown.level
    assert after_crash.ceiling_level <= 0.0


def test_debt_and_smaller_burst_apply_when_restored() -> None:
    gateway = make_gateway()
    spend(gateway, 10.0, 0.5, 4.0)
    bucket = get_only_bucket(gateway)
    bucket.level = -3.0
    restored = get_only_bucket(restore_new_gateway(take_snapshot(gateway, bucket.refreshed_at), bucket.refreshed_at))
    assert restored.level == pytest.approx(-3.0)
    bucket.level = 29.0
    bucket.set_level = 29.0
    snapshot = take_snapshot(gateway, bucket.refreshed_at)
    smaller_plan = (Plan("plain", rate=10.0, burst=6.0),)
    restored = get_only_bucket(restore_new_gateway(snapshot, bucket.refreshed_at, plans=smaller_plan))
    assert restored.level <= 6.0
    assert restored.set_level <= 6.0
    other_plan = (Plan("other", 1.0, 2.0),)
    assert restore_new_gateway(snapshot, bucket.refreshed_at, plans=other_plan).buckets == {}


def test_counter_call_is_uncertain_when_in_flight_at_the_snapshot() -> None:
    gateway = make_gateway()
    spend(gateway, 10.0, 0.5, 4.0)
    gateway.reporter.calls[5] = CounterCall(get_only_bucket(gateway).customer_id, 3.0)
    restored = get_only_bucket(restore_new_gateway(take_snapshot(gateway, 11.0), 11.0))
    assert restored.counter_ledger.uncertain == (5, 3.0)


def test_health_is_restored_only_when_the_backend_has_not_restarted() -> None:
    gateway = make_gateway()
    gateway.backends[1].failures["read"] = FailureStreak(3, 100.0)
    gateway.backends[2].failures["read"] = FailureStreak(3, 100.0)
    snapshot = take_snapshot(gateway, 60.0)
    new_gateway = Gateway(settings(), 1)
    backends = (*fleet()[:1], Backend(2, "b", started=59.0))
    new_gateway.handle(60.0, EndpointsChanged(EndpointListKind.CACHED, backends))
    assert restore.restore_health(new_gateway, snapshot, 60.0) == 1
    assert not new_gateway.backends[1].is_healthy("read", 61.0)
    assert new_gateway.backends[2].is_healthy("read", 61.0)


def test_newer_endpoint_list_is_used_when_versions_differ() -> None:
    snapshot = take_snapshot(make_gateway(), 1.0)
    same_version = restore.build_endpoint_update(take_snapshot(make_gateway(), 1.0))
    assert restore.select_newest_endpoint_update(snapshot, same_version) is same_version
    older_change = EndpointsChanged(EndpointListKind.CACHED, same_version.change.backends[:1], 3)
    older = type(same_version)(older_change, {1: ADDRESSES[1]})
    assert len(restore.select_newest_endpoint_update(snapshot, older).change.backends) == 4


def test_bucket_shrinks_and_never_refills_when_the_set_size_changes() -> None:
    gateway = make_gateway()
    spend(gateway, 10.0, 0.5, 4.0)
    bucket = get_only_bucket(gateway)
    bucket.level = 6.0
    gateway.handle(10.6, SettingsChanged(settings(limiter_count=6)))
    gateway.handle(10.6, request("x", set_size=6))
    assert bucket.member_count == 6
    assert bucket.level <= 3.0 + PLAN.rate * 0.2
    level_before = bucket.level
    gateway.handle(10.6, SettingsChanged(settings(limiter_count=2)))
    gateway.handle(10.6, request("y", set_size=2))
    assert bucket.member_count == 2
    assert bucket.level <= level_before
    assert gateway.settings.limiter_count == 2


def test_bucket_is_empty_when_the_limiter_joins_a_running_set() -> None:
    joining = make_gateway(start_level=0.0)
    assert not sends(joining.handle(0.001, request("a", units=2.0)))
    assert sends(make_gateway().handle(0.001, request("a", units=2.0)))
