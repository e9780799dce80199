"""Scripts over the reactor, as benchmarks and proofs are: generators of Deferreds, and their pauses."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred

reactor: Any = _reactor
Steps = Generator[Deferred[Any], Any, Any]


def sleep(seconds: float) -> Deferred[None]:
    """A pause in the script; nothing that is measured waits for it to be exact."""
    done: Deferred[None] = Deferred()
    reactor.callLater(seconds, done.callback, None)
    return done
