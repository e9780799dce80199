"""Digests of a seeded run, compared with those recorded for it; a mismatch names the block of steps that differs."""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from pathlib import Path
from typing import Any

RECORDED = Path(__file__).resolve().parent / "data" / "before-rename"
STEPS_PER_BLOCK = 50
BLOCK_DIGITS = 12


class TraceDigest:
    """The lines of a run by step, with counts of the kinds of event that went in and of action that came out."""

    def __init__(self) -> None:
        self.steps: list[str] = []
        self.events: Counter[str] = Counter()
        self.actions: Counter[str] = Counter()

    def add_step(self, text: str) -> None:
        """Record what one step put out."""
        self.steps.append(text)

    def summary(self) -> dict[str, Any]:
        """The figures that are compared with the recorded ones."""
        blocks = [
            self._digest(self.steps[start : start + STEPS_PER_BLOCK])[:BLOCK_DIGITS]
            for start in range(0, len(self.steps), STEPS_PER_BLOCK)
        ]
        return {
            "steps": len(self.steps),
            "events": dict(sorted(self.events.items())),
            "actions": dict(sorted(self.actions.items())),
            "sha256": self._digest(self.steps),
            "blocks": blocks,
        }

    def check(self, name: str) -> None:
        """Raise AssertionError where the figures differ from those recorded under this name; it shows the first block.

        The present figures stand in its text, on the last line.
        """
        recorded = json.loads((RECORDED / f"{name}.json").read_text())
        present = self.summary()
        if present == recorded:
            return
        pairs = enumerate(zip(recorded["blocks"], present["blocks"], strict=False))
        first = next((index for index, (old, new) in pairs if old != new), None)
        if first is None:
            place = f"{len(self.steps)} steps, recorded were {recorded['steps']}, or the counts differ"
        else:
            start = first * STEPS_PER_BLOCK
            output = "\n".join(self.steps[start : start + STEPS_PER_BLOCK])
            place = f"steps {start} to {start + STEPS_PER_BLOCK - 1} are the first to differ; they are now:\n{output}"
        raise AssertionError(f"{name}: {place}\npresent figures: {json.dumps(present)}")

    @staticmethod
    def _digest(steps: list[str]) -> str:
        return hashlib.sha256("\n".join(steps).encode()).hexdigest()
