"""State that a gateway keeps for one request until its last attempt has ended. No decisions."""

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
    """State of a request until it is answered and its last attempt has ended."""

    request: RequestReceived
    request_class: RequestClass
    bucket: TokenBucket
    deadline: float
    max_attempts: int = 1  # Limit in the settings under which the request was admitted.
    attempts: list[AttemptRecord] = field(default_factory=list)
    results: dict[int, Status] = field(default_factory=dict)  # Results of ended attempts by attempt number.
    is_answered: bool = False
    is_streaming: bool = False
    response_started: bool = False

    def find_possibly_executed_attempts(self) -> list[AttemptRecord]:
        """Return the attempts that a backend may have executed or may still execute."""
        return [attempt for n, attempt in enumerate(self.attempts) if self.results.get(n) not in NOT_EXECUTED]

    def find_attempts_in_flight(self) -> list[int]:
        """Return the numbers of the attempts that have not ended."""
        return [n for n in range(len(self.attempts)) if n not in self.results]
