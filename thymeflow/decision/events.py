"""Events that a gateway handles, each in the order in which it happened. Times are in s."""

from __future__ import annotations

from typing import NamedTuple, Union

from thymeflow.decision.settings import GatewaySettings
from thymeflow.decision.types import Backend, EndpointListKind, LoadReport, Status


class EndpointsChanged(NamedTuple):
    """The endpoint list changed, or could not be fetched."""

    kind: EndpointListKind
    backends: tuple[Backend, ...] = ()
    version: int = 0


class RequestReceived(NamedTuple):
    """A client's request, which gets exactly one final response within `remaining` seconds."""

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
    """The response of a streamed class has begun: from now on it goes to the client as it comes."""

    id: str
    attempt: int
    backend: int
    latency: float = 0.0


class RequestBodyStarted(NamedTuple):
    """A body too long to be buffered is sent with this attempt, so that there can be no retry."""

    id: str


class AttemptEnded(NamedTuple):
    """The result of one attempt. `quota_usage` is the metered use over the quota (1.0 is all of it)."""

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
    """The client has disconnected; no response is owed."""

    id: str


class TimerFired(NamedTuple):
    """A timer set earlier has come due."""

    token: int


class HealthCheckEnded(NamedTuple):
    """The result of a health check."""

    backend: int
    status: Status
    latency: float = 0.0
    load: LoadReport | None = None


class GossipReceived(NamedTuple):
    """Bytes from a peer gateway: untrusted, possibly late, possibly from before its restart."""

    sender: int
    data: bytes


class CounterReplied(NamedTuple):
    """The result of one counter call."""

    name: int
    status: Status
    total: float = 0.0
    latency: float = 0.0


class SettingsChanged(NamedTuple):
    """Other settings are in force from now on; open requests keep those under which they were admitted."""

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
