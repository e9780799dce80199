"""A connection to a control socket that a test reads and writes itself."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from tests.limiter import PATIENCE
from tests.recorded_messages import Json

RECEIVE_BYTES = 65536
MAX_DESCRIPTORS = 4


class ControlSession:
    """Messages, a line each, and the descriptors that came with them."""

    def __init__(self, connection: socket.socket) -> None:
        connection.settimeout(PATIENCE)
        self.connection = connection
        self.descriptors: list[int] = []
        self._unread = b""

    def send(self, *descriptors: int, **message: object) -> None:
        """Write a message with descriptors beside it."""
        data = json.dumps(message).encode() + b"\n"
        socket.send_fds(self.connection, [data], list(descriptors))

    def receive(self) -> dict[str, Json]:
        """Return the next message."""
        while b"\n" not in self._unread:
            data, descriptors, _, _ = socket.recv_fds(self.connection, RECEIVE_BYTES, MAX_DESCRIPTORS)
            assert data, "the other end has closed"
            self._unread += data
            self.descriptors += descriptors
        line, _, self._unread = self._unread.partition(b"\n")
        message: dict[str, Json] = json.loads(line)
        return message

    def receive_with(self, key: str) -> dict[str, Json]:
        """Return the next message that has the key; others are ignored."""
        while key not in (message := self.receive()):
            pass
        return message

    def close(self) -> None:
        """Close the connection and all descriptors."""
        for descriptor in self.descriptors:
            os.close(descriptor)
        self.connection.close()


def connect_session(path: Path) -> ControlSession:
    """Return a session with the control socket at a path."""
    connection = socket.socket(socket.AF_UNIX)
    connection.connect(str(path))
    return ControlSession(connection)


@contextmanager
def control_session(path: Path) -> Iterator[ControlSession]:
    """Open a session with the control socket at a path, and close it in the end."""
    session = connect_session(path)
    try:
        yield session
    finally:
        session.close()
