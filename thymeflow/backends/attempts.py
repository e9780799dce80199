"""The record of one attempt that is in progress."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from thymeflow.backends.connections import Connection
from thymeflow.core.types import AttemptResult, AttemptSpec
from thymeflow.runtime import clock
from thymeflow.transport.commands import Call


class Attempt:
    """An attempt that was started and has no result yet."""

    __slots__ = ("connection", "result_deferred", "spec", "started_at", "timeout_call")

    def __init__(self, spec: AttemptSpec, result_deferred: Deferred[AttemptResult]) -> None:
        self.spec = spec
        self.result_deferred = result_deferred
        self.started_at = clock.now()
        self.connection: Connection | None = None  # the connection that it was written to; None while it waits for one
        self.timeout_call = clock.NOT_SCHEDULED

    def get_request_id(self) -> str:
        """Return the id of the request, for log lines."""
        payload = self.spec.payload
        return payload.id.decode() if isinstance(payload, Call) else ""

    def describe_progress(self) -> str:
        """Return the request's id, the age of the attempt and what was sent and received, for log lines."""
        parts = [f"request {self.get_request_id()}", f"{clock.now() - self.started_at:.3f} s after its start"]
        connection = self.connection
        if connection is None:
            parts.append("waiting for a connection")
        elif connection.body_stream is not None:
            body = connection.body_stream
            parts.append(f"{body.count_forwarded_bytes()} of {body.length} bytes of its body written")
        elif connection.reply_stream is not None:
            reply = connection.reply_stream
            parts.append(f"{reply.arrived_bytes} of {reply.length} bytes of its response received")
        return ", ".join(parts)
