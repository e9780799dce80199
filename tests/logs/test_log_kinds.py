"""The operators' pages list every kind of log line, and no other.

The test guards against a kind that is added, renamed or removed in the code but not in the pages' tables.
"""

from __future__ import annotations

import re
from pathlib import Path

from thymeflow.runtime.log_kinds import LogKind

DOCS = Path(__file__).resolve().parents[2] / "docs"
PAGES = ("on-call.md", "fleet.md", "budgets.md", "overload.md")
TABLE_HEADER = "| line | meaning | what to do |"
# Beginnings of documented lines that have no kind: the message at the start, and faults with a traceback.
PREFIXES_WITHOUT_KIND = {
    "thymeflow",
    "gateway fault on EVENT",
    "attempt fault",
    "client connection fault",
    "Unhandled Error",
    "Unhandled error in Deferred",
}


def find_documented_kinds() -> set[str]:
    """Return the kinds in the pages' tables: in each row, the text before the colon of the first log line."""
    kinds: set[str] = set()
    for page in PAGES:
        is_in_table = False
        for row in (DOCS / page).read_text().splitlines():
            is_in_table = row.startswith("|") and (is_in_table or row.startswith(TABLE_HEADER))
            first_line = re.match(r"\| `([^`]+)`", row)
            if is_in_table and first_line:
                kinds.add(first_line[1].split(":")[0])
    return kinds - PREFIXES_WITHOUT_KIND


def test_every_kind_of_log_line_is_documented_and_no_other() -> None:
    assert find_documented_kinds() == {kind.value for kind in LogKind}
