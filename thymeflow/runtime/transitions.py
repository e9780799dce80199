"""Transition tables of state machines: the outcome of an event in a state, and an error for a pair without an entry."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import TypeVar

from thymeflow.errors import ThymeflowError

State = TypeVar("State", bound=Enum)
Event = TypeVar("Event", bound=Enum)
Outcome = TypeVar("Outcome")


class IllegalTransitionError(ThymeflowError, KeyError):
    """The table has no entry for an event in a state."""

    def __init__(self, state: object, event: object) -> None:
        super().__init__(f"no transition for {event} in {state}")

    def __str__(self) -> str:
        return str(self.args[0])  # KeyError would return the repr.


class TransitionTable(Mapping[tuple[State, Event], Outcome]):
    """An immutable table of outcomes by state and event.

    An outcome is the next state, or a record of the next state and further effects. `table[state, event]` raises
    IllegalTransitionError if there is no entry. `table.get((state, event), default)` is for state machines that handle
    such events in another way.
    """

    def __init__(self, outcomes: Mapping[tuple[State, Event], Outcome]) -> None:
        self._outcomes = dict(outcomes)

    def __getitem__(self, key: tuple[State, Event]) -> Outcome:
        if key not in self._outcomes:
            raise IllegalTransitionError(*key)
        return self._outcomes[key]

    def __iter__(self) -> Iterator[tuple[State, Event]]:
        return iter(self._outcomes)

    def __len__(self) -> int:
        return len(self._outcomes)
