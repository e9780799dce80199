"""The test command of CI deselects the tests that KNOWN-RED.txt lists, and no other.

The tests guard against a CI run that passes although a test fails that no entry names, for example because an entry
matches a prefix of other ids, and against entries that stay after their test passes again.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

from tests.limiter import ROOT

SUITE = """
import pytest
def test_good(): pass
def test_red(): assert False
def test_red_too(): assert False
@pytest.mark.parametrize("n", range(4))
def test_many(n): assert False
"""
SUITE_WITH_ONE_FAILURE = SUITE[: SUITE.index("def test_red_too")]
RED_ENTRY = "test_x.py::test_red | pytest -q test_x.py, seed 7 | the fault | 28\n"
FOUR_RED_ENTRIES = "".join(f"test_x.py::test_many[{n}] | pytest -q | the fault | 28\n" for n in range(4))


class Run(NamedTuple):
    """The exit code and the output of a run of CI's test command."""

    exit_code: int
    output: str


def run_ci(folder: Path, entries: str | None, suite: str = SUITE) -> Run:
    (folder / "test_x.py").write_text(suite)
    if entries is not None:
        (folder / "KNOWN-RED.txt").write_text(entries)
    completed = subprocess.run(
        [sys.executable, str(ROOT / ".ci" / "known_red.py"), "-q", "-p", "no:cacheprovider"],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
    )
    return Run(completed.returncode, completed.stdout)


def test_known_red_test_is_deselected_and_printed_when_it_fails(tmp_path: Path) -> None:
    run = run_ci(tmp_path, RED_ENTRY, SUITE_WITH_ONE_FAILURE)
    assert run.exit_code == 0
    assert RED_ENTRY.strip() in run.output
    assert "1 passed, 1 deselected" in run.output


def test_any_number_of_entries_is_deselected_and_printed_when_each_fails(tmp_path: Path) -> None:
    entries = FOUR_RED_ENTRIES + RED_ENTRY + RED_ENTRY.replace("test_red", "test_red_too")
    run = run_ci(tmp_path, entries)
    assert run.exit_code == 0
    assert "1 passed, 6 deselected" in run.output
    assert all(entry in run.output for entry in entries.splitlines())


@pytest.mark.parametrize("entries", [None, "", "\n"])
def test_failing_test_fails_the_run_when_no_entry_names_it(tmp_path: Path, entries: str | None) -> None:
    assert run_ci(tmp_path, entries, SUITE_WITH_ONE_FAILURE).exit_code == 1


@pytest.mark.parametrize(
    ("entries", "reason"),
    [
        (FOUR_RED_ENTRIES, "2 failed"),
        ("test_x.py::test_nowhere | c | s | 28\n", "no such test"),
        ("test_x.py::test_good | c | s | 28\n", "passes again"),
        ("test_x.py::test_red | c | s\n", "line 1"),
        ("test_x.py | c | s | 28\n", "line 1"),
        ("::x | | s | 28\n", "line 1"),
        (RED_ENTRY, "5 failed"),
    ],
)
def test_run_fails_when_an_entry_is_wrong_or_a_failing_test_has_none(tmp_path: Path, entries: str, reason: str) -> None:
    run = run_ci(tmp_path, entries)
    assert run.exit_code == 1
    assert reason in run.output
