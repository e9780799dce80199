"""Fleet bounds for gateways under test: fixed fractions, and optionally a member's ejections and load shedder."""

from __future__ import annotations

from collections.abc import Mapping

from thymeflow.daemon.member_bounds import MemberBounds
from thymeflow.outliers.member import MemberEjections
from thymeflow.shedding.load_shedder import LoadShedder


class FixedFractions:
    """A fixed fraction of each resource; `by_resource` overrides `fraction` by resource.

    Without a `fraction`, a resource that is not overridden has the even fraction.
    """

    def __init__(self, fraction: float | None = None, by_resource: Mapping[str, float] | None = None) -> None:
        self._fraction = fraction
        self.by_resource = dict(by_resource or {})

    def get_fraction(self, resource: str, even_fraction: float) -> float:
        """Return the member's fraction of a resource."""
        fraction = even_fraction if self._fraction is None else self._fraction
        return self.by_resource.get(resource, fraction)


def fixed_bounds(fraction: float, limits: Mapping[str, float] | None = None) -> MemberBounds:
    """Return bounds with the same fixed fraction of each resource, and the given fleet limits."""
    return MemberBounds(FixedFractions(fraction), limits or {})


def member_bounds(
    ejections: MemberEjections | None = None,
    load_shedder: LoadShedder | None = None,
    fraction: float | None = None,
) -> MemberBounds:
    """Return bounds with a member's ejections and load shedder; without a `fraction`, the even fraction applies."""
    return MemberBounds(FixedFractions(fraction), {}, ejections, load_shedder)
