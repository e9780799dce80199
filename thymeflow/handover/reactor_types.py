"""The parts of Twisted's reactor that control sockets use, as types (its interfaces carry none that mypy reads)."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.protocol import ClientFactory, Factory


class ListeningPort(Protocol):
    """A port that a reactor opened."""

    def stopListening(self) -> object:
        """Close the port."""


class UnixReactor(Protocol):
    """A reactor that listens at Unix sockets and connects to them."""

    def listenUNIX(self, address: str, factory: Factory, *, mode: int) -> ListeningPort:  # noqa: N802 (Twisted's name)
        """Listen at a path, created with the permission bits `mode`."""

    def connectUNIX(self, address: str, factory: ClientFactory, timeout: float) -> object:  # noqa: N802 (Twisted's name)
        """Connect to a path; the factory is notified of the result within `timeout` seconds."""
