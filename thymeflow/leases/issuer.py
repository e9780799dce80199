"""The lease issuer: decides the allocation of each holder and its expiry. Events in, actions out; no I/O, no clock.

A grant may be sent only after a grant file that covers it has been written (`Write`, confirmed by `on_written`).
Whenever this process dies, the next issuer therefore knows every grant that may be outstanding. All times are seconds
on the machine's monotonic clock.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, replace
from math import inf

from thymeflow.leases.allocation import Allocation
from thymeflow.leases.holder_state import HOLDER_TRANSITIONS, HolderRecord
from thymeflow.leases.holder_state import HolderEvent as HolderEvent
from thymeflow.leases.holder_state import HolderState as HolderState
from thymeflow.leases.ledger import Ledger
from thymeflow.leases.resources import BASE_POINTS, LEASED_POINTS, Resource, compute_base_amount, divide_by_demand

LEASE_SECONDS = 4.0  # an unreachable holder uses its leased amounts no longer than this
RENEWAL_FRACTION = 0.5  # a lease is renewed when this fraction of it or less remains
COVERED_PERIOD_SECONDS = 8.0  # the grant file covers leases this far ahead, so that a renewal needs no write
REPORT_TTL_SECONDS = 2.0  # four report intervals; a holder without a valid report gets no new lease
# A change of a leased amount causes no grant if it is at most this fraction of an even share of the leased points.
MIN_CHANGE_FRACTION = 0.02

HolderName = str


@dataclass(frozen=True, slots=True)
class Write:
    """The action to write the grant file and then call `on_written` or `on_write_failed` with `version`.

    The versions number the writes of the grant file.
    """

    version: int


@dataclass(frozen=True, slots=True)
class Send:
    """The action to send an allocation to a holder."""

    holder: HolderName
    allocation: Allocation


Action = Write | Send


class LeaseIssuer:
    """Divides the points of all resources among the holders of one fleet."""

    def __init__(self, epoch: int, now: float) -> None:
        self.epoch = epoch
        self.records: dict[HolderName, HolderRecord] = {}
        self.base = [Ledger(BASE_POINTS) for _ in Resource]
        self.leased = [Ledger(LEASED_POINTS) for _ in Resource]
        self.durable_until = now  # the grant file covers leases that end by this time
        self.durable_amounts: dict[HolderName, tuple[int, ...]] = {}  # in the grant file: base amounts, then leased
        self._fleet_size = 1
        self._file_version = 0
        self._sends_by_version: dict[int, list[Send]] = {}  # keyed by the file version that must be written first
        self._no_leases_until = now  # leases of a lost grant file may be in force until this time

    def get_or_create_record(self, holder: HolderName) -> HolderRecord:
        """Return the record of a holder; create an empty one if the holder is unknown."""
        return self.records.setdefault(holder, HolderRecord())

    def _apply_event(self, holder: HolderName, event: HolderEvent) -> HolderRecord:
        record = self.get_or_create_record(holder)
        record.state = HOLDER_TRANSITIONS[record.state, event]
        return record

    # Events.

    def on_grants_lost(self, now: float) -> None:
        """Grant no base amounts, and no lease until all leases of the lost grant file have expired.

        Base amounts do not expire, and an unreachable holder may still use any amount that the lost file granted it.
        """
        self.base = [Ledger(0) for _ in Resource]
        self._no_leases_until = now + COVERED_PERIOD_SECONDS

    def resize(self, size: int) -> None:
        """Set the configured number of members of the fleet."""
        self._fleet_size = max(1, size)

    def restore_grant(
        self, holder: HolderName, number: int, amounts: tuple[int, ...], lease_ends_at: float, now: float
    ) -> None:
        """Count the amounts in an earlier issuer's grant file as outstanding, whether or not they were sent."""
        record = self._apply_event(holder, HolderEvent.STARTING)
        record.number = number
        self.durable_amounts[holder] = amounts
        for ledger, amount in zip(self.base, amounts[: len(Resource)], strict=True):
            ledger.grant(holder, number, amount, inf, now)
        for ledger, amount in zip(self.leased, amounts[len(Resource) :], strict=True):
            ledger.grant(holder, number, amount, lease_ends_at, now)

    def on_starting(self, holder: HolderName, now: float) -> tuple[Allocation, Write]:
        """Return the allocation that a new process starts with; it may be used once the grant file is written.

        Each base amount is an even share, or less where less is free. The process gets a lease once it reports.
        """
        record = self._apply_event(holder, HolderEvent.STARTING)
        record.number += 1
        even_amount = compute_base_amount(max(self._fleet_size, self._count_present_holders()))
        for index, ledger in enumerate(self.base):
            amount = min(even_amount, ledger.outstanding(holder, now) + ledger.free(now))
            ledger.grant(holder, record.number, amount, inf, now)
            record.base[index] = amount
        record.clear_lease()
        return self._build_allocation(record), self._prepare_write(now, [])

    def on_report(self, holder: HolderName, allocation: Allocation, demand: tuple[float, ...], now: float) -> None:
        """Handle a holder's report: the allocation that it uses, and its demand by resource."""
        is_known = holder in self.records
        if allocation.epoch > self.epoch:
            self.epoch = allocation.epoch + 1  # a grant file was lost; new grants must be newer than those in use
        was_reporting = self.get_or_create_record(holder).is_reporting()
        record = self._apply_event(holder, HolderEvent.REPORT)
        if not was_reporting:
            record.last_acknowledged_at = now
        if len(demand) == len(Resource):
            record.demand = demand
        record.reported = (allocation.epoch, allocation.number)
        record.last_report_at = now
        if not is_known:
            self._adopt_unknown_holder(holder, allocation, now)
        if allocation.epoch == self.epoch and allocation.number >= record.number > 0:
            self._apply_event(holder, HolderEvent.ACK)
            record.last_acknowledged_at = now
            for ledger in self._all_ledgers():
                ledger.acknowledge(holder, allocation.number)

    def on_disconnected(self, holder: HolderName) -> None:
        """Handle the end of a holder's connection; the holder's process may still run."""
        if holder in self.records and self.records[holder].state is not HolderState.ABSENT:
            self._apply_event(holder, HolderEvent.UNRESPONSIVE)

    def on_death(self, holder: HolderName) -> None:
        """Free all amounts of a holder, because its process is known to have ended."""
        if holder in self.records:
            record = self._apply_event(holder, HolderEvent.DEATH)
            for ledger in self._all_ledgers():
                ledger.release(holder)
            record.clear_amounts()

    def on_written(self, version: int) -> list[Send]:
        """Return the sends that waited for the write of this or a lower version of the grant file."""
        versions = sorted(waiting for waiting in self._sends_by_version if waiting <= version)
        return [send for written in versions for send in self._sends_by_version.pop(written)]

    def on_write_failed(self, version: int) -> None:
        """Drop the sends that waited for this version; nothing is sent until another version is written."""
        self._sends_by_version.pop(version, None)
        self.durable_until = -inf

    # Division.

    def tick(self, now: float) -> list[Action]:
        """Divide the resources by the valid reports: reduce amounts first, raise others, renew leases that end soon.

        Return the sends; or, where the grant file does not cover all of them, one `Write` for which they wait.
        """
        self._mark_unresponsive_holders(now)
        if now < self._no_leases_until:
            return []
        sends = self._issue_grants(now)
        if not sends:
            return []
        if all(self._is_covered_by_file(send) for send in sends):
            return list(sends)
        return [self._prepare_write(now, sends)]

    def _mark_unresponsive_holders(self, now: float) -> None:
        for holder, record in self.records.items():
            if record.is_reporting() and now - record.last_report_at > REPORT_TTL_SECONDS:
                self._apply_event(holder, HolderEvent.UNRESPONSIVE)

    def _issue_grants(self, now: float) -> list[Send]:
        reporting = {holder: record for holder, record in self.records.items() if record.is_reporting()}
        targets = self._divide_leased_points(reporting, now)
        changed = [holder for holder, record in reporting.items() if self._needs_grant(holder, record, targets, now)]

        def compute_increase(holder: HolderName) -> int:
            """Return the points by which the leased amounts of a holder grow in total."""
            return sum(amounts[holder] for amounts in targets) - sum(reporting[holder].lease)

        # Reductions are sent first; the points that they free are granted in a later tick, once known to be free.
        changed.sort(key=compute_increase)
        return [
            self._record_grant(holder, reporting[holder], [amounts[holder] for amounts in targets], now)
            for holder in changed
        ]

    def _divide_leased_points(
        self, reporting: dict[HolderName, HolderRecord], now: float
    ) -> list[dict[HolderName, int]]:
        """Return the target leased amount of each reporting holder, one dict for each resource."""
        # A holder that reports but receives no grants would tie up its leased amounts. Its target is therefore 0 until
        # it acknowledges a grant again; it keeps its base amounts.
        zero_targets = {
            holder: 0
            for holder, record in reporting.items()
            if record.state is HolderState.GRANT_PENDING and now - record.last_acknowledged_at > LEASE_SECONDS
        }
        receiving = {holder: record for holder, record in reporting.items() if holder not in zero_targets}
        return [
            zero_targets
            | divide_by_demand(LEASED_POINTS, {holder: record.demand[index] for holder, record in receiving.items()})
            for index in range(len(Resource))
        ]

    def _needs_grant(
        self, holder: HolderName, record: HolderRecord, targets: list[dict[HolderName, int]], now: float
    ) -> bool:
        expires_soon = record.lease_ends_at - now <= RENEWAL_FRACTION * LEASE_SECONDS
        if record.state is HolderState.GRANT_PENDING and not expires_soon:
            return False  # the holder has not acknowledged the previous grant yet
        if expires_soon or record.reported != (self.epoch, record.number):
            return True
        return any(
            self._has_relevant_change(index, record, targets[index][holder], now) for index in _resource_indexes()
        )

    def _has_relevant_change(self, index: int, record: HolderRecord, target: int, now: float) -> bool:
        """Return whether the amounts of one resource change by enough to justify a grant."""
        change = target - record.lease[index]
        possible = self.leased[index].free(now) if change > 0 else -change
        if min(abs(change), possible) > MIN_CHANGE_FRACTION * LEASED_POINTS / max(1, len(self.records)):
            return True
        even_amount = compute_base_amount(self._count_present_holders())
        if record.base[index] > even_amount:
            return True
        return record.base[index] < even_amount and self.base[index].free(now) > 0

    def _record_grant(self, holder: HolderName, record: HolderRecord, targets: list[int], now: float) -> Send:
        """Record a grant of the target leased amounts and of even base amounts, each reduced to what is free."""
        record.number += 1
        record.lease_ends_at = now + LEASE_SECONDS
        even_amount = compute_base_amount(self._count_present_holders())
        for index in _resource_indexes():
            base = self.base[index]
            record.base[index] = min(even_amount, base.outstanding(holder, now) + base.free(now))
            base.grant(holder, record.number, record.base[index], inf, now)
            leased = self.leased[index]
            record.lease[index] = min(targets[index], leased.outstanding(holder, now) + leased.free(now))
            leased.grant(holder, record.number, record.lease[index], record.lease_ends_at, now)
        self._apply_event(holder, HolderEvent.GRANT)
        return Send(holder, self._build_allocation(record))

    def _adopt_unknown_holder(self, holder: HolderName, allocation: Allocation, now: float) -> None:
        """Count the reported amounts of an unknown holder as outstanding, each reduced to what is free.

        Later grants do not depend on these amounts, because the next grant is newer than any that the holder has and
        replaces them.
        """
        for index in _resource_indexes():
            for ledger, amount, end in (
                (self.base[index], allocation.base[index], inf),
                (self.leased[index], allocation.lease[index], allocation.ends_at),
            ):
                ledger.grant(holder, 0, min(amount, ledger.free(now)), end, now)

    # The grant file.

    def _is_covered_by_file(self, send: Send) -> bool:
        """Return whether the last written grant file covers the amounts and the end of a grant."""
        covered = self.durable_amounts.get(send.holder)
        if covered is None or send.allocation.ends_at > self.durable_until:
            return False
        amounts = (*send.allocation.base, *send.allocation.lease)
        return all(amount <= maximum for amount, maximum in zip(amounts, covered, strict=True))

    def _prepare_write(self, now: float, sends: list[Send]) -> Write:
        # The file contains the largest amounts that can be in force, so that a reduction needs no write.
        self._file_version += 1
        self.durable_until = now + COVERED_PERIOD_SECONDS
        self.durable_amounts = {
            holder: tuple(ledger.outstanding(holder, now) for ledger in self._all_ledgers()) for holder in self.records
        }
        if sends:
            self._sends_by_version[self._file_version] = sends
        return Write(self._file_version)

    def clone(self) -> LeaseIssuer:
        """Return an independent issuer in the same state, for the model checker."""
        clone = copy.copy(self)
        clone.records = {
            holder: replace(record, base=list(record.base), lease=list(record.lease))
            for holder, record in self.records.items()
        }
        clone.base = [ledger.copy() for ledger in self.base]
        clone.leased = [ledger.copy() for ledger in self.leased]
        clone.durable_amounts = dict(self.durable_amounts)
        clone._sends_by_version = dict(self._sends_by_version)
        return clone

    def _count_present_holders(self) -> int:
        return sum(record.state is not HolderState.ABSENT for record in self.records.values())

    def _all_ledgers(self) -> Iterator[Ledger]:
        yield from self.base
        yield from self.leased

    def _build_allocation(self, record: HolderRecord) -> Allocation:
        return Allocation(self.epoch, record.number, tuple(record.base), tuple(record.lease), record.lease_ends_at)


def _resource_indexes() -> range:
    """Return the indexes of the resources in a sequence of amounts."""
    return range(len(Resource))
