"""Stand-ins for the review's cases: servers, the platform, clients, and the start of a limiter.

Everything runs in one asyncio loop on 127.0.0.1 with the standard library. The limiter itself is the project's own
program: a separate process that is started with the `run` command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
MAX_CASE_SECONDS = 100.0
GRACE_SECONDS = 0.058  # the settings' grace of 8 ms, and the 50 ms that each limit gains on sockets


class CaseError(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt` in the folder of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line, which begins with the seconds since the start of the case."""
        self._file.write(f"{time.monotonic() - self._began_at:9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Write one line, and print it too."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def encode(*arguments: bytes) -> bytes:
    """Return a RESP2 array of bulk strings."""
    return b"*%d\r\n" % len(arguments) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in arguments)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Return the next command of a connection.

    :raises asyncio.IncompleteReadError: if the connection ended.
    """
    head = await reader.readuntil(b"\r\n")
    arguments = []
    for _ in range(int(head[1:])):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        arguments.append((await reader.readexactly(length + 2))[:-2])
    return arguments


async def read_reply(reader: asyncio.StreamReader, on_begun: Callable[[], None] = lambda: None) -> tuple[str, bytes]:
    """Return the next answer of a limiter to a client: its kind, and the value or the line.

    `on_begun` is called once its first line has come.

    :raises asyncio.IncompleteReadError: if the connection ended before the answer was whole.
    """
    line = (await reader.readuntil(b"\r\n"))[:-2]
    on_begun()
    if line[:1] == b"$" and line != b"$-1":
        return "served", (await reader.readexactly(int(line[1:]) + 2))[:-2]
    return ("refused" if line.startswith(b"-BUSY") else "failed"), line


def terms_of(command: list[bytes]) -> dict[str, str]:
    """Return the names and values in the third argument of a request."""
    return dict(pair.split("=", 1) for pair in command[3].decode().split(","))


class Server:
    """A server as the protocol page describes it; `answer` decides what it does with each request."""

    def __init__(self, name: str, record: Record, answer: Callable[..., Awaitable[None]]) -> None:
        self.name = name
        self.record = record
        self._answer = answer
        self.ran: list[tuple[float, str]] = []  # time and id of each request whose last byte came
        self.port = 0
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at a free port."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.port = self._listener.sockets[0].getsockname()[1]

    def entry(self, cell: int = 0) -> dict[str, Any]:
        """Return this server as discovery lists it."""
        number = int(self.name.lstrip("s")) + 0x5BE20000
        return {
            "instanceId": f"s-{number:08x}",
            "hostPort": f"{HOST}:{self.port}",
            "zone": "floor-2",
            "machineType": "std-3core",
            "cell": cell,
            "lifecycle": "active",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def die(self) -> None:
        """End like a process that dies: open connections are reset, and new ones are refused."""
        assert self._listener is not None
        self._listener.close()
        for writer in self._writers:
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.record.write(f"{self.name} died, {len(self._writers)} connections were reset")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Requests on a connection go in order: each is begun at once, and is answered after the one before it.
        tasks: list[asyncio.Task[None]] = []
        self._writers.add(writer)
        try:
            while True:
                command = await read_command(reader)
                if command[0] in (b"CLIENT", b"SELECT", b"PING"):
                    writer.write(b"+PONG\r\n" if command[0] == b"PING" else b"+OK\r\n")
                    continue
                request_id = command[2].decode()
                self.ran.append((time.monotonic(), request_id))
                self.record.write(f"run   {self.name} {request_id} d={terms_of(command)['d']}")
                previous = tasks[-1] if tasks else None
                tasks.append(asyncio.create_task(self._run(command, writer, previous)))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass  # the other side has left, or the case is over
        finally:
            for task in tasks:
                task.cancel()
            self._writers.discard(writer)
            writer.close()

    async def _run(
        self, command: list[bytes], writer: asyncio.StreamWriter, previous: asyncio.Task[None] | None
    ) -> None:
        with contextlib.suppress(ConnectionError):
            await self._answer(self, command, writer, previous)


def served(value: bytes, units: str = "1", milliseconds: float = 20.0) -> bytes:
    """Return a server's answer with a value, the figures on use and a load report."""
    return encode(value, f"used=20,cost={units}".encode(), f"latency_ms={milliseconds:.1f}".encode())


class Platform:
    """The discovery agent and the counter."""

    def __init__(self) -> None:
        self.entries: list[dict[str, Any]] = []
        self.discovery_port = 0
        self.counter_port = 0
        self._totals: dict[bytes, tuple[float, float]] = {}
        self._listeners: list[asyncio.Server] = []
        self._generation = 41
        self._watches: set[asyncio.StreamWriter] = set()

    async def start(self, entries: list[dict[str, Any]]) -> None:
        """Listen at two free ports."""
        self.entries = entries
        discovery = await asyncio.start_server(self._discover, HOST, 0)
        counter = await asyncio.start_server(self._count, HOST, 0)
        self._listeners = [discovery, counter]
        self.discovery_port = discovery.sockets[0].getsockname()[1]
        self.counter_port = counter.sockets[0].getsockname()[1]

    async def _discover(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            body = self._encode_list(True, self.entries)
            if b"stream=1" not in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(body), body))
            self._watches.add(writer)
            while True:
                await asyncio.sleep(2.0)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass  # the other side has left, or the case is over
        finally:
            self._watches.discard(writer)
            writer.close()

    def _encode_list(self, is_whole: bool, entries: list[dict[str, Any]]) -> bytes:
        message = {"generation": self._generation, "reset": is_whole, "instances": entries}
        return json.dumps(message).encode() + b"\n"

    def remove(self, entry: dict[str, Any]) -> None:
        """Tell all watches that a server is gone."""
        self._generation += 1
        self.entries = [known for known in self.entries if known["instanceId"] != entry["instanceId"]]
        body = self._encode_list(False, [{**entry, "lifecycle": "left"}])
        for writer in self._watches:
            writer.write(b"%x\r\n%b\r\n" % (len(body), body))

    async def _count(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                command = await read_command(reader)
                if command[0] != b"INCRTTL":
                    writer.write(b"+PONG\r\n" if command[0] == b"PING" else b"+OK\r\n")
                    continue
                now = time.monotonic()
                total, ends_at = self._totals.get(command[1], (0.0, 0.0))
                if ends_at <= now:
                    total, ends_at = 0.0, now + min(60000.0, float(command[3])) / 1000.0
                total += float(command[2])
                self._totals[command[1]] = (total, ends_at)
                text = b"%.7g" % total
                writer.write(b"$%d\r\n%b\r\n" % (len(text), text))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass  # the other side has left, or the case is over
        finally:
            writer.close()


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Limiter:
    """One limiter of the project, started with the `run` command of the deploy file."""

    def __init__(self, record: Record, folder: Path, platform: Platform, memory_mb: int = 192) -> None:
        self.record = record
        self.port = free_port()
        self._folder = folder
        self._temporary = folder / "tmp"
        self._temporary.mkdir()
        self._process: subprocess.Popen[bytes] | None = None
        self._config = json.loads((ROOT / "deploy/example.json").read_text())
        self._config.update(
            listen=f"{HOST}:{self.port}",
            discovery=f"{HOST}:{platform.discovery_port}",
            counter=f"{HOST}:{platform.counter_port}",
            limits={"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            known={"generation": 41, "reset": True, "instances": platform.entries},
        )
        self.settings = self._config["settings"]
        self.settings["classes"] = [
            {"name": "table-check", "on-time": 2.0, "deadline": 4.0, "credit": 2.0, "effect": "retryable"},
            {"name": "booking-view", "on-time": 2.0, "deadline": 7.5, "credit": 2.0, "effect": "retryable"},
            {
                "name": "booking-make",
                "on-time": 2.0,
                "deadline": 7.5,
                "credit": 6.0,
                "effect": "dedup",
                "key-scope": "cell",
                "window": 4.0,
            },
        ]
        self.settings["tiers-of-service"] = [{"name": "korporat", "refill": 26.0, "most-at-once": 52.0, "pays": 1.6}]

    async def start(self) -> None:
        """Start the process, and wait until it answers PING with PONG."""
        path = self._folder / "config.json"
        path.write_text(json.dumps(self._config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "BALANCER_NAME": self._config["name"],
            "BALANCER_LISTEN": self._config["listen"],
            "BALANCER_DISCOVERY": self._config["discovery"],
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(self._temporary),
        }
        with (self._folder / "limiter.log").open("wb") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.record.write(f"limiter started, process {self._process.pid}")
        for _ in range(300):
            await asyncio.sleep(0.1)
            if self._process.poll() is not None:
                message = f"the limiter exited with {self._process.returncode}: {self.log()}"
                raise CaseError(message)
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode(b"PING"))
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
            except (OSError, TimeoutError):
                continue
            if line == b"+PONG\r\n":
                self.record.write("limiter ready")
                return
        message = "the limiter was not ready within 30 s"
        raise CaseError(message)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it has not ended."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)
            self.record.write(f"limiter got {number.name}")

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self._process is None or self._process.poll() is not None

    def log(self) -> str:
        """Return the last lines of the log."""
        return "\n".join((self._folder / "limiter.log").read_text().splitlines()[-20:])

    def stop(self) -> None:
        """Kill the process, and copy its log to the record."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
        if self._process is not None:
            self._process.wait()
        for line in self.log().splitlines():
            self.record.write(f"limiter log: {line}")


class Clients:
    """Clients of one limiter, which keep their connections and open more when every one is busy."""

    def __init__(self, record: Record, port: int) -> None:
        self._record = record
        self._port = port
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(self, request_id: str, command: bytes, seconds: float) -> tuple[str, bytes]:
        """Send a request on a connection of its own, and return the kind of its answer and the value or the line.

        The kind is `none` if the connection ended or the time passed. Where the limiter closes a connection that had
        been kept, and the close crosses the request, it is sent once more on a new connection.
        """
        self._idle = [kept for kept in self._idle if not kept[0].at_eof()]  # the limiter may close between requests
        is_kept = bool(self._idle)
        reader, writer = self._idle.pop() if is_kept else await asyncio.open_connection(HOST, self._port)
        self._record.write(f"sent  {request_id}")
        try:
            writer.write(command)
            kind, value = await asyncio.wait_for(read_reply(reader), seconds)
        except (asyncio.IncompleteReadError, ConnectionError) as end:
            writer.close()
            if is_kept and not getattr(end, "partial", b""):
                self._record.write(f"the close of a kept connection has crossed {request_id}")
                self._idle.clear()
                return await self.ask(request_id, command, seconds)
            return self._note(request_id, "none", b"the connection ended")
        except TimeoutError as end:
            writer.close()
            return self._note(request_id, "none", type(end).__name__.encode())
        self._idle.append((reader, writer))
        return self._note(request_id, kind, value)

    def _note(self, request_id: str, kind: str, value: bytes) -> tuple[str, bytes]:
        self._record.write(f"answer {request_id} {kind} {value[:60].decode()}")
        return kind, value


_identifiers = random.Random(20261204)


def build_request(
    class_name: str,
    wait_ms: int,
    *,
    customer: int = 1,
    units: int = 1,
    body: bytes | None = None,
    head_only: bool = False,
) -> tuple[str, bytes]:
    """Return a new request's id and its command; with a body it is a SUBMIT, which also carries a new key."""
    request_id = f"{_identifiers.getrandbits(64):016x}"
    key = "" if body is None else f",k={_identifiers.getrandbits(64):016x}"
    terms = f"c={class_name},t=korporat,d={wait_ms}{key},units={units},spread=1,first=0".encode()
    arguments = [b"SVC.QUERY" if body is None else b"SVC.SUBMIT", b"%016x" % customer, request_id.encode(), terms]
    command = encode(*arguments) if body is None else encode(*arguments, body)
    if head_only and body is not None:
        command = command[: len(command) - len(body) - 2]
    return request_id, command


def run_case(folder: Path, play: Callable[[Record, Path, bool], Coroutine[Any, Any, bool]]) -> int:
    """Play a case and return its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.say(f"trouble: {'on' if has_trouble else 'off'}")
    try:
        with tempfile.TemporaryDirectory(prefix="review") as name:
            is_broken = asyncio.run(asyncio.wait_for(play(record, Path(name), has_trouble), MAX_CASE_SECONDS))
    except (CaseError, OSError, TimeoutError) as fault:
        record.say(f"the case could not run: {fault!r}")
        return 2
    finally:
        record.close()
    return 1 if is_broken else 0
