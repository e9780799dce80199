"""Exceptions of the shedding package."""

from __future__ import annotations

from thymeflow.errors import ThymeflowError
from thymeflow.runtime.value_checks import quote


class SheddingError(ThymeflowError):
    """Base class of the exceptions of this package."""


class InvalidFractionError(SheddingError, ValueError):
    """A pressure or threshold in a message is not a number from 0 to 1; the text names the key and quotes the value."""

    def __init__(self, name: str, value: object) -> None:
        super().__init__(f"{name} is {quote(value)}, no figure from 0 to 1")
