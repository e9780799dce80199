"""The order in which client connections are closed when a new client finds all connections in use. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from thymeflow.frontend import timeouts

# Eviction scores. Connections of which the client makes no use are evicted first, then connections that sent no
# request, and then connections by their idle time, which is far below these scores.
NO_USE_SCORE = 2e6
NO_REQUEST_SCORE = 1e6
NEVER_EVICTED = 0.0


class ConnectionUse(NamedTuple):
    """What the client of a connection has done with it; `idle_seconds` is 0 while a command is open."""

    idle_seconds: float
    is_write_closed: bool
    has_open_command: bool
    has_sent_command: bool
    has_sent_request: bool


def compute_eviction_score(use: ConnectionUse) -> float:
    """Return the eviction score: the highest is evicted first, and `NEVER_EVICTED` is not evicted."""
    idle = use.idle_seconds
    if use.is_write_closed or (use.has_sent_command and not use.has_sent_request and not use.has_open_command):
        return NO_USE_SCORE + idle
    if not use.has_sent_request:
        return NO_REQUEST_SCORE + idle if idle > timeouts.NEW_CONNECTION_GRACE else NEVER_EVICTED
    return idle if idle > timeouts.CROWDED_IDLE_TIMEOUT else NEVER_EVICTED
