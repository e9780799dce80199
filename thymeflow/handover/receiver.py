"""The new side of a hand-over: the hands for `table.TAKING`."""

from __future__ import annotations

import os
import socket
from pathlib import Path
from typing import Any

from thymeflow.discovery.watch import FIRST
from thymeflow.handover import control_client, state_machine
from thymeflow.handover.control_socket import ControlConnection, Message
from thymeflow.handover.participant import HandoverParticipant, RejectedHandoverError
from thymeflow.handover.sender import Steps
from thymeflow.handover.state_machine import Move, ReceiverState, Told
from thymeflow.runtime import clock, log
from thymeflow.snapshot import restore, schema

FIRST_SHARE = 0.5  # of a step's time: for the first word of discovery, at most
MOST_LATE = 1e9  # units of one customer's late charges that are believed


class HandoverReceiver:
    """Takes listening socket and state from the process that holds them, or leaves it as it was."""

    def __init__(self, estate: HandoverParticipant, path: Path) -> None:
        self._estate, self._path = estate, path
        self.state = ReceiverState.ASKING
        self._old: ControlConnection | None = None
        self._listening: socket.socket | None = None
        self._steps = Steps(estate)
        self._part: object = None  # what goes with the state; ours once the state is
        self._moves = {
            Move.LOAD: self._load,
            Move.SAY_READY: self._say_ready,
            Move.ADOPT_STATE: self._adopt,
            Move.ACCEPT: self._accept,
            Move.SETTLE: self._settle,
            Move.QUIT: self._quit,
            Move.RETREAT: estate.retreat,
        }

    def begin(self) -> None:
        """Ask the process that holds the name."""
        self._arm()
        try:
            asking = control_client.talk(self._estate.limiter.reactor, self._path, self._heard, self._broken)
        except OSError as fault:  # the system refuses such sockets
            self._unfit(f"nobody to take over from: {fault}")
            return
        asking.addCallbacks(
            self._up, lambda failure: self._unfit(f"nobody to take over from: {failure.getErrorMessage()}")
        )

    def _arm(self) -> None:
        self._steps.arm(clock.now() + self._estate.step_timeout, lambda: self.step(Told.LATE))

    def _broken(self) -> None:
        self._estate.limiter.limit_beside_predecessor(None)
        self.step(Told.BROKEN)

    def is_serving(self) -> bool:
        """Whether this process accepts by now, or starts by itself: it ends as any other."""
        return self.state in (ReceiverState.PROVING, ReceiverState.HOLDING, ReceiverState.FAILED)

    def on_endpoints_known(self) -> None:
        """The list is told, or not to be had."""
        if self.state is ReceiverState.LOADING:
            self.step(Told.LOADED)

    def step(self, what: Told) -> None:
        """Take a step."""
        before = self.state
        self.state, moves = state_machine.told(before, what)
        if self.state in (ReceiverState.HOLDING, ReceiverState.FAILED):
            self._steps.cancel()
        elif before is not self.state:
            self._arm()
        if self.state is ReceiverState.FAILED and before is not self.state:
            log.note("hand-over", f"came to no end ({before.value}, {what.value})")
        for move in moves:
            self._moves[move]()

    def _up(self, talk: control_client.ControlSession) -> None:
        self._old = talk
        if not talk.is_same_user():
            self._unfit("who listens there runs as another user")
        elif self.state is ReceiverState.FAILED:
            talk.close()  # it took too long to connect
        else:
            log.note("hand-over", f"asked for, at {self._path}")
            talk.send(
                {
                    "do": "take",
                    "life": self._estate.incarnation,
                    "pid": os.getpid(),
                    "site": schema.site_of(self._estate.limiter.configuration.settings),
                }
            )

    def _unfit(self, why: str) -> None:
        log.note("hand-over", why)
        self.step(Told.UNFIT)

    def _heard(self, message: Message) -> None:
        if type(message.get("held")) is int:
            self._estate.limiter.limit_beside_predecessor(message["held"])
        if message.get("part") is not None:
            self._part = message["part"]
        for word, what in (
            ("offer", Told.OFFER),
            ("state", Told.STATE),
            ("yours", Told.YOURS),
            ("draining", Told.DRAINING),
        ):
            if word in message:
                self.step(what)
                return
        if "late" in message:
            self._late(message["late"])
        elif "bye" in message and self._old is not None:
            self._old.close()
        elif message.get("ok") is False:
            self._unfit(f"refused: {str(message.get('why'))[:200]}")

    def _line(self) -> ControlConnection:
        assert self._old is not None
        return self._old

    def _load(self) -> None:
        line, limiter = self._line(), self._estate.limiter
        try:
            self._listening = self._estate.adopt_descriptors(line.descriptors)
        except RejectedHandoverError as fault:
            self._unfit(f"what was offered cannot be used: {fault}")
            return
        os.close(line.descriptors[0])
        line.descriptors.clear()
        limiter.connect(clock.now() + min(FIRST, FIRST_SHARE * self._estate.step_timeout))

    def _say_ready(self) -> None:
        self._line().send({"do": "ready"})

    def _adopt(self) -> None:
        line, estate = self._line(), self._estate
        try:
            if len(line.descriptors) != 1:
                raise schema.SnapshotError(f"{len(line.descriptors)} descriptors came with it, not 1")
            with os.fdopen(line.descriptors.pop(), "rb") as file:
                file.seek(0)
                snapshot = schema.unpack(file.read(schema.MOST_BYTES + 1))
            given = estate.limiter.configuration
            site = schema.site_of(given.settings) if estate.requires_same_site else snapshot.site
            schema.believed(snapshot, site, given.name, clock.now(), estate.step_timeout)
        except (schema.SnapshotError, OSError) as fault:
            self._unfit(f"the state cannot be used: {fault}")
            return
        estate.snapshots.recall(snapshot, "hand-over")
        line.send({"do": "took"})

    def _accept(self) -> None:
        assert self._listening is not None
        if self._part is not None:
            self._estate.inherit_allocation(self._part)
        fault = self._estate.accept(self._listening)
        if fault:
            log.note("hand-over", fault)
            self.state = ReceiverState.FAILED
            self._line().close()  # the old one hears that, and accepts again
            self._quit()
            return
        self._line().send({"do": "serving"})

    def _settle(self) -> None:
        log.note(
            "hand-over", f"done: this life holds name, socket and state of {self._estate.limiter.configuration.name}"
        )

    def _late(self, units: Any) -> None:
        try:
            late = {int(number): float(amount) for number, amount in units.items()}
        except (ValueError, TypeError, AttributeError):
            log.note("hand-over", "late charges that cannot be read; none of them is taken")
            return
        late = {number: amount for number, amount in late.items() if abs(amount) < MOST_LATE}
        found = restore.charge_late(self._estate.limiter.gateway, late)
        log.note("hand-over", f"{found} of {len(late)} customers charged for what came after the state")

    def _quit(self) -> None:
        if self._listening is not None:
            self._listening.close()
        if self._old is not None:
            self._old.close()
        self._estate.abandon()
