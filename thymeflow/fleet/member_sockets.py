"""The listening sockets of all members, which the supervisor keeps open.

The supervisor passes the same socket to each process of a member (LISTEN_FDS), so that the member's address accepts
connections while the member restarts.
"""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Container

from thymeflow.fleet.registry import compute_listen_address
from thymeflow.frontend.listener import bind_listener, start_listening
from thymeflow.handover import listening_sockets


class MemberSockets:
    """The listening sockets by member's number; the ports count up from the port of the base address."""

    def __init__(self, base_address: str) -> None:
        self.ports: dict[str, int] = {}  # Key: member's number as text, as in the registry file.
        self._base_address = base_address
        self._sockets: dict[int, socket.socket] = {}

    def __contains__(self, number: int) -> bool:
        return number in self._sockets

    def restore_ports(self, ports: dict[str, int]) -> None:
        """Set the ports that the previous supervisor used; they apply if the port of the base address is 0."""
        self.ports = dict(ports)

    def open(self, number: int) -> socket.socket:
        """Return a member's listening socket, and open it first if necessary.

        :raises OSError: the address cannot be bound.
        :raises RegistryError: the port would be out of range.
        """
        listening_socket = self._sockets.get(number)
        if listening_socket is None:
            address = compute_listen_address(self._base_address, number, self.ports)
            listening_socket = start_listening(bind_listener(address.host, address.port))
            self._sockets[number] = listening_socket
        self.ports[str(number)] = listening_socket.getsockname()[1]
        return listening_socket

    def adopt(self, number: int, descriptor: int) -> None:
        """Use a copy of a descriptor as a member's socket if it is a listening socket, and close the descriptor."""
        with contextlib.suppress(listening_sockets.BadDescriptorError, OSError):
            self._sockets[number] = listening_sockets.duplicate_listening_socket(descriptor)
        os.close(descriptor)

    def address_text(self, number: int) -> str:
        """Return a member's address as host:port, empty if its socket is not open."""
        listening_socket = self._sockets.get(number)
        return "" if listening_socket is None else format_address(listening_socket)

    def close_all_except(self, numbers: Container[int]) -> None:
        """Close the sockets of all members that are not in `numbers`; their addresses then reject connections."""
        for number in [number for number in self._sockets if number not in numbers]:
            self._sockets.pop(number).close()


def format_address(listening_socket: socket.socket) -> str:
    """Return the local address of a socket as host:port."""
    host, port = listening_socket.getsockname()[:2]
    return f"{host}:{port}"
