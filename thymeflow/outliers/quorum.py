"""Aggregation of members' reports: counts the members that eject a key and the members to which it responds."""

from __future__ import annotations

from dataclasses import dataclass, field

from thymeflow.outliers.ejection import ZONE, EjectionKey

MIN_EJECTING_MEMBERS = 2  # a single member may itself be cut off from the backend
MAJORITY = 0.5  # a key is ejected by more than this fraction of the members that report on it
REPORT_TTL_SECONDS = 2.0  # a report is valid for four report intervals
# A zone has failed only if majorities eject at least this fraction of its backends.
MIN_FAILED_ZONE_FRACTION = 0.5
# A zone has failed only if majorities eject at least this number of its backends.
MIN_FAILED_ZONE_BACKENDS = 2


@dataclass(frozen=True, slots=True)
class MemberReport:
    """The last report of a member."""

    received_at: float  # seconds on the machine's monotonic clock
    ejecting: frozenset[EjectionKey] = frozenset()  # keys that the member itself ejects
    responding: frozenset[EjectionKey] = frozenset()  # keys with recent successful responses

    def is_valid(self, now: float) -> bool:
        """Return whether the report has not expired."""
        return now - self.received_at <= REPORT_TTL_SECONDS


@dataclass(slots=True)
class Votes:
    """The members that eject a key, and the number of members to which the key responds."""

    ejecting: list[str] = field(default_factory=list)
    responding_count: int = 0

    def is_majority(self) -> bool:
        """Return whether most members that report on the key eject it."""
        return len(self.ejecting) > MAJORITY * (len(self.ejecting) + self.responding_count)

    def is_quorum(self) -> bool:
        """Return whether the votes suffice to eject the key for the fleet."""
        return len(self.ejecting) >= MIN_EJECTING_MEMBERS and self.is_majority()


VotesByKey = dict[EjectionKey, Votes]


def count_votes(reports: dict[str, MemberReport], now: float) -> VotesByKey:
    """Return the votes on each key that at least one member with a valid report ejects."""
    valid = {member: report for member, report in reports.items() if report.is_valid(now)}
    votes: VotesByKey = {}
    for member, report in valid.items():
        for key in report.ejecting:
            votes.setdefault(key, Votes()).ejecting.append(member)
    for report in valid.values():
        for key in report.responding & votes.keys():
            votes[key].responding_count += 1
    return votes


def count_zone_votes(votes: VotesByKey, zones: dict[str, frozenset[int]]) -> VotesByKey:
    """Return the votes on each failed zone, in the order of the zones' names.

    The only zone of a fleet is never ejected, because no other zone could get its requests.
    """
    zone_votes: VotesByKey = {}
    if len(zones) <= 1:
        return zone_votes
    for zone, backends in sorted(zones.items()):
        keys = [EjectionKey(backend, "") for backend in backends]
        failed = [votes[key] for key in keys if key in votes and votes[key].is_majority()]
        if is_zone_failed(len(failed), len(backends)):
            members = {member for backend_votes in failed for member in backend_votes.ejecting}
            zone_votes[EjectionKey(ZONE, zone)] = Votes(sorted(members))
    return zone_votes


def is_zone_failed(failed_count: int, backend_count: int) -> bool:
    """Return whether a zone with this number of failed backends has failed itself."""
    return failed_count >= max(MIN_FAILED_ZONE_BACKENDS, MIN_FAILED_ZONE_FRACTION * backend_count)
