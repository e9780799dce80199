"""State that a gateway keeps for one request until its last attempt has ended; it makes no decisions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from thymeflow.decision.events import RequestReceived
from thymeflow.decision.settings import RequestClass
from thymeflow.decision.types import NOT_EXECUTED, Status
from thymeflow.health.backend_stats import BackendStats
from thymeflow.quota.token_bucket import TokenBucket


class AttemptRecord(NamedTuple):
    """The backend and start time of an attempt."""

    backend: BackendStats
    sent_at: float


@dataclass(slots=True)
class RequestState:
    """State of a request from its registration until it needs no response and its last attempt has ended."""

    request: RequestReceived
    request_class: RequestClass
    bucket: TokenBucket
    deadline: float
    max_attempts: int = 1  # Limit in force when the request was registered.
    attempts: list[AttemptRecord] = field(default_factory=list)
    results: dict[int, Status] = field(default_factory=dict)  # Results of ended attempts by attempt number.
    is_answered: bool = False  # Also set if the client has disconnected and needs no response.
    # The body of the request or of its response is forwarded while it arrives, so the request cannot be retried,
    # and its deadline does not end it.
    is_streaming: bool = False
    deadline_timer: int = 0  # Token of the timer that ends the request
    is_capacity_released: bool = False  # The backend's capacity was released when the response began.

    def find_possibly_executed_attempts(self) -> list[AttemptRecord]:
        """Return the attempts that a backend may have executed or may still execute."""
        return [attempt for n, attempt in enumerate(self.attempts) if self.results.get(n) not in NOT_EXECUTED]

    def find_attempts_in_flight(self) -> list[int]:
        """Return the numbers of the attempts that have not ended."""
        return [n for n in range(len(self.attempts)) if n not in self.results]
