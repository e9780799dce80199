"""The order in which client connections are closed when a new client finds all connections in use. No I/O."""

from __future__ import annotations

from thymeflow.frontend import timeouts

# Eviction scores. Connections of which the client makes no use are evicted first, then connections that sent no
# request, and then connections by their idle time, which is far below these scores.
NO_USE_SCORE = 2e6
NO_REQUEST_SCORE = 1e6
NEVER_EVICTED = 0.0


def compute_eviction_score(
    idle_seconds: float,
    *,
    is_write_closed: bool,
    has_open_command: bool,
    has_sent_command: bool,
    has_sent_request: bool,
) -> float:
    """Return the eviction score: the highest is evicted first, and `NEVER_EVICTED` is not evicted.

    `idle_seconds` is 0 while a command is open. The arguments are passed one by one because the score is computed for
    all connections at each eviction.
    """
    if is_write_closed or (has_sent_command and not has_sent_request and not has_open_command):
        return NO_USE_SCORE + idle_seconds
    if not has_sent_request:
        return NO_REQUEST_SCORE + idle_seconds if idle_seconds > timeouts.NEW_CONNECTION_GRACE else NEVER_EVICTED
    return idle_seconds if idle_seconds > timeouts.CROWDED_IDLE_TIMEOUT else NEVER_EVICTED
