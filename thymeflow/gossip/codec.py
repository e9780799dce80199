"""The bytes of gossip messages between gateways: layout and validation, no decisions.

A message is a header (version, the sender's incarnation, a sequence number, its pressure in hundredths) and entries.
An entry names a customer and its plan and holds two amounts in quarters of a unit: either what the sender requested
and charged so far, modulo 2**16, or, marked as an aggregate, the level and the demand that an aggregator found, at
most 2**16 - 1.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from typing import NamedTuple

VERSION = 3
MAX_BYTES = 256  # the platform's limit
AGGREGATE_FLAG = 128  # added to the plan's number in entries that hold an aggregate
HEADER = struct.Struct(">BHHB")
ENTRY = struct.Struct(">IBHH")
MAX_ENTRIES = (MAX_BYTES - HEADER.size) // ENTRY.size
STEPS_PER_UNIT = 4.0
MAX_STEPS = 0xFFFF
WRAP_UNITS = 16384.0  # units after which the amounts of a report wrap


class Entry(NamedTuple):
    """One customer's amounts, in units; those of a report wrap."""

    customer_id: int
    plan: int
    is_aggregate: bool
    first: float
    second: float

    def encode(self) -> bytes:
        """Return the entry's bytes."""
        steps = [int(max(0.0, amount) * STEPS_PER_UNIT) for amount in (self.first, self.second)]
        first, second = (min(MAX_STEPS, n) if self.is_aggregate else n & MAX_STEPS for n in steps)
        plan = self.plan + (AGGREGATE_FLAG if self.is_aggregate else 0)
        return ENTRY.pack(self.customer_id, plan, first, second)


class Message(NamedTuple):
    """What a peer sent."""

    incarnation: int
    sequence: int
    pressure: float
    entries: tuple[Entry, ...]


def encode(message: Message) -> bytes:
    """Return the message's bytes; it holds no more than `MAX_ENTRIES` entries."""
    pressure = min(0xFF, int(message.pressure * 100.0))
    header = HEADER.pack(VERSION, message.incarnation, message.sequence & 0xFFFF, pressure)
    return header + b"".join(entry.encode() for entry in message.entries)


def split_into_chunks(entries: Sequence[Entry]) -> list[tuple[Entry, ...]]:
    """Split entries into chunks that fit a message; one empty chunk where there are none."""
    return [tuple(entries[start : start + MAX_ENTRIES]) for start in range(0, max(1, len(entries)), MAX_ENTRIES)]


def decode(data: bytes) -> Message | None:
    """Return the message in some bytes, None where they are truncated or of another version."""
    if not HEADER.size <= len(data) <= MAX_BYTES or (len(data) - HEADER.size) % ENTRY.size or data[0] != VERSION:
        return None
    _, incarnation, sequence, pressure = HEADER.unpack_from(data)
    entries = tuple(
        Entry(
            customer_id,
            kind % AGGREGATE_FLAG,
            kind >= AGGREGATE_FLAG,
            first / STEPS_PER_UNIT,
            second / STEPS_PER_UNIT,
        )
        for customer_id, kind, first, second in ENTRY.iter_unpack(data[HEADER.size :])
    )
    return Message(incarnation, sequence, min(1.0, pressure / 100.0), entries)


def compute_increase(amount: float, previous: float) -> float:
    """Return by how many units a wrapping amount rose."""
    return (amount - previous) % WRAP_UNITS


def compute_change(amount: float, previous: float) -> float:
    """Return by how many units a wrapping amount changed, up or down."""
    return (amount - previous + WRAP_UNITS / 2.0) % WRAP_UNITS - WRAP_UNITS / 2.0
