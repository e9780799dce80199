"""Values that events and actions share: endpoint states, the status of a call, load reports.

These are named tuples: a frozen dataclass takes six times as long to define and half as long again to create, and
there are many of them.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple


class BackendState(IntEnum):
    """State of a backend as discovery reports it."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    """How a watch event relates to the present endpoint list."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Status(IntEnum):
    """How an attempt, a health check or a counter call ended."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8


NOT_EXECUTED = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)  # as the platform's wire defines them


class RejectionReason(StrEnum):
    """Why a request was rejected; operators find the values in the log, and in docs/on-call.md."""

    QUOTA = "quota"
    CONCURRENCY = "concurrency"
    PRESSURE = "pressure"
    NO_BACKEND = "no backend"
    ATTEMPTS = "attempts"
    LATE = "late"
    INVALID = "invalid"


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
    """A backend's own report of its load; values that it does not report are None."""

    inflight: float | None = None
    queued: float | None = None
    utilization: float | None = None
    service_time: float | None = None
    requests_per_second: float | None = None
    errors_per_second: float | None = None
