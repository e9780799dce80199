"""Backoff between attempts to open a watch on discovery."""

from __future__ import annotations

import random

from thymeflow.discovery.timeouts import CONNECT_TIMEOUT, FIRST_LIST_TIMEOUT, POLLED_IDLE_TIMEOUT

INITIAL_BACKOFF = 0.3  # Longest first wait in seconds, where lists are pushed or the set is small.
# Seconds per limiter of the set: the first attempts of a large set are spread over this many seconds times its size.
BACKOFF_PER_LIMITER = 0.025
# Longest wait in seconds: the wait, the connect and the first message together take no longer than the idle timeout.
MAX_BACKOFF = POLLED_IDLE_TIMEOUT - CONNECT_TIMEOUT - FIRST_LIST_TIMEOUT
# Growth of the bound with each failure. It is large because an overloaded service also spends work on clients that
# have already left.
BACKOFF_FACTOR = 4.0


class Backoff:
    """Exponential backoff with jitter; its bound lets a limiter receive each change before it counts as notified."""

    def __init__(self, limiters: int, seed: int, pushed: bool) -> None:
        self._rng = random.Random(seed)
        self._is_pushed = pushed
        self._bound = 0.0  # upper bound of the next wait, in seconds
        self.resize(limiters)

    def resize(self, limiters: int) -> None:
        """Compute the bounds for another number of limiters in the set."""
        self._initial_bound = (
            INITIAL_BACKOFF
            if self._is_pushed
            else min(MAX_BACKOFF, max(INITIAL_BACKOFF, BACKOFF_PER_LIMITER * limiters))
        )
        self._max_bound = INITIAL_BACKOFF if self._is_pushed else MAX_BACKOFF
        self._bound = max(self._initial_bound, min(self._max_bound, self._bound))

    def next_wait(self) -> float:
        """Return a random wait in seconds up to the bound, then raise the bound.

        Once the bound is above its initial value, the wait is at least half of it.
        """
        bound = self._bound
        self._bound = min(self._max_bound, BACKOFF_FACTOR * bound)
        min_wait = 0.0 if bound <= self._initial_bound else 0.5 * bound
        return min_wait + (bound - min_wait) * self._rng.random()

    def next_wait_after_idle(self) -> float:
        """Return a random wait in seconds after a watch has become idle, which is no sign of an overload of discovery.

        A change that an idle watch has missed counts as notified 6 s after the watch's last byte. One grace period
        later, no request may go to a backend that the change marks as draining. Spreading the attempts of a large set
        would take five of the remaining seconds. Any discovery service is built for one attempt of each limiter at the
        same time; if it rejects some, the later attempts are spread.
        """
        return INITIAL_BACKOFF * self._rng.random()

    def reset(self) -> None:
        """Set the bound to its initial value, because discovery has served a watch."""
        self._bound = self._initial_bound
