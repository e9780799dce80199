"""All parts of one limiter, wired. Nothing here decides, and nothing is connected before `start`."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from thymeflow import Gateway, gateway_of
from thymeflow.backends.backends import BackendConnections
from thymeflow.core.dispatcher import RequestDispatcher
from thymeflow.counter.client import Counter
from thymeflow.decision.policy import START_LEVEL
from thymeflow.decision.settings import DiscoveryMode, GatewaySettings
from thymeflow.discovery.watch import FIRST, Discovery
from thymeflow.frontend.frontend import Frontend
from thymeflow.frontend.listener import bound, opened
from thymeflow.limiter.lifecycle import LINGER, Lifecycle
from thymeflow.limiter.management import PLACES, Management
from thymeflow.limiter.phases import Phase
from thymeflow.limiter.reload import Reload
from thymeflow.platform import configuration
from thymeflow.runtime import clock, log
from thymeflow.transport.commands import Reader

AGENT_SHARE = 0.7  # of the descriptors: for user agents; the rest is for application servers
MEMORY_SHARE = 0.25  # of the memory limit: for requests held
ANSWER_SHARE = 0.15  # of the memory limit: for answers that user agents have not taken
OTHERS = 16  # descriptors of an earlier life beside its connections
LEAST_ROOM = 24  # descriptors for connections, however many an earlier life still holds
CANNOT_LISTEN = 3  # exit code: the address is not to be had
INPUT_SHARE = 0.05  # of the memory limit: for commands that have begun and are not whole


def longest_of(settings: GatewaySettings) -> float:
    """The longest deadline of any class, in seconds."""
    return max((c.deadline for c in settings.classes), default=0.0)


def made(given: configuration.Configuration, start: float = START_LEVEL, offset: float = 0.0) -> Gateway:
    """The gateway of a configuration. `offset`: from our clock to one that all of the set share, seconds."""
    if given.units == configuration.TICKETS and given.settings.information.counter:
        from thymeflow.quota.strict import StrictGateway  # elsewhere it is not used, and not loaded

        return StrictGateway(given.settings, given.seed, start, offset)
    return gateway_of(given.settings, given.seed, start)


class Limiter:
    """One limiter: made, started, then run by the reactor until its lifecycle ends."""

    def __init__(
        self,
        given: configuration.Configuration,
        reactor: Any,
        gateway: Gateway | None = None,
        load: Callable[[], configuration.Configuration] = configuration.load,
        linger: float = LINGER,
    ) -> None:
        settings, limits = given.settings, given.settings.limits
        self.configuration, self.reactor = given, reactor
        self.deadlines = clock.Deadlines(reactor)
        self.deadlines.on_stall = lambda seconds: log.say(
            "stall",
            f"no turn for {seconds:.2f} s: what waited has come before it, and has less time left",
            seconds=round(seconds, 3),
        )
        self._connected = False
        self.code = 0  # exit code
        self._door: socket.socket | None = None  # bound, and to be opened once the list is told
        self._queued = False  # connections may wait there already
        agents, servers, requests, answers, commands = self._budgets(None)
        self.gateway = gateway or made(given)
        self.core = RequestDispatcher(settings, self.gateway, self.deadlines, requests)
        self.upstream = self.core.upstream = BackendConnections(reactor, self.deadlines, limits, servers)
        self.front = Frontend(self.core, settings, self.deadlines, agents, answers, commands)
        self.lifecycle = Lifecycle(self.deadlines, self.core, self.front, longest_of(settings), reactor.stop, linger)
        self.on_list: Callable[[configuration.EndpointUpdate], None] = lambda news: None  # who keeps the list beside us
        self.on_endpoints_changed(given.endpoints)
        self.discovery = Discovery(
            reactor,
            self.deadlines,
            given.discovery,
            given.endpoints.change.version,
            self.on_endpoints_changed,
            settings.limiter_count,
            given.seed,
            settings.discovery is DiscoveryMode.PUSH,
        )
        self.core.discovery, self.upstream.look = self.discovery, self.discovery.look
        self.discovery.on_ready = self.on_endpoints_ready
        self.when_endpoints_ready: Callable[[], None] = lambda: None  # who waits for the list beside us
        self.counter: Counter | None = None
        if given.counter is not None:
            self.core.counter = self.counter = Counter(reactor, self.deadlines, given.counter)
        self.reload = Reload(given, self.discovery, self.counter, self.apply_settings, load)
        self.lifecycle.reload = self.reload.now

    def on_endpoints_changed(self, news: configuration.EndpointUpdate) -> None:
        """A change of the list of application servers holds from now on."""
        self.core.apply_endpoints(news.change, lambda: self.upstream.listed(news))
        self.on_list(news)
        if news.addresses:
            self.lifecycle.listed()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Other settings hold from now on; what is open keeps the rules that it was taken under."""
        self.front.reader = Reader(settings)
        self.core.apply_settings(settings)
        self.upstream.limits = settings.limits
        self.discovery.back_off.resized(settings.limiter_count)
        self.lifecycle.longest = max(self.lifecycle.longest, longest_of(settings))

    def start(self) -> None:
        """Listen for operators, connect to counter and discovery, and listen for user agents once the list is told.

        OSError where the address is not to be had.
        """
        self.listen_for_operators()
        self.listen(bound(self.configuration.listen.host, self.configuration.listen.port))
        self.connect(clock.now() + FIRST)

    def listen_for_operators(self) -> None:
        """Listen for operators, where the configuration says so; CannotListenError where the place is taken."""
        where = self.configuration.management
        if where is not None:
            port = self.reactor.listenTCP(
                where.port, Management(self.deadlines, self.lifecycle.call), backlog=PLACES, interface=where.host
            )
            log.note("calls", f"operators may call at {where.host}:{port.getHost().port}")

    def connect(self, by: float) -> None:
        """Connect to counter and discovery, once; `by` when to go on though discovery has said nothing."""
        if self._connected:
            return
        self._connected = True
        if self.counter is not None:
            self.counter.connect()
        self.discovery.start(by)

    def limit_beside_predecessor(self, held: int | None) -> None:
        """An earlier life of this limiter holds so many descriptors, or has ended: the limits are for both."""
        agents, servers, requests, answers, commands = self._budgets(held)
        self.front.set_limits(agents, answers, commands)
        self.upstream.limit(servers)
        self.core.set_memory_limit(requests)

    def _budgets(self, held: int | None) -> tuple[int, int, int, int, int]:
        # Connections of user agents and to servers; bytes of requests, of answers and of unfinished commands.
        room, memory = self.configuration.sockets - configuration.SPARE_SOCKETS, self.configuration.memory
        if held is not None:
            room, memory = max(LEAST_ROOM, room - held - OTHERS), memory // 2
        agents = int(room * AGENT_SHARE)
        return (
            agents,
            room - agents,
            int(memory * MEMORY_SHARE),
            int(memory * ANSWER_SHARE),
            int(memory * INPUT_SHARE),
        )

    def on_handed_over(self, handed: bool) -> None:
        """A successor accepts from now on, or it does not and we do again."""
        self.upstream.rest(handed)
        if handed:
            self.lifecycle.on_handed_over()
        else:
            self.lifecycle.resume()

    def on_endpoints_ready(self) -> None:
        """The list is as good as it gets: from now on user agents are let in."""
        self._open()
        self.when_endpoints_ready()

    def listen(self, made: socket.socket, waited: bool = False) -> None:
        """Listen at a socket that was made elsewhere, and is ours from now on, once the list is told.

        A process that listens has its machine take requests on for it, and their time runs. So nothing may come
        before the start is paid for, which a slow machine takes a second for, and before we know where to send it.
        `waited`: the socket listened before this life, and what comes first may have waited as long as that lasts.
        """
        self._door, self._queued = made, waited
        self._open()

    def _open(self) -> None:
        if self._door is None or not self.discovery.is_ready or self.lifecycle.phase is not Phase.STARTING:
            return
        made, self._door = self._door, None
        if self._queued:
            self.deadlines.mark_waiting(clock.BORN)
        try:
            opened(made)
        except OSError as fault:  # another came in between, which only bound it as we did
            log.note("cannot listen", f"{self.configuration.listen}: {fault.strerror}")
            self.code = CANNOT_LISTEN
            self.reactor.callWhenRunning(self.reactor.stop)
            return
        # A port that Twisted has made shuts its socket down when it closes, and with it any copy elsewhere.
        port = self.reactor.adoptStreamPort(made.fileno(), made.family, self.front)
        made.close()
        self.lifecycle.listening(port)
