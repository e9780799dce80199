"""Customers, and what became of each of their requests as the clients saw it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


@dataclass(slots=True)
class Customer:
    """Who sends how many requests, and through which limiters."""

    number: int
    plan: str
    requests_per_second: float
    units: float = 1.0  # of each request
    first_limiter: int = 0
    spread: int = 1  # how many limiters its requests go through, from the first one on
    limiter_count: int = 1  # at which the numbers of limiters wrap around
    first_limiter_fraction: float = 0.0  # of its requests go to the first limiter, beside that one's even share

    @property
    def name(self) -> str:
        """Return the customer's name on the wire."""
        return f"{self.number:016x}"


class RequestOutcome(Enum):
    """How a request ended; the values are printed by `thymeflow lab`."""

    PENDING = ""
    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    UNANSWERED = "unanswered"
    CONNECT_REFUSED = "refused connect"


@dataclass(slots=True)
class RequestResult:
    """One request and its outcome; times are in Unix seconds."""

    request_id: str
    customer: Customer
    request_class: str
    limiter: int
    started_at: float
    deadline: float
    finished_at: float = 0.0
    outcome: RequestOutcome = RequestOutcome.PENDING
    retry_after_seconds: float = 0.0
    response_count: int = 0  # complete responses
    has_wrong_value: bool = False  # the value is not one that a backend sent for this request
    is_resent: bool = False
    is_limiter_killed: bool = False  # the limiter was killed while the request was pending
    details: list[str] = field(default_factory=list)

    @property
    def is_finished(self) -> bool:
        """Return whether the outcome is known."""
        return self.outcome is not RequestOutcome.PENDING

    @property
    def is_served(self) -> bool:
        """Return whether it got a value."""
        return self.outcome is RequestOutcome.SERVED

    @property
    def duration_seconds(self) -> float:
        """Return the time from the start to the outcome."""
        return self.finished_at - self.started_at
