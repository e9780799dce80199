"""Characterization of the fleet controller: the decisions of seeded runs, as digests that survive a renaming.

Decisions and texts have digests of their own, as a text may be reworded on purpose while a decision may not change.
"""

from __future__ import annotations

import pytest

from tests.fleet.controller_labels import list_table_rows, record_transitions
from tests.fleet.controller_trace import run_episodes
from tests.golden_trace import assert_golden, golden


def test_transition_table_is_the_one_on_file_when_written_in_labels() -> None:
    """Each legal pair of state and transition leads to the same state."""
    assert {"rows": list_table_rows()} == golden("fleet-table")


def test_every_legal_transition_is_driven_when_members_start_fail_and_operations_overlap(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The seeded runs go through all of the table, so that the digests cover each pair."""
    pairs = record_transitions(monkeypatch)
    run_episodes()
    assert pairs == {(state, event) for state, event, _ in list_table_rows()}


def test_decisions_match_the_digest_when_members_start_fail_and_operations_overlap() -> None:
    """Actions, states and deadlines are those on file."""
    assert_golden(run_episodes()[0], "fleet-decisions")


def test_texts_match_the_digest_when_members_start_fail_and_operations_overlap() -> None:
    """Log lines, reports to operators and descriptions of the operation in progress are those on file."""
    assert_golden(run_episodes()[1], "fleet-texts")
