"""The real program in operation: draining backends, broken watches, signals, and starts that fail."""

from __future__ import annotations

import os
import select
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from tests.limiter import PATIENCE, ROOT, Limiter, Listener, command, request
from tests.network_support import SERVED_REPLY, SMALL_PLAN


def test_backend_gets_no_new_request_and_completes_open_ones_when_it_drains(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        (watch, request_line), listener = limiter.watch(), limiter.backends[0]
        assert request_line == b"GET /api/targets?stream=1&index=41 HTTP/1.1"
        client = limiter.connect()
        other = limiter.connect()
        client.send(request(1))
        server = listener.accept()
        server.read_command()
        other.send(request(2))
        idle = listener.accept()
        idle.read_command()
        idle.send(SERVED_REPLY)
        assert other.read_bulk() == b"value"
        limiter.send_endpoint_change(watch, 42, limiter.entry(0, "leaving"))
        assert idle.is_closed_by_peer()  # So the limiter has read the change.
        other.send(request(3))
        assert other.line().startswith(b"-BUSY ")
        assert listener.has_no_connection(0.2)
        server.send(SERVED_REPLY)
        assert client.read_bulk() == b"value"
        assert server.is_closed_by_peer()
        limiter.send_endpoint_change(watch, 43, limiter.entry(0))
        for number in range(4, 10000):  # Requests are rejected until the limiter has read this change.
            client.send(request(number))
            if listener.sock in select.select([client.sock, listener.sock], [], [], PATIENCE)[0]:
                break
            assert client.line().startswith(b"-BUSY ")
        listener.serve(SERVED_REPLY)
        assert client.read_bulk() == b"value"


def test_watch_resumes_from_its_last_version_when_it_breaks_and_ping_waits_for_a_list(tmp_path: Path) -> None:
    with Limiter(tmp_path, known=False) as limiter:
        client = limiter.connect()
        client.send(command(b"PING"))
        assert client.line().startswith(b"-LOADING")
        watch, _ = limiter.watch()
        limiter.send_endpoint_change(watch, 44, limiter.entry(0))
        limiter.wait_for_reply(b"+PONG", command(b"PING"))
        watch.send(b"4\r\n{[]\n\r\n")  # The message is not JSON, so the list stays.
        second_watch, request_line = limiter.watch()
        assert request_line == b"GET /api/targets?stream=1&index=44 HTTP/1.1"
        second_watch.send(b"zz\r\n")  # an invalid chunk
        third_watch, request_line = limiter.watch()
        assert b"index=44 " in request_line
        third_watch.close()
        limiter.wait_for_reply(b"+PONG", command(b"PING"))


def test_limiter_accepts_clients_for_a_short_time_and_completes_requests_when_it_gets_sigterm(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        idle = limiter.connect()
        client = limiter.connect()
        client.send(request(1))
        server = limiter.backends[0].accept()
        server.read_command()
        terminated_at = time.monotonic()
        limiter.terminate()
        limiter.log("phase: draining")  # A rate-limited line would be omitted so soon after the previous one.
        limiter.wait_for_reply(b"+PONG", command(b"PING"))  # New connections are still accepted.
        assert idle.is_closed_by_peer()  # An idle client is closed, but not at once.
        assert time.monotonic() - terminated_at > 0.5
        assert limiter.process.poll() is None
        server.send(SERVED_REPLY)
        assert client.read_bulk() == b"value"
        assert client.is_closed_by_peer()
        assert limiter.process.wait(PATIENCE) == 0


def test_no_request_is_lost_when_a_reload_changes_the_addresses_of_discovery_and_counter(tmp_path: Path) -> None:
    with Limiter(tmp_path, **SMALL_PLAN) as limiter:
        old_watch, _ = limiter.watch()
        limiter.send_endpoint_change(old_watch, 42, limiter.entry(0))
        old_peers = [limiter.counter.accept() for _ in range(3)]
        client = limiter.connect()
        client.send(request(1))
        server = limiter.backends[0].accept()
        server.read_command()
        ready = select.select([peer.sock for peer in old_peers], [], [], PATIENCE)[0]
        discovery = Listener()
        counter = Listener()
        for _ in range(2):  # The second reload changes nothing.
            limiter.reload(discovery=discovery.address, counter=counter.address)
        new_watch, request_line = limiter.watch(discovery)
        assert b"index=42 " in request_line
        assert old_watch.is_closed_by_peer()
        # Counter connections without a pending call are closed at once.
        assert all(peer.is_closed_by_peer() for peer in old_peers if peer.sock not in ready)
        server.send(SERVED_REPLY)
        assert client.read_bulk() == b"value"  # The list and the request were kept.
        new_peers = [counter.accept() for _ in range(3)]
        client.send(request(2, extra=",new=1"))
        server.read_command()
        assert select.select([peer.sock for peer in new_peers], [], [], PATIENCE)[0]
        server.send(SERVED_REPLY)
        assert client.read_bulk() == b"value"
        limiter.send_endpoint_change(new_watch, 43, limiter.entry(0, "leaving"))
        assert server.is_closed_by_peer()  # The change from the new watch was applied.


@pytest.mark.parametrize("text", ["{", "", "{}", '{"listen": "127.0.0.1:0", "discovery": 7, "settings": {}}'])
def test_old_settings_stay_in_force_when_the_file_is_invalid_at_sighup(tmp_path: Path, text: str) -> None:
    with Limiter(tmp_path) as limiter:
        limiter.watch()
        limiter.path.write_text(text)
        limiter.process.send_signal(signal.SIGHUP)
        assert "the old settings stay" in limiter.log("reload:")
        limiter.wait_for_reply(b"+PONG", command(b"PING"))
        limiter.terminate()
        limiter.process.send_signal(signal.SIGHUP)  # during the shutdown, and together with the signal that causes it
        assert limiter.process.wait(PATIENCE) == 0


def test_start_fails_with_one_line_when_the_address_is_in_use(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        path = tmp_path / "config.json"
        path.write_text(path.read_text().replace("127.0.0.1:0", f"127.0.0.1:{limiter.port}"))
        completed = subprocess.run(
            [sys.executable, "-m", "thymeflow"],
            cwd=ROOT,
            text=True,
            capture_output=True,
            timeout=PATIENCE,
            env={**os.environ, "BALANCER_CONFIG": str(path)},
        )
    assert (completed.returncode, completed.stderr.count("\n")) == (3, 1)
    assert completed.stderr.startswith("thymeflow: cannot listen: ")


@pytest.mark.parametrize(
    "text",
    [
        "{",
        "[]",
        "{}",
        None,
        '{"listen": "here", "discovery": "127.0.0.1:1", "settings": {}}',
        '{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {"azs": ["a"], "classes": [{"name": "x"}]}}',
    ],
)
def test_start_fails_with_one_line_when_the_configuration_is_invalid(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    completed = subprocess.run(
        [sys.executable, "-m", "thymeflow"],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=PATIENCE,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
    )
    assert completed.returncode == 2
    assert completed.stderr.startswith("thymeflow: bad configuration: ")
    assert completed.stderr.count("\n") == 1
