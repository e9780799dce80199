"""Settings of a gateway, validated when they are created.

Times are in seconds and quotas in units. Each class checks its own values, so that a gateway never starts with
invalid values.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import isfinite

from thymeflow.errors import ThymeflowError


class Idempotency(Enum):
    """Whether backends may execute a request more than once."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class IdempotencyScope(Enum):
    """Which backends, relative to the first one, recognize a repeated idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """How changes of the endpoint list reach the gateway."""

    PUSH = "push"
    POLL = "ask"


class LoadReportMode(Enum):
    """Which messages contain the load reports of backends."""

    RESPONSES = "answers"
    HEALTH_CHECKS = "probes"
    NONE = "none"


# Names that error messages use instead of the names in the code, because operators search for these texts.
_REPORTED_NAMES = {"GatewaySettings": "Settings", "limiter_count": "gateways", "timer_resolution": "tick"}


class InvalidSettingError(ThymeflowError, ValueError):
    """A setting is invalid.

    `name` is the name of the field in the code, and `value` is its value or a text that describes the fault.
    """

    def __init__(self, owner: str, name: str, value: object) -> None:
        reported = f"{_REPORTED_NAMES.get(owner, owner)}.{_REPORTED_NAMES.get(name, name)}"
        super().__init__(f"{reported}: {value!r} makes no sense")
        self.name = name
        self.value = value


def _check_setting(ok: bool, owner: str, name: str, value: object) -> None:
    if not ok:
        raise InvalidSettingError(owner, name, value)


def _is_number(value: object) -> bool:
    # A bool is not a number here, although bool is a subclass of int.
    return isinstance(value, (int, float)) and not isinstance(value, bool) and isfinite(value)


def _check_not_negative(owner: object, *names: str) -> None:
    for name in names:
        value = getattr(owner, name)
        _check_setting(_is_number(value) and value >= 0, type(owner).__name__, name, value)


def _check_positive(owner: object, *names: str) -> None:
    for name in names:
        value = getattr(owner, name)
        _check_setting(_is_number(value) and value > 0, type(owner).__name__, name, value)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with its objectives and its idempotency.

    `deadline` is the time after receipt within which the client needs the final response. If `late_weight` and
    `latency_objective_stretch` are 0, a response after the latency objective has no value. The product of
    `priority_weight` and the plan's `price` orders requests for load shedding.
    """

    name: str
    latency_objective: float
    deadline: float
    priority_weight: float = 1.0
    late_weight: float = 0.0
    idempotency: Idempotency = Idempotency.NOT_IDEMPOTENT
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window: float = 0.0
    is_streamed: bool = False
    latency_objective_stretch: float = 0.0

    def __post_init__(self) -> None:
        _check_positive(self, "deadline")
        _check_not_negative(
            self,
            "latency_objective",
            "priority_weight",
            "late_weight",
            "idempotency_window",
            "latency_objective_stretch",
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """Quota of each customer with this plan, over all limiters together.

    A `rate` of 0 means that the quota does not limit the units. `ceiling_rate` and `ceiling_burst` limit the declared
    units, and are not exceeded even without reports from other limiters. A `ceiling_rate` of 0 means no ceiling.
    The higher `over_quota_cost` is, the fewer requests are admitted over the quota. No decision reads
    `over_quota_weight` and `ceiling_slack`.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    max_concurrency: int = 0
    price: float = 1.0
    over_quota_weight: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        _check_not_negative(
            self,
            "rate",
            "burst",
            "max_concurrency",
            "price",
            "over_quota_weight",
            "over_quota_cost",
            "ceiling_rate",
            "ceiling_burst",
            "ceiling_slack",
        )


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the platform for draining, overload, slow start and response times.

    In any window of `overload_seconds`, all limiters together may load a backend in slow start with at most
    `overload_multiple` times its present capacity.
    """

    drain_grace: float = 0.0
    overload_multiple: float = 1.0
    overload_seconds: float = 1.0
    slow_start_fraction: float = 1.0
    slow_start_seconds: float = 0.0
    response_grace: float = 0.0
    max_poll_interval: float = 10.0

    def __post_init__(self) -> None:
        _check_not_negative(
            self,
            "drain_grace",
            "overload_multiple",
            "overload_seconds",
            "slow_start_fraction",
            "slow_start_seconds",
            "response_grace",
            "max_poll_interval",
        )


@dataclass(frozen=True, slots=True)
class Limits:
    """Features that the deployment permits, and upper bounds for the gateway."""

    cancel: bool = False
    health_checks: bool = False
    gossip: bool = False
    hedged_requests: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    max_attempts: int = 1
    max_concurrent_requests: int = 20000
    connect_timeout: float = 0.25
    connection_idle: float = 30.0
    streams_per_connection: int = 1

    def __post_init__(self) -> None:
        _check_not_negative(
            self,
            "max_retry_after",
            "max_concurrent_requests",
            "connect_timeout",
            "connection_idle",
            "streams_per_connection",
        )
        _check_positive(self, "max_attempts")
        _check_setting(self.max_attempts >= 1, "Limits", "max_attempts", self.max_attempts)


@dataclass(frozen=True, slots=True)
class Prices:
    """Points deducted from the result. Each price is multiplied by its measured fraction or rate.

    The gateway stores the prices of the platform's settings, and no decision reads them.
    """

    cross_zone: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0
    gossip: float = 0.0
    health_check: float = 0.0
    counter: float = 0.0

    def __post_init__(self) -> None:
        _check_not_negative(self, "cross_zone", "waste", "late_fail", "gossip", "health_check", "counter")


@dataclass(frozen=True, slots=True)
class Information:
    """How limiters learn about each other's usage, and the bounds on the units of a request and on gossip."""

    counter: bool = False
    counter_timeout: float = 0.05
    meter_period: float = 0.0
    max_units: float = 1.0
    max_gossip_per_second: float = 0.0
    settles_units: bool = False

    def __post_init__(self) -> None:
        _check_not_negative(self, "counter_timeout", "meter_period", "max_units", "max_gossip_per_second")


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of a gateway."""

    index: int
    limiter_count: int
    zone: str
    zones: tuple[str, ...]
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    prices: Prices = field(default_factory=Prices)
    information: Information = field(default_factory=Information)
    discovery: DiscoveryMode = DiscoveryMode.PUSH
    load_report_mode: LoadReportMode = LoadReportMode.NONE
    load_report_fields: tuple[str, ...] = ()
    timer_resolution: float = 0.001

    def __post_init__(self) -> None:
        _check_positive(self, "limiter_count")
        _check_not_negative(self, "index")
        _check_setting(self.limiter_count >= 1, "GatewaySettings", "limiter_count", self.limiter_count)
        _check_setting(0 <= self.index < self.limiter_count, "GatewaySettings", "index", self.index)
        _check_setting(len(self.zones) > 0, "GatewaySettings", "zones", self.zones)
        _check_setting(
            len({c.name for c in self.classes}) == len(self.classes),
            "GatewaySettings",
            "classes",
            "repeated name",
        )
        _check_setting(
            len({p.name for p in self.plans}) == len(self.plans), "GatewaySettings", "plans", "repeated name"
        )
        _check_not_negative(self, "timer_resolution")
