"""Access to the allocations in a fleet of processes, and a proxy that delays messages of its control sockets."""

from __future__ import annotations

import contextlib
import json
import os
import select
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.fleet.support import RunningFleet
from tests.limiter import PATIENCE
from thymeflow.leases import grant_file
from thymeflow.leases.resources import TOTAL_POINTS, Resource


def fetch_amounts_in_force(fleet: RunningFleet) -> dict[str, dict[str, int]]:
    """Return the points that each member reports as usable, by member and resource."""
    members = fleet.status()["members"]
    return {member["name"]: member["told"]["part"]["in_force"] for member in members if member["told"].get("part")}


def wait_until(
    fleet: RunningFleet, is_reached: Callable[[dict[str, float]], bool], has_grant_file: bool = True
) -> dict[str, dict[str, int]]:
    """Wait until `is_reached` accepts the fractions of the concurrency in force, by member; return all amounts.

    Each check also asserts that the amounts in the grant file do not exceed the total. The sum of the amounts that
    members report is not checked, because members report at different moments.
    """
    end = time.monotonic() + PATIENCE
    while True:
        amounts = fetch_amounts_in_force(fleet)
        rows = (
            grant_file.unpack((fleet.state_folder / "fleet.grants").read_bytes(), "n").rows.values()
            if has_grant_file
            else ()
        )
        for index in range(len(Resource)):
            assert sum(row.noted[index] + row.noted[index + len(Resource)] for row in rows) <= TOTAL_POINTS, rows
        if is_reached({name: amount["places"] / TOTAL_POINTS for name, amount in amounts.items()}):
            return amounts
        assert time.monotonic() < end, amounts
        time.sleep(0.05)


class ControlSocketProxy(threading.Thread):
    """A proxy for new connections to a member's control socket; it can delay the messages of one direction."""

    def __init__(self, state: Path, name: str) -> None:
        super().__init__(daemon=True)
        path = state / f"{name}.sock"
        proxy_path = state / f"{name}-proxy"
        self.real_path = state / os.readlink(path)
        self.delayed = set[str]()  # delayed directions: "up" from the member, "down" to the member
        self._is_closed = False
        self._listener = socket.socket(socket.AF_UNIX)
        self._listener.bind(str(proxy_path))
        self._listener.listen()
        (state / "link").symlink_to(proxy_path.name)
        os.replace(state / "link", path)
        # By socket: the socket to which its data goes, the direction, and the data that was not forwarded yet.
        self._directions: dict[socket.socket, tuple[socket.socket, str, bytearray]] = {}

    def run(self) -> None:
        """Forward messages until the proxy is stopped."""
        while not self._is_closed:
            ready = select.select([self._listener, *self._directions], [], [], 0.02)[0]
            if self._listener in ready:
                caller = self._listener.accept()[0]
                member = socket.socket(socket.AF_UNIX)
                member.connect(str(self.real_path))
                self._directions[caller] = (member, "down", bytearray())
                self._directions[member] = (caller, "up", bytearray())
            for end, (other, direction, delayed) in list(self._directions.items()):
                with contextlib.suppress(OSError):
                    if end in ready:
                        data = end.recv(65536)
                        delayed += data
                        if not data:
                            self._directions = {
                                known: value for known, value in self._directions.items() if known not in (end, other)
                            }
                            end.close()
                            other.close()
                            continue
                    if delayed and direction not in self.delayed:
                        other.sendall(delayed)
                        delayed.clear()

    def __enter__(self) -> ControlSocketProxy:
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._is_closed = True
        self.join()
        for end in (self._listener, *self._directions):
            end.close()


def fetch_reported_allocation(fleet: RunningFleet, number: int, path: Path | None = None) -> dict[str, Any]:
    """Return the allocation in the status that a member returns on its own control socket."""
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(PATIENCE)
        connection.connect(str(path or fleet.state_folder / f"n{number}.sock"))
        connection.sendall(b'{"do":"status"}\n')
        allocation: dict[str, Any] = json.loads(connection.makefile().readline())["part"]
        return allocation
