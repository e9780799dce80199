"""Backends that fail on request, and clients of all members of a fleet."""

from __future__ import annotations

import contextlib
import select
import threading
import time
from typing import Any

from psutil import Process

from tests.limiter import Limiter, Peer
from tests.limiter import request as asked


class RespondingBackends(threading.Thread):
    """Responds for the backends of a limiter; those in `bad` respond with errors."""

    def __init__(self, limiter: Limiter) -> None:
        super().__init__(daemon=True)
        self.bad, self.passes, self._limiter, self._over = set[int](), [0] * len(limiter.servers), limiter, False
        self.delay = 0.0  # s of work for each attempt, one after the other
        self.bad_class = b""  # requests that fail at `bad`; empty: all
        self.others = 0  # attempts of other classes at those
        self.lost = False  # `bad` close the connection without a response
        self.cut = dict[int, set[int]]()  # backends that close the connections of a process, by its id

    def run(self) -> None:
        peers = dict[int, tuple[Peer, int]]()
        while not self._over:
            listeners = {s.sock.fileno(): n for n, s in enumerate(self._limiter.servers)}
            for ready in select.select([*listeners, *peers], [], [], 0.05)[0]:
                if ready in listeners:
                    peer = self._limiter.servers[listeners[ready]].accept()
                    port = peer.sock.getpeername()[1]
                    if any(
                        listeners[ready] in numbers and port in {c.laddr[1] for c in Process(pid).net_connections()}
                        for pid, numbers in self.cut.items()
                    ):
                        peer.close()
                    else:
                        peers[peer.sock.fileno()] = peer, listeners[ready]
                    continue
                peer, number = peers[ready]
                try:
                    terms = peer.words()[3]
                except (OSError, ValueError, IndexError):
                    peers.pop(ready)[0].close()
                    continue
                concerned = self.bad_class in terms
                self.others += number in self.bad and not concerned
                self.passes[number] += 1
                time.sleep(self.delay)
                if self.lost and number in self.bad:
                    peers.pop(ready)[0].close()
                    continue
                with contextlib.suppress(OSError):
                    good = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
                    peer.send(b"-ERR failed\r\n" if number in self.bad and concerned else good)

    def __enter__(self) -> RespondingBackends:
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._over = True
        self.join()


class MemberClients:
    """A client of each member of a fleet."""

    def __init__(self, limiter: Limiter, members: list[dict[str, Any]]) -> None:
        self.clients, self.number = list[Peer](), 0
        for member in members:
            limiter.port = int(member["listen"].rpartition(":")[2])
            self.clients.append(limiter.connect())

    def ask(self, cls: str = "look", customers: int = 1) -> list[bytes]:
        """Send a request to each member, one after the other; return the first line of each response."""
        lines = list[bytes]()
        for first, client in enumerate(self.clients):
            self.number += 1
            line = asked(self.number, cls).replace(b"first=0", b"first=%d" % first)
            if customers > 1:
                line = line.replace(b"00000000b4d65521", b"%016x" % (1 + self.number % customers))
            client.send(line)
            lines.append(client.line())
            assert lines[-1].startswith((b"$5", b"-BUSY", b"-ERR")), lines
            if lines[-1] == b"$5":
                client.line()
        return lines
