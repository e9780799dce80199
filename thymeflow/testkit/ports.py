"""Ports for listeners that go away and come back at the same address."""

from __future__ import annotations

import contextlib
import random
import socket

# Below the range that systems use for outgoing connections: the port of a process that was killed, or of a link that
# is cut, must not be used by a connection in the meantime.
FIRST_PORT = 15000
END_PORT = 32000
MAX_PORT_DRAWS = 500

_reservations: list[socket.socket] = []  # open until this process ends, whether anybody listens at the port or not


def _try_reserve(port: int) -> bool:
    # Other test clusters may run on this machine and look for ports while nobody listens at ours. The kernel keeps a
    # name in its abstract socket namespace for one process, and frees it when that process ends.
    reservation = socket.socket(socket.AF_UNIX)
    try:
        reservation.bind(f"\0thymeflow-port-{port}")
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    return True


def reserve_port() -> int:
    """Return a port at which nobody listens, and which no other test cluster of this machine uses until we end.

    :raises OSError: where no free port is found.
    """
    system_random = random.SystemRandom()  # not the generator of a run: another run may draw the same ports
    for _ in range(MAX_PORT_DRAWS):
        port = system_random.randrange(FIRST_PORT, END_PORT)
        if _try_reserve(port):
            with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
                return port
    text = f"no free port from {FIRST_PORT} to {END_PORT}"
    raise OSError(text)
