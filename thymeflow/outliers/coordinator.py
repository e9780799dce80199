"""The outlier coordinator: which backends the fleet ejects, and which member probes them. No I/O, no clock.

Each member reports the backends, or classes at them, that it has ejected itself, and those that gave successful
responses. One member alone ejects nothing for the fleet, as it may be the one that is cut off; and no more than a
fraction of all backends is ejected, as then the cause lies elsewhere. Of an ejected backend, only the member with the
permit for the next half-open probe uses it, for a client's own request. After a probe that succeeded more and more
members send requests again; a failure meanwhile ejects it again.

Where half of a zone's backends fail, the zone is ejected as one: no member need meet the other half, one probe anywhere
in it counts for all of it, and all its backends share one recovery ramp.

An ejection is a lease: once it has expired, a member that receives no more of them uses its own evidence. All times
are in s on the machine's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from math import inf

from thymeflow.outliers.ejection import (
    TRANSITIONS,
    Ejection,
    EjectionEvent,
    EjectionKey,
    EjectionRecord,
    EjectionState,
)
from thymeflow.outliers.quorum import MemberReport, Votes, count_votes, count_zone_votes, is_zone_failed

MAX_EJECTED_FRACTION = 0.5  # of the listed backends: beyond it the cause lies elsewhere, and nothing more is ejected
MAX_EJECTIONS = 4096  # reports of more are ignored
EJECTION_LEASE_SECONDS = 3.0  # how long an ejection is valid at a member that receives no more of them
MAX_PERMIT_AGE = 1000  # permits: the results of older ones are not waited for
MAX_PROBE_INTERVAL_SECONDS = 4.0  # the interval doubles with each failed probe up to this
RECOVERY_STEP_SECONDS = 0.5  # during recovery, the number of members that send requests doubles after each step
SETTLING_SECONDS = 1.2  # so long after a member was admitted its ejections are new: two reports and their way
AFTER_RECOVERY_SECONDS = 2.0  # in which members forget older failures, and their ejections are not counted

ZoneRows = frozenset[tuple[str, frozenset[int]]]


class OutlierCoordinator:
    """The ejections of one fleet."""

    def __init__(self, probes_per_second: float) -> None:
        """Limit the half-open probes of each ejection to so many per second over the fleet."""
        self.probe_interval = 1.0 / probes_per_second  # s
        self.reports: dict[str, MemberReport] = {}
        self.ejections: dict[EjectionKey, EjectionRecord] = {}
        self.invalid_reports = 0  # contradictory entries of reports, and malformed reports
        self.backend_count = 0  # by the endpoint list that most members have
        self.zones: dict[str, frozenset[int]] = {}  # backends by zone, by the same list
        self._lists: dict[str, tuple[int, ZoneRows]] = {}  # number of backends and zones by member
        self._ignored_until: dict[EjectionKey, float] = {}  # reports of ejecting these are not counted so long
        self._last_number = 0
        self._last_permit = 0

    # Events.

    def on_report(
        self,
        member: str,
        ejecting: set[EjectionKey],
        responding: set[EjectionKey],
        probe_results: dict[int, bool],
        now: float,
    ) -> None:
        """Handle a member's report: what it ejects, what responds to it, and by permit whether its probes succeeded."""
        contradictory = ejecting & responding
        self.invalid_reports += len(contradictory)
        self.reports[member] = MemberReport(
            now, frozenset(ejecting - contradictory), frozenset(responding - contradictory)
        )
        for key, record in self.ejections.items():
            results = {
                permit: succeeded
                for permit, succeeded in probe_results.items()
                if record.permit_holders.get(permit) == member
            }
            if record.state is EjectionState.EJECTED and results:
                self._on_probe_results(key, record, results, now)
            elif (
                record.state is EjectionState.RECOVERING
                and self._is_ejecting(key, ejecting)
                and now - record.admitted_at.get(member, inf) > SETTLING_SECONDS
            ):
                self._move(key, record, EjectionEvent.FAILURE, now)

    def on_endpoint_list(self, member: str, backend_count: int, zones: dict[str, frozenset[int]]) -> None:
        """Handle the endpoint list of a member; the list that most members have is used."""
        self._lists[member] = (backend_count, frozenset(zones.items()))
        (((backend_count, zone_rows), _),) = Counter(self._lists.values()).most_common(1)
        self.backend_count = backend_count
        self.zones = dict(zone_rows)

    def on_member_gone(self, member: str) -> None:
        """Drop the reports of a member that has ended or is disconnected; its permits go to other members."""
        self.reports.pop(member, None)
        self._lists.pop(member, None)
        for record in self.ejections.values():
            if record.probing_member == member:
                record.probing_member = ""
                record.next_step_at = -inf

    def _on_probe_results(self, key: EjectionKey, record: EjectionRecord, results: dict[int, bool], now: float) -> None:
        # A probe may end when its permit has been replaced: a success counts all the same.
        if any(results.values()):
            self._move(key, record, EjectionEvent.SUCCESS, now)
        elif record.permit in results:
            self._move(key, record, EjectionEvent.FAILURE, now)
        for permit in results:
            record.permit_holders.pop(permit, None)

    def _is_ejecting(self, key: EjectionKey, ejecting: set[EjectionKey]) -> bool:
        """Return whether a member that ejects these keys contradicts the recovery of a key."""
        if not key.is_zone():
            return key in ejecting
        # While a zone recovers, some of its backends may fail by themselves.
        backends = self.zones.get(key.name, frozenset())
        failed_count = sum(EjectionKey(backend, "") in ejecting for backend in backends)
        return is_zone_failed(failed_count, len(backends))

    # State transitions.

    def _move(self, key: EjectionKey, record: EjectionRecord, event: EjectionEvent, now: float) -> None:
        previous = record.state
        following = TRANSITIONS[previous, event]
        if following is None:
            del self.ejections[key]
            return
        record.state = following
        record.permit = 0
        if following is EjectionState.EJECTED:
            self._schedule_probe(record, previous, now)
        elif following is EjectionState.RECOVERING and previous is EjectionState.EJECTED:
            self._begin_recovery(key, record, now)
        elif following is EjectionState.RECOVERED:
            record.next_step_at = now + AFTER_RECOVERY_SECONDS
            self._ignored_until[key] = record.next_step_at

    def _schedule_probe(self, record: EjectionRecord, previous: EjectionState, now: float) -> None:
        if previous is EjectionState.EJECTED:
            record.failed_probes += 1
        else:
            record.failed_probes = 0
            record.ejected_at = now
            record.probing_member = ""
        backoff = self.probe_interval * 2.0**record.failed_probes
        record.next_step_at = now + max(self.probe_interval, min(MAX_PROBE_INTERVAL_SECONDS, backoff))

    def _begin_recovery(self, key: EjectionKey, record: EjectionRecord, now: float) -> None:
        record.admitted_count = 1
        record.next_step_at = now + RECOVERY_STEP_SECONDS
        record.admitted_at.clear()
        self._admit_members(record, now)
        if key.is_zone():
            return
        # A backend that has recovered for one class may have recovered for all.
        for other_key, other in self.ejections.items():
            if other_key.backend == key.backend and other.state is EjectionState.EJECTED and not other.permit:
                other.next_step_at = now

    # Decisions.

    def tick(self, now: float) -> list[EjectionKey]:
        """Decide by the reports that are valid now; return the keys that were ejected by it."""
        self._ignored_until = {key: until for key, until in self._ignored_until.items() if until > now}
        ejected_keys = self._eject_outliers(now)
        for key, record in list(self.ejections.items()):
            if now >= record.next_step_at:
                self._advance(key, record, now)
        return ejected_keys

    def is_covered_by_zone(self, key: EjectionKey) -> bool:
        """Return whether a zone's ejection includes a backend; its failures are looked at once the zone is back."""
        return any(key.backend in self.zones.get(other.name, ()) for other in self.ejections if other.is_zone())

    def build_ejections(self, member: str, now: float) -> list[Ejection]:
        """Return all ejections as a member is to apply them."""
        return [
            self._ejection(key, record, member, now + EJECTION_LEASE_SECONDS) for key, record in self.ejections.items()
        ]

    @staticmethod
    def _ejection(key: EjectionKey, record: EjectionRecord, member: str, ends_at: float) -> Ejection:
        is_recovered = record.state is EjectionState.RECOVERED
        is_admitted = record.state is EjectionState.RECOVERING and member in record.admitted_at
        permit = record.permit if record.probing_member == member else 0
        return Ejection(key, record.number, permit, is_recovered or is_admitted, is_recovered, ends_at)

    def _eject_outliers(self, now: float) -> list[EjectionKey]:
        ejected_keys: list[EjectionKey] = []
        votes = count_votes(self.reports, now)
        zone_votes = count_zone_votes(votes, self.zones)
        # Zones come first, as they include backends.
        candidates = [*zone_votes.items(), *((key, votes[key]) for key in sorted(votes))]
        for key, key_votes in candidates:
            if self._may_be_ejected(key) and key_votes.is_quorum() and self._is_within_limit(key):
                self._eject(key, key_votes, now)
                ejected_keys.append(key)
        return ejected_keys

    def _may_be_ejected(self, key: EjectionKey) -> bool:
        return (
            key not in self.ejections
            and key not in self._ignored_until
            and len(self.ejections) < MAX_EJECTIONS
            and not self.is_covered_by_zone(key)
        )

    def _is_within_limit(self, key: EjectionKey) -> bool:
        return self._concerned_count([*self.ejections, key]) <= MAX_EJECTED_FRACTION * self.backend_count

    def _concerned_count(self, keys: Iterable[EjectionKey]) -> int:
        """Return the number of backends that the keys concern."""
        backends: set[int] = set()
        for key in keys:
            backends |= self.zones.get(key.name, frozenset()) if key.is_zone() else {key.backend}
        return len(backends)

    def _eject(self, key: EjectionKey, votes: Votes, now: float) -> None:
        self._last_number += 1
        self.ejections[key] = EjectionRecord(
            self._last_number, now, reported_by=dict.fromkeys(votes.ejecting, "ejected it")
        )
        self.ejections = {
            known: record for known, record in self.ejections.items() if not self.is_covered_by_zone(known)
        }

    def _advance(self, key: EjectionKey, record: EjectionRecord, now: float) -> None:
        """Take the step of an ejection that is due."""
        if record.state is EjectionState.EJECTED:
            self._issue_permit(record, now)
        elif record.state is EjectionState.RECOVERING:
            record.admitted_count = 2 * record.admitted_count
            record.next_step_at = now + RECOVERY_STEP_SECONDS
            self._admit_members(record, now)
            is_complete = record.admitted_count >= len(self._reporting_members(now))
            self._move(key, record, EjectionEvent.DONE if is_complete else EjectionEvent.STEP, now)
        else:
            self._move(key, record, EjectionEvent.DONE, now)

    def _reporting_members(self, now: float) -> list[str]:
        return sorted(member for member, report in self.reports.items() if report.is_valid(now))

    def _issue_permit(self, record: EjectionRecord, now: float) -> None:
        """Permit the next half-open probe to the member that has waited longest for one.

        Members take turns, so that one without traffic delays the others once only.
        """
        members = self._reporting_members(now)
        if not members:
            return
        self._last_permit += 1
        record.probing_member = min(members, key=lambda member: (record.last_permits.get(member, 0), member))
        record.permit = self._last_permit
        record.last_permits[record.probing_member] = record.permit
        oldest = self._last_permit - MAX_PERMIT_AGE
        record.permit_holders = {permit: member for permit, member in record.permit_holders.items() if permit > oldest}
        record.permit_holders[record.permit] = record.probing_member
        record.next_step_at = now + self.probe_interval

    def _admit_members(self, record: EjectionRecord, now: float) -> None:
        """Admit as many members as may send requests again, those that probed last first."""
        members = sorted(
            self._reporting_members(now),
            key=lambda member: (member not in record.admitted_at, -record.last_permits.get(member, 0), member),
        )
        for member in members[: record.admitted_count]:
            record.admitted_at.setdefault(member, now)
