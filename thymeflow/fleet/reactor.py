"""The type of Twisted's reactor, with the methods that the fleet package uses."""
# ruff: noqa: N802 - Twisted gives the methods their names.

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from thymeflow.handover.reactor_types import UnixReactor
from thymeflow.runtime.clock import TimerReactor


class ProcessTransport(Protocol):
    """The reactor's handle of a process that it has spawned."""

    pid: int | None


class FleetReactor(UnixReactor, TimerReactor, Protocol):
    """The reactor's timers, processes, descriptors and main loop."""

    def callFromThread(self, function: Callable[..., object], /, *arguments: object) -> object:
        """Call a function in the reactor's next turn; safe in a signal handler."""

    def callWhenRunning(self, function: Callable[..., object], /, *arguments: object) -> object:
        """Call a function once the reactor runs."""

    def addReader(self, reader: object, /) -> object:
        """Watch a descriptor for input."""

    def removeReader(self, reader: object, /) -> object:
        """Stop watching a descriptor."""

    def spawnProcess(
        self,
        protocol: object,
        executable: str,
        arguments: Sequence[str],
        environment: Mapping[str, str],
        *,
        childFDs: Mapping[int, int],  # noqa: N803 - Twisted's name
    ) -> ProcessTransport:
        """Start a process with the given descriptors."""

    def run(self) -> None:
        """Run the main loop until `stop`."""

    def stop(self) -> None:
        """End the main loop."""
