"""The old side of a hand-over: the hands for `table.GIVING`."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import succeed

from thymeflow.decision.types import Status
from thymeflow.handover import state_machine
from thymeflow.handover.control_socket import ControlCaller, Message
from thymeflow.handover.participant import HandoverParticipant, held
from thymeflow.handover.state_machine import Act, SenderState, Word
from thymeflow.limiter.phases import Phase
from thymeflow.runtime import clock, log
from thymeflow.snapshot import restore, schema

LATE_ENTRIES = 500  # customers in one message of late charges
BYE = 0.2  # s: for the last messages to leave before the process ends
TELL_HELD = 0.2  # s: pace at which the successor is told what is still held here
OFF = (SenderState.HANDED, SenderState.GIVEN)  # where the other end is the limiter


class MutedCounter:
    """A counter that adds nothing: once the state is handed over, the successor tells what was asked."""

    def add(self, name: int, amount: float, ttl: float, deadline: float) -> Any:
        """Turned away, as by a counter's `-BUSY`."""
        return succeed((Status.FULL, 0.0))


class Steps:
    """One deadline for the step that is under way."""

    def __init__(self, estate: HandoverParticipant) -> None:
        self._estate = estate
        self._entry: clock.Entry = []

    def arm(self, end: float, late: Callable[[], None]) -> None:
        """The step begins anew, and should have ended by then."""
        self.cancel()
        self._entry = self._estate.limiter.deadlines.at(end, lambda _: late())

    def cancel(self) -> None:
        """No step is under way."""
        if self._entry:
            self._estate.limiter.deadlines.cancel(self._entry)


class HandoverSender:
    """Hands the listening socket and the state to a successor, and takes them back where it fails."""

    def __init__(self, estate: HandoverParticipant) -> None:
        self._estate = estate
        self.state = SenderState.WHOLE
        self.peer: ControlCaller | None = None
        self._since: restore.Since | None = None
        self._memfd = -1
        self._handed, self._granted = False, False  # the part went with the state; the other end may use it
        self._steps = Steps(estate)
        self._acts = {
            Act.OFFER: self._offer,
            Act.YIELD: self._yield,
            Act.GRANT: self._grant,
            Act.HAND: self._hand,
            Act.CONFIRM: self._confirm,
            Act.DRAIN: self._drain,
            Act.RESUME: self._resume,
            Act.FORGET: self._forget,
            Act.REFUSE: self._refuse,
        }

    def handle(self, caller: ControlCaller, message: Message) -> bool:
        """Take a message that is a word of a hand-over; whether it was one."""
        word = message.get("do")
        if word == Word.TAKE.value:
            self._asked(caller, message)
        elif caller is self.peer and word in (Word.READY.value, Word.TOOK.value, Word.SERVING.value):
            self.step(Word(word))
        else:
            return False
        return True

    def _asked(self, caller: ControlCaller, message: Message) -> None:
        estate = self._estate
        limiter = estate.limiter
        phase = limiter.lifecycle.phase
        if phase not in (Phase.SERVING, Phase.EVACUATED):
            caller.send({"ok": False, "why": f"it is {phase.value}"})
        elif estate.requires_same_site and message.get("site") != schema.site_of(limiter.gateway.settings):
            caller.send({"ok": False, "why": "plans or place in the set differ: restart it instead"})
        elif self.state is not SenderState.WHOLE:
            caller.send({"ok": False, "why": f"a hand-over is under way ({self.state.value})"})
        else:
            self.peer, caller.is_persistent = caller, True
            caller.on_disconnected = lambda: self.step(Word.BROKEN)
            log.note("hand-over", f"to life {str(message.get('life'))[:20]}, pid {str(message.get('pid'))[:10]}")
            self.step(Word.TAKE)

    def step(self, word: Word) -> None:
        """Take a step."""
        before = self.state
        self.state, acts = state_machine.heard(before, word)
        if self.state is SenderState.WHOLE:
            self._steps.cancel()
            if before is not self.state:
                log.note("hand-over", f"came to no end ({before.value}, {word.value}): this life serves on")
        elif before is not self.state:
            wait = self._estate.rollback_window if self.state is SenderState.HANDED else self._estate.step_timeout
            self._steps.arm(clock.now() + wait, lambda: self.step(Word.LATE))
        if before is SenderState.HANDED and Act.RESUME in acts and self._since is not None:
            self._since.doubt(clock.now())
        for act in acts:
            self._acts[act]()

    def _say(self, message: Message, *descriptors: int) -> None:
        if self.peer is not None:
            self.peer.send(message, *descriptors)

    def _offer(self) -> None:
        self._say(
            {"offer": self._estate.limiter.lifecycle.where, "life": self._estate.incarnation},
            *self._estate.descriptors(),
        )

    def _yield(self) -> None:
        limiter = self._estate.limiter
        limiter.lifecycle.port.stopReading()  # what connects now waits in the kernel's queue
        if limiter.counter is not None:
            limiter.core.counter = MutedCounter()
        data = schema.pack(self._estate.snapshots.snapshot(True))
        self._since = restore.Since(limiter.gateway, clock.now())
        limiter.lifecycle.on_stopping = self._tell_late
        self._memfd = os.memfd_create("thymeflow-state")
        with os.fdopen(os.dup(self._memfd), "wb") as file:
            file.write(data)
        self._handed = True
        self._say({"state": len(data), "held": held(limiter), "part": self._estate.hand_over_allocation()}, self._memfd)

    def _close_state(self) -> None:
        if self._memfd >= 0:
            os.close(self._memfd)
            self._memfd = -1

    def _grant(self) -> None:
        self._close_state()
        self._granted = True
        self._say({"yours": True})

    def _confirm(self) -> None:
        self._say({"draining": True})

    def _hand(self) -> None:
        log.note("hand-over", "done: the next life accepts, this one finishes what it took")
        self._confirm()
        self._estate.limiter.on_handed_over(True)
        self._tell_held()

    def _tell_held(self, _: int = 0) -> None:
        if self.state in OFF and self.peer is not None and not self.peer.closed:
            self._say({"held": held(self._estate.limiter)})
            self._estate.limiter.deadlines.at(clock.now() + TELL_HELD, self._tell_held)

    def _drain(self) -> None:
        self._estate.limiter.lifecycle.terminate(0.0)

    def _tell_late(self) -> float:
        # What was charged since the state, told in portions; how long its leaving may take.
        if self._since is None or self.peer is None or self.peer.closed:
            return 0.0
        late = list(self._since.units().items())
        for start in range(0, len(late), LATE_ENTRIES):
            self._say({"late": {str(n): units for n, units in late[start : start + LATE_ENTRIES]}})
        self._say({"bye": len(late)})
        return BYE

    def _resume(self) -> None:
        self._close_state()
        limiter = self._estate.limiter
        if self._handed:
            self._handed = False
            self._estate.on_taken_back(self._granted)
        self._since, self._granted = None, False
        limiter.lifecycle.on_stopping = lambda: 0.0
        if limiter.counter is not None:
            limiter.core.counter = limiter.counter
        limiter.on_handed_over(False)
        self._estate.on_resumed()

    def _forget(self) -> None:
        if self.peer is not None:
            other, self.peer = self.peer, None
            other.on_disconnected = lambda: None
            other.transport.abortConnection()

    def _refuse(self) -> None:
        self._say({"ok": False, "why": f"out of turn while {self.state.value}"})
