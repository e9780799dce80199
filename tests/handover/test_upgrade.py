"""Guards against an upgrade that drops connections, creates units or leaves no copy that serves.

Two copies of the real program run side by side; in some tests one copy dies, hangs or cannot reach the other copy.
"""

from __future__ import annotations

import os
import signal
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.handover.support import (
    GOOD_RESPONSE,
    SMALL_PLAN,
    count_admitted,
    kill,
    ping,
    start_next_copy,
    terminate,
    wait_until_ready,
)
from tests.limiter import PATIENCE, Limiter, Peer, command, request

MAX_UPGRADE_SECONDS = 6.0  # The platform's time limit for a start.


@pytest.fixture
def limiter(tmp_path: Path) -> Iterator[Limiter]:
    with Limiter(tmp_path, managed=True, **SMALL_PLAN) as running:
        yield running


def test_next_copy_takes_queue_and_state_and_old_copy_finishes_when_upgraded(limiter: Limiter) -> None:
    admitted_before = count_admitted(limiter, 100)
    busy_client = limiter.connect()
    idle_client = limiter.connect()
    idle_client.send(command(b"PING"))
    assert idle_client.line() == b"+PONG"
    busy_client.send(request(1).replace(b"b4d65521", b"b4d65522"))  # The request of another customer.
    backend = limiter.backends[0].accept()
    backend.read_command()
    old = start_next_copy(limiter)
    wait_until_ready(limiter)
    assert idle_client.is_closed_by_peer()  # Only the client with a request in flight keeps its connection.
    assert ping(limiter) == b"+PONG"
    assert old.poll() is None
    assert admitted_before >= 4
    assert count_admitted(limiter, 200) <= 4, "an upgrade creates no units"
    backend.send(GOOD_RESPONSE)
    assert busy_client.read_bulk() == b"value"
    assert busy_client.is_closed_by_peer()
    assert "phase: handed over" in terminate(old)
    assert ping(limiter) == b"+PONG"
    old = start_next_copy(limiter)  # The second upgrade is from the copy that took over.
    wait_until_ready(limiter)
    assert "handover: done" in terminate(old)
    assert ping(limiter) == b"+PONG"
    assert len(list(limiter.state.iterdir())) == 3  # the control socket, the link to it, and the request ids
    terminate(limiter.process)
    assert not list(limiter.state.iterdir())


def test_old_copy_serves_when_its_successor_dies_after_it_was_ready(limiter: Limiter) -> None:
    waiting_client = limiter.connect()
    old = start_next_copy(limiter)
    wait_until_ready(limiter)
    assert waiting_client.is_closed_by_peer()
    kill(limiter.replace_process(old))
    late_client = limiter.connect()  # The old copy has kept its listening socket open.
    late_client.send(command(b"PING"))
    assert late_client.line() == b"+PONG"
    start_next_copy(limiter)  # The next upgrade succeeds.
    wait_until_ready(limiter)
    terminate(old)
    assert ping(limiter) == b"+PONG"


@pytest.mark.parametrize("fault", [signal.SIGKILL, signal.SIGSTOP])
def test_next_copy_serves_when_the_old_one_is_killed_or_hangs(limiter: Limiter, fault: signal.Signals) -> None:
    limiter.process.send_signal(fault)
    started_at = time.monotonic()
    old = start_next_copy(limiter)
    wait_until_ready(limiter)
    assert time.monotonic() - started_at < MAX_UPGRADE_SECONDS
    kill(old)
    assert ping(limiter) == b"+PONG"


def open_unresponsive_listener(path: Path) -> socket.socket:
    listening_socket = socket.socket(socket.AF_UNIX)
    listening_socket.bind(str(path))
    listening_socket.listen()
    return listening_socket


@pytest.mark.parametrize(
    "create",
    [
        lambda path: path.write_text("rubbish"),
        lambda path: path.mkdir(),
        lambda path: path.symlink_to(path.name),
        lambda path: path.symlink_to("nowhere"),
        lambda path: os.mkfifo(path),
        open_unresponsive_listener,
    ],
)
def test_next_copy_serves_when_something_else_is_at_the_socket_path(
    limiter: Limiter, create: Callable[[Path], object]
) -> None:
    kill(limiter.process)
    path = limiter.state / "n0.sock"
    path.unlink()
    obstacle = create(path)
    start_next_copy(limiter)
    wait_until_ready(limiter)
    assert ping(limiter) == b"+PONG"
    assert obstacle is not path


def test_old_copy_serves_when_its_successor_is_terminated_during_the_handover(limiter: Limiter) -> None:
    limiter.process.send_signal(signal.SIGSTOP)
    successor = limiter.start_successor()
    assert successor.stderr is not None
    while "handover: requested a handover at" not in successor.stderr.readline():
        pass
    successor.send_signal(signal.SIGTERM)
    assert successor.wait(PATIENCE) == 0
    limiter.process.send_signal(signal.SIGCONT)
    assert ping(limiter) == b"+PONG"


def test_copy_without_endpoint_list_ends_when_terminated(limiter: Limiter) -> None:
    kill(limiter.process)  # Its socket file remains.
    limiter.config["known"]["instances"] = []
    successor = start_next_copy(limiter) and limiter.process
    limiter.log("abandoned: this incarnation starts without a predecessor")
    limiter.log("listening:")
    successor.send_signal(signal.SIGTERM)
    assert successor.wait(PATIENCE) == 0


def test_upgrade_succeeds_when_plans_differ(limiter: Limiter) -> None:
    limiter.config["settings"]["tiers-of-service"][0]["most-at-once"] = 2.0
    count_admitted(limiter, 100)
    old = start_next_copy(limiter)
    wait_until_ready(limiter)
    assert count_admitted(limiter, 200) <= 2
    terminate(old)


def test_copies_serve_when_the_socket_folder_is_missing_or_unusable(limiter: Limiter) -> None:
    for folder in ("", "/nowhere/at/all", str(limiter.state / ("x" * 120))):
        limiter.environment["TMPDIR"] = folder
        old = start_next_copy(limiter)
        wait_until_ready(limiter)
        terminate(old)
        assert ping(limiter) == b"+PONG"
    assert isinstance(limiter.connect(), Peer)


def test_copies_serve_when_unix_sockets_are_forbidden(tmp_path: Path) -> None:
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
        old = start_next_copy(limiter)  # Both copies listen at the shared address.
        wait_until_ready(limiter)
        terminate(old)
        assert ping(limiter) == b"+PONG"


def test_request_is_not_executed_again_when_it_comes_again_at_the_other_process(limiter: Limiter) -> None:
    client = limiter.connect()
    client.send(request(1, "book"))
    backend = limiter.backends[0].accept()
    backend.read_command()
    old = start_next_copy(limiter)
    wait_until_ready(limiter)
    client.close()
    other_client = limiter.connect()
    other_client.send(request(1, "book"))
    assert other_client.line().startswith(b"-ERR")
    assert limiter.backends[0].has_no_connection(0.1)
    terminate(old)
