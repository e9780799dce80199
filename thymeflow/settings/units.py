"""Value kinds: parsers and formatters for the values of settings, such as durations and sizes with units.

A field of a section has its value kind in its annotation, such as `Annotated[float, Duration(0.1, 60.0)]`. The kind
knows which values it accepts, so that every error can tell what to write instead. Tests compare the error texts with
recorded ones, so the texts must not change.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from math import isfinite
from typing import NamedTuple, Protocol, TypeVar

from thymeflow.settings.errors import InvalidValueError as InvalidValueError

T = TypeVar("T")

_AMOUNT_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*([a-zA-Z]*)")
UNITS_PER_SECOND = {"us": 1e6, "ms": 1e3, "s": 1.0, "m": 1 / 60.0, "h": 1 / 3600.0}
SECONDS_PER_UNIT = {"h": 3600.0, "m": 60.0, "s": 1.0, "ms": 1e-3}  # The largest unit comes first
# A duration is written as an integer multiple of a unit if it differs from the multiple by less than this fraction of
# the unit.
MULTIPLE_TOLERANCE = 1e-9
BYTES_PER_UNIT = {"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}
SWITCH_VALUES = {"yes": True, "on": True, "true": True, "no": False, "off": False, "false": False}
MAX_COUNT_DIGITS = 12


class ValueKind(Protocol[T]):
    """A parser and formatter for one kind of value."""

    def read(self, text: str) -> T:
        """Return the value that a text stands for.

        :raises InvalidValueError: if the text is not a valid value of this kind.
        """

    def show(self, value: T) -> str:
        """Return a text from which `read` returns the value."""


class _Amount(NamedTuple):
    number: float
    unit: str


def _parse_amount(text: str, units: dict[str, float] | dict[str, int], remedy: str) -> _Amount:
    match = _AMOUNT_PATTERN.fullmatch(text)
    if match is None:
        cause = f"{text!r} is no amount with a unit"
        raise InvalidValueError(cause, remedy)
    digits, unit = match.groups()
    if not unit:
        cause = f"{text!r} has no unit"
        raise InvalidValueError(cause, remedy)
    if unit not in units:
        cause = f"{text!r} has the unknown unit {unit!r}"
        raise InvalidValueError(cause, remedy)
    return _Amount(float(digits), unit)


def _check_range(text: str, value: float, minimum: float, maximum: float, remedy: str) -> None:
    if not isfinite(value) or not minimum <= value <= maximum:
        cause = f"{text!r} is out of range"
        raise InvalidValueError(cause, remedy)


@dataclass(frozen=True, slots=True)
class Duration:
    """A duration in seconds, written with a unit: `500ms`, `2s`, `1.5m`."""

    minimum: float = 0.0
    maximum: float = 86400.0

    def read(self, text: str) -> float:
        """Return the duration in seconds that a text stands for."""
        remedy = f"write a time from {self.show(self.minimum)} to {self.show(self.maximum)}, such as 500ms or 2s"
        amount = _parse_amount(text, UNITS_PER_SECOND, remedy)
        # A division, not a multiplication, because 700 / 1e3 equals 0.7 to the last bit.
        seconds = amount.number / UNITS_PER_SECOND[amount.unit]
        _check_range(text, seconds, self.minimum, self.maximum, remedy)
        return seconds

    def show(self, value: float) -> str:
        """Return a duration as text, in the largest unit of which it is an integer multiple."""
        for unit, seconds in SECONDS_PER_UNIT.items():
            count = value / seconds
            if value >= seconds and abs(count - round(count)) < MULTIPLE_TOLERANCE:
                return f"{round(count)}{unit}"
        return f"{value:g}s"


@dataclass(frozen=True, slots=True)
class Size:
    """A size in bytes, written with a unit: `64MB`."""

    minimum: int = 0
    maximum: int = 1 << 40

    def read(self, text: str) -> int:
        """Return the size in bytes that a text stands for."""
        remedy = f"write a size from {self.show(self.minimum)} to {self.show(self.maximum)}, such as 64MB"
        amount = _parse_amount(text, BYTES_PER_UNIT, remedy)
        size = amount.number * BYTES_PER_UNIT[amount.unit]
        _check_range(text, size, self.minimum, self.maximum, remedy)
        return int(size)

    def show(self, value: int) -> str:
        """Return a size as text, in the largest unit of which it is an integer multiple."""
        for unit, size in reversed(BYTES_PER_UNIT.items()):
            if value >= size and value % size == 0:
                return f"{value // size}{unit}"
        return f"{value}B"


@dataclass(frozen=True, slots=True)
class Count:
    """An integer that is not negative."""

    minimum: int = 0
    maximum: int = 1 << 31

    def read(self, text: str) -> int:
        """Return the integer that a text stands for."""
        remedy = f"write a whole number from {self.minimum} to {self.maximum}"
        if not text.isascii() or not text.isdigit() or len(text) > MAX_COUNT_DIGITS:
            cause = f"{text!r} is no whole number"
            raise InvalidValueError(cause, remedy)
        _check_range(text, int(text), self.minimum, self.maximum, remedy)
        return int(text)

    def show(self, value: int) -> str:
        """Return the integer as text."""
        return str(value)


@dataclass(frozen=True, slots=True)
class Switch:
    """A boolean, written as `yes` or `no`, `on` or `off`, or `true` or `false`."""

    def read(self, text: str) -> bool:
        """Return True if a text means yes, and False if it means no."""
        if text.lower() not in SWITCH_VALUES:
            cause = f"{text!r} is neither yes nor no"
            raise InvalidValueError(cause, "write yes or no")
        return SWITCH_VALUES[text.lower()]

    def show(self, value: bool) -> str:
        """Return `yes` or `no`."""
        return "yes" if value else "no"


@dataclass(frozen=True, slots=True)
class Choice:
    """One text out of a fixed set of choices."""

    choices: tuple[str, ...]

    def read(self, text: str) -> str:
        """Return the text if it is one of the choices."""
        if text not in self.choices:
            cause = f"{text!r} is not known here"
            raise InvalidValueError(cause, f"write one of {', '.join(self.choices)}")
        return text

    def show(self, value: str) -> str:
        """Return the text."""
        return value


@dataclass(frozen=True, slots=True)
class Text:
    """A text of one line, which must match the regular expression `pattern` if there is one.

    `example` is a valid text for the error message.
    """

    pattern: str = ""
    example: str = ""

    def read(self, text: str) -> str:
        """Return the text if it matches the pattern."""
        if self.pattern and not re.fullmatch(self.pattern, text):
            cause = f"{text!r} has not the form wanted"
            raise InvalidValueError(cause, f"write it like {self.example}")
        return text

    def show(self, value: str) -> str:
        """Return the text."""
        return value
