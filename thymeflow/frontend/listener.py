"""The listening socket for clients.

It is bound early, so that an invalid address is reported at once, and starts to listen late.
"""

from __future__ import annotations

import socket

BACKLOG = 511  # maximum of connections that wait to be accepted


def bind_listener(host: str, port: int, shared: bool = False) -> socket.socket:
    """Return a socket that is bound to the address and does not listen yet.

    If `shared` is set, a later process that cannot take over this socket can listen at the same address beside it.

    :raises OSError: if the address is invalid or in use.
    """
    listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


def start_listening(listener: socket.socket) -> socket.socket:
    """Make a socket listen, if it does not listen already, and return it."""
    listener.listen(BACKLOG)
    return listener
