"""Builds a limiter from its components. Nothing here decides, and nothing is connected before `start`."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, NamedTuple

from thymeflow.backends.backends import BackendConnections
from thymeflow.core.dispatcher import RequestDispatcher
from thymeflow.counter.client import CounterClient
from thymeflow.decision.factory import create_gateway
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import DiscoveryMode, GatewaySettings
from thymeflow.discovery.watch import FIRST_LIST_TIMEOUT, EndpointWatcher
from thymeflow.frontend.frontend import Frontend
from thymeflow.frontend.listener import bind_listener, start_listening
from thymeflow.limiter.lifecycle import TERMINATION_LINGER, Lifecycle
from thymeflow.limiter.management import MAX_CALLERS, ManagementServer
from thymeflow.limiter.phases import Phase
from thymeflow.limiter.reload import ConfigurationReloader
from thymeflow.platform import configuration, endpoints
from thymeflow.quota.buckets import INITIAL_FILL_FRACTION
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind

CLIENT_FRACTION = 0.7  # of the descriptors: for clients; the rest is for backends
REQUEST_MEMORY_FRACTION = 0.25  # of the memory limit: for requests in flight
RESPONSE_MEMORY_FRACTION = 0.15  # of the memory limit: for responses that clients have not taken
INPUT_MEMORY_FRACTION = 0.05  # of the memory limit: for commands that have begun and are incomplete
PREDECESSOR_OTHER_DESCRIPTORS = 16  # of an earlier process, beside its connections
MIN_CONNECTIONS = 24  # however many descriptors an earlier process still has
CANNOT_LISTEN = 3  # exit code: the address is invalid or in use


class Budgets(NamedTuple):
    """What this process may use: connections on each side, and bytes by purpose."""

    client_connections: int
    backend_connections: int
    request_bytes: int
    response_bytes: int
    unfinished_input_bytes: int


def longest_deadline_of(settings: GatewaySettings) -> float:
    """Return the longest deadline of any class, in seconds."""
    return max((request_class.deadline for request_class in settings.classes), default=0.0)


def make_gateway(
    given: configuration.Configuration, start: float = INITIAL_FILL_FRACTION, offset: float = 0.0
) -> Gateway:
    """Return the gateway of a configuration.

    `offset`: from our clock to one that all limiters of the set share, in seconds.
    """
    if given.units == configuration.UNITS_BY_RESERVATION and given.settings.information.counter:
        # Loaded only where it is used.
        from thymeflow.decision.reserved_admission import create_reserving_gateway

        return create_reserving_gateway(given.settings, given.seed, start, offset)
    return create_gateway(given.settings, given.seed, start)


def _log_stall(seconds: float) -> None:
    log.emit_rate_limited(
        LogKind.STALL,
        f"the event loop was blocked for {seconds:.2f} s; requests that waited have that much less time left",
        seconds=round(seconds, 3),
    )


class Limiter:
    """One limiter: made, started, then run by the reactor until its lifecycle ends."""

    def __init__(
        self,
        initial: configuration.Configuration,
        reactor: Any,  # noqa: ANN401  # Twisted's reactor interfaces are no static types
        gateway: Gateway | None = None,
        load: Callable[[], configuration.Configuration] = configuration.load,
        linger: float = TERMINATION_LINGER,
    ) -> None:
        settings = initial.settings
        self.configuration = initial
        self.reactor = reactor
        self.deadlines = clock.Deadlines(reactor, _log_stall)
        self._is_connected = False
        self.exit_code = 0
        self._listener: socket.socket | None = None  # bound, and to be opened once the endpoint list is known
        self._has_queue = False  # connections may wait at it already
        budgets = self._budgets(None)
        self.gateway = gateway or make_gateway(initial)
        self.discovery = self._build_discovery()
        self.counter = None if initial.counter is None else CounterClient(reactor, self.deadlines, initial.counter)
        self.backends = BackendConnections(
            reactor, self.deadlines, settings.limits, budgets.backend_connections, self.discovery.read_pending
        )
        self.dispatcher = self._build_dispatcher(budgets)
        self.frontend = self._build_frontend(budgets)
        self.reloader = ConfigurationReloader(initial, self.discovery, self.counter, self.apply_settings, load)
        self.lifecycle = Lifecycle(
            self.deadlines,
            self.dispatcher,
            self.frontend,
            longest_deadline_of(settings),
            reactor.stop,
            self.reloader.reload_configuration,
            linger,
        )
        self.on_endpoints_applied: Callable[[endpoints.EndpointUpdate], None] = lambda _: None  # for a copy of the list
        self.on_endpoints_available: Callable[[], None] = lambda: None  # for components that wait for the list
        self.on_endpoints_changed(initial.endpoints)

    def _build_dispatcher(self, budgets: Budgets) -> RequestDispatcher:
        return RequestDispatcher(
            self.configuration.settings,
            self.gateway,
            self.deadlines,
            budgets.request_bytes,
            self.backends,
            self.counter,
            self.discovery,
        )

    def _build_frontend(self, budgets: Budgets) -> Frontend:
        return Frontend(
            self.dispatcher,
            self.configuration.settings,
            self.deadlines,
            self,
            budgets.client_connections,
            budgets.response_bytes,
            budgets.unfinished_input_bytes,
        )

    def _build_discovery(self) -> EndpointWatcher:
        initial = self.configuration
        return EndpointWatcher(
            self.reactor,
            self.deadlines,
            initial.discovery,
            initial.endpoints.change.version,
            self,
            initial.settings.limiter_count,
            initial.seed,
            initial.settings.discovery is DiscoveryMode.PUSH,
        )

    # The methods of `frontend.FrontendOwner`.

    def is_accepting_clients(self) -> bool:
        """Return whether clients are accepted now."""
        return self.lifecycle.is_accepting_clients()

    def describe_state(self) -> str:
        """Return why clients are not accepted."""
        return self.lifecycle.describe_state()

    def on_client_lost(self) -> None:
        """Continue a shutdown that waited for a client to leave."""
        self.lifecycle.on_client_lost()

    # The methods of `watch.EndpointObserver`.

    def on_endpoints_changed(self, update: endpoints.EndpointUpdate) -> None:
        """Apply a change of the endpoint list."""
        self.dispatcher.apply_endpoints(update.change, lambda: self.backends.apply_update(update))
        self.on_endpoints_applied(update)
        if update.addresses:
            self.lifecycle.on_endpoints_known()

    def on_endpoints_ready(self) -> None:
        """Accept clients from now on: the endpoint list is as complete as it gets."""
        self._open_listener()
        self.on_endpoints_available()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply other settings from now on; what is open keeps the rules that it was accepted under."""
        self.frontend.apply_settings(settings)
        self.dispatcher.apply_settings(settings)
        self.backends.set_limits(settings.limits)
        self.discovery.set_limiter_count(settings.limiter_count)
        self.lifecycle.raise_longest_deadline(longest_deadline_of(settings))

    def start(self) -> None:
        """Listen for operators, connect to counter and discovery, and listen for clients once endpoints are known.

        :raises OSError: if the address is invalid or in use.
        """
        self.listen_for_operators()
        self.listen(bind_listener(self.configuration.listen.host, self.configuration.listen.port))
        self.connect(clock.now() + FIRST_LIST_TIMEOUT)

    def listen_for_operators(self) -> None:
        """Listen for operators, if the configuration has an address for them.

        :raises CannotListenError: if the address is in use.
        """
        address = self.configuration.management
        if address is not None:
            port = self.reactor.listenTCP(
                address.port,
                ManagementServer(self.deadlines, self.lifecycle.on_command),
                backlog=MAX_CALLERS,
                interface=address.host,
            )
            log.emit(LogKind.CALLS, f"operators may call at {address.host}:{port.getHost().port}")

    def connect(self, by: float) -> None:
        """Connect to counter and discovery, once; `by`: when to go on though discovery has not answered."""
        if self._is_connected:
            return
        self._is_connected = True
        if self.counter is not None:
            self.counter.connect()
        self.discovery.start(by)

    def share_limits_with_predecessor(self, descriptor_count: int | None) -> None:
        """Share the limits with an earlier process that has so many descriptors open; None: it has ended."""
        budgets = self._budgets(descriptor_count)
        self.frontend.set_limits(budgets.client_connections, budgets.response_bytes, budgets.unfinished_input_bytes)
        self.backends.set_max_connections(budgets.backend_connections)
        self.dispatcher.set_memory_limit(budgets.request_bytes)

    def _budgets(self, predecessor_descriptors: int | None) -> Budgets:
        connections = self.configuration.sockets - configuration.RESERVED_SOCKETS
        memory = self.configuration.memory
        if predecessor_descriptors is not None:
            left = connections - predecessor_descriptors - PREDECESSOR_OTHER_DESCRIPTORS
            connections = max(MIN_CONNECTIONS, left)
            memory //= 2
        client_connections = int(connections * CLIENT_FRACTION)
        return Budgets(
            client_connections,
            connections - client_connections,
            int(memory * REQUEST_MEMORY_FRACTION),
            int(memory * RESPONSE_MEMORY_FRACTION),
            int(memory * INPUT_MEMORY_FRACTION),
        )

    def on_handover_changed(self, is_handed_over: bool) -> None:
        """Stop accepting, as a successor does, or accept again if it does not."""
        self.backends.set_resting(is_handed_over)
        if is_handed_over:
            self.lifecycle.on_handed_over()
        else:
            self.lifecycle.resume()

    def listen(self, listener: socket.socket, was_listening: bool = False) -> None:
        """Listen at a socket that was made elsewhere, and is ours from now on, once the endpoint list is known.

        The kernel queues requests for a process that listens, and their time runs. So nothing may come before the
        start is done, which takes a second on a slow machine, and before we know where to send it.
        `was_listening`: the socket listened before this process began, and what comes first may have waited since then.
        """
        self._listener = listener
        self._has_queue = was_listening
        self._open_listener()

    def _open_listener(self) -> None:
        if self._listener is None or not self.discovery.is_ready or self.lifecycle.phase is not Phase.STARTING:
            return
        listener = self._listener
        self._listener = None
        if self._has_queue:
            self.deadlines.mark_waiting(clock.STARTED_AT)
        try:
            start_listening(listener)
        except OSError as error:  # another process listened in between, which had only bound it as we did
            log.emit(LogKind.CANNOT_LISTEN, f"{self.configuration.listen}: {error.strerror}")
            self.exit_code = CANNOT_LISTEN
            self.reactor.callWhenRunning(self.reactor.stop)
            return
        # A port that Twisted has made shuts its socket down when it closes, and with it any copy elsewhere.
        port = self.reactor.adoptStreamPort(listener.fileno(), listener.family, self.frontend)
        listener.close()
        self.lifecycle.on_listening(port)
