"""A model of one lease issuer and three holders, with all that may happen between them, for the model checker.

Messages are lost, repeated, delayed and reordered; holders die, are started, are paused, and hand over to a next
process; the issuer dies before and after its grant file is written, and another one takes over. Time advances in halves
of a lease.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import partial
from math import inf

from thymeflow.leases.holder import Allocation, LeaseHolder
from thymeflow.leases.issuer import (
    COVERED_PERIOD_SECONDS,
    LEASE_SECONDS,
    REPORT_TTL_SECONDS,
    HolderState,
    LeaseIssuer,
    Send,
    Write,
)
from thymeflow.leases.resources import TOTAL_POINTS, Resource

HOLDERS = ("a", "b", "c")
PREDECESSOR_HOLDER = "a"  # the one that hands over to a next process
PAUSABLE_HOLDER = "b"
DEMAND = {"a": (4.0,) * len(Resource), "b": (1.0,) * len(Resource), "c": (0.0,) * len(Resource)}
SWAPPED_DEMAND = {"a": DEMAND["b"], "b": DEMAND["a"], "c": DEMAND["c"]}
MAX_MESSAGES = 2  # on their way in each direction; further ones are lost
TIME_STEP_SECONDS = LEASE_SECONDS / 2
CHECKED_DELAYS_SECONDS = (0.0, LEASE_SECONDS / 2, LEASE_SECONDS)


class IssuerDeath(Enum):
    """When the issuer dies in a tick."""

    NEVER = "never"
    BEFORE_WRITE = "before its grant file is written"
    AFTER_WRITE = "after its grant file is written"


@dataclass
class GrantFile:
    """The grant file as it is on the disk."""

    epoch: int = 0
    covered_until: float = 0.0
    rows: dict[str, tuple[int, tuple[int, ...]]] = field(default_factory=dict)  # by holder: number and amounts


Step = tuple[str, Callable[["LeaseModel"], object]]


class LeaseModel:
    """The state of issuer, holders, messages and disk; a `Model` of the model checker."""

    def __init__(self) -> None:
        self.now = 0.0
        self.grant_file = GrantFile()
        self.issuer: LeaseIssuer | None = None
        self.processes: dict[str, list[LeaseHolder]] = {name: [] for name in HOLDERS}  # the last one is in charge
        self.paused: set[str] = set()
        self.grants: list[tuple[str, Allocation]] = []  # on their way to holders
        self.reports: list[tuple[str, Allocation]] = []  # on their way to the issuer
        self.is_demand_swapped = False
        self.take_over()

    @classmethod
    def all_running(cls) -> LeaseModel:
        """Return a model in which all three holders run and have acknowledged what was divided among them."""
        model = cls()
        for name in HOLDERS:
            model.start(name)
        for name in HOLDERS * 3:
            model.report(name)
            model.tick()
            while model.grants:
                model.deliver_grant(0)
        for name in HOLDERS:
            model.report(name)
        return model

    def copy(self) -> LeaseModel:
        """Return an independent model in the same state; by hand, as it is called a million times."""
        model = copy.copy(self)
        model.grant_file = replace(self.grant_file, rows=dict(self.grant_file.rows))
        model.processes = {
            name: [copy.copy(process) for process in processes] for name, processes in self.processes.items()
        }
        model.paused = set(self.paused)
        model.grants = list(self.grants)
        model.reports = list(self.reports)
        if self.issuer is not None:
            model.issuer = self.issuer.clone()
        return model

    # Steps of the issuer.

    def _live_issuer(self) -> LeaseIssuer:
        assert self.issuer is not None
        return self.issuer

    def take_over(self) -> None:
        """Start an issuer from the grant file; the kernel shows it which holders are dead."""
        issuer = LeaseIssuer(self.grant_file.epoch + 1, self.now)
        self.issuer = issuer
        issuer.resize(len(HOLDERS))
        covered_until = min(self.grant_file.covered_until, self.now + COVERED_PERIOD_SECONDS)
        for name, (number, amounts) in self.grant_file.rows.items():
            issuer.restore_grant(name, number, amounts, covered_until, self.now)
            if not self.processes[name]:
                issuer.on_death(name)

    def _write_grant_file(self) -> None:
        issuer = self._live_issuer()
        rows = {
            name: (record.number, issuer.durable_amounts[name])
            for name, record in issuer.records.items()
            if record.state is not HolderState.ABSENT and name in issuer.durable_amounts
        }
        self.grant_file = GrantFile(issuer.epoch, issuer.durable_until, rows)

    def tick(self, death: IssuerDeath = IssuerDeath.NEVER) -> None:
        """Have the issuer divide the resources, and die during it where that is wanted."""
        issuer = self._live_issuer()
        survives = death is IssuerDeath.NEVER
        for action in issuer.tick(self.now):
            if isinstance(action, Write):
                if death is IssuerDeath.BEFORE_WRITE:
                    break
                self._write_grant_file()
                if survives:
                    for send in issuer.on_written(action.version):
                        self._send_grant(send)
            elif survives:
                self._send_grant(action)
        if not survives:
            self.issuer = None

    def _send_grant(self, send: Send) -> None:
        if len(self.grants) < MAX_MESSAGES:
            self.grants.append((send.holder, send.allocation))

    # Steps of holders.

    def start(self, name: str) -> None:
        """Start a process under a name whose last process is dead."""
        allocation, _ = self._live_issuer().on_starting(name, self.now)
        self._write_grant_file()
        self.processes[name] = [LeaseHolder(allocation)]

    def die(self, name: str) -> None:
        """End all processes of a name."""
        self.processes[name] = []
        self.paused.discard(name)
        self.reports = [report for report in self.reports if report[0] != name]  # reports of the dead are ignored
        if self.issuer is not None:
            self.issuer.on_death(name)

    def disconnect(self, name: str) -> None:
        """End a holder's connection, while the holder goes on."""
        self._live_issuer().on_disconnected(name)

    def hand_over(self, name: str) -> None:
        """Start a next process, which takes the allocation over from the one in charge."""
        self.processes[name].append(LeaseHolder(self.processes[name][-1].hand_over()))

    def toggle_pause(self, name: str) -> None:
        """Pause or resume a holder."""
        self.paused ^= {name}

    def send_report(self, name: str) -> None:
        """Have a holder report its allocation; the report arrives later."""
        self.reports.append((name, self.processes[name][-1].allocation))

    def report(self, name: str) -> None:
        """Have a holder report its allocation, which arrives at once."""
        self.send_report(name)
        self.deliver_report(len(self.reports) - 1)

    # Steps of messages and time.

    def deliver_grant(self, index: int, *, is_repeated: bool = False) -> None:
        """Deliver a grant; `is_repeated`: it will arrive once more."""
        name, allocation = self.grants[index] if is_repeated else self.grants.pop(index)
        if self.processes[name] and name not in self.paused:
            self.processes[name][-1].on_grant(allocation)

    def lose_grant(self, index: int) -> None:
        """Lose a grant on its way."""
        self.grants.pop(index)

    def deliver_report(self, index: int) -> None:
        """Deliver a report."""
        name, allocation = self.reports.pop(index)
        if self.issuer is not None:
            demand = SWAPPED_DEMAND if self.is_demand_swapped else DEMAND
            self.issuer.on_report(name, allocation, demand[name], self.now)

    def advance_time(self) -> None:
        """Advance the time by half a lease."""
        self.now += TIME_STEP_SECONDS

    def swap_demand(self) -> None:
        """Exchange the demands of two holders."""
        self.is_demand_swapped = not self.is_demand_swapped

    def steps(self) -> Iterator[Step]:
        """Return all steps that may come next."""
        if self.issuer is None:
            yield "take over", LeaseModel.take_over
        else:
            yield "tick", LeaseModel.tick
            yield "tick, dies unwritten", partial(LeaseModel.tick, death=IssuerDeath.BEFORE_WRITE)
            yield "tick, dies written", partial(LeaseModel.tick, death=IssuerDeath.AFTER_WRITE)
        yield "advance time", LeaseModel.advance_time
        yield "swap demand", LeaseModel.swap_demand
        for name in HOLDERS:
            if self.processes[name]:
                yield from self._holder_steps(name)
            elif self.issuer is not None:
                yield f"start {name}", partial(LeaseModel.start, name=name)
        for index in range(len(self.grants)):
            yield f"grant {index}", partial(LeaseModel.deliver_grant, index=index)
            yield f"grant {index}, again later", partial(LeaseModel.deliver_grant, index=index, is_repeated=True)
            yield f"grant {index} lost", partial(LeaseModel.lose_grant, index=index)
        for index in range(len(self.reports)):
            yield f"delayed report {index}", partial(LeaseModel.deliver_report, index=index)

    def _holder_steps(self, name: str) -> Iterator[Step]:
        yield f"die {name}", partial(LeaseModel.die, name=name)
        if self.issuer is not None:
            yield f"report {name}", partial(LeaseModel.report, name=name)
            yield f"disconnect {name}", partial(LeaseModel.disconnect, name=name)
        has_report_on_its_way = any(holder == name for holder, _ in self.reports)
        if len(self.reports) < MAX_MESSAGES and not has_report_on_its_way:
            yield f"send report {name}", partial(LeaseModel.send_report, name=name)
        if len(self.processes[name]) == 1 and name == PREDECESSOR_HOLDER:
            yield f"hand over {name}", partial(LeaseModel.hand_over, name=name)
        if name == PAUSABLE_HOLDER:
            yield f"pause or resume {name}", partial(LeaseModel.toggle_pause, name=name)

    # The invariant, and what makes two states equal.

    def violation(self) -> str:
        """Describe where more is in force than there is, now or at any later time though nothing more arrives."""
        for resource in Resource:
            for delay_seconds in CHECKED_DELAYS_SECONDS:
                usable = {
                    name: sum(process.usable_amount(resource, self.now + delay_seconds) for process in processes)
                    for name, processes in self.processes.items()
                }
                if sum(usable.values()) > TOTAL_POINTS:
                    return f"{resource.value}: {usable} at {self.now + delay_seconds:g} s"
        return ""

    def fingerprint(self) -> Hashable:
        """Return all that makes a difference; times as distances from now."""
        return (
            None if self.issuer is None else self._issuer_fingerprint(self.issuer),
            self.grant_file.epoch,
            max(0.0, self.grant_file.covered_until - self.now),
            tuple(sorted(self.grant_file.rows.items())),
            tuple(
                tuple((self._allocation_fingerprint(p.allocation), p.is_handed_over) for p in self.processes[name])
                for name in HOLDERS
            ),
            frozenset(self.paused),
            self.is_demand_swapped,
            tuple((name, self._allocation_fingerprint(allocation)) for name, allocation in self.grants),
            tuple((name, self._allocation_fingerprint(allocation)) for name, allocation in self.reports),
        )

    def _allocation_fingerprint(self, allocation: Allocation) -> Hashable:
        remaining_seconds = max(0.0, allocation.ends_at - self.now)
        return (allocation.epoch, allocation.number, allocation.base[0], allocation.lease[0], remaining_seconds)

    def _issuer_fingerprint(self, issuer: LeaseIssuer) -> Hashable:
        records = sorted(
            (
                name,
                record.state.value,
                record.number,
                record.base[0],
                record.lease[0],
                max(0.0, record.lease_ends_at - self.now),
                record.reported,
                record.demand[0],
                max(0.0, record.last_report_at + REPORT_TTL_SECONDS - self.now),
                max(0.0, record.last_acknowledged_at + LEASE_SECONDS - self.now),
            )
            for name, record in issuer.records.items()
        )
        outstanding = sorted(
            (name, grant.number, grant.amount, grant.ends_at if grant.ends_at == inf else grant.ends_at - self.now)
            for ledger in (issuer.base[0], issuer.leased[0])
            for name, grants in ledger.grants.items()
            for grant in grants
            if grant.ends_at > self.now
        )
        return (issuer.epoch, max(0.0, issuer.durable_until - self.now), tuple(records), tuple(outstanding))
