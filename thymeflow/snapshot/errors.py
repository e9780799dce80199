"""The exceptions of the snapshot package."""

from __future__ import annotations

from thymeflow.errors import ThymeflowError


class SnapshotError(ThymeflowError):
    """The snapshot cannot be used; the text gives the cause in one line."""


class InvalidFieldError(SnapshotError):
    """A value is not of the type that its field requires; the text names the field."""
