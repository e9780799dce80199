"""The lease issuer: decides which allocation each holder has until when. Events in, actions out; no I/O, no clock.

A grant may be sent only after a grant file that allows for it was written (`Write`, confirmed by `on_written`), so that
the next issuer knows all that can be outstanding, whenever this process dies. All times are in s on the machine's
monotonic clock.
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
from thymeflow.leases.resources import BASE_POINTS, LEASED_POINTS, Resource, base_amount, divide_by_demand

LEASE_SECONDS = 4.0  # s: length of a lease; the longest that an unreachable holder uses its leased amounts
RENEWAL_FRACTION = 0.5  # of a lease: it is renewed when so much is left
COVERED_PERIOD_SECONDS = 8.0  # s: how far ahead the grant file covers leases, so that renewals need no write
REPORT_TTL_SECONDS = 2.0  # s: how long a report is valid, four report intervals; without one nothing new is leased
MIN_CHANGE_FRACTION = 0.02  # of the leased points, divided by the holders: smaller changes cause no grant

HolderName = str


@dataclass(frozen=True, slots=True)
class Write:
    """Write the grant file, then confirm this version with `LeaseIssuer.on_written` or `on_write_failed`."""

    version: int


@dataclass(frozen=True, slots=True)
class Send:
    """Send an allocation to a holder."""

    holder: HolderName
    allocation: Allocation


Action = Write | Send


class LeaseIssuer:
    """Divides all resources among the holders of one fleet."""

    def __init__(self, epoch: int, now: float) -> None:
        self.epoch = epoch
        self.records: dict[HolderName, HolderRecord] = {}
        self.base = [Ledger(BASE_POINTS) for _ in Resource]
        self.leased = [Ledger(LEASED_POINTS) for _ in Resource]
        self.durable_until = now  # leases up to this time are covered by the grant file
        self.durable_amounts: dict[HolderName, tuple[int, ...]] = {}  # covered by the file: base amounts, then leased
        self._fleet_size = 1
        self._file_version = 0
        self._sends_by_version: dict[int, list[Send]] = {}  # sends by the file version that must be written before
        self._first_grant_at = now  # before, leases of a lost grant file may be in force

    def get_or_create_record(self, holder: HolderName) -> HolderRecord:
        """Return the record of a holder, a new one if it is unknown."""
        return self.records.setdefault(holder, HolderRecord())

    def _move(self, holder: HolderName, event: HolderEvent) -> HolderRecord:
        record = self.get_or_create_record(holder)
        record.state = HOLDER_TRANSITIONS[record.state, event]
        return record

    # Events.

    def on_grants_lost(self, now: float) -> None:
        """Grant no base amounts, as unreachable holders may have any, and no leases until all lost ones expired."""
        self.base = [Ledger(0) for _ in Resource]
        self._first_grant_at = now + COVERED_PERIOD_SECONDS

    def resize(self, size: int) -> None:
        """Set the number of members that the fleet is meant to have."""
        self._fleet_size = max(1, size)

    def restore_grant(
        self, holder: HolderName, number: int, amounts: tuple[int, ...], until: float, now: float
    ) -> None:
        """Count what an earlier issuer's grant file allows for as outstanding, whether or not it was sent."""
        record = self._move(holder, HolderEvent.STARTING)
        record.number = number
        self.durable_amounts[holder] = amounts
        for ledger, amount in zip(self.base, amounts[: len(Resource)], strict=True):
            ledger.grant(holder, number, amount, inf, now)
        for ledger, amount in zip(self.leased, amounts[len(Resource) :], strict=True):
            ledger.grant(holder, number, amount, until, now)

    def on_starting(self, holder: HolderName, now: float) -> tuple[Allocation, Write]:
        """Return the allocation that a new process starts with; it may be used once the grant file is written.

        The base amounts are an even share at most, as far as they are free. A lease is granted once the process
        reports.
        """
        record = self._move(holder, HolderEvent.STARTING)
        record.number += 1
        even_amount = base_amount(max(self._fleet_size, self._present_count()))
        for index, ledger in enumerate(self.base):
            amount = min(even_amount, ledger.outstanding(holder, now) + ledger.free(now))
            ledger.grant(holder, record.number, amount, inf, now)
            record.base[index] = amount
        record.clear_lease()
        return self._allocation(record), self._write(now, [])

    def on_report(self, holder: HolderName, allocation: Allocation, demand: tuple[float, ...], now: float) -> None:
        """Handle a holder's report of the allocation that it has and of its demand by resource."""
        is_known = holder in self.records
        if allocation.epoch > self.epoch:
            self.epoch = allocation.epoch + 1  # a grant file was lost: new grants must be newer than those in use
        was_reporting = self.get_or_create_record(holder).is_reporting()
        record = self._move(holder, HolderEvent.REPORT)
        if not was_reporting:
            record.last_acknowledged_at = now
        if len(demand) == len(Resource):
            record.demand = demand
        record.reported = (allocation.epoch, allocation.number)
        record.last_report_at = now
        if not is_known:
            self._adopt_unknown(holder, allocation, now)
        if allocation.epoch == self.epoch and allocation.number >= record.number > 0:
            self._move(holder, HolderEvent.ACK)
            record.last_acknowledged_at = now
            for ledger in self._ledgers():
                ledger.acknowledge(holder, allocation.number)

    def on_disconnected(self, holder: HolderName) -> None:
        """Handle the end of a holder's connection, which does not mean that the holder has ended."""
        if holder in self.records and self.records[holder].state is not HolderState.ABSENT:
            self._move(holder, HolderEvent.UNRESPONSIVE)

    def on_death(self, holder: HolderName) -> None:
        """Free all that a holder had, as its process is known to have ended."""
        if holder in self.records:
            record = self._move(holder, HolderEvent.DEATH)
            for ledger in self._ledgers():
                ledger.release(holder)
            record.clear_amounts()

    def on_written(self, version: int) -> list[Send]:
        """Return the sends that waited for this version of the grant file, or an earlier one, to be durable."""
        versions = sorted(waiting for waiting in self._sends_by_version if waiting <= version)
        return [send for durable in versions for send in self._sends_by_version.pop(durable)]

    def on_write_failed(self, version: int) -> None:
        """Drop the sends that waited for this version, and send nothing more before another version is written."""
        self._sends_by_version.pop(version, None)
        self.durable_until = -inf

    # Division.

    def tick(self, now: float) -> list[Action]:
        """Divide by the reports that are valid now: reduce first, raise by what is free, renew what expires soon.

        Return the sends, or where the grant file does not cover all of them one `Write` for which they wait.
        """
        self._mark_unresponsive(now)
        if now < self._first_grant_at:
            return []
        sends = self._issue_grants(now)
        if not sends:
            return []
        if all(self._is_covered_by_file(send) for send in sends):
            return list(sends)
        return [self._write(now, sends)]

    def _mark_unresponsive(self, now: float) -> None:
        for holder, record in self.records.items():
            if record.is_reporting() and now - record.last_report_at > REPORT_TTL_SECONDS:
                self._move(holder, HolderEvent.UNRESPONSIVE)

    def _issue_grants(self, now: float) -> list[Send]:
        reporting = {holder: record for holder, record in self.records.items() if record.is_reporting()}
        wanted = self._divide_leases(reporting, now)
        changed = [holder for holder, record in reporting.items() if self._needs_grant(holder, record, wanted, now)]

        def increase(holder: HolderName) -> int:
            """Return by how much all leased amounts of a holder are to grow."""
            return sum(amounts[holder] for amounts in wanted) - sum(reporting[holder].lease)

        # Reductions are sent first; what they free is granted once it is known to be free.
        changed.sort(key=increase)
        return [
            self._grant(holder, reporting[holder], [amounts[holder] for amounts in wanted], now) for holder in changed
        ]

    def _divide_leases(self, reporting: dict[HolderName, HolderRecord], now: float) -> list[dict[HolderName, int]]:
        """Return the leased amounts that each reporting holder is to have, by resource."""
        # A holder whose reports arrive but which receives nothing would tie up what it is leased: it keeps its base
        # amounts until it acknowledges a grant again.
        not_receiving = {
            holder: 0
            for holder, record in reporting.items()
            if record.state is HolderState.GRANT_PENDING and now - record.last_acknowledged_at > LEASE_SECONDS
        }
        receiving = {holder: record for holder, record in reporting.items() if holder not in not_receiving}
        return [
            not_receiving
            | divide_by_demand(LEASED_POINTS, {holder: record.demand[index] for holder, record in receiving.items()})
            for index in range(len(Resource))
        ]

    def _needs_grant(
        self, holder: HolderName, record: HolderRecord, wanted: list[dict[HolderName, int]], now: float
    ) -> bool:
        expires_soon = record.lease_ends_at - now <= RENEWAL_FRACTION * LEASE_SECONDS
        if record.state is HolderState.GRANT_PENDING and not expires_soon:
            return False  # wait for its acknowledgement first
        if expires_soon or record.reported != (self.epoch, record.number):
            return True
        return any(self._is_change_worthwhile(index, record, wanted[index][holder], now) for index in _indexes())

    def _is_change_worthwhile(self, index: int, record: HolderRecord, wanted: int, now: float) -> bool:
        """Return whether the amounts of one resource are to change by enough for a grant."""
        change = wanted - record.lease[index]
        possible = self.leased[index].free(now) if change > 0 else -change
        if min(abs(change), possible) > MIN_CHANGE_FRACTION * LEASED_POINTS / max(1, len(self.records)):
            return True
        even_amount = base_amount(self._present_count())
        if record.base[index] > even_amount:
            return True
        return record.base[index] < even_amount and self.base[index].free(now) > 0

    def _grant(self, holder: HolderName, record: HolderRecord, wanted: list[int], now: float) -> Send:
        """Record a grant of the wanted leased amounts and even base amounts, as far as they are free."""
        record.number += 1
        record.lease_ends_at = now + LEASE_SECONDS
        even_amount = base_amount(self._present_count())
        for index in _indexes():
            base = self.base[index]
            record.base[index] = min(even_amount, base.outstanding(holder, now) + base.free(now))
            base.grant(holder, record.number, record.base[index], inf, now)
            leased = self.leased[index]
            record.lease[index] = min(wanted[index], leased.outstanding(holder, now) + leased.free(now))
            leased.grant(holder, record.number, record.lease[index], record.lease_ends_at, now)
        self._move(holder, HolderEvent.GRANT)
        return Send(holder, self._allocation(record))

    def _adopt_unknown(self, holder: HolderName, allocation: Allocation, now: float) -> None:
        """Count what an unknown holder reports as outstanding, as far as it is free.

        It is never a base for new grants: the next one, which is newer than all that the holder has, corrects it.
        """
        for index in _indexes():
            for ledger, amount, end in (
                (self.base[index], allocation.base[index], inf),
                (self.leased[index], allocation.lease[index], allocation.ends_at),
            ):
                ledger.grant(holder, 0, min(amount, ledger.free(now)), end, now)

    # The grant file.

    def _is_covered_by_file(self, send: Send) -> bool:
        """Return whether the grant file as it was last written allows for a grant."""
        covered = self.durable_amounts.get(send.holder)
        if covered is None or send.allocation.ends_at > self.durable_until:
            return False
        amounts = (*send.allocation.base, *send.allocation.lease)
        return all(amount <= maximum for amount, maximum in zip(amounts, covered, strict=True))

    def _write(self, now: float, sends: list[Send]) -> Write:
        # The file has the most that can be in force, so that reductions need no write.
        self._file_version += 1
        self.durable_until = now + COVERED_PERIOD_SECONDS
        self.durable_amounts = {
            holder: tuple(ledger.outstanding(holder, now) for ledger in self._ledgers()) for holder in self.records
        }
        if sends:
            self._sends_by_version[self._file_version] = sends
        return Write(self._file_version)

    # Small helpers.

    def clone(self) -> LeaseIssuer:
        """Return an independent issuer in the same state, for model checking."""
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

    def _present_count(self) -> int:
        return sum(record.state is not HolderState.ABSENT for record in self.records.values())

    def _ledgers(self) -> Iterator[Ledger]:
        yield from self.base
        yield from self.leased

    def _allocation(self, record: HolderRecord) -> Allocation:
        return Allocation(self.epoch, record.number, tuple(record.base), tuple(record.lease), record.lease_ends_at)


def _indexes() -> range:
    """Return the indexes of the resources in amounts."""
    return range(len(Resource))
