"""Encodes, decodes and validates gossip messages between gateways. No decisions.

A message consists of a header and entries. The header contains the version, the sender's incarnation, a sequence number
and the sender's pressure in hundredths. An entry names a customer and its plan, and contains two amounts in quarters of
a unit. In a report these are the units that the sender has requested and charged so far, modulo 2**16. In an aggregate
they are the level and the demand that an aggregator computed, limited to 2**16 - 1.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from typing import NamedTuple

VERSION = 3
MAX_BYTES = 256  # The platform's limit on the size of a message
AGGREGATE_FLAG = 128  # Added to the plan's number in the entry of an aggregate
HEADER = struct.Struct(">BHHB")
ENTRY = struct.Struct(">IBHH")
MAX_ENTRIES = (MAX_BYTES - HEADER.size) // ENTRY.size
STEPS_PER_UNIT = 4.0
MAX_STEPS = 0xFFFF
WRAP_UNITS = 16384.0  # The amounts of a report wrap to 0 after this many units.


class Entry(NamedTuple):
    """One customer's amounts in a message.

    A report contains the requested and charged units, which wrap. An aggregate contains the level of the set in units
    and its demand in units per second.
    """

    customer_id: int
    plan: int
    is_aggregate: bool
    requested_or_level: float
    charged_or_demand: float

    def encode(self) -> bytes:
        """Return the entry as bytes."""
        steps = [int(max(0.0, amount) * STEPS_PER_UNIT) for amount in (self.requested_or_level, self.charged_or_demand)]
        first, second = (min(MAX_STEPS, n) if self.is_aggregate else n & MAX_STEPS for n in steps)
        plan = self.plan + (AGGREGATE_FLAG if self.is_aggregate else 0)
        return ENTRY.pack(self.customer_id, plan, first, second)


class Message(NamedTuple):
    """A gossip message of one peer."""

    incarnation: int
    sequence: int
    pressure: float
    entries: tuple[Entry, ...]


def encode(message: Message) -> bytes:
    """Return the message as bytes; it must have at most `MAX_ENTRIES` entries."""
    pressure = min(0xFF, int(message.pressure * 100.0))
    header = HEADER.pack(VERSION, message.incarnation, message.sequence & 0xFFFF, pressure)
    return header + b"".join(entry.encode() for entry in message.entries)


def split_into_chunks(entries: Sequence[Entry]) -> list[tuple[Entry, ...]]:
    """Split entries into chunks that each fit in a message; return one empty chunk if there are no entries."""
    return [tuple(entries[start : start + MAX_ENTRIES]) for start in range(0, max(1, len(entries)), MAX_ENTRIES)]


def decode(data: bytes) -> Message | None:
    """Return the decoded message, or None if the data is truncated, too long or of another version."""
    if not HEADER.size <= len(data) <= MAX_BYTES or (len(data) - HEADER.size) % ENTRY.size or data[0] != VERSION:
        return None
    _, incarnation, sequence, pressure = HEADER.unpack_from(data)
    entries = tuple(
        Entry(
            customer_id,
            flagged_plan % AGGREGATE_FLAG,
            flagged_plan >= AGGREGATE_FLAG,
            first / STEPS_PER_UNIT,
            second / STEPS_PER_UNIT,
        )
        for customer_id, flagged_plan, first, second in ENTRY.iter_unpack(data[HEADER.size :])
    )
    return Message(incarnation, sequence, min(1.0, pressure / 100.0), entries)


def compute_unsigned_difference(amount: float, previous: float) -> float:
    """Return the increase of a wrapping amount in units; the amount must not have fallen."""
    return (amount - previous) % WRAP_UNITS


def compute_signed_difference(amount: float, previous: float) -> float:
    """Return the change of a wrapping amount in units, which is negative if the amount fell.

    The unwrapped amount must have changed by less than half of `WRAP_UNITS`.
    """
    return (amount - previous + WRAP_UNITS / 2.0) % WRAP_UNITS - WRAP_UNITS / 2.0
