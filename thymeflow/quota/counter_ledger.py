"""One gateway's counter reports on a customer, and the totals that it read. State and arithmetic, no decisions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from thymeflow.quota import counter_encoding


class UncertainAmount(NamedTuple):
    """The amount that calls without a reply have probably added to the total of a counter name."""

    name: int
    amount: float


class RemoteUsage(NamedTuple):
    """The units that the other limiters requested and charged during a number of seconds."""

    requested: float
    charged: float
    seconds: float


NO_UNCERTAIN_AMOUNT = UncertainAmount(-1, 0.0)


@dataclass(slots=True)
class CounterLedger:
    """One customer's counter calls at this gateway. Amounts are encoded by `counter_encoding.encode`."""

    read_at: float  # Time in s of the last read total; before the first total, of the ledger's creation
    reported_units: float = 0.0
    reported_charges: float = 0.0
    counter_name: int = -1  # Counter name of the last total that was read, -1 before the first
    last_total: float = 0.0
    uncertain: UncertainAmount = NO_UNCERTAIN_AMOUNT

    def report(self, name: int, requested: float, charged: float) -> int:
        """Return the amount that reports the requested and charged units so far, and count it as reported.

        `requested` and `charged` are units since the bucket was created; the amount encodes their unreported part.
        """
        amount = counter_encoding.encode(name, requested - self.reported_units, charged - self.reported_charges)
        self._add_reported(name, amount, 1.0)
        return amount

    def _add_reported(self, name: int, amount: float, sign: float) -> None:
        requested, charged = counter_encoding.decode(name, amount)
        self.reported_units += sign * requested
        self.reported_charges += sign * charged

    def retract(self, name: int, amount: float) -> None:
        """Count an amount as unreported, because the counter did not add it; the next call reports it again."""
        self._add_reported(name, amount, -1.0)

    def mark_uncertain(self, name: int, amount: float) -> None:
        """Record the amount of a call that got no reply or a corrupt one, and may or may not have been added."""
        previous = self.uncertain.amount if self.uncertain.name == name else 0.0
        self.uncertain = UncertainAmount(name, amount + previous)

    def apply_total(self, name: int, total: float, own_amount: float, now: float, customer: int) -> RemoteUsage:
        """Record a total, and return the units that other limiters requested and charged since the last one.

        `total` includes `own_amount`, the amount of the call that it replies to. If the name is new or the counter lost
        its totals, the total is compared with 0, its value when the window began. Uncertain amounts are deducted
        as well. If the result would mean that other limiters' requested units fell, the uncertain calls were not added,
        and nothing is deducted for them.
        """
        uncertain = self.uncertain.amount if self.uncertain.name == name else 0.0
        previous_total = self.last_total
        interval_started_at = self.read_at
        if name != self.counter_name or counter_encoding.is_impossible_increase(total - previous_total):
            previous_total = 0.0
            interval_started_at = now - counter_encoding.compute_window_age(customer, now)
        increase = total - previous_total - own_amount - uncertain
        if counter_encoding.is_impossible_increase(increase):
            increase += uncertain
        self.counter_name = name
        self.last_total = total
        self.read_at = now
        self.uncertain = NO_UNCERTAIN_AMOUNT
        seconds = max(0.0, now - interval_started_at)
        if counter_encoding.is_impossible_increase(increase):
            return RemoteUsage(0.0, 0.0, seconds)
        requested, charged = counter_encoding.decode(name, increase)
        return RemoteUsage(requested, charged, seconds)
