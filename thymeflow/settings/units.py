"""Values with units: how each kind of value is read from its text and written again.

A kind is put into a field's annotation, `Annotated[float, Duration(0.1, 60.0)]`, and says itself what it
would take instead, so that a message always ends in a mend.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from math import isfinite
from typing import Any, Protocol

_AMOUNT = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*([a-zA-Z]*)")
DURATIONS = {"us": 1e6, "ms": 1e3, "s": 1.0, "m": 1 / 60.0, "h": 1 / 3600.0}  # of each in a second
SIZES = {"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}
WORDS = {"yes": True, "on": True, "true": True, "no": False, "off": False, "false": False}


class InvalidValueError(ValueError):
    """The text is no value of its kind; `mend` says what would be."""

    def __init__(self, why: str, mend: str) -> None:
        super().__init__(why)
        self.mend = mend


class Kind(Protocol):
    """A kind of value."""

    def read(self, text: str) -> Any: ...
    def show(self, value: Any) -> str: ...


def _amount(text: str, units: dict[str, float] | dict[str, int], mend: str) -> tuple[float, str]:
    found = _AMOUNT.fullmatch(text)
    if found is None:
        raise InvalidValueError(f"{text!r} is no amount with a unit", mend)
    digits, unit = found.groups()
    if not unit:
        raise InvalidValueError(f"{text!r} has no unit", mend)
    if unit not in units:
        raise InvalidValueError(f"{text!r} has the unknown unit {unit!r}", mend)
    return float(digits), unit


def _within(text: str, value: float, least: float, most: float, mend: str) -> None:
    if not isfinite(value) or not least <= value <= most:
        raise InvalidValueError(f"{text!r} is out of range", mend)


@dataclass(frozen=True, slots=True)
class Duration:
    """Seconds, written with a unit: `500ms`, `2s`, `1.5m`."""

    least: float = 0.0
    most: float = 86400.0

    def read(self, text: str) -> float:
        mend = f"write a time from {self.show(self.least)} to {self.show(self.most)}, such as 500ms or 2s"
        number, unit = _amount(text, DURATIONS, mend)
        value = number / DURATIONS[unit]  # divided, 700ms is 0.7 to the last bit
        _within(text, value, self.least, self.most, mend)
        return value

    def show(self, value: float) -> str:
        for unit, size in (("h", 3600.0), ("m", 60.0), ("s", 1.0), ("ms", 1e-3)):
            if value >= size and abs(value / size - round(value / size)) < 1e-9:
                return f"{round(value / size)}{unit}"
        return f"{value:g}s"


@dataclass(frozen=True, slots=True)
class Size:
    """Bytes, written with a unit: `64MB`."""

    least: int = 0
    most: int = 1 << 40

    def read(self, text: str) -> int:
        mend = f"write a size from {self.show(self.least)} to {self.show(self.most)}, such as 64MB"
        number, unit = _amount(text, SIZES, mend)
        value = number * SIZES[unit]
        _within(text, value, self.least, self.most, mend)
        return int(value)

    def show(self, value: int) -> str:
        for unit, size in reversed(SIZES.items()):
            if value >= size and value % size == 0:
                return f"{value // size}{unit}"
        return f"{value}B"


@dataclass(frozen=True, slots=True)
class Count:
    """A whole number."""

    least: int = 0
    most: int = 1 << 31

    def read(self, text: str) -> int:
        mend = f"write a whole number from {self.least} to {self.most}"
        if not text.isascii() or not text.isdigit() or len(text) > 12:
            raise InvalidValueError(f"{text!r} is no whole number", mend)
        _within(text, int(text), self.least, self.most, mend)
        return int(text)

    def show(self, value: int) -> str:
        return str(value)


@dataclass(frozen=True, slots=True)
class Switch:
    """Yes or no."""

    def read(self, text: str) -> bool:
        if text.lower() not in WORDS:
            raise InvalidValueError(f"{text!r} is neither yes nor no", "write yes or no")
        return WORDS[text.lower()]

    def show(self, value: bool) -> str:
        return "yes" if value else "no"


@dataclass(frozen=True, slots=True)
class Choice:
    """One of a few words."""

    words: tuple[str, ...]

    def read(self, text: str) -> str:
        if text not in self.words:
            raise InvalidValueError(f"{text!r} is not known here", f"write one of {', '.join(self.words)}")
        return text

    def show(self, value: str) -> str:
        return value


@dataclass(frozen=True, slots=True)
class Text:
    """Any text of one line; with a form, such as an address, that it must match."""

    form: str = ""
    example: str = ""

    def read(self, text: str) -> str:
        if self.form and not re.fullmatch(self.form, text):
            raise InvalidValueError(f"{text!r} has not the form wanted", f"write it like {self.example}")
        return text

    def show(self, value: str) -> str:
        return value
