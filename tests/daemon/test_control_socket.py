"""Guards against requests and callers of the control socket that stop or block a running daemon."""

from __future__ import annotations

import contextlib
import json
import socket
from pathlib import Path

from tests.daemon.support import RESPONSE, poll_until
from tests.limiter import PATIENCE, Limiter, command, request

FEW_CALLERS = {"THYMEFLOW_DAEMON_CONTROL_CALLERS": "2", "THYMEFLOW_DAEMON_CONTROL_PATIENCE": "300ms"}


def test_request_is_rejected_with_its_cause_when_it_is_invalid(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter:
        for invalid, cause in (
            ({"do": "fly"}, "'do' is 'fly'"),
            ({"do": "drain", "linger": -1}, "linger is '-1'"),
            ({"do": "drain", "linger": True}, "linger"),
            ({"do": "level", "level": 3}, "level is '3'"),
            ({"do": ["status"]}, "'do' is"),
            ({"do": "ready"}, "'do' is"),
        ):
            response = limiter.request_control(**invalid)
            assert response["ok"] is False
            assert cause in response["why"]


def test_control_socket_stays_usable_when_callers_are_malformed_or_hang(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=(), environment=FEW_CALLERS) as limiter:
        path = limiter.state / "n0.sock"
        assert path.stat().st_mode & 0o777 == 0o600
        for malformed in (b"no json\n", b"[]\n", b"[" * 60000 + b"\n", b"x" * 70000):
            with socket.socket(socket.AF_UNIX) as caller:
                caller.connect(str(path))
                caller.settimeout(PATIENCE)
                with contextlib.suppress(BrokenPipeError, ConnectionResetError):
                    caller.sendall(malformed)
                    assert b'"ok":false' in caller.recv(4096)
        hung = [socket.socket(socket.AF_UNIX) for _ in range(2)]
        for caller in hung:
            caller.connect(str(path))
            caller.sendall(b'{"do":')  # The caller never completes this line.

        def is_answering() -> bool:
            with contextlib.suppress(OSError, ValueError):
                return bool(limiter.request_control(do="status")["ok"])
            return False

        poll_until(is_answering)  # The daemon disconnects hung callers, which frees their slots.
        for caller in hung:
            caller.close()
        assert limiter.request_control(do="level", level="error")["ok"]
        limiter.wait_for_reply(b"+PONG", command(b"PING"))


def test_number_of_limiters_changes_when_the_platform_file_is_reloaded(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter:
        client = limiter.connect()
        client.send(request(1).replace(b"first=0", b"first=3"))
        assert client.line().startswith(b"-ERR")
        limiter.config["settings"]["balancers"] = 4
        limiter.path.write_text(json.dumps(limiter.config))
        assert limiter.request_control(do="reload")["ok"]
        assert limiter.request_control(do="status")["gateways"] == 4
        client.send(request(2).replace(b"spread=1,first=0", b"spread=2,first=3"))
        backend = limiter.backends[0].accept()
        backend.read_command()
        backend.send(RESPONSE)
        assert client.read_bulk() == b"value"
        limiter.path.write_text("{")
        assert not limiter.request_control(do="reload")["ok"]
        assert limiter.request_control(do="status")["gateways"] == 4
