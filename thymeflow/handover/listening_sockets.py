"""Checks of listening sockets that another process passed to this process."""

from __future__ import annotations

import os
import socket

from thymeflow.handover.errors import BadDescriptorError as BadDescriptorError


def duplicate_listening_socket(descriptor: int) -> socket.socket:
    """Return a duplicate of a passed descriptor, as a non-blocking socket that child processes do not inherit.

    :raises BadDescriptorError: if the descriptor is not a listening TCP socket.
    """
    try:
        candidate = socket.socket(fileno=os.dup(descriptor))
    except OSError as error:
        message = f"descriptor {descriptor} is not a socket ({error.strerror})"
        raise BadDescriptorError(message) from None
    try:
        _check_listening_stream(candidate, descriptor)
    except (OSError, BadDescriptorError):
        candidate.close()
        raise
    candidate.setblocking(False)
    return candidate


def _check_listening_stream(candidate: socket.socket, descriptor: int) -> None:
    is_listening = candidate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    family = candidate.family
    if not is_listening or candidate.type != socket.SOCK_STREAM:
        message = f"descriptor {descriptor} is a socket that does not listen for stream connections"
        raise BadDescriptorError(message)
    if family not in (socket.AF_INET, socket.AF_INET6):
        message = f"descriptor {descriptor} has the address family {family.name}, not AF_INET or AF_INET6"
        raise BadDescriptorError(message)
