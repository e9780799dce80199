"""Operators' calls, and what each does in each phase: on sockets, and pair by pair."""

from __future__ import annotations

import itertools
import json
import os
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
    with Limiter(tmp_path, managed=True) as made:
        yield made


def answers(limiter: Limiter) -> tuple[bytes, bytes]:
    """What `PING` and `readyz` say: the first byte of each."""
    with closing(limiter.connect()) as client:
        client.send(command(b"PING"))
        return client.line()[:1], limiter.call(b"readyz\n")[:1]


@pytest.mark.parametrize(("phase", "operator_command"), list(itertools.product(Phase, OperatorCommand)))
def test_every_command_has_an_outcome_in_every_phase(phase: Phase, operator_command: OperatorCommand) -> None:
    after, yes, why = apply_command(phase, operator_command, phase is Phase.SERVING)
    assert why
    assert yes or after is phase, "a no changes nothing"
    assert after is phase or {phase, after} == {Phase.SERVING, Phase.EVACUATED}
    assert yes == ((phase, operator_command) in TRANSITIONS) or operator_command is OperatorCommand.READY
    assert apply_command(after, operator_command, yes)[:2] == (after, yes), "twice the same call is once"


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
def test_reply_says_why_when_a_line_is_no_command(limiter: Limiter, text: bytes) -> None:
    found = limiter.call(text)
    assert found.startswith(b"400 ")
    assert len(found) > 10
    assert limiter.call(b"readyz\r\n").startswith(b"200 ")


def test_callers_are_served_when_others_are_connected_and_idle(limiter: Limiter) -> None:
    idle_callers = [limiter.operator() for _ in range(MAX_CALLERS + 4)]
    begun = time.monotonic()
    assert limiter.call(b"readyz\n").startswith(b"200 ")
    assert time.monotonic() - begun < 1.0
    assert sum(peer.receives_nothing(0.0) for peer in idle_callers) <= MAX_CALLERS  # the oldest made room
    idle_callers[-1].send(b"readyz\n")
    assert idle_callers[-1].line().startswith(b"200 ")  # a late one is answered all the same


def test_clients_are_closed_when_evacuated_and_accepted_when_activated(limiter: Limiter) -> None:
    busy = limiter.connect()
    idle = limiter.connect()
    begun = time.monotonic()
    busy.send(request(1))
    busy_backend = limiter.backends[0].accept()
    busy_backend.read_command()
    backend_connection = limiter.serve_request(idle, 2)
    assert answers(limiter) == (b"+", b"2")
    for _ in range(2):
        assert limiter.call(b"evacuate\n").startswith(b"200 ")
        assert answers(limiter) == (b"-", b"4")
    limiter.serve_request(idle, 3, backend_connection)  # the front sends on for a moment
    assert idle.is_closed_by_peer()
    busy_backend.send(SERVED_REPLY)
    assert busy.read_bulk() == b"value"
    assert busy.is_closed_by_peer()
    late = limiter.connect()  # the listener stays; what comes all the same is answered
    limiter.serve_request(late, 4, busy_backend)  # over the warmest connection
    assert late.is_closed_by_peer()
    assert time.monotonic() - begun < 3.0
    assert limiter.call(b"activate\n").startswith(b"200 ")
    assert answers(limiter) == (b"+", b"2")
    limiter.serve_request(back := limiter.connect(), 5, busy_backend)
    limiter.serve_request(back, 6, busy_backend)  # and stays connected


def test_limiter_drains_and_is_never_ready_when_it_is_terminated_while_evacuated(limiter: Limiter) -> None:
    busy = limiter.connect()
    busy.send(request(1))
    busy_backend = limiter.backends[0].accept()
    busy_backend.read_command()
    assert limiter.call(b"evacuate\n").startswith(b"200 ")
    limiter.terminate()
    limiter.log("phase: draining")
    assert answers(limiter) == (b"-", b"4")
    for operator_command in (b"evacuate\n", b"activate\n"):
        assert limiter.call(operator_command).startswith(b"400 ")
    busy_backend.send(SERVED_REPLY)
    assert busy.read_bulk() == b"value"
    assert limiter.process.wait(PATIENCE) == 0


@pytest.mark.parametrize(("mgmt", "code"), [("here", 2), ("127.0.0.1:x", 2), (7, 2), ("taken", 3)])
def test_start_fails_with_one_line_when_the_management_address_is_invalid(
    limiter: Limiter, mgmt: object, code: int
) -> None:
    where = f"127.0.0.1:{limiter.listen_for_operators}" if mgmt == "taken" else mgmt
    limiter.path.write_text(json.dumps({**limiter.config, "mgmt": where}))
    done = subprocess.run(
        [sys.executable, "-m", "thymeflow"],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=PATIENCE,
        env={**os.environ, "BALANCER_CONFIG": str(limiter.path)},
    )
    assert (done.returncode, done.stderr.count("\n")) == (code, 1)
