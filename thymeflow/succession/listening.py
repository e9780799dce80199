"""Listening sockets that outlive a process: made so that they can be passed on, and checked where they were."""

from __future__ import annotations

import os
import socket

BACKLOG = 511      # connections that wait to be accepted, as on the run line


class BadDescriptor(Exception):
    """What was handed in is no listening stream socket; the text names it."""


def checked(descriptor: int) -> socket.socket:
    """The listening socket behind a descriptor, not blocking and not inherited further on."""
    try:
        found = socket.socket(fileno=os.dup(descriptor))
    except OSError as fault:
        raise BadDescriptor(f"descriptor {descriptor} is no socket ({fault.strerror})") from None
    try:
        listens = found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        family, kind = found.family, found.type
        if not listens or kind != socket.SOCK_STREAM:
            raise BadDescriptor(f"descriptor {descriptor} is a socket that does not listen for streams")
        if family not in (socket.AF_INET, socket.AF_INET6):
            raise BadDescriptor(f"descriptor {descriptor} is of the family {family.name}, not AF_INET or AF_INET6")
    except (OSError, BadDescriptor):
        found.close()
        raise
    found.setblocking(False)
    return found


def bound(host: str, port: int, shared: bool = False) -> socket.socket:
    """A listening socket of our own, made so that it can be passed on; OSError where the address is not to be had.

    `shared`: a later process may listen at the address beside us, where it cannot take over from us.
    """
    made = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        made.bind((host, port))
        made.listen(BACKLOG)
    except OSError:
        made.close()
        raise
    made.setblocking(False)
    return made
