"""Readiness and stopping told over the NOTIFY_SOCKET datagram protocol (sd_notify(3)).

A service manager that is gone or full must never hold the limiter up: datagrams are sent without waiting, and
one that cannot be sent is counted and forgotten.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Mapping


class Notifier:
    """Tells the service manager, where there is one."""

    def __init__(self, environment: Mapping[str, str]) -> None:
        address = environment.get("NOTIFY_SOCKET", "")
        self.lost = 0
        self._address: str | None = None
        if address.startswith("@"):
            self._address = "\0" + address[1:]
        elif address.startswith("/"):
            self._address = address
        self.fault = (
            f"NOTIFY_SOCKET {address!r} is neither a path nor @name" if address and (self._address is None) else ""
        )

    def tell(self, **facts: object) -> None:
        """Send `NAME=value` lines, names in capitals; a line end within a value would forge another line."""
        if self._address is None:
            return
        text = "\n".join(f"{name.upper()}={' '.join(str(value).split())}" for name, value in facts.items())
        sent = False
        with contextlib.suppress(OSError), socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as out:
            out.setblocking(False)
            out.sendto(text.encode(), self._address)
            sent = True
        self.lost += not sent
