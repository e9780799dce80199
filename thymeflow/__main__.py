"""The real limiter: reads its configuration, wires the parts together and runs the reactor."""

from __future__ import annotations

import gc
import signal
import sys
from typing import Any

from thymeflow.net import clock, config, log
from thymeflow.net.core import Core
from thymeflow.net.counter import Counter
from thymeflow.net.discovery import Discovery
from thymeflow.net.front import Front
from thymeflow.net.lifecycle import Lifecycle
from thymeflow.net.reload import Reload
from thymeflow.net.upstream import Upstream

AGENT_SHARE = 0.7     # of the descriptors: for user agents; the rest is for application servers
MEMORY_SHARE = 0.25   # of the memory limit: for requests held
ANSWER_SHARE = 0.15   # of the memory limit: for answers that user agents have not taken
INPUT_SHARE = 0.05    # of the memory limit: for commands that have begun and are not whole


def build(given: config.Config, reactor: Any) -> Lifecycle:
    """All parts, wired; nothing is connected yet but the listening port."""
    settings, limits = given.settings, given.settings.limits
    deadlines = clock.Deadlines(reactor)
    room = given.sockets - config.SPARE_SOCKETS
    core = Core(settings, given.seed, deadlines, int(given.memory * MEMORY_SHARE))
    agents = int(room * AGENT_SHARE)
    upstream = core.upstream = Upstream(reactor, deadlines, limits, room - agents)
    front = Front(core, settings, deadlines, agents, int(given.memory * ANSWER_SHARE),
                  int(given.memory * INPUT_SHARE))
    longest = max((c.deadline for c in settings.classes), default=0.0)
    lifecycle = Lifecycle(deadlines, core, front, longest, reactor.stop)

    def changed(news: config.Listed) -> None:
        core.listed(news.membership, lambda: upstream.listed(news))
        if news.addresses:
            lifecycle.listed()

    changed(given.known)
    discovery = Discovery(reactor, deadlines, given.discovery, given.known.membership.version, changed)
    core.discovery = discovery
    counter: Counter | None = None
    if given.counter is not None:
        core.counter = counter = Counter(reactor, deadlines, given.counter)
        counter.connect()
    lifecycle.reload = Reload(given, discovery, counter).now
    discovery.start()
    lifecycle.listening(reactor.listenTCP(given.listen.port, front, backlog=511,
                                          interface=given.listen.host))
    return lifecycle


def main() -> int:
    """Run until told to end; a configuration that cannot be used is one line and a failure."""
    # Its default action would end the program; one that comes too early to be served is remembered.
    early: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    try:
        given = config.load()
    except config.ConfigError as fault:
        print(f"thymeflow: bad configuration: {fault}", file=sys.stderr)
        return 2
    log.set_up(given.name)
    from twisted.internet import reactor
    from twisted.internet.error import CannotListenError

    loop: Any = reactor
    try:
        lifecycle = build(given, loop)
    except CannotListenError as fault:
        print(f"thymeflow: cannot listen: {fault}", file=sys.stderr)
        return 3
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: loop.callFromThread(lifecycle.terminate))
    signal.signal(signal.SIGHUP, lambda *_: loop.callFromThread(lifecycle.reread))
    if early:
        loop.callFromThread(lifecycle.reread)
    gc.collect()
    gc.freeze()   # what stands by now lasts, and need not be looked through again and again
    loop.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
