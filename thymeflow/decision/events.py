"""Events that a gateway is given. A gateway handles every event in the order in which it happened."""

from __future__ import annotations

from typing import NamedTuple, Union

from thymeflow.decision.settings import GatewaySettings
from thymeflow.decision.types import Backend, EndpointListKind, LoadReport, Status


class EndpointsChanged(NamedTuple):
    """News of the backend list."""

    kind: EndpointListKind
    backends: tuple[Backend, ...] = ()
    version: int = 0


class RequestReceived(NamedTuple):
    """A client's try; it is owed exactly one final answer within `remaining`."""

    id: str
    class_name: str
    plan: str
    customer: str
    remaining: float
    units: float = 1.0
    set_size: int = 1
    first_limiter: int = 0
    is_retry: bool = False
    is_write: bool = False


class ResponseStarted(NamedTuple):
    """The answer of a streamed class has begun; the attempt belongs to the client now."""

    id: str
    attempt: int
    backend: int
    latency: float = 0.0


class RequestBodyStarted(NamedTuple):
    """A body too long to be kept goes into the present attempt: no other one can be made."""

    id: str


class AttemptEnded(NamedTuple):
    """The outcome of one attempt. `used` is the metered use over the quota (1.0 is all of it)."""

    id: str
    attempt: int
    backend: int
    status: Status
    latency: float = 0.0
    request_answered: bool = False
    quota_usage: float | None = None
    actual_units: float | None = None
    load_report: LoadReport | None = None


class ClientDisconnected(NamedTuple):
    """The client is no longer there; no answer is owed."""

    id: str


class TimerFired(NamedTuple):
    """A timer set earlier has come due."""

    token: int


class HealthCheckEnded(NamedTuple):
    """The result of a probe."""

    backend: int
    status: Status
    latency: float = 0.0
    load: LoadReport | None = None


class GossipReceived(NamedTuple):
    """Bytes from another gateway: untrusted, perhaps late, perhaps from before its restart."""

    sender: int
    data: bytes


class CounterReplied(NamedTuple):
    """The answer to one counter call."""

    name: int
    status: Status
    total: float = 0.0
    latency: float = 0.0


class SettingsChanged(NamedTuple):
    """Other settings hold from now on; requests that are open keep those they were taken under."""

    settings: GatewaySettings


Event = Union[
    EndpointsChanged,
    RequestReceived,
    ResponseStarted,
    RequestBodyStarted,
    AttemptEnded,
    ClientDisconnected,
    TimerFired,
    HealthCheckEnded,
    GossipReceived,
    CounterReplied,
    SettingsChanged,
]
