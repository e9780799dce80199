"""The exceptions of the fleet package."""

from __future__ import annotations

from thymeflow.errors import ThymeflowError


class FleetError(ThymeflowError):
    """Base class of the fleet's exceptions."""


class SupervisorStartError(FleetError):
    """The supervisor cannot start; the message gives the reason in one line."""

    def __init__(self, reason: str, exit_code: int) -> None:
        super().__init__(reason)
        self.exit_code = exit_code


class RegistryError(FleetError, ValueError):
    """The registry file cannot be read, or a member's address would have a port that is out of range."""
