"""A TCP listener on loopback that can be closed and opened again at the same address."""

from __future__ import annotations

from twisted.internet.protocol import Factory

from thymeflow.testkit.ports import reserve_port
from thymeflow.testkit.types import Address, NetworkReactor, TcpPort

LOOPBACK_HOST = "127.0.0.1"
BACKLOG = 511  # connections that wait to be accepted


class LoopbackListener:
    """Listens for a factory; `is_port_reserved` keeps the port from others while it is closed."""

    def __init__(self, reactor: NetworkReactor, factory: Factory, *, is_port_reserved: bool = True) -> None:
        self.address: Address = (LOOPBACK_HOST, 0)
        self._reactor = reactor
        self._factory = factory
        self._is_port_reserved = is_port_reserved
        self._port: TcpPort | None = None

    def is_open(self) -> bool:
        """Return whether it listens."""
        return self._port is not None

    def open(self) -> None:
        """Listen, at the earlier address if there was one; does nothing while it listens."""
        if self._port is not None:
            return
        number = self.address[1]
        if number == 0 and self._is_port_reserved:
            number = reserve_port()
        self._port = self._reactor.listenTCP(number, self._factory, backlog=BACKLOG, interface=LOOPBACK_HOST)
        self.address = (LOOPBACK_HOST, self._port.getHost().port)

    def close(self) -> None:
        """Refuse connections from now on."""
        port = self._port
        self._port = None
        if port is not None:
            port.stopListening()
