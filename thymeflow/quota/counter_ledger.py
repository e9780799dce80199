"""What was reported to the counter about one customer, and what it replied: state and arithmetic, no decisions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from thymeflow.quota import counter_encoding


class UncertainAmount(NamedTuple):
    """What calls added that got no reply, probably: under which name, and how much."""

    name: int
    amount: float


class RemoteUsage(NamedTuple):
    """What the other limiters requested and charged, in units, and over how many seconds."""

    requested: float
    charged: float
    seconds: float


NO_UNCERTAIN_AMOUNT = UncertainAmount(-1, 0.0)


@dataclass(slots=True)
class CounterLedger:
    """One customer's counter calls at this gateway. Amounts are as `counter_encoding.encode` makes them."""

    read_at: float  # s: when the last total was read; at first, when this was created
    reported_units: float = 0.0
    reported_charges: float = 0.0
    counter_name: int = -1  # under which the last total was read
    last_total: float = 0.0
    uncertain: UncertainAmount = NO_UNCERTAIN_AMOUNT

    def report(self, name: int, requested: float, charged: float) -> int:
        """Return the amount to add for what was requested and charged so far; it counts as reported from now on."""
        amount = counter_encoding.encode(name, requested - self.reported_units, charged - self.reported_charges)
        self._add_reported(name, amount, 1.0)
        return amount

    def _add_reported(self, name: int, amount: float, sign: float) -> None:
        requested, charged = counter_encoding.decode(name, amount)
        self.reported_units += sign * requested
        self.reported_charges += sign * charged

    def retract(self, name: int, amount: float) -> None:
        """Report the amount again with the next call, as nothing was added."""
        self._add_reported(name, amount, -1.0)

    def mark_uncertain(self, name: int, amount: float) -> None:
        """Note a call that got no reply, or a corrupt one."""
        previous = self.uncertain.amount if self.uncertain.name == name else 0.0
        self.uncertain = UncertainAmount(name, amount + previous)

    def read_total(self, name: int, total: float, own_amount: float, now: float, customer: int) -> RemoteUsage:
        """Return what others requested and charged since the last reading, by a total with `own_amount` in it.

        Under another name, or where the counter lost its totals, the total is what was added since the window began. A
        call that got no reply may not have been added after all.
        """
        uncertain = self.uncertain.amount if self.uncertain.name == name else 0.0
        previous_total = self.last_total
        since = self.read_at
        if name != self.counter_name or counter_encoding.is_reset(total - previous_total):
            previous_total = 0.0
            since = now - counter_encoding.compute_window_age(customer, now)
        increase = total - previous_total - own_amount - uncertain
        if counter_encoding.is_reset(increase):
            increase += uncertain
        self.counter_name = name
        self.last_total = total
        self.read_at = now
        self.uncertain = NO_UNCERTAIN_AMOUNT
        seconds = max(0.0, now - since)
        if counter_encoding.is_reset(increase):
            return RemoteUsage(0.0, 0.0, seconds)
        requested, charged = counter_encoding.decode(name, increase)
        return RemoteUsage(requested, charged, seconds)
