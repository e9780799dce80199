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

    def words(self) -> list[bytes]:
        """A whole command."""
        return [self.file.read(int(self.line()[1:]) + 2)[:-2] for _ in range(int(self.line()[1:]))]

    def bulk(self) -> bytes:
        """A whole bulk string."""
        return self.file.read(int(self.line()[1:]) + 2)[:-2]

    def ended(self) -> bool:
        """Waits for the other end to close; True if nothing else came first."""
        try:
            return self.file.read(1) == b""
        except ConnectionResetError:
            return True

    def silent(self, seconds: float) -> bool:
        """Whether nothing comes for so long."""
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
        """Take a connection, its first command, and answer that: an answer ahead of it would be noise."""
        peer = self.accept()
        peer.words()
        peer.send(answer)

    def quiet(self, seconds: float) -> bool:
        """Whether nobody connects for so long."""
        return not select.select([self.sock], [], [], seconds)[0]


def refused(limiter: Limiter) -> bool:
    """Whether a user agent cannot connect."""
    try:
        limiter.connect().close()
    except ConnectionRefusedError:
        return True
    return False


class Limiter:
    """The program, its configuration and its listening peers; use it as a context."""

    def __init__(
        self,
        folder: Path,
        servers: int = 1,
        known: bool = True,
        memory: int = 192,
        sockets: int = 1024,
        serve: tuple[str, ...] | None = None,
        environment: dict[str, str] | None = None,
        managed: bool = False,
        told: bool = True,
        **settings: Any,
    ) -> None:
        self.servers = [Listener() for _ in range(servers)]
        self.discovery = Listener()
        self.counter = Listener()
        listed = [self.entry(n) for n in range(servers)] if known else []
        config: dict[str, Any] = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory, "sockets": sockets},
            "known": {"generation": 41, "reset": True, "instances": listed},
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
        # A port of the system's choice may be taken by somebody's connection while a killed life's successor starts;
        # and one that is not told anything listens later than the test asks for it.
        if managed or not told:
            self.port = reserve_port()
            config["listen"] = f"127.0.0.1:{self.port}"
            path.write_text(json.dumps(config))
        self.process = self.start(serve)
        self._watched = self._greet() if told else None
        self.listen_for_operators = int(self.log("calls:").rsplit(":", 1)[1]) if managed else 0
        if told:
            self.port = int(self.log("listening:").rsplit(":", 1)[1])

    def start(self, serve: tuple[str, ...] | None = None) -> subprocess.Popen[str]:
        """A process: the run line, or the daemon where arguments for that are given."""
        words = [] if serve is None else ["serve", "--state", str(self.state), *serve]
        return subprocess.Popen(
            [sys.executable, "-m", "thymeflow", *words],
            cwd=ROOT,
            text=True,
            stderr=subprocess.PIPE,
            env={**os.environ, "BALANCER_CONFIG": str(self.path), **self.environment},
        )

    def ask(self, **message: Any) -> dict[str, Any]:
        """One question over the control socket."""
        with socket.socket(socket.AF_UNIX) as line:
            line.settimeout(PATIENCE)
            line.connect(str(self.state / "n0.sock"))
            line.sendall(json.dumps(message).encode() + b"\n")
            answer: dict[str, Any] = json.loads(line.makefile().readline())
            return answer

    def succeed(self, process: subprocess.Popen[str]) -> subprocess.Popen[str]:
        """Another process is the limiter from now on; the one before."""
        before = self.process
        self.process = process
        return before

    def entry(self, number: int, lifecycle: str = "active") -> dict[str, Any]:
        """A server as discovery lists it."""
        return {
            "instanceId": f"s-{number + 1:08x}",
            "hostPort": self.servers[number].address,
            "zone": "east",
            "machineType": "m",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def log(self, part: str) -> str:
        """The next log line that holds the part."""
        assert self.process.stderr is not None
        # One that never comes must not hold the suite: a process that is killed ends its log.
        patience = threading.Timer(3.0 * PATIENCE, self.process.kill)
        patience.start()
        try:
            for line in self.process.stderr:
                if part in line:
                    return line.strip()
        finally:
            patience.cancel()
        raise AssertionError(f"the log ended without {part!r}")

    def connect(self) -> Peer:
        return Peer(socket.create_connection(("127.0.0.1", self.port), PATIENCE))

    def next(self) -> subprocess.Popen[str]:
        """Another copy of the run line at the same address, as an upgrade starts it."""
        self.path.write_text(json.dumps({**self.config, "listen": f"127.0.0.1:{self.port}"}))
        return self.start(None)

    def operator(self) -> Peer:
        return Peer(socket.create_connection(("127.0.0.1", self.listen_for_operators), PATIENCE))

    def call(self, text: bytes) -> bytes:
        """One call by an operator, and the line that answers it."""
        operator = self.operator()
        operator.send(text)
        answer = operator.line()
        operator.close()
        return answer

    def served(self, agent: Peer, number: int, server: Peer | None = None) -> Peer:
        """Have one request of the agent served, over a warm connection if one is given; the connection."""
        agent.send(request(number))
        server = server or self.servers[0].accept()
        assert server.words()[2] == b"%016x" % number
        server.send(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert agent.bulk() == b"value"
        return server

    def _greet(self) -> tuple[Peer, bytes]:
        """The first watch, told that nothing has changed: the limiter listens once it has heard that."""
        peer, asked = self._head(self.discovery)
        peer.send(b"1\r\n\n\r\n")
        return peer, asked

    def watch(self, at: Listener | None = None) -> tuple[Peer, bytes]:
        """The watch as discovery sees it, already answered with a head, and the line it asked with."""
        first = self._watched
        self._watched = None
        return self._head(at or self.discovery) if at or first is None else first

    @staticmethod
    def asked(peer: Peer) -> bytes:
        """The line that discovery was asked with, answered with a head; nothing where the connection has ended."""
        asked = peer.line()
        while peer.line():
            pass
        if asked:
            peer.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return asked

    def _head(self, at: Listener) -> tuple[Peer, bytes]:
        peer = at.accept()
        return peer, self.asked(peer)

    def tell(self, watch: Peer, generation: int, *entries: dict[str, Any]) -> None:
        """A change, in two chunks to show that their ends mean nothing."""
        text = json.dumps({"generation": generation, "reset": False, "instances": entries}).encode() + b"\n"
        for part in (text[:20], text[20:]):
            watch.send(b"%x\r\n%b\r\n" % (len(part), part))

    def until(self, wanted: bytes, ask: bytes) -> None:
        """Ask on a connection of its own until the answer begins as wanted."""
        peer = self.connect()
        end = time.monotonic() + PATIENCE
        answer = b""
        while not answer.startswith(wanted):
            assert time.monotonic() < end, answer
            peer.send(ask)
            answer = peer.line()
        peer.close()

    def reload(self, **changed: Any) -> None:
        """The configuration changed and SIGHUP sent, once it has been read."""
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
        for listener in (*self.servers, self.discovery, self.counter):
            listener.sock.close()
