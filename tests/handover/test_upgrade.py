"""Two copies of run side by side: every step of an upgrade, and what is left when one of them dies or hangs."""

from __future__ import annotations

import os
import select
import signal
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from subprocess import Popen

import pytest

from tests.limiter import PATIENCE, Limiter, Peer, command, request
from tests.test_limiter import GOOD, SMALL


@pytest.fixture
def limiter(tmp_path: Path) -> Iterator[Limiter]:
    with Limiter(tmp_path, managed=True, **SMALL) as made:
        yield made


def ready(limiter: Limiter) -> None:
    """Wait for the yes of the copy that was started last, and its place for calls."""
    limiter.listen_for_operators = int(limiter.log("calls:").rsplit(":", 1)[1])
    end = time.monotonic() + PATIENCE
    while not limiter.call(b"readyz\n").startswith(b"200 "):
        assert time.monotonic() < end
        time.sleep(0.02)  # callers without a pause would take all places, and the next one be reset


def upgrade(limiter: Limiter) -> Popen[str]:
    """Start the next copy; the one before."""
    return limiter.succeed(limiter.next())


def ping(limiter: Limiter) -> bytes:
    agent = limiter.connect()
    agent.send(command(b"PING"))
    answer = agent.line()
    agent.close()
    return answer


def end(process: Popen[str]) -> str:
    """SIGTERM, an orderly end, and all that the process had left to say."""
    process.send_signal(signal.SIGTERM)
    assert process.wait(PATIENCE) == 0
    assert process.stderr is not None
    return process.stderr.read()


def spent(limiter: Limiter, number: int) -> int:
    """Ask until a request is turned away: how many were served."""
    agent, server, count = limiter.connect(), None, 0
    while True:
        agent.send(request(number + count))
        waits = [agent.sock, limiter.servers[0].sock, *([server.sock] if server else [])]
        found = select.select(waits, [], [], PATIENCE)[0]
        if agent.sock in found:
            assert agent.line().startswith(b"-BUSY")
            agent.close()
            return count
        server = limiter.servers[0].accept() if limiter.servers[0].sock in found else server
        assert server is not None
        server.words()
        server.send(GOOD)
        assert agent.bulk() == b"value"
        count += 1


def test_the_next_copy_takes_queue_and_state_and_the_old_one_finishes(limiter: Limiter) -> None:
    first = spent(limiter, 100)
    busy, idle = limiter.connect(), limiter.connect()
    idle.send(command(b"PING"))
    assert idle.line() == b"+PONG"
    busy.send(request(1).replace(b"b4d65521", b"b4d65522"))  # of another customer
    held = limiter.servers[0].accept()
    held.words()
    old = upgrade(limiter)
    ready(limiter)
    assert idle.ended()  # sent away at once, and the one with a request in hand is not
    assert ping(limiter) == b"+PONG" and old.poll() is None
    assert first >= 4 and spent(limiter, 200) <= 4, "a copy mints no units"
    held.send(GOOD)
    assert busy.bulk() == b"value" and busy.ended()
    assert "phase: handed over" in end(old)
    assert ping(limiter) == b"+PONG"
    old = upgrade(limiter)  # and the next one, from the copy that took over
    ready(limiter)
    assert "hand-over: done" in end(old)
    assert ping(limiter) == b"+PONG"
    assert len(list(limiter.state.iterdir())) == 2
    end(limiter.process)
    assert not list(limiter.state.iterdir())


def killed(process: Popen[str]) -> None:
    process.kill()
    process.wait(PATIENCE)


def test_a_successor_that_dies_after_its_yes_leaves_the_old_one_serving(limiter: Limiter) -> None:
    waiting = limiter.connect()
    old = upgrade(limiter)
    ready(limiter)
    assert waiting.ended()
    killed(limiter.succeed(old))
    late = limiter.connect()  # at no moment was the queue closed
    late.send(command(b"PING"))
    assert late.line() == b"+PONG"
    upgrade(limiter)  # and the next one goes well
    ready(limiter)
    end(old)
    assert ping(limiter) == b"+PONG"


@pytest.mark.parametrize("way", [signal.SIGKILL, signal.SIGSTOP])
def test_an_old_copy_that_is_killed_or_hangs_stands_in_nobodys_way(limiter: Limiter, way: signal.Signals) -> None:
    limiter.process.send_signal(way)
    begun = time.monotonic()
    old = upgrade(limiter)
    ready(limiter)
    assert time.monotonic() - begun < 6.0
    killed(old)
    assert ping(limiter) == b"+PONG"


def silent_listener(path: Path) -> socket.socket:
    made = socket.socket(socket.AF_UNIX)
    made.bind(str(path))
    made.listen()
    return made


@pytest.mark.parametrize(
    "make",
    [
        lambda path: path.write_text("rubbish"),
        lambda path: path.mkdir(),
        lambda path: path.symlink_to(path.name),
        lambda path: path.symlink_to("nowhere"),
        lambda path: os.mkfifo(path),
        silent_listener,
    ],
)
def test_whatever_lies_in_the_folder_the_next_copy_serves(limiter: Limiter, make: Callable[[Path], object]) -> None:
    killed(limiter.process)
    path = limiter.state / "n0.sock"
    path.unlink()
    kept = make(path)
    upgrade(limiter)
    ready(limiter)
    assert ping(limiter) == b"+PONG" and kept is not path


def test_one_told_to_end_while_it_takes_over_leaves_all_as_it_was(limiter: Limiter) -> None:
    limiter.process.send_signal(signal.SIGSTOP)
    new = limiter.next()
    assert new.stderr is not None
    while "hand-over: asked for" not in new.stderr.readline():
        pass
    new.send_signal(signal.SIGTERM)
    assert new.wait(PATIENCE) == 0
    limiter.process.send_signal(signal.SIGCONT)
    assert ping(limiter) == b"+PONG"


def test_one_that_starts_by_itself_without_a_list_ends_when_told(limiter: Limiter) -> None:
    killed(limiter.process)  # its socket stays behind
    limiter.config["known"]["instances"] = []
    new = upgrade(limiter) and limiter.process
    limiter.log("given up: this life starts by itself")
    limiter.log("listening:")
    new.send_signal(signal.SIGTERM)
    assert new.wait(PATIENCE) == 0


def test_other_plans_do_not_stop_a_release(limiter: Limiter) -> None:
    limiter.config["settings"]["tiers-of-service"][0]["most-at-once"] = 2.0
    spent(limiter, 100)
    old = upgrade(limiter)
    ready(limiter)
    assert spent(limiter, 200) <= 2
    end(old)


def test_without_a_folder_or_with_one_that_cannot_be_used_it_serves(limiter: Limiter) -> None:
    for folder in ("", "/nowhere/at/all", str(limiter.state / ("x" * 120))):
        limiter.environment["TMPDIR"] = folder
        old = upgrade(limiter)
        ready(limiter)
        end(old)
        assert ping(limiter) == b"+PONG"
    assert isinstance(limiter.connect(), Peer)


def test_where_unix_sockets_are_refused_all_else_goes_on(tmp_path: Path) -> None:
    (tmp_path / "sitecustomize.py").write_text(
        "import socket\n"
        "class Refusing(socket.socket):\n"
        "    def __init__(self, family=-1, *more, **named):\n"
        "        if family == socket.AF_UNIX:\n"
        "            raise PermissionError(1, 'Operation not permitted')\n"
        "        super().__init__(family, *more, **named)\n"
        "socket.socket = Refusing\n"
    )
    with Limiter(tmp_path, managed=True, environment={"PYTHONPATH": str(tmp_path)}) as limiter:
        assert ping(limiter) == b"+PONG"
        (limiter.state / "n0.sock").symlink_to("nowhere")
        old = upgrade(limiter)  # which then shares the address
        ready(limiter)
        end(old)
        assert ping(limiter) == b"+PONG"
