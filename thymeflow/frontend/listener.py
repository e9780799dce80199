"""The socket at which user agents connect: had early, so that a wrong address is told at once, and opened late."""

from __future__ import annotations

import socket

BACKLOG = 511  # connections that wait to be accepted


def bound(host: str, port: int, shared: bool = False) -> socket.socket:
    """A socket that holds the address and does not listen yet; OSError where the address is not to be had.

    `shared`: a later process may listen at the address beside us, where it cannot take over from us.
    """
    made = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        made.bind((host, port))
    except OSError:
        made.close()
        raise
    made.setblocking(False)
    return made


def opened(made: socket.socket) -> socket.socket:
    """The same socket, which listens from now on, whether it did before or not."""
    made.listen(BACKLOG)
    return made
