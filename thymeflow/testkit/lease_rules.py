"""The rules that keep the lease model legal, each of which can be left out: the model checker has to find the harm."""

from __future__ import annotations

from dataclasses import dataclass, replace

from thymeflow.leases.holder import Allocation, LeaseHolder
from thymeflow.leases.issuer import LeaseIssuer, Send
from thymeflow.leases.ledger import Ledger
from thymeflow.leases.resources import RESOURCE_INDEXES, Resource
from thymeflow.testkit.lease_model import LeaseModel
from thymeflow.testkit.model_checker import explore

MAX_DEPTH = 9
MAX_STATES = 200_000

_on_report = LeaseIssuer.on_report


def _outstanding_of_newest(ledger: Ledger, holder: str, _now: float) -> int:
    """Count only the newest grant."""
    return ledger.newest_amount(holder)


def _usable_forever(holder: LeaseHolder, resource: Resource, _now: float) -> int:
    """Use a lease past its end."""
    if holder.is_handed_over:
        return 0
    index = RESOURCE_INDEXES[resource]
    return holder.allocation.base[index] + holder.allocation.lease[index]


def _accept_any_grant(holder: LeaseHolder, allocation: Allocation) -> bool:
    """Use every allocation that arrives."""
    holder.allocation = allocation
    return True


def _keep_after_hand_over(holder: LeaseHolder) -> Allocation:
    """Go on using an allocation that was handed over."""
    return holder.allocation


def _always_covered(_issuer: LeaseIssuer, _send: Send) -> bool:
    """Send grants without writing them first."""
    return True


def _acknowledge_newest(
    issuer: LeaseIssuer, holder: str, allocation: Allocation, demand: tuple[float, ...], now: float
) -> None:
    """Take every report as an acknowledgement of the newest grant."""
    number = issuer.get_or_create_record(holder).number
    _on_report(issuer, holder, replace(allocation, epoch=issuer.epoch, number=number), demand, now)


def _restore_nothing(
    _issuer: LeaseIssuer, _holder: str, _number: int, _amounts: tuple[int, ...], _until: float, _now: float
) -> None:
    """Ignore the grant file."""


def _disconnected_is_dead(issuer: LeaseIssuer, holder: str) -> None:
    """Take the end of a connection for a death."""
    issuer.on_death(holder)


@dataclass(frozen=True, slots=True)
class Rule:
    """A rule that can be left out: the method that has it, a replacement without it, and steps that show the harm."""

    owner: type
    method: str
    replacement: object
    step_prefixes: frozenset[str]


RULES = {
    "a grant that replaces another counts beside it until it is acknowledged": Rule(
        Ledger, "outstanding", _outstanding_of_newest, frozenset({"swap", "report", "tick", "grant"})
    ),
    "a lease is not used past its end": Rule(
        LeaseHolder,
        "usable_amount",
        _usable_forever,
        frozenset({"disconnect a", "advance", "report b", "report c", "tick", "grant"}),
    ),
    "only newer allocations are used": Rule(
        LeaseHolder,
        "on_grant",
        _accept_any_grant,
        frozenset({"die", "start", "tick", "grant", "report", "swap", "advance"}),
    ),
    "an allocation that was handed over is not used any more": Rule(
        LeaseHolder, "hand_over", _keep_after_hand_over, frozenset({"hand", "tick", "grant", "report"})
    ),
    "a grant is written to the grant file before it is sent": Rule(
        LeaseIssuer,
        "_is_covered_by_file",
        _always_covered,
        frozenset({"swap", "report", "die", "tick", "take", "start", "grant"}),
    ),
    "only an acknowledgement of the newest grant frees older ones": Rule(
        LeaseIssuer, "on_report", _acknowledge_newest, frozenset({"swap", "report", "tick", "grant"})
    ),
    "grants in an earlier grant file count as outstanding": Rule(
        LeaseIssuer, "restore_grant", _restore_nothing, frozenset({"tick", "take", "report", "grant", "swap"})
    ),
    "a holder without a connection is not taken for dead": Rule(
        LeaseIssuer, "on_disconnected", _disconnected_is_dead, frozenset({"disconnect", "tick", "grant", "report"})
    ),
}


def violation_without(rule: Rule) -> str:
    """Return the violation that the model checker finds with a rule left out, empty where it finds none."""
    original = getattr(rule.owner, rule.method)
    setattr(rule.owner, rule.method, rule.replacement)
    try:
        return explore(LeaseModel.all_running(), MAX_DEPTH, MAX_STATES, rule.step_prefixes).violation
    finally:
        setattr(rule.owner, rule.method, original)
