"""Limiters broken on purpose, one way each, so that every judge is seen catching something.

    python -m thymeflow.lab.between.broken NAME [the arguments of thymeflow]
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from thymeflow import __main__ as program
from thymeflow.budgets.units import StrictStore
from thymeflow.net import discovery, front, upstream
from thymeflow.net.call import SUBMIT, Call
from thymeflow.net.config import Listed
from thymeflow.net.core import Order, Outcome

SOME = 10     # every so many


def deaf() -> None:
    """Takes the first word of discovery and none that comes later."""
    take = discovery.Discovery._take

    def once(self: discovery.Discovery, change: Listed) -> None:
        if not self.told:
            take(self, change)

    discovery.Discovery._take = once   # type: ignore[method-assign]


def mute() -> None:
    """Ends the connection in place of an answer, for some requests and whenever they come."""
    answered = front.UserAgent._answered

    def some(self: front.UserAgent, answer: Any, place: front.Place) -> None:
        if place.request is None or int(place.request.id, 16) % SOME:
            answered(self, answer, place)
        else:
            self.transport.abortConnection()

    front.UserAgent._answered = some   # type: ignore[method-assign]


def double() -> None:
    """Sends calls with a key to a second server as well, now and then."""
    begin, count = upstream.Upstream.begin, [0]

    def twice(self: upstream.Upstream, order: Order) -> Deferred[Outcome]:
        going = begin(self, order)
        count[0] += isinstance(order.payload, Call) and order.payload.verb == SUBMIT
        others = [n for n in self._pools if n != order.backend]
        if others and count[0] % SOME == 1:
            begin(self, order._replace(backend=others[0]))
        return going

    upstream.Upstream.begin = twice   # type: ignore[method-assign]


def sulky() -> None:
    """Ends with a failure when it is told to end."""
    main = program.main
    program.main = lambda: main() or 1


def free() -> None:
    """Has of each customer's base what the whole set has."""
    StrictStore._slice = lambda self: 1.0   # type: ignore[method-assign]


WAYS: dict[str, Callable[[], None]] = {"deaf": deaf, "mute": mute, "double": double, "sulky": sulky, "free": free}

if __name__ == "__main__":
    WAYS[sys.argv.pop(1)]()
    sys.exit(program.entry())
