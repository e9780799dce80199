"""Names of counts: stateless arithmetic over a customer's number and the time, no decisions.

A customer's count lives for a window, and then under another name, so that the first reading already tells a
rate. Windows of different customers begin at different times: all would move to new names at once.
"""

from __future__ import annotations

WINDOW = 10.0   # s: how long a count's name is in use


def _turns(number: int, now: float) -> float:
    return now / WINDOW + number % 1000 / 1000.0


def name(number: int, now: float) -> int:
    """The name in use now."""
    return number << 24 | int(_turns(number, now)) % 2**24


def window(of: int) -> int:
    """The window that a name belongs to."""
    return of % 2**24


def age(number: int, now: float) -> float:
    """Seconds since the present window began."""
    return _turns(number, now) % 1.0 * WINDOW
