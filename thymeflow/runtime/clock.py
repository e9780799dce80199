"""The one clock, and the one structure in which all deadlines hang.

Now is the monotonic clock plus an offset fixed at the start, so it never steps and still compares
with the start times that discovery tells. Deadlines are absolute times on it.

A process does not always get its turn: it is stopped, its core is taken, or one turn of the reactor carries a
thousand connections. What it then reads has waited, and nothing that was read says for how long. The heap knows:
a deadline that is overdue tells since when no turn has come.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from typing import Any

_OFFSET = time.time() - time.monotonic()
_COMPACT = 256  # cancelled deadlines that may lie about before they are swept out
STALL = 0.1  # s: without a turn, from which what waits may have been decided on by what is old
SETTLING = 8  # turns after a stall: connections that waited are accepted some at a time, and read a turn later

BORN = time.time()  # Unix time in seconds at which this life began, but for the interpreter's own start

Entry = list[Any]  # [when, order, callback, argument]; callback None: cancelled or past


def now() -> float:
    """Unix time in seconds; never goes back."""
    return time.monotonic() + _OFFSET


def monotonic() -> float:
    """Seconds since some moment before the start; what service managers compare times with."""
    return time.monotonic()


class Deadlines:
    """A heap of deadlines behind a single timer of the reactor, armed anew as the head changes."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._heap: list[Entry] = []
        self._order = 0
        self._dead = 0
        self._timer: Any = None
        self._armed = 0.0
        self._running = False
        self._behind: float | None = None  # since when what is read in this turn may have waited
        self._settling = 0
        self.on_stall: Callable[[float], None] = lambda seconds: None  # who tells of one

    def at(self, when: float, callback: Callable[[int], None], argument: int = 0) -> Entry:
        """Call back with the argument once `when` has come; the result is what `cancel` takes."""
        self._order += 1
        entry: Entry = [when, self._order, callback, argument]
        heapq.heappush(self._heap, entry)
        if self._heap[0] is entry:
            self._arm()
        return entry

    def cancel(self, entry: Entry) -> None:
        """Forget a deadline; one that is past or cancelled already is no matter."""
        if entry[2] is None:
            return
        entry[2] = None
        self._dead += 1
        if self._dead > _COMPACT and self._dead * 2 > len(self._heap):
            self._heap = [e for e in self._heap if e[2] is not None]
            heapq.heapify(self._heap)
            self._dead = 0

    def _head(self) -> Entry | None:
        heap = self._heap
        while heap and heap[0][2] is None:
            heapq.heappop(heap)
            self._dead -= 1
        return heap[0] if heap else None

    def earliest_arrival(self, moment: float) -> float:
        """The earliest time at which what is read at this moment can have come; the moment itself but for stalls."""
        head = self._head()
        waited = moment if head is None else min(moment, head[0])
        return waited if self._behind is None else min(waited, self._behind)

    def is_stalled(self, moment: float) -> bool:
        """Whether there was no turn for so long that lists and leases are to be looked at before anything is sent."""
        return moment - self.earliest_arrival(moment) > STALL

    def mark_waiting(self, since: float) -> None:
        """What is read in the next turns may have waited since then."""
        settles, self._settling = self._behind is not None, SETTLING
        self._behind = min(since, self._behind) if self._behind is not None else since
        if not settles:
            self.at(now(), self._settle)

    def _settle(self, _: int) -> None:
        self._settling -= 1
        if self._settling:
            self.at(now(), self._settle)  # in the next turn
        else:
            self._behind = None

    def _arm(self) -> None:
        if self._running:
            return
        head = self._head()
        if head is None:
            return
        when = head[0]
        if self._timer is None:
            self._timer = self._reactor.callLater(max(0.0, when - now()), self._fire)
        elif when < self._armed:
            self._timer.reset(max(0.0, when - now()))
        else:
            return
        self._armed = when

    def _fire(self) -> None:
        self._timer, self._running = None, True
        try:
            # What a callback sets for at once waits for the next turn, so that sockets get theirs.
            due = now()
            head = self._head()
            if head is not None and due - head[0] > STALL:
                self.on_stall(due - head[0])
                self.mark_waiting(head[0])
            while self._heap and self._heap[0][0] <= due:
                entry = heapq.heappop(self._heap)
                callback, entry[2] = entry[2], None
                if callback is None:
                    self._dead -= 1
                else:
                    callback(entry[3])
        finally:
            self._running = False
            self._arm()
