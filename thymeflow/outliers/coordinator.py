"""Which servers the fleet leaves alone, and who tries them next: events in, verdicts out; no I/O, no clock.

A member speaks of a server, or of a class at a server, for or against: it has ejected it, or has had a good answer
from it a moment ago. One member alone condemns nothing, as it may be the one that is cut off; and no more than a part
of all servers is condemned, as then the cause lies elsewhere. A condemned one is left alone by all but whoever holds
the claim to the next trial, a request of a client's own. A good trial lets more of the fleet return step by step; a
failure on the way condemns it anew.

A zone of which half of the servers are spoken against is one case for all of it: nobody need meet the other half, one
trial anywhere in it speaks for it, and all return to it on one ramp.

`MOVES` holds every legal change of a case. A verdict is a lease: a member that hears nothing more goes by its own
evidence once that is over, as it did before there was a jury.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

VOICES = 2  # members against a server that condemn it: one may be the one that is cut off
MAJORITY = 0.5  # of those who speak of it, more than this
MOST = 0.5  # of the servers that are listed: beyond it the cause lies elsewhere, and nothing more is condemned
HEARD = 2.0  # s: what a member said counts for so long; four of the words that members say
LEASE = 3.0  # s: a verdict's length at a member that hears nothing more
KEPT = 1000  # claims: the word of an older one is not waited for
LONGEST = 4.0  # s: between trials at most, which are twice as far apart after each that was bad
STEP = 0.5  # s: on the way back, twice as many members are let in after each such step
SETTLED = 1.2  # s: after it was let in, a member's ejections are new ones: two of its words and the way there
QUIET = 2.0  # s: after a way back, in which members' older ejections are forgotten and not counted
LOST = 0.5  # of a zone's servers, and two at the least: spoken against, and more than for, the zone is lost
ZONE = -1  # in place of a server's number: the case is a zone's
MOST_CASES = 4096  # words of more servers than that are left out

Key = tuple[int, str]  # a server's number, and a class, "": all classes; or ZONE, and the zone's name


class State(Enum):
    """Where a case is."""

    CONDEMNED = "condemned"  # one tries for all
    RETURNING = "returning"  # a trial was good: some are let in, more with each step
    CLEARED = "cleared"  # all are let in, and old ejections forgotten


class Move(Enum):
    """What may happen in a case."""

    GOOD = "good"  # a trial, or an answer on the way back
    BAD = "bad"
    STEP = "step"  # some time has passed on the way back, or all of it
    DONE = "done"


MOVES: dict[tuple[State, Move], State | None] = {
    (State.CONDEMNED, Move.GOOD): State.RETURNING,
    (State.CONDEMNED, Move.BAD): State.CONDEMNED,
    (State.RETURNING, Move.GOOD): State.RETURNING,
    (State.RETURNING, Move.BAD): State.CONDEMNED,
    (State.RETURNING, Move.STEP): State.RETURNING,
    (State.RETURNING, Move.DONE): State.CLEARED,
    (State.CLEARED, Move.DONE): None,  # closed
}


@dataclass(frozen=True, slots=True)
class Ejection:
    """What a member is to do about a server, or a class at it, until `end`."""

    key: Key
    number: int  # of the case; grows
    claim: int  # the number of the trial that this member may make; 0: none
    allowed: bool  # it is on the way back, and this member is let in
    cleared: bool  # forget what was held against it
    end: float


@dataclass(slots=True)
class Words:
    """What a member said last."""

    at: float
    against: frozenset[Key] = frozenset()
    good: frozenset[Key] = frozenset()


@dataclass(slots=True)
class Case:
    """A server, or a class at it, that was condemned."""

    number: int
    since: float
    state: State = State.CONDEMNED
    words: dict[str, str] = field(default_factory=dict)  # on whose word
    claim: int = 0
    holder: str = ""
    due: float = -inf  # when the next claim goes out, or the next step is taken
    let_in: int = 0
    inside: dict[str, float] = field(default_factory=dict)  # since when, by member
    claims: dict[int, str] = field(default_factory=dict)  # the last ones given out, and to whom
    bad: int = 0  # trials in a row
    tried: dict[str, int] = field(default_factory=dict)  # by member: the last claim that it had


class OutlierCoordinator:
    """All cases of one fleet."""

    def __init__(self, trials: float) -> None:
        """`trials`: a second at most, of each condemned server or class at it, over the whole fleet."""
        self.probe_interval = 1.0 / trials
        self.reports: dict[str, Words] = {}
        self.ejected: dict[Key, Case] = {}
        self.quiet: dict[Key, float] = {}  # until when nothing is held against it
        self.servers = 0  # that are listed
        self.zones: dict[str, frozenset[int]] = {}  # and which of them are in which
        self._lists: dict[str, tuple[int, frozenset[tuple[str, frozenset[int]]]]] = {}  # as each member has it
        self.invalid_reports = 0  # words that cannot be true
        self._numbers = self._claims = 0

    # --- what happens --------------------------------------------------------------------------------------

    def on_report(self, member: str, against: set[Key], good: set[Key], trials: dict[int, bool], now: float) -> None:
        """A member says what it has ejected, from where it had good answers, and how its trials ended."""
        both = against & good
        self.invalid_reports += len(both)
        self.reports[member] = Words(now, frozenset(against - both), frozenset(good - both))
        for key, case in self.ejected.items():
            ended = {claim: good for claim, good in trials.items() if case.claims.get(claim) == member}
            if case.state is State.CONDEMNED and ended:
                # A trial may end when its claim has gone on already: a good one counts all the same.
                if any(ended.values()):
                    self._move(key, case, Move.GOOD, now)
                elif case.claim in ended:
                    self._move(key, case, Move.BAD, now)
                for claim in ended:
                    case.claims.pop(claim, None)
            elif (
                case.state is State.RETURNING
                and self._against(key, against)
                and now - case.inside.get(member, inf) > SETTLED
            ):
                self._move(key, case, Move.BAD, now)

    def _against(self, key: Key, against: set[Key]) -> bool:
        # Of a zone that is on its way back some servers may be bad by themselves.
        if key[0] != ZONE:
            return key in against
        servers = self.zones.get(key[1], frozenset())
        return sum((number, "") in against for number in servers) >= max(2, LOST * len(servers))

    def on_endpoint_list(self, member: str, servers: int, zones: dict[str, frozenset[int]]) -> None:
        """How many servers a member has on its list, and in which zones: what most of them have holds."""
        self._lists[member] = servers, frozenset(zones.items())
        (((self.servers, rows), _),) = Counter(self._lists.values()).most_common(1)
        self.zones = dict(rows)

    def on_member_gone(self, member: str) -> None:
        """A member has ended or is not heard: what it said counts no more, and its claim goes to another."""
        self.reports.pop(member, None)
        self._lists.pop(member, None)
        for case in self.ejected.values():
            if case.holder == member:
                case.holder, case.due = "", -inf

    def _move(self, key: Key, case: Case, move: Move, now: float) -> None:
        was, after = case.state, MOVES[case.state, move]
        if after is None:
            del self.ejected[key]
            return
        case.state, case.claim = after, 0
        if after is State.CONDEMNED:
            case.bad = case.bad + 1 if was is State.CONDEMNED else 0
            case.since, case.holder = (case.since, case.holder) if case.bad else (now, "")
            case.due = now + max(self.probe_interval, min(LONGEST, self.probe_interval * 2.0**case.bad))
        elif was is State.CONDEMNED and after is State.RETURNING:
            case.let_in, case.due = 1, now + STEP
            case.inside.clear()
            self._let(case, now)
            for other, sibling in self.ejected.items():  # what is well again for one class may be for all
                if other[0] == key[0] != ZONE and sibling.state is State.CONDEMNED and not sibling.claim:
                    sibling.due = now
        elif after is State.CLEARED:
            case.due = self.quiet[key] = now + QUIET

    # --- decisions -----------------------------------------------------------------------------------------

    def _lost(self, voices: dict[Key, tuple[list[str], int]]) -> dict[Key, tuple[list[str], int]]:
        # Zones of which enough is spoken against; one zone alone is all there is, and no place to leave.
        found = dict[Key, tuple[list[str], int]]()
        for zone, servers in sorted(self.zones.items()) if len(self.zones) > 1 else ():
            bad = [voices[n, ""] for n in servers if (n, "") in voices]
            bad = [(against, good) for against, good in bad if len(against) > MAJORITY * (len(against) + good)]
            if len(bad) >= max(2, LOST * len(servers)):
                found[ZONE, zone] = sorted({member for against, _ in bad for member in against}), 0
        return found

    def is_covered_by_zone(self, key: Key) -> bool:
        """By a zone's case: what one of its servers does for one class is seen once the zone is back."""
        return any(key[0] in self.zones.get(zone, ()) for number, zone in self.ejected if number == ZONE)

    def _condemned(self, keys: Iterable[Key]) -> int:
        # Servers that are concerned.
        servers = set[int]()
        for number, part in keys:
            servers |= self.zones.get(part, frozenset()) if number == ZONE else {number}
        return len(servers)

    def _voices(self, now: float) -> dict[Key, tuple[list[str], int]]:
        found: dict[Key, tuple[list[str], int]] = {}
        for member, words in self.reports.items():
            if now - words.at > HEARD:
                continue
            for key in words.against:
                found.setdefault(key, ([], 0))[0].append(member)
        for words in self.reports.values():
            for key in words.good & found.keys() if now - words.at <= HEARD else ():
                found[key] = (found[key][0], found[key][1] + 1)
        return found

    def tick(self, now: float) -> list[Key]:
        """Decide by what is known now; the cases that were opened."""
        self.quiet = {key: until for key, until in self.quiet.items() if until > now}
        opened = list[Key]()
        voices = self._voices(now)
        for key, (against, good) in [*self._lost(voices).items(), *sorted(voices.items())]:  # zones first
            if (
                key in self.ejected
                or key in self.quiet
                or len(self.ejected) >= MOST_CASES
                or self.is_covered_by_zone(key)
            ):
                continue
            if (
                len(against) >= VOICES
                and len(against) > MAJORITY * (len(against) + good)
                and self._condemned([*self.ejected, key]) <= MOST * self.servers
            ):
                self._numbers += 1
                self.ejected[key] = Case(self._numbers, now, words=dict.fromkeys(against, "ejected it"))
                opened.append(key)
                self.ejected = {
                    known: case for known, case in self.ejected.items() if not self.is_covered_by_zone(known)
                }
        for key, case in list(self.ejected.items()):
            if case.state is State.CONDEMNED and now >= case.due:
                self._claim(case, now)
            elif case.state is State.RETURNING and now >= case.due:
                case.let_in, case.due = 2 * case.let_in, now + STEP
                self._let(case, now)
                self._move(key, case, Move.STEP if case.let_in < len(self._heard(now)) else Move.DONE, now)
            elif case.state is State.CLEARED and now >= case.due:
                self._move(key, case, Move.DONE, now)
        return opened

    def _heard(self, now: float) -> list[str]:
        return sorted(member for member, words in self.reports.items() if now - words.at <= HEARD)

    def _claim(self, case: Case, now: float) -> None:
        # In turn: who has had none for longest, so that one that sees no traffic holds nobody up for long.
        members = self._heard(now)
        if members:
            self._claims += 1
            case.holder = min(members, key=lambda member: (case.tried.get(member, 0), member))
            case.claim = case.tried[case.holder] = self._claims
            case.claims = {n: m for n, m in case.claims.items() if n > self._claims - KEPT} | {case.claim: case.holder}
            case.due = now + self.probe_interval

    def _let(self, case: Case, now: float) -> None:
        # Those who tried last first, the one with the good trial among them.
        order = sorted(self._heard(now), key=lambda m: (m not in case.inside, -case.tried.get(m, 0), m))
        for member in order[: case.let_in]:
            case.inside.setdefault(member, now)

    def ejections_for(self, member: str, now: float) -> list[Ejection]:
        """All that a member is to know."""
        return [
            Ejection(
                key,
                case.number,
                case.claim if case.holder == member else 0,
                case.state is State.CLEARED or (case.state is State.RETURNING and member in case.inside),
                case.state is State.CLEARED,
                now + LEASE,
            )
            for key, case in self.ejected.items()
        ]
