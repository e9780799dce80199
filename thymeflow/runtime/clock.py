"""The clock, and the one structure that holds all deadlines.

The time is the monotonic clock plus an offset fixed at the start, so it never steps and can still be compared with
the start times that discovery reports. Deadlines are absolute times on it.

A process does not always run on time: it is stopped, its core is taken, or one turn of the reactor serves a thousand
connections. What it reads then has waited, and nothing in it shows for how long. The heap shows it: an overdue
deadline shows since when the reactor has been blocked.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from typing import Protocol

_OFFSET = time.time() - time.monotonic()
_MAX_CANCELLED = 256  # cancelled deadlines that stay in the heap before they are removed together
STALL_THRESHOLD = (
    0.1  # s: without a turn, after which what waits to be read may make endpoint lists and leases out of date
)
SETTLING_TURNS = 8  # turns after a stall: connections that waited are accepted some at a time, and read a turn later

STARTED_AT = time.time()  # Unix time in seconds at which this process started, after the interpreter's own start


class ScheduledCall:
    """A callback that `Deadlines` calls once; the handle by which it is cancelled."""

    __slots__ = ("argument", "callback")

    def __init__(self, callback: Callable[[int], None] | None, argument: int = 0) -> None:
        self.callback = callback  # None once it is cancelled or past
        self.argument = argument


NOT_SCHEDULED = ScheduledCall(None)  # to cancel it does nothing

# Time, order of scheduling, call. Times compare first, then the order, so that the heap never compares calls.
_HeapEntry = tuple[float, int, ScheduledCall]


class DelayedCall(Protocol):
    """The methods of Twisted's IDelayedCall that are used here."""

    def reset(self, delay: float, /) -> None:
        """Call after this many seconds from now instead."""


class TimerReactor(Protocol):
    """The method of Twisted's IReactorTime that is used here."""

    def callLater(self, delay: float, callback: Callable[..., object], /, *arguments: object) -> DelayedCall:  # noqa: N802 - Twisted's name
        """Call back after this many seconds."""


def now() -> float:
    """Return the Unix time in seconds; it never goes back."""
    return time.monotonic() + _OFFSET


def monotonic() -> float:
    """Return the seconds since a fixed moment before the start; service managers compare times on this clock."""
    return time.monotonic()


def _ignore_stall(_: float) -> None:
    """Stand in for a callback that is not set."""


class Deadlines:
    """A heap of deadlines behind a single timer of the reactor, which is reset as the first deadline changes.

    `on_stall` is called with the seconds for which the reactor was blocked, where that was over `STALL_THRESHOLD`.
    """

    def __init__(self, reactor: TimerReactor, on_stall: Callable[[float], None] = _ignore_stall) -> None:
        self._reactor = reactor
        self._heap: list[_HeapEntry] = []
        self._order = 0
        self._cancelled_count = 0
        self._timer: DelayedCall | None = None
        self._timer_at = 0.0
        self._is_running = False
        self._waiting_since: float | None = None  # since when what is read in this turn may have waited
        self._settling_turns = 0
        self._on_stall = on_stall

    def schedule(self, when: float, callback: Callable[[int], None], argument: int = 0) -> ScheduledCall:
        """Call back with the argument at the time `when` (Unix seconds), and return what `cancel` takes."""
        self._order += 1
        call = ScheduledCall(callback, argument)
        heapq.heappush(self._heap, (when, self._order, call))
        if self._heap[0][2] is call:
            self._arm()
        return call

    def cancel(self, call: ScheduledCall) -> None:
        """Cancel a deadline; one that is past or cancelled already is left as it is."""
        if call.callback is None:
            return
        call.callback = None
        self._cancelled_count += 1
        if self._cancelled_count > _MAX_CANCELLED and self._cancelled_count * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled_count = 0

    def _head(self) -> _HeapEntry | None:
        heap = self._heap
        while heap and heap[0][2].callback is None:
            heapq.heappop(heap)
            self._cancelled_count -= 1
        return heap[0] if heap else None

    def earliest_arrival(self, moment: float) -> float:
        """Return the earliest time at which what is read at this moment can have arrived.

        That is the moment itself, except after stalls.
        """
        head = self._head()
        arrived_at = moment if head is None else min(moment, head[0])
        return arrived_at if self._waiting_since is None else min(arrived_at, self._waiting_since)

    def is_stalled(self, moment: float) -> bool:
        """Return whether the reactor was blocked for so long that lists and leases must be read before a send."""
        return moment - self.earliest_arrival(moment) > STALL_THRESHOLD

    def mark_waiting(self, since: float) -> None:
        """Record that what is read in the next turns may have waited since then."""
        is_settling = self._waiting_since is not None
        self._settling_turns = SETTLING_TURNS
        self._waiting_since = min(since, self._waiting_since) if self._waiting_since is not None else since
        if not is_settling:
            self.schedule(now(), self._settle)

    def _settle(self, _: int) -> None:
        self._settling_turns -= 1
        if self._settling_turns:
            self.schedule(now(), self._settle)  # in the next turn
        else:
            self._waiting_since = None

    def _arm(self) -> None:
        if self._is_running:
            return
        head = self._head()
        if head is None:
            return
        when = head[0]
        if self._timer is None:
            self._timer = self._reactor.callLater(max(0.0, when - now()), self._fire)
        elif when < self._timer_at:
            self._timer.reset(max(0.0, when - now()))
        else:
            return
        self._timer_at = when

    def _fire(self) -> None:
        self._timer = None
        self._is_running = True
        try:
            # A deadline that a callback sets for the present waits for the next turn, so that sockets are served.
            fired_at = now()
            head = self._head()
            if head is not None and fired_at - head[0] > STALL_THRESHOLD:
                self._on_stall(fired_at - head[0])
                self.mark_waiting(head[0])
            while self._heap and self._heap[0][0] <= fired_at:
                _, _, call = heapq.heappop(self._heap)
                callback = call.callback
                call.callback = None
                if callback is None:
                    self._cancelled_count -= 1
                else:
                    callback(call.argument)
        finally:
            self._is_running = False
            self._arm()
