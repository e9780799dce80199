"""The exceptions of load shedding."""

from __future__ import annotations

from thymeflow.errors import ThymeflowError
from thymeflow.runtime.value_checks import quote


class SheddingError(ThymeflowError):
    """Base class of the exceptions of this package."""


class InvalidFractionError(SheddingError, ValueError):
    """A reported pressure or threshold is no number from 0 to 1; the text names and quotes it."""

    def __init__(self, name: str, value: object) -> None:
        super().__init__(f"{name} is {quote(value)}, no figure from 0 to 1")
