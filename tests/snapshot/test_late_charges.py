"""Guards against units that a handover creates: the successor must apply charges made after the snapshot."""

from __future__ import annotations

import pytest

from tests.helpers import PLAN
from tests.snapshot.support import get_only_bucket, make_gateway, restore_new_gateway, spend, take_snapshot
from thymeflow.snapshot.late_charges import LateCharges, apply_late_charges


def test_late_charges_apply_once_and_never_refill_above_the_quota_fraction() -> None:
    gateway = make_gateway()
    spend(gateway, 10.0, 0.5, 4.0)
    snapshot = take_snapshot(gateway, 10.5)
    late_charges = LateCharges(gateway, 10.5)
    successor = restore_new_gateway(snapshot, 10.5)
    forwarded_units = spend(gateway, 10.5, 0.5, 4.0, "late").units
    bucket = get_only_bucket(successor)
    level_before = bucket.level
    assert apply_late_charges(successor, late_charges.compute_units()) == 1
    assert bucket.level == pytest.approx(level_before - forwarded_units)
    unknown_customer = 12345
    assert apply_late_charges(successor, {bucket.customer_id: -1e6, unknown_customer: 1.0}) == 1
    assert bucket.level <= PLAN.burst
