"""The old side of a hand-over: the hands for `handover.GIVING`."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import succeed

from thymeflow import interface as api
from thymeflow.daemon import handover
from thymeflow.daemon.control import Caller, Message
from thymeflow.daemon.handover import Act, Giver, Word
from thymeflow.net import clock, log
from thymeflow.net.phases import Phase
from thymeflow.state import meaning, record

if TYPE_CHECKING:
    from thymeflow.daemon.service import Service

LATE_ENTRIES = 500      # customers in one message of late charges
BYE = 0.2               # s: for the last messages to leave before the process ends


class Muted:
    """A counter that adds nothing: once the state is handed over, the successor tells what was asked."""

    def add(self, name: int, amount: float, ttl: float, deadline: float) -> Any:
        """Turned away, as by a counter's `-BUSY`."""
        return succeed((api.Status.FULL, 0.0))


class Steps:
    """One deadline for the step that is under way."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._entry: clock.Entry = []

    def arm(self, late: Callable[[], None]) -> None:
        """The step begins anew."""
        self.cancel()
        end = clock.now() + self._service.settings.daemon.hand_over
        self._entry = self._service.limiter.deadlines.at(end, lambda _: late())

    def cancel(self) -> None:
        """No step is under way."""
        if self._entry:
            self._service.limiter.deadlines.cancel(self._entry)


class Giving:
    """Hands the listening socket, the name and the state to a successor, and takes them back where it fails."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self.state = Giver.WHOLE
        self.other: Caller | None = None
        self._since: meaning.Since | None = None
        self._memfd = -1
        self._steps = Steps(service)
        self._acts = {Act.OFFER: self._offer, Act.YIELD: self._yield, Act.GRANT: self._grant,
                      Act.DRAIN: self._drain, Act.RESUME: self._resume, Act.FORGET: self._forget,
                      Act.REFUSE: self._refuse}

    def asked(self, caller: Caller, message: Message) -> None:
        """Somebody wants to take over."""
        service = self._service
        phase, site = service.limiter.lifecycle.phase, record.site_of(service.limiter.gateway.settings)
        if phase is not Phase.SERVING:
            caller.say({"ok": False, "why": f"it is {phase.value}"})
        elif message.get("site") != site:
            caller.say({"ok": False, "why": "plans, classes or place in the set differ: restart it instead"})
        elif self.state is not Giver.WHOLE or service.lock is None:
            caller.say({"ok": False, "why": f"a hand-over is under way ({self.state.value})"})
        else:
            self.other, caller.lasting = caller, True
            caller.on_gone = lambda: self.heard(Word.BROKEN)
            log.note("hand-over", f"to life {str(message.get('life'))[:20]}, pid {str(message.get('pid'))[:10]}")
            self.heard(Word.TAKE)

    def heard(self, word: Word) -> None:
        """Take a step."""
        before = self.state
        self.state, acts = handover.heard(before, word)
        if self.state is Giver.WHOLE:
            self._steps.cancel()
            if before is not self.state:
                log.note("hand-over", f"came to no end ({before.value}, {word.value}): this life serves on")
        elif before is not self.state:
            self._steps.arm(lambda: self.heard(Word.LATE))
        for act in acts:
            self._acts[act]()

    def _say(self, message: Message, *descriptors: int) -> None:
        if self.other is not None:
            self.other.say(message, *descriptors)

    def _offer(self) -> None:
        lifecycle, lock = self._service.limiter.lifecycle, self._service.lock
        assert lock is not None
        self._say({"offer": lifecycle.where, "life": self._service.life}, lifecycle.port.fileno(),
                  lock.descriptor)

    def _yield(self) -> None:
        service, limiter = self._service, self._service.limiter
        limiter.lifecycle.port.stopReading()    # what connects now waits in the kernel's queue
        if limiter.counter is not None:
            limiter.core.counter = Muted()
        data = record.pack(service.memory.snapshot(True))
        self._since = meaning.Since(limiter.gateway)
        self._memfd = os.memfd_create("thymeflow-state")
        with os.fdopen(os.dup(self._memfd), "wb") as file:
            file.write(data)
        self._say({"state": len(data)}, self._memfd)

    def _close_state(self) -> None:
        if self._memfd >= 0:
            os.close(self._memfd)
            self._memfd = -1

    def _grant(self) -> None:
        self._close_state()
        self._say({"yours": True})

    def _drain(self) -> None:
        log.note("hand-over", "done: the next life accepts, this one finishes what it took")
        self._say({"draining": True})
        lifecycle = self._service.limiter.lifecycle
        lifecycle.before_end = self._tell_late
        lifecycle.terminate(0.0)

    def _tell_late(self) -> float:
        # What was charged since the state, told in portions; how long its leaving may take.
        if self._since is None or self.other is None or self.other.closed:
            return 0.0
        late = list(self._since.units().items())
        for start in range(0, len(late), LATE_ENTRIES):
            self._say({"late": {str(n): units for n, units in late[start:start + LATE_ENTRIES]}})
        self._say({"bye": len(late)})
        return BYE

    def _resume(self) -> None:
        self._close_state()
        service, limiter = self._service, self._service.limiter
        self._since = None
        if limiter.counter is not None:
            limiter.core.counter = limiter.counter
        if limiter.lifecycle.phase is Phase.SERVING:
            limiter.lifecycle.port.startReading()
        if service.lock is not None:
            service.lock.sign(service.life)

    def _forget(self) -> None:
        if self.other is not None:
            other, self.other = self.other, None
            other.on_gone = lambda: None
            other.transport.abortConnection()

    def _refuse(self) -> None:
        self._say({"ok": False, "why": f"out of turn while {self.state.value}"})
