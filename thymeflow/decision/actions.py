"""Actions that a gateway returns, to be carried out in order. Times are in s."""

from __future__ import annotations

from math import inf
from typing import NamedTuple, Union

from thymeflow.decision.types import RejectionReason


class StartAttempt(NamedTuple):
    """Start an attempt unless `start_within` has passed; a `timeout` of 0 is the client's own."""

    id: str
    backend: int
    timeout: float = 0.0
    start_within: float = inf


class RejectRequest(NamedTuple):
    """Final response: rejected without effect, so that a retry is harmless; `retry_after` is in s, 0: no advice."""

    id: str
    reason: RejectionReason
    retry_after: float = 0.0


class FailRequest(NamedTuple):
    """Final response: failed, and possibly executed."""

    id: str


class CancelAttempt(NamedTuple):
    """Stop waiting for one attempt."""

    id: str
    attempt: int


class SetTimer(NamedTuple):
    """Request a TimerFired after a delay."""

    token: int
    delay: float


class CheckHealth(NamedTuple):
    """Check a backend."""

    backend: int


class CloseIdleConnections(NamedTuple):
    """Close idle connections to a backend."""

    backend: int


class SendGossip(NamedTuple):
    """Send bytes to a peer gateway, or to all of them (-1)."""

    peer: int
    data: bytes


class AddToCounter(NamedTuple):
    """Add to a named number on the shared counter."""

    name: int
    amount: float
    ttl: float


class SubscribeEndpoints(NamedTuple):
    """Subscribe to changes of the endpoint list, or unsubscribe."""

    on: bool = True


class FetchEndpoints(NamedTuple):
    """Fetch the complete endpoint list once."""


class WriteLog(NamedTuple):
    """Write a line to the log."""

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
