"""CI passes over what KNOWN-RED.txt names and over nothing else."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

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


def ci(folder: Path, lines: str | None, suite: str = SUITE) -> tuple[int, str]:
    (folder / "test_x.py").write_text(suite)
    if lines is not None:
        (folder / "KNOWN-RED.txt").write_text(lines)
    done = subprocess.run(
        [sys.executable, str(ROOT / ".ci" / "known_red.py"), "-q", "-p", "no:cacheprovider"],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode, done.stdout


RED = "test_x.py::test_red | the fault | 28\n"
ONLY_RED = SUITE[: SUITE.index("def test_red_too")]


def test_a_test_that_is_known_red_is_passed_over_and_printed(tmp_path: Path) -> None:
    code, said = ci(tmp_path, RED, ONLY_RED)
    assert code == 0 and RED.strip() in said and "1 passed, 1 deselected" in said


@pytest.mark.parametrize("lines", [None, "", "\n"])
def test_with_no_line_a_red_test_fails(tmp_path: Path, lines: str | None) -> None:
    assert ci(tmp_path, lines, ONLY_RED)[0] == 1


@pytest.mark.parametrize(
    ("lines", "why"),
    [
        ("".join(f"test_x.py::test_many[{n}] | c | 28\n" for n in range(4)), "4 lines, 3 at most"),
        ("test_x.py::test_nowhere | c | 28\n", "no such test"),
        ("test_x.py::test_good | c | 28\n", "passes again"),
        ("test_x.py::test_red | c\n", "line 1"),
        ("test_x.py | c | 28\n", "line 1"),
        ("::x | | 28\n", "line 1"),
        (RED, "5 failed"),
    ],
)
def test_a_list_that_is_wrong_or_lacks_a_red_test_fails(tmp_path: Path, lines: str, why: str) -> None:
    code, said = ci(tmp_path, lines)
    assert code == 1 and why in said
