"""Exceptions of the daemon."""

from __future__ import annotations

from thymeflow.errors import ThymeflowError


class DaemonError(ThymeflowError):
    """Base class of the daemon's exceptions."""


class StartError(DaemonError):
    """The daemon cannot start; the text says why in one line, `code` is the exit code."""

    def __init__(self, why: str, code: int) -> None:
        super().__init__(why)
        self.code = code
