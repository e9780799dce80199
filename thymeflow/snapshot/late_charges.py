"""Charges that a limiter makes after it has handed its snapshot over, and reports to its successor."""

from __future__ import annotations

from collections.abc import Mapping

from thymeflow.decision.gateway import Gateway
from thymeflow.quota.token_bucket import TokenBucket

MIN_REPORTED_UNITS = 1e-9  # Smaller differences are rounding errors.


class LateCharges:
    """The charges of each customer since the gateway's snapshot was taken."""

    def __init__(self, gateway: Gateway, now: float) -> None:
        self._gateway = gateway
        self._started_at = now
        self._charged_before = {customer_id: bucket.charged_units for customer_id, bucket in gateway.buckets.items()}
        self._local_rates = {customer_id: bucket.local_rate for customer_id, bucket in gateway.buckets.items()}

    def charge_unreported(self, now: float) -> None:
        """Charge the units that a successor may have spent before it died without a report.

        As after a snapshot of a running limiter, each customer is charged its own demand since the snapshot.
        """
        elapsed_seconds = max(0.0, now - self._started_at)
        for customer_id, local_rate in self._local_rates.items():
            if bucket := self._gateway.buckets.get(customer_id):
                bucket.refresh(now)
                spend_units(bucket, local_rate * elapsed_seconds)

    def compute_units(self) -> dict[int, float]:
        """Return the units charged since the snapshot by customer, less the units that settling returned."""
        charges = {
            customer_id: bucket.charged_units - self._charged_before.get(customer_id, 0.0)
            for customer_id, bucket in self._gateway.buckets.items()
        }
        return {customer_id: units for customer_id, units in charges.items() if abs(units) > MIN_REPORTED_UNITS}


def apply_late_charges(gateway: Gateway, units: Mapping[int, float]) -> int:
    """Apply the charges that the predecessor made after its snapshot; return the number of charged buckets."""
    charged_count = 0
    for customer_id, amount in units.items():
        bucket = gateway.buckets.get(customer_id)
        if bucket is not None:
            # Settling returns units as a negative amount. Only a bucket that has the charge gets them back, and they
            # never refill it beyond its share of the burst.
            bucket.charge(amount)
            bucket.level = min(bucket.level, bucket.plan.burst * bucket.compute_quota_fraction(bucket.local_rate))
            charged_count += 1
    return charged_count


def spend_units(bucket: TokenBucket, units: float) -> None:
    """Take units from both levels of a bucket, of which none falls below zero."""
    bucket.level -= min(units, max(0.0, bucket.level))
    bucket.set_level -= min(units, max(0.0, bucket.set_level))
