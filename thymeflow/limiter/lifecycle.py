"""The phases from start to exit, as named states of one object."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from thymeflow.core.dispatcher import RequestDispatcher
from thymeflow.frontend.frontend import Frontend
from thymeflow.frontend.listener import BACKLOG
from thymeflow.limiter import phases
from thymeflow.limiter.phases import Phase, Word
from thymeflow.runtime import clock, log

LINGER = 0.7  # s after SIGTERM: user agents still come and are served, as they have not been told yet
SENT_ON = 0.5  # s after `evacuate`: the front asks every 0.1 s, and sends on for 0.2 s more
PATIENT = 3.0  # s: we may be killed LINGER and the longest deadline after SIGTERM, this if that is longer (PROTOCOL)
REST = 0.2  # s: so long before that all is answered that came after SIGTERM
EXTRA = 1.0  # s past the longest deadline: a user agent that never takes its answer is left behind


class Lifecycle:
    """Goes from phase to phase; there are ways back from evacuated and from handed over."""

    def __init__(
        self,
        deadlines: clock.Deadlines,
        core: RequestDispatcher,
        front: Frontend,
        longest: float,
        stop: Callable[[], None],
        linger: float = LINGER,
    ) -> None:
        self.phase = Phase.STARTING
        self._deadlines, self._core, self._front, self.longest = deadlines, core, front, longest
        self._stop, self._linger = stop, linger
        self.port: Any = None  # where it listens, and that as text
        self.where = ""
        self._listed = self._closed = False
        self.reload: Callable[[], object] = lambda: None  # set once there is something to reload
        self.on_stopping: Callable[[], float] = lambda: 0.0  # last words, and the seconds that they want
        self.on_phase: Callable[[Phase], None] = lambda phase: None  # who tells others of the phase
        self._lingers = False  # told to end, and the front may not have noticed yet
        self._evacuated = 0  # how often; what was set going by an earlier one is old
        front.is_ready = self.takes_clients
        front.describe_state = lambda: phases.WHY[self.phase]
        front.on_client_lost = self._look

    def takes_clients(self) -> bool:
        """Whether user agents are taken now: what `PING` and `readyz` both answer."""
        return self.phase in (Phase.SERVING, Phase.HANDED_OVER) or (self.phase is Phase.DRAINING and self._lingers)

    def call(self, word: Word) -> tuple[bool, str]:
        """An operator's call: whether the answer is yes, and the reason in words."""
        phase, yes, why = phases.called(self.phase, word, self.takes_clients())
        if word is not Word.READY:
            log.note("call", f"{word.value}: {'yes' if yes else 'no'}, {why}")
        if phase is not self.phase:
            self._enter(phase)
            self._evacuated += 1
            if phase is Phase.EVACUATED:
                self._deadlines.at(clock.now() + SENT_ON, self._empty, self._evacuated)
            else:
                self._front.resume()
        return yes, why

    def _empty(self, evacuated: int) -> None:
        if self.phase is Phase.EVACUATED and evacuated == self._evacuated:
            self._front.drain()

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        log.note("phase", phase.value, phase=phase.value)
        self.on_phase(phase)

    def listed(self) -> None:
        """A list with application servers is known."""
        self._listed = True
        self._ready()

    def listening(self, port: Any) -> None:
        """User agents can connect."""
        self.port, host = port, port.getHost()
        self.where = f"{host.host}:{host.port}"
        log.note("listening", self.where, port=host.port)
        self._ready()

    def _ready(self) -> None:
        if self.phase is Phase.STARTING and self._listed and self.port is not None:
            self._enter(Phase.SERVING)

    def on_handed_over(self) -> None:
        """A successor accepts: let go of user agents; the socket is kept in case that one dies."""
        self._enter(Phase.HANDED_OVER)
        self._front.close()

    def resume(self) -> None:
        """It died, or never accepted: accept again."""
        if self.phase in (Phase.HANDED_OVER, Phase.SERVING, Phase.EVACUATED):
            if self.phase is Phase.HANDED_OVER:
                self._enter(Phase.SERVING)
                self._front.resume()
            self.port.startReading()

    def terminate(self, linger: float | None = None) -> None:
        """SIGTERM or SIGINT: end in good order; `linger` where nobody needs the time to notice."""
        if self.phase not in (Phase.DRAINING, Phase.STOPPED):
            self._lingers = self.phase is Phase.SERVING
            self._enter(Phase.DRAINING)
            now = clock.now()
            self._front.exit_deadline = now + LINGER + min(self.longest, PATIENT) - REST
            stays = now + (self._linger if linger is None else linger)
            self._deadlines.at(stays, self._close)
            self._deadlines.at(stays + self.longest + EXTRA, self._end)

    def reload_settings(self) -> None:
        """SIGHUP: harmless in every phase; while ending, what is in hand still wants its counter."""
        if self.phase is not Phase.STOPPED:
            self.reload()

    def _close(self, _: int) -> None:
        if self.port is not None:
            met, most = -1, self._front.accepted_count + BACKLOG
            while (
                self.takes_clients() and met < self._front.accepted_count < most
            ):  # who waits in the queue would be reset with it
                met = self._front.accepted_count
                self.port.doRead()  # some of them at a time
            self.port.stopListening()
        self._closed, self._lingers = True, False
        self._front.close()
        self._look()

    def _look(self) -> None:
        if self._closed and not len(self._front.agents) and not self._core.open_count():
            self._end(0)
        elif self._closed and not len(self._front.agents):
            self._deadlines.at(clock.now() + 0.05, lambda _: self._look())  # passes given up still end

    def _end(self, _: int) -> None:
        if self.phase is not Phase.STOPPED:
            self._enter(Phase.STOPPED)
            wants = self.on_stopping()
            if wants > 0.0:
                self._deadlines.at(clock.now() + wants, lambda _: self._stop())
            else:
                self._stop()
