"""The daemon as a process: its name, its sockets, what it remembers, and hand-overs that go well or wrong."""

from __future__ import annotations

import array
import contextlib
import json
import os
import select
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from tests.limiter import PATIENCE, ROOT, Limiter, command, request
from thymeflow.platform.settings import settings_from
from thymeflow.snapshot.schema import site_digest

GOOD = b"*3\r\n$5\r\nvalue\r\n$6\r\ncost=1\r\n$-1\r\n"
SMALL: dict[str, Any] = {"tiers-of-service": [{"name": "basic", "refill": 0.01, "most-at-once": 20.0}]}


def line_of(process: subprocess.Popen[str], part: str) -> str:
    assert process.stderr is not None
    for line in process.stderr:
        if part in line:
            return line
    raise AssertionError(f"the log ended without {part!r}")


def ended(process: subprocess.Popen[str]) -> tuple[int, str]:
    _, text = process.communicate(timeout=PATIENCE)
    return process.returncode, text


def until(what: Callable[[], Any]) -> Any:
    end = time.monotonic() + PATIENCE
    while not (found := what()):
        assert time.monotonic() < end
        time.sleep(0.01)
    return found


def spend(limiter: Limiter, start: int) -> int:
    """Ask until refused; how many were sent on."""
    agent, server = limiter.connect(), None
    for number in range(start, start + 100):
        agent.send(request(number))
        if server is None:
            select.select([agent.sock, limiter.servers[0].sock], [], [], PATIENCE)
            if not agent.silent(0.0):
                assert agent.line().startswith(b"-BUSY")
                return 0
            server = limiter.servers[0].accept()
        select.select([agent.sock, server.sock], [], [], PATIENCE)
        if not agent.silent(0.0):
            assert agent.line().startswith(b"-BUSY")
            server.close()
            agent.close()
            return number - start
        server.words()
        server.send(GOOD)
        assert agent.bulk() == b"value"
    raise AssertionError("never refused")


def test_readiness_reload_and_stopping_are_told_to_the_service_manager(tmp_path: Path) -> None:
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager:
        name = f"\0tf-{os.getpid()}-{time.monotonic_ns()}"
        manager.bind(name)
        manager.settimeout(PATIENCE)
        with Limiter(tmp_path, serve=(), environment={"NOTIFY_SOCKET": "@" + name[1:]}) as limiter:
            assert f"READY=1\nMAINPID={limiter.process.pid}\n".encode() in manager.recv(4096) + b"\n"
            limiter.process.send_signal(signal.SIGHUP)
            assert manager.recv(4096).startswith(b"RELOADING=1\nMONOTONIC_USEC=")
            assert manager.recv(4096) == b"READY=1"
            limiter.terminate()
            limiter.terminate()
            assert manager.recv(4096).startswith(b"STOPPING=1")
            assert ended(limiter.process)[0] == 0


def test_a_signal_between_readiness_and_the_reactor_is_not_lost(tmp_path: Path) -> None:
    # Who is told READY=1 may reload at once; on a busy machine that comes before the reactor runs.
    code = (
        "import os, signal, sys; from thymeflow import cli; from thymeflow.daemon import service; "
        "run = service.Service.run; "
        "service.Service.run = lambda self: (os.kill(os.getpid(), signal.{0}), run(self))[1]; "
        "sys.argv[1:] = ['serve', '--state', {1!r}]; sys.exit(cli.run())"
    )
    with Limiter(tmp_path, serve=()) as limiter:
        limiter.terminate()
        ended(limiter.process)
        for name, told in (("SIGHUP", "reload: discovery at"), ("SIGTERM", "phase: draining")):
            limiter.process = subprocess.Popen(
                [sys.executable, "-c", code.format(name, str(limiter.state))],
                cwd=ROOT,
                text=True,
                stderr=subprocess.PIPE,
                env={**os.environ, "BALANCER_CONFIG": str(limiter.path)},
            )
            if name == "SIGHUP":
                limiter.log(told)
                limiter.port = int(limiter.log("listening:").rsplit(":", 1)[1])
                limiter.until(b"+PONG", command(b"PING"))
                limiter.terminate()
            status, text = ended(limiter.process)
            assert status == 0 and (name == "SIGHUP" or told in text)


def test_a_name_is_held_once_and_a_killed_holder_leaves_nothing_in_the_way(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter:
        code, text = ended(limiter.start(()))
        assert code == 4 and f"n0 is held by pid {limiter.process.pid}" in text
        limiter.process.kill()
        limiter.process.communicate()
        assert (limiter.state / "n0.sock").is_symlink()  # stale, as is the lock's content
        limiter.process = limiter.start(())
        line_of(limiter.process, "phase: serving")
        assert limiter.ask(do="status")["pid"] == limiter.process.pid
        assert len(list(limiter.state.glob("*.sock"))) == 2


def test_listening_sockets_are_taken_over_or_refused_with_a_line(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter:
        limiter.terminate()
        ended(limiter.process)
        shell = [
            "/bin/sh",
            "-c",
            'LISTEN_PID=$$ exec "$@"',
            "sh",
            sys.executable,
            "-m",
            "thymeflow",
            "serve",
            "--state",
            str(limiter.state),
        ]
        environment = {**os.environ, "BALANCER_CONFIG": str(limiter.path), "LISTEN_FDS": "1"}
        with socket.create_server(("127.0.0.1", 0)) as ours, socket.socket() as idle:
            for given, good in ((idle, False), (ours, True)):
                # In the child alone: descriptor 3 of this process belongs to whoever runs the tests.
                process = subprocess.Popen(
                    shell,
                    cwd=ROOT,
                    env=environment,
                    pass_fds=(3,),
                    text=True,
                    stderr=subprocess.PIPE,
                    preexec_fn=partial(os.dup2, given.fileno(), 3),
                )
                if good:
                    limiter.process, limiter.port = process, ours.getsockname()[1]
                    line_of(process, "phase: serving")
                    limiter.until(b"+PONG", command(b"PING"))
                else:
                    code, text = ended(process)
                    assert code == 3 and "descriptor 3 is a socket that does not listen" in text


def test_a_restart_mints_no_units_and_a_killed_one_hardly_any(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=(), environment={"THYMEFLOW_SNAPSHOT_EVERY": "100ms"}, **SMALL) as limiter:
        first = spend(limiter, 1)
        assert 8 <= first <= 12  # the start values: half full
        limiter.terminate()
        assert ended(limiter.process)[0] == 0
        limiter.process = limiter.start(())
        assert "1 customers remembered from the file" in line_of(limiter.process, "snapshot:")
        limiter.port = int(limiter.log("listening:").rsplit(":", 1)[1])
        assert spend(limiter, 200) <= 1
        before = limiter.ask(do="status")["snapshot"]["at"]
        until(lambda: limiter.ask(do="status")["snapshot"]["at"] > before)
        limiter.process.kill()
        limiter.process.communicate()
        limiter.process = limiter.start(())
        limiter.port = int(limiter.log("listening:").rsplit(":", 1)[1])
        assert spend(limiter, 400) <= 1


@pytest.mark.parametrize(
    ("spoil", "why"),
    [
        (lambda data: data[:-5], "it was cut"),
        (lambda data: b"{}", "does not begin"),
        (lambda data: data.replace(b'"final":true', b'"final":null'), "was cut|checksum"),
    ],
)
def test_a_spoilt_snapshot_is_one_line_and_the_start_values(tmp_path: Path, spoil: Any, why: str) -> None:
    import re

    with Limiter(tmp_path, serve=(), **SMALL) as limiter:
        spend(limiter, 1)
        limiter.terminate()
        ended(limiter.process)
        path = limiter.state / "n0.state"
        path.write_bytes(spoil(path.read_bytes()))
        limiter.process = limiter.start(())
        assert re.search(why, line_of(limiter.process, "is not used and the start values hold"))
        limiter.port = int(limiter.log("listening:").rsplit(":", 1)[1])
        assert spend(limiter, 200) >= 8


def test_the_control_socket_is_the_owners_and_bounded(tmp_path: Path) -> None:
    with Limiter(
        tmp_path,
        serve=(),
        environment={"THYMEFLOW_DAEMON_CONTROL_CALLERS": "2", "THYMEFLOW_DAEMON_CONTROL_PATIENCE": "300ms"},
    ) as limiter:
        path = limiter.state / "n0.sock"
        assert path.stat().st_mode & 0o777 == 0o600
        for bad, why in (
            ({"do": "fly"}, "'do' is 'fly'"),
            ({"do": "drain", "linger": -1}, "linger is '-1'"),
            ({"do": "drain", "linger": True}, "linger"),
            ({"do": "level", "level": 3}, "level is '3'"),
            ({"do": ["status"]}, "'do' is"),
            ({"do": "ready"}, "'do' is"),
        ):
            answer = limiter.ask(**bad)
            assert answer["ok"] is False and why in answer["why"]
        for garbage in (b"no json\n", b"[]\n", b"[" * 60000 + b"\n", b"x" * 70000):
            with socket.socket(socket.AF_UNIX) as line:
                line.connect(str(path))
                line.settimeout(PATIENCE)
                with contextlib.suppress(BrokenPipeError, ConnectionResetError):
                    line.sendall(garbage)
                    assert b'"ok":false' in line.recv(4096)
        hung = [socket.socket(socket.AF_UNIX) for _ in range(2)]
        for line in hung:
            line.connect(str(path))
            line.sendall(b'{"do":')  # and not another byte

        def answers() -> bool:
            with contextlib.suppress(OSError, ValueError):
                return bool(limiter.ask(do="status")["ok"])
            return False

        until(answers)  # their places come free; nobody else waited for them
        for line in hung:
            line.close()
        assert limiter.ask(do="level", level="error")["ok"]
        limiter.until(b"+PONG", command(b"PING"))


def test_a_reload_takes_the_size_of_the_set(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter:
        agent = limiter.connect()
        agent.send(request(1).replace(b"first=0", b"first=3"))
        assert agent.line().startswith(b"-ERR")
        limiter.config["settings"]["balancers"] = 4
        limiter.path.write_text(json.dumps(limiter.config))
        assert limiter.ask(do="reload")["ok"] and limiter.ask(do="status")["gateways"] == 4
        agent.send(request(2).replace(b"spread=1,first=0", b"spread=2,first=3"))
        server = limiter.servers[0].accept()
        server.words()
        server.send(GOOD)
        assert agent.bulk() == b"value"
        limiter.path.write_text("{")
        assert not limiter.ask(do="reload")["ok"] and limiter.ask(do="status")["gateways"] == 4


def test_an_upgrade_takes_socket_and_state_and_the_old_one_finishes(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=(), **SMALL) as limiter:
        first = spend(limiter, 1) - 2
        agent = limiter.connect()
        agent.send(request(300, "book"))
        old = limiter.ask(do="status")
        until(lambda: limiter.ask(do="status")["open"] == 1 or not agent.silent(0.0))
        busy = agent.silent(0.0)
        if busy:
            server = limiter.servers[0].accept()
            server.words()
        successor = limiter.start(("--take-over",))
        before = limiter.succeed(successor)
        before.send_signal(signal.SIGHUP)  # harmless in the middle of it
        line_of(successor, "hand-over: done")
        status = limiter.ask(do="status")
        assert status["pid"] == successor.pid != old["pid"] and status["listen"] == old["listen"]
        if busy:  # in flight all the while: one answer, by the old one
            assert before.poll() is None
            server.send(GOOD)
            assert agent.bulk() == b"value"
        assert ended(before)[0] == 0
        assert spend(limiter, 400) <= max(1, 12 - first)
        successor.send_signal(signal.SIGTERM)
        successor.send_signal(signal.SIGTERM)
        assert ended(successor)[0] == 0
        assert not list(limiter.state.glob("*.sock"))


class Impostor:
    """A successor played by the test, to stop at whatever step."""

    def __init__(self, limiter: Limiter) -> None:
        self.line = socket.socket(socket.AF_UNIX)
        self.line.settimeout(PATIENCE)
        self.line.connect(str(limiter.state / "n0.sock"))
        self.descriptors: list[int] = []
        self.say(do="take", life="x", pid=1, site=site_digest(settings_from(limiter.config["settings"])))

    def say(self, **message: Any) -> None:
        self.line.sendall(json.dumps(message).encode() + b"\n")

    def hear(self) -> dict[str, Any]:
        data = b""
        while not data.endswith(b"\n"):
            part, extra, _, _ = self.line.recvmsg(4096, socket.CMSG_SPACE(16))
            data += part
            for _, _, value in extra:
                held = array.array("i")
                held.frombytes(value)
                self.descriptors += held
            assert part, "closed"
        found: dict[str, Any] = json.loads(data)
        return found

    def close(self) -> None:
        self.line.close()
        for descriptor in self.descriptors:
            os.close(descriptor)


@pytest.mark.parametrize("steps", [0, 1, 2])
@pytest.mark.parametrize("way", ["dies", "hangs"])
def test_a_successor_that_stops_half_way_leaves_the_old_one_serving(tmp_path: Path, steps: int, way: str) -> None:
    with Limiter(tmp_path, serve=(), environment={"THYMEFLOW_DAEMON_HAND_OVER": "500ms"}) as limiter:
        impostor = Impostor(limiter)
        assert "offer" in impostor.hear() and len(impostor.descriptors) == 2
        if steps:
            impostor.say(do="ready")
            assert impostor.hear()["state"] > 0
        if steps == 2:
            impostor.say(do="took")
            assert "yours" in impostor.hear()
        waiting = limiter.connect()  # connects while nobody may accept: it waits, and is served
        waiting.send(command(b"PING"))
        if way == "dies":
            impostor.close()
        assert "this life serves on" in limiter.log("hand-over: came to no end")
        assert waiting.line() == b"+PONG"
        assert limiter.ask(do="status")["hand_over"] == "whole"
        if way == "hangs":
            impostor.close()
        successor = limiter.start(("--take-over",))  # and the next one goes well
        limiter.succeed(successor).wait(PATIENCE)
        line_of(successor, "hand-over: done")


def test_what_cannot_take_over_says_why_and_leaves(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter:
        limiter.config["settings"]["tiers-of-service"][0]["refill"] = 7.0
        limiter.path.write_text(json.dumps(limiter.config))
        code, text = ended(limiter.start(("--take-over",)))
        assert code == 5 and "plans or place in the set differ" in text
        assert limiter.ask(do="status")["phase"] == "serving"
        limiter.terminate()
        ended(limiter.process)
        code, text = ended(limiter.start(("--take-over",)))
        assert code == 5 and "nobody to take over from" in text


def test_the_run_line_imports_nothing_that_it_does_not_use() -> None:
    code = (
        "import sys, thymeflow.__main__, thymeflow.limiter.assembly, twisted.internet.reactor; "
        "print(sorted(m for m in sys.modules if m.split('.')[0] in "
        "('click', 'structlog', 'msgspec', 'rich', 'xxhash', 'psutil') or m.startswith("
        "('thymeflow.cli', 'thymeflow.daemon', 'thymeflow.fleet', 'thymeflow.testkit', 'thymeflow.logs', "
        "'thymeflow.settings', 'thymeflow.snapshot', 'thymeflow.handover', 'thymeflow.leases', "
        "'thymeflow.outliers', 'thymeflow.shedding'))))"
    )
    out = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert out.stdout.strip() == "[]"
