"""Runs the test command without the tests that KNOWN-RED.txt lists as known failures.

Usage: python .ci/known_red.py PYTEST_ARGUMENTS

An entry is one line, `test id | command and seed | what was seen | issue`. The script prints all entries. The run fails
with a message if an entry does not have this form, if no test has its id, or if its test passes again.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

ENTRIES_PATH = Path("KNOWN-RED.txt")
ENTRY_FORM = "test id | command and seed | what was seen | issue"


class InvalidEntryError(ValueError):
    """A line of KNOWN-RED.txt that does not have the form of an entry."""


class Entry(NamedTuple):
    """An entry of KNOWN-RED.txt: a test that fails because of a known fault."""

    test_id: str
    command: str
    observation: str
    issue: str


def parse_entries(text: str) -> list[Entry]:
    """Return the entries of KNOWN-RED.txt; blank lines are ignored.

    :raises InvalidEntryError: if a line does not have the form of an entry.
    """
    entries: list[Entry] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != len(Entry._fields) or not all(fields) or "::" not in fields[0]:
            message = f"{ENTRIES_PATH} line {number} is not `{ENTRY_FORM}`: {line!r}"
            raise InvalidEntryError(message)
        entries.append(Entry(*fields))
    return entries


def read_entries() -> str:
    """Return the text of KNOWN-RED.txt, empty if there is no such file."""
    return ENTRIES_PATH.read_text() if ENTRIES_PATH.exists() else ""


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Leave out exactly the tests of the entries; a pytest hook, because `--deselect` would match prefixes of ids."""
    test_ids = {entry.test_id for entry in parse_entries(read_entries())}
    config.hook.pytest_deselected(items=[item for item in items if item.nodeid in test_ids])
    items[:] = [item for item in items if item.nodeid not in test_ids]


def run_pytest(*arguments: str, is_quiet: bool = False) -> int:
    """Run pytest in the current folder, with this file importable as a plugin, and return its exit code."""
    path = os.pathsep.join([str(Path(__file__).resolve().parent), os.environ.get("PYTHONPATH", "")])
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", *arguments],
        check=False,
        env={**os.environ, "PYTHONPATH": path},
        stdout=subprocess.DEVNULL if is_quiet else None,
    )
    return completed.returncode


def find_obsolete_entry(entries: list[Entry]) -> str:
    """Return why the first obsolete entry must be removed or corrected, or "" if there is none.

    An entry is obsolete if its test does not exist, passes again or cannot be run.
    """
    for entry in entries:
        if run_pytest("-q", "--collect-only", entry.test_id, is_quiet=True) != pytest.ExitCode.OK:
            return f"{entry.test_id}: no such test"
        exit_code = run_pytest("-q", entry.test_id, is_quiet=True)
        if exit_code == pytest.ExitCode.OK:
            return f"{entry.test_id} passes again: remove its entry"
        if exit_code != pytest.ExitCode.TESTS_FAILED:
            return f"{entry.test_id} cannot be run: pytest exited with code {exit_code}"
    return ""


def main(arguments: list[str]) -> int:
    """Check the entries, run all other tests, and return the exit code."""
    text = read_entries()
    try:
        entries = parse_entries(text)
    except InvalidEntryError as error:
        print(error)
        return 1
    print(f"known red: {len(entries)}", *text.splitlines(), sep="\n  ")
    if reason := find_obsolete_entry(entries):
        print(f"{ENTRIES_PATH}: {reason}")
        return 1
    return run_pytest("-p", "known_red", *arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
