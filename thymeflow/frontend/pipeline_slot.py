"""One command of a client connection and its response, from the command's arrival to the response's last byte."""

from __future__ import annotations

from math import inf

from twisted.internet.defer import Deferred

from thymeflow.core.types import Response, ResponseKind
from thymeflow.decision.events import RequestReceived
from thymeflow.runtime import clock
from thymeflow.transport import resp
from thymeflow.transport.value_stream import ValueStream


class PipelineSlot:
    """One command's position in the order of responses."""

    __slots__ = (
        "body",
        "buffering_deadline",
        "buffering_timer",
        "deadline",
        "is_started",
        "request",
        "request_body",
        "reserved_bytes",
        "response",
        "response_deferred",
        "response_received_at",
        "response_stream",
    )

    def __init__(
        self,
        response: bytes | bytearray | None = None,
        request: RequestReceived | None = None,
        body: ValueStream | None = None,
    ) -> None:
        self.response = response  # the encoded response, or only its head if it is streamed; None until it is known
        self.request = request
        self.response_deferred: Deferred[Response] | None = None
        self.body = body  # an incomplete streamed request body, whose end the response waits for
        self.request_body = body  # the same body also after it has arrived, while a backend has not taken all of it
        self.response_received_at = 0.0  # time at which the response, or the head of a streamed one, was known
        self.response_stream: ValueStream | None = None  # a streamed response, whose head is `response`
        self.is_started = False  # the head of a streamed response has been written
        self.deadline = inf  # time until which the client waits; inf while the body of its request is incomplete
        self.reserved_bytes = 0  # bytes of memory that are reserved for a streamed response
        self.buffering_deadline = inf  # time at which a streamed response begins though it has not arrived completely
        self.buffering_timer = clock.NOT_SCHEDULED  # the call at that time

    def try_append(self, reply: bytes) -> bool:
        """Append the reply to the next command, if this slot holds replies to commands without a request."""
        if self.request is not None or self.response is None or self.body is not None:
            return False
        if not isinstance(self.response, bytearray):
            self.response = bytearray(self.response)
        self.response += reply
        return True

    def is_ready(self) -> bool:
        """Return whether the response, or the head of a streamed one, can be written and has not been written yet."""
        return self.response is not None and self.body is None and not self.is_started

    def can_be_replaced(self) -> bool:
        """Return whether the response to a request is known, is not streamed, and waits to be written."""
        return self.request is not None and self.response is not None and self.response_stream is None

    def get_request_id(self) -> str:
        """Return the id of the request, for log lines; empty for a command without a request."""
        return "" if self.request is None else self.request.id

    def is_awaiting_memory(self) -> bool:
        """Return whether a streamed response, whose turn has come, waits for memory to be buffered in."""
        return self.buffering_deadline < inf and not self.is_started and not self.reserved_bytes

    def can_break_off(self) -> bool:
        """Return whether a streamed response has begun or is held back, and its backend has not sent all of it."""
        if self.response_stream is None or self.response_stream.has_arrived():
            return False
        return self.is_started or self.buffering_deadline < inf


def encode_response(response: Response) -> bytes:
    """Return a final response encoded as RESP2; `retry_after` is rounded up to whole milliseconds."""
    if response.kind is ResponseKind.SERVED:
        return resp.bulk(response.value) if response.stream is None else resp.bulk_head(response.stream.length)
    if response.kind is ResponseKind.FAILED:
        return b"-ERR failed\r\n"
    return b"-BUSY %d\r\n" % -int(-response.retry_after * 1000.0 // 1) if response.retry_after > 0.0 else b"-BUSY\r\n"
