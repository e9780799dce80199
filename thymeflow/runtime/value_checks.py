"""Checks of values that were read from JSON, whose types are not known. Needs the standard library only."""

from __future__ import annotations

import sys
from typing import TypeGuard

MAX_QUOTED_CHARACTERS = 40  # of a value in an error text


def is_integer(value: object) -> TypeGuard[int]:
    """Return whether the value is an integer; a bool is none."""
    return type(value) is int


def is_finite_number(value: object) -> TypeGuard[float]:
    """Return whether the value is an integer or a float that is finite as a float; a bool is none."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return -sys.float_info.max <= value <= sys.float_info.max  # false for NaN


def is_fraction(value: object) -> TypeGuard[float]:
    """Return whether the value is a number from 0 to 1; a bool is none."""
    return is_finite_number(value) and 0.0 <= value <= 1.0


def quote(value: object, max_characters: int = MAX_QUOTED_CHARACTERS) -> str:
    """Return the value as text in quotes for an error text, cut off after so many characters."""
    return repr(str(value)[:max_characters])
