"""Ports for what listens, goes away and comes back at the same address."""

from __future__ import annotations

import contextlib
import random
import socket

PORTS = (15000, 32000)  # under those that a system gives to who connects: an address that is left for a while, as
#                           by a process that was killed or a link that is cut, must not be taken by a connection
TRIES = 500

_claims: list[socket.socket] = []  # ours until this process ends, whether anybody listens or not


def _claimed(port: int) -> bool:
    # Other laboratories may run beside this one, and look for ports while nobody listens at ours. The kernel holds a
    # name in its abstract space for one process, and lets go of it with that.
    claim = socket.socket(socket.AF_UNIX)
    try:
        claim.bind(f"\0thymeflow-port-{port}")
    except OSError:
        claim.close()
        return False
    _claims.append(claim)
    return True


def free_port() -> int:
    """A port at which nobody listens, and which no other laboratory of this machine is given while we run."""
    draw = random.SystemRandom()  # others may look for ports as we do, so not by the schedule's seed
    for _ in range(TRIES):
        port = draw.randrange(*PORTS)
        if _claimed(port):
            with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
                return port
    raise OSError(f"no free port from {PORTS[0]} to {PORTS[1]}")
