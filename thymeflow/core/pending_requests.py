"""The table of pending requests, bounded in number and in the bytes that they hold."""

from __future__ import annotations

from thymeflow.core.types import PendingRequest
from thymeflow.runtime.slot_table import SlotTable


class PendingRequests:
    """Requests by handle and by id. A handle of a request that was removed finds nothing."""

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
        """Bound the number of requests from now on; those over it stay until they end."""
        self._table.set_limit(max_requests)

    def set_memory_limit(self, memory_limit: int) -> None:
        """Bound the bytes of requests that are added from now on."""
        self._memory_limit = memory_limit

    def can_add(self, size: int) -> bool:
        """Return whether there is a slot, and memory for so many bytes."""
        return not self._table.is_full() and self.memory_used + size <= self._memory_limit

    def add(self, pending: PendingRequest) -> int:
        """Add a request and return its handle."""
        handle = self._table.add(pending)
        self._handles[pending.id] = handle
        self.memory_used += pending.incoming.size
        return handle

    def get(self, handle: int) -> PendingRequest | None:
        """Return the request of a handle, None once it was removed."""
        return self._table.get(handle)

    def find(self, request_id: str) -> PendingRequest | None:
        """Return the request of an id, None where it is not pending."""
        handle = self._handles.get(request_id)
        return None if handle is None else self._table.get(handle)

    def get_handle(self, request_id: str) -> int:
        """Return the handle of a request that is pending."""
        return self._handles[request_id]

    def mark_answered(self, pending: PendingRequest) -> None:
        """Note that a request is answered, or that no answer is owed: its bytes are free."""
        pending.is_answered = True
        self.memory_used -= pending.incoming.size

    def remove_if_ended(self, pending: PendingRequest) -> None:
        """Remove a request that is answered, once its last attempt has ended: late ends still find it."""
        if pending.is_answered and not pending.open_attempts:
            handle = self._handles.pop(pending.id, None)
            if handle is not None:
                self._table.remove(handle)
