"""Takes snapshots of a gateway and restores them, without I/O and without a clock.

A restart must not create units. Spent units stay spent, debt stays debt, and units that may have been spent without a
record count as spent:

- After a *final* snapshot, which is taken when no more requests can be forwarded, each bucket continues at its old
  level and refills for the time that has passed.
- After a snapshot of a running limiter, a customer may have continued to spend until the process died. The customer's
  bucket is charged the customer's own demand for the entire gap, but never falls below empty. The remaining error is
  the spending of a customer that was idle at the snapshot, between the snapshot and the death of the process: at most
  the customer's share of the burst, once.

The burst of the current settings bounds a bucket's share. In a set of another size the share shrinks and never grows.
The demand at other limiters is not restored: the even share applies until the counter replies, as at any start.

This module translates between the field names of `schema`, which are a format, and the field names of the code.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from math import inf
from typing import NamedTuple

from thymeflow.decision.events import EndpointsChanged
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import Plan
from thymeflow.decision.types import Backend, BackendState, EndpointListKind
from thymeflow.health.backend_stats import BackendStats, FailureStreak
from thymeflow.platform.endpoints import Address, EndpointUpdate
from thymeflow.quota.buckets import BucketStart
from thymeflow.quota.counter_ledger import CounterLedger, UncertainAmount
from thymeflow.quota.token_bucket import TokenBucket
from thymeflow.snapshot.late_charges import spend_units
from thymeflow.snapshot.schema import (
    AccountRecord,
    HealthRecord,
    ServerRecord,
    Snapshot,
    StoreRecord,
    compute_site_digest,
)

MAX_CONSECUTIVE_FAILURES = 64  # With more failures of a backend, its backoff is at the maximum anyway.
MAX_EJECTION_SECONDS = 60.0  # The time after the restore for which a restored ejection may last.
MIN_RELATIVE_LATENCY = 0.1
MAX_RELATIVE_LATENCY = 10.0
MIN_MEAN_LATENCY_RATIO = 1e-3
# Bounds of the restored counter call rate, as multiples of the new gateway's call rate.
MIN_CALL_RATE_FACTOR = 0.1
MAX_CALL_RATE_FACTOR = 4.0


class RestoreResult(NamedTuple):
    """The numbers of a snapshot's buckets that were restored and that were skipped."""

    restored: int
    skipped: int


def _build_account_record(ledger: CounterLedger) -> AccountRecord:
    return AccountRecord(
        read=ledger.read_at,
        told=ledger.reported_units,
        spent=ledger.reported_charges,
        name=ledger.counter_name,
        total=ledger.last_total,
        unsure=ledger.uncertain,
    )


def _build_counter_ledger(record: AccountRecord) -> CounterLedger:
    return CounterLedger(
        record.read, record.told, record.spent, record.name, record.total, UncertainAmount(*record.unsure)
    )


def _build_store_record(bucket: TokenBucket, counter_calls: Mapping[int, tuple[int, float]]) -> StoreRecord:
    ledger = replace(bucket.counter_ledger)
    for counter_name, (customer_id, amount) in counter_calls.items():
        if customer_id == bucket.customer_id:  # The counter may have added the amount of this call in flight.
            ledger.mark_uncertain(counter_name, amount)
    return StoreRecord(
        number=bucket.customer_id,
        plan=bucket.plan.name,
        at=bucket.refreshed_at,
        seen=bucket.last_seen_at,
        level=bucket.level,
        fleet=bucket.set_level,
        guard=bucket.ceiling_level,
        own=bucket.local_rate,
        others=bucket.remote_rate,
        asked=bucket.requested_units,
        charged=bucket.charged_units,
        lump=bucket.mean_cost,
        excess=bucket.usage_ratio,
        memory=bucket.remote_rate_decay_seconds,
        count=bucket.member_count,
        members=tuple(bucket.members),
        gathers=bucket.has_first_hand_reports,
        ahead=bucket.predicted_remote_usage,
        account=_build_account_record(ledger),
    )


def _encode_ejection_end(ejected_until: float) -> float:
    # The gateway stores minus infinity for a backend that was never ejected; a snapshot has finite numbers only.
    return 0.0 if ejected_until == -inf else ejected_until


def _build_health_record(stats: BackendStats) -> HealthRecord:
    return HealthRecord(
        id=stats.endpoint.id,
        started=stats.endpoint.started,
        pace=stats.relative_latency,
        gap=stats.send_interval,
        failures={
            class_name: (min(failure_count, MAX_CONSECUTIVE_FAILURES), _encode_ejection_end(ejected_until))
            for class_name, (failure_count, ejected_until) in stats.failures.items()
        },
    )


def _build_server_record(backend: Backend, address: Address) -> ServerRecord:
    return ServerRecord(
        id=backend.id,
        host=address.host,
        port=address.port,
        zone=backend.zone,
        state=int(backend.state),
        cell=backend.cell,
        kind=backend.kind,
        weight=backend.weight,
        started=backend.started,
    )


def take_snapshot(
    gateway: Gateway,
    name: str,
    incarnation: str,
    now: float,
    final: bool,
    version: int,
    addresses: Mapping[int, Address],
) -> Snapshot:
    """Return a snapshot of the gateway at `now`; `version` and `addresses` are those of its endpoint list."""
    servers = tuple(
        _build_server_record(stats.endpoint, addresses[stats.endpoint.id])
        for stats in gateway.backends.values()
        if stats.endpoint.id in addresses
    )
    return Snapshot(
        site=compute_site_digest(gateway.settings),
        name=name,
        life=incarnation,
        taken=now,
        final=final,
        gateways=gateway.settings.limiter_count,
        pressure=gateway.registry.pressure,
        usual=gateway.registry.mean_latency_ratio,
        budget=gateway.retries.budget,
        call_rate=gateway.reporter.call_rate,
        version=version,
        servers=servers,
        health=tuple(_build_health_record(stats) for stats in gateway.backends.values()),
        stores=tuple(
            _build_store_record(bucket, gateway.reporter.calls) for bucket in gateway.buckets.values() if bucket.members
        ),
    )


def build_endpoint_update(snapshot: Snapshot) -> EndpointUpdate:
    """Return the snapshot's endpoint list, marked as cached because it may be out of date."""
    backends = tuple(
        Backend(
            record.id,
            record.zone,
            BackendState(record.state),
            record.cell,
            record.kind,
            record.weight,
            record.started,
        )
        for record in snapshot.servers
    )
    return EndpointUpdate(
        EndpointsChanged(EndpointListKind.CACHED, backends, snapshot.version),
        {record.id: Address(record.host, record.port) for record in snapshot.servers},
    )


def select_newest_endpoint_update(snapshot: Snapshot, known: EndpointUpdate) -> EndpointUpdate:
    """Return the newer endpoint list: the snapshot's or the `known` one, which wins if the versions are equal."""
    if snapshot.servers and snapshot.version > known.change.version:
        return build_endpoint_update(snapshot)
    return known


def _restore_bucket(record: StoreRecord, plan: Plan, snapshot: Snapshot, now: float, gateway: Gateway) -> TokenBucket:
    bucket = gateway.token_buckets.create(plan, record.number, BucketStart(now, now, 0.0))
    refreshed_at = min(record.at, now)  # If the clock was stepped back, the bucket must not be refilled twice.
    _restore_fields(bucket, record, plan, refreshed_at)
    bucket.last_seen_at = now
    bucket.counter_ledger.read_at = min(bucket.counter_ledger.read_at, now)
    local_rate = bucket.local_rate
    gap_seconds = max(0.0, now - refreshed_at)
    bucket.refresh(now)
    if not snapshot.final:
        # The customer may have spent units until now. Its demand is the best estimate of these units, and it cannot
        # have spent more than the bucket had. The ceiling is a hard limit that no estimate may exceed, so its level
        # restarts at zero at most.
        spend_units(bucket, local_rate * gap_seconds)
        bucket.ceiling_level = min(bucket.ceiling_level, 0.0)
    return bucket


def _restore_fields(bucket: TokenBucket, record: StoreRecord, plan: Plan, refreshed_at: float) -> None:
    bucket.refreshed_at = refreshed_at
    bucket.level = min(record.level, plan.burst)
    bucket.set_level = min(record.fleet, plan.burst)
    bucket.local_rate = max(0.0, record.own)
    bucket.remote_rate = max(0.0, record.others)
    bucket.requested_units = record.asked
    bucket.charged_units = record.charged
    bucket.counter_ledger = _build_counter_ledger(record.account)
    bucket.mean_cost = record.lump
    bucket.usage_ratio = record.excess
    bucket.remote_rate_decay_seconds = record.memory
    bucket.members = list(record.members)
    bucket.member_count = max(1, record.count)
    bucket.has_first_hand_reports = record.gathers
    bucket.ceiling_level = min(record.guard, plan.ceiling_burst / bucket.member_count)
    bucket.predicted_remote_usage = max(0.0, record.ahead)


def restore_gateway(gateway: Gateway, snapshot: Snapshot, now: float) -> RestoreResult:
    """Restore the state of a new gateway, except the backends' health; buckets of unknown plans are skipped."""
    skipped = 0
    plans = gateway.context.plans
    for record in snapshot.stores:
        plan = plans.get(record.plan)
        if plan is None or record.number in gateway.buckets:
            skipped += 1
            continue
        bucket = _restore_bucket(record, plan, snapshot, now, gateway)
        bucket.must_rejoin_set = snapshot.gateways != gateway.settings.limiter_count
        gateway.buckets[record.number] = bucket
    gateway.registry.pressure = min(1.0, max(0.0, snapshot.pressure))
    gateway.registry.mean_latency_ratio = max(MIN_MEAN_LATENCY_RATIO, snapshot.usual)
    gateway.retries.budget = min(gateway.retries.compute_max_budget(), max(0.0, snapshot.budget))
    min_call_rate = gateway.reporter.call_rate * MIN_CALL_RATE_FACTOR
    max_call_rate = gateway.reporter.call_rate * MAX_CALL_RATE_FACTOR
    gateway.reporter.call_rate = min(max(min_call_rate, snapshot.call_rate), max_call_rate)
    return RestoreResult(len(snapshot.stores) - skipped, skipped)


def restore_health(gateway: Gateway, snapshot: Snapshot, now: float) -> int:
    """Restore the health of backends that have not restarted since the snapshot; return their number.

    The gateway needs the endpoint list before this call.
    """
    restored = 0
    for record in snapshot.health:
        stats = gateway.backends.get(record.id)
        if stats is not None and stats.endpoint.started == record.started:
            _restore_health_record(stats, record, now)
            restored += 1
    return restored


def _restore_health_record(stats: BackendStats, record: HealthRecord, now: float) -> None:
    stats.relative_latency = min(MAX_RELATIVE_LATENCY, max(MIN_RELATIVE_LATENCY, record.pace))
    stats.send_interval = max(0.0, record.gap)
    stats.failures = {
        class_name: FailureStreak(
            min(max(0, failure_count), MAX_CONSECUTIVE_FAILURES), _decode_ejection_end(ejection_end, now)
        )
        for class_name, (failure_count, ejection_end) in record.failures.items()
    }


def _decode_ejection_end(ejection_end: float, now: float) -> float:
    return min(ejection_end, now + MAX_EJECTION_SECONDS) or -inf
