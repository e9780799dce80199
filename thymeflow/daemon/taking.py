"""The new side of a hand-over: the hands for `handover.TAKING`."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

from thymeflow.daemon import activation, ask, handover
from thymeflow.daemon.control import Line, Message
from thymeflow.daemon.giving import Steps
from thymeflow.daemon.handover import Giver, Move, Taker, Told
from thymeflow.daemon.lock import Held, Lock
from thymeflow.net import clock, log
from thymeflow.state import meaning, record

if TYPE_CHECKING:
    import socket

    from thymeflow.daemon.service import Service

MOST_LATE = 1e9    # units of one customer's late charges that are believed


class Taking:
    """Takes listening socket, name and state from the process that holds them, or leaves it as it was."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self.state = Taker.ASKING
        self._old: Line | None = None
        self._listening: socket.socket | None = None
        self._steps = Steps(service)
        self._moves = {Move.LOAD: self._load, Move.SAY_READY: self._say_ready, Move.ADOPT_STATE: self._adopt,
                       Move.ACCEPT: self._accept, Move.SETTLE: self._settle, Move.QUIT: self._quit,
                       Move.RETREAT: self._retreat}

    def begin(self) -> None:
        """Ask the process that holds the name."""
        self._steps.arm(lambda: self.told(Told.LATE))
        asking = ask.talk(self._service.reactor, self._service.path("sock"), self._heard,
                          lambda: self.told(Told.BROKEN))
        asking.addCallbacks(self._up, lambda failure: self._unfit(
            f"nobody to take over from: {failure.getErrorMessage()}"))

    def serves(self) -> bool:
        """Whether this process accepts by now, so that it ends as any other."""
        return self.state in (Taker.PROVING, Taker.HOLDING, Taker.FAILED)

    def listed(self) -> None:
        """The list is known."""
        if self.state is Taker.LOADING:
            self.told(Told.LOADED)

    def told(self, what: Told) -> None:
        """Take a step."""
        before = self.state
        self.state, moves = handover.told(before, what)
        if self.state in (Taker.HOLDING, Taker.FAILED):
            self._steps.cancel()
        elif before is not self.state:
            self._steps.arm(lambda: self.told(Told.LATE))
        if self.state is Taker.FAILED and before is not self.state:
            log.note("hand-over", f"came to no end ({before.value}, {what.value})")
        for move in moves:
            self._moves[move]()

    def _up(self, talk: ask.Talk) -> None:
        self._old = talk
        talk.say({"do": "take", "life": self._service.life, "pid": os.getpid(),
                  "site": record.site_of(self._service.given.settings)})

    def _unfit(self, why: str) -> None:
        log.note("hand-over", why)
        self.told(Told.UNFIT)

    def _heard(self, message: Message) -> None:
        for word, what in (("offer", Told.OFFER), ("state", Told.STATE), ("yours", Told.YOURS),
                           ("draining", Told.DRAINING)):
            if word in message:
                self.told(what)
                return
        if "late" in message:
            self._late(message["late"])
        elif "bye" in message and self._old is not None:
            self._old.close()
        elif message.get("ok") is False:
            self._unfit(f"refused: {str(message.get('why'))[:200]}")

    def _line(self) -> Line:
        assert self._old is not None
        return self._old

    def _load(self) -> None:
        line, service = self._line(), self._service
        try:
            if len(line.descriptors) != 2:
                raise activation.BadDescriptor(f"{len(line.descriptors)} descriptors came with it, not 2")
            self._listening = activation.checked(line.descriptors[0])
            service.lock = Lock.passed_on(service.path("lock"), line.descriptors[1])
        except (activation.BadDescriptor, Held, OSError) as fault:
            self._unfit(f"what was offered cannot be used: {fault}")
            return
        os.close(line.descriptors[0])
        line.descriptors.clear()
        service.limiter.connect()
        if service.memory.has_list():
            self.told(Told.LOADED)

    def _say_ready(self) -> None:
        self._line().say({"do": "ready"})

    def _adopt(self) -> None:
        line, service = self._line(), self._service
        try:
            if len(line.descriptors) != 1:
                raise record.SnapshotError(f"{len(line.descriptors)} descriptors came with it, not 1")
            with os.fdopen(line.descriptors.pop(), "rb") as file:
                file.seek(0)
                snapshot = record.unpack(file.read(record.MOST_BYTES + 1))
            record.believed(snapshot, record.site_of(service.given.settings), service.name, clock.now(),
                            service.settings.daemon.hand_over)
        except (record.SnapshotError, OSError) as fault:
            self._unfit(f"the state cannot be used: {fault}")
            return
        service.memory.recall(snapshot, "hand-over")
        line.say({"do": "took"})

    def _accept(self) -> None:
        service = self._service
        assert service.lock is not None and self._listening is not None
        fault = service.open_control()
        if fault:
            log.note("hand-over", fault)
            self.state = Taker.FAILED
            self._line().close()      # the old one hears that, and accepts again
            self._quit()
            return
        service.lock.sign(service.life)
        service.listen(self._listening)
        self._line().say({"do": "serving"})

    def _settle(self) -> None:
        log.note("hand-over", f"done: this life holds name, socket and state of {self._service.name}")

    def _late(self, units: Any) -> None:
        try:
            late = {int(number): float(amount) for number, amount in units.items()}
        except (ValueError, TypeError, AttributeError):
            log.note("hand-over", "late charges that cannot be read; none of them is taken")
            return
        late = {number: amount for number, amount in late.items() if abs(amount) < MOST_LATE}
        found = meaning.charge_late(self._service.limiter.gateway, late)
        log.note("hand-over", f"{found} of {len(late)} customers charged for what came after the state")

    def _quit(self) -> None:
        log.note("hand-over", "given up: the process that serves goes on")
        self._service.give_up()

    def _retreat(self) -> None:
        log.note("hand-over", "the old life took everything back: this one finishes what it took")
        self._service.giving.state = Giver.GIVEN     # name and snapshot are not ours to write
        self._service.retreat()
