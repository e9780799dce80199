"""Guards against hot restarts that drop connections or create units, also when they stop half way."""

from __future__ import annotations

import json
import signal
from pathlib import Path

import pytest

from tests.daemon.support import (
    RESPONSE,
    SMALL_QUOTA,
    hand_over,
    poll_until,
    request_handover,
    scripted_predecessor,
    spend_quota,
    wait_for_exit,
    wait_for_log_line,
)
from tests.limiter import PATIENCE, Limiter, command, request


def test_socket_and_state_move_and_open_requests_finish_when_a_successor_takes_over(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=(), **SMALL_QUOTA) as limiter:
        admitted_before = spend_quota(limiter, 1) - 2
        client = limiter.connect()
        client.send(request(300, "book"))
        old_status = limiter.request_control(do="status")
        poll_until(lambda: limiter.request_control(do="status")["open"] == 1 or not client.receives_nothing(0.0))
        is_in_flight = client.receives_nothing(0.0)
        if is_in_flight:
            backend = limiter.backends[0].accept()
            backend.read_command()
        successor = limiter.start(("--take-over",))
        predecessor = limiter.replace_process(successor)
        predecessor.send_signal(signal.SIGHUP)  # A reload must not disturb the handover.
        wait_for_log_line(successor, "handover: done")
        status = limiter.request_control(do="status")
        assert status["pid"] == successor.pid != old_status["pid"]
        assert status["listen"] == old_status["listen"]
        if is_in_flight:  # The predecessor, which forwarded the request, delivers its only response.
            assert predecessor.poll() is None
            backend.send(RESPONSE)
            assert client.read_bulk() == b"value"
        assert wait_for_exit(predecessor).code == 0
        assert spend_quota(limiter, 400) <= max(1, 12 - admitted_before)
        successor.send_signal(signal.SIGTERM)
        successor.send_signal(signal.SIGTERM)
        assert wait_for_exit(successor).code == 0
        assert not list(limiter.state.glob("*.sock"))


@pytest.mark.parametrize("completed_steps", [0, 1, 2])
@pytest.mark.parametrize("failure", ["dies", "hangs"])
def test_predecessor_continues_to_serve_when_its_successor_dies_or_hangs(
    tmp_path: Path, completed_steps: int, failure: str
) -> None:
    with Limiter(tmp_path, serve=(), environment={"THYMEFLOW_DAEMON_HAND_OVER": "500ms"}) as limiter:
        scripted = request_handover(limiter)
        assert "offer" in scripted.receive()
        assert len(scripted.descriptors) == 2
        if completed_steps:
            scripted.send(do="ready")
            assert scripted.receive()["state"] > 0
        if completed_steps == 2:
            scripted.send(do="took")
            assert "yours" in scripted.receive()
        # While no process accepts, this connection waits; the predecessor serves it after the rollback.
        waiting_client = limiter.connect()
        waiting_client.send(command(b"PING"))
        if failure == "dies":
            scripted.close()
        assert "this incarnation continues to serve" in limiter.log("handover: failed in state")
        assert waiting_client.line() == b"+PONG"
        assert limiter.request_control(do="status")["hand_over"] == "whole"
        if failure == "hangs":
            scripted.close()
        successor = limiter.start(("--take-over",))  # The next handover succeeds.
        limiter.replace_process(successor).wait(PATIENCE)
        wait_for_log_line(successor, "handover: done")


def test_successor_exits_with_a_reason_when_it_cannot_take_over(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter:
        limiter.config["settings"]["tiers-of-service"][0]["refill"] = 7.0
        limiter.path.write_text(json.dumps(limiter.config))
        exit_code, log = wait_for_exit(limiter.start(("--take-over",)))
        assert exit_code == 5
        assert "plans or place in the set differ" in log
        assert limiter.request_control(do="status")["phase"] == "serving"
        limiter.terminate()
        wait_for_exit(limiter.process)
        exit_code, log = wait_for_exit(limiter.start(("--take-over",)))
        assert exit_code == 5
        assert "no predecessor to take over from" in log


def test_successor_leaves_name_and_snapshot_alone_when_the_predecessor_ends_before_it_confirms(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter, scripted_predecessor(limiter) as session:
        assert session.receive()["do"] == "take"
        assert hand_over(limiter, session)[-1] == {"do": "serving"}
        state = (limiter.state / "n0.state").read_bytes()
        session.close()
        exit_code, log = wait_for_exit(limiter.process)
        assert exit_code == 5
        assert "handover: rolled back: the predecessor serves" in log
        assert (limiter.state / "n0.state").read_bytes() == state
