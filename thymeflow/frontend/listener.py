"""The socket at which clients connect: bound early, so that a wrong address fails at once, and opened late."""

from __future__ import annotations

import socket

BACKLOG = 511  # connections that wait to be accepted


def bind_listener(host: str, port: int, shared: bool = False) -> socket.socket:
    """Return a socket that is bound to the address and doesn't listen yet.

    `shared`: a later process may listen at the address beside us, where it cannot take over from us.

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
    """Return the same socket, which listens from now on, whether it did before or not."""
    listener.listen(BACKLOG)
    return listener
