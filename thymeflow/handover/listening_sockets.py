"""Listening sockets that outlive a process: checked where they were passed on."""

from __future__ import annotations

import os
import socket


class BadDescriptorError(Exception):
    """What was handed in is no listening stream socket; the text names it."""


def checked(descriptor: int) -> socket.socket:
    """The listening socket behind a descriptor, not blocking and not inherited further on."""
    try:
        found = socket.socket(fileno=os.dup(descriptor))
    except OSError as fault:
        raise BadDescriptorError(f"descriptor {descriptor} is no socket ({fault.strerror})") from None
    try:
        listens = found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        family, kind = found.family, found.type
        if not listens or kind != socket.SOCK_STREAM:
            raise BadDescriptorError(f"descriptor {descriptor} is a socket that does not listen for streams")
        if family not in (socket.AF_INET, socket.AF_INET6):
            raise BadDescriptorError(f"descriptor {descriptor} is of the family {family.name}, not AF_INET or AF_INET6")
    except (OSError, BadDescriptorError):
        found.close()
        raise
    found.setblocking(False)
    return found
