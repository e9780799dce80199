"""The lifecycle of a limiter process: its phase from start to exit, and the steps of a shutdown."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Any

from thymeflow.core.dispatcher import RequestDispatcher
from thymeflow.frontend.frontend import Frontend
from thymeflow.frontend.listener import BACKLOG
from thymeflow.limiter import phases
from thymeflow.limiter.phases import OperatorCommand, Phase
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind

# Seconds after SIGTERM in which clients still connect and are served, because they are not notified yet.
TERMINATION_LINGER = 0.7
# Seconds after `evacuate` until clients are drained. The balancer polls every 0.1 s, and forwards for 0.2 s more.
EVACUATION_DELAY = 0.5
# Upper bound in seconds of the longest deadline that is awaited after SIGTERM. PROTOCOL lets the process be killed
# TERMINATION_LINGER plus the longest deadline, at most this, after SIGTERM.
MAX_AWAITED_DEADLINE = 3.0
# Seconds before that kill by which each request that came after SIGTERM is answered.
TERMINATION_MARGIN = 0.2
# Seconds past the longest deadline after which the process stops although a client has not read its response.
UNREAD_RESPONSE_GRACE = 1.0
# Seconds after that in which responses that make progress are completed, and between two checks whether they do.
MAX_DELIVERY_SECONDS = 30.0
DELIVERY_CHECK_INTERVAL = 0.5
STOP_CHECK_INTERVAL = 0.05  # seconds between two checks whether abandoned attempts have ended


class Lifecycle:
    """Holds the phase and changes it; EVACUATED and HANDED_OVER can change back to SERVING."""

    def __init__(
        self,
        deadlines: clock.Deadlines,
        dispatcher: RequestDispatcher,
        frontend: Frontend,
        longest_deadline: float,
        stop: Callable[[], None],
        reload: Callable[[], object],
        linger: float = TERMINATION_LINGER,
    ) -> None:
        self.phase = Phase.STARTING
        self._deadlines = deadlines
        self._dispatcher = dispatcher
        self._frontend = frontend
        self._longest_deadline = longest_deadline
        self._stop = stop
        self._reload = reload
        self._linger = linger
        self.port: Any = None  # Twisted's listening port
        self.listen_address = ""  # host:port of that port
        self._has_endpoints = False
        self._is_closed = False
        self._latest_stop_at = inf  # time at which the process stops although responses are not complete
        # A callback that sends final messages and returns the seconds that they need.
        self.on_stopping: Callable[[], float] = lambda: 0.0
        self.on_phase: Callable[[Phase], None] = lambda _: None
        # True after a termination signal, while the balancer may not have noticed the shutdown.
        self._is_lingering = False
        self._evacuation_count = 0  # lets the delayed drain of an earlier evacuation be ignored

    def is_accepting_clients(self) -> bool:
        """Return whether clients are accepted now, which is the answer to `PING` and to `readyz`."""
        return self.phase in (Phase.SERVING, Phase.HANDED_OVER) or (self.phase is Phase.DRAINING and self._is_lingering)

    def describe_state(self) -> str:
        """Return the phase as a sentence, which is the reason while clients are not accepted."""
        return phases.REASONS[self.phase]

    def raise_longest_deadline(self, seconds: float) -> None:
        """Raise the longest deadline to this number of seconds; requests accepted earlier keep their deadlines."""
        self._longest_deadline = max(self._longest_deadline, seconds)

    def on_command(self, command: OperatorCommand) -> tuple[bool, str]:
        """Execute an operator's command; return whether it was accepted, and the reason as text."""
        phase, is_accepted, reason = phases.apply_command(self.phase, command, self.is_accepting_clients())
        if command is not OperatorCommand.READY:
            log.emit(
                LogKind.CALL,
                f"operator's command {command.value} {'accepted' if is_accepted else 'rejected'}: {reason}",
            )
        if phase is not self.phase:
            self._enter(phase)
            self._evacuation_count += 1
            if phase is Phase.EVACUATED:
                self._deadlines.schedule(clock.now() + EVACUATION_DELAY, self._drain_evacuated, self._evacuation_count)
            else:
                self._frontend.resume()
        return is_accepted, reason

    def _drain_evacuated(self, evacuation_number: int) -> None:
        if self.phase is Phase.EVACUATED and evacuation_number == self._evacuation_count:
            self._frontend.drain()

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        log.emit(LogKind.PHASE, phase.value, phase=phase.value)
        self.on_phase(phase)

    def on_endpoints_known(self) -> None:
        """Serve clients, now that an endpoint list with backends is known, if the limiter also listens."""
        self._has_endpoints = True
        self._serve_if_ready()

    def on_listening(self, port: Any) -> None:  # noqa: ANN401  # Twisted's port interface has neither doRead nor fileno
        """Record Twisted's port at which clients connect, and serve them if backends are known."""
        self.port = port
        host = port.getHost()
        self.listen_address = f"{host.host}:{host.port}"
        log.emit(LogKind.LISTENING, self.listen_address, port=host.port)
        self._serve_if_ready()

    def _serve_if_ready(self) -> None:
        if self.phase is Phase.STARTING and self._has_endpoints and self.port is not None:
            self._enter(Phase.SERVING)

    def on_handed_over(self) -> None:
        """Drain the clients, because a successor accepts new ones; the socket stays open in case the successor dies."""
        self._enter(Phase.HANDED_OVER)
        self._frontend.close()

    def resume(self) -> None:
        """Accept clients again, because the successor died or never accepted any."""
        if self.phase in (Phase.HANDED_OVER, Phase.SERVING, Phase.EVACUATED):
            if self.phase is Phase.HANDED_OVER:
                self._enter(Phase.SERVING)
                self._frontend.resume()
            self.port.startReading()

    def terminate(self, linger: float | None = None) -> None:
        """Shut down gracefully (SIGTERM or SIGINT).

        `linger`: the seconds to accept clients for, if no balancer needs the default time to notice the shutdown.
        """
        if self.phase not in (Phase.DRAINING, Phase.STOPPED):
            self._is_lingering = self.phase is Phase.SERVING
            self._enter(Phase.DRAINING)
            now = clock.now()
            awaited = min(self._longest_deadline, MAX_AWAITED_DEADLINE)
            self._frontend.set_exit_deadline(now + TERMINATION_LINGER + awaited - TERMINATION_MARGIN)
            close_at = now + (self._linger if linger is None else linger)
            self._deadlines.schedule(close_at, self._on_linger_over)
            stop_at = close_at + self._longest_deadline + UNREAD_RESPONSE_GRACE
            self._latest_stop_at = stop_at + MAX_DELIVERY_SECONDS
            self._deadlines.schedule(stop_at, self._stop_after_delivery)

    def reload_settings(self) -> None:
        """Reload the configuration (SIGHUP), in every phase but STOPPED.

        Requests in flight need the counter at its present address even while the limiter drains.
        """
        if self.phase is not Phase.STOPPED:
            self._reload()

    def _on_linger_over(self, _: int) -> None:
        if self.port is not None:
            self._accept_queued()
            self.port.stopListening()
        self._is_closed = True
        self._is_lingering = False
        self._frontend.close()
        self._stop_if_idle()

    def _accept_queued(self) -> None:
        # Closing the listening socket resets the connections that wait in its queue, so they are accepted first.
        accepted_before = -1
        max_accepted = self._frontend.accepted_count + BACKLOG
        while self.is_accepting_clients() and accepted_before < self._frontend.accepted_count < max_accepted:
            accepted_before = self._frontend.accepted_count
            self.port.doRead()  # accepts a limited number of connections per call

    def on_client_lost(self) -> None:
        """Stop if no client is left and the limiter accepts no new ones."""
        self._stop_if_idle()

    def _stop_if_idle(self) -> None:
        if self._is_closed and not len(self._frontend.clients) and not self._dispatcher.open_count():
            self._complete_shutdown(0)
        elif self._is_closed and not len(self._frontend.clients):
            # Abandoned attempts are still open; check again until they have ended.
            self._deadlines.schedule(clock.now() + STOP_CHECK_INTERVAL, lambda _: self._stop_if_idle())

    def _stop_after_delivery(self, _: int) -> None:
        # A response that has begun is completed, as long as backend and client make progress.
        now = clock.now()
        if now < self._latest_stop_at and self._frontend.is_delivering(now):
            self._deadlines.schedule(now + DELIVERY_CHECK_INTERVAL, self._stop_after_delivery)
        else:
            self._complete_shutdown(0)

    def _complete_shutdown(self, _: int) -> None:
        if self.phase is not Phase.STOPPED:
            self._enter(Phase.STOPPED)
            delay = self.on_stopping()
            if delay > 0.0:
                self._deadlines.schedule(clock.now() + delay, lambda _: self._stop())
            else:
                self._stop()
