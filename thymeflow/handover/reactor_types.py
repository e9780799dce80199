"""Types for what control sockets use of Twisted's reactor and transports; Twisted's interfaces declare none."""

from __future__ import annotations

import socket
from typing import Protocol

from twisted.internet.protocol import ClientFactory, Factory


class ListeningPort(Protocol):
    """A listening port that a reactor opened."""

    def stopListening(self) -> object:
        """Close the port."""


class UnixReactor(Protocol):
    """A reactor that listens at Unix sockets and connects to them."""

    def listenUNIX(self, address: str, factory: Factory, *, mode: int) -> ListeningPort:  # noqa: N802 (Twisted's name)
        """Listen at a path, created with the permission bits `mode`."""

    def connectUNIX(self, address: str, factory: ClientFactory, timeout: float) -> object:  # noqa: N802 (Twisted's name)
        """Connect to a path; the factory is notified of the result within `timeout` seconds."""


class UnixTransport(Protocol):
    """One connected Unix socket."""

    @property
    def dataBuffer(self) -> bytes:  # noqa: N802 (Twisted's name)
        """The bytes to be sent next."""

    @property
    def _tempDataBuffer(self) -> list[bytes]:  # noqa: N802 (Twisted's name)
        """The bytes to be sent after the bytes of `dataBuffer`."""

    def getHandle(self) -> socket.socket:  # noqa: N802 (Twisted's name)
        """Return the connected socket."""

    def write(self, data: bytes) -> None:
        """Send bytes, after all bytes that were written before."""

    def sendFileDescriptor(self, descriptor: int) -> None:
        """Send a descriptor together with the first byte that is written next."""

    def loseConnection(self) -> None:
        """Close the connection once all written bytes have been sent."""

    def abortConnection(self) -> None:  # noqa: N802 (Twisted's name)
        """Close the connection at once and drop all unsent bytes."""
