"""Tables of numbered slots that are reused; a handle contains the slot's number and its generation.

Deadlines and callbacks can outlive the item that they were set for, so they hold a handle instead of the item. The
handle of a removed item finds nothing, even if another item has the slot now.
"""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")

MAX_SLOTS = 1 << 20  # limit of a table's size; a handle is generation * MAX_SLOTS + slot


class SlotTable(Generic[T]):
    """The open items of one kind, by handle."""

    def __init__(self, max_items: int) -> None:
        self._max_items = min(max_items, MAX_SLOTS)
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []
        self._count = 0

    def set_limit(self, max_items: int) -> None:
        """Set another limit; items beyond it stay until they are removed."""
        self._max_items = min(max_items, MAX_SLOTS)

    def __len__(self) -> int:
        return self._count

    def is_full(self) -> bool:
        """Return whether no slot is free."""
        return self._count >= self._max_items

    def add(self, item: T) -> int:
        """Put an item into a slot and return its handle.

        :raises OverflowError: if the table is full; callers check `is_full` first.
        """
        if self.is_full():
            fault = "table is full"
            raise OverflowError(fault)
        if self._free:
            slot = self._free.pop()
            self._items[slot] = item
        else:
            slot = len(self._items)
            self._items.append(item)
            self._generations.append(0)
        self._count += 1
        return self._generations[slot] * MAX_SLOTS + slot

    def get(self, handle: int) -> T | None:
        """Return the item of a handle, or None if it was removed."""
        generation, slot = divmod(handle, MAX_SLOTS)
        is_current = slot < len(self._items) and self._generations[slot] == generation
        return self._items[slot] if is_current else None

    def remove(self, handle: int) -> T | None:
        """Free the slot and return its item, or None if it was removed before."""
        item = self.get(handle)
        if item is not None:
            slot = handle % MAX_SLOTS
            self._items[slot] = None
            self._generations[slot] += 1
            self._free.append(slot)
            self._count -= 1
        return item

    def items(self) -> list[T]:
        """Return all open items, in the order of their slots."""
        return [item for item in self._items if item is not None]
