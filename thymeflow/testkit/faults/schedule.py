"""What goes wrong, when and where: data, from a file or from a seed, printed with a failure and played again.

A file is TOML: the world as keys, the faults as `[[step]]` tables.

    limiters = 10
    seconds = 8.0
    [[step]]
    at = 2.0
    do = "kill"
    who = [0, 1, 2]
"""

from __future__ import annotations

import random
import tomllib
from dataclasses import dataclass, fields, replace
from enum import Enum
from math import isfinite
from typing import Any, TypeGuard

from thymeflow.errors import ThymeflowError

MOST_LIMITERS, MOST_SERVERS, MOST_SECONDS, MOST_STEPS = 64, 64, 600.0, 2000
LINES = ("run", "serve")  # the platform's run line, or our daemon
WORDS = {"line": LINES, "units": ("demand", "tickets")}


class Do(Enum):
    """What a step does. Of a process: `who` are limiters. Of a link: `who` are the limiters at whose end it is."""

    KILL = "kill"  # SIGKILL
    END = "end"  # SIGTERM
    START = "start"  # again, with what it left on disk
    STOP = "stop"  # SIGSTOP
    GO_ON = "go on"  # SIGCONT
    CUT = "cut"  # the link: reset, and refused from then on
    SILENCE = "silence"  # nothing passes, and nobody is told; `way` says in which direction
    DELAY = "delay"  # by `amount` seconds
    STALL = "stall"  # after `amount` bytes more, in the middle of whatever that is
    HEAL = "heal"
    SERVER_DIES = "server dies"  # `who` are servers here and below
    SERVER_BACK = "server back"
    SERVER_DRAINS = "server drains"  # and stays in the list
    SERVER_GONE = "server gone"
    SERVER_BAD = "server bad"  # `amount`: share of answers that are errors
    COUNTER_DIES = "counter dies"
    COUNTER_BACK = "counter back"
    COUNTER_FORGETS = "counter forgets"
    COUNTER_FULL = "counter full"  # turns every call away
    COUNTER_WELL = "counter well"


class Link(Enum):
    """From a limiter to what it talks to; `agents` is the other way round."""

    AGENTS = "agents"
    SERVERS = "servers"
    COUNTER = "counter"
    DISCOVERY = "discovery"


class Way(Enum):
    """A direction over a link, as the limiter sees it."""

    BOTH = "both"
    OUT = "out"
    IN = "in"


ON_LINKS = (Do.CUT, Do.SILENCE, Do.DELAY, Do.STALL, Do.HEAL)
ON_COUNTER = (Do.COUNTER_DIES, Do.COUNTER_BACK, Do.COUNTER_FORGETS, Do.COUNTER_FULL, Do.COUNTER_WELL)
ON_SERVERS = (Do.SERVER_DIES, Do.SERVER_BACK, Do.SERVER_DRAINS, Do.SERVER_GONE, Do.SERVER_BAD)
WANTS_AMOUNT = (Do.DELAY, Do.STALL)


class ScheduleError(ThymeflowError):
    """The schedule cannot be played; `faults` has a line for each reason, with its place."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class Step:
    """One fault, or the end of one."""

    at: float  # s after the load has begun
    do: Do
    who: tuple[int, ...] = ()
    link: Link | None = None
    way: Way = Way.BOTH
    amount: float = 0.0


@dataclass(frozen=True, slots=True)
class Schedule:
    """A world and what goes wrong in it."""

    limiters: int = 3
    servers: int = 4
    seconds: float = 6.0  # of load
    seed: int = 1
    line: str = "run"
    units: str = "demand"  # how limiters divide customers' units
    demand: float = 0.6  # of each customer's quota
    customers: int = 12
    work: float = 0.02  # s: mean of a call at a server
    steps: tuple[Step, ...] = ()


def _step(source: Any, place: str, world: Schedule, faults: list[str]) -> Step | None:
    if not isinstance(source, dict):
        faults.append(f"{place}: a table is wanted")
        return None
    known = {f.name for f in fields(Step)}
    faults.extend(f"{place}: {key} is not known; known are {', '.join(sorted(known))}" for key in source.keys() - known)
    named: dict[str, Any] = {}
    for key, kind in (("do", Do), ("link", Link), ("way", Way)):
        if key in source:
            try:
                named[key] = kind(source[key])
            except ValueError:
                faults.append(f"{place}: {key} = {source[key]!r} is none of {', '.join(k.value for k in kind)}")
                return None
    at, amount, who, do = source.get("at"), source.get("amount", 0.0), source.get("who", []), named.get("do")
    if do is None:
        faults.append(f"{place}: do is missing")
        return None
    if not _number(at) or not 0.0 <= at <= world.seconds:
        faults.append(f"{place}: at = {at!r} is no time from 0 to {world.seconds:g} s")
        return None
    if not _number(amount) or amount < 0.0 or (do in WANTS_AMOUNT and "amount" not in source):
        faults.append(f"{place}: amount = {source.get('amount')!r} is no amount for {do.value!r}")
    most = world.servers if do in ON_SERVERS else world.limiters
    if not isinstance(who, list) or not all(type(n) is int and 0 <= n < most for n in who):
        faults.append(f"{place}: who = {who!r} is no list of numbers from 0 to {most - 1}")
        return None
    if not who and do not in ON_COUNTER:
        faults.append(f"{place}: who is missing")
    if (do in ON_LINKS) is not ("link" in named):
        faults.append(f"{place}: {do.value!r} {'wants a link' if do in ON_LINKS else 'has no link'}")
    return Step(float(at), do, tuple(who), named.get("link"), named.get("way", Way.BOTH), float(amount))


def _number(value: Any) -> TypeGuard[float]:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and isfinite(value)


def parse(text: str) -> Schedule:
    """The schedule in a file's text; ScheduleError has every fault with its place."""
    try:
        source = tomllib.loads(text)
    except tomllib.TOMLDecodeError as fault:
        raise ScheduleError([str(fault)]) from None
    faults, values = list[str](), dict[str, Any]()
    bounds: dict[str, tuple[type, float, float]] = {
        "limiters": (int, 1, MOST_LIMITERS),
        "servers": (int, 1, MOST_SERVERS),
        "seconds": (float, 0.1, MOST_SECONDS),
        "seed": (int, 0, 2**48),
        "demand": (float, 0.0, 100.0),
        "customers": (int, 1, 100_000),
        "work": (float, 0.0001, 10.0),
    }
    for key, value in source.items():
        if key in WORDS and value in WORDS[key]:
            values[key] = value
        elif key in bounds:
            kind, least, most = bounds[key]
            if (type(value) is int if kind is int else _number(value)) and least <= value <= most:
                values[key] = kind(value)
            else:
                faults.append(f"{key} = {value!r} is no {kind.__name__} from {least:g} to {most:g}")
        elif key in WORDS:
            faults.append(f"{key} = {value!r} is none of {', '.join(WORDS[key])}")
        elif key != "step":
            faults.append(f"{key} is not known")
    world = replace(Schedule(), **values)
    given = source.get("step", [])
    if not isinstance(given, list) or len(given) > MOST_STEPS:
        faults.append(f"step is no list of at most {MOST_STEPS} tables")
        given = []
    steps = [_step(one, f"step {n + 1}", world, faults) for n, one in enumerate(given)]
    if faults:
        raise ScheduleError(faults)
    return replace(world, steps=tuple(sorted((s for s in steps if s is not None), key=lambda s: s.at)))


def text_of(schedule: Schedule) -> str:
    """The file that `parse` reads back as this schedule."""
    lines = [
        f"{f.name} = {value if not isinstance(value, str) else chr(34) + value + chr(34)}"
        for f in fields(Schedule)
        if (value := getattr(schedule, f.name)) is not None and f.name != "steps"
    ]
    for step in schedule.steps:
        lines += ["[[step]]", f"at = {step.at}", f'do = "{step.do.value}"']
        lines += [f"who = {list(step.who)}"] if step.who else []
        lines += [f'link = "{step.link.value}"'] if step.link else []
        lines += [f'way = "{step.way.value}"'] if step.way is not Way.BOTH else []
        lines += [f"amount = {step.amount}"] if step.amount else []
    return "\n".join(lines) + "\n"


def drawn(world: Schedule, faults: int) -> Schedule:
    """The world with so many faults drawn from its seed, each of which ends again before the load does."""
    rng, steps = random.Random(world.seed), list[Step]()

    def some(of: int, share: float = 0.4) -> tuple[int, ...]:
        return tuple(sorted(rng.sample(range(of), rng.randint(1, max(1, int(share * of))))))

    ends = {
        Do.KILL: Do.START,
        Do.STOP: Do.GO_ON,
        Do.SERVER_DIES: Do.SERVER_BACK,
        Do.COUNTER_DIES: Do.COUNTER_BACK,
        Do.COUNTER_FULL: Do.COUNTER_WELL,
    }
    for _ in range(faults):
        begin = round(rng.uniform(0.05, 0.7) * world.seconds, 3)
        end = round(min(0.95 * world.seconds, begin + rng.uniform(0.2, 0.3 * world.seconds)), 3)
        do = rng.choice([*ends, Do.CUT, Do.SILENCE, Do.DELAY, Do.STALL, Do.SERVER_BAD])
        if do in ON_LINKS:
            link, who = rng.choice(list(Link)), some(world.limiters)
            amount = {Do.DELAY: round(rng.uniform(0.01, 0.3), 3), Do.STALL: float(rng.randint(1, 600))}.get(do, 0.0)
            way = rng.choice(list(Way)) if do is Do.SILENCE else Way.BOTH
            steps += [Step(begin, do, who, link, way, amount), Step(end, Do.HEAL, who, link)]
        elif do is Do.SERVER_BAD:
            who = some(world.servers)
            steps += [Step(begin, do, who, amount=1.0), Step(end, do, who)]
        else:
            who = () if do in ON_COUNTER else some(world.servers if do in ON_SERVERS else world.limiters)
            steps += [Step(begin, do, who), Step(end, ends[do], who)]
    return replace(world, steps=tuple(sorted(steps, key=lambda s: s.at)))
