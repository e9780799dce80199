"""Checks of values of unknown type that were read from JSON. Imports the standard library only."""

from __future__ import annotations

import sys
from typing import TypeGuard

MAX_QUOTED_CHARACTERS = 40  # limit of a quoted value in an error text


def is_integer(value: object) -> TypeGuard[int]:
    """Return whether the value is an integer; a bool does not count as one."""
    return type(value) is int


def is_finite_number(value: object) -> TypeGuard[float]:
    """Return whether the value is an integer or a float, within the range of finite floats; a bool does not count."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return -sys.float_info.max <= value <= sys.float_info.max  # False for NaN.


def is_fraction(value: object) -> TypeGuard[float]:
    """Return whether the value is a number from 0 to 1; a bool does not count."""
    return is_finite_number(value) and 0.0 <= value <= 1.0


def quote(value: object, max_characters: int = MAX_QUOTED_CHARACTERS) -> str:
    """Return the value as quoted text for an error text, truncated to `max_characters` characters."""
    return repr(str(value)[:max_characters])
