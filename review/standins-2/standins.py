"""Stand-ins for the platform around one limiter: servers, discovery's agent, the counter, and clients.

They follow the operators' protocol page, use the standard library alone, and listen on loopback addresses.
All of them run in the script's own process; the limiter is a process of its own, started by `run` of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
HOST = "127.0.0.1"
READY_SECONDS = 30.0  # DEPLOY: clients come once all limiters are ready or after 30 s
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def write(self, who: str, what: str) -> None:
        """Add a line."""
        self._file.write(f"{time.monotonic() - self._started_at:9.4f} {who}: {what}\n")
        self._file.flush()


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Return the next line without its end; raises IncompleteReadError at the end of the connection."""
    return (await reader.readuntil(b"\r\n"))[:-2]


async def read_reply(reader: asyncio.StreamReader) -> object:
    """Return the next RESP2 value: bytes, None, a list, or a text for an error or a simple string."""
    line = await read_line(reader)
    kind, rest = line[:1], line[1:]
    if kind == b"$":
        length = int(rest)
        if length < 0:
            return None
        return (await reader.readexactly(length + 2))[:-2]
    if kind == b"*":
        return [await read_reply(reader) for _ in range(int(rest))]
    return line.decode()


def bulk(value: bytes | None) -> bytes:
    """Return a value as a bulk string."""
    return b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)


def command(*items: bytes) -> bytes:
    """Return a command: an array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(bulk(item) for item in items)


def served(value: bytes) -> bytes:
    """Return a server's answer: the value, no figures on use, no load report."""
    return b"*3\r\n" + bulk(value) + bulk(b"used=10,cost=1") + bulk(b"avg_ms=2")


Handler = Callable[["Server", list[bytes], asyncio.StreamWriter], Coroutine[None, None, None]]


class Server:
    """A server: it answers its commands in order, by `handler`, and records what it ran."""

    def __init__(self, name: str, record: Record, handler: Handler, cell: int = 0) -> None:
        self.name = name
        self.cell = cell
        self.record = record
        self.handler = handler
        self.port = 0
        self.ran: list[str] = []  # ids of the requests whose last byte has come
        self.writers: list[asyncio.StreamWriter] = []
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen at a free port."""
        self._listener = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 23)
        self.port = self._listener.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, object]:
        """Return the server's entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": "floor-2",
            "machineType": "std-3core",
            "cell": self.cell,
            "lifecycle": "active",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                items = await read_reply(reader)
                assert isinstance(items, list)
                verb = items[0]
                if verb in (b"CLIENT", b"SELECT"):
                    writer.write(b"+OK\r\n")
                elif verb == b"PING":
                    writer.write(b"+PONG\r\n")
                elif verb in (b"SVC.QUERY", b"SVC.SUBMIT"):
                    self.ran.append(items[2].decode())
                    body = f" body of {len(items[4])} bytes" if len(items) > 4 else ""
                    self.record.write(self.name, f"begins {items[2].decode()} {items[3].decode()}{body}")
                    task = asyncio.get_running_loop().create_task(self.handler(self, items, writer))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                else:
                    writer.write(b"-ERR unknown\r\n")
                await writer.drain()
        writer.transport.abort()

    async def answer(self, items: list[bytes], writer: asyncio.StreamWriter, value: bytes) -> None:
        """Write an answer."""
        self.record.write(self.name, f"answers {items[2].decode()}: {value[:40].decode()!r} ({len(value)} bytes)")
        await self.write(writer, served(value))

    @staticmethod
    async def write(writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write bytes, unless the connection has ended."""
        with contextlib.suppress(ConnectionError):
            writer.write(data)
            await writer.drain()

    def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self._listener is not None:
            self._listener.close()
        for writer in self.writers:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()


class Discovery:
    """The agent of discovery: the whole list, and a watch that tells changes and sends an empty line every 2 s."""

    def __init__(self, record: Record, servers: list[Server]) -> None:
        self.record = record
        self.servers = servers
        self.generation = 1
        self.port = 0

    async def start(self) -> None:
        """Listen at a free port."""
        listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = listener.sockets[0].getsockname()[1]

    def whole_list(self) -> dict[str, object]:
        """Return the whole list as a message."""
        return {
            "generation": self.generation,
            "reset": True,
            "instances": [server.entry() for server in self.servers],
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ")[1].decode()
            if "stream=1" not in path:
                body = json.dumps(self.whole_list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._write_chunk(writer, json.dumps(self.whole_list()).encode() + b"\n")
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                self._write_chunk(writer, b"\n")
                await writer.drain()
        writer.transport.abort()

    @staticmethod
    def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        with contextlib.suppress(ConnectionError):
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))


class Counter:
    """The counter: INCRTTL, PING, CLIENT and SELECT."""

    def __init__(self) -> None:
        self.port = 0
        self._totals: dict[bytes, tuple[float, float]] = {}

    async def start(self) -> None:
        """Listen at a free port."""
        listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = listener.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                items = await read_reply(reader)
                assert isinstance(items, list)
                if items[0] == b"INCRTTL":
                    now = time.monotonic()
                    total, ends_at = self._totals.get(items[1], (0.0, -1.0))
                    if now >= ends_at:
                        total, ends_at = 0.0, now + min(60.0, int(items[3]) / 1000.0)
                    total += float(items[2])
                    self._totals[items[1]] = (total, ends_at)
                    writer.write(bulk(b"%.7g" % total))
                elif items[0] == b"PING":
                    writer.write(b"+PONG\r\n")
                else:
                    writer.write(b"+OK\r\n")
                await writer.drain()
        writer.transport.abort()


def _make_class(name: str, wanted: float, deadline: float, credit: float, effect: str) -> dict[str, object]:
    return {
        "name": name,
        "on-time": wanted,
        "deadline": deadline,
        "credit": credit,
        "effect": effect,
        "key-scope": "cell",
        "late-share": 0.0,
        "stream": False,
        "window": 4.0,
    }


def _make_plan(name: str, refill: float, burst: float, pays: float) -> dict[str, object]:
    return {
        "name": name,
        "refill": refill,
        "most-at-once": burst,
        "pays": pays,
        "over-cost": 0.6,
        "over-worth": 0.0,
        "parallel": 0,
        "never-over-rate": 0.0,
        "never-over-depth": 0.0,
        "cap-slack": 0.0,
    }


def make_settings() -> dict[str, object]:
    """Return settings like those of `jaya-booking`, see the example on the page on the wire."""
    return {
        "index": 0,
        "balancers": 3,
        "zone": "floor-2",
        "azs": ["floor-2"],
        "step": 0.002,
        "discovery": "pushed",
        "caps": {
            "cancel": True,
            "conn-idle": 30.0,
            "dial-timeout": 0.25,
            "max-attempts": 6,
            "max-retry-after": 2.0,
            "may-tell": False,
            "multiplex": 100,
            "open-cap": 20000,
            "probes": False,
            "retry-after": True,
            "second-copies": False,
        },
        "classes": [
            _make_class("table-check", 2.0, 4.0, 2.0, "retryable"),
            _make_class("booking-view", 2.0, 7.5, 2.0, "retryable"),
            _make_class("booking-make", 2.0, 7.5, 6.0, "dedup"),
        ],
        "family-info": {
            "counter-price": 0.02,
            "counter-timeout": 0.03,
            "may-count": True,
            "meter": 2.0,
            "most-units": 8,
            "peer-intake": 0.0,
            "trued-up": True,
        },
        "report": {"how": "inline", "fields": ["avg_ms"]},
        "rules": {
            "cold": 18.0,
            "cold-share": 0.17,
            "drain-grace": 1.0,
            "fall": 3.0,
            "fall-multiple": 2.5,
            "grace-to-answer": 0.008,
        },
        "tiers-of-service": [_make_plan("kedai", 1.7, 16.0, 0.5), _make_plan("korporat", 19.0, 51.0, 1.6)],
    }


def make_unsafe_settings() -> dict[str, object]:
    """Return settings like those of `lowell-mill`, where `place-order` must never run twice."""
    settings = make_settings()
    settings["caps"] = {**settings["caps"], "max-attempts": 3}  # type: ignore[dict-item]
    settings["classes"] = [
        _make_class("quote", 0.4, 1.5, 1.0, "retryable"),
        _make_class("place-order", 1.0, 4.0, 3.0, "fragile"),
    ]
    settings["tiers-of-service"] = [_make_plan("publisher", 24.0, 48.0, 1.8)]
    return settings


class Limiter:
    """One limiter process, started by `run` of the deploy file from the repository's root."""

    def __init__(self, world: World, name: str = "n0", settings: dict[str, object] | None = None) -> None:
        self._world = world
        self.name = name
        self.port = free_port()
        self.settings = settings or make_settings()
        self.process: asyncio.subprocess.Process | None = None
        self.temporary = world.folder / f"tmp-{name}"
        self.temporary.mkdir(exist_ok=True)
        self.config = world.folder / f"{name}.json"
        self.limits: dict[str, object] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}

    def _write_config(self) -> None:
        world = self._world
        source = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{world.discovery.port}",
            "counter": f"{HOST}:{world.counter.port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": world.discovery.whole_list(),
            "settings": self.settings,
        }
        self.config.write_text(json.dumps(source))

    async def start(self) -> None:
        """Start the process, and wait until it answers PING with +PONG."""
        self._write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("PYTHON")}
        environment = {
            **inherited,
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": f"{HOST}:{self.port}",
            "BALANCER_DISCOVERY": f"{HOST}:{self._world.discovery.port}",
            "BALANCER_CONFIG": str(self.config),
            "TMPDIR": str(self.temporary),
        }
        log = (self._world.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True
        )
        log.close()
        self._world.record.write(self.name, f"started, pid {self.process.pid}, listens at port {self.port}")
        await self._wait_ready()

    async def _wait_ready(self) -> None:
        ends_at = time.monotonic() + READY_SECONDS
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(command(b"PING"))
                reply = await read_reply(reader)
                writer.close()
                if reply == "+PONG":
                    self._world.record.write(self.name, "ready")
                    return
            if self.process is not None and self.process.returncode is not None:
                message = f"the limiter ended with {self.process.returncode}"
                raise CannotRunError(message)
            await asyncio.sleep(0.05)
        message = "the limiter was not ready in time"
        raise CannotRunError(message)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._world.record.write(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Answer:
    """The answer to one request: a kind, and the value of a served one."""

    def __init__(self, kind: str, value: bytes = b"") -> None:
        # served, refused, failed, late (no answer in time), or no answer: ended (the connection was closed) or reset
        self.kind = kind
        self.value = value

    @property
    def is_missing(self) -> bool:
        """Whether there is no answer."""
        return self.kind in ("late", "ended", "reset")

    def __str__(self) -> str:
        shown = f" {self.value[:40].decode('ascii', 'replace')!r} ({len(self.value)} bytes)" if self.value else ""
        return self.kind + shown


class Client:
    """A client's connection."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self, port: int) -> None:
        """Connect to a limiter."""
        self.reader, self.writer = await asyncio.open_connection(HOST, port, limit=1 << 23)

    def send(self, data: bytes, request_id: str) -> None:
        """Write a request."""
        self.world.record.write(self.name, f"sends {request_id}")
        self.writer.write(data)

    async def receive(self, request_id: str, seconds: float) -> Answer:
        """Return the next answer on the connection."""
        try:
            reply = await asyncio.wait_for(read_reply(self.reader), seconds)
        except asyncio.IncompleteReadError as end:
            answer = Answer("ended", bytes(end.partial))
        except ConnectionError:
            answer = Answer("reset")
        except TimeoutError:
            answer = Answer("late")
        else:
            first = reply[0] if isinstance(reply, list) and reply else reply
            if isinstance(first, bytes):
                answer = Answer("served", first)
            else:
                answer = Answer("refused" if str(first).startswith("-BUSY") else "failed", str(first).encode())
        self.world.record.write(self.name, f"{request_id}: {answer}")
        return answer

    def has_ended(self) -> bool:
        """Return whether the limiter has ended the connection."""
        return self.reader.at_eof()

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(Exception):
            self.writer.close()


class World:
    """All stand-ins of a case, and its limiters."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.servers: list[Server] = []
        self.discovery = Discovery(record, self.servers)
        self.counter = Counter()
        self.limiters: list[Limiter] = []
        self._request_count = 0

    async def start(self, *servers: Server) -> None:
        """Start the servers, discovery and the counter."""
        for server in servers:
            await server.start()
            self.servers.append(server)
        await self.discovery.start()
        await self.counter.start()

    def add_limiter(self, name: str = "n0", settings: dict[str, object] | None = None) -> Limiter:
        """Return a new limiter, which is not started yet."""
        limiter = Limiter(self, name, settings)
        self.limiters.append(limiter)
        return limiter

    def make_request(
        self, class_name: str, plan: str, wait_ms: int = 2000, body: bytes | None = None
    ) -> tuple[str, bytes]:
        """Return a new request's id and its command; each request is another customer's."""
        self._request_count += 1
        request_id = f"{0x9B1F03AA00000000 + self._request_count:016x}"
        customer = f"{0x64D00000 + self._request_count:016x}"
        key = f",k={request_id}" if class_name == "booking-make" else ""
        terms = f"c={class_name},t={plan},d={wait_ms}{key},units=1,spread=3,first=0"
        verb = b"SVC.QUERY" if body is None else b"SVC.SUBMIT"
        items = [verb, customer.encode(), request_id.encode(), terms.encode()]
        return request_id, command(*items, *([] if body is None else [body]))

    async def stop(self) -> None:
        """End all that was started."""
        for limiter in self.limiters:
            await limiter.stop()
        for server in self.servers:
            server.stop()


Case = Callable[[World], Awaitable[list[str]]]


async def _play(case: Case, folder: Path, record: Record) -> list[str]:
    world = World(folder, record)
    try:
        return await asyncio.wait_for(case(world), 110.0)
    finally:
        await world.stop()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.01)  # the transports that were closed end in the loop's next turns
        for log in sorted(folder.glob("*.log")):
            for line in log.read_text(errors="replace").splitlines():
                record.write("log of " + log.stem, line)


def main(case: Case, script: str) -> None:
    """Run a case and exit: with 1 if it returned breaks of the rule, with 0 if not, with 2 if it could not run."""
    record = Record(Path(script).resolve().parent / "record.txt")
    record.write("case", f"TROUBLE is {'on' if TROUBLE else 'off'}")
    folder = Path(tempfile.mkdtemp(prefix="case-"))
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # a script that is ended ends what it has started
    try:
        breaks = asyncio.run(_play(case, folder, record))
    except (Exception, KeyboardInterrupt) as error:
        record.write("case", f"cannot run: {error!r}")
        traceback.print_exc()
        sys.exit(CANNOT_RUN)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    for line in breaks:
        record.write("rule broken", line)
        print(f"rule broken: {line}")
    if not breaks:
        record.write("case", "the rule held")
        print("the rule held")
    sys.exit(BROKEN if breaks else HELD)
