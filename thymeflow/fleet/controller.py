"""What a supervisor decides: events in, actions out, no I/O, no clock, no random source of its own.

Each member is in one named state, and `MOVES` holds every legal change; anything else is a fault of ours that
raises. Orders (scale, restart, upgrade, down) run one at a time; a roll touches one member at a time and goes on
only when that one is ready, has been healthy for a while, and nothing else has gone wrong meanwhile.

A *run* is one process, numbered; what is told of a run that is over changes nothing.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from thymeflow.settings.sections import Fleet

JITTER = 0.5  # of a wait: half is fixed, half is drawn, so that what ended together does not start so
MOST_DOUBLINGS = 16


class State(Enum):
    """Where a member is."""

    WAITING = "waiting"  # to be started when its time has come
    STARTING = "starting"
    READY = "ready"
    REPLACING = "replacing"  # it serves, and a successor starts up beside it
    STOPPING = "stopping"
    DOWN = "down"  # ended on purpose
    LOOPING = "crash loop"  # ended too often; stays so until an order


class Move(Enum):
    """What may happen to a member."""

    START = "start"
    ADOPT = "adopt"
    SERVES = "serves"
    ENDS = "ends"
    LOOPS = "loops"
    REPLACE = "replace"
    SETTLE = "settle"  # a replacement is over, well or not
    STOP = "stop"
    AGAIN = "again"  # after an end on purpose, or out of a crash loop


MOVES: dict[tuple[State, Move], State] = {
    (State.WAITING, Move.START): State.STARTING,
    (State.WAITING, Move.ADOPT): State.STARTING,
    (State.WAITING, Move.STOP): State.DOWN,
    (State.STARTING, Move.SERVES): State.READY,
    (State.STARTING, Move.ENDS): State.WAITING,
    (State.STARTING, Move.LOOPS): State.LOOPING,
    (State.STARTING, Move.STOP): State.STOPPING,
    (State.READY, Move.ENDS): State.WAITING,
    (State.READY, Move.LOOPS): State.LOOPING,
    (State.READY, Move.REPLACE): State.REPLACING,
    (State.READY, Move.STOP): State.STOPPING,
    (State.REPLACING, Move.SETTLE): State.READY,
    (State.REPLACING, Move.ENDS): State.WAITING,
    (State.REPLACING, Move.LOOPS): State.LOOPING,
    (State.REPLACING, Move.STOP): State.STOPPING,
    (State.STOPPING, Move.ENDS): State.DOWN,
    (State.DOWN, Move.AGAIN): State.WAITING,
    (State.LOOPING, Move.AGAIN): State.WAITING,
    (State.LOOPING, Move.STOP): State.DOWN,
}


# --- events ------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class FleetStarted:
    """The supervisor has looked for members that run already, and wants so many."""

    count: int


@dataclass(frozen=True, slots=True)
class MemberAdopted:
    """A member that runs already was found."""

    number: int
    life: str
    serves: bool


@dataclass(frozen=True, slots=True)
class StatusReported:
    """A run says how it is."""

    run: int
    life: str
    serves: bool
    healthy: bool


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A run is over."""

    run: int
    how: str


class Kind(Enum):
    """What may be ordered."""

    SCALE = "scale"
    RESTART = "restart"
    UPGRADE = "upgrade"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Order:
    """Somebody wants something; `count` for SCALE. `id` comes back in every Report."""

    id: int
    kind: Kind
    count: int = 0


Event = Tick | FleetStarted | MemberAdopted | StatusReported | RunEnded | Order


# --- actions -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Start:
    """Start a process; `joins`: into a running set; `replaces`: it takes over from the run that serves."""

    run: int
    number: int
    joins: bool
    replaces: bool


@dataclass(frozen=True, slots=True)
class Stop:
    """Ask a run to end in good order."""

    run: int


@dataclass(frozen=True, slots=True)
class Kill:
    """End a run at once: it did not do so when asked, or hangs."""

    run: int


@dataclass(frozen=True, slots=True)
class Resize:
    """The set is of another size from now on: tell every member, those to come included."""

    gateways: int


@dataclass(frozen=True, slots=True)
class WriteLog:
    """A line for the log."""

    kind: str
    text: str


@dataclass(frozen=True, slots=True)
class ReportProgress:
    """A line for whoever gave the order; the last one has `done`."""

    id: int
    text: str
    done: bool = False
    good: bool = True


@dataclass(frozen=True, slots=True)
class Exit:
    """The fleet is down: the supervisor ends."""


Action = Start | Stop | Kill | Resize | WriteLog | ReportProgress | Exit


@dataclass(slots=True)
class Member:
    """One member, from its number's first use to the supervisor's end."""

    number: int
    state: State = State.WAITING
    due: float = 0.0  # when to start, or when patience ends
    run: int = -1  # the process that counts
    coming: int = -1  # its successor
    life: str = ""
    healthy_since: float = inf
    joins: bool = False
    again: bool = False  # start once more after the end that is under way
    killed: bool = False
    crashes: deque[float] = field(default_factory=deque)
    why: str = ""  # its last unwanted end

    def move(self, move: Move) -> None:
        """Go to the next state; what is not in the table is a fault of ours."""
        self.state = MOVES[self.state, move]


@dataclass(slots=True)
class OrderProgress:
    """The order that is under way."""

    order: Order
    queue: deque[int] = field(default_factory=deque)
    at: int = -1  # the member being rolled
    total: int = 0
    failed: str = ""
    span: range = range(0)  # of a scale: the members that come or go
    unspoken: set[int] = field(default_factory=set)  # those of them not reported yet


class FleetController:
    """The supervisor's decisions."""

    def __init__(self, settings: Fleet, rng: random.Random) -> None:
        self._settings, self._rng = settings, rng
        self.members: dict[int, Member] = {}
        self.count = 0  # how many are wanted
        self.size = 0  # what members are told
        self._runs: dict[int, int] = {}  # run to number
        self._next, self._now = 0, 0.0
        self._work: OrderProgress | None = None
        self._leaving: dict[int, float] = {}  # runs that are on their way out, and until when
        self._actions: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Decide on one event."""
        self._now, self._actions = now, []
        match event:
            case FleetStarted(count):
                self._up(count)
            case MemberAdopted(number, life, serves):
                self._adopt(number, life, serves)
            case StatusReported(run, life, serves, healthy):
                self._told(run, life, serves, healthy)
            case RunEnded(run, how):
                self._ended(run, how)
            case Order():
                self._order(event)
            case Tick():
                pass
        self._turn()
        return self._actions

    def next_due(self) -> float:
        """When the next Tick would change something; now at the earliest, inf if nothing waits for time."""
        due = [
            m.due
            for m in self.members.values()
            if m.state in (State.WAITING, State.STARTING, State.REPLACING, State.STOPPING)
        ]
        due += self._leaving.values()
        if self._work is not None and self._work.at >= 0:
            rolled = self.members[self._work.at]
            if rolled.state is State.READY:
                due.append(rolled.healthy_since + self._settings.settle)
        return min(due, default=inf)

    def member_of(self, run: int) -> Member | None:
        """Whose run that is."""
        number = self._runs.get(run)
        return None if number is None else self.members.get(number)

    def working(self) -> str:
        """The order under way, in words."""
        if self._work is None:
            return ""
        done = self._work.total - len(self._work.queue) - (self._work.at >= 0)
        return f"{self._work.order.kind.value}, {done} of {self._work.total} done"

    # --- members -------------------------------------------------------------------------------------------

    def _new_run(self, member: Member) -> int:
        self._next += 1
        self._runs[self._next] = member.number
        return self._next

    def _up(self, count: int) -> None:
        adopted = len(self.members)
        self.count = count
        wanted = [n for n in range(count) if n not in self.members]
        for place, number in enumerate(wanted):
            # Counter, discovery and servers are not to be hit in one instant. Where some serve, those that
            # are missing have died under a supervisor that could not see it: they are wanted at once.
            share = 0.0 if adopted else self._settings.spread * (place + self._rng.random()) / len(wanted)
            self.members[number] = Member(number, due=self._now + share)
        extra = [m for m in self.members.values() if m.number >= count]
        self._resize(max([count, *(m.number + 1 for m in extra)]))
        for member in extra:
            self._stop(member)
        if adopted:
            self._say("fleet", f"{adopted} members were running and are adopted, {len(wanted)} are started")

    def _resize(self, size: int) -> None:
        if size != self.size:
            self.size = size
            self._actions.append(Resize(size))

    def _adopt(self, number: int, life: str, serves: bool) -> None:
        member = self.members[number] = Member(number)
        member.run, member.life, member.due = self._new_run(member), life, self._now + self._settings.ready
        member.move(Move.ADOPT)
        if serves:
            member.move(Move.SERVES)
            member.healthy_since = self._now

    def _start(self, member: Member) -> None:
        member.move(Move.START)
        member.run = self._new_run(member)
        member.due, member.healthy_since, member.killed = self._now + self._settings.ready, inf, False
        self._actions.append(Start(member.run, member.number, member.joins, False))
        # Whatever it comes back from, its slice is its own again: only the first start is a joining.
        member.joins = False

    def _stop(self, member: Member, again: bool = False) -> None:
        member.again = again
        if member.coming >= 0:
            # Where it stands in the hand-over is not known here; asked to end, either end does so in good
            # order, while killing it could take requests along.
            if member.run < 0:
                member.run, member.coming = member.coming, -1
            else:
                self._leave(member.coming)
                self._actions.append(Stop(member.coming))
                member.coming = -1
        if member.state in (State.WAITING, State.LOOPING):
            member.move(Move.STOP)
            self._after_stop(member)
        elif member.state not in (State.STOPPING, State.DOWN):
            member.move(Move.STOP)
            member.due, member.killed = self._now + self._settings.stop, False
            self._actions.append(Stop(member.run))

    def _after_stop(self, member: Member) -> None:
        if member.again:
            member.again = False
            member.move(Move.AGAIN)
            member.due = self._now

    def _told(self, run: int, life: str, serves: bool, healthy: bool) -> None:
        member = self.member_of(run)
        if member is None or run in self._leaving:
            return
        if run == member.coming:
            if serves:
                self._replaced(member, life, healthy)
            return
        if run != member.run:
            return
        member.life = life
        if serves and member.state is State.STARTING:
            member.move(Move.SERVES)
            member.healthy_since = self._now if healthy else inf
        elif member.state in (State.READY, State.REPLACING):
            if not healthy:
                member.healthy_since = inf
            elif member.healthy_since == inf:
                member.healthy_since = self._now

    def _leave(self, run: int) -> None:
        self._leaving[run] = self._now + self._settings.stop

    def _replaced(self, member: Member, life: str, healthy: bool) -> None:
        if member.run >= 0:
            self._leave(member.run)
        member.run, member.coming, member.life = member.coming, -1, life
        member.healthy_since = self._now if healthy else inf
        member.move(Move.SETTLE)

    def _ended(self, run: int, how: str) -> None:
        number = self._runs.pop(run, None)
        if run in self._leaving:
            del self._leaving[run]
            return
        member = None if number is None else self.members.get(number)
        if member is None:
            return
        if run == member.coming:
            self._not_replaced(member, how)
            return
        if run != member.run:
            return
        member.run = -1
        if member.coming >= 0:
            return  # replaced, and the successor's word is on its way; or else that one will end too
        if member.state is State.STOPPING:
            member.move(Move.ENDS)
            self._after_stop(member)
            return
        self._crashed(member, how)

    def _not_replaced(self, member: Member, how: str) -> None:
        member.coming = -1
        if member.run < 0:
            self._crashed(member, f"ended with its successor, which {how}")
        else:
            member.move(Move.SETTLE)
            self._roll_fails(member, f"its successor {how}")

    def _crashed(self, member: Member, how: str) -> None:
        window, now = self._settings.crash_window, self._now
        member.why, member.healthy_since = how, inf
        member.crashes.append(now)
        while member.crashes and now - member.crashes[0] > window:
            member.crashes.popleft()
        count = len(member.crashes)
        if count >= self._settings.crashes:
            member.move(Move.LOOPS)
            self._say(
                "crash loop",
                f"member {member.number} ended {count} times within {window:g} s and is not "
                f"started again before an order; the last time it {how}",
            )
        else:
            member.move(Move.ENDS)
            wait = min(self._settings.longest_wait, self._settings.wait * 2.0 ** min(MOST_DOUBLINGS, count - 1))
            wait *= 1.0 - JITTER * self._rng.random()
            member.due = now + wait
            self._say("member", f"{member.number} {how}; started again in {wait:.2f} s")
        self._roll_fails(member, f"it {how}")

    # --- orders --------------------------------------------------------------------------------------------

    def _order(self, order: Order) -> None:
        if self._work is not None and order.kind is not Kind.DOWN:
            self._actions.append(
                ReportProgress(order.id, f"{self.working()} is under way: wait for its end", True, False)
            )
            return
        if self._work is not None:
            self._stop_work("the fleet goes down")
        if order.kind is Kind.DOWN:
            self._work = OrderProgress(order, total=len(self.members))
            for member in self.members.values():
                self._stop(member)
        elif order.kind is Kind.SCALE:
            self._scale(order)
        else:
            self._roll(order)

    def _scale(self, order: Order) -> None:
        before, self.count = self.count, order.count
        span = range(min(before, order.count), max(before, order.count))
        self._work = OrderProgress(order, total=len(span), span=span, unspoken=set(span))
        if order.count > before:
            # First all are told, so that requests of customers whose set is larger by now are not refused.
            self._resize(order.count)
            for place, number in enumerate(span):
                share = self._settings.spread * (place + self._rng.random()) / len(span)
                self.members[number] = Member(number, due=self._now + share, joins=True)
        else:
            for number in span:
                self._stop(self.members[number])

    def _roll(self, order: Order) -> None:
        looping = [m for m in self.members.values() if m.state is State.LOOPING]
        if order.kind is Kind.RESTART:
            for member in looping:  # the order is what they waited for
                member.crashes.clear()
                member.move(Move.AGAIN)
                member.due = self._now
        unready = [m for m in self.members.values() if m.state is not State.READY and m not in looping]
        if order.kind is Kind.UPGRADE:
            unready += looping
        if unready:
            first = unready[0]
            self._actions.append(
                ReportProgress(
                    order.id,
                    f"member {first.number} is {first.state.value}: nothing was "
                    "touched; all have to be ready before a roll",
                    True,
                    False,
                )
            )
            return
        queue = deque(m.number for m in self.members.values() if m not in looping)
        self._work = OrderProgress(order, queue, total=len(queue))

    def _roll_fails(self, member: Member, why: str) -> None:
        work = self._work
        if work is None or work.order.kind not in (Kind.RESTART, Kind.UPGRADE):
            return
        work.failed = work.failed or f"member {member.number}: {why}"

    def _stop_work(self, why: str) -> None:
        assert self._work is not None
        self._actions.append(ReportProgress(self._work.order.id, why, True, False))
        self._work = None

    def _turn(self) -> None:
        for member in list(self.members.values()):
            self._look(member)
        for run, until in self._leaving.items():
            if self._now >= until:
                self._leaving[run] = self._now + self._settings.stop
                self._actions.append(Kill(run))
        if self._work is not None:
            {
                Kind.DOWN: self._turn_down,
                Kind.SCALE: self._turn_scale,
                Kind.RESTART: self._turn_roll,
                Kind.UPGRADE: self._turn_roll,
            }[self._work.order.kind](self._work)

    def _look(self, member: Member) -> None:
        if self._now < member.due:
            return
        if member.state is State.WAITING:
            self._start(member)
        elif member.state is State.STARTING:
            self._kill(member, f"was not ready within {self._settings.ready:g} s", self._settings.ready)
        elif member.state is State.STOPPING:
            self._kill(member, f"did not end within {self._settings.stop:g} s", self._settings.stop)
        elif member.state is State.REPLACING and member.coming >= 0:
            self._actions.append(Kill(member.coming))
            self._runs.pop(member.coming, None)
            self._not_replaced(member, f"was not ready within {self._settings.ready:g} s")

    def _kill(self, member: Member, why: str, again: float) -> None:
        # A process that cannot die at once, in the middle of a disk write, is told again and not waited for.
        if not member.killed:
            member.killed = True
            self._say("member", f"{member.number} {why}: killed")
        self._actions.append(Kill(member.run))
        member.due = self._now + again

    def _turn_down(self, work: OrderProgress) -> None:
        if all(m.state is State.DOWN for m in self.members.values()) and not self._leaving:
            self._actions += [ReportProgress(work.order.id, "all have ended", True), Exit()]
            self._work = None

    def _turn_scale(self, work: OrderProgress) -> None:
        gone = [m for m in self.members.values() if m.number >= self.count]
        for member in self.members.values():
            if member.number in work.unspoken and member.state in (State.READY, State.DOWN):
                work.unspoken.discard(member.number)
                self._actions.append(ReportProgress(work.order.id, f"member {member.number} is {member.state.value}"))
        fresh = [m for m in self.members.values() if m.number in work.span and m not in gone]
        looping = [m for m in fresh if m.state is State.LOOPING]
        if looping:
            self._stop_work(f"member {looping[0].number} is in a crash loop: {looping[0].why}")
        elif all(m.state is State.DOWN for m in gone) and all(m.state is State.READY for m in fresh):
            for member in gone:
                del self.members[member.number]
            self._resize(self.count)
            self._actions.append(ReportProgress(work.order.id, f"the fleet has {self.count} members", True))
            self._work = None

    def _turn_roll(self, work: OrderProgress) -> None:
        if work.at >= 0:
            rolled = self.members[work.at]
            healthy = rolled.state is State.READY and self._now >= rolled.healthy_since + self._settings.settle
            if not healthy and not work.failed:
                return
            if healthy and not work.failed:
                done = work.total - len(work.queue)
                self._actions.append(
                    ReportProgress(work.order.id, f"member {rolled.number} is ready ({done} of {work.total})")
                )
        if work.failed:
            left = [str(n) for n in work.queue]
            self._say("roll", f"{work.order.kind.value} stopped: {work.failed}")
            self._stop_work(f"stopped: {work.failed}; not touched: {', '.join(left) or 'none'}")
            return
        work.at = -1
        if not work.queue:
            self._actions.append(
                ReportProgress(work.order.id, f"{work.order.kind.value} done: {work.total} members", True)
            )
            self._work = None
            return
        work.at = work.queue.popleft()
        member = self.members[work.at]
        if work.order.kind is Kind.RESTART:
            member.healthy_since = inf
            self._stop(member, again=True)
        else:
            member.move(Move.REPLACE)
            member.coming = self._new_run(member)
            member.due, member.healthy_since = self._now + self._settings.ready, inf
            self._actions.append(Start(member.coming, member.number, False, True))

    def _say(self, kind: str, text: str) -> None:
        self._actions.append(WriteLog(kind, text))
