"""Scripts on the reactor, as benchmarks and proofs are: generators of Deferreds, and their pauses."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any, cast

from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred

from thymeflow.testkit.types import MainReactor

reactor = cast(MainReactor, _reactor)
Steps = Generator[Deferred[Any], Any, Any]


def sleep(seconds: float) -> Deferred[None]:
    """Return a Deferred that fires after this many seconds, or a little later."""
    woken: Deferred[None] = Deferred()
    reactor.callLater(seconds, woken.callback, None)
    return woken
