"""Customers' numbers, where they are met, and names of counts: stateless arithmetic, no decisions.

A customer's count lives for a window, and then under another name, so that the first reading already tells a
rate. Windows of different customers begin at different times: all would move to new names at once.
"""

from __future__ import annotations

import hashlib

WINDOW = 10.0   # s: how long a count's name is in use


def number(customer: str) -> int:
    """The number by which every gateway knows a customer."""
    return int.from_bytes(hashlib.blake2b(customer.encode(), digest_size=4).digest(), "big")


def meeting_points(of: int, first: int, count: int, gateways: int) -> list[int]:
    """A customer's set in the order in which it is met there: rendezvous hashing, the same at every gateway."""
    members = [(first + k) % gateways for k in range(count)]
    return sorted(members, key=lambda m: (of ^ m * 0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9 % 2**64)


def _turns(of: int, now: float) -> float:
    return now / WINDOW + of % 1000 / 1000.0


def name(of: int, now: float) -> int:
    """The name in use now."""
    return of << 24 | int(_turns(of, now)) % 2**24


def window(name: int) -> int:
    """The window that a name belongs to."""
    return name % 2**24


def age(of: int, now: float) -> float:
    """Seconds since the present window began."""
    return _turns(of, now) % 1.0 * WINDOW
