"""The clock, and the heap of all deadlines.

The time is the monotonic clock plus an offset that is fixed at the start. So it never steps, and can still be compared
with the start times that discovery reports. Deadlines are absolute times on this clock.

A process does not always run on time: it may be stopped, lose its core, or serve a thousand connections in one turn of
the reactor. The input that it reads afterwards has waited, and does not itself show for how long. The heap does: the
earliest overdue deadline is the time since which the reactor has been blocked.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from typing import Protocol

_OFFSET = time.time() - time.monotonic()
# Number of cancelled deadlines above which they are all removed, once they also make up half of the heap.
_MAX_CANCELLED = 256
# Seconds without a turn of the reactor, after which unread input may contain newer endpoint lists and leases.
STALL_THRESHOLD = 0.1
# Turns of the reactor after a stall in which input may still have waited: waiting connections are accepted a few at a
# time, and read one turn later.
RECOVERY_TURNS = 8

STARTED_AT = time.time()  # Unix time in seconds at which this module was imported, after the interpreter's own start


class ScheduledCall:
    """A callback that `Deadlines` calls once, and the handle for cancelling it."""

    __slots__ = ("argument", "callback")

    def __init__(self, callback: Callable[[int], None] | None, argument: int = 0) -> None:
        self.callback = callback  # None once it was cancelled or called
        self.argument = argument


NOT_SCHEDULED = ScheduledCall(None)  # Cancelling it does nothing.

# The time, the order of scheduling and the call. The order is unique, so that the heap never compares calls.
_HeapEntry = tuple[float, int, ScheduledCall]


class DelayedCall(Protocol):
    """The methods of Twisted's IDelayedCall that are used here."""

    def reset(self, delay: float, /) -> None:
        """Change the time of the call to this many seconds from now."""


class TimerReactor(Protocol):
    """The method of Twisted's IReactorTime that is used here."""

    def callLater(self, delay: float, callback: Callable[..., object], /, *arguments: object) -> DelayedCall:  # noqa: N802 - Twisted's name
        """Call the callback after this many seconds."""


def now() -> float:
    """Return the Unix time in seconds, which never goes back."""
    return time.monotonic() + _OFFSET


def monotonic() -> float:
    """Return the seconds of the monotonic clock, on which service managers compare times."""
    return time.monotonic()


def _ignore_stall(_: float) -> None:
    """Do nothing; the default of `on_stall`."""


class Deadlines:
    """A heap of deadlines with a single timer of the reactor, which is set to the earliest deadline.

    `on_stall` is called with the seconds for which the reactor was blocked, if they exceed `STALL_THRESHOLD`.
    """

    def __init__(self, reactor: TimerReactor, on_stall: Callable[[float], None] = _ignore_stall) -> None:
        self._reactor = reactor
        self._heap: list[_HeapEntry] = []
        self._order = 0
        self._cancelled_count = 0
        self._timer: DelayedCall | None = None
        self._timer_at = 0.0
        self._is_running = False
        self._waiting_since: float | None = None  # the time since which input read in this turn may have waited
        self._recovery_turns = 0
        self._on_stall = on_stall

    def schedule(self, when: float, callback: Callable[[int], None], argument: int = 0) -> ScheduledCall:
        """Call the callback with the argument at the time `when` (Unix seconds), and return the handle for `cancel`."""
        self._order += 1
        call = ScheduledCall(callback, argument)
        heapq.heappush(self._heap, (when, self._order, call))
        if self._heap[0][2] is call:
            self._arm()
        return call

    def cancel(self, call: ScheduledCall) -> None:
        """Cancel a deadline; nothing happens if its callback was called or it was cancelled before."""
        if call.callback is None:
            return
        call.callback = None
        self._cancelled_count += 1
        if self._cancelled_count > _MAX_CANCELLED and self._cancelled_count * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled_count = 0

    def _find_first_entry(self) -> _HeapEntry | None:
        heap = self._heap
        while heap and heap[0][2].callback is None:
            heapq.heappop(heap)
            self._cancelled_count -= 1
        return heap[0] if heap else None

    def earliest_arrival(self, moment: float) -> float:
        """Return the earliest time in Unix seconds at which input that is read at `moment` can have arrived.

        That is the moment itself, except during and after a stall.
        """
        first = self._find_first_entry()
        arrived_at = moment if first is None else min(moment, first[0])
        return arrived_at if self._waiting_since is None else min(arrived_at, self._waiting_since)

    def is_stalled(self, moment: float) -> bool:
        """Return whether the reactor was blocked so long that endpoint lists and leases must be read before a send."""
        return moment - self.earliest_arrival(moment) > STALL_THRESHOLD

    def mark_waiting(self, since: float) -> None:
        """Record that input that is read in the next `RECOVERY_TURNS` turns may have waited since `since`."""
        is_recovering = self._waiting_since is not None
        self._recovery_turns = RECOVERY_TURNS
        self._waiting_since = min(since, self._waiting_since) if self._waiting_since is not None else since
        if not is_recovering:
            self.schedule(now(), self._count_recovery_turn)

    def _count_recovery_turn(self, _: int) -> None:
        self._recovery_turns -= 1
        if self._recovery_turns:
            self.schedule(now(), self._count_recovery_turn)  # in the next turn
        else:
            self._waiting_since = None

    def _arm(self) -> None:
        if self._is_running:
            return
        first = self._find_first_entry()
        if first is None:
            return
        when = first[0]
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
            # A deadline that a callback sets for the present time fires in the next turn, so that sockets are served
            # before it.
            fired_at = now()
            first = self._find_first_entry()
            if first is not None and fired_at - first[0] > STALL_THRESHOLD:
                self._on_stall(fired_at - first[0])
                self.mark_waiting(first[0])
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
