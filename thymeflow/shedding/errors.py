"""The exceptions of load shedding."""

from __future__ import annotations

from thymeflow.errors import ThymeflowError

MAX_SHOWN_LENGTH = 40  # characters of an invalid value in an error text


class SheddingError(ThymeflowError):
    """Base class of the exceptions of this package."""


class InvalidFractionError(SheddingError, ValueError):
    """A reported pressure or threshold is no number from 0 to 1; the text says which."""

    def __init__(self, name: str, value: object) -> None:
        super().__init__(f"{name} is {str(value)[:MAX_SHOWN_LENGTH]!r}, no figure from 0 to 1")
