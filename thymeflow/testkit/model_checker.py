"""Every state that some minds can reach within so many steps, each held against what must never be.

A world is copied for each step that may come next; two worlds that look the same are gone on from once.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, Protocol, Self, TypeVar


class World(Protocol):
    """What is explored."""

    def steps(self) -> Iterable[tuple[str, Callable[..., None]]]:
        """All that may happen next: a name, and the function that does it to a copy of this world."""

    def copied(self) -> Self:
        """Another world that is as this one is."""

    def look(self) -> Hashable:
        """All that makes a difference to what may come."""

    def wrong(self) -> str:
        """What must never be, where it is so; else nothing."""


W = TypeVar("W", bound=World)


@dataclass(frozen=True, slots=True)
class Found(Generic[W]):
    """What came of it."""

    states: int
    depth: int  # to which all was explored
    fault: str  # the first fault, or nothing
    path: tuple[str, ...] = ()  # the steps that lead to it


def explored(first: W, depth: int, most: int = 10**9, words: frozenset[str] = frozenset()) -> Found[W]:
    """Breadth first, so that a fault comes with a shortest path to it; ends at the first, or at so many states.

    `words`: only steps whose name begins with one of them, to go deeper where a fault is looked for.
    """
    seen: set[Hashable] = {first.look()}
    level: list[tuple[W, tuple[str, ...]]] = [(first, ())]
    for reached in range(depth):
        after: list[tuple[W, tuple[str, ...]]] = []
        for world, path in level:
            for name, step in world.steps():
                if words and not any(name.startswith(word) for word in words):
                    continue
                made = world.copied()
                step(made)
                look = made.look()
                if look in seen:
                    continue
                seen.add(look)
                if fault := made.wrong():
                    return Found(len(seen), reached, fault, (*path, name))
                after.append((made, (*path, name)))
                if len(seen) >= most:
                    return Found(len(seen), reached, "")
        level = after
    return Found(len(seen), depth, "")
