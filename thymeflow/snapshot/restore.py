"""What is remembered of a gateway, and what that means to the next life: no I/O and no clock.

The rule is that a restart mints no units. What was spent stays spent, debt stays debt, and what may have been
spent without our knowing counts as spent:

- from a *final* snapshot, taken when nothing more could be sent on, every store goes on as it stood and fills
  for the time that has passed;
- from one taken in passing, a store may have gone on spending until the process died. It is charged its own
  demand over the whole gap, never below empty. What a customer that was quiet at the snapshot spent between
  it and the death is the margin: at most what its slice held, once.

A slice is bounded by the burst as the settings have it now. In a set of another size it shrinks and never
grows. Word of others is not carried over: until the counter answers, the even slice holds, as at any start.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from math import inf

from thymeflow.decision.events import EndpointsChanged
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import Plan
from thymeflow.decision.types import Backend, BackendState, EndpointListKind
from thymeflow.health.backend_stats import BackendStats, FailureStreak
from thymeflow.platform.endpoints import Address, EndpointUpdate
from thymeflow.quota.counter_ledger import CounterLedger, UncertainAmount
from thymeflow.quota.token_bucket import TokenBucket
from thymeflow.snapshot.schema import AccountRecord, HealthRecord, ServerRecord, Snapshot, StoreRecord, site_of

MOST_FAILURES = 64  # in a row that are remembered of a server; beyond it the wait is the longest anyway


def _figure(value: float, least: float = 0.0) -> float:
    # Minus infinity stands for "never" in the module; a snapshot holds only finite figures.
    return least if value == -inf else value


def _account_record(ledger: CounterLedger) -> AccountRecord:
    return AccountRecord(
        ledger.read_at,
        ledger.reported_units,
        ledger.reported_charges,
        ledger.counter_name,
        ledger.last_total,
        ledger.uncertain,
    )


def _ledger(record: AccountRecord) -> CounterLedger:
    return CounterLedger(
        record.read, record.told, record.spent, record.name, record.total, UncertainAmount(*record.unsure)
    )


def _store(store: TokenBucket, out: Mapping[int, tuple[int, float]]) -> StoreRecord:
    account = replace(store.counter_ledger)
    for name, (number, mine) in out.items():  # a call that is out may have been added, or may yet be
        if number == store.customer_id:
            account.mark_uncertain(name, mine)
    return StoreRecord(
        store.customer_id,
        store.plan.name,
        store.updated_at,
        store.last_seen_at,
        store.level,
        store.global_level,
        store.ceiling_level,
        store.local_rate,
        store.remote_rate,
        store.requested_units,
        store.charged_units,
        store.mean_cost,
        store.usage_ratio,
        store.remote_rate_memory,
        store.member_count,
        tuple(store.members),
        store.is_aggregator,
        store.predicted_remote_usage,
        _account_record(account),
    )


def _health(server: BackendStats) -> HealthRecord:
    return HealthRecord(
        server.endpoint.id,
        server.endpoint.started,
        server.relative_latency,
        server.send_interval,
        {name: (min(count, MOST_FAILURES), _figure(end)) for name, (count, end) in server.failures.items()},
    )


def remember(
    gateway: Gateway, name: str, life: str, now: float, final: bool, version: int, addresses: Mapping[int, Address]
) -> Snapshot:
    """All that is worth remembering, at the time `now`."""
    servers = tuple(
        ServerRecord(
            s.endpoint.id,
            addresses[s.endpoint.id].host,
            addresses[s.endpoint.id].port,
            s.endpoint.zone,
            int(s.endpoint.state),
            s.endpoint.cell,
            s.endpoint.kind,
            s.endpoint.weight,
            s.endpoint.started,
        )
        for s in gateway.backends.values()
        if s.endpoint.id in addresses
    )
    return Snapshot(
        site_of(gateway.settings),
        name,
        life,
        now,
        final,
        gateway.settings.limiter_count,
        gateway.pressure,
        gateway.mean_latency_ratio,
        gateway.retry_budget,
        gateway.call_rate,
        version,
        servers,
        tuple(_health(s) for s in gateway.backends.values()),
        tuple(_store(s, gateway.counter_calls) for s in gateway.buckets.values() if s.members),
    )


def listed(snapshot: Snapshot) -> EndpointUpdate:
    """The list as it was known, in the form of one told at a start; it may be old."""
    backends = tuple(
        Backend(s.id, s.zone, BackendState(s.state), s.cell, s.kind, s.weight, s.started) for s in snapshot.servers
    )
    return EndpointUpdate(
        EndpointsChanged(EndpointListKind.CACHED, backends, snapshot.version),
        {s.id: Address(s.host, s.port) for s in snapshot.servers},
    )


def newer(snapshot: Snapshot, known: EndpointUpdate) -> EndpointUpdate:
    """The newer of the list that the platform told and the one that was remembered."""
    return listed(snapshot) if snapshot.servers and snapshot.version > known.change.version else known


def _spend(store: TokenBucket, units: float) -> None:
    store.level -= min(units, max(0.0, store.level))
    store.global_level -= min(units, max(0.0, store.global_level))


def _recalled(record: StoreRecord, plan: Plan, snapshot: Snapshot, now: float, made: Gateway) -> TokenBucket:
    store = made.bucket_factory(plan, record.number, now, now, 0.0)
    at = min(record.at, now)  # a clock that has stepped back must not fill twice
    store.updated_at, store.last_seen_at = at, now
    store.level, store.global_level = min(record.level, plan.burst), min(record.fleet, plan.burst)
    store.local_rate, store.remote_rate = max(0.0, record.own), max(0.0, record.others)
    store.requested_units, store.charged_units, store.counter_ledger = (
        record.asked,
        record.charged,
        _ledger(record.account),
    )
    store.mean_cost, store.usage_ratio, store.remote_rate_memory = record.lump, record.excess, record.memory
    store.members, store.member_count, store.is_aggregator = list(record.members), max(1, record.count), record.gathers
    store.ceiling_level = min(record.guard, plan.ceiling_burst / store.member_count)
    store.counter_ledger.read_at = min(store.counter_ledger.read_at, now)
    store.predicted_remote_usage = max(0.0, record.ahead)
    own, gap = store.local_rate, max(0.0, now - at)
    store.refresh(now)
    if not snapshot.final:
        # It may have spent to the last moment before this one: its demand then is the best guess, and what
        # is not there cannot have been spent. The ceiling is a rule, so there nothing is left to a guess.
        _spend(store, own * gap)
        store.ceiling_level = min(store.ceiling_level, 0.0)
    return store


def recall(gateway: Gateway, snapshot: Snapshot, now: float) -> tuple[int, int]:
    """Give a new gateway what an earlier life remembered; stores recalled and left out."""
    left = 0
    plans = gateway.plans
    for record in snapshot.stores:
        plan = plans.get(record.plan)
        if plan is None or record.number in gateway.buckets:
            left += 1
            continue
        store = _recalled(record, plan, snapshot, now, gateway)
        store.set_changed = snapshot.gateways != gateway.settings.limiter_count
        gateway.buckets[record.number] = store
    gateway.pressure = min(1.0, max(0.0, snapshot.pressure))
    gateway.mean_latency_ratio = max(1e-3, snapshot.usual)
    gateway.retry_budget = min(gateway.max_retry_budget(), max(0.0, snapshot.budget))
    gateway.call_rate = min(max(gateway.call_rate * 0.1, snapshot.call_rate), gateway.call_rate * 4.0)
    return len(snapshot.stores) - left, left


def health(gateway: Gateway, snapshot: Snapshot, now: float) -> int:
    """Once the list is known: what was seen of servers that are still in the life it was seen in."""
    found = 0
    for record in snapshot.health:
        server = gateway.backends.get(record.id)
        if server is not None and server.endpoint.started == record.started:
            server.relative_latency, server.send_interval = min(10.0, max(0.1, record.pace)), max(0.0, record.gap)
            server.failures = {
                name: FailureStreak(min(max(0, count), MOST_FAILURES), min(end, now + 60.0) or -inf)
                for name, (count, end) in record.failures.items()
            }
            found += 1
    return found


class Since:
    """What was charged after a state was handed over, by customer: told to the successor at the end."""

    def __init__(self, gateway: Gateway, now: float) -> None:
        self._gateway, self._at = gateway, now
        self._before = {number: store.charged_units for number, store in gateway.buckets.items()}
        self._own = {number: store.local_rate for number, store in gateway.buckets.items()}

    def doubt(self, now: float) -> None:
        """The successor died with what it spent untold: as from a snapshot taken in passing, nothing is minted."""
        for number, own in self._own.items():
            if store := self._gateway.buckets.get(number):
                store.refresh(now)
                _spend(store, own * max(0.0, now - self._at))

    def units(self) -> dict[int, float]:
        """By customer's number: units charged since, less what was settled below its charge."""
        late = {
            number: store.charged_units - self._before.get(number, 0.0)
            for number, store in self._gateway.buckets.items()
        }
        return {number: units for number, units in late.items() if abs(units) > 1e-9}


def charge_late(gateway: Gateway, units: Mapping[int, float]) -> int:
    """Charge what the predecessor sent on after its state was taken; how many stores that concerned."""
    found = 0
    for number, amount in units.items():
        store = gateway.buckets.get(number)
        if store is not None:
            # Settled units come back only to a store that knows of the charge, and never beyond its slice.
            store.charge(amount)
            store.level = min(store.level, store.plan.burst * store.quota_fraction(store.local_rate))
            found += 1
    return found
