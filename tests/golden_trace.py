"""Compares what a seeded run decided with a digest on file, and names the first block of steps that differs.

A trace has plain values and stable labels only, so that a digest survives a change of names in the code.
"""

from __future__ import annotations

import hashlib
import json
from pathlib import Path

import pytest

GOLDEN_DIRECTORY = Path(__file__).parent / "data" / "before-rename"
BLOCK_STEPS = 50
BLOCK_DIGEST_LENGTH = 12


def digest(steps: list[str]) -> str:
    """Return the digest of some steps."""
    return hashlib.sha256("\n".join(steps).encode()).hexdigest()


def digest_blocks(steps: list[str]) -> list[str]:
    """Return a short digest of each block of steps."""
    starts = range(0, len(steps), BLOCK_STEPS)
    return [digest(steps[start : start + BLOCK_STEPS])[:BLOCK_DIGEST_LENGTH] for start in starts]


class Trace:
    """The steps of one run, in order, a line of JSON each."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def add(self, *values: object) -> None:
        """Append one step; each value is what JSON can represent, lists in a fixed order."""
        self.lines.append(json.dumps(values, separators=(",", ":"), ensure_ascii=True))

    def summary(self) -> dict[str, object]:
        """Return the digest of all steps, and a short one of each block of them."""
        return {"steps": len(self.lines), "sha256": digest(self.lines), "blocks": digest_blocks(self.lines)}


def golden(name: str) -> dict[str, object]:
    """Return a golden file's content; empty if there is none."""
    path = GOLDEN_DIRECTORY / f"{name}.json"
    return dict(json.loads(path.read_text())) if path.exists() else {}


def assert_golden(trace: Trace, name: str) -> None:
    """Fail with the first block of steps that differs from the golden file of that name, and the new summary."""
    expected = golden(name)
    summary = trace.summary()
    if expected == summary:
        return
    blocks_on_file = _blocks(expected)
    blocks = _blocks(summary)
    shared = min(len(blocks_on_file), len(blocks))
    first = next((n for n in range(shared) if blocks_on_file[n] != blocks[n]), shared)
    start = first * BLOCK_STEPS
    steps = "\n".join(trace.lines[start : start + BLOCK_STEPS])
    pytest.fail(
        f"{name}: {summary['steps']} steps, {expected.get('steps')} on file; the first difference is in steps "
        f"{start} to {start + BLOCK_STEPS - 1}, which are now:\n{steps}\n\nThe new summary:\n{json.dumps(summary)}",
        pytrace=False,
    )


def _blocks(summary: dict[str, object]) -> list[object]:
    blocks = summary.get("blocks", [])
    assert isinstance(blocks, list)
    return blocks
