"""Actions that a gateway returns; whoever drives it carries them out in order."""

from __future__ import annotations

from math import inf
from typing import NamedTuple, Union


class StartAttempt(NamedTuple):
    """Start an attempt; a timeout of 0 lasts until the client gives up. It may begin `within` so many seconds."""

    id: str
    backend: int
    timeout: float = 0.0
    start_within: float = inf


class RejectRequest(NamedTuple):
    """Final answer: declined, and trying again is harmless; `reason` is one of a few words for the log."""

    id: str
    retry_after: float = 0.0
    reason: str = ""


class FailRequest(NamedTuple):
    """Final answer: failed, nothing promised."""

    id: str


class CancelAttempt(NamedTuple):
    """Stop waiting for one attempt."""

    id: str
    attempt: int


class SetTimer(NamedTuple):
    """Ask for a TimerFired after a delay."""

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
    """Ask discovery for changes from now on."""

    on: bool = True


class FetchEndpoints(NamedTuple):
    """Ask discovery for the whole list once."""


class WriteLog(NamedTuple):
    """A line for the report."""

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
