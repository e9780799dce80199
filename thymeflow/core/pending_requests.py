"""A table of pending requests, bounded in number and in bytes."""

from __future__ import annotations

from thymeflow.core.types import PendingRequest
from thymeflow.runtime.slot_table import SlotTable


class PendingRequests:
    """Finds requests by handle and by id. A lookup by the handle of a removed request finds nothing."""

    def __init__(self, max_requests: int, memory_limit: int) -> None:
        """`memory_limit` is in bytes."""
        self._table: SlotTable[PendingRequest] = SlotTable(max_requests)
        self._handles: dict[str, int] = {}  # by request id
        self._memory_limit = memory_limit
        self.memory_used = 0

    def __len__(self) -> int:
        return len(self._table)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._handles

    def set_max_requests(self, max_requests: int) -> None:
        """Set the bound on the number of requests; present requests beyond it stay until they end."""
        self._table.set_limit(max_requests)

    def set_memory_limit(self, memory_limit: int) -> None:
        """Set the bound, in bytes, that applies to requests added from now on."""
        self._memory_limit = memory_limit

    def can_add(self, size: int) -> bool:
        """Return whether a request of `size` bytes can be added within both bounds."""
        return not self._table.is_full() and self.memory_used + size <= self._memory_limit

    def add(self, pending: PendingRequest) -> int:
        """Add a request and return its handle."""
        handle = self._table.add(pending)
        self._handles[pending.id] = handle
        self.memory_used += pending.incoming.size
        return handle

    def get(self, handle: int) -> PendingRequest | None:
        """Return the request with a handle, or None if it was removed."""
        return self._table.get(handle)

    def find(self, request_id: str) -> PendingRequest | None:
        """Return the request with an id, or None if it is not pending."""
        handle = self._handles.get(request_id)
        return None if handle is None else self._table.get(handle)

    def get_handle(self, request_id: str) -> int:
        """Return the handle of a pending request."""
        return self._handles[request_id]

    def mark_answered(self, pending: PendingRequest) -> None:
        """Mark a request as answered, or as needing no answer, and release its bytes."""
        pending.is_answered = True
        self.memory_used -= pending.incoming.size

    def remove_if_ended(self, pending: PendingRequest) -> None:
        """Remove a request if it is answered and all of its attempts have ended; an attempt that is open needs it."""
        if pending.is_answered and not pending.open_attempts:
            handle = self._handles.pop(pending.id, None)
            if handle is not None:
                self._table.remove(handle)
