"""The open connections to each backend, and the bound on all of them together."""

from __future__ import annotations

from thymeflow.backends.connections import Connection, Pool
from thymeflow.decision.settings import Limits
from thymeflow.runtime import clock
from thymeflow.transport.connections import has_unread_bytes

IDLE_FRACTION = 0.7  # of the idle timeout: an idle connection is closed then, well before the other end may close it
SWEEP_INTERVAL = 1.0  # s: between searches for connections that have been idle for long


class ConnectionPools:
    """The pools of all backends, with one bound on their connections.

    The most recently used connection is used first, so that the others become idle and are closed.
    """

    def __init__(self, deadlines: clock.Deadlines, limits: Limits, max_connections: int) -> None:
        self._deadlines = deadlines
        self._limits = limits
        self._max_connections = max_connections
        self._pools_by_id: dict[int, Pool] = {}  # by the backend's id
        self.open_connections = 0  # connections open or being opened
        self.is_closing_when_idle = False  # no new attempts are expected: a connection that becomes idle is closed

    def set_limits(self, limits: Limits) -> None:
        """Apply other timeouts to what is connected or becomes idle from now on."""
        self._limits = limits

    def set_max_connections(self, max_connections: int) -> None:
        """Set another bound on connections, for those that are opened from now on."""
        self._max_connections = max_connections

    def set_close_when_idle(self, is_closing_when_idle: bool) -> None:
        """Set whether connections are closed as they become idle, since backends accept only so many."""
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

    def _close(self, connection: Connection) -> None:
        connection.abort_connection()
        self.open_connections -= 1

    def _check_usable(self, connection: Connection) -> bool:
        # An attempt written to a connection that has ended, or on which bytes of an earlier reply still arrive,
        # would count as one that may have been executed, or would be given the wrong reply.
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
        # The descriptor limit binds over all backends: the connection idle for longest, of any pool, is closed.
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
