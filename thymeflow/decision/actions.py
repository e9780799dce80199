"""Actions that a gateway returns. The caller carries them out in order. Times are in seconds."""

from __future__ import annotations

from math import inf
from typing import NamedTuple, Union

from thymeflow.decision.types import RejectionReason


class StartAttempt(NamedTuple):
    """Start an attempt at a backend, but do not send it later than `start_within` seconds after this action.

    A `timeout` of 0 means that only the client's deadline limits the attempt.
    """

    id: str
    backend: int
    timeout: float = 0.0
    start_within: float = inf


class RejectRequest(NamedTuple):
    """Final response: the request is rejected, and the client can retry it safely.

    Either no backend executed the request, or the request is idempotent.
    `retry_after` is the advised delay in seconds; 0 means no advice.
    """

    id: str
    reason: RejectionReason
    retry_after: float = 0.0


class FailRequest(NamedTuple):
    """Final response: the request failed, and a backend may have executed it."""

    id: str


class CancelAttempt(NamedTuple):
    """Cancel one attempt; its response is no longer needed."""

    id: str
    attempt: int


class SetTimer(NamedTuple):
    """Request a `TimerFired` event with this token after a delay."""

    token: int
    delay: float


class CheckHealth(NamedTuple):
    """Send a health check to a backend."""

    backend: int


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to a backend."""

    backend: int


class SendGossip(NamedTuple):
    """Send a gossip message to one peer gateway; peer -1 means all peers."""

    peer: int
    data: bytes


class AddToCounter(NamedTuple):
    """Add an amount to a named total at the shared counter; a new total expires after `ttl` seconds."""

    name: int
    amount: float
    ttl: float


class SubscribeEndpoints(NamedTuple):
    """Subscribe to changes of the endpoint list; `on=False` unsubscribes."""

    on: bool = True


class FetchEndpoints(NamedTuple):
    """Fetch the complete endpoint list once."""


class WriteLog(NamedTuple):
    """Write one line to the log."""

    text: str


Action = Union[
    StartAttempt,
    RejectRequest,
    FailRequest,
    CancelAttempt,
    SetTimer,
    CheckHealth,
    CloseIdleConnections,
    SendGossip,
    AddToCounter,
    SubscribeEndpoints,
    FetchEndpoints,
    WriteLog,
]
