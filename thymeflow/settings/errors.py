"""Exceptions of the settings reader, and the faults that they report."""

from __future__ import annotations

from dataclasses import dataclass

from thymeflow.errors import ThymeflowError


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a settings file, of the environment or of the platform's JSON.

    `why` is the cause, and `mend` is the text that tells the reader what to write instead. Line 0 stands for the whole
    file or for the environment. `thymeflow check --json` prints the fields under these names.
    """

    file: str
    line: int
    section: str
    key: str
    why: str
    mend: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}" if self.line else self.file
        setting = " ".join(filter(None, (f"[{self.section}]" if self.section else "", self.key)))
        return ": ".join(filter(None, (location, setting, f"{self.why}; {self.mend}")))


class SettingsReaderError(ThymeflowError):
    """Base class of the exceptions of this package."""


class SettingsError(SettingsReaderError):
    """The settings cannot be used; `faults` lists every cause."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


class InvalidValueError(SettingsReaderError, ValueError):
    """A text is not a valid value of its kind; `remedy` tells the reader what to write instead."""

    def __init__(self, why: str, remedy: str) -> None:
        super().__init__(why)
        self.remedy = remedy
