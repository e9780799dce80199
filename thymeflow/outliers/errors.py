"""Exceptions of the outliers package."""

from __future__ import annotations

from thymeflow.errors import ThymeflowError


class OutlierError(ThymeflowError):
    """Base class of the exceptions of this package."""


class MalformedOutlierMessageError(OutlierError, ValueError):
    """A report or an ejection in a message cannot be parsed; the text gives the reason in one line."""
