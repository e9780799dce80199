"""Builds a limiter from its components. It makes no admission decisions, and connects nothing before `start`."""

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
from thymeflow.frontend.limits import FrontendLimits
from thymeflow.frontend.listener import bind_listener, start_listening
from thymeflow.limiter.lifecycle import TERMINATION_LINGER, Lifecycle
from thymeflow.limiter.management import BACKLOG, ManagementServer
from thymeflow.limiter.phases import Phase
from thymeflow.limiter.reload import ConfigurationReloader
from thymeflow.platform import configuration, endpoints
from thymeflow.quota.buckets import INITIAL_FILL_FRACTION
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind

# Fraction of the file descriptors for clients; the backends get the other descriptors.
CLIENT_FRACTION = 0.7
# Fractions of the memory limit for requests in flight, for responses that clients have not read, for long bodies that
# backends have not taken, for commands that wait for earlier ones, and for incomplete commands.
REQUEST_MEMORY_FRACTION = 0.15
RESPONSE_MEMORY_FRACTION = 0.15
BODY_MEMORY_FRACTION = 0.15
READ_AHEAD_MEMORY_FRACTION = 0.05
INPUT_MEMORY_FRACTION = 0.2
PREDECESSOR_OTHER_DESCRIPTORS = 16  # descriptors of a predecessor that are not counted as its connections
MIN_CONNECTIONS = 24  # lower bound, even if a predecessor still has all descriptors open
CANNOT_LISTEN = 3  # exit code: the address is invalid or in use


class Budgets(NamedTuple):
    """The limits of this process: connections to clients and to backends, and bytes by purpose."""

    backend_connections: int
    request_bytes: int
    frontend: FrontendLimits


def compute_longest_deadline(settings: GatewaySettings) -> float:
    """Return the longest deadline of any class, in seconds."""
    return max((request_class.deadline for request_class in settings.classes), default=0.0)


def make_gateway(
    initial: configuration.Configuration, start: float = INITIAL_FILL_FRACTION, offset: float = 0.0
) -> Gateway:
    """Return the gateway of a configuration.

    `start`: the fraction of the burst that a new bucket contains.
    `offset`: the seconds to add to this machine's clock to get the clock that all limiters of the set share.
    """
    if initial.units == configuration.UNITS_BY_RESERVATION and initial.settings.information.counter:
        # Imported only where it is used, which shortens the start.
        from thymeflow.decision.reserved_admission import create_reserving_gateway

        return create_reserving_gateway(initial.settings, initial.seed, start, offset)
    return create_gateway(initial.settings, initial.seed, start)


def _log_stall(seconds: float) -> None:
    log.emit_rate_limited(
        LogKind.STALL,
        f"the event loop was blocked for {seconds:.2f} s; requests that waited have that much less time left",
        seconds=round(seconds, 3),
    )


class Limiter:
    """One limiter: it is built, started, and then run by the reactor until its lifecycle ends."""

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
        self._listener: socket.socket | None = None  # bound; it listens once the endpoint list is known
        self._has_queue = False  # connections may already wait in the socket's queue
        budgets = self._compute_budgets(None)
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
            compute_longest_deadline(settings),
            reactor.stop,
            self.reloader.reload_configuration,
            linger,
        )
        # Callbacks for the snapshot, which keeps a copy of the list, and for components that wait for a list.
        self.on_endpoints_applied: Callable[[endpoints.EndpointUpdate], None] = lambda _: None
        self.on_endpoints_available: Callable[[], None] = lambda: None
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
            budgets.frontend,
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

    # Implementation of `frontend.FrontendOwner`.

    def is_accepting_clients(self) -> bool:
        """Return whether clients are accepted now."""
        return self.lifecycle.is_accepting_clients()

    def describe_state(self) -> str:
        """Return the phase as a sentence, which is the reason while clients are not accepted."""
        return self.lifecycle.describe_state()

    def on_client_lost(self) -> None:
        """Continue a shutdown that waits for the last client to disconnect."""
        self.lifecycle.on_client_lost()

    # Implementation of `watch.EndpointObserver`.

    def on_endpoints_changed(self, update: endpoints.EndpointUpdate) -> None:
        """Apply a change of the endpoint list to the gateway and the connections."""
        update = endpoints.mark_replaced_backends(update, self.backends.get_addresses())
        self.dispatcher.apply_endpoints(update.change, lambda: self.backends.apply_update(update))
        self.on_endpoints_applied(update)
        if update.addresses:
            self.lifecycle.on_endpoints_known()

    def on_endpoints_ready(self) -> None:
        """Accept clients from now on: a list was received, or the known list is used after the timeout."""
        self._open_listener()
        self.on_endpoints_available()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings to new requests; open requests keep the settings that they were accepted under."""
        self.frontend.apply_settings(settings)
        self.dispatcher.apply_settings(settings)
        self.backends.set_limits(settings.limits)
        self.discovery.set_limiter_count(settings.limiter_count)
        self.lifecycle.raise_longest_deadline(compute_longest_deadline(settings))

    def start(self) -> None:
        """Listen for operators, connect to counter and discovery, and listen for clients once endpoints are known.

        :raises OSError: if the listen address is invalid or in use.
        """
        self.listen_for_operators()
        self.listen(bind_listener(self.configuration.listen.host, self.configuration.listen.port))
        self.connect(clock.now() + FIRST_LIST_TIMEOUT)

    def listen_for_operators(self) -> None:
        """Listen for operators' commands, if the configuration has a management address.

        :raises CannotListenError: if the management address is in use.
        """
        address = self.configuration.management
        if address is not None:
            port = self.reactor.listenTCP(
                address.port,
                ManagementServer(self.deadlines, self.lifecycle.on_command),
                backlog=BACKLOG,
                interface=address.host,
            )
            log.emit(LogKind.CALLS, f"listening for operators' commands at {address.host}:{port.getHost().port}")

    def connect(self, first_message_deadline: float) -> None:
        """Connect to counter and discovery; further calls do nothing.

        Without a message of discovery by the deadline (Unix seconds), the limiter uses the known endpoint list.
        """
        if self._is_connected:
            return
        self._is_connected = True
        if self.counter is not None:
            self.counter.connect()
        self.discovery.start(first_message_deadline)

    def share_limits_with_predecessor(self, predecessor_descriptors: int | None) -> None:
        """Leave a part of the limits to a predecessor with this number of open descriptors; None: it has ended."""
        budgets = self._compute_budgets(predecessor_descriptors)
        self.frontend.set_limits(budgets.frontend)
        self.backends.set_max_connections(budgets.backend_connections)
        self.dispatcher.set_memory_limit(budgets.request_bytes)

    def _compute_budgets(self, predecessor_descriptors: int | None) -> Budgets:
        connections = self.configuration.sockets - configuration.RESERVED_SOCKETS
        memory = self.configuration.memory
        if predecessor_descriptors is not None:
            available = connections - predecessor_descriptors - PREDECESSOR_OTHER_DESCRIPTORS
            connections = max(MIN_CONNECTIONS, available)
            memory //= 2
        client_connections = int(connections * CLIENT_FRACTION)
        limits = FrontendLimits(
            client_connections,
            int(memory * RESPONSE_MEMORY_FRACTION),
            int(memory * BODY_MEMORY_FRACTION),
            int(memory * READ_AHEAD_MEMORY_FRACTION),
            int(memory * INPUT_MEMORY_FRACTION),
        )
        return Budgets(connections - client_connections, int(memory * REQUEST_MEMORY_FRACTION), limits)

    def on_handover_changed(self, is_handed_over: bool) -> None:
        """Stop accepting clients after a handover to a successor, or accept them again if the handover failed."""
        self.backends.set_close_when_idle(is_handed_over)
        if is_handed_over:
            self.lifecycle.on_handed_over()
        else:
            self.lifecycle.resume()

    def listen(self, listener: socket.socket, was_listening: bool = False) -> None:
        """Take ownership of a socket that was created elsewhere, and listen on it once the endpoint list is known.

        The kernel queues requests for a socket that listens, while their deadlines run. So the socket must not listen
        before the start is complete, which takes a second on a slow machine, and before the backends are known.
        `was_listening`: the socket listened before this process started, so its first requests may have waited since
        then.
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
        except OSError as error:  # Another process had bound the same address, and has listened on it first.
            log.emit(
                LogKind.CANNOT_LISTEN,
                f"listening at {self.configuration.listen} failed, the process exits: {error.strerror}",
            )
            self.exit_code = CANNOT_LISTEN
            self.reactor.callWhenRunning(self.reactor.stop)
            return
        # A port that Twisted has created itself shuts down its socket on closing, and with it the copies of the socket
        # in other processes.
        port = self.reactor.adoptStreamPort(listener.fileno(), listener.family, self.frontend)
        listener.close()
        self.lifecycle.on_listening(port)
