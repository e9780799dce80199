"""One granter and three holders as minds, with all that may happen between them, for `lab.explore`.

Messages are lost, come twice, late and in any order; holders die, are started, sleep, and hand on to a next life; the
granter dies before and after its table is written, and another comes after it. Time goes on in halves of a lease.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field, replace
from math import inf

from thymeflow.leases.holder import Allocation, LeaseHolder
from thymeflow.leases.issuer import (
    COVERED_PERIOD_SECONDS,
    LEASE_SECONDS,
    REPORT_TTL_SECONDS,
    HolderEvent,
    HolderState,
    LeaseIssuer,
    Send,
    Write,
)
from thymeflow.leases.ledger import Ledger
from thymeflow.leases.resources import TOTAL_POINTS, Resource
from thymeflow.testkit.model_checker import explored

NAMES = ("a", "b", "c")
DEMAND = {"a": (4.0,) * len(Resource), "b": (1.0,) * len(Resource), "c": (0.0,) * len(Resource)}
OTHERWISE = {"a": DEMAND["b"], "b": DEMAND["a"], "c": DEMAND["c"]}
MOST_MAIL = 2  # messages on the way, more are lost


@dataclass
class Disk:
    """The table as it is on the disk."""

    era: int = 0
    until: float = 0.0
    rows: dict[str, tuple[int, tuple[int, ...]]] = field(default_factory=dict)


class Model:
    """The world; see `lab.explore.World`."""

    def __init__(self) -> None:
        self.now, self.disk = 0.0, Disk()
        self.granter: LeaseIssuer | None = None
        self.lives: dict[str, list[LeaseHolder]] = {name: [] for name in NAMES}  # the last one has the name
        self.asleep: set[str] = set()
        self.down: list[tuple[str, Allocation]] = []  # parts on their way to holders
        self.up: list[tuple[str, Allocation]] = []  # words of holders on their way to the granter
        self.swapped = False  # who asks most is another
        self.take_over()

    @classmethod
    def running(cls) -> Model:
        """All three run, and have what was divided among them."""
        made = cls()
        for name in NAMES:
            made.start(name)
        for name in NAMES * 3:
            made.tell(name)
            made.beat()
            while made.down:
                made.told(0, False)
        for name in NAMES:
            made.tell(name)
        return made

    def copied(self) -> Model:
        """Another world, as this one is; by hand, as it is done a million times."""
        made = copy.copy(self)
        made.disk = replace(self.disk, rows=dict(self.disk.rows))
        made.lives = {name: [copy.copy(life) for life in lives] for name, lives in self.lives.items()}
        made.asleep, made.down, made.up = set(self.asleep), list(self.down), list(self.up)
        if self.granter is not None:
            made.granter = granter = copy.copy(self.granter)
            granter.records = {
                h: replace(r, base=list(r.base), lease=list(r.lease)) for h, r in granter.records.items()
            }
            granter.base, granter.leased = [x.copy() for x in granter.base], [x.copy() for x in granter.leased]
            granter._sends_by_version, granter.durable_amounts = (
                dict(granter._sends_by_version),
                dict(granter.durable_amounts),
            )
        return made

    # --- what may happen -----------------------------------------------------------------------------------

    def take_over(self) -> None:
        """A granter begins, by the table on the disk; it knows who is dead by the kernel's word."""
        self.granter = made = LeaseIssuer(self.disk.era + 1, self.now)
        made.resize(len(NAMES))
        for name, (number, noted) in self.disk.rows.items():
            made.restore_grant(name, number, noted, min(self.disk.until, self.now + COVERED_PERIOD_SECONDS), self.now)
            if not self.lives[name]:
                made.on_death(name)

    def write(self) -> None:
        """Its table is written."""
        made = self.granter
        assert made is not None
        self.disk = Disk(
            made.epoch,
            made.durable_until,
            {
                name: (row.number, made.durable_amounts[name])
                for name, row in made.records.items()
                if row.state is not HolderState.ABSENT and name in made.durable_amounts
            },
        )

    def beat(self, dies: str = "") -> None:
        """It divides; `dies`: before its table is written, or after."""
        made = self.granter
        assert made is not None
        for action in made.tick(self.now):
            if isinstance(action, Write):
                if dies == "before":
                    break
                self.write()
                for send in () if dies else made.on_written(action.version):
                    self._post(send)
            elif not dies:
                self._post(action)
        if dies:
            self.granter = None

    def _post(self, send: Send) -> None:
        if len(self.down) < MOST_MAIL:
            self.down.append((send.holder, send.allocation))

    def start(self, name: str) -> None:
        """A process is started under a name whose last one is dead."""
        made = self.granter
        assert made is not None
        part, _ = made.on_starting(name, self.now)
        self.write()
        self.lives[name] = [LeaseHolder(part)]

    def die(self, name: str) -> None:
        """All processes of a name end."""
        self.lives[name] = []
        self.asleep.discard(name)
        self.up = [(n, part) for n, part in self.up if n != name]  # what is told of a life that is over counts not
        if self.granter is not None:
            self.granter.on_death(name)

    def hand_over(self, name: str) -> None:
        """A next life takes over; the one before goes on with what it took."""
        self.lives[name].append(LeaseHolder(self.lives[name][-1].hand_over()))

    def speak(self, name: str) -> None:
        """A holder says what it has; it arrives later."""
        self.up.append((name, self.lives[name][-1].allocation))

    def tell(self, name: str) -> None:
        """A holder says what it has, and is heard."""
        self.speak(name)
        self.heard(len(self.up) - 1)

    def told(self, place: int, keep: bool) -> None:
        """A part arrives; `keep`: and will once more."""
        name, part = self.down[place] if keep else self.down.pop(place)
        if self.lives[name] and name not in self.asleep:
            self.lives[name][-1].on_grant(part)

    def heard(self, place: int) -> None:
        """What a holder said arrives."""
        name, part = self.up.pop(place)
        if self.granter is not None:
            self.granter.on_report(name, part, (OTHERWISE if self.swapped else DEMAND)[name], self.now)

    def steps(self) -> Iterable[tuple[str, Callable[[Model], None]]]:
        """All that may happen next."""
        if self.granter is None:
            yield "take over", Model.take_over
        else:
            yield "beat", Model.beat
            yield "beat, dies unwritten", lambda w: w.beat("before")
            yield "beat, dies written", lambda w: w.beat("after")
        yield "time", lambda w: setattr(w, "now", w.now + LEASE_SECONDS / 2)
        yield "swap", lambda w: setattr(w, "swapped", not w.swapped)
        for name in NAMES:
            if not self.lives[name]:
                if self.granter is not None:
                    yield f"start {name}", lambda w, name=name: w.start(name)  # type: ignore[misc]
                continue
            yield f"die {name}", lambda w, name=name: w.die(name)  # type: ignore[misc]
            if self.granter is not None:
                yield f"tell {name}", lambda w, name=name: w.tell(name)  # type: ignore[misc]
                yield f"line {name} ends", lambda w, name=name: w.granter.on_disconnected(name)  # type: ignore[misc]
            if len(self.up) < MOST_MAIL and not any(n == name for n, _ in self.up):
                yield f"speak {name}", lambda w, name=name: w.speak(name)  # type: ignore[misc]
            if len(self.lives[name]) == 1 and name == "a":
                yield f"hand over {name}", lambda w, name=name: w.hand_over(name)  # type: ignore[misc]
            if name == "b":
                yield f"sleep or wake {name}", lambda w, name=name: w.asleep.__ixor__({name})  # type: ignore[misc]
        for place in range(len(self.down)):
            yield f"part {place}", lambda w, place=place: w.told(place, False)  # type: ignore[misc]
            yield f"part {place}, again later", lambda w, place=place: w.told(place, True)  # type: ignore[misc]
            yield f"part {place} lost", lambda w, place=place: w.down.pop(place)  # type: ignore[misc]
        for place in range(len(self.up)):
            yield f"word {place}", lambda w, place=place: w.heard(place)  # type: ignore[misc]

    # --- what must never be --------------------------------------------------------------------------------

    def wrong(self) -> str:
        """Whether more is in force than there is, now or at any later moment though nothing more arrives."""
        for kind in Resource:
            for later in (0.0, LEASE_SECONDS / 2, LEASE_SECONDS):
                held = {
                    name: sum(life.usable_amount(kind, self.now + later) for life in lives)
                    for name, lives in self.lives.items()
                }
                if sum(held.values()) > TOTAL_POINTS:
                    return f"{kind.value}: {held} at {self.now + later:g} s"
        return ""

    def look(self) -> Hashable:
        """All that makes a difference; times as distances from now."""

        def part(one: Allocation) -> tuple[object, ...]:
            return (one.epoch, one.number, one.base[0], one.lease[0], max(0.0, one.ends_at - self.now))

        made = self.granter
        rows: object = (
            None
            if made is None
            else (
                made.epoch,
                max(0.0, made.durable_until - self.now),
                tuple(
                    sorted(
                        (
                            h,
                            r.state.value,
                            r.number,
                            r.base[0],
                            r.lease[0],
                            max(0.0, r.lease_ends_at - self.now),
                            r.reported,
                            r.demand[0],
                            max(0.0, r.last_report_at + REPORT_TTL_SECONDS - self.now),
                            max(0.0, r.last_acknowledged_at + LEASE_SECONDS - self.now),
                        )
                        for h, r in made.records.items()
                    )
                ),
                tuple(
                    sorted(
                        (h, c.number, c.amount, c.ends_at if c.ends_at == inf else c.ends_at - self.now)
                        for ledger in (made.base[0], made.leased[0])
                        for h, cs in ledger.grants.items()
                        for c in cs
                        if c.ends_at > self.now
                    )
                ),
            )
        )
        return (
            rows,
            self.disk.era,
            max(0.0, self.disk.until - self.now),
            tuple(sorted(self.disk.rows.items())),
            tuple(tuple((part(life.allocation), life.is_handed_over) for life in self.lives[name]) for name in NAMES),
            frozenset(self.asleep),
            self.swapped,
            tuple((n, part(p)) for n, p in self.down),
            tuple((n, part(p)) for n, p in self.up),
        )


def _any_word(granter: LeaseIssuer, holder: str, part: Allocation, demand: tuple[float, ...], now: float) -> None:
    row = granter._move(holder, HolderEvent.REPORT)
    row.demand, row.reported, row.last_report_at = demand, (granter.epoch, row.number), now
    granter._move(holder, HolderEvent.ACK)
    for ledger in (*granter.base, *granter.leased):
        ledger.acknowledge(holder, row.number)


def _taken(holder: LeaseHolder, part: Allocation) -> bool:
    holder.allocation = part
    return True


@dataclass(frozen=True, slots=True)
class Rule:
    """A rule that can be left out: where it stands, what stands there without it, and which steps show the harm."""

    where: type
    name: str
    without: object
    words: frozenset[str]


RULES = {
    "a grant that replaces another counts beside it until it is known to have come": Rule(
        Ledger,
        "outstanding",
        lambda self, holder, now: self.newest_amount(holder),
        frozenset({"swap", "tell", "beat", "part"}),
    ),
    "a lease is not used past its end": Rule(
        LeaseHolder,
        "usable_amount",
        lambda self, kind, now: 0 if self.is_handed_over else self.allocation.base[0] + self.allocation.lease[0],
        frozenset({"line a", "time", "tell b", "tell c", "beat", "part"}),
    ),
    "only what is newer is taken": Rule(
        LeaseHolder, "on_grant", _taken, frozenset({"die", "start", "beat", "part", "tell", "swap", "time"})
    ),
    "a part that is handed on is used no more": Rule(
        LeaseHolder, "hand_over", lambda self: self.allocation, frozenset({"hand", "beat", "part", "tell"})
    ),
    "what is sent was written before": Rule(
        LeaseIssuer,
        "_covered",
        lambda self, send: True,
        frozenset({"swap", "tell", "die", "beat", "take", "start", "part"}),
    ),
    "only a word of the newest grant frees what is older": Rule(
        LeaseIssuer, "on_report", _any_word, frozenset({"swap", "tell", "beat", "part"})
    ),
    "what the table of before allows for may be out": Rule(
        LeaseIssuer, "restore_grant", lambda self, *row: None, frozenset({"beat", "take", "tell", "part", "swap"})
    ),
    "silence is no death": Rule(
        LeaseIssuer,
        "on_disconnected",
        lambda self, holder: self.on_death(holder),
        frozenset({"line", "beat", "part", "tell"}),
    ),
}


def caught(rule: Rule, depth: int = 9, most: int = 200_000) -> str:
    """What goes wrong with the rule left out; nothing where that was not found."""
    was = getattr(rule.where, rule.name)
    setattr(rule.where, rule.name, rule.without)
    try:
        return explored(Model.running(), depth, most, rule.words).fault
    finally:
        setattr(rule.where, rule.name, was)
