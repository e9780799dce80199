"""Charges that follow a snapshot to the limiter's successor."""

from __future__ import annotations

import pytest

from tests.helpers import PLAN
from tests.snapshot.support import make_gateway, only_bucket, restored_gateway, spend, take_snapshot
from thymeflow.snapshot.late_charges import LateCharges, charge_late


def test_late_charges_apply_once_and_never_refill_above_the_quota_fraction() -> None:
    gateway = make_gateway()
    spend(gateway, 10.0, 0.5, 4.0)
    snapshot = take_snapshot(gateway, 10.5)
    late_charges = LateCharges(gateway, 10.5)
    successor = restored_gateway(snapshot, 10.5)
    forwarded_units = spend(gateway, 10.5, 0.5, 4.0, "late").units
    bucket = only_bucket(successor)
    level_before = bucket.level
    assert charge_late(successor, late_charges.units()) == 1
    assert bucket.level == pytest.approx(level_before - forwarded_units)
    unknown_customer = 12345
    assert charge_late(successor, {bucket.customer_id: -1e6, unknown_customer: 1.0}) == 1
    assert bucket.level <= PLAN.burst
