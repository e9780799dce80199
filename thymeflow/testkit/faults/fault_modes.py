"""Limiters broken on purpose, one way each, so that every judge is seen catching something.

python -m thymeflow.testkit.faults.fault_modes NAME [the arguments of thymeflow]
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from thymeflow import __main__ as program
from thymeflow.backends import backends
from thymeflow.core.types import AttemptResult, AttemptSpec
from thymeflow.discovery import watch
from thymeflow.frontend import frontend
from thymeflow.platform.endpoints import EndpointUpdate
from thymeflow.quota.strict import StrictTokenBucket
from thymeflow.transport.commands import SUBMIT, Call

SOME = 10  # every so many


def deaf() -> None:
    """Takes the first word of discovery and none that comes later."""
    take = watch.EndpointWatcher._apply

    def once(self: watch.EndpointWatcher, change: EndpointUpdate) -> None:
        if not self.is_ready:
            take(self, change)

    watch.EndpointWatcher._apply = once  # type: ignore[method-assign]


def mute() -> None:
    """Ends the connection in place of an answer, for some requests and whenever they come."""
    answered = frontend.ClientConnection._answered

    def some(self: frontend.ClientConnection, answer: Any, place: frontend.PipelineSlot) -> None:
        if place.request is None or int(place.request.id, 16) % SOME:
            answered(self, answer, place)
        else:
            self.transport.abortConnection()

    frontend.ClientConnection._answered = some  # type: ignore[method-assign]


def double() -> None:
    """Sends calls with a key to a second server as well, now and then."""
    begin, count = backends.BackendConnections.start_attempt, [0]

    def twice(self: backends.BackendConnections, spec: AttemptSpec) -> Deferred[AttemptResult]:
        going = begin(self, spec)
        count[0] += isinstance(spec.payload, Call) and spec.payload.verb == SUBMIT
        others = [n for n in self._pools_by_id if n != spec.backend]
        if others and count[0] % SOME == 1:
            begin(self, spec._replace(backend=others[0]))
        return going

    backends.BackendConnections.start_attempt = twice  # type: ignore[method-assign]


def sulky() -> None:
    """Ends with a failure when it is told to end."""
    main = program.main
    program.main = lambda: main() or 1


def free() -> None:
    """Has of each customer's base what the whole set has."""
    StrictTokenBucket._base_fraction = lambda self: 1.0  # type: ignore[method-assign]


WAYS: dict[str, Callable[[], None]] = {"deaf": deaf, "mute": mute, "double": double, "sulky": sulky, "free": free}

if __name__ == "__main__":
    WAYS[sys.argv.pop(1)]()
    sys.exit(program.entry())
