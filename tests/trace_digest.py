"""Digests of a seeded run, compared with those recorded for it; a mismatch names the block of steps that differs."""

from __future__ import annotations

import json
from collections import Counter

from tests.golden_trace import BLOCK_STEPS, GOLDEN_DIRECTORY, digest, digest_blocks


class TraceDigest:
    """The lines of a run by step, with counts of the kinds of event that went in and of action that came out."""

    def __init__(self) -> None:
        self.steps: list[str] = []
        self.events: Counter[str] = Counter()
        self.actions: Counter[str] = Counter()

    def add_step(self, text: str) -> None:
        """Record what one step put out."""
        self.steps.append(text)

    def summary(self) -> dict[str, object]:
        """Return the figures that are compared with the recorded ones."""
        return {
            "steps": len(self.steps),
            "events": dict(sorted(self.events.items())),
            "actions": dict(sorted(self.actions.items())),
            "sha256": digest(self.steps),
            "blocks": digest_blocks(self.steps),
        }

    def check(self, name: str) -> None:
        """Raise AssertionError if the figures differ from those recorded under this name; it shows the first block.

        The present figures are on the last line of its text.
        """
        recorded = json.loads((GOLDEN_DIRECTORY / f"{name}.json").read_text())
        present = self.summary()
        if present == recorded:
            return
        pairs = enumerate(zip(recorded["blocks"], digest_blocks(self.steps), strict=False))
        first = next((index for index, (old, new) in pairs if old != new), None)
        if first is None:
            difference = f"{len(self.steps)} steps, recorded were {recorded['steps']}, or the counts differ"
        else:
            start = first * BLOCK_STEPS
            output = "\n".join(self.steps[start : start + BLOCK_STEPS])
            difference = f"steps {start} to {start + BLOCK_STEPS - 1} are the first to differ; they are now:\n{output}"
        message = f"{name}: {difference}\npresent figures: {json.dumps(present)}"
        raise AssertionError(message)
