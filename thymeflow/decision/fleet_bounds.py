"""Bounds that a fleet sets for the decisions of one limiter, and the default for a limiter without a fleet."""

from __future__ import annotations

from enum import StrEnum
from math import inf
from typing import Protocol

from thymeflow.decision.settings import Plan, RequestClass
from thymeflow.health.backend_stats import BackendStats


class FleetResource(StrEnum):
    """A resource that the limiters of a fleet share. The values are the resources' names in messages."""

    CONCURRENCY = "places"
    RETRIES = "attempts"
    COUNTER_CALLS = "calls"
    HALF_OPEN_PROBES = "trials"
    CONNECTIONS = "connections"


class FleetBounds(Protocol):
    """Bounds of a fleet for one limiter.

    Each method receives the value that the limiter would use without a fleet.
    """

    def get_resource_fraction(self, resource: str, even_fraction: float) -> float:
        """Return the fraction of a fleet resource that this limiter may use."""

    def get_resource_limit(self, resource: str, even_fraction: float) -> float:
        """Return the amount of a fleet resource that this limiter may use, or infinity if the fleet sets no limit."""

    def filter_backends(
        self, ready: list[BackendStats], healthy: list[BackendStats], class_name: str, now: float
    ) -> list[BackendStats]:
        """Return the ready backends that a request class may use, according to the ejections of the fleet.

        :param healthy: the backends that are healthy according to the limiter's own statistics.
        """

    def adjust_shedding(
        self, request_class: RequestClass, plan: Plan, customer_id: int, local_fraction: float
    ) -> float:
        """Return the fraction of the customer's requests of this class to shed.

        :param local_fraction: the fraction according to the limiter's own backend pressure.
        """


class LocalBounds:
    """Bounds of a limiter without a fleet: the even fraction of each resource, and the limiter's own statistics."""

    def get_resource_fraction(self, resource: str, even_fraction: float) -> float:
        """Return the even fraction."""
        del resource
        return even_fraction

    def get_resource_limit(self, resource: str, even_fraction: float) -> float:
        """Return infinity, because no fleet sets a limit."""
        del resource, even_fraction
        return inf

    def filter_backends(
        self, ready: list[BackendStats], healthy: list[BackendStats], class_name: str, now: float
    ) -> list[BackendStats]:
        """Return the backends that are healthy according to the limiter's own statistics."""
        del ready, class_name, now
        return healthy

    def adjust_shedding(
        self, request_class: RequestClass, plan: Plan, customer_id: int, local_fraction: float
    ) -> float:
        """Return the fraction according to the limiter's own backend pressure."""
        del request_class, plan, customer_id
        return local_fraction
