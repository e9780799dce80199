"""Transition tables: what a lookup returns, and the error for a pair that is not in the table."""

from __future__ import annotations

from enum import Enum

import pytest

from thymeflow.errors import ThymeflowError
from thymeflow.runtime.transitions import IllegalTransitionError, TransitionTable


class DoorState(Enum):
    """The states of an example."""

    OPEN = "open"
    CLOSED = "closed"


class DoorEvent(Enum):
    """The events of an example."""

    PUSH = "push"
    PULL = "pull"


TABLE: TransitionTable[DoorState, DoorEvent, DoorState] = TransitionTable(
    {
        (DoorState.OPEN, DoorEvent.PUSH): DoorState.CLOSED,
        (DoorState.CLOSED, DoorEvent.PULL): DoorState.OPEN,
    }
)


def test_lookup_returns_the_outcome_when_the_pair_is_in_the_table() -> None:
    assert TABLE[DoorState.OPEN, DoorEvent.PUSH] is DoorState.CLOSED
    assert (DoorState.CLOSED, DoorEvent.PULL) in TABLE
    assert len(TABLE) == 2
    assert list(TABLE) == [(DoorState.OPEN, DoorEvent.PUSH), (DoorState.CLOSED, DoorEvent.PULL)]


def test_lookup_raises_and_names_state_and_event_when_the_pair_is_not_in_the_table() -> None:
    with pytest.raises(IllegalTransitionError) as caught:
        TABLE[DoorState.OPEN, DoorEvent.PULL]
    assert str(caught.value) == "no transition for DoorEvent.PULL in DoorState.OPEN"
    assert isinstance(caught.value, KeyError)
    assert isinstance(caught.value, ThymeflowError)


def test_get_returns_the_default_when_the_pair_is_not_in_the_table() -> None:
    assert TABLE.get((DoorState.OPEN, DoorEvent.PULL), DoorState.OPEN) is DoorState.OPEN
    assert (DoorState.OPEN, DoorEvent.PULL) not in TABLE


def test_table_keeps_its_entries_when_the_mapping_that_it_was_made_of_changes() -> None:
    entries = {(DoorState.OPEN, DoorEvent.PUSH): DoorState.CLOSED}
    table = TransitionTable(entries)
    entries.clear()
    assert len(table) == 1
