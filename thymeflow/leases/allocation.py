"""Allocations: the amounts of each resource that one holder was granted, and their message form."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from thymeflow.leases.errors import MalformedAllocationError
from thymeflow.leases.resources import TOTAL_POINTS, Resource
from thymeflow.runtime.value_checks import is_finite_number, is_integer, quote

# Number of amounts in messages of the oldest supported version; they are those of the first resources in `Resource`.
MIN_RESOURCE_COUNT = 2


@dataclass(frozen=True, slots=True)
class Allocation:
    """Base amounts and leased amounts by resource, in points.

    A newer allocation has a higher epoch, or the same epoch and a higher number.
    """

    epoch: int = 0
    number: int = 0
    base: tuple[int, ...] = (0,) * len(Resource)
    lease: tuple[int, ...] = (0,) * len(Resource)
    ends_at: float = 0.0  # the end of the lease, in seconds on the machine's monotonic clock


EMPTY_ALLOCATION = Allocation()


@dataclass(frozen=True, slots=True)
class AllocationReport:
    """A holder's report: the allocation that it uses, and its demand by resource."""

    allocation: Allocation
    demand: tuple[float, ...]


def allocation_from_message(message: object) -> Allocation:
    """Parse the message form of an allocation.

    :raises MalformedAllocationError: the message is malformed; the text names the value.
    """
    # The keys and the error texts belong to the protocol between the supervisor and its members and must not change.
    if not isinstance(message, dict):
        text = "a part is a table"
        raise MalformedAllocationError(text)
    epoch = message.get("era")
    number = message.get("number")
    ends_at = message.get("end")
    if not is_integer(epoch) or not is_integer(number) or epoch < 0 or number < 0:
        text = f"era {epoch!r} and number {number!r} are no whole numbers from 0 on"
        raise MalformedAllocationError(text)
    if not is_finite_number(ends_at):
        text = f"end is {ends_at!r}, no time"
        raise MalformedAllocationError(text)
    base = _amounts_from_message("base", message.get("base"))
    lease = _amounts_from_message("lease", message.get("lease"))
    return Allocation(epoch, number, base, lease, float(ends_at))


def report_from_message(message: object) -> AllocationReport:
    """Parse the message form of a report: the keys of an allocation, and `demand` as a further key.

    :raises MalformedAllocationError: the message is malformed; the text names the value.
    """
    allocation = allocation_from_message(message)
    demand = message.get("demand") if isinstance(message, dict) else None
    return AllocationReport(allocation, _demand_from_message(demand))


def allocation_to_message(allocation: Allocation) -> dict[str, object]:
    """Return the message form of an allocation; `allocation_from_message` parses it."""
    return {
        "era": allocation.epoch,
        "number": allocation.number,
        "base": list(allocation.base),
        "lease": list(allocation.lease),
        "end": allocation.ends_at,
    }


def _demand_from_message(demand: object) -> tuple[float, ...]:
    try:
        if isinstance(demand, Iterable):
            return tuple(float(amount) for amount in demand)
    except (TypeError, ValueError, OverflowError):
        pass  # the demand is rejected below
    text = f"demand is {quote(demand)}, not a list of numbers"
    raise MalformedAllocationError(text)


def _amounts_from_message(key: str, amounts: object) -> tuple[int, ...]:
    if (
        not isinstance(amounts, list)
        or not MIN_RESOURCE_COUNT <= len(amounts) <= len(Resource)
        or not all(is_integer(amount) and 0 <= amount <= TOTAL_POINTS for amount in amounts)
    ):
        text = f"{key} is {amounts!r}, not {len(Resource)} whole numbers from 0 to {TOTAL_POINTS}"
        raise MalformedAllocationError(text)
    missing = [0] * (len(Resource) - len(amounts))  # an earlier version sends the amounts of fewer resources
    return (*amounts, *missing)
