"""Backends that fail as a test requires, and clients of all members of a fleet."""

from __future__ import annotations

import contextlib
import select
import threading
import time
from typing import Any

from psutil import Process

from tests.limiter import Limiter, Peer
from tests.limiter import request as request_line


class RespondingBackends(threading.Thread):
    """Responds for all backends of a limiter; the backends in `failing` respond with errors."""

    def __init__(self, limiter: Limiter) -> None:
        super().__init__(daemon=True)
        self.failing = set[int]()  # indexes of the backends that respond with errors
        self.attempt_counts = [0] * len(limiter.backends)  # attempts received, by backend
        self._limiter = limiter
        self._is_closed = False
        self.response_seconds = 0.0  # the time that each attempt takes; attempts are handled one after the other
        self.failing_class = b""  # text in the commands that fail; empty: all commands fail
        self.other_class_attempts = 0  # attempts at failing backends without the text of `failing_class`
        self.closes_connections = False  # whether failing backends close the connection without a response
        self.closed_to = dict[int, set[int]]()  # by process id, the backends that close its connections

    def run(self) -> None:
        peers = dict[int, tuple[Peer, int]]()
        while not self._is_closed:
            listeners = {s.sock.fileno(): n for n, s in enumerate(self._limiter.backends)}
            for ready in select.select([*listeners, *peers], [], [], 0.05)[0]:
                if ready in listeners:
                    peer = self._limiter.backends[listeners[ready]].accept()
                    port = peer.sock.getpeername()[1]
                    if any(
                        listeners[ready] in numbers and port in {c.laddr[1] for c in Process(pid).net_connections()}
                        for pid, numbers in self.closed_to.items()
                    ):
                        peer.close()
                    else:
                        peers[peer.sock.fileno()] = peer, listeners[ready]
                    continue
                peer, number = peers[ready]
                try:
                    command_text = peer.read_command()[3]
                except (OSError, ValueError, IndexError):
                    peers.pop(ready)[0].close()
                    continue
                is_failing_class = self.failing_class in command_text
                self.other_class_attempts += number in self.failing and not is_failing_class
                self.attempt_counts[number] += 1
                time.sleep(self.response_seconds)
                if self.closes_connections and number in self.failing:
                    peers.pop(ready)[0].close()
                    continue
                with contextlib.suppress(OSError):
                    value = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
                    peer.send(b"-ERR failed\r\n" if number in self.failing and is_failing_class else value)

    def __enter__(self) -> RespondingBackends:
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._is_closed = True
        self.join()


class MemberClients:
    """A client of each member of a fleet."""

    def __init__(self, limiter: Limiter, members: list[dict[str, Any]]) -> None:
        self.clients = list[Peer]()
        self.request_number = 0  # the number of the last request
        for member in members:
            limiter.port = int(member["listen"].rpartition(":")[2])
            self.clients.append(limiter.connect())

    def request_of_each(self, cls: str = "look", customers: int = 1) -> list[bytes]:
        """Send a request to each member in turn; return the first line of each response."""
        lines = list[bytes]()
        for member_index, client in enumerate(self.clients):
            self.request_number += 1
            line = request_line(self.request_number, cls).replace(b"first=0", b"first=%d" % member_index)
            if customers > 1:
                line = line.replace(b"00000000b4d65521", b"%016x" % (1 + self.request_number % customers))
            client.send(line)
            lines.append(client.line())
            assert lines[-1].startswith((b"$5", b"-BUSY", b"-ERR")), lines
            if lines[-1] == b"$5":
                client.line()
        return lines
