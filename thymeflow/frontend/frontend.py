"""The factory of client connections: admits, limits, evicts and drains them."""

from __future__ import annotations

from heapq import nlargest
from math import inf
from typing import Protocol

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from thymeflow.core.dispatcher import RequestDispatcher
from thymeflow.decision.settings import GatewaySettings
from thymeflow.frontend.client_connection import ClientConnection as ClientConnection
from thymeflow.frontend.pipeline import PipelineSlot as PipelineSlot
from thymeflow.frontend.pipeline import ResponseMemory
from thymeflow.frontend.timeouts import CROWDED_IDLE_TIMEOUT, DRAIN_GRACE, IDLE_TIMEOUT
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.runtime.slot_table import SlotTable
from thymeflow.transport.commands import CallReader
from thymeflow.transport.connections import has_unread_bytes

SWEEP_INTERVAL = 0.1  # s: between checks of the timeouts
CROWDED_FRACTION = 0.35  # of the connections: from here on they are scarce; clients have a limit of their own
MAX_EVICTION_CANDIDATES = 8  # connections checked for one that may be evicted
MAX_EVICTING = 24  # evicted connections whose descriptors are not free yet


class FrontendOwner(Protocol):
    """What the frontend needs of the limiter that it belongs to."""

    def is_accepting_clients(self) -> bool:
        """Return whether clients are accepted now, so that PING is answered with PONG."""

    def describe_state(self) -> str:
        """Return why they are not."""

    def on_client_lost(self) -> None:
        """Take note that a client has left."""


class Frontend(Factory):
    """The listening side."""

    noisy = False

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        settings: GatewaySettings,
        deadlines: clock.Deadlines,
        owner: FrontendOwner,
        max_clients: int,
        max_pending_response_bytes: int,
        max_unfinished_input_bytes: int,
    ) -> None:
        self.dispatcher = dispatcher
        self.reader = CallReader(settings)
        self.deadlines = deadlines
        self._owner = owner
        self.response_memory = ResponseMemory(max_pending_response_bytes)
        self._unfinished_input_bytes = 0  # of incomplete commands
        self._max_unfinished_input_bytes = max_unfinished_input_bytes  # likewise
        self._max_clients = max_clients
        self.clients: SlotTable[ClientConnection] = SlotTable(max_clients)
        self._evicting_count = 0  # connections
        self.accepted_count = 0  # connections accepted so far, those closed at once included
        self.is_draining = False  # a connection ends with its last response, or as it falls idle
        self.is_closing = False  # and no new one is taken
        self.exit_deadline = inf  # when this process ends, however long a request may wait
        self._sweep(0)

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection | None:  # noqa: ARG002  # Twisted passes it
        """Accept a connection, unless no descriptor is left or the process is about to end."""
        self.accepted_count += 1
        if self.is_closing:
            return None
        if self.clients.is_full():
            candidate = self._eviction_candidate(clock.now())
            if candidate is None or self._evicting_count >= MAX_EVICTING:
                log.emit_rate_limited(
                    LogKind.CLIENTS,
                    f"all {len(self.clients)} connections are in use; a new one was closed",
                    connections=len(self.clients),
                )
                return None
            self._evict(candidate)
        return ClientConnection(self, self.response_memory)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Read commands by other classes and plans from now on."""
        self.reader = CallReader(settings)

    def set_exit_deadline(self, deadline: float) -> None:
        """Bound what clients wait by the time at which this process ends."""
        self.exit_deadline = deadline

    def is_ready(self) -> bool:
        """Return whether PING is answered with PONG."""
        return self._owner.is_accepting_clients()

    def describe_state(self) -> str:
        """Return why it is not."""
        return self._owner.describe_state()

    def on_client_connected(self, connection: ClientConnection) -> int:
        """Register a connection and return its handle."""
        return self.clients.add(connection)

    def on_client_lost(self, connection: ClientConnection) -> None:
        """Free the slot of a connection that has ended."""
        self.clients.remove(connection.handle)
        self._evicting_count -= connection.is_evicted
        self._owner.on_client_lost()

    def _evict(self, connection: ClientConnection) -> None:
        # Its slot is free at once, its descriptor only as the reactor has closed it.
        self.clients.remove(connection.handle)
        self._evicting_count += 1
        connection.evict()

    def _eviction_candidate(self, now: float) -> ClientConnection | None:
        # Many clients send one request and stay, and others send nothing: who has least use of its connection goes.
        # Bytes that wait there may be a request, which a close would lose.
        scored = nlargest(
            MAX_EVICTION_CANDIDATES, self.clients.items(), key=lambda connection: connection.eviction_score(now)
        )
        return next(
            (
                connection
                for connection in scored
                if connection.eviction_score(now) and not has_unread_bytes(connection.transport)
            ),
            None,
        )

    def set_limits(self, max_clients: int, max_pending_response_bytes: int, max_unfinished_input_bytes: int) -> None:
        """Apply other bounds to what comes from now on."""
        self._max_clients = max_clients
        self.response_memory.set_max_bytes(max_pending_response_bytes)
        self._max_unfinished_input_bytes = max_unfinished_input_bytes
        self.clients.set_limit(max_clients)

    def on_input_buffered(self, change: int) -> None:
        """Count bytes of incomplete commands; guards the memory limit against many that are never completed."""
        self._unfinished_input_bytes += change
        if change > 0 and self._unfinished_input_bytes > self._max_unfinished_input_bytes:
            log.emit_rate_limited(
                LogKind.INPUT,
                f"{self._unfinished_input_bytes} bytes of incomplete commands are buffered; the longest was dropped",
            )
            self._evict(max(self.clients.items(), key=ClientConnection.input_backlog))

    def _sweep(self, _: int) -> None:
        now = clock.now()
        # Clients keep a bounded number of connections: while we hold one that has no more use, they
        # cannot open another for the next request.
        is_crowded = len(self.clients) >= CROWDED_FRACTION * self._max_clients
        idle_timeout = CROWDED_IDLE_TIMEOUT if is_crowded else IDLE_TIMEOUT
        for connection in self.clients.items():
            connection.enforce_timeouts(now, idle_timeout)
        self.deadlines.schedule(now + SWEEP_INTERVAL, self._sweep)

    def close(self) -> None:
        """Accept nothing more, and drain all connections."""
        self.is_closing = True
        self.drain()

    def resume(self) -> None:
        """Serve again: clients that connect or send requests from now on stay."""
        self.is_closing = False
        self.is_draining = False

    def drain(self) -> None:
        """Disconnect the clients: idle connections end now, the others with their last response."""
        self.is_draining = True
        now = clock.now()
        for connection in self.clients.items():
            # Who has just connected has a request on its way: a close that crosses it would lose it.
            if connection.is_awaiting_first_command(now):
                self.deadlines.schedule(now + DRAIN_GRACE, self._on_drain_grace_over, connection.handle)
            else:
                self._finish(connection)

    def _on_drain_grace_over(self, handle: int) -> None:
        connection = self.clients.get(handle)
        if connection is not None and self.is_draining:
            self._finish(connection)

    @staticmethod
    def _finish(connection: ClientConnection) -> None:
        # What has come is read first, and answered before the end.
        if not connection.has_incomplete_command() and not has_unread_bytes(connection.transport):
            connection.finish()
