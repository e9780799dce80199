"""Reads a client's command as a request for the dispatcher. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from thymeflow.core.types import IncomingRequest
from thymeflow.decision.events import RequestReceived
from thymeflow.transport.commands import Call, CallError, CallReader

REQUEST_OVERHEAD_BYTES = 2048  # bytes of memory that a request takes in addition to its text
LATE_READ_SECONDS = 0.005  # a request that was unread for longer was delayed; an ordinary turn delays it for less


class RequestRegistry(Protocol):
    """Knows the requests that are open, and those that must not be executed again."""

    def is_open(self, request_id: str) -> bool:
        """Return whether the request with an id has not ended."""

    def may_have_executed(self, request_id: str) -> bool:
        """Return whether a request that is not safe to repeat and had this id may have been executed."""


def read_request(reader: CallReader, registry: RequestRegistry, arguments: list[bytes]) -> tuple[Call, RequestReceived]:
    """Return the call and the request of a command.

    :raises CallError: if the command is invalid, or its id must not be used now; its text is for the client.
    """
    call, request = reader.read(arguments)
    if registry.is_open(request.id):
        message = "that id is in hand"
        raise CallError(message)
    if request.is_write and registry.may_have_executed(request.id):
        message = "that id may have been executed"
        raise CallError(message)
    return call, request


def build_incoming_request(  # each is a fact about the command
    call: Call,
    request: RequestReceived,
    *,
    arrived_at: float,
    now: float,
    deadline: float,
    exit_deadline: float,
    is_connected: Callable[[], bool],
) -> IncomingRequest:
    """Return a request for the dispatcher; the times are those of `clock.now`.

    The request's time began when it arrived at this machine. The gateway gets the time that remains after a stall or
    behind earlier commands, and no more than remains until a process that is shutting down exits.
    """
    size = REQUEST_OVERHEAD_BYTES + len(call.terms_before_wait) + len(call.terms_after_wait) + len(call.body or b"")
    is_late = now - arrived_at > LATE_READ_SECONDS
    if call.body_stream is None and (is_late or deadline == exit_deadline):
        request = request._replace(remaining=deadline - now)
    return IncomingRequest(request, deadline, call, size, is_connected)
