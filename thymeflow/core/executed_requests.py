"""The ids of requests that a backend may have executed and that must not be executed again."""

from __future__ import annotations

from typing import Protocol

from thymeflow.runtime import clock

REMEMBERED_SECONDS = 60.0  # longer than clients wait and than idempotency windows last, on the sites known
MAX_REMEMBERED = 16384


class ExecutedRequests(Protocol):
    """Remembers requests for `REMEMBERED_SECONDS` after their first attempt has begun."""

    def add(self, request_id: str) -> None:
        """Remember a request, whose first attempt is about to begin."""

    def discard(self, request_id: str) -> None:
        """Forget a request that certainly was not executed."""

    def contains(self, request_id: str) -> bool:
        """Return whether a request was added less than `REMEMBERED_SECONDS` ago and not discarded."""


class LocalExecutedRequests:
    """Remembers the requests of this process; the oldest are forgotten if there are too many."""

    def __init__(self) -> None:
        self._added_at: dict[str, float] = {}  # by request id, the oldest first

    def add(self, request_id: str) -> None:
        """Remember a request, whose first attempt is about to begin."""
        self._added_at.pop(request_id, None)
        self._added_at[request_id] = clock.now()
        self._forget_oldest()

    def _forget_oldest(self) -> None:
        oldest_id, added_at = next(iter(self._added_at.items()))
        while len(self._added_at) > MAX_REMEMBERED or clock.now() - added_at > REMEMBERED_SECONDS:
            del self._added_at[oldest_id]
            oldest_id, added_at = next(iter(self._added_at.items()))

    def discard(self, request_id: str) -> None:
        """Forget a request that certainly was not executed."""
        self._added_at.pop(request_id, None)

    def contains(self, request_id: str) -> bool:
        """Return whether a request was added less than `REMEMBERED_SECONDS` ago and not discarded."""
        added_at = self._added_at.get(request_id)
        return added_at is not None and clock.now() - added_at <= REMEMBERED_SECONDS
