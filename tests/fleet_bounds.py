"""Bounds of a fleet for gateways under test: fixed fractions, and adapters of a member where a test has them."""

from __future__ import annotations

from collections.abc import Mapping

from thymeflow.daemon.member_bounds import MemberBounds
from thymeflow.outliers.member import MemberEjections
from thymeflow.shedding.load_shedder import LoadShedder


class FixedFractions:
    """The same fraction of every resource, but for those named in `by_resource`; None: the even fraction."""

    def __init__(self, fraction: float | None = None, by_resource: Mapping[str, float] | None = None) -> None:
        self._fraction = fraction
        self.by_resource = dict(by_resource or {})

    def fraction(self, resource: str, even_fraction: float) -> float:
        """Return the fraction of a resource."""
        fraction = even_fraction if self._fraction is None else self._fraction
        return self.by_resource.get(resource, fraction)


def fixed_bounds(fraction: float, limits: Mapping[str, float] | None = None) -> MemberBounds:
    """Return bounds with a fixed fraction of all resources."""
    return MemberBounds(FixedFractions(fraction), limits or {})


def member_bounds(
    ejections: MemberEjections | None = None,
    load_shedder: LoadShedder | None = None,
    fraction: float | None = None,
) -> MemberBounds:
    """Return bounds by the adapters of a member; without a fraction it has the even one."""
    return MemberBounds(FixedFractions(fraction), {}, ejections, load_shedder)
