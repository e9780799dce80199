"""The memory of a process that a test has started."""

from __future__ import annotations

import re
from pathlib import Path

KILOBYTES_PER_MEGABYTE = 1024.0


def read_peak_memory_mb(process_id: int) -> float:
    """Return the largest resident memory that the process has had, in MB."""
    status = Path(f"/proc/{process_id}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) / KILOBYTES_PER_MEGABYTE
