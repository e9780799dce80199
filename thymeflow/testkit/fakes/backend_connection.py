"""A connection to a fake backend: requests are parsed, and responses written in the order of their requests."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any, Protocol

from twisted.internet import protocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from thymeflow.testkit.fakes.backend_records import ReceivedRequest
from thymeflow.transport import resp

QUERY_VERB = b"SVC.QUERY"
SUBMIT_VERB = b"SVC.SUBMIT"  # with an idempotency key
MIN_REQUEST_ITEMS = 4  # verb, customer, request id, terms


class RequestHandler(Protocol):
    """The backend that a connection belongs to."""

    connections: set[BackendConnection]

    def on_request(
        self,
        customer: str,
        request_id: str,
        terms: dict[str, str],
        has_idempotency_key: bool,
        respond: Callable[[bytes], None],
    ) -> ReceivedRequest | None:
        """Handle a request; return None where it is rejected."""

    def earliest_arrival(self) -> float:
        """Return the earliest time at which what is read now can have arrived."""


@dataclass(slots=True)
class _ResponseSlot:
    """The place of one response in the order of a connection."""

    response: bytes | None = None


def parse_terms(text: bytes) -> dict[str, str]:
    """Parse the `name=value` list of a request."""
    terms: dict[str, str] = {}
    for pair in text.decode("ascii", "replace").split(","):
        name, _, value = pair.partition("=")
        terms[name] = value
    return terms


class BackendConnection(protocol.Protocol):
    """One connection from a limiter."""

    transport: Any  # Twisted's transports share no static type

    def __init__(self, backend: RequestHandler) -> None:
        self._backend = backend
        self._parser = resp.Parser()
        self._slots: deque[_ResponseSlot] = deque()
        self._in_flight: list[ReceivedRequest] = []
        self._is_closed = False

    def connectionMade(self) -> None:
        """Register with the backend."""
        self._backend.connections.add(self)
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        """Handle the requests that are complete; reset the connection on malformed bytes."""
        messages, error = self._parser.feed(data)
        for message in messages:
            self._on_message(message)
        if error:
            self.transport.abortConnection()

    def _on_message(self, message: resp.Event) -> None:
        if not isinstance(message, list):
            self._respond(b"-ERR unknown\r\n")
        elif len(message) < MIN_REQUEST_ITEMS or message[0] not in (QUERY_VERB, SUBMIT_VERB):
            is_handshake = message[:1] in ([b"CLIENT"], [b"SELECT"])
            self._respond(b"+OK\r\n" if is_handshake else b"-ERR unknown\r\n")
        else:
            self._on_request(message)

    def _on_request(self, message: list[resp.Value]) -> None:
        verb, customer, request_id, terms = message[:MIN_REQUEST_ITEMS]
        assert isinstance(customer, bytes)
        assert isinstance(request_id, bytes)
        assert isinstance(terms, bytes)
        slot = _ResponseSlot()
        self._slots.append(slot)

        def respond(response: bytes) -> None:
            """Fill the slot of this request."""
            slot.response = response
            self._write_ready()

        request = self._backend.on_request(
            customer.decode(), request_id.decode(), parse_terms(terms), verb == SUBMIT_VERB, respond
        )
        if request is not None:
            self._in_flight = [other for other in self._in_flight if other.ended_at == inf]
            self._in_flight.append(request)

    def _respond(self, response: bytes) -> None:
        self._slots.append(_ResponseSlot(response))
        self._write_ready()

    def _write_ready(self) -> None:
        while self._slots and self._slots[0].response is not None:
            response = self._slots.popleft().response
            if not self._is_closed and response:
                self.transport.write(response)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  # Twisted passes it
        """End the requests in flight."""
        self._is_closed = True
        self._backend.connections.discard(self)
        for request in self._in_flight:
            request.ended_at = min(request.ended_at, self._backend.earliest_arrival())
