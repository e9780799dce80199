"""The bytes of notes between gateways: layout and validation, no decisions.

A note is a head (version, the sender's life, a sequence number, its pressure in hundredths) and entries.
An entry names a customer and its plan and holds two amounts in quarters of a unit: either what the sender
asked and charged so far, modulo 2**16, or, marked as told, the level and the demand that a meeting gateway
gathered, at most 2**16 - 1.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from typing import NamedTuple

VERSION = 3
MOST = 256      # bytes, the wire's limit
TOLD = 128      # added to the plan's number in entries that tell what was gathered
HEAD = struct.Struct(">BHHB")
ENTRY = struct.Struct(">IBHH")
ROOM = (MOST - HEAD.size) // ENTRY.size


class Entry(NamedTuple):
    """One customer's figures, in units; those of a report wrap."""

    number: int
    plan: int
    told: bool
    first: float
    second: float

    def pack(self) -> bytes:
        """The entry as it travels."""
        quarters = [int(max(0.0, amount) * 4.0) for amount in (self.first, self.second)]
        first, second = (min(0xFFFF, q) if self.told else q & 0xFFFF for q in quarters)
        return ENTRY.pack(self.number, self.plan + (TOLD if self.told else 0), first, second)


class Note(NamedTuple):
    """What a peer said."""

    life: int
    sequence: int
    pressure: float
    entries: tuple[Entry, ...]


def pack(note: Note) -> bytes:
    """The note as it travels; no more entries than `ROOM` fit."""
    head = HEAD.pack(VERSION, note.life, note.sequence & 0xFFFF, min(0xFF, int(note.pressure * 100.0)))
    return head + b"".join(entry.pack() for entry in note.entries)


def chunks(entries: Sequence[Entry]) -> list[tuple[Entry, ...]]:
    """Entries in portions that fit a note; one empty portion where there are none."""
    return [tuple(entries[k:k + ROOM]) for k in range(0, max(1, len(entries)), ROOM)]


def unpack(data: bytes) -> Note | None:
    """The note in some bytes, or None where they are truncated or of another version."""
    if not HEAD.size <= len(data) <= MOST or (len(data) - HEAD.size) % ENTRY.size or data[0] != VERSION:
        return None
    _, life, sequence, pressure = HEAD.unpack_from(data)
    entries = tuple(Entry(number, kind % TOLD, kind >= TOLD, first / 4.0, second / 4.0)
                    for number, kind, first, second in ENTRY.iter_unpack(data[HEAD.size:]))
    return Note(life, sequence, min(1.0, pressure / 100.0), entries)


def rise(now: float, before: float) -> float:
    """By how many units a wrapping amount rose."""
    return (now - before) % 16384.0


def change(now: float, before: float) -> float:
    """By how many units a wrapping amount changed, up or down."""
    return (now - before + 8192.0) % 16384.0 - 8192.0
