"""The test command, passing over just the tests that KNOWN-RED.txt names: python .ci/known_red.py PYTEST_ARGUMENTS

A line is `test id | cause | issue`. It fails, and says why, where there are more than three lines, where one is not of
that form, where it names no test, and where such a test passes again. All lines are printed.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

LIST = Path("KNOWN-RED.txt")
MOST = 3
PASSED, FAILED, COLLECTED = 0, 1, 0  # exit codes of pytest


def known(text: str) -> list[str]:
    """The ids of the tests; ValueError says what is wrong with which line."""
    found: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields) or "::" not in fields[0]:
            raise ValueError(f"KNOWN-RED.txt line {number}: not `test id | cause | issue`: {line!r}")
        found.append(fields[0])
    if len(found) > MOST:
        raise ValueError(f"KNOWN-RED.txt: {len(found)} lines, {MOST} at most")
    return found


def listed() -> str:
    """The list, which need not be there."""
    return LIST.read_text() if LIST.exists() else ""


def pytest_collection_modifyitems(config: Any, items: list[Any]) -> None:
    """As a plugin of pytest: leave out the tests of just these ids (`--deselect` goes by how an id begins)."""
    red = set(known(listed()))
    config.hook.pytest_deselected(items=[item for item in items if item.nodeid in red])
    items[:] = [item for item in items if item.nodeid not in red]


def pytest(*words: str, quiet: bool = False) -> int:
    """The exit code of pytest, in the present folder."""
    path = os.pathsep.join([str(Path(__file__).resolve().parent), os.environ.get("PYTHONPATH", "")])
    return subprocess.run(
        [sys.executable, "-m", "pytest", *words],
        check=False,
        env={**os.environ, "PYTHONPATH": path},
        stdout=subprocess.DEVNULL if quiet else None,
    ).returncode


def main(words: list[str]) -> int:
    """Check the list, then run the rest."""
    text = listed()
    try:
        red = known(text)
    except ValueError as fault:
        print(fault)
        return 1
    print(f"known red: {len(red)}", *text.splitlines(), sep="\n  ")
    for name in red:
        if pytest("-q", "--collect-only", name, quiet=True) != COLLECTED:
            print(f"KNOWN-RED.txt: no such test: {name}")
            return 1
        code = pytest("-q", name, quiet=True)
        if code != FAILED:
            print(f"KNOWN-RED.txt: {name} {'passes again: take its line out' if code == PASSED else 'cannot be run'}")
            return 1
    return pytest("-p", "known_red", *words)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
