"""Socket activation: a service manager passes listening sockets by the protocol of sd_listen_fds(3)."""

from __future__ import annotations

import os
import socket
from collections.abc import MutableMapping

from thymeflow.handover.listening_sockets import BadDescriptorError, duplicate_listening_socket

FIRST_DESCRIPTOR = 3
MAX_DESCRIPTORS = 16
MAX_SHOWN_LENGTH = 20  # Characters of an invalid value that an error text shows.


def take_activation_sockets(environment: MutableMapping[str, str], pid: int) -> list[socket.socket]:
    """Return the sockets that were passed to process `pid`, and remove the variables so that no child reads them.

    :raises BadDescriptorError: if the number of descriptors is invalid, or a descriptor is no listening socket.
    """
    intended_pid = environment.pop("LISTEN_PID", "")
    count = environment.pop("LISTEN_FDS", "")
    environment.pop("LISTEN_FDNAMES", None)
    if not count or intended_pid != str(pid):
        return []  # No sockets were passed, or they were passed to an earlier process.
    if not count.isascii() or not count.isdigit() or not 1 <= int(count) <= MAX_DESCRIPTORS:
        message = f"LISTEN_FDS is {count[:MAX_SHOWN_LENGTH]!r}, not a number from 1 to {MAX_DESCRIPTORS}"
        raise BadDescriptorError(message)
    descriptors = range(FIRST_DESCRIPTOR, FIRST_DESCRIPTOR + int(count))
    sockets = _open_sockets(descriptors)
    for descriptor in descriptors:
        os.close(descriptor)
    return sockets


def _open_sockets(descriptors: range) -> list[socket.socket]:
    """Return a socket for a duplicate of each descriptor; close all duplicates if a descriptor cannot be used."""
    sockets: list[socket.socket] = []
    try:
        for descriptor in descriptors:
            sockets.append(duplicate_listening_socket(descriptor))
    except BadDescriptorError:
        for opened in sockets:
            opened.close()
        raise
    return sockets
