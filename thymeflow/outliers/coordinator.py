"""The outlier coordinator: decides which backends the fleet ejects and which member probes them. No I/O, no clock.

Each member reports the backends, or request classes at backends, that it ejects itself, and those that gave successful
responses. The report of a single member never causes an ejection for the fleet, because that member may itself be cut
off. At most a fraction of all backends is ejected, because more failures than that have another cause. Only the member
with the permit for the next half-open probe sends requests to an ejected backend. There are no separate probe requests:
the member uses the next suitable request of a client as the probe.
After a successful probe, more members send requests again with each step; a failure during these steps ejects the
backend again.

Where half of a zone's backends fail, the zone is ejected as a whole. Members then need not detect the failures of the
other half, one probe of any backend in the zone counts for the zone, and all its backends recover in the same steps.

An ejection is a lease: once it has expired, a member that receives no renewal decides by its own failure counts. All
times are seconds on the machine's monotonic clock.
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

# Largest fraction of the listed backends that is ejected. More failures than that have a cause outside the backends.
MAX_EJECTED_FRACTION = 0.5
MAX_EJECTIONS = 4096  # further keys are not ejected
EJECTION_LEASE_SECONDS = 3.0  # an ejection is valid for this long at a member that receives no renewal
MAX_LATER_PERMITS = 1000  # the result of a permit is ignored once this many later permits were issued
MAX_PROBE_INTERVAL_SECONDS = 4.0  # the interval between probes doubles with each failed probe up to this limit
RECOVERY_STEP_SECONDS = 0.5  # during recovery, the number of members that send requests doubles after each step
# A member's report that it ejects the key ends a recovery only if the report arrives more than this time after the
# member was admitted. The time covers two report intervals and the transmission; an earlier report may refer to a
# failure before the recovery.
SETTLING_SECONDS = 1.2
# For this long after a recovery, the ejection is sent as recovered, and reports that eject the key are ignored.
AFTER_RECOVERY_SECONDS = 2.0

ZoneSet = frozenset[tuple[str, frozenset[int]]]


class OutlierCoordinator:
    """The ejections of one fleet."""

    def __init__(self, probes_per_second: float) -> None:
        """`probes_per_second`: the most half-open probes of one ejection per second, for all members together."""
        self.probe_interval = 1.0 / probes_per_second  # seconds
        self.reports: dict[str, MemberReport] = {}
        self.ejections: dict[EjectionKey, EjectionRecord] = {}
        self.invalid_reports = 0  # the number of contradictory entries in reports plus that of malformed reports
        self.backend_count = 0  # the number of backends in the endpoint list that most members have
        self.zones: dict[str, frozenset[int]] = {}  # backends by zone, in the same endpoint list
        self._endpoint_lists: dict[str, tuple[int, ZoneSet]] = {}  # number of backends and zones, by member
        self._ignored_until: dict[EjectionKey, float] = {}  # reports that eject a key are ignored until this time
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
        """Handle a member's report.

        The report has the keys that the member ejects, the keys that respond to it, and for each permit number
        whether the probe succeeded.
        """
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
                self._apply_event(key, record, EjectionEvent.FAILURE, now)

    def on_endpoint_list(self, member: str, backend_count: int, zones: dict[str, frozenset[int]]) -> None:
        """Handle the endpoint list of a member; the coordinator uses the list that most members have."""
        self._endpoint_lists[member] = (backend_count, frozenset(zones.items()))
        (((backend_count, zone_rows), _),) = Counter(self._endpoint_lists.values()).most_common(1)
        self.backend_count = backend_count
        self.zones = dict(zone_rows)

    def on_member_gone(self, member: str) -> None:
        """Drop the report of a member that has ended or is disconnected, and free its permits for other members."""
        self.reports.pop(member, None)
        self._endpoint_lists.pop(member, None)
        for record in self.ejections.values():
            if record.probing_member == member:
                record.probing_member = ""
                record.next_step_at = -inf

    def _on_probe_results(self, key: EjectionKey, record: EjectionRecord, results: dict[int, bool], now: float) -> None:
        # A probe may end after its permit was replaced. Its success still counts; its failure does not.
        if any(results.values()):
            self._apply_event(key, record, EjectionEvent.SUCCESS, now)
        elif record.permit in results:
            self._apply_event(key, record, EjectionEvent.FAILURE, now)
        for permit in results:
            record.permit_holders.pop(permit, None)

    def _is_ejecting(self, key: EjectionKey, ejecting: set[EjectionKey]) -> bool:
        """Return whether a member that ejects these keys contradicts the recovery of a key."""
        if not key.is_zone():
            return key in ejecting
        # Single backends may fail while their zone recovers; only the failure of the zone contradicts the recovery.
        backends = self.zones.get(key.name, frozenset())
        failed_count = sum(EjectionKey(backend, "") in ejecting for backend in backends)
        return is_zone_failed(failed_count, len(backends))

    # State transitions.

    def _apply_event(self, key: EjectionKey, record: EjectionRecord, event: EjectionEvent, now: float) -> None:
        previous_state = record.state
        next_state = TRANSITIONS[previous_state, event]
        if next_state is None:
            del self.ejections[key]
            return
        record.state = next_state
        record.permit = 0
        if next_state is EjectionState.EJECTED:
            self._schedule_probe(record, previous_state, now)
        elif next_state is EjectionState.RECOVERING and previous_state is EjectionState.EJECTED:
            self._begin_recovery(key, record, now)
        elif next_state is EjectionState.RECOVERED:
            record.next_step_at = now + AFTER_RECOVERY_SECONDS
            self._ignored_until[key] = record.next_step_at

    def _schedule_probe(self, record: EjectionRecord, previous_state: EjectionState, now: float) -> None:
        if previous_state is EjectionState.EJECTED:
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
        # A backend that has recovered for one class may have recovered for all: probe its other ejections now.
        for other_key, other in self.ejections.items():
            if other_key.backend == key.backend and other.state is EjectionState.EJECTED and not other.permit:
                other.next_step_at = now

    # Decisions.

    def tick(self, now: float) -> list[EjectionKey]:
        """Eject outliers by the valid reports and take all steps that are due; return the keys that were ejected."""
        self._ignored_until = {key: until for key, until in self._ignored_until.items() if until > now}
        ejected_keys = self._eject_outliers(now)
        for key, record in list(self.ejections.items()):
            if now >= record.next_step_at:
                self._advance_ejection(key, record, now)
        return ejected_keys

    def is_covered_by_zone(self, key: EjectionKey) -> bool:
        """Return whether an ejected zone contains the key's backend; while it does, the key is not ejected itself."""
        return any(key.backend in self.zones.get(other.name, ()) for other in self.ejections if other.is_zone())

    def build_ejections(self, member: str, now: float) -> list[Ejection]:
        """Return all ejections in the form in which a member applies them."""
        return [
            self._build_ejection(key, record, member, now + EJECTION_LEASE_SECONDS)
            for key, record in self.ejections.items()
        ]

    @staticmethod
    def _build_ejection(key: EjectionKey, record: EjectionRecord, member: str, ends_at: float) -> Ejection:
        is_recovered = record.state is EjectionState.RECOVERED
        is_admitted = record.state is EjectionState.RECOVERING and member in record.admitted_at
        permit = record.permit if record.probing_member == member else 0
        return Ejection(key, record.number, permit, is_recovered or is_admitted, is_recovered, ends_at)

    def _eject_outliers(self, now: float) -> list[EjectionKey]:
        ejected_keys: list[EjectionKey] = []
        votes = count_votes(self.reports, now)
        zone_votes = count_zone_votes(votes, self.zones)
        # Zones come first, because the ejection of a zone covers those of its backends.
        candidates = [*zone_votes.items(), *((key, votes[key]) for key in sorted(votes))]
        for key, key_votes in candidates:
            if self._can_be_ejected(key) and key_votes.is_quorum() and self._is_within_limit(key):
                self._start_ejection(key, key_votes, now)
                ejected_keys.append(key)
        return ejected_keys

    def _can_be_ejected(self, key: EjectionKey) -> bool:
        return (
            key not in self.ejections
            and key not in self._ignored_until
            and len(self.ejections) < MAX_EJECTIONS
            and not self.is_covered_by_zone(key)
        )

    def _is_within_limit(self, key: EjectionKey) -> bool:
        return self._count_covered_backends([*self.ejections, key]) <= MAX_EJECTED_FRACTION * self.backend_count

    def _count_covered_backends(self, keys: Iterable[EjectionKey]) -> int:
        """Return the number of backends that the keys cover."""
        backends: set[int] = set()
        for key in keys:
            backends |= self.zones.get(key.name, frozenset()) if key.is_zone() else {key.backend}
        return len(backends)

    def _start_ejection(self, key: EjectionKey, votes: Votes, now: float) -> None:
        self._last_number += 1
        self.ejections[key] = EjectionRecord(
            self._last_number, now, reported_by=dict.fromkeys(votes.ejecting, "ejected it")
        )
        self.ejections = {
            known: record for known, record in self.ejections.items() if not self.is_covered_by_zone(known)
        }

    def _advance_ejection(self, key: EjectionKey, record: EjectionRecord, now: float) -> None:
        """Take the next step of an ejection: issue a probe permit, admit more members or end the recovery."""
        if record.state is EjectionState.EJECTED:
            self._issue_permit(record, now)
        elif record.state is EjectionState.RECOVERING:
            record.admitted_count = 2 * record.admitted_count
            record.next_step_at = now + RECOVERY_STEP_SECONDS
            self._admit_members(record, now)
            is_complete = record.admitted_count >= len(self._list_reporting_members(now))
            self._apply_event(key, record, EjectionEvent.DONE if is_complete else EjectionEvent.STEP, now)
        else:
            self._apply_event(key, record, EjectionEvent.DONE, now)

    def _list_reporting_members(self, now: float) -> list[str]:
        return sorted(member for member, report in self.reports.items() if report.is_valid(now))

    def _issue_permit(self, record: EjectionRecord, now: float) -> None:
        """Give the permit for the next half-open probe to the member whose last permit is the oldest.

        Members get permits in turn, so that a member without traffic delays the probe only once in each round.
        """
        members = self._list_reporting_members(now)
        if not members:
            return
        self._last_permit += 1
        record.probing_member = min(members, key=lambda member: (record.last_permits.get(member, 0), member))
        record.permit = self._last_permit
        record.last_permits[record.probing_member] = record.permit
        oldest = self._last_permit - MAX_LATER_PERMITS
        record.permit_holders = {permit: member for permit, member in record.permit_holders.items() if permit > oldest}
        record.permit_holders[record.permit] = record.probing_member
        record.next_step_at = now + self.probe_interval

    def _admit_members(self, record: EjectionRecord, now: float) -> None:
        """Admit members up to the admitted count, starting with the member that has the newest permit."""
        members = sorted(
            self._list_reporting_members(now),
            key=lambda member: (member not in record.admitted_at, -record.last_permits.get(member, 0), member),
        )
        for member in members[: record.admitted_count]:
            record.admitted_at.setdefault(member, now)
