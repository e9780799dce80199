"""How a fleet bounds the decisions of one limiter, and the default for a limiter without a fleet."""

from __future__ import annotations

from enum import StrEnum
from math import inf
from typing import Protocol

from thymeflow.decision.settings import Plan, RequestClass
from thymeflow.health.backend_stats import BackendStats


class FleetResource(StrEnum):
    """A resource that the limiters of a fleet share; the values are the names in messages between processes."""

    CONCURRENCY = "places"
    RETRIES = "attempts"
    COUNTER_CALLS = "calls"
    HALF_OPEN_PROBES = "trials"
    CONNECTIONS = "connections"


class FleetBounds(Protocol):
    """What the fleet permits here. Each method is given what the limiter would use without a fleet."""

    def get_resource_fraction(self, resource: str, even_fraction: float) -> float:
        """Return the fraction of a resource of the fleet that may be used here."""

    def get_resource_limit(self, resource: str, even_fraction: float) -> float:
        """Return how much of a resource may be used here, infinity where the fleet does not limit it."""

    def filter_backends(
        self, ready: list[BackendStats], healthy: list[BackendStats], class_name: str, now: float
    ) -> list[BackendStats]:
        """Return the ready backends that a class may use; `healthy`: by the limiter's own statistics."""

    def adjust_shedding(
        self, request_class: RequestClass, plan: Plan, customer_id: int, local_fraction: float
    ) -> float:
        """Return the fraction of such requests to shed; `local_fraction`: by the limiter's own pressure."""


class LocalBounds:
    """Bounds of a limiter without a fleet: its even fraction, and its own statistics."""

    def get_resource_fraction(self, resource: str, even_fraction: float) -> float:
        """Return the even fraction."""
        del resource
        return even_fraction

    def get_resource_limit(self, resource: str, even_fraction: float) -> float:
        """Return infinity."""
        del resource, even_fraction
        return inf

    def filter_backends(
        self, ready: list[BackendStats], healthy: list[BackendStats], class_name: str, now: float
    ) -> list[BackendStats]:
        """Return the healthy backends."""
        del ready, class_name, now
        return healthy

    def adjust_shedding(
        self, request_class: RequestClass, plan: Plan, customer_id: int, local_fraction: float
    ) -> float:
        """Return the limiter's own fraction."""
        del request_class, plan, customer_id
        return local_fraction
