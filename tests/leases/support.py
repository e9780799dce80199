"""Tests' means to look at the allocations of a fleet of processes, and to hold back its messages."""

from __future__ import annotations

import contextlib
import json
import os
import select
import socket
import threading
import time
from pathlib import Path
from typing import Any

from tests.fleet.support import FleetOf
from tests.limiter import PATIENCE
from thymeflow.leases import grant_file
from thymeflow.leases.resources import TOTAL_POINTS, Resource


def amounts_in_force(fleet: FleetOf) -> dict[str, dict[str, int]]:
    """Return the points that each member reports as usable now, by resource."""
    return {m["name"]: m["told"]["part"]["in_force"] for m in fleet.status()["members"] if m["told"].get("part")}


def wait_until(fleet: FleetOf, reached: Any, kept: bool = True) -> dict[str, dict[str, int]]:
    """Wait until the amounts in force are as wanted; each time check that the grant file, which precedes them, adds up.

    Members report at different moments, so the sum of their amounts is not checked.
    """
    end = time.monotonic() + PATIENCE
    while True:
        parts = amounts_in_force(fleet)
        rows = grant_file.unpack((fleet.state / "fleet.grants").read_bytes(), "n").rows.values() if kept else ()
        for place in range(len(Resource)):
            assert sum(row.noted[place] + row.noted[place + len(Resource)] for row in rows) <= TOTAL_POINTS, rows
        if reached({name: part["places"] / TOTAL_POINTS for name, part in parts.items()}):
            return parts
        assert time.monotonic() < end, parts
        time.sleep(0.05)


class ControlSocketProxy(threading.Thread):
    """A proxy on a member's control socket for new connections; it can hold back messages of one direction."""

    def __init__(self, state: Path, name: str) -> None:
        super().__init__(daemon=True)
        path, own = state / f"{name}.sock", state / f"{name}-relay"
        self.real, self.silent, self._over = state / os.readlink(path), set[str](), False
        self._listener = socket.socket(socket.AF_UNIX)
        self._listener.bind(str(own))
        self._listener.listen()
        (state / "link").symlink_to(own.name)
        os.replace(state / "link", path)
        self._ways: dict[socket.socket, tuple[socket.socket, str, bytearray]] = {}  # peer, direction and data held back

    def run(self) -> None:
        while not self._over:
            ready = select.select([self._listener, *self._ways], [], [], 0.02)[0]
            if self._listener in ready:
                near, far = self._listener.accept()[0], socket.socket(socket.AF_UNIX)
                far.connect(str(self.real))
                self._ways |= {near: (far, "down", bytearray()), far: (near, "up", bytearray())}
            for end, (other, way, kept) in list(self._ways.items()):
                with contextlib.suppress(OSError):
                    if end in ready:
                        data = end.recv(65536)
                        kept += data
                        if not data:
                            self._ways = {e: w for e, w in self._ways.items() if e not in (end, other)}
                            end.close()
                            other.close()
                            continue
                    if kept and way not in self.silent:
                        other.sendall(kept)
                        kept.clear()

    def __enter__(self) -> ControlSocketProxy:
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._over = True
        self.join()
        for end in (self._listener, *self._ways):
            end.close()


def reported_allocation(fleet: FleetOf, number: int, path: Path | None = None) -> dict[str, Any]:
    """Return the allocation in a member's status at its own control socket."""
    with socket.socket(socket.AF_UNIX) as line:
        line.settimeout(PATIENCE)
        line.connect(str(path or fleet.state / f"n{number}.sock"))
        line.sendall(b'{"do":"status"}\n')
        found: dict[str, Any] = json.loads(line.makefile().readline())["part"]
        return found
