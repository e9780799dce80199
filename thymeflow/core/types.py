"""Types of the requests, responses and attempts that pass between frontends, the dispatcher and the backends."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from math import inf
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from thymeflow.decision.events import RequestReceived
from thymeflow.decision.types import LoadReport, Status
from thymeflow.runtime import clock
from thymeflow.transport.value_stream import ValueStream


class ResponseKind(Enum):
    """The kind of a final response."""

    SERVED = "served"
    REJECTED = "unavailable"  # the client can safely send the request again
    FAILED = "failed"  # the request may or may not have taken effect


class Response(NamedTuple):
    """The one final response to a request.

    A served response has a `value`, or a `stream` that brings a long value from its first bytes on. A rejected response
    has `retry_after` in seconds, or 0 for no advice.
    """

    kind: ResponseKind
    value: bytes = b""
    retry_after: float = 0.0
    stream: ValueStream | None = None


def _always_connected() -> bool:
    return True


def _accept_nothing(_: ValueStream | None) -> bool:
    return False


class IncomingRequest(NamedTuple):
    """A request as a frontend submits it; the backends know how to forward the `payload`.

    The deadline of a request whose body is incomplete is inf until `RequestDispatcher.on_body_received` is called.
    `is_connected` is called before each attempt, so that nothing is sent for a client that has left, even if the
    frontend has not read the end of its connection yet.
    """

    request: RequestReceived
    deadline: float
    payload: object
    size: int  # bytes that count against the memory limit
    is_connected: Callable[[], bool] = _always_connected


class AttemptSpec(NamedTuple):
    """An attempt for the backends to make.

    `on_response_started` is called with a long response, and returns whether the request still needs it. It is called
    with None when a long body is about to be streamed into this attempt, after which no other attempt is possible. An
    attempt that has waited for a connection is not sent after `start_deadline`, nor for a client that has left.
    """

    backend: int
    payload: object
    deadline: float
    on_response_started: Callable[[ValueStream | None], bool] = _accept_nothing
    start_deadline: float = inf
    is_connected: Callable[[], bool] = _always_connected


class AttemptResult(NamedTuple):
    """The status with which an attempt ended, and the value and figures that the backend sent."""

    status: Status
    value: bytes = b""
    quota_usage: float | None = None
    actual_units: float | None = None
    load_report: LoadReport | None = None


class AttemptRunner(Protocol):
    """Makes attempts at backends."""

    def start_attempt(self, spec: AttemptSpec) -> Deferred[AttemptResult]:
        """Begin an attempt and return a Deferred of its result; cancelling it ends the attempt as CANCELLED."""

    def close_idle(self, backend: int) -> None:
        """Close the idle connections to a backend."""


class CounterClient(Protocol):
    """Adds to the numbers that the counter keeps by name."""

    def add(self, name: int, amount: float, ttl: float, deadline: float) -> Deferred[tuple[Status, float]]:
        """Add to a number that expires after `ttl` seconds; return a Deferred of the status and the total."""


class EndpointSource(Protocol):
    """Watches the endpoint list from the start on, and fetches the complete list on request."""

    def fetch_complete_list(self) -> None:
        """Request the complete list."""


class PendingRequest:
    """A submitted request that is not answered yet or whose last attempt has not ended."""

    __slots__ = (
        "attempt_count",
        "body_received_at",
        "deadline",
        "id",
        "incoming",
        "is_answered",
        "is_settled",
        "max_attempts",
        "may_have_executed",
        "open_attempts",
        "overdue_timer",
        "response_deferred",
        "response_latency",
    )

    def __init__(self, incoming: IncomingRequest, response_deferred: Deferred[Response], max_attempts: int) -> None:
        """`max_attempts` comes from the settings in force when the request is submitted."""
        self.incoming = incoming
        self.id = incoming.request.id
        self.deadline = incoming.deadline
        self.response_deferred = response_deferred
        self.max_attempts = max_attempts
        self.attempt_count = 0  # attempts begun so far, which is also the number of the next attempt
        self.open_attempts: dict[int, Deferred[AttemptResult]] = {}  # by attempt number
        self.is_answered = False
        self.may_have_executed = False  # a backend may have executed an attempt that has ended
        self.is_settled = False  # the actual units were passed to the gateway
        self.overdue_timer = clock.NOT_SCHEDULED
        self.body_received_at = 0.0  # time at which a long body was complete
        self.response_latency = -1.0  # seconds to the first bytes of a long response; negative until they arrive
