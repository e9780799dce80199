"""What a gateway keeps of one request until its last attempt has ended: state, no decisions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from thymeflow.decision.events import RequestReceived
from thymeflow.decision.settings import RequestClass
from thymeflow.decision.types import NOT_EXECUTED, Status
from thymeflow.health.backend_stats import BackendStats
from thymeflow.quota.token_bucket import TokenBucket


class AttemptRecord(NamedTuple):
    """An attempt that was started."""

    backend: BackendStats
    sent_at: float


@dataclass(slots=True)
class RequestState:
    """An admitted request, until it is answered and its last attempt has ended."""

    request: RequestReceived
    request_class: RequestClass
    bucket: TokenBucket
    deadline: float
    max_attempts: int = 1  # as the settings had it when the request was admitted
    attempts: list[AttemptRecord] = field(default_factory=list)
    results: dict[int, Status] = field(default_factory=dict)  # of the attempts that have ended, by number
    is_answered: bool = False
    is_streaming: bool = False
    response_started: bool = False

    def possibly_executed(self) -> list[AttemptRecord]:
        """Return the attempts that may have been executed or may yet be."""
        return [attempt for n, attempt in enumerate(self.attempts) if self.results.get(n) not in NOT_EXECUTED]

    def in_flight(self) -> list[int]:
        """Return the numbers of the attempts that have not ended."""
        return [n for n in range(len(self.attempts)) if n not in self.results]
