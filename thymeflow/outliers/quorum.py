"""Aggregation of members' reports: how many of them eject a backend, a class at it or a zone, and how many do not."""

from __future__ import annotations

from dataclasses import dataclass, field

from thymeflow.outliers.ejection import ZONE, EjectionKey

MIN_EJECTING_MEMBERS = 2  # a single member may be the one that is cut off
MAJORITY = 0.5  # more than this fraction of the members that report of a key have to eject it
REPORT_TTL_SECONDS = 2.0  # how long a report is valid: four report intervals
MIN_FAILED_ZONE_FRACTION = 0.5  # of a zone's backends, ejected by majorities, for the zone to have failed
MIN_FAILED_ZONE_BACKENDS = 2  # and at least so many


@dataclass(frozen=True, slots=True)
class MemberReport:
    """The last report of a member."""

    received_at: float  # s on the machine's monotonic clock
    ejecting: frozenset[EjectionKey] = frozenset()
    responding: frozenset[EjectionKey] = frozenset()  # had successful responses a moment ago

    def is_valid(self, now: float) -> bool:
        """Return whether the report is not too old to count."""
        return now - self.received_at <= REPORT_TTL_SECONDS


@dataclass(slots=True)
class Votes:
    """The members that eject a key, and the number of those for which it responds."""

    ejecting: list[str] = field(default_factory=list)
    responding_count: int = 0

    def is_majority(self) -> bool:
        """Return whether most members that report of the key eject it."""
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
    """Return the votes on each zone that has failed, in the order of their names.

    A single zone is never ejected, as there is no other one to send requests to.
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
    """Return whether so many failed backends of a zone count as a failure of the zone."""
    return failed_count >= max(MIN_FAILED_ZONE_BACKENDS, MIN_FAILED_ZONE_FRACTION * backend_count)
