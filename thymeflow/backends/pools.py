"""Pools of open connections to each backend, with one bound on the connections of all pools."""

from __future__ import annotations

from thymeflow.backends.connections import Connection, Pool
from thymeflow.decision.settings import Limits
from thymeflow.platform.endpoints import Address
from thymeflow.runtime import clock
from thymeflow.transport.connections import has_unread_bytes

# The fraction of the idle timeout after which an idle connection is closed, well before the backend may close it.
IDLE_FRACTION = 0.7
SWEEP_INTERVAL = 1.0  # seconds between searches for connections that have been idle for too long


class ConnectionPools:
    """The pools of all backends, with one bound on their connections.

    The most recently used connection is reused first, so that connections which are not needed stay idle and are
    closed.
    """

    def __init__(self, deadlines: clock.Deadlines, limits: Limits, max_connections: int) -> None:
        self._deadlines = deadlines
        self._limits = limits
        self._max_connections = max_connections
        self._pools_by_id: dict[int, Pool] = {}
        self.open_connections = 0  # the number of connections that are open or being opened
        # Whether a connection is closed as soon as it becomes idle, because no new attempts are expected.
        self.is_closing_when_idle = False

    def set_limits(self, limits: Limits) -> None:
        """Apply new timeouts to connections that are opened or become idle from now on."""
        self._limits = limits

    def set_max_connections(self, max_connections: int) -> None:
        """Set the bound that applies to connections opened from now on."""
        self._max_connections = max_connections

    def set_close_when_idle(self, is_closing_when_idle: bool) -> None:
        """Set whether connections are closed as soon as they are idle, because backends limit their number."""
        self.is_closing_when_idle = is_closing_when_idle
        for pool in self._pools_by_id.values() if is_closing_when_idle else ():
            self._close_idle(pool)

    def close_idle(self, backend: int) -> None:
        """Close the idle connections to one backend."""
        if pool := self._pools_by_id.get(backend):
            self._close_idle(pool)

    def _close_idle(self, pool: Pool) -> None:
        for connection in pool.idle:
            connection.abort_connection()
        self.open_connections -= len(pool.idle)
        pool.idle.clear()

    def _close_idle_of_earlier_process(self, pool: Pool, started: float) -> None:
        # A process that has started again knows nothing of the connections of the one before, and one that vanished
        # could not close them. A request on them would count as one that may have been executed.
        if started > pool.started:
            pool.started = started
            self._close_idle(pool)

    def get_addresses(self) -> dict[int, Address]:
        """Return the addresses of all backends, by id."""
        return {backend_id: pool.address for backend_id, pool in self._pools_by_id.items()}

    def _close(self, connection: Connection) -> None:
        connection.abort_connection()
        self.open_connections -= 1

    def _check_usable(self, connection: Connection) -> bool:
        # A request written to a connection that has ended would count as one that may have been executed. On a
        # connection with unread bytes of an earlier reply, the attempt would receive the wrong reply.
        if not has_unread_bytes(connection.transport):
            return True
        self._close(connection)
        return False

    def _take_idle(self, pool: Pool) -> Connection | None:
        while pool.idle:
            if self._check_usable(connection := pool.idle.pop()):
                return connection
        return None

    def _close_longest_idle(self) -> bool:
        # The limit on descriptors applies to all backends together, so that the connection that has been idle for
        # longest is closed, whichever pool it belongs to.
        pools = [pool for pool in self._pools_by_id.values() if pool.idle]
        if not pools:
            return False
        longest_idle = min(pools, key=lambda pool: pool.idle[0].last_activity_at)
        self._close(longest_idle.idle.pop(0))
        return True

    def _sweep(self, _: int) -> None:
        now = clock.now()
        for pool in self._pools_by_id.values():
            while pool.idle and now - pool.idle[0].last_activity_at > IDLE_FRACTION * self._limits.connection_idle:
                self._close(pool.idle.pop(0))
        self._deadlines.schedule(now + SWEEP_INTERVAL, self._sweep)
