"""The phases from start to exit, as named states of one object."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from thymeflow.core.dispatcher import RequestDispatcher
from thymeflow.frontend.frontend import Frontend
from thymeflow.frontend.listener import BACKLOG
from thymeflow.limiter import phases
from thymeflow.limiter.phases import OperatorCommand, Phase
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind

TERMINATION_LINGER = 0.7  # s after SIGTERM: clients still connect and are served, as they are not notified yet
EVACUATION_DELAY = 0.5  # s after `evacuate`: the balancer polls every 0.1 s, and forwards for 0.2 s more
# s: we may be killed TERMINATION_LINGER and the longest deadline after SIGTERM, or this if that is longer (PROTOCOL)
MAX_AWAITED_DEADLINE = 3.0
TERMINATION_MARGIN = 0.2  # s: so long before that everything is answered that came after SIGTERM
UNTAKEN_RESPONSE_GRACE = 1.0  # s past the longest deadline: a client that never takes its response is left behind
STOP_CHECK_INTERVAL = 0.05  # s: between checks for attempts that were abandoned and have not ended


class Lifecycle:
    """Goes from phase to phase; there are ways back from evacuated and from handed over."""

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
        self.port: Any = None  # where it listens (Twisted's port), and that as text
        self.listen_address = ""
        self._has_endpoints = False
        self._is_closed = False
        self.on_stopping: Callable[[], float] = lambda: 0.0  # sends final messages; returns the seconds they need
        self.on_phase: Callable[[Phase], None] = lambda _: None
        self._is_lingering = False  # got a termination signal, and the balancer may not have noticed yet
        self._evacuation_count = 0  # a delayed step of an earlier evacuation is ignored

    def is_accepting_clients(self) -> bool:
        """Return whether clients are accepted now: what `PING` and `readyz` both answer."""
        return self.phase in (Phase.SERVING, Phase.HANDED_OVER) or (self.phase is Phase.DRAINING and self._is_lingering)

    def describe_state(self) -> str:
        """Return the phase as a sentence: why clients are not accepted, where they are not."""
        return phases.REASONS[self.phase]

    def raise_longest_deadline(self, seconds: float) -> None:
        """Take note of requests that may last for so many seconds; those accepted earlier keep their deadlines."""
        self._longest_deadline = max(self._longest_deadline, seconds)

    def on_command(self, command: OperatorCommand) -> tuple[bool, str]:
        """Carry out an operator's command; return whether it was accepted, and the reason as text."""
        phase, is_accepted, reason = phases.apply_command(self.phase, command, self.is_accepting_clients())
        if command is not OperatorCommand.READY:
            log.emit(LogKind.CALL, f"{command.value}: {'yes' if is_accepted else 'no'}, {reason}")
        if phase is not self.phase:
            self._enter(phase)
            self._evacuation_count += 1
            if phase is Phase.EVACUATED:
                self._deadlines.schedule(clock.now() + EVACUATION_DELAY, self._drain_evacuated, self._evacuation_count)
            else:
                self._frontend.resume()
        return is_accepted, reason

    def _drain_evacuated(self, evacuation: int) -> None:
        if self.phase is Phase.EVACUATED and evacuation == self._evacuation_count:
            self._frontend.drain()

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        log.emit(LogKind.PHASE, phase.value, phase=phase.value)
        self.on_phase(phase)

    def on_endpoints_known(self) -> None:
        """Note that an endpoint list with backends is known."""
        self._has_endpoints = True
        self._serve_if_ready()

    def on_listening(self, port: Any) -> None:  # noqa: ANN401  # Twisted's port interface has neither doRead nor fileno
        """Note that clients can connect at this port of Twisted's."""
        self.port = port
        host = port.getHost()
        self.listen_address = f"{host.host}:{host.port}"
        log.emit(LogKind.LISTENING, self.listen_address, port=host.port)
        self._serve_if_ready()

    def _serve_if_ready(self) -> None:
        if self.phase is Phase.STARTING and self._has_endpoints and self.port is not None:
            self._enter(Phase.SERVING)

    def on_handed_over(self) -> None:
        """Drain the clients, as a successor accepts; the socket stays open in case that one dies."""
        self._enter(Phase.HANDED_OVER)
        self._frontend.close()

    def resume(self) -> None:
        """Accept again, as the successor died or never accepted."""
        if self.phase in (Phase.HANDED_OVER, Phase.SERVING, Phase.EVACUATED):
            if self.phase is Phase.HANDED_OVER:
                self._enter(Phase.SERVING)
                self._frontend.resume()
            self.port.startReading()

    def terminate(self, linger: float | None = None) -> None:
        """Shut down gracefully (SIGTERM or SIGINT); `linger` in seconds, where no balancer needs the time to notice."""
        if self.phase not in (Phase.DRAINING, Phase.STOPPED):
            self._is_lingering = self.phase is Phase.SERVING
            self._enter(Phase.DRAINING)
            now = clock.now()
            awaited = min(self._longest_deadline, MAX_AWAITED_DEADLINE)
            self._frontend.set_exit_deadline(now + TERMINATION_LINGER + awaited - TERMINATION_MARGIN)
            close_at = now + (self._linger if linger is None else linger)
            self._deadlines.schedule(close_at, self._on_linger_over)
            self._deadlines.schedule(
                close_at + self._longest_deadline + UNTAKEN_RESPONSE_GRACE, self._complete_shutdown
            )

    def reload_settings(self) -> None:
        """Reload (SIGHUP): harmless in every phase; while draining, requests in flight still need their counter."""
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
        # Connections that wait in the queue would be reset with it.
        accepted_before = -1
        max_accepted = self._frontend.accepted_count + BACKLOG
        while self.is_accepting_clients() and accepted_before < self._frontend.accepted_count < max_accepted:
            accepted_before = self._frontend.accepted_count
            self.port.doRead()  # accepts some of them at a time

    def on_client_lost(self) -> None:
        """Stop if that was the last client of a limiter that accepts no others."""
        self._stop_if_idle()

    def _stop_if_idle(self) -> None:
        if self._is_closed and not len(self._frontend.clients) and not self._dispatcher.open_count():
            self._complete_shutdown(0)
        elif self._is_closed and not len(self._frontend.clients):
            # Attempts that were abandoned still end.
            self._deadlines.schedule(clock.now() + STOP_CHECK_INTERVAL, lambda _: self._stop_if_idle())

    def _complete_shutdown(self, _: int) -> None:
        if self.phase is not Phase.STOPPED:
            self._enter(Phase.STOPPED)
            delay = self.on_stopping()
            if delay > 0.0:
                self._deadlines.schedule(clock.now() + delay, lambda _: self._stop())
            else:
                self._stop()
