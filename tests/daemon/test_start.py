"""Guards the daemon's start and stop: notifications, early signals, its name, activation sockets and imports."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from functools import partial
from pathlib import Path

from tests.daemon.support import wait_for_exit, wait_for_log_line
from tests.limiter import PATIENCE, ROOT, Limiter, command


def test_service_manager_is_notified_when_the_daemon_is_ready_reloads_and_stops(tmp_path: Path) -> None:
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
            assert wait_for_exit(limiter.process).code == 0


def test_signal_is_handled_when_it_comes_before_the_reactor_runs(tmp_path: Path) -> None:
    # A process that is notified of READY=1 may send a signal at once. On a busy machine the signal arrives before the
    # reactor runs.
    code = (
        "import os, signal, sys; from thymeflow import cli; from thymeflow.daemon import service; "
        "run = service.Service.run; "
        "service.Service.run = lambda self: (os.kill(os.getpid(), signal.{0}), run(self))[1]; "
        "sys.argv[1:] = ['serve', '--state', {1!r}]; sys.exit(cli.run())"
    )
    with Limiter(tmp_path, serve=()) as limiter:
        limiter.terminate()
        wait_for_exit(limiter.process)
        for signal_name, log_text in (("SIGHUP", "reload: discovery at"), ("SIGTERM", "phase: draining")):
            limiter.process = subprocess.Popen(
                [sys.executable, "-c", code.format(signal_name, str(limiter.state))],
                cwd=ROOT,
                text=True,
                stderr=subprocess.PIPE,
                env={**os.environ, "BALANCER_CONFIG": str(limiter.path)},
            )
            if signal_name == "SIGHUP":
                limiter.log(log_text)
                limiter.port = int(limiter.log("listening:").rsplit(":", 1)[1])
                limiter.wait_for_reply(b"+PONG", command(b"PING"))
                limiter.terminate()
            exit_code, log = wait_for_exit(limiter.process)
            assert exit_code == 0
            assert signal_name == "SIGHUP" or log_text in log


def test_name_belongs_to_one_process_and_is_free_when_that_is_killed(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter:
        exit_code, log = wait_for_exit(limiter.start(()))
        assert exit_code == 4
        assert f"n0 is held by pid {limiter.process.pid}" in log
        limiter.process.kill()
        limiter.process.communicate()
        assert (limiter.state / "n0.sock").is_symlink()  # The link and the lock file's content are stale.
        limiter.process = limiter.start(())
        wait_for_log_line(limiter.process, "phase: serving")
        assert limiter.request_control(do="status")["pid"] == limiter.process.pid
        assert len(list(limiter.state.glob("*.sock"))) == 2


def test_activation_socket_is_used_when_it_listens_and_reported_when_not(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter:
        limiter.terminate()
        wait_for_exit(limiter.process)
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
        with socket.create_server(("127.0.0.1", 0)) as listening, socket.socket() as idle:
            for passed, is_usable in ((idle, False), (listening, True)):
                # Only the child process uses descriptor 3: in this process it belongs to the test runner.
                process = subprocess.Popen(
                    shell,
                    cwd=ROOT,
                    env=environment,
                    pass_fds=(3,),
                    text=True,
                    stderr=subprocess.PIPE,
                    preexec_fn=partial(os.dup2, passed.fileno(), 3),
                )
                if is_usable:
                    limiter.process = process
                    limiter.port = listening.getsockname()[1]
                    wait_for_log_line(process, "phase: serving")
                    limiter.wait_for_reply(b"+PONG", command(b"PING"))
                else:
                    exit_code, log = wait_for_exit(process)
                    assert exit_code == 3
                    assert "descriptor 3 is a socket that does not listen" in log


def test_plain_run_imports_no_package_that_it_does_not_use() -> None:
    code = (
        "import sys, thymeflow.__main__, thymeflow.limiter.assembly, twisted.internet.reactor; "
        "print(sorted(m for m in sys.modules if m.split('.')[0] in "
        "('click', 'structlog', 'msgspec', 'rich', 'xxhash', 'psutil') or m.startswith("
        "('thymeflow.cli', 'thymeflow.daemon', 'thymeflow.fleet', 'thymeflow.testkit', 'thymeflow.logs', "
        "'thymeflow.settings', 'thymeflow.snapshot', 'thymeflow.handover', 'thymeflow.leases', "
        "'thymeflow.outliers', 'thymeflow.shedding'))))"
    )
    completed = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == "[]"
