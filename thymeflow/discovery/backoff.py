"""Backoff between attempts to watch discovery."""

from __future__ import annotations

import random

from thymeflow.discovery.timeouts import CONNECT_TIMEOUT, FIRST_LIST_TIMEOUT, POLLED_IDLE_TIMEOUT

INITIAL_BACKOFF = 0.3  # s: the longest first wait, where lists are pushed or the set is small
BACKOFF_PER_LIMITER = 0.025  # s: over this, times the set's size, first attempts at a crowded service are spread
MAX_BACKOFF = (
    POLLED_IDLE_TIMEOUT - CONNECT_TIMEOUT - FIRST_LIST_TIMEOUT
)  # s: with the connect and its first message, within the silence
BACKOFF_FACTOR = 4.0  # growth of the bound with each failure: a crowded service also works for clients that left


class Backoff:
    """Exponential backoff with jitter, bounded so that each change is received before it counts as notified."""

    def __init__(self, limiters: int, seed: int, pushed: bool) -> None:
        self._rng = random.Random(seed)
        self._is_pushed = pushed
        self._bound = 0.0  # s: of the next wait
        self.resize(limiters)

    def resize(self, limiters: int) -> None:
        """Adapt the bounds to another number of limiters in the set."""
        self._initial_bound = (
            INITIAL_BACKOFF
            if self._is_pushed
            else min(MAX_BACKOFF, max(INITIAL_BACKOFF, BACKOFF_PER_LIMITER * limiters))
        )
        self._max_bound = INITIAL_BACKOFF if self._is_pushed else MAX_BACKOFF
        self._bound = max(self._initial_bound, min(self._max_bound, self._bound))

    def next_wait(self) -> float:
        """Return the seconds to wait now, and raise the bound; a wait is at least half of a raised bound."""
        bound = self._bound
        self._bound = min(self._max_bound, BACKOFF_FACTOR * bound)
        min_wait = 0.0 if bound <= self._initial_bound else 0.5 * bound
        return min_wait + (bound - min_wait) * self._rng.random()

    def next_wait_after_idle(self) -> float:
        """Return the seconds to wait where a watch became idle, which shows no overload of discovery.

        What an idle watch misses counts as notified 6 s after its last byte, and one grace period later no request may
        go to a backend that is draining. The spread of a large set would take five of the seconds that are left. One
        attempt of each limiter at the same moment is what a service of any size is built for; the attempts after it
        are spread if it rejects some.
        """
        return INITIAL_BACKOFF * self._rng.random()

    def reset(self) -> None:
        """Start again from the initial bound, as a watch has been served."""
        self._bound = self._initial_bound
