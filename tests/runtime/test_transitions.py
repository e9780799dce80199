"""Transition tables: what a lookup returns, and the error for a pair that is not in the table."""

from __future__ import annotations

from enum import Enum

import pytest

from thymeflow.errors import ThymeflowError
from thymeflow.runtime.transitions import IllegalTransitionError, TransitionTable


class GateState(Enum):
    """The states of an example."""

    OPEN = "open"
    CLOSED = "closed"


class GateEvent(Enum):
    """The events of an example."""

    PUSH = "push"
    PULL = "pull"


TABLE: TransitionTable[GateState, GateEvent, GateState] = TransitionTable(
    {
        (GateState.OPEN, GateEvent.PUSH): GateState.CLOSED,
        (GateState.CLOSED, GateEvent.PULL): GateState.OPEN,
    }
)


def test_lookup_returns_the_outcome_when_the_pair_is_in_the_table() -> None:
    assert TABLE[GateState.OPEN, GateEvent.PUSH] is GateState.CLOSED
    assert (GateState.CLOSED, GateEvent.PULL) in TABLE
    assert len(TABLE) == 2
    assert list(TABLE) == [(GateState.OPEN, GateEvent.PUSH), (GateState.CLOSED, GateEvent.PULL)]


def test_lookup_raises_and_names_state_and_event_when_the_pair_is_not_in_the_table() -> None:
    with pytest.raises(IllegalTransitionError) as caught:
        TABLE[GateState.OPEN, GateEvent.PULL]
    assert str(caught.value) == "no transition for GateEvent.PULL in GateState.OPEN"
    assert isinstance(caught.value, KeyError)
    assert isinstance(caught.value, ThymeflowError)


def test_get_returns_the_default_when_the_pair_is_not_in_the_table() -> None:
    assert TABLE.get((GateState.OPEN, GateEvent.PULL), GateState.OPEN) is GateState.OPEN
    assert (GateState.OPEN, GateEvent.PULL) not in TABLE


def test_table_keeps_its_entries_when_the_mapping_passed_to_it_changes() -> None:
    entries = {(GateState.OPEN, GateEvent.PUSH): GateState.CLOSED}
    table = TransitionTable(entries)
    entries.clear()
    assert len(table) == 1
