"""Exceptions of the daemon."""

from __future__ import annotations

from thymeflow.errors import ThymeflowError


class DaemonError(ThymeflowError):
    """Base class of the daemon's exceptions."""


class StartError(DaemonError):
    """The daemon cannot start; the text gives the cause in one line, `exit_code` is the code to exit with."""

    def __init__(self, cause: str, exit_code: int) -> None:
        super().__init__(cause)
        self.exit_code = exit_code
