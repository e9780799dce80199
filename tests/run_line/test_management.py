"""Operators' commands on real sockets, and the effect of each command in each phase."""

from __future__ import annotations

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import closing
from pathlib import Path

import pytest

from tests.limiter import PATIENCE, ROOT, Limiter, command, request
from tests.network_support import SERVED_REPLY
from thymeflow.limiter.management import MAX_CALLERS, MAX_LINE
from thymeflow.limiter.phases import TRANSITIONS, OperatorCommand, Phase, apply_command


@pytest.fixture
def limiter(tmp_path: Path) -> Iterator[Limiter]:
    with Limiter(tmp_path, managed=True) as started_limiter:
        yield started_limiter


def readiness_replies(limiter: Limiter) -> tuple[bytes, bytes]:
    """Return the first byte of the replies to `PING` and to `readyz`."""
    with closing(limiter.connect()) as client:
        client.send(command(b"PING"))
        return client.line()[:1], limiter.call(b"readyz\n")[:1]


@pytest.mark.parametrize(("phase", "operator_command"), list(itertools.product(Phase, OperatorCommand)))
def test_every_command_has_an_outcome_in_every_phase(phase: Phase, operator_command: OperatorCommand) -> None:
    next_phase, yes, reason = apply_command(phase, operator_command, phase is Phase.SERVING)
    assert reason
    assert yes or next_phase is phase, "a rejected command changed the phase"
    assert next_phase is phase or {phase, next_phase} == {Phase.SERVING, Phase.EVACUATED}
    assert yes == ((phase, operator_command) in TRANSITIONS) or operator_command is OperatorCommand.READY
    assert apply_command(next_phase, operator_command, yes)[:2] == (next_phase, yes), (
        "a repeated command has another effect"
    )


@pytest.mark.parametrize(
    "text",
    [
        b"\n",
        b"reload\n",
        b"\xff\x00\n",
        b"readyz\nreadyz\n",
        b"x" * (MAX_LINE + 1),
        b"readyz" + b" " * MAX_LINE + b"\n",
        b"READYZ\n",
        b"*1\r\n$4\r\nPING\r\n",
    ],
)
def test_reply_contains_a_reason_when_a_line_is_no_command(limiter: Limiter, text: bytes) -> None:
    reply = limiter.call(text)
    assert reply.startswith(b"400 ")
    assert len(reply) > 10
    assert limiter.call(b"readyz\r\n").startswith(b"200 ")


def test_caller_is_answered_when_idle_callers_occupy_all_slots(limiter: Limiter) -> None:
    idle_callers = [limiter.operator() for _ in range(MAX_CALLERS + 4)]
    started_at = time.monotonic()
    assert limiter.call(b"readyz\n").startswith(b"200 ")
    assert time.monotonic() - started_at < 1.0
    assert (
        sum(peer.receives_nothing(0.0) for peer in idle_callers) <= MAX_CALLERS
    )  # The oldest callers were closed for newer ones.
    idle_callers[-1].send(b"readyz\n")
    assert idle_callers[-1].line().startswith(b"200 ")  # A caller is answered even if it sends its line late.


def test_callers_connect_at_once_when_the_limiter_is_stopped_and_many_connect(limiter: Limiter) -> None:
    # Guards against a queue of the listening socket that drops connections, which then take a second longer.
    limiter.process.send_signal(signal.SIGSTOP)
    address = ("127.0.0.1", limiter.listen_for_operators)
    try:
        callers = [socket.create_connection(address, 0.9) for _ in range(4 * MAX_CALLERS)]
    finally:
        limiter.process.send_signal(signal.SIGCONT)
    for caller in callers:
        caller.close()


def test_clients_are_closed_when_evacuated_and_accepted_when_activated(limiter: Limiter) -> None:
    busy = limiter.connect()
    idle = limiter.connect()
    started_at = time.monotonic()
    busy.send(request(1))
    busy_backend = limiter.backends[0].accept()
    busy_backend.read_command()
    backend_connection = limiter.serve_request(idle, 2)
    assert readiness_replies(limiter) == (b"+", b"2")
    for _ in range(2):
        assert limiter.call(b"evacuate\n").startswith(b"200 ")
        assert readiness_replies(limiter) == (b"-", b"4")
    limiter.serve_request(idle, 3, backend_connection)  # The platform's balancer still forwards for a short time.
    assert idle.is_closed_by_peer()
    busy_backend.send(SERVED_REPLY)
    assert busy.read_bulk() == b"value"
    assert busy.is_closed_by_peer()
    late = limiter.connect()  # The limiter still listens, and answers new clients.
    limiter.serve_request(late, 4, busy_backend)  # over the connection that was used last
    assert late.is_closed_by_peer()
    assert time.monotonic() - started_at < 3.0
    assert limiter.call(b"activate\n").startswith(b"200 ")
    assert readiness_replies(limiter) == (b"+", b"2")
    limiter.serve_request(returning_client := limiter.connect(), 5, busy_backend)
    limiter.serve_request(returning_client, 6, busy_backend)  # The client stays connected.


def test_limiter_drains_and_is_never_ready_when_it_is_terminated_while_evacuated(limiter: Limiter) -> None:
    busy = limiter.connect()
    busy.send(request(1))
    busy_backend = limiter.backends[0].accept()
    busy_backend.read_command()
    assert limiter.call(b"evacuate\n").startswith(b"200 ")
    limiter.terminate()
    limiter.log("phase: draining")
    assert readiness_replies(limiter) == (b"-", b"4")
    for operator_command in (b"evacuate\n", b"activate\n"):
        assert limiter.call(operator_command).startswith(b"400 ")
    busy_backend.send(SERVED_REPLY)
    assert busy.read_bulk() == b"value"
    assert limiter.process.wait(PATIENCE) == 0


@pytest.mark.parametrize(("mgmt", "code"), [("here", 2), ("127.0.0.1:x", 2), (7, 2), ("taken", 3)])
def test_start_fails_with_one_line_when_the_management_address_is_invalid(
    limiter: Limiter, mgmt: object, code: int
) -> None:
    address = f"127.0.0.1:{limiter.listen_for_operators}" if mgmt == "taken" else mgmt
    limiter.path.write_text(json.dumps({**limiter.config, "mgmt": address}))
    completed = subprocess.run(
        [sys.executable, "-m", "thymeflow"],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=PATIENCE,
        env={**os.environ, "BALANCER_CONFIG": str(limiter.path)},
    )
    assert (completed.returncode, completed.stderr.count("\n")) == (code, 1)
