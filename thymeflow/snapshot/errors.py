"""Exceptions of the snapshot package."""

from __future__ import annotations

from thymeflow.errors import ThymeflowError


class SnapshotError(ThymeflowError):
    """The snapshot cannot be used; the text gives the cause in one line."""


class InvalidFieldError(SnapshotError):
    """A field is missing, unknown, or has a value of the wrong type or out of range; the text names the field."""
