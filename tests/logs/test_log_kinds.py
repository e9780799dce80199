"""The operators' pages list every kind of log line, and no other."""

from __future__ import annotations

import re
from pathlib import Path

from thymeflow.runtime.log_kinds import LogKind

DOCS = Path(__file__).resolve().parents[2] / "docs"
PAGES = ("on-call.md", "fleet.md", "budgets.md", "overload.md")
TABLE_HEAD = "| line | meaning | what to do |"
# Lines that are not written with a kind: the start's message to the terminal, and faults with a trace.
WITHOUT_KIND = {
    "thymeflow",
    "gateway fault on EVENT",
    "attempt fault",
    "Unhandled Error",
    "Unhandled error in Deferred",
}


def documented_kinds() -> set[str]:
    """Return what stands before the colon of the first line in each row of the pages' tables of lines."""
    kinds: set[str] = set()
    for page in PAGES:
        is_table = False
        for row in (DOCS / page).read_text().splitlines():
            is_table = row.startswith("|") and (is_table or row.startswith(TABLE_HEAD))
            first_line = re.match(r"\| `([^`]+)`", row)
            if is_table and first_line:
                kinds.add(first_line[1].split(":")[0])
    return kinds - WITHOUT_KIND


def test_every_kind_of_log_line_is_documented_and_no_other() -> None:
    assert documented_kinds() == {kind.value for kind in LogKind}
