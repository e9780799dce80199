"""A request for the complete endpoint list, in addition to the watch."""

from __future__ import annotations

from collections.abc import Callable

from twisted.python.failure import Failure

from thymeflow.discovery.endpoint_stream import EndpointStream, parse_message
from thymeflow.discovery.timeouts import CONNECT_TIMEOUT, POLLED_IDLE_TIMEOUT
from thymeflow.platform.endpoints import Address, EndpointUpdate
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.transport.connections import dial


class CompleteListRequest:
    """One request for the complete list, from the connect to the end of the response or the timeout."""

    def __init__(
        self, deadlines: clock.Deadlines, address: Address, apply_update: Callable[[EndpointUpdate], None]
    ) -> None:
        self._deadlines = deadlines
        self._address = address
        self._apply_update = apply_update
        self._timeout_call = clock.NOT_SCHEDULED

    def build_stream(self) -> EndpointStream:
        """Return the protocol of the connection, which sends the request and parses the response."""
        return EndpointStream("/api/targets", self._address, self._on_message, self._on_ended)

    def on_connected(self, stream: EndpointStream) -> None:
        """Set the timeout of the response."""
        self._timeout_call = self._deadlines.schedule(
            clock.now() + POLLED_IDLE_TIMEOUT, lambda _: stream.end("timeout of the complete list")
        )

    def on_connect_failed(self, _: Failure) -> None:
        """Log that the request could not be sent."""
        log.emit_rate_limited(
            LogKind.DISCOVERY, f"complete endpoint list not requested: connect to discovery at {self._address} failed"
        )

    def _on_message(self, _: EndpointStream, message: bytes) -> None:
        update = parse_message(message)
        if update is not None:
            self._apply_update(update)

    def _on_ended(self, _stream: EndpointStream, _reason: str) -> None:
        self._deadlines.cancel(self._timeout_call)


def fetch_complete_list(
    reactor: object,
    deadlines: clock.Deadlines,
    address: Address,
    apply_update: Callable[[EndpointUpdate], None],
) -> None:
    """Request the complete list once and apply it; after a failure, the known list stays in force."""
    request = CompleteListRequest(deadlines, address, apply_update)
    connected = dial(reactor, deadlines, address, clock.now() + CONNECT_TIMEOUT, request.build_stream)
    connected.addCallbacks(request.on_connected, request.on_connect_failed)
