"""Guards the framing of control sockets and the messages of a handover, which two versions of the program exchange."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any, cast

from tests.control_session import control_session
from tests.daemon.support import hand_over, restart, scripted_predecessor
from tests.limiter import Limiter
from tests.recorded_messages import ALLOCATION, Json, assert_as_recorded, masked
from thymeflow.handover.control_socket import MAX_LINE_BYTES, ControlConnection, Message

STATE_HEAD_BYTES = 21  # The length of a snapshot's magic and version.


class RecordingTransport:
    """A transport that records the written bytes and descriptors."""

    def __init__(self) -> None:
        self.written: list[str | int] = []

    def write(self, data: bytes) -> None:
        """Record bytes."""
        self.written.append(data.decode())

    def sendFileDescriptor(self, descriptor: int) -> None:
        """Record a descriptor."""
        self.written.append(descriptor)

    def loseConnection(self) -> None:
        """Record that the connection is closed."""
        self.written.append("closed")


class RecordingConnection(ControlConnection):
    """A control connection that records its messages."""

    def __init__(self) -> None:
        super().__init__()
        self.recording = RecordingTransport()
        self.transport = cast("Any", self.recording)
        self.messages: list[Message] = []

    def on_message(self, message: Message) -> None:
        """Record a message."""
        self.messages.append(message)


def test_control_connection_has_the_same_framing_when_messages_are_written_and_read() -> None:
    connection = RecordingConnection()
    connection.send({"ok": True, "why": "é", "n": [1, 2.5, None]}, 7, 8)
    for data in (b'{"do":"sta', b'tus"}\n{"do":', b'"watch","x":[1]}\n\n'):
        connection.dataReceived(data)
    rejected = []
    for data in (b"[]\n", b"x" * (MAX_LINE_BYTES + 1), b"{}" + b" " * MAX_LINE_BYTES + b"\n", b"\xff\n"):
        other = RecordingConnection()
        other.dataReceived(data)
        rejected.append([other.recording.written, other.messages])
    assert_as_recorded("control line", [connection.recording.written, connection.messages, rejected])


def test_messages_of_the_sender_are_the_same_when_a_receiver_takes_over(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter:
        restart(limiter, part=ALLOCATION)
        client = limiter.connect()
        backend = limiter.serve_request(client, 1)
        with control_session(limiter.state / "n0.sock") as session:
            site = (limiter.state / "n0.state").read_text().split(" ")[2]
            session.send(do="take", life="0b1c2d3e", pid=os.getpid(), site=site)
            messages: list[Json] = [masked(session.receive()), len(session.descriptors)]
            rejection = limiter.request_control(do="take", life="x", pid=1, site=site)
            session.send(do="took")  # The sender rejects this message, because it has not sent the state yet.
            messages += [rejection, session.receive()]
            session.send(do="ready")
            transfer = session.receive()
            state = os.pread(session.descriptors[-1], transfer["state"] + 1, 0)
            is_complete = len(state) == transfer["state"]
            messages += [list(transfer), transfer["held"], transfer["part"], is_complete]
            messages.append(state[:STATE_HEAD_BYTES].decode())
            limiter.serve_request(client, 2, backend)
            session.send(do="took")
            messages.append(session.receive())
            session.send(do="serving")
            messages += [session.receive(), sorted(session.receive_with("held"))]
            limiter.terminate()
            messages += [session.receive_with("late"), session.receive_with("bye")]
    assert_as_recorded("handover sender", messages)


def test_messages_of_the_receiver_are_the_same_when_it_takes_over(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter, scripted_predecessor(limiter) as session:
        request = session.receive()
        state = (limiter.state / "n0.state").read_bytes()
        messages: list[Json] = [masked(request), request["site"] == state.split(b" ")[2].decode()]
        messages += hand_over(limiter, session)
        session.send(draining=True)
        session.send(late={"1": 2.0, "7": -1.0})
        session.send(bye=1)
        messages.append(limiter.log("handover: 0 of").partition("handover: ")[2])
        messages.append(session.connection.recv(10).decode())
        session.close()
        messages.append(limiter.request_control(do="status")["snapshot"]["remembered_from"])
    assert_as_recorded("handover receiver", messages)
