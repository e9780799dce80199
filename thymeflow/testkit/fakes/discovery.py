"""A fake discovery service over HTTP/1.1: the complete endpoint list on request, and watches of its changes."""

from __future__ import annotations

import json
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from thymeflow.runtime import clock
from thymeflow.testkit.listener import LoopbackListener
from thymeflow.testkit.types import Address, JsonObject, NetworkReactor

HEARTBEAT_INTERVAL_SECONDS = 2.0  # an empty line while nothing changes
MAX_HEAD_BYTES = 8192
REMOVED_LIFECYCLE = "left"


class _VersionedEndpoint(NamedTuple):
    changed_in: int  # the version of the list
    entry: JsonObject


class _Connection(Protocol):
    """One connection from a limiter: requests, or a watch."""

    transport: Any  # Twisted's transports share no static type

    def __init__(self, discovery: FakeDiscovery) -> None:
        self._discovery = discovery
        self._head = b""
        self._is_watch = False

    def dataReceived(self, data: bytes) -> None:
        """Handle a request once its head is complete."""
        self._head += data
        if len(self._head) > MAX_HEAD_BYTES:
            self.transport.abortConnection()
        elif b"\r\n\r\n" in self._head:
            words = self._head.split(b" ", 2)
            self._head = b""
            self._on_request(words[1].decode("ascii", "replace") if len(words) > 1 else "")

    def _on_request(self, target: str) -> None:
        url = urlsplit(target)
        query = parse_qs(url.query)
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        if url.path != "/api/targets":
            self.transport.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        elif "stream" in query:
            self.transport.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
            self._is_watch = True
            self._discovery.watches.append(self)
            index = query.get("index", ["0"])[0]
            self.send(self._discovery.changes_since(int(index) if index.isdigit() else 0))
        else:
            body = json.dumps(self._discovery.complete_list()).encode()
            self.transport.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def send(self, message: JsonObject | None) -> None:
        """Send a message of the watch; None is a heartbeat."""
        line = (json.dumps(message) if message else "").encode() + b"\n"
        self.transport.write(b"%x\r\n%b\r\n" % (len(line), line))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  # Twisted passes it
        """End the watch."""
        if self._is_watch:
            self._discovery.watches.remove(self)


class FakeDiscovery(Factory):
    """One discovery service, whose list changes by `update`."""

    noisy = False

    def __init__(self, reactor: NetworkReactor, deadlines: clock.Deadlines) -> None:
        self.watches: list[_Connection] = []
        self._deadlines = deadlines
        self._endpoints: dict[str, _VersionedEndpoint] = {}
        self._version = 1
        self._listener = LoopbackListener(reactor, self, is_port_reserved=False)

    @property
    def address(self) -> Address:
        """Return where it listens."""
        return self._listener.address

    def buildProtocol(self, addr: IAddress | None) -> _Connection:  # noqa: ARG002  # Twisted passes it
        """Return the protocol of a new connection."""
        return _Connection(self)

    def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        self._listener.open()
        self._send_heartbeats(0)

    def _send_heartbeats(self, _: int) -> None:
        for watch in self.watches:
            watch.send(None)
        self._deadlines.schedule(clock.now() + HEARTBEAT_INTERVAL_SECONDS, self._send_heartbeats)

    def update(self, *entries: JsonObject) -> None:
        """Change entries of the list, and notify the watches."""
        self._version += 1
        for entry in entries:
            self._endpoints[entry["instanceId"]] = _VersionedEndpoint(self._version, entry)
        for watch in self.watches:
            watch.send({"generation": self._version, "reset": False, "instances": list(entries)})

    def complete_list(self) -> JsonObject:
        """Return the message with the complete list."""
        return {
            "generation": self._version,
            "reset": True,
            "instances": [
                endpoint.entry
                for endpoint in self._endpoints.values()
                if endpoint.entry["lifecycle"] != REMOVED_LIFECYCLE
            ],
        }

    def changes_since(self, version: int) -> JsonObject:
        """Return the message with the changes after a version, or the complete list where that is unknown."""
        if not 0 < version <= self._version:
            return self.complete_list()
        changed = [endpoint.entry for endpoint in self._endpoints.values() if endpoint.changed_in > version]
        return {"generation": self._version, "reset": False, "instances": changed}
