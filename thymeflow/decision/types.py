"""Values that events and actions share: endpoint states, the status of a call, load reports.

The records are named tuples, because a frozen dataclass takes six times as long to define and 1.5 times as long to
create, and a gateway creates many of them.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple


class BackendState(IntEnum):
    """State of a backend according to discovery."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    """Kind of a change to the endpoint list."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Status(IntEnum):
    """Result of an attempt, a health check or a counter call.

    `MOOT` is the result of an attempt that was not sent, because its request was already answered or had no time or
    attempts left.
    The attempt counters in the log are named after the members, in lower case.
    """

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8


# Results that exclude an execution by the backend according to the platform's wire protocol.
NOT_EXECUTED = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)


class RejectionReason(StrEnum):
    """Reason for which a request was rejected; the log and docs/on-call.md contain the values."""

    QUOTA = "quota"
    CONCURRENCY = "concurrency"
    PRESSURE = "pressure"
    NO_BACKEND = "no backend"
    ATTEMPTS = "attempts"
    LATE = "late"
    INVALID = "invalid"


class Backend(NamedTuple):
    """A backend in the endpoint list; `started` is its start time in seconds, or 0 if it started long ago."""

    id: int
    zone: str
    state: BackendState = BackendState.READY
    cell: int = 0
    kind: str = ""
    weight: float = 1.0
    started: float = 0.0


class LoadReport(NamedTuple):
    """Load that a backend reports about itself; a value that it does not report is None."""

    inflight: float | None = None
    queued: float | None = None
    utilization: float | None = None
    service_time: float | None = None
    requests_per_second: float | None = None
    errors_per_second: float | None = None
