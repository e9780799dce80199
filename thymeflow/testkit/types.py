"""Types that the testkit's modules share: JSON objects, and what is used of Twisted's reactor."""
# ruff: noqa: N802 - Twisted gives the methods their names.

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory, Factory

from thymeflow.handover.reactor_types import UnixReactor
from thymeflow.runtime.clock import TimerReactor

JsonObject = dict[str, Any]  # a message or a configuration; its keys are the format of each
Address = tuple[str, int]  # host and port


class TcpPort(Protocol):
    """A TCP port that the reactor opened."""

    def getHost(self) -> Any:  # noqa: ANN401 - Twisted's addresses share no static type
        """Return the address at which it listens."""

    def stopListening(self) -> object:
        """Close the port."""


class NetworkReactor(UnixReactor, TimerReactor, Protocol):
    """The reactor's timers, and its TCP and Unix sockets."""

    def listenTCP(self, port: int, factory: Factory, backlog: int, interface: str) -> TcpPort:
        """Listen at a TCP port; 0 lets the system choose one."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float) -> object:
        """Connect; the factory is notified of the result within `timeout` seconds."""


class MainReactor(NetworkReactor, Protocol):
    """The reactor of this process, with its main loop."""

    running: bool

    def callFromThread(self, function: Callable[..., object], /, *arguments: object) -> object:
        """Call a function in the reactor's next turn; safe in a signal handler."""

    def callWhenRunning(self, function: Callable[..., object], /, *arguments: object) -> object:
        """Call a function once the reactor runs."""

    def run(self, installSignalHandlers: bool = True) -> None:  # noqa: N803 - Twisted's name
        """Run the main loop until `stop`."""

    def stop(self) -> None:
        """End the main loop."""
