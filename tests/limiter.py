"""The one helper of the socket tests: the real program as a process, and its peers played by hand.

Nothing runs beside the test: every peer is a plain socket that the test reads and writes in its own
order, so that a test says exactly what came first. Ports are the system's choice.
"""

from __future__ import annotations

import json
import os
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from thymeflow.testkit.ports import reserve_port

ROOT = Path(__file__).resolve().parent.parent
PATIENCE = 20.0  # s: for what must happen; only a failing test waits so long
SETTINGS: dict[str, Any] = {
    "azs": ["east"],
    "balancers": 1,
    "index": 0,
    "zone": "east",
    "step": 0.002,
    "caps": {
        "cancel": True,
        "max-attempts": 3,
        "retry-after": True,
        "max-retry-after": 2.0,
        "dial-timeout": 20.0,
        "conn-idle": 30.0,
        "open-cap": 100,
    },
    "classes": [
        {"name": "look", "on-time": 3000.0, "deadline": 3000.0, "effect": "retryable"},
        {"name": "book", "on-time": 3000.0, "deadline": 3000.0, "effect": "dedup", "key-scope": "cell", "window": 4.0},
    ],
    "family-info": {"trued-up": True, "most-units": 4, "may-count": True, "counter-timeout": 0.03},
    "report": {"how": "inline", "fields": ["avg_ms"]},
    "rules": {"drain-grace": 1.0, "grace-to-answer": 0.008},
    "tiers-of-service": [{"name": "basic", "refill": 50.0, "most-at-once": 200.0}],
}


def request(number: int, cls: str = "look", wait: int = 20000, extra: str = "", body: bytes = b"B") -> bytes:
    """A request's command."""
    key = ",k=5c0f6e1a2b3d4c59" if cls == "book" else ""
    terms = f"c={cls},t=basic,d={wait}{key},units=1,spread=1,first=0{extra}".encode()
    words = [b"SVC.SUBMIT" if cls == "book" else b"SVC.QUERY", b"00000000b4d65521", b"%016x" % number, terms]
    return command(*words, *([body] if cls == "book" else []))


def command(*words: bytes) -> bytes:
    """A command as a client writes it."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


class Peer:
    """One connection, read and written by the test."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(PATIENCE)
        self.file = sock.makefile("rb")

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def line(self) -> bytes:
        return self.file.readline().rstrip(b"\r\n")

    def read_command(self) -> list[bytes]:
        """Return the next command, complete."""
        return [self.file.read(int(self.line()[1:]) + 2)[:-2] for _ in range(int(self.line()[1:]))]

    def read_bulk(self) -> bytes:
        """Return the next bulk string, complete."""
        return self.file.read(int(self.line()[1:]) + 2)[:-2]

    def is_closed_by_peer(self) -> bool:
        """Wait for the other end to close; return whether nothing else came first."""
        try:
            return self.file.read(1) == b""
        except ConnectionResetError:
            return True

    def receives_nothing(self, seconds: float) -> bool:
        """Return whether nothing comes for so long."""
        return not select.select([self.sock], [], [], seconds)[0]

    def close(self) -> None:
        self.file.close()
        self.sock.close()


class Listener:
    """A peer that the limiter connects to."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.settimeout(PATIENCE)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def accept(self) -> Peer:
        return Peer(self.sock.accept()[0])

    def serve(self, answer: bytes) -> None:
        """Accept a connection, read its first command, and reply to it."""
        peer = self.accept()
        peer.read_command()
        peer.send(answer)

    def has_no_connection(self, seconds: float) -> bool:
        """Return whether nobody connects for so long."""
        return not select.select([self.sock], [], [], seconds)[0]


def is_connection_refused(limiter: Limiter) -> bool:
    """Return whether a client cannot connect."""
    try:
        limiter.connect().close()
    except ConnectionRefusedError:
        return True
    return False


class Limiter:
    """The program, its configuration and its listening peers; use it as a context."""

    def __init__(  # noqa: PLR0913  # each test sets one or two of them
        self,
        folder: Path,
        backend_count: int = 1,
        *,
        known: bool = True,
        memory: int = 192,
        sockets: int = 1024,
        serve: tuple[str, ...] | None = None,
        environment: dict[str, str] | None = None,
        managed: bool = False,
        is_list_sent: bool = True,
        **settings: Any,
    ) -> None:
        self.backends = [Listener() for _ in range(backend_count)]
        self.discovery = Listener()
        self.counter = Listener()
        instances = [self.entry(n) for n in range(backend_count)] if known else []
        config: dict[str, Any] = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory, "sockets": sockets},
            "known": {"generation": 41, "reset": True, "instances": instances},
            "settings": {**SETTINGS, **settings},
        }
        if managed:
            config["mgmt"] = "127.0.0.1:0"
        self.config = config
        self.path = folder / "config.json"
        path = self.path
        path.write_text(json.dumps(config))
        # A Unix socket's path is short, and pytest's folders are not.
        self.state = Path(tempfile.mkdtemp(prefix="tf"))
        self.environment = environment or {}
        if managed:
            self.environment.setdefault("TMPDIR", str(self.state))
        # A port of the system's choice may be taken by some connection while the successor of a killed process starts;
        # and without an endpoint list a limiter listens later than the test looks for its address.
        if managed or not is_list_sent:
            self.port = reserve_port()
            config["listen"] = f"127.0.0.1:{self.port}"
            path.write_text(json.dumps(config))
        self.process = self.start(serve)
        self._watched = self._greet() if is_list_sent else None
        self.listen_for_operators = int(self.log("calls:").rsplit(":", 1)[1]) if managed else 0
        if is_list_sent:
            self.port = int(self.log("listening:").rsplit(":", 1)[1])

    def start(self, serve: tuple[str, ...] | None = None) -> subprocess.Popen[str]:
        """Start a process: the run line, or the daemon if there are arguments for that."""
        words = [] if serve is None else ["serve", "--state", str(self.state), *serve]
        return subprocess.Popen(
            [sys.executable, "-m", "thymeflow", *words],
            cwd=ROOT,
            text=True,
            stderr=subprocess.PIPE,
            env={**os.environ, "BALANCER_CONFIG": str(self.path), **self.environment},
        )

    def request_control(self, **message: Any) -> dict[str, Any]:
        """Return the reply to a request over the control socket."""
        with socket.socket(socket.AF_UNIX) as line:
            line.settimeout(PATIENCE)
            line.connect(str(self.state / "n0.sock"))
            line.sendall(json.dumps(message).encode() + b"\n")
            answer: dict[str, Any] = json.loads(line.makefile().readline())
            return answer

    def replace_process(self, process: subprocess.Popen[str]) -> subprocess.Popen[str]:
        """Take another process for the limiter from now on, and return the one before."""
        before = self.process
        self.process = process
        return before

    def entry(self, number: int, lifecycle: str = "active") -> dict[str, Any]:
        """Return a backend as discovery lists it."""
        return {
            "instanceId": f"s-{number + 1:08x}",
            "hostPort": self.backends[number].address,
            "zone": "east",
            "machineType": "m",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def log(self, text: str) -> str:
        """Return the next log line that contains the text."""
        assert self.process.stderr is not None
        # One that never comes must not hold the suite: a process that is killed ends its log.
        patience = threading.Timer(3.0 * PATIENCE, self.process.kill)
        patience.start()
        try:
            for line in self.process.stderr:
                if text in line:
                    return line.strip()
        finally:
            patience.cancel()
        message = f"the log ended without {text!r}"
        raise AssertionError(message)

    def connect(self) -> Peer:
        return Peer(socket.create_connection(("127.0.0.1", self.port), PATIENCE))

    def start_successor(self) -> subprocess.Popen[str]:
        """Start another copy of the run line at the same address, as an upgrade does."""
        self.path.write_text(json.dumps({**self.config, "listen": f"127.0.0.1:{self.port}"}))
        return self.start(None)

    def operator(self) -> Peer:
        return Peer(socket.create_connection(("127.0.0.1", self.listen_for_operators), PATIENCE))

    def call(self, text: bytes) -> bytes:
        """Return the line that answers an operator's call."""
        operator = self.operator()
        operator.send(text)
        answer = operator.line()
        operator.close()
        return answer

    def serve_request(self, client: Peer, number: int, server: Peer | None = None) -> Peer:
        """Let a backend respond to one request of the client, and return its connection; `server`: an open one."""
        client.send(request(number))
        server = server or self.backends[0].accept()
        assert server.read_command()[2] == b"%016x" % number
        server.send(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert client.read_bulk() == b"value"
        return server

    def _greet(self) -> tuple[Peer, bytes]:
        """Accept the first watch and send it an empty line: the limiter listens once it has received that."""
        peer, request_line = self._head(self.discovery)
        peer.send(b"1\r\n\n\r\n")
        return peer, request_line

    def watch(self, at: Listener | None = None) -> tuple[Peer, bytes]:
        """Return the watch as discovery sees it, its response begun, and the line of its request."""
        first = self._watched
        self._watched = None
        return self._head(at or self.discovery) if at or first is None else first

    @staticmethod
    def read_watch_request(peer: Peer) -> bytes:
        """Return the line of a request to discovery, and begin the response; empty if the connection has ended."""
        request_line = peer.line()
        while peer.line():
            pass
        if request_line:
            peer.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return request_line

    def _head(self, at: Listener) -> tuple[Peer, bytes]:
        peer = at.accept()
        return peer, self.read_watch_request(peer)

    def send_endpoint_change(self, watch: Peer, generation: int, *entries: dict[str, Any]) -> None:
        """Send a change of the endpoint list, in two chunks, as the ends of chunks mean nothing."""
        text = json.dumps({"generation": generation, "reset": False, "instances": entries}).encode() + b"\n"
        for part in (text[:20], text[20:]):
            watch.send(b"%x\r\n%b\r\n" % (len(part), part))

    def wait_for_reply(self, wanted: bytes, request: bytes) -> None:
        """Send a command on a connection of its own until the reply begins as wanted."""
        peer = self.connect()
        end = time.monotonic() + PATIENCE
        answer = b""
        while not answer.startswith(wanted):
            assert time.monotonic() < end, answer
            peer.send(request)
            answer = peer.line()
        peer.close()

    def reload(self, **changed: Any) -> None:
        """Change the configuration, send SIGHUP, and wait until it has been read."""
        self.path.write_text(json.dumps({**self.config, **changed}))
        self.process.send_signal(signal.SIGHUP)
        self.log("reload:")

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def __enter__(self) -> Limiter:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.communicate()
        shutil.rmtree(self.state, ignore_errors=True)
        for listener in (*self.backends, self.discovery, self.counter):
            listener.sock.close()
