"""Adapters of the lease traces for issuer, holders and ledger; only this module names their classes and methods."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from thymeflow.leases import grant_file
from thymeflow.leases.allocation import Allocation, allocation_from_message, allocation_to_message
from thymeflow.leases.errors import OverAllocationError
from thymeflow.leases.holder import LeaseHolder
from thymeflow.leases.holder_state import HolderState
from thymeflow.leases.issuer import Write
from thymeflow.leases.ledger import Ledger
from thymeflow.leases.resources import Resource

FLEET = "fleet"
Message = dict[str, Any]

STATE_LABELS = {
    HolderState.ABSENT: "absent",
    HolderState.NOT_REPORTING: "unheard",
    HolderState.ACKNOWLEDGED: "held",
    HolderState.GRANT_PENDING: "asked",
}
RESOURCE_COUNT = len(Resource)


def new_ledger(total: int) -> Ledger:
    """Return an empty ledger with this total."""
    return Ledger(total)


def ledger_steps(ledger: Ledger) -> dict[str, Callable[[str, int, int, float, float], None]]:
    """Return the changes of a ledger by label; each takes a holder, a number, an amount, an end and the time."""
    return {
        "grant": lambda holder, number, amount, end, now: ledger.grant(holder, number, amount, end, now),
        "acknowledge": lambda holder, number, amount, end, now: ledger.acknowledge(holder, number),
        "dead": lambda holder, number, amount, end, now: ledger.release(holder),
    }


def ledger_view(ledger: Ledger, holders: str, now: float) -> list[Any]:
    """Return the free amount, and the outstanding amount and the newest grant of each holder."""
    return [ledger.free(now), [[ledger.outstanding(h, now), ledger.newest_amount(h)] for h in holders]]


def is_over_total(call: Callable[[], None]) -> bool:
    """Return whether the ledger rejects a change because it would exceed the total."""
    try:
        call()
    except OverAllocationError:
        return True
    return False


class Member:
    """The processes of a member, newest last, each as the holder of an allocation."""

    def __init__(self) -> None:
        self.holders: list[LeaseHolder] = []
        self.is_stopped = False
        self.demand = [1.0] * RESOURCE_COUNT

    def start(self, message: Message) -> None:
        """Replace all processes by one that starts with this allocation."""
        self.holders = [LeaseHolder(allocation_from_message(message))]

    def hand_over(self) -> None:
        """Start a successor process, which inherits the allocation."""
        self.holders.append(LeaseHolder(self.holders[-1].hand_over()))

    def hand_back(self) -> None:
        """End the successor; its predecessor continues with an empty allocation of the same epoch and number."""
        self.holders.pop()
        last = self.holders[-1]
        last.allocation = Allocation(last.allocation.epoch, last.allocation.number)
        last.take_back()

    def on_grant(self, message: Message) -> bool:
        """Handle a grant and return whether the member uses it."""
        return self.holders[-1].on_grant(allocation_from_message(message))

    def message(self) -> Message:
        """Return the allocation of the newest process in its message form."""
        return allocation_to_message(self.holders[-1].allocation)

    def in_force(self, now: float) -> list[int]:
        """Return the amounts that the member's processes may use, by resource."""
        return [sum(holder.usable_amount(resource, now) for holder in self.holders) for resource in Resource]


class Issuer:
    """The lease issuer with its grant file."""

    def __init__(self, path: Path, now: float, has_members: bool) -> None:
        self.path = path
        self.issuer, error = grant_file.read(path, FLEET, now, has_members)
        self.is_faulty = bool(error)

    def set_size(self, size: int) -> None:
        """Set the configured number of members."""
        self.issuer.resize(size)

    def start_member(self, name: str, now: float) -> Message:
        """Return the allocation with which a new process of this name starts."""
        if STATE_LABELS[self.issuer.get_or_create_record(name).state] in ("held", "asked"):
            self.issuer.on_disconnected(name)
        allocation, _ = self.issuer.on_starting(name, now)
        self.write_file()
        return allocation_to_message(allocation)

    def on_report(self, name: str, message: Message, demand: tuple[float, ...], now: float) -> None:
        """Handle a member's report."""
        self.issuer.on_report(name, allocation_from_message(message), demand, now)

    def on_disconnected(self, name: str) -> None:
        """Handle the end of the connection to a member."""
        self.issuer.on_disconnected(name)

    def on_death(self, name: str) -> None:
        """Handle the end of all processes of a member."""
        self.issuer.on_death(name)

    def tick(self, now: float, write: str) -> list[tuple[str, Any]]:
        """Run one tick and return its grants and its versions of the grant file.

        `write` is the result of writing the file: "done", "fails", or "left" if the issuer dies before the write.
        """
        output: list[tuple[str, Any]] = []
        for action in self.issuer.tick(now):
            if not isinstance(action, Write):
                output.append((action.holder, allocation_to_message(action.allocation)))
                continue
            output.append(("write", action.version))
            if write == "fails":
                self.issuer.on_write_failed(action.version)
            elif write == "done":
                self.write_file()
                sends = self.issuer.on_written(action.version)
                output.extend((send.holder, allocation_to_message(send.allocation)) for send in sends)
        return output

    def write_file(self) -> None:
        """Write the grant file."""
        self.path.write_bytes(grant_file.pack(self.issuer, FLEET))

    def view(self, now: float) -> list[Any]:
        """Return the epoch, the records, and the outstanding and free amounts of each ledger."""
        ledgers = (*self.issuer.base, *self.issuer.leased)
        rows = [
            [
                name,
                STATE_LABELS[record.state],
                record.number,
                record.base,
                record.lease,
                record.lease_ends_at,
                list(record.reported),
                list(record.demand),
            ]
            for name, record in sorted(self.issuer.records.items())
        ]
        outstanding = [[ledger.outstanding(name, now) for ledger in ledgers] for name in sorted(self.issuer.records)]
        return [self.issuer.epoch, rows, outstanding, [ledger.free(now) for ledger in ledgers]]


def is_rejected(message: Any) -> bool:
    """Return whether a message is rejected as the form of an allocation."""
    try:
        allocation_from_message(message)
    except ValueError:
        return True
    return False
