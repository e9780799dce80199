"""Readiness, reload and stop notifications over the NOTIFY_SOCKET datagram protocol (sd_notify(3)).

A service manager that has ended or does not read must never block the limiter: datagrams are sent without waiting,
and a datagram that cannot be sent is dropped and counted.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Mapping


class Notifier:
    """Sends state changes to the service manager, if there is one."""

    def __init__(self, environment: Mapping[str, str]) -> None:
        address = environment.get("NOTIFY_SOCKET", "")
        self.dropped_count = 0  # The number of datagrams that could not be sent.
        self._address: str | None = None
        if address.startswith("@"):
            self._address = "\0" + address[1:]
        elif address.startswith("/"):
            self._address = address
        self.error = ""  # The cause for which NOTIFY_SOCKET cannot be used.
        if address and self._address is None:
            self.error = f"NOTIFY_SOCKET {address!r} is neither a path nor @name"

    def notify(self, **variables: object) -> None:
        """Send `NAME=value` lines with names in capitals.

        Line ends within a value become spaces, because the service manager would read another variable after them.
        """
        if self._address is None:
            return
        text = "\n".join(f"{name.upper()}={' '.join(str(value).split())}" for name, value in variables.items())
        is_sent = False
        with contextlib.suppress(OSError), socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sender:
            sender.setblocking(False)
            sender.sendto(text.encode(), self._address)
            is_sent = True
        self.dropped_count += not is_sent
