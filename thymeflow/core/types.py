"""Requests, responses and attempts as frontends, the dispatcher and the backends pass them on."""

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
    REJECTED = "unavailable"  # trying again is harmless
    FAILED = "failed"  # nothing is promised about its effect


class Response(NamedTuple):
    """The one final response; `value` when served, `retry_after` in seconds when rejected (0: no advice).

    A long value is served from its first bytes on: `stream` brings it, in place of `value`.
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

    A request whose body is not complete has no deadline (inf) until `RequestDispatcher.on_body_received` is called.
    `is_connected` is called before each attempt: nothing is sent for a client that has left, even where the frontend
    could not read of it yet.
    """

    request: RequestReceived
    deadline: float
    payload: object
    size: int  # bytes that it counts for against the memory limit
    is_connected: Callable[[], bool] = _always_connected


class AttemptSpec(NamedTuple):
    """An attempt for the backends to make.

    `on_response_started` is given a long response, and returns whether anybody wants it; None notifies it that a long
    body goes into this attempt, so that there can be no other. An attempt that has to wait is not written after
    `start_deadline`, nor for a client that has left.
    """

    backend: int
    payload: object
    deadline: float
    on_response_started: Callable[[ValueStream | None], bool] = _accept_nothing
    start_deadline: float = inf
    is_connected: Callable[[], bool] = _always_connected


class AttemptResult(NamedTuple):
    """How an attempt ended, and what the backend sent with it."""

    status: Status
    value: bytes = b""
    quota_usage: float | None = None
    actual_units: float | None = None
    load_report: LoadReport | None = None


class AttemptRunner(Protocol):
    """Makes attempts."""

    def start_attempt(self, spec: AttemptSpec) -> Deferred[AttemptResult]:
        """Begin an attempt; cancelling the Deferred ends it with the status CANCELLED."""

    def close_idle(self, backend: int) -> None:
        """Close the idle connections to a backend."""


class CounterClient(Protocol):
    """Adds to named numbers."""

    def add(self, name: int, amount: float, ttl: float, deadline: float) -> Deferred[tuple[Status, float]]:
        """Add to a number; the Deferred gives the status and the total."""


class EndpointSource(Protocol):
    """Watches the endpoint list from the start on, so that only the complete list can be requested."""

    def fetch_complete_list(self) -> None:
        """Request the complete list."""


class PendingRequest:
    """A submitted request, until it is answered and its last attempt has ended."""

    __slots__ = (
        "attempt_count",
        "body_received_at",
        "deadline",
        "id",
        "incoming",
        "is_answered",
        "is_settled",
        "max_attempts",
        "open_attempts",
        "overdue_timer",
        "response_deferred",
        "response_latency",
    )

    def __init__(self, incoming: IncomingRequest, response_deferred: Deferred[Response], max_attempts: int) -> None:
        """`max_attempts` is as the settings have it when the request is submitted."""
        self.incoming = incoming
        self.id = incoming.request.id
        self.deadline = incoming.deadline
        self.response_deferred = response_deferred
        self.max_attempts = max_attempts
        self.attempt_count = 0  # so far, and so the number of the next one
        self.open_attempts: dict[int, Deferred[AttemptResult]] = {}  # by number
        self.is_answered = False
        self.is_settled = False  # the actual units were passed on
        self.overdue_timer = clock.NOT_SCHEDULED
        self.body_received_at = 0.0  # when a long body was complete
        self.response_latency = -1.0  # s: to the first bytes of a long response
