"""What the grant file on the disk covers, read again and again while a fleet runs."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from benchmarks.frame import Proof
from thymeflow.leases import grant_file
from thymeflow.leases.resources import TOTAL_POINTS, Resource

FLEET_NAME = "n"


class GrantWatch:
    """The highest sum that was covered, and what each member has now."""

    def __init__(self, path: Path, proof: Proof) -> None:
        self.max_sum_percent = 0.0
        self.read_count = 0
        self._path = path
        self._proof = proof
        self._percent_by_member: dict[str, float] = {}  # of the resource of which a member has least

    def read(self) -> None:
        """Read the file as it is now; a malformed one is a failure of the proof."""
        try:
            data = self._path.read_bytes()
        except OSError:
            return
        try:
            grants = grant_file.unpack(data, FLEET_NAME)
        except grant_file.GrantFileError as error:
            self._proof.fail_if(True, f"the grant file: {error}")
            return
        self.read_count += 1
        amounts_by_member = {name: _amounts(row.noted) for name, row in grants.rows.items()}
        for index in range(len(Resource)):
            sum_points = sum(amounts[index] for amounts in amounts_by_member.values())
            self.max_sum_percent = max(self.max_sum_percent, 100.0 * sum_points / TOTAL_POINTS)
        self._percent_by_member = {
            name: 100.0 * min(amounts) / TOTAL_POINTS for name, amounts in amounts_by_member.items()
        }

    def holder_count(self) -> int:
        """Return how many members have grants."""
        return len(self._percent_by_member)

    def total_percent(self, members: Iterable[str] | None = None) -> float:
        """Return what these members have together, or all of them; percent of the fleet's limits."""
        names = self._percent_by_member if members is None else members
        return sum(self._percent_by_member.get(name, 0.0) for name in names)


def _amounts(points: list[int]) -> list[int]:
    """Return base amount and leased amount together, by resource."""
    return [points[index] + points[index + len(Resource)] for index in range(len(Resource))]
