"""Discovery: the whole list on request, and watches that are told of changes, over HTTP/1.1."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from thymeflow.runtime import clock

BEAT = 2.0  # s: an empty line while nothing changes
MOST_HEAD = 8192


class _Connection(Protocol):
    transport: Any

    def __init__(self, discovery: Discovery) -> None:
        self._discovery, self._head, self.watches = discovery, b"", False

    def dataReceived(self, data: bytes) -> None:
        self._head += data
        if len(self._head) > MOST_HEAD:
            self.transport.abortConnection()
        elif b"\r\n\r\n" in self._head:
            words, self._head = self._head.split(b" ", 2), b""
            self._asked(words[1].decode("ascii", "replace") if len(words) > 1 else "")

    def _asked(self, target: str) -> None:
        parts = urlsplit(target)
        query = parse_qs(parts.query)
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        if parts.path != "/api/targets":
            self.transport.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        elif "stream" in query:
            self.transport.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
            self.watches = True
            self._discovery.watches.append(self)
            index = query.get("index", ["0"])[0]
            self.say(self._discovery.since(int(index) if index.isdigit() else 0))
        else:
            body = json.dumps(self._discovery.whole()).encode()
            self.transport.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def say(self, message: dict[str, Any] | None) -> None:
        line = (json.dumps(message) if message else "").encode() + b"\n"
        self.transport.write(b"%x\r\n%b\r\n" % (len(line), line))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.watches:
            self._discovery.watches.remove(self)


class Discovery(Factory):
    """One agent, whose list changes when told to."""

    noisy = False

    def __init__(self, reactor: Any, deadlines: clock.Deadlines) -> None:
        self.watches: list[_Connection] = []
        self._reactor, self._deadlines = reactor, deadlines
        self._entries: dict[str, tuple[int, dict[str, Any]]] = {}  # last change, entry
        self.generation = 1
        self._port: Any = None
        self.address = ("127.0.0.1", 0)

    def buildProtocol(self, addr: Any) -> _Connection:
        """A new connection."""
        return _Connection(self)

    def start(self) -> None:
        """Listen, and keep watches awake."""
        self._port = self._reactor.listenTCP(self.address[1], self, interface="127.0.0.1", backlog=511)
        self.address = ("127.0.0.1", self._port.getHost().port)
        self._beat(0)

    def _beat(self, _: int) -> None:
        for watch in self.watches:
            watch.say(None)
        self._deadlines.schedule(clock.now() + BEAT, self._beat)

    def put(self, *entries: dict[str, Any]) -> None:
        """Entries have changed; who watches is told."""
        self.generation += 1
        for entry in entries:
            self._entries[entry["instanceId"]] = (self.generation, entry)
        for watch in self.watches:
            watch.say({"generation": self.generation, "reset": False, "instances": list(entries)})

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        return {
            "generation": self.generation,
            "reset": True,
            "instances": [e for _, e in self._entries.values() if e["lifecycle"] != "left"],
        }

    def since(self, version: int) -> dict[str, Any]:
        """What has changed after a version, or the whole list where that is not known."""
        if not 0 < version <= self.generation:
            return self.whole()
        changed = [entry for at, entry in self._entries.values() if at > version]
        return {"generation": self.generation, "reset": False, "instances": changed}
