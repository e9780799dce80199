"""Compares what a seeded run decided with a digest on file, and names the first block of steps that differs.

A trace holds plain values and stable labels only, so that a digest survives a change of names in the code.
"""

from __future__ import annotations

import hashlib
import json
from pathlib import Path

import pytest

GOLDEN_DIRECTORY = Path(__file__).parent / "data" / "before-rename"
BLOCK_STEPS = 50
BLOCK_DIGEST_LENGTH = 12


class Trace:
    """The steps of one run, in order, a line of JSON each."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def add(self, *values: object) -> None:
        """Append one step; each value is what JSON can hold, lists in a fixed order."""
        self.lines.append(json.dumps(values, separators=(",", ":"), ensure_ascii=True))

    def summary(self) -> dict[str, object]:
        """The digest of all steps, and a short one of every block of them."""
        blocks = [self.lines[start : start + BLOCK_STEPS] for start in range(0, len(self.lines), BLOCK_STEPS)]
        return {
            "steps": len(self.lines),
            "sha256": _digest(self.lines),
            "blocks": [_digest(block)[:BLOCK_DIGEST_LENGTH] for block in blocks],
        }


def _digest(lines: list[str]) -> str:
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()


def golden(name: str) -> dict[str, object]:
    """A golden file's content; empty where there is none."""
    path = GOLDEN_DIRECTORY / f"{name}.json"
    return dict(json.loads(path.read_text())) if path.exists() else {}


def assert_golden(trace: Trace, name: str) -> None:
    """Fail with the first block of steps that differs from the golden file of that name, and the new summary."""
    expected, found = golden(name), trace.summary()
    if expected == found:
        return
    before, after = _blocks(expected), _blocks(found)
    shared = min(len(before), len(after))
    first = next((n for n in range(shared) if before[n] != after[n]), shared)
    start = first * BLOCK_STEPS
    steps = "\n".join(trace.lines[start : start + BLOCK_STEPS])
    pytest.fail(
        f"{name}: {found['steps']} steps, {expected.get('steps')} on file; the first difference is in steps "
        f"{start} to {start + BLOCK_STEPS - 1}, which are now:\n{steps}\n\nThe new summary:\n{json.dumps(found)}",
        pytrace=False,
    )


def _blocks(summary: dict[str, object]) -> list[object]:
    blocks = summary.get("blocks", [])
    assert isinstance(blocks, list)
    return blocks
