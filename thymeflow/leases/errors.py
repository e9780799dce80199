"""Exceptions of the leases package."""

from __future__ import annotations

from thymeflow.errors import ThymeflowError


class LeaseError(ThymeflowError):
    """Base class of the exceptions of this package."""


class OverAllocationError(LeaseError):
    """A grant would exceed the free amount of a resource: a programming error of the issuer."""


class MalformedAllocationError(LeaseError, ValueError):
    """A message cannot be parsed as an allocation; the text gives the reason in one line."""


class GrantFileError(LeaseError):
    """The grant file cannot be used; the text gives the reason in one line."""
