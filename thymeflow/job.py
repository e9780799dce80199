"""What a gateway keeps of one request until its last attempt has ended: state, no decisions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

from thymeflow import interface as api

NEVER_RAN = (api.Status.FULL, api.Status.CONNECT_FAILED, api.Status.MOOT)   # as the wire defines them

ServerT = TypeVar("ServerT")
StoreT = TypeVar("StoreT")


@dataclass(slots=True)
class Job(Generic[ServerT, StoreT]):
    """A request taken in, until it is answered and its last attempt has ended."""

    request: api.Request
    cls: api.RequestClass
    store: StoreT
    end: float
    most: int = 1                # attempts, as the settings had it when it was taken
    attempts: list[tuple[ServerT, float]] = field(default_factory=list)   # backend and send time of each
    ended: dict[int, api.Status] = field(default_factory=dict)            # how those ended that have
    done: bool = False
    streaming: bool = False
    begun: bool = False          # its answer has begun

    def ran(self) -> list[tuple[ServerT, float]]:
        """Attempts that may have run or may yet."""
        return [a for n, a in enumerate(self.attempts) if self.ended.get(n) not in NEVER_RAN]

    def out(self) -> list[int]:
        """Numbers of the attempts still out."""
        return [n for n in range(len(self.attempts)) if n not in self.ended]
