"""Tables of numbered slots, used again; a handle also names the slot's generation.

Deadlines and callbacks outlive what they were set for. They hold handles instead of objects: the
handle of what has ended finds nothing, also after its slot has been taken by something new.
"""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")

WIDTH = 1 << 20  # slots of a table at most; a handle is generation * WIDTH + slot


class SlotTable(Generic[T]):
    """What is open of one kind, by handle."""

    def __init__(self, most: int) -> None:
        self._most = min(most, WIDTH)
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []
        self._count = 0

    def set_limit(self, most: int) -> None:
        """Hold so many at most from now on; what is over that stays until it ends."""
        self._most = min(most, WIDTH)

    def __len__(self) -> int:
        return self._count

    def is_full(self) -> bool:
        """Whether no slot is left."""
        return self._count >= self._most

    def add(self, item: T) -> int:
        """Put something into a slot; the caller has seen that the table is not full."""
        if self.is_full():
            raise OverflowError("table is full")
        if self._free:
            slot = self._free.pop()
            self._items[slot] = item
        else:
            slot = len(self._items)
            self._items.append(item)
            self._generations.append(0)
        self._count += 1
        return self._generations[slot] * WIDTH + slot

    def get(self, handle: int) -> T | None:
        """What the handle names, or None once that has ended."""
        generation, slot = divmod(handle, WIDTH)
        current = slot < len(self._items) and self._generations[slot] == generation
        return self._items[slot] if current else None

    def remove(self, handle: int) -> T | None:
        """Free the slot; the handle finds nothing from now on."""
        item = self.get(handle)
        if item is not None:
            slot = handle % WIDTH
            self._items[slot] = None
            self._generations[slot] += 1
            self._free.append(slot)
            self._count -= 1
        return item

    def all(self) -> list[T]:
        """All that is open."""
        return [item for item in self._items if item is not None]
