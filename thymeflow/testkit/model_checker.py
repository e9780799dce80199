"""A model checker: explores every state that a model can reach within a number of steps, and checks each.

The model is copied for each step that may come next; a state that was reached before is not explored again.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Protocol, Self, TypeVar


class Model(Protocol):
    """What is explored."""

    def steps(self) -> Iterable[tuple[str, Callable[[Self], object]]]:
        """Return all steps that may come next: a name, and the function that does the step to a copy of this model."""

    def copy(self) -> Self:
        """Return an independent model in the same state."""

    def fingerprint(self) -> Hashable:
        """Return all that makes a difference to what may come; equal for states that need to be explored once."""

    def violation(self) -> str:
        """Describe what must never be, empty where the state is legal."""


ModelType = TypeVar("ModelType", bound=Model)


@dataclass(frozen=True, slots=True)
class Exploration:
    """The result of an exploration."""

    state_count: int
    depth: int  # to which all states were explored
    violation: str  # the first that was found, empty where there is none
    path: tuple[str, ...] = ()  # names of the steps that lead to it


def explore(
    initial: ModelType,
    max_depth: int,
    max_states: int = 10**9,
    step_prefixes: frozenset[str] = frozenset(),
) -> Exploration:
    """Explore breadth first, so that a violation has a shortest path; end at the first one, or at so many states.

    :param step_prefixes: only steps whose name begins with one of these are taken, to go deeper; none for all steps.
    """
    prefixes = tuple(step_prefixes)
    seen: set[Hashable] = {initial.fingerprint()}
    level: list[tuple[ModelType, tuple[str, ...]]] = [(initial, ())]
    for depth in range(max_depth):
        next_level: list[tuple[ModelType, tuple[str, ...]]] = []
        for model, path in level:
            for name, step in model.steps():
                if prefixes and not name.startswith(prefixes):
                    continue
                successor = model.copy()
                step(successor)
                fingerprint = successor.fingerprint()
                if fingerprint in seen:
                    continue
                seen.add(fingerprint)
                violation = successor.violation()
                if violation:
                    return Exploration(len(seen), depth, violation, (*path, name))
                next_level.append((successor, (*path, name)))
                if len(seen) >= max_states:
                    return Exploration(len(seen), depth, "")
        level = next_level
    return Exploration(len(seen), max_depth, "")
