"""Events that a gateway handles in the order in which they happened. Times are in seconds."""

from __future__ import annotations

from typing import NamedTuple, Union

from thymeflow.decision.settings import GatewaySettings
from thymeflow.decision.types import Backend, EndpointListKind, LoadReport, Status


class EndpointsChanged(NamedTuple):
    """The endpoint list changed or could not be fetched."""

    kind: EndpointListKind
    backends: tuple[Backend, ...] = ()
    version: int = 0


class RequestReceived(NamedTuple):
    """A client's request, to which the gateway must send exactly one final response within `remaining` seconds.

    The set of the customer's limiters has `set_size` members and begins with the limiter of index `first_limiter`.
    """

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
    """The response to a request of a streamed class has begun and is forwarded to the client while it arrives."""

    id: str
    attempt: int
    backend: int
    latency: float = 0.0


class RequestBodyStarted(NamedTuple):
    """A request body that is too long to be buffered is being sent, so the request cannot be retried."""

    id: str


class AttemptEnded(NamedTuple):
    """The result of one attempt.

    `request_answered` means that the client has received its response. `quota_usage` is the customer's usage at all
    limiters, as the backends meter it, divided by the quota: 1.0 is the full quota.
    """

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
    """The client has disconnected, so the request needs no response."""

    id: str


class TimerFired(NamedTuple):
    """The delay of an earlier `SetTimer` action has passed."""

    token: int


class HealthCheckEnded(NamedTuple):
    """The result of one health check."""

    backend: int
    status: Status
    latency: float = 0.0
    load: LoadReport | None = None


class GossipReceived(NamedTuple):
    """A gossip message from a peer gateway: untrusted, and possibly late or from before the peer's restart."""

    sender: int
    data: bytes


class CounterReplied(NamedTuple):
    """The result of one counter call."""

    name: int
    status: Status
    total: float = 0.0
    latency: float = 0.0


class SettingsChanged(NamedTuple):
    """New settings are in force from now on; open requests keep the settings under which they were admitted."""

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
