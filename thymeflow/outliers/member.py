"""A member's side of outlier detection: its reports, and the backends that it may select. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import Idempotency
from thymeflow.health.backend_stats import EJECTION_FAILURES, BackendStats
from thymeflow.outliers.ejection import ZONE, Ejection, EjectionKey
from thymeflow.outliers.messages import MAX_NAME_LENGTH, MAX_ROWS
from thymeflow.outliers.messages import ejection_to_row as ejection_to_row
from thymeflow.outliers.messages import ejections_from_message as ejections_from_message
from thymeflow.outliers.messages import keys_from_message as keys_from_message
from thymeflow.outliers.messages import probes_from_message as probes_from_message
from thymeflow.outliers.messages import zones_from_message as zones_from_message

RESPONSE_TTL_SECONDS = 2.0  # a successful response shows for this long that the backend works
PROBE_TIMEOUT_SECONDS = 10.0  # a half-open probe that has not ended by then gets no result
MAX_PROBE_RESULTS = 64  # a report contains the results of this many latest permits
PRESSURE_DECIMALS = 3

KeyRow = list[int | str]  # the message form of a key: backend and request class


@dataclass(slots=True)
class ActiveEjection:
    """An ejection that this member applies; times are in seconds on the gateway's clock."""

    ejection: Ejection
    received_at: float  # when the ejection arrived with its current `probe_permit` or, if that is 0, without one
    expires_at: float

    def has_permit(self) -> bool:
        """Return whether this member has a permit for a half-open probe."""
        return bool(self.ejection.probe_permit)


@dataclass(frozen=True, slots=True)
class OpenProbe:
    """A permitted half-open probe whose result is not known yet."""

    key: EjectionKey
    permitted_at: float  # seconds on the gateway's clock


class MemberEjections:
    """The fleet's ejections as one gateway applies them, and the gateway's reports to the coordinator."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._active: dict[EjectionKey, ActiveEjection] = {}
        self._open_probes: dict[int, OpenProbe] = {}  # keyed by the number of the permit
        self._probe_results: dict[int, bool] = {}  # whether the probe succeeded, keyed by permit number

    def on_ejections(self, ejections: list[Ejection], now: float, monotonic_now: float) -> None:
        """Replace all ejections by these.

        `now` is the time on the gateway's clock; `monotonic_now` is the same moment on the machine's monotonic clock,
        which `Ejection.ends_at` refers to.
        """
        self._update_probes(now)
        previous = self._active
        self._active = {}
        for ejection in ejections:
            known = previous.get(ejection.key)
            is_same_permit = known is not None and known.ejection.probe_permit == ejection.probe_permit
            received_at = known.received_at if known is not None and is_same_permit else now
            expires_at = now + ejection.ends_at - monotonic_now
            self._active[ejection.key] = ActiveEjection(ejection, received_at, expires_at)
            if ejection.is_admitted and (known is None or not known.ejection.is_admitted):
                self._forget_failures(ejection.key)

    def select_eligible_backends(
        self, ready: list[BackendStats], healthy: list[BackendStats], class_name: str, now: float
    ) -> list[BackendStats]:
        """Return the ready backends that may be selected for a request class.

        `healthy` are the ready backends that the gateway itself does not eject.
        """
        if not self._active:
            return healthy
        to_probe = self._select_backend_to_probe(ready, class_name, now)
        if to_probe is not None:
            return [to_probe]
        healthy_ids = {backend.endpoint.id for backend in healthy}
        return [
            backend
            for backend in ready
            if self._is_eligible(backend, class_name, backend.endpoint.id in healthy_ids, now)
        ]

    def report(self, now: float) -> dict[str, object]:
        """Return the report of this member in its message form."""
        # The keys belong to the protocol between the members and the coordinator's process.
        return {
            "against": self._build_ejecting_rows(now)[:MAX_ROWS],
            "good": self._build_responding_rows(now)[:MAX_ROWS],
            "trials": self._build_probe_results_message(now),
            "servers": len(self._gateway.backends),
            "zones": self._build_zones_message(),
            "pressure": round(self._gateway.registry.pressure, PRESSURE_DECIMALS),
        }

    # Ejections.

    def _forget_failures(self, key: EjectionKey) -> None:
        for backend in self._find_covered_backends(key):
            class_names = list(backend.failures) if key.is_zone() else [key.name]
            for class_name in class_names:
                backend.failures.pop(class_name, None)

    def _find_covered_backends(self, key: EjectionKey) -> list[BackendStats]:
        backends = self._gateway.backends
        if key.is_zone():
            return [backend for backend in backends.values() if backend.endpoint.zone == key.name]
        return [backends[key.backend]] if key.backend in backends else []

    def _find_active_ejections(self, backend: BackendStats, class_name: str, now: float) -> list[ActiveEjection]:
        """Return the ejections that apply to a request class at a backend and have not expired."""
        keys = (
            EjectionKey(ZONE, backend.endpoint.zone),
            EjectionKey(backend.endpoint.id, ""),
            EjectionKey(backend.endpoint.id, class_name),
        )
        candidates = [self._active[key] for key in keys if key in self._active]
        return [active for active in candidates if now < active.expires_at]

    def _is_probe_available(self, active: ActiveEjection) -> bool:
        """Return whether this member has an unused probe permit.

        Any request that was sent to the ejected target since the permit arrived has used it.
        """
        return active.has_permit() and all(
            backend.last_sent_at < active.received_at for backend in self._find_covered_backends(active.ejection.key)
        )

    def _select_backend_to_probe(self, ready: list[BackendStats], class_name: str, now: float) -> BackendStats | None:
        """Return the backend that the next request of a class has to probe, or None.

        The next request that may be retried at any backend is the probe, whichever backend it would otherwise be sent
        to, because all members wait for the result, and in a large fleet a member seldom sends a request of a class to
        a given backend. A request with an idempotency key is not used, because a retry may have to stay in its group,
        which a probe would prevent. A backend in slow start is skipped, because other rules select it.
        """
        request_class = self._gateway.context.classes.get(class_name)
        if request_class is None or request_class.idempotency is not Idempotency.IDEMPOTENT:
            return None
        for backend in ready:
            if backend.endpoint.started:
                continue
            if any(
                self._is_probe_available(active) for active in self._find_active_ejections(backend, class_name, now)
            ):
                return backend
        return None

    def _is_eligible(self, backend: BackendStats, class_name: str, is_healthy: bool, now: float) -> bool:
        ejections = self._find_active_ejections(backend, class_name, now)
        if not ejections:
            return is_healthy
        return all(active.ejection.is_admitted or self._is_probe_available(active) for active in ejections)

    # Reports.

    def _build_ejecting_rows(self, now: float) -> list[KeyRow]:
        return [
            [backend.endpoint.id, name]
            for backend in self._gateway.backends.values()
            for name, (count, ends_at) in backend.failures.items()
            if count >= EJECTION_FAILURES and ends_at > now
        ]

    def _build_responding_rows(self, now: float) -> list[KeyRow]:
        return [
            [backend.endpoint.id, name]
            for backend in self._gateway.backends.values()
            for name, responded_at in backend.last_response_at.items()
            if now - responded_at <= RESPONSE_TTL_SECONDS and name not in backend.failures
        ]

    def _build_zones_message(self) -> dict[str, list[int]]:
        zones: dict[str, list[int]] = {}
        for backend in self._gateway.backends.values():
            zones.setdefault(backend.endpoint.zone[:MAX_NAME_LENGTH], []).append(backend.endpoint.id)
        is_small = sum(len(backends) for backends in zones.values()) <= MAX_ROWS
        return zones if is_small else {}

    def _build_probe_results_message(self, now: float) -> dict[str, bool]:
        self._update_probes(now)
        return {str(permit): succeeded for permit, succeeded in self._probe_results.items()}

    def _update_probes(self, now: float) -> None:
        """Move each open probe that has ended to the results."""
        for key, active in self._active.items():
            if active.has_permit():
                self._open_probes[active.ejection.probe_permit] = OpenProbe(key, active.received_at)
        for permit, probe in list(self._open_probes.items()):
            self._update_probe(permit, probe, now)
        latest = sorted(self._probe_results)[-MAX_PROBE_RESULTS:]
        self._probe_results = {permit: self._probe_results[permit] for permit in latest}

    def _update_probe(self, permit: int, probe: OpenProbe, now: float) -> None:
        backends = self._find_covered_backends(probe.key)
        if not backends or now - probe.permitted_at > PROBE_TIMEOUT_SECONDS:
            del self._open_probes[permit]
            return
        probed = [backend for backend in backends if backend.last_sent_at >= probe.permitted_at]
        if probed and not any(backend.in_flight for backend in probed):
            del self._open_probes[permit]
            has_succeeded = any(self._has_responded(backend, probe) for backend in probed)
            self._probe_results.setdefault(permit, has_succeeded)

    @staticmethod
    def _has_responded(backend: BackendStats, probe: OpenProbe) -> bool:
        """Return whether a backend has responded successfully, and has not failed, since a probe was permitted."""
        name = "" if probe.key.is_zone() else probe.key.name
        responded_at = backend.last_response_at.get(name, -inf)
        return responded_at >= probe.permitted_at and name not in backend.failures
