"""Who divides: what every holder may have until when. Events in, actions out; no I/O, no clock.

A holder is in one named state, and `MOVES` holds every legal change. A grant goes out only after the table with it was
written (`Write`, answered by `Written`): whoever comes after a death of this process knows all that can be out.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf

from thymeflow.leases.holder import Allocation
from thymeflow.leases.ledger import Ledger
from thymeflow.leases.resources import BASE, LENT, Resource, base_amount, divide_by_demand

LEASE = 4.0  # s: a lease's length; what a holder that cannot be reached keeps for itself at most
RENEW = 0.5  # of it: renewed when so much is left
WRITTEN = 8.0  # s: how far ahead the table is written, so that renewals need no write of their own
HEARD = 2.0  # s: whoever has said nothing for longer is not lent anew; four of the words that members say
COARSE = 0.02  # of the pool: smaller changes of a part are not worth a grant


class State(Enum):
    """Where a holder is."""

    ABSENT = "absent"  # no process is known, and nothing is out
    UNHEARD = "unheard"  # something may be out, and nobody has spoken yet
    HELD = "held"  # it speaks, and has what was granted last
    ASKED = "asked"  # it speaks, and has not said yet that it has what was granted last


class Move(Enum):
    """What may happen to a holder."""

    BORN = "born"  # a process is being started under its name
    SPEAKS = "speaks"
    GRANT = "grant"
    ACK = "ack"
    SILENT = "silent"
    DIES = "dies"  # known: its process has ended, by the kernel's word


MOVES: dict[tuple[State, Move], State] = {
    (State.ABSENT, Move.BORN): State.UNHEARD,
    (State.ABSENT, Move.DIES): State.ABSENT,
    (State.ABSENT, Move.SPEAKS): State.HELD,
    (State.UNHEARD, Move.BORN): State.UNHEARD,
    (State.UNHEARD, Move.SPEAKS): State.HELD,
    (State.UNHEARD, Move.SILENT): State.UNHEARD,
    (State.UNHEARD, Move.DIES): State.ABSENT,
    (State.HELD, Move.SPEAKS): State.HELD,
    (State.HELD, Move.GRANT): State.ASKED,
    (State.HELD, Move.ACK): State.HELD,
    (State.HELD, Move.SILENT): State.UNHEARD,
    (State.HELD, Move.DIES): State.ABSENT,
    (State.ASKED, Move.SPEAKS): State.ASKED,
    (State.ASKED, Move.GRANT): State.ASKED,
    (State.ASKED, Move.ACK): State.HELD,
    (State.ASKED, Move.SILENT): State.UNHEARD,
    (State.ASKED, Move.DIES): State.ABSENT,
}


@dataclass(frozen=True, slots=True)
class Write:
    """Write the table; `Granter.written` is told once it is durable."""

    version: int


@dataclass(frozen=True, slots=True)
class Send:
    """Send a part to a holder."""

    holder: str
    part: Allocation


Action = Write | Send


@dataclass(slots=True)
class Row:
    """What is known of one holder."""

    state: State = State.ABSENT
    number: int = 0  # of its newest grant
    base: list[int] = field(default_factory=lambda: [0] * len(Resource))
    lease: list[int] = field(default_factory=lambda: [0] * len(Resource))
    end: float = 0.0
    demand: tuple[float, ...] = (0.0,) * len(Resource)
    told: tuple[int, int] = (-1, -1)  # era and number that it said it has
    heard: float = -inf
    answered: float = -inf  # when it last had what was granted, or began to speak


class LeaseIssuer:
    """The division of all kinds among the holders of one fleet."""

    def __init__(self, era: int, now: float) -> None:
        self.epoch, self.size = era, 1
        self.rows: dict[str, Row] = {}
        self.base = [Ledger(BASE) for _ in Resource]
        self.lent = [Ledger(LENT) for _ in Resource]
        self.version = 0  # of the table
        self.durable_until = now  # how far ahead it is written
        self._waiting: dict[int, list[Send]] = {}  # sends that wait for a version to be durable
        self.still = now  # nothing is granted before: leases of a lost table
        self.durable_amounts: dict[str, tuple[int, ...]] = {}  # what the table allows for: bases, then leases

    def row(self, holder: str) -> Row:
        """Its row, a new one where it was never heard of."""
        return self.rows.setdefault(holder, Row())

    def _move(self, holder: str, move: Move) -> Row:
        row = self.row(holder)
        row.state = MOVES[row.state, move]
        return row

    # --- what happens --------------------------------------------------------------------------------------

    def on_grants_lost(self, now: float) -> None:
        """Grant no base, as silent holders may have any of the lost table, and no lease for a while."""
        self.base, self.still = [Ledger(0) for _ in Resource], now + WRITTEN

    def resize(self, size: int) -> None:
        """The fleet is to have so many places."""
        self.size = max(1, size)

    def restore_grant(self, holder: str, number: int, noted: tuple[int, ...], until: float, now: float) -> None:
        """What an earlier granter's table allows for: it may all be out, whether it was sent or not."""
        row = self._move(holder, Move.BORN)
        row.number, self.durable_amounts[holder] = number, noted
        for place, ledger in enumerate((*self.base, *self.lent)):
            ledger.grant(holder, number, noted[place], inf if place < len(Resource) else until, now)

    def on_starting(self, holder: str, now: float) -> tuple[Allocation, Write]:
        """A process is about to be started: the part that it starts with, once that is written.

        Its base is what is free of the reserve, at most an even one; a lease comes once it speaks.
        """
        row = self._move(holder, Move.BORN)
        row.number += 1
        for place, ledger in enumerate(self.base):
            amount = min(base_amount(max(self.size, self._there())), ledger.out(holder, now) + ledger.free(now))
            ledger.grant(holder, row.number, amount, inf, now)
            row.base[place] = amount
        row.lease, row.end = [0] * len(Resource), 0.0
        return Allocation(self.epoch, row.number, tuple(row.base), tuple(row.lease), row.end), self._write(now, [])

    def _there(self) -> int:
        return sum(row.state is not State.ABSENT for row in self.rows.values())

    def on_report(self, holder: str, part: Allocation, demand: tuple[float, ...], now: float) -> None:
        """A holder says what it has and how much it asks."""
        known = holder in self.rows
        if part.epoch > self.epoch:
            self.epoch = part.epoch + 1  # a table was lost: what is granted has to be newer than what is held
        spoke = self.row(holder).state in (State.HELD, State.ASKED)
        row = self._move(holder, Move.SPEAKS)
        row.answered = row.answered if spoke else now
        row.demand = demand if len(demand) == len(Resource) else row.demand
        row.told, row.heard = (part.epoch, part.number), now
        if not known:
            self._claimed(holder, row, part, now)
        if part.epoch == self.epoch and part.number >= row.number > 0:
            self._move(holder, Move.ACK)
            row.answered = now
            for ledger in (*self.base, *self.lent):
                ledger.acked(holder, part.number)

    def _claimed(self, holder: str, row: Row, part: Allocation, now: float) -> None:
        # Nobody has a note of it. What it says it holds is counted as far as there is room, and never granted from:
        # the next grant, which is newer than anything it has, puts it right.
        for place in range(len(Resource)):
            for ledger, amount, end in (
                (self.base[place], part.base[place], inf),
                (self.lent[place], part.lease[place], part.ends_at),
            ):
                ledger.grant(holder, 0, min(amount, ledger.free(now)), end, now)

    def on_disconnected(self, holder: str) -> None:
        """The line to a holder has ended, which says nothing of the holder."""
        if holder in self.rows and self.rows[holder].state is not State.ABSENT:
            self._move(holder, Move.SILENT)

    def on_death(self, holder: str) -> None:
        """A holder's process has ended, by the kernel's word: all that it had is free."""
        if holder in self.rows:
            self._move(holder, Move.DIES)
            for ledger in (*self.base, *self.lent):
                ledger.dead(holder)
            row = self.rows[holder]
            row.base, row.lease, row.end = [0] * len(Resource), [0] * len(Resource), 0.0

    def on_written(self, version: int) -> list[Send]:
        """The table of that version is written, so that it outlives this process: what waited for it may go."""
        due = [v for v in self._waiting if v <= version]
        return [send for v in sorted(due) for send in self._waiting.pop(v)]

    def on_write_failed(self, version: int) -> None:
        """The table of that version could not be written: what waited for it is not sent, and nothing is covered."""
        self._waiting.pop(version, None)
        self.durable_until = -inf

    # --- the division --------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Action]:
        """Divide by what is known now: lower first, raise by what is free, renew what ends soon."""
        for holder, row in self.rows.items():
            if row.state in (State.HELD, State.ASKED) and now - row.heard > HEARD:
                self._move(holder, Move.SILENT)
        if now < self.still:
            return []
        speaking = {h: r for h, r in self.rows.items() if r.state in (State.HELD, State.ASKED)}
        # Who speaks and does not hear would tie up what it is lent anew: it keeps its base until it has a grant again.
        deaf = {h: 0 for h, r in speaking.items() if r.state is State.ASKED and now - r.answered > LEASE}
        wanted = [
            deaf | divide_by_demand(LENT, {h: r.demand[place] for h, r in speaking.items() if h not in deaf})
            for place in range(len(Resource))
        ]
        sends: list[Send] = []
        lowered = [h for h, r in speaking.items() if self._wants(h, r, wanted, now)]
        # Who is to have less is told first; what that frees is granted once it is known to be free.
        for holder in sorted(lowered, key=lambda h: sum(w[h] for w in wanted) - sum(speaking[h].lease)):
            sends.append(self._grant(holder, speaking[holder], [w[holder] for w in wanted], now))
        if not sends:
            return []
        if all(self._covered(send) for send in sends):
            return list(sends)  # what is written already allows for all of it
        return [self._write(now, sends)]

    def _covered(self, send: Send) -> bool:
        noted = self.durable_amounts.get(send.holder)
        return (
            noted is not None
            and send.part.ends_at <= self.durable_until
            and all(amount <= most for amount, most in zip((*send.part.base, *send.part.lease), noted, strict=True))
        )

    def _write(self, now: float, sends: list[Send]) -> Write:
        # Written is the most that can be in force, so that what a holder gives up later needs no write.
        self.version, self.durable_until = self.version + 1, now + WRITTEN
        self.durable_amounts = {h: tuple(ledger.out(h, now) for ledger in (*self.base, *self.lent)) for h in self.rows}
        if sends:
            self._waiting[self.version] = sends
        return Write(self.version)

    def _wants(self, holder: str, row: Row, wanted: list[dict[str, int]], now: float) -> bool:
        if row.state is State.ASKED and row.end - now > RENEW * LEASE:
            return False  # let it answer first
        if row.end - now <= RENEW * LEASE or row.told != (self.epoch, row.number):
            return True
        even = base_amount(self._there())
        for place in range(len(Resource)):
            change = wanted[place][holder] - row.lease[place]
            room = self.lent[place].free(now) if change > 0 else -change
            if min(abs(change), room) > COARSE * LENT / max(1, len(self.rows)):
                return True
            if row.base[place] > even or (row.base[place] < even and self.base[place].free(now) > 0):
                return True
        return False

    def _grant(self, holder: str, row: Row, wanted: list[int], now: float) -> Send:
        row.number += 1
        row.end = now + LEASE
        for place in range(len(Resource)):
            base, lent = self.base[place], self.lent[place]
            row.base[place] = min(base_amount(self._there()), base.out(holder, now) + base.free(now))
            base.grant(holder, row.number, row.base[place], inf, now)
            row.lease[place] = min(wanted[place], lent.out(holder, now) + lent.free(now))
            lent.grant(holder, row.number, row.lease[place], row.end, now)
        self._move(holder, Move.GRANT)
        return Send(holder, Allocation(self.epoch, row.number, tuple(row.base), tuple(row.lease), row.end))
