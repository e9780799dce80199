"""What customers got of their quotas, seen from servers alone: the worst, in percent of what the one true store gives.

In any span a customer may get what the true store held when it began, plus rate x T. Servers see a call a little after
it was sent, and we may read it later still; so a span counts only what was surely sent within it, and the store is
taken to have filled since the earliest time at which calls before it can have come.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from thymeflow.testkit.fakes.backend import Arrival
from thymeflow.testkit.fakes.environment import TrueStore

SPANS = (5.0, 20.0)  # s: shorter ones are all jitter; longer ones say no more


@dataclass(frozen=True, slots=True)
class Worst:
    """The span in which a customer got most."""

    percent: float = 0.0
    customer: str = ""
    since: float = 0.0
    seconds: float = 0.0


def firsts(arrivals: Iterable[Arrival], counts: Callable[[Arrival], bool]) -> dict[str, list[Arrival]]:
    """By customer the first call of each request, as further ones take no units."""
    seen, found = set[str](), dict[str, list[Arrival]]()
    for arrival in sorted(arrivals, key=lambda a: a.since):
        if arrival.request not in seen and counts(arrival):
            seen.add(arrival.request)
            found.setdefault(arrival.customer, []).append(arrival)
    return found


def worst(
    found: Mapping[str, list[Arrival]],
    quota: Callable[[str], tuple[float, float]],
    more: Callable[[float, float], float] = lambda since, until: 0.0,
) -> Worst:
    """Return the worst span of any customer; `more` is what a span may have beyond its quota, in bursts."""
    most = Worst()
    for customer, calls in found.items():
        rate, burst = quota(customer)
        store = TrueStore(rate, burst, calls[0].since)
        for place, first in enumerate(calls):
            held, units = store.now(first.since), 0.0
            for call in calls[place:]:
                if call.at - first.since > SPANS[1]:
                    break
                units += call.units
                length = max(SPANS[0], call.at - first.since)
                allowed = held + rate * length + burst * more(first.since, call.at)
                if 100.0 * units / allowed > most.percent:
                    most = Worst(100.0 * units / allowed, customer, first.since, length)
            store.take(first.units, first.since)
    return most
