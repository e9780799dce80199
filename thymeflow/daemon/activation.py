"""Listening sockets handed in by whoever started us, as LISTEN_FDS tells (sd_listen_fds(3))."""

from __future__ import annotations

import os
import socket
from collections.abc import MutableMapping

FIRST = 3          # the first descriptor handed in
MOST = 16
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


def bound(host: str, port: int) -> socket.socket:
    """A listening socket of our own, made so that it can be passed on; OSError where the address is not to be had."""
    made = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.bind((host, port))
        made.listen(BACKLOG)
    except OSError:
        made.close()
        raise
    made.setblocking(False)
    return made


def handed_in(environment: MutableMapping[str, str], pid: int) -> list[socket.socket]:
    """The sockets handed in to this very process; the variables are taken out, so that no child reads them.

    BadDescriptor where the variables or a descriptor cannot be believed.
    """
    meant, count = environment.pop("LISTEN_PID", ""), environment.pop("LISTEN_FDS", "")
    environment.pop("LISTEN_FDNAMES", None)
    if not count or meant != str(pid):
        return []     # nothing, or meant for a process before us
    if not count.isascii() or not count.isdigit() or not 1 <= int(count) <= MOST:
        raise BadDescriptor(f"LISTEN_FDS is {count[:20]!r}, no number from 1 to {MOST}")
    found: list[socket.socket] = []
    try:
        for descriptor in range(FIRST, FIRST + int(count)):
            found.append(checked(descriptor))
    except BadDescriptor:
        for one in found:
            one.close()
        raise
    for descriptor in range(FIRST, FIRST + int(count)):
        os.close(descriptor)
    return found
