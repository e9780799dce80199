"""Listening sockets handed in by whoever started us, as LISTEN_FDS tells (sd_listen_fds(3))."""

from __future__ import annotations

import os
import socket
from collections.abc import MutableMapping

from thymeflow.handover.listening_sockets import BadDescriptorError, duplicate_listening_socket

FIRST = 3  # the first descriptor handed in
MOST = 16


def handed_in(environment: MutableMapping[str, str], pid: int) -> list[socket.socket]:
    """The sockets handed in to this very process; the variables are taken out, so that no child reads them.

    BadDescriptor where the variables or a descriptor cannot be believed.
    """
    meant, count = environment.pop("LISTEN_PID", ""), environment.pop("LISTEN_FDS", "")
    environment.pop("LISTEN_FDNAMES", None)
    if not count or meant != str(pid):
        return []  # nothing, or meant for a process before us
    if not count.isascii() or not count.isdigit() or not 1 <= int(count) <= MOST:
        raise BadDescriptorError(f"LISTEN_FDS is {count[:20]!r}, no number from 1 to {MOST}")
    found: list[socket.socket] = []
    try:
        for descriptor in range(FIRST, FIRST + int(count)):
            found.append(duplicate_listening_socket(descriptor))
    except BadDescriptorError:
        for one in found:
            one.close()
        raise
    for descriptor in range(FIRST, FIRST + int(count)):
        os.close(descriptor)
    return found
