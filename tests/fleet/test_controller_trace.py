"""Characterization of the fleet controller: digests of the decisions in seeded runs, which do not depend on names.

Decisions and texts have separate digests, because a text may be reworded on purpose while a decision may not change.
"""

from __future__ import annotations

import pytest

from tests.fleet.controller_labels import list_table_rows, record_transitions
from tests.fleet.controller_trace import run_episodes
from tests.golden_trace import assert_golden, golden


def test_transition_table_equals_the_recorded_one_when_written_in_labels() -> None:
    """Each legal pair of state and transition leads to the recorded state."""
    assert {"rows": list_table_rows()} == golden("fleet-table")


def test_every_legal_transition_is_driven_when_members_start_fail_and_operations_overlap(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A pair that no seeded run reaches would not be covered by the digests."""
    pairs = record_transitions(monkeypatch)
    run_episodes()
    assert pairs == {(state, transition) for state, transition, _ in list_table_rows()}


def test_decisions_match_the_digest_when_members_start_fail_and_operations_overlap() -> None:
    """Actions, states and deadlines equal the recorded ones."""
    assert_golden(run_episodes()[0], "fleet-decisions")


def test_texts_match_the_digest_when_members_start_fail_and_operations_overlap() -> None:
    """Log lines, reports to operators and descriptions of the operation in progress equal the recorded ones."""
    assert_golden(run_episodes()[1], "fleet-texts")
