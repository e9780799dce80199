"""The bounds that a fleet sets its members: allocation, fleet limits, ejections and load shedding."""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from typing import Protocol

from thymeflow.decision.settings import Plan, RequestClass
from thymeflow.health.backend_stats import BackendStats
from thymeflow.outliers.member import MemberEjections
from thymeflow.shedding.load_shedder import LoadShedder


class FractionSource(Protocol):
    """Provides the fractions of the fleet's resources that this member may use."""

    def get_fraction(self, resource: str, even_fraction: float) -> float:
        """Return the usable fraction of a resource, or `even_fraction` if this member has no allocation."""


class MemberBounds:
    """The `FleetBounds` of a member; its gateway decides itself where there are no ejections or no load shedder."""

    def __init__(
        self,
        allocation: FractionSource,
        limits: Mapping[str, float],
        ejections: MemberEjections | None = None,
        load_shedder: LoadShedder | None = None,
    ) -> None:
        """`limits`: the amount that the complete fleet may use, by the name of the resource."""
        self._allocation = allocation
        self._limits = limits
        self._ejections = ejections
        self._load_shedder = load_shedder

    def get_resource_fraction(self, resource: str, even_fraction: float) -> float:
        """Return the usable fraction of a resource; the load shedder may reduce it, as for retries during shedding."""
        fraction = self._allocation.get_fraction(resource, even_fraction)
        if self._load_shedder is None:
            return fraction
        return self._load_shedder.compute_usable_fraction(resource, fraction)

    def get_resource_limit(self, resource: str, even_fraction: float) -> float:
        """Return the amount of a resource that this member may use; infinity if the fleet does not limit it."""
        limit = self._limits.get(resource)
        return inf if limit is None else limit * self.get_resource_fraction(resource, even_fraction)

    def filter_backends(
        self, ready: list[BackendStats], healthy: list[BackendStats], class_name: str, now: float
    ) -> list[BackendStats]:
        """Return the ready backends that a request class may use under the fleet's ejections."""
        if self._ejections is None:
            return healthy
        return self._ejections.select_eligible_backends(ready, healthy, class_name, now)

    def adjust_shedding(
        self, request_class: RequestClass, plan: Plan, customer_id: int, local_fraction: float
    ) -> float:
        """Return the fraction of the requests to shed under the fleet's admission threshold."""
        if self._load_shedder is None:
            return local_fraction
        return self._load_shedder.compute_rejected_fraction(request_class, plan, customer_id, local_fraction)
