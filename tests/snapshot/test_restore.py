"""Snapshots: what they mean at a start, that none mints units, and that no broken one is ever believed."""

from __future__ import annotations

import hashlib
import json
import os
import resource
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import PLAN, fleet, request, sends, settings
from thymeflow import Gateway
from thymeflow.decision.events import AttemptEnded, EndpointsChanged, SettingsChanged
from thymeflow.decision.settings import Information, Plan
from thymeflow.decision.types import Backend, EndpointListKind, Status
from thymeflow.platform.configuration import Address
from thymeflow.snapshot import atomic_file, late_charges, restore, schema

SITE = schema.site_of(settings())
WHERE = {n: Address("127.0.0.1", 7000 + n) for n in range(1, 5)}


def gateway(start: float | None = None, **changes: Any) -> Gateway:
    made = Gateway(settings(**changes), 1) if start is None else Gateway(settings(**changes), 1, start)
    made.handle(0.0, EndpointsChanged(EndpointListKind.CACHED, fleet(), 7))
    return made


def spend(one: Gateway, now: float, seconds: float, pace: float, name: str = "r") -> tuple[float, float]:
    """Ask at a pace; the units sent on and the time at the end."""
    sent = 0.0
    for n in range(int(seconds * pace)):
        now += 1.0 / pace
        out = sends(one.handle(now, request(f"{name}{now:.6f}-{n}")))
        sent += len(out)
        for send in out:
            one.handle(
                now, AttemptEnded(send.id, 0, send.backend, Status.OK, 0.01, request_answered=True, actual_units=1.0)
            )
    return sent, now


def snapshot(one: Gateway, now: float, final: bool = True) -> schema.Snapshot:
    return restore.remember(one, "n0", "life", now, final, 7, WHERE)


def again(found: schema.Snapshot, now: float, **changes: Any) -> Gateway:
    fresh = gateway(**changes)
    restore.recall(fresh, found, now)
    return fresh


def test_what_is_remembered_survives_its_bytes() -> None:
    one = gateway()
    spend(one, 10.0, 3.0, 20.0)
    found = snapshot(one, 13.0)
    assert schema.unpack(schema.pack(found)) == found
    (store,) = again(found, 13.0).buckets.values()
    (before,) = one.buckets.values()
    for name in (
        "level",
        "global_level",
        "local_rate",
        "remote_rate",
        "requested_units",
        "charged_units",
        "predicted_remote_usage",
        "mean_cost",
        "member_count",
        "members",
    ):
        assert getattr(store, name) == pytest.approx(getattr(before, name)), name
    assert store.counter_ledger == before.counter_ledger
    data = schema.pack(found)
    store.counter_ledger.mark_uncertain(5, 3.0)
    assert schema.pack(found) == data  # what a life goes on to hear does not change its past


@given(st.floats(0.0, 6.0), st.floats(0.5, 60.0), st.floats(0.0, 25.0), st.booleans(), st.integers(1, 4))
def test_no_number_of_restarts_mints_units(busy: float, pace: float, pause: float, final: bool, lives: int) -> None:
    # One limiter that is the customer's whole set: what it may ever send on is burst + rate x time.
    one, now, sent = gateway(limiter_count=1, information=Information(max_units=4.0, settles_units=True)), 10.0, 0.0
    begun = now
    for life in range(lives):
        units, now = spend(one, now, busy, pace, f"l{life}-")
        sent += units
        found = snapshot(one, now, final)
        now += pause
        one = again(found, now, limiter_count=1, information=Information(max_units=4.0, settles_units=True))
    units, now = spend(one, now, 4.0, 40.0, "last-")
    assert sent + units <= PLAN.burst + PLAN.rate * (now - begun) + 1.0


def test_a_crash_charges_what_may_have_been_spent_since() -> None:
    one = gateway()
    _, now = spend(one, 10.0, 1.0, 8.0)
    found = snapshot(one, now, final=False)
    (final,), (crashed,) = (
        again(snapshot(one, now), now + 1.5).buckets.values(),
        again(found, now + 1.5).buckets.values(),
    )
    (before,) = one.buckets.values()
    assert crashed.level == pytest.approx(max(final.level - before.local_rate * 1.5, 0.0), abs=1e-6)
    assert crashed.level < final.level and crashed.ceiling_level <= 0.0


def test_debt_stays_debt_and_a_smaller_burst_holds() -> None:
    one = gateway()
    spend(one, 10.0, 0.5, 4.0)
    (store,) = one.buckets.values()
    store.level = -3.0
    (kept,) = again(snapshot(one, store.updated_at), store.updated_at).buckets.values()
    assert kept.level == pytest.approx(-3.0)
    store.level = store.global_level = 29.0
    less = (Plan("plain", rate=10.0, burst=6.0),)
    (kept,) = again(snapshot(one, store.updated_at), store.updated_at, plans=less).buckets.values()
    assert kept.level <= 6.0 and kept.global_level <= 6.0
    assert again(snapshot(one, store.updated_at), store.updated_at, plans=(Plan("other", 1.0, 2.0),)).buckets == {}


def test_a_call_that_was_out_counts_as_perhaps_added() -> None:
    one = gateway()
    spend(one, 10.0, 0.5, 4.0)
    (store,) = one.buckets.values()
    one.counter_calls[5] = (store.customer_id, 3.0)
    (kept,) = again(snapshot(one, 11.0), 11.0).buckets.values()
    assert kept.counter_ledger.uncertain == (5, 3.0)


def test_health_is_remembered_of_the_same_life_only() -> None:
    one = gateway()
    one.backends[1].failures["read"] = (3, 100.0)
    one.backends[2].failures["read"] = (3, 100.0)
    found = snapshot(one, 60.0)
    fresh = Gateway(settings(), 1)
    fresh.handle(60.0, EndpointsChanged(EndpointListKind.CACHED, (*fleet()[:1], Backend(2, "b", started=59.0))))
    assert restore.health(fresh, found, 60.0) == 1
    assert not fresh.backends[1].is_healthy("read", 61.0) and fresh.backends[2].is_healthy("read", 61.0)


def test_the_newer_list_holds() -> None:
    found, old = snapshot(gateway(), 1.0), restore.listed(snapshot(gateway(), 1.0))
    assert restore.newer(found, old) is old
    older = type(old)(EndpointsChanged(EndpointListKind.CACHED, old.change.backends[:1], 3), {1: WHERE[1]})
    assert len(restore.newer(found, older).change.backends) == 4


def test_late_charges_count_once_and_never_fill_beyond_the_slice() -> None:
    one = gateway()
    spend(one, 10.0, 0.5, 4.0)
    found, since = snapshot(one, 10.5), late_charges.LateCharges(one, 10.5)
    successor = again(found, 10.5)
    sent, _ = spend(one, 10.5, 0.5, 4.0, "late")
    late = since.units()
    (store,) = successor.buckets.values()
    before = store.level
    assert late_charges.charge_late(successor, late) == 1 and store.level == pytest.approx(before - sent)
    assert late_charges.charge_late(successor, {store.customer_id: -1e6, 12345: 1.0}) == 1
    assert store.level <= PLAN.burst


def test_a_set_that_grows_shrinks_slices_and_one_that_shrinks_fills_none() -> None:
    one = gateway()
    spend(one, 10.0, 0.5, 4.0)
    (store,) = one.buckets.values()
    store.level = 6.0
    one.handle(10.6, SettingsChanged(settings(limiter_count=6)))
    one.handle(10.6, request("x", set_size=6))
    assert store.member_count == 6 and store.level <= 3.0 + PLAN.rate * 0.2
    before = store.level
    one.handle(10.6, SettingsChanged(settings(limiter_count=2)))
    one.handle(10.6, request("y", set_size=2))
    assert store.member_count == 2 and store.level <= before
    assert one.settings.limiter_count == 2


def test_one_that_joins_starts_empty() -> None:
    one = gateway(start=0.0)
    assert not sends(one.handle(0.001, request("a", units=2.0)))
    assert sends(gateway().handle(0.001, request("a", units=2.0)))


def test_a_snapshot_cut_at_any_byte_is_refused() -> None:
    one = gateway()
    spend(one, 10.0, 0.3, 10.0)
    data = schema.pack(snapshot(one, 11.0))
    for end in range(len(data)):
        with pytest.raises(schema.SnapshotError):
            schema.unpack(data[:end])
    for place in range(0, len(data), 7):
        with pytest.raises(schema.SnapshotError):
            schema.unpack(data[:place] + bytes([data[place] ^ 0x11]) + data[place + 1 :])


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"taken": 100.0}, "future"),
        ({"taken": -100.0}, "100.0 s old"),
        ({"name": "n7"}, "limiter 'n7'"),
        ({"site": "feed"}, "another site"),
    ],
)
def test_foreign_old_and_future_ones_are_refused_with_one_line(change: dict[str, Any], why: str) -> None:
    found = replace(snapshot(gateway(), 0.0), **change)
    with pytest.raises(schema.SnapshotError, match=why):
        schema.believed(schema.unpack(schema.pack(found)), SITE, "n0", 0.0, 30.0)


def test_values_that_are_none_are_named() -> None:
    one = gateway()
    spend(one, 10.0, 0.3, 10.0)
    found = snapshot(one, 11.0)
    huge = replace(found, stores=(replace(found.stores[0], level=1e300),))
    with pytest.raises(schema.SnapshotError, match=r"stores\[0\].level"):
        schema.unpack(schema.pack(huge))
    body = schema.pack(found).replace(b"thymeflow-snapshot 2 ", b"thymeflow-snapshot 3 ", 1)
    with pytest.raises(schema.SnapshotError, match="version 3"):
        schema.unpack(body)


def test_what_an_earlier_version_hands_over_keeps_its_stores() -> None:
    one = gateway()
    spend(one, 10.0, 0.5, 10.0)
    found = snapshot(one, 11.0)
    body = json.loads(schema.pack(found).split(b"\n", 1)[1])
    for store in body["stores"]:
        told = store.pop("account")
        store.pop("ahead")
        store.update(told=told["told"], read=told["read"], window=5, total=9.0, unsure_window=-1, unsure=0.0)
    text = json.dumps(body, separators=(",", ":")).encode()
    digest = hashlib.blake2b(text, digest_size=16).hexdigest()
    head = f"{schema.MAGIC} 1 {found.site} {found.taken:.6f} {len(text)} {digest}\n".encode()
    (kept,), (same,) = again(schema.unpack(head + text), 11.0).buckets.values(), again(found, 11.0).buckets.values()
    assert (kept.level, kept.charged_units) == pytest.approx(
        (same.level, same.charged_units)
    ) and kept.counter_ledger.counter_name == -1
    assert (
        kept.counter_ledger.reported_charges == kept.charged_units
    )  # no count ever told of it, and none will in one lump


def test_the_file_is_written_whole_or_not_at_all(tmp_path: Path) -> None:
    path = tmp_path / "n0.state"
    atomic_file.write(path, b"first")
    before = resource.getrlimit(resource.RLIMIT_FSIZE)
    import signal

    ignored = signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    try:
        resource.setrlimit(resource.RLIMIT_FSIZE, (1000, before[1]))  # as a disk that is full half way
        with pytest.raises(OSError):
            atomic_file.write(path, b"x" * 5000)
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, before)
        signal.signal(signal.SIGXFSZ, ignored)
    assert atomic_file.read(path) == b"first" and os.listdir(tmp_path) == ["n0.state"]
    assert atomic_file.read(tmp_path / "none") is None
    with pytest.raises(schema.SnapshotError):
        atomic_file.read(tmp_path)
