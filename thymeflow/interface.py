"""What the decision module is told and what it may do: settings, events and actions.

Nothing here decides anything. Settings are validated when they are made, so that a gateway that
starts at all starts with figures that make sense. Times are seconds, quotas are units.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from math import inf, isfinite
from typing import NamedTuple, Union


class Effect(Enum):
    """What a second run of a request would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which backends drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Discovery(Enum):
    """Whether changes of the backend list arrive unasked."""

    PUSH = "push"
    ASK = "ask"


class ReportMode(Enum):
    """Where backends report their load."""

    ANSWERS = "answers"
    PROBES = "probes"
    NONE = "none"


class BackendState(IntEnum):
    """Life of a backend as discovery tells it."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """How a membership event relates to the list held."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Status(IntEnum):
    """How an attempt, a probe or a counter call ended."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8


class Senseless(ValueError):
    """A setting makes no sense; `name` is the field's."""

    def __init__(self, owner: str, name: str, value: object) -> None:
        super().__init__(f"{owner}.{name}: {value!r} makes no sense")
        self.name, self.value = name, value


def _check(ok: bool, owner: str, name: str, value: object) -> None:
    if not ok:
        raise Senseless(owner, name, value)


def _figure(value: object) -> bool:
    # True is a number to Python, and no figure.
    return isinstance(value, (int, float)) and not isinstance(value, bool) and isfinite(value)


def _not_negative(owner: object, *names: str) -> None:
    for name in names:
        value = getattr(owner, name)
        _check(_figure(value) and value >= 0, type(owner).__name__, name, value)


def _positive(owner: object, *names: str) -> None:
    for name in names:
        value = getattr(owner, name)
        _check(_figure(value) and value > 0, type(owner).__name__, name, value)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of request."""

    name: str
    aim: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.UNSAFE
    scope: Scope = Scope.ALL
    window: float = 0.0
    stream: bool = False
    aim_stretch: float = 0.0

    def __post_init__(self) -> None:
        _positive(self, "deadline")
        _not_negative(self, "aim", "worth", "late_worth", "window", "aim_stretch")


@dataclass(frozen=True, slots=True)
class Plan:
    """Quotas of each customer of a plan, over all gateways together; a rate of 0 is no quota."""

    name: str
    rate: float = 0.0
    burst: float = 0.0
    open_limit: int = 0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        _not_negative(self, "rate", "burst", "open_limit", "price", "over_worth", "over_cost",
                      "ceiling_rate", "ceiling_burst", "ceiling_slack")


@dataclass(frozen=True, slots=True)
class Rules:
    """Figures of the rules that hold in every run."""

    drain_grace: float = 0.0
    fall_multiple: float = 1.0
    fall_time: float = 1.0
    cold_share: float = 1.0
    cold_time: float = 0.0
    answer_slack: float = 0.0
    ask_within: float = 10.0

    def __post_init__(self) -> None:
        _not_negative(self, "drain_grace", "fall_multiple", "fall_time", "cold_share", "cold_time",
                      "answer_slack", "ask_within")


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site permits."""

    cancel: bool = False
    probes: bool = False
    peers: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    max_attempts: int = 1
    max_open: int = 20000
    connect_timeout: float = 0.25
    connection_idle: float = 30.0
    streams_per_connection: int = 1

    def __post_init__(self) -> None:
        _not_negative(self, "max_retry_after", "max_open", "connect_timeout", "connection_idle",
                      "streams_per_connection")
        _positive(self, "max_attempts")
        _check(self.max_attempts >= 1, "Limits", "max_attempts", self.max_attempts)


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the result, each times its share or rate."""

    cross_zone: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0
    peer: float = 0.0
    probe: float = 0.0
    counter: float = 0.0

    def __post_init__(self) -> None:
        _not_negative(self, "cross_zone", "waste", "late_fail", "peer", "probe", "counter")


@dataclass(frozen=True, slots=True)
class Information:
    """What gateways can learn of each other's use."""

    counter: bool = False
    counter_timeout: float = 0.05
    meter_period: float = 0.0
    max_units: float = 1.0
    peer_intake: float = 0.0
    settles: bool = False

    def __post_init__(self) -> None:
        _not_negative(self, "counter_timeout", "meter_period", "max_units", "peer_intake")


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told at its start."""

    index: int
    gateways: int
    zone: str
    zones: tuple[str, ...]
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    prices: Prices = field(default_factory=Prices)
    information: Information = field(default_factory=Information)
    discovery: Discovery = Discovery.PUSH
    report: ReportMode = ReportMode.NONE
    report_fields: tuple[str, ...] = ()
    tick: float = 0.001

    def __post_init__(self) -> None:
        _positive(self, "gateways")
        _not_negative(self, "index")
        _check(self.gateways >= 1, "Settings", "gateways", self.gateways)
        _check(0 <= self.index < self.gateways, "Settings", "index", self.index)
        _check(len(self.zones) > 0, "Settings", "zones", self.zones)
        _check(len({c.name for c in self.classes}) == len(self.classes), "Settings", "classes", "repeated name")
        _check(len({p.name for p in self.plans}) == len(self.plans), "Settings", "plans", "repeated name")
        _not_negative(self, "tick")


# What passes between the module and whoever drives it, as named tuples: a frozen dataclass takes six times as long
# to define and half as long again to make, and there are many of both.

class Backend(NamedTuple):
    """A backend as discovery lists it; `started` is 0 when it started long ago."""

    id: int
    zone: str
    state: BackendState = BackendState.READY
    cell: int = 0
    kind: str = ""
    weight: float = 1.0
    started: float = 0.0


class LoadReport(NamedTuple):
    """A backend's own report of its load; values it does not give are None."""

    inflight: float | None = None
    queued: float | None = None
    utilization: float | None = None
    service_time: float | None = None
    requests_per_second: float | None = None
    errors_per_second: float | None = None


class Membership(NamedTuple):
    """News of the backend list."""

    kind: ListKind
    backends: tuple[Backend, ...] = ()
    version: int = 0


class Request(NamedTuple):
    """A client's try; it is owed exactly one final answer within `remaining`."""

    id: str
    class_name: str
    plan: str
    customer: str
    remaining: float
    units: float = 1.0
    spread: int = 1
    first: int = 0
    retry: bool = False
    write: bool = False


class ResponseStarted(NamedTuple):
    """The answer of a streamed class has begun; the attempt belongs to the client now."""

    id: str
    attempt: int
    backend: int
    latency: float = 0.0


class BodyBegun(NamedTuple):
    """A body too long to be kept goes into the present attempt: no other one can be made."""

    id: str


class AttemptEnded(NamedTuple):
    """The outcome of one attempt. `used` is the metered use over the quota (1.0 is all of it)."""

    id: str
    attempt: int
    backend: int
    status: Status
    latency: float = 0.0
    closed: bool = False
    used: float | None = None
    units: float | None = None
    load: LoadReport | None = None


class ClientLeft(NamedTuple):
    """The client is no longer there; no answer is owed."""

    id: str


class TimerFired(NamedTuple):
    """A timer set earlier has come due."""

    token: int


class ProbeEnded(NamedTuple):
    """The result of a probe."""

    backend: int
    status: Status
    latency: float = 0.0
    load: LoadReport | None = None


class PeerMessage(NamedTuple):
    """Bytes from another gateway: untrusted, perhaps late, perhaps from before its restart."""

    sender: int
    data: bytes


class CounterReply(NamedTuple):
    """The answer to one counter call."""

    name: int
    status: Status
    total: float = 0.0
    latency: float = 0.0


class Resettled(NamedTuple):
    """Other settings hold from now on; requests that are open keep those they were taken under."""

    settings: Settings


Event = Union[Membership, Request, ResponseStarted, BodyBegun, AttemptEnded, ClientLeft, TimerFired, ProbeEnded,
              PeerMessage, CounterReply, Resettled]


class Send(NamedTuple):
    """Start an attempt; a timeout of 0 lasts until the client gives up. It may begin `within` so many seconds."""

    id: str
    backend: int
    timeout: float = 0.0
    within: float = inf


class Refuse(NamedTuple):
    """Final answer: declined, and trying again is harmless; `reason` is one of a few words for the log."""

    id: str
    retry_after: float = 0.0
    reason: str = ""


class Fail(NamedTuple):
    """Final answer: failed, nothing promised."""

    id: str


class Cancel(NamedTuple):
    """Stop waiting for one attempt."""

    id: str
    attempt: int


class SetTimer(NamedTuple):
    """Ask for a TimerFired after a delay."""

    token: int
    delay: float


class Probe(NamedTuple):
    """Check a backend."""

    backend: int


class CloseIdle(NamedTuple):
    """Close idle connections to a backend."""

    backend: int


class Tell(NamedTuple):
    """Send bytes to a peer gateway, or to all of them (-1)."""

    peer: int
    data: bytes


class Count(NamedTuple):
    """Add to a named number on the shared counter."""

    name: int
    amount: float
    ttl: float


class Subscribe(NamedTuple):
    """Ask discovery for changes from now on."""

    on: bool = True


class Fetch(NamedTuple):
    """Ask discovery for the whole list once."""


class Log(NamedTuple):
    """A line for the report."""

    text: str


Action = Union[Send, Refuse, Fail, Cancel, SetTimer, Probe, CloseIdle, Tell, Count, Subscribe, Fetch, Log]
