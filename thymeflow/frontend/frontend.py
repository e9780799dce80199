"""The factory of client connections, which accepts, limits, evicts and drains them."""

from __future__ import annotations

from heapq import nlargest
from math import inf
from typing import Protocol

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from thymeflow.core.dispatcher import RequestDispatcher
from thymeflow.decision.settings import GatewaySettings
from thymeflow.frontend.client_connection import ClientConnection
from thymeflow.frontend.input_scheduler import InputScheduler
from thymeflow.frontend.limits import FrontendLimits
from thymeflow.frontend.response_memory import ResponseMemory
from thymeflow.frontend.timeouts import CROWDED_IDLE_TIMEOUT, DRAIN_GRACE, IDLE_TIMEOUT
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.runtime.slot_table import SlotTable
from thymeflow.transport.commands import CallReader
from thymeflow.transport.connections import has_unread_bytes
from thymeflow.transport.value_stream import BufferMemory

SWEEP_INTERVAL = 0.1  # seconds between checks of the timeouts
# If this fraction of the connections is in use, connections are scarce and the idle timeout is shorter. Clients limit
# the number of their own connections too, see `Frontend._sweep`.
CROWDED_FRACTION = 0.35
MAX_EVICTION_CANDIDATES = 8  # connections that are checked for unread bytes before one is evicted
MAX_EVICTING = 24  # evicted connections whose descriptors have not been closed yet


class FrontendOwner(Protocol):
    """The interface of the limiter that the frontend belongs to."""

    def is_accepting_clients(self) -> bool:
        """Return whether clients are accepted now, so that PING is answered with PONG."""

    def describe_state(self) -> str:
        """Return the reason for which clients are not accepted."""

    def on_client_lost(self) -> None:
        """Handle a client that has left."""


class Frontend(Factory):
    """Accepts client connections and keeps them within the limits."""

    noisy = False

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        settings: GatewaySettings,
        deadlines: clock.Deadlines,
        owner: FrontendOwner,
        limits: FrontendLimits,
    ) -> None:
        self.dispatcher = dispatcher
        self.reader = CallReader(settings)
        self.deadlines = deadlines
        self._owner = owner
        self.response_memory = ResponseMemory(limits.response_bytes)
        self.body_memory = BufferMemory(limits.body_bytes)
        self.read_ahead_memory = BufferMemory(limits.read_ahead_bytes)
        self.input_scheduler = InputScheduler(deadlines)
        self._unfinished_input_bytes = 0  # buffered bytes of incomplete commands
        self._max_unfinished_input_bytes = limits.unfinished_input_bytes
        self._max_clients = limits.max_clients
        self.clients: SlotTable[ClientConnection] = SlotTable(limits.max_clients)
        self._evicting_count = 0  # evicted connections that have not ended yet
        self.accepted_count = 0  # connections accepted since the start, including those closed at once
        self.is_draining = False  # a connection is closed when it is idle
        self.is_closing = False  # the limiter is draining, and new connections are closed at once
        self.is_exiting = False  # the exit deadline has passed, and no more commands are read
        self.exit_deadline = inf  # time at which this process exits, even if a request could wait longer
        self._sweep(0)

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection | None:  # noqa: ARG002  # Twisted passes it
        """Accept a connection, unless no descriptor is left or the limiter is closing."""
        self.accepted_count += 1
        if self.is_closing:
            return None
        if self.clients.is_full():
            candidate = self._find_eviction_candidate(clock.now())
            if candidate is None or self._evicting_count >= MAX_EVICTING:
                log.emit_rate_limited(
                    LogKind.CLIENTS,
                    f"a new connection was closed: all {len(self.clients)} client connections are in use",
                    connections=len(self.clients),
                )
                return None
            self._evict(candidate)
        return ClientConnection(self, self.response_memory)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Parse commands with the request classes and plans of new settings from now on."""
        self.reader = CallReader(settings)

    def set_exit_deadline(self, deadline: float) -> None:
        """Limit the deadlines of requests to the time at which this process exits."""
        self.exit_deadline = deadline
        self.deadlines.schedule(deadline, self._on_exit_deadline)

    def _on_exit_deadline(self, _: int) -> None:
        self.is_exiting = True
        for connection in self.clients.items():
            connection.fail_requests_before_due_ones(self.exit_deadline)
            connection.stop_reading_commands()

    def is_ready(self) -> bool:
        """Return whether PING is answered with PONG."""
        return self._owner.is_accepting_clients()

    def describe_state(self) -> str:
        """Return the reason for which clients are not accepted."""
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
        # The slot is free at once, but the descriptor only after the reactor has closed it.
        self.clients.remove(connection.handle)
        self._evicting_count += 1
        connection.evict()

    def _find_eviction_candidate(self, now: float) -> ClientConnection | None:
        # Finds the connection that its client uses least. Many clients send one request and stay connected, and some
        # clients send nothing. A connection with unread bytes is kept, because they may be a request that a close would
        # lose, and so is one whose client has not taken all of its responses.
        scored = nlargest(
            MAX_EVICTION_CANDIDATES, self.clients.items(), key=lambda connection: connection.compute_eviction_score(now)
        )
        return next(
            (
                connection
                for connection in scored
                if connection.compute_eviction_score(now)
                and not connection.has_undelivered_bytes()
                and not has_unread_bytes(connection.transport)
            ),
            None,
        )

    def set_limits(self, limits: FrontendLimits) -> None:
        """Set the bounds for connections and bytes that arrive from now on."""
        self._max_clients = limits.max_clients
        self.response_memory.set_max_bytes(limits.response_bytes)
        self.body_memory.set_max_bytes(limits.body_bytes)
        self.read_ahead_memory.set_max_bytes(limits.read_ahead_bytes)
        self._max_unfinished_input_bytes = limits.unfinished_input_bytes
        self.clients.set_limit(limits.max_clients)

    def on_input_buffered(self, change: int) -> None:
        """Add `change` to the number of buffered bytes of incomplete commands.

        If their number exceeds its bound, the client with the most bytes is evicted, preferably one that has nothing
        unread. Otherwise many commands that are never completed could exceed the memory limit.
        """
        self._unfinished_input_bytes += change
        if change > 0 and self._unfinished_input_bytes > self._max_unfinished_input_bytes:
            log.emit_rate_limited(
                LogKind.INPUT,
                f"{self._unfinished_input_bytes} bytes of incomplete commands are buffered; the client of the longest "
                "was disconnected",
            )
            largest = nlargest(MAX_EVICTION_CANDIDATES, self.clients.items(), key=ClientConnection.get_input_backlog)
            self._evict(next((client for client in largest if not has_unread_bytes(client.transport)), largest[0]))

    def on_response_memory_exceeded(self) -> None:
        """Release memory of the clients with the most bytes of pending responses.

        The process would be killed if it exceeded its memory limit. Those clients pipeline commands behind their own
        slow requests, or do not read their responses. Responses that wait are replaced by errors; if that is not
        enough, a client is disconnected.
        """
        used_bytes = self.response_memory.used_bytes
        clients = sorted(self.clients.items(), key=ClientConnection.get_pending_bytes, reverse=True)
        failed_count = sum(client.fail_waiting_responses() for client in clients)
        if failed_count:
            log.emit_rate_limited(
                LogKind.BACKLOG,
                f"{failed_count} requests failed: {used_bytes} bytes of responses were pending",
                held=used_bytes,
            )
        if self.response_memory.is_exceeded():
            log.emit_rate_limited(
                LogKind.BACKLOG,
                f"a client's connection was closed: {used_bytes} bytes of responses are pending",
                held=used_bytes,
            )
            if not self._evicting_count:  # the bytes of an evicted client are released a turn later
                self._evict(clients[0])

    def _sweep(self, _: int) -> None:
        now = clock.now()
        # Clients limit the number of their connections. A client whose idle connection is kept open here may be unable
        # to open a connection to another limiter for its next request. Idle connections are therefore closed sooner
        # when connections are scarce.
        is_crowded = len(self.clients) >= CROWDED_FRACTION * self._max_clients
        idle_timeout = CROWDED_IDLE_TIMEOUT if is_crowded else IDLE_TIMEOUT
        for connection in self.clients.items():
            self._enforce_timeouts(connection, now, idle_timeout)
        self.deadlines.schedule(now + SWEEP_INTERVAL, self._sweep)

    @staticmethod
    def _enforce_timeouts(connection: ClientConnection, now: float, idle_timeout: float) -> None:
        # No other connection would be checked any more if the error of one ended the sweep.
        try:
            connection.enforce_timeouts(now, idle_timeout)
        except Exception as error:
            connection.on_fault(error)

    def is_delivering(self, now: float) -> bool:
        """Return whether a response that has begun is still on its way, and bytes of it moved a short time ago."""
        return any(connection.is_delivering(now) for connection in self.clients.items())

    def close(self) -> None:
        """Accept no more connections, and drain the present ones."""
        self.is_closing = True
        self.drain()

    def resume(self) -> None:
        """Stop draining: clients that connect or send requests from now on stay connected."""
        self.is_closing = False
        self.is_draining = False

    def drain(self) -> None:
        """Disconnect the clients: idle connections now, and busy connections as soon as they are idle."""
        self.is_draining = True
        now = clock.now()
        for connection in self.clients.items():
            # A client that has just connected probably has a request on its way, which a close now would lose.
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
        # No other connection would be closed if the error of one ended the drain.
        try:
            connection.finish_if_idle()
        except Exception as error:
            connection.on_fault(error)
