"""The platform's run where operators call: two copies side by side during an upgrade, one limiter to all others.

A copy finds its predecessor by a Unix socket in `$TMPDIR`, which an upgrade keeps. Where there is none, or the
one there does not answer as a predecessor would, this copy starts as any other, at an address that is shared.
"""

from __future__ import annotations

import os
import secrets
import socket
import sys
from pathlib import Path
from typing import Any

from thymeflow.discovery.watch import FIRST
from thymeflow.frontend.listener import bound
from thymeflow.handover import listening_sockets
from thymeflow.handover.control_socket import ControlCaller, ControlError, ControlServer, Message
from thymeflow.handover.participant import RejectedHandoverError
from thymeflow.handover.receiver import HandoverReceiver
from thymeflow.handover.sender import OFF, HandoverSender
from thymeflow.handover.state_machine import Told, Word
from thymeflow.limiter.assembly import CANNOT_LISTEN, Limiter
from thymeflow.limiter.phases import Phase
from thymeflow.platform import configuration
from thymeflow.runtime import clock, log
from thymeflow.snapshot.store import SnapshotStore

PLACES = 4  # callers at the socket: a successor, and some that should not be there


class UpgradableLimiter:
    """One copy, from its start to its end."""

    step_timeout = 1.5  # s: for a step of a hand-over; the whole start has 6 s
    rollback_window = 30.0  # s: for which the old copy stays to come back; the platform ends it long before
    requires_same_site = False  # a release may bring other plans: what fits of the state is taken

    def __init__(self, given: configuration.Configuration, reactor: Any) -> None:
        self.limiter, self.incarnation, self.code = Limiter(given, reactor), secrets.token_hex(4), 0
        self.snapshots = SnapshotStore(given.name, self.incarnation, given.endpoints)
        self.snapshots.of(self.limiter.gateway)
        self.snapshots.listed(given.endpoints)
        self.limiter.on_list = self.snapshots.listed
        self.limiter.when_endpoints_ready = self._told
        folder = os.environ.get("TMPDIR")
        self._path = Path(folder) / f"{given.name.replace('/', '_')}.sock" if folder else None
        self._control: ControlServer | None = None
        self._ending = False
        self.giving = HandoverSender(self)
        self._taking: HandoverReceiver | None = None

    def start(self) -> None:
        """Listen for operators; take over where there is a predecessor, else begin to serve."""
        self.limiter.listen_for_operators()
        if self._path is not None and os.path.lexists(self._path):
            self._taking = HandoverReceiver(self, self._path)
            self._taking.begin()
        else:
            self._alone()

    def end(self) -> None:
        """SIGTERM or SIGINT."""
        self._ending = True
        if self._taking is not None and not self._taking.is_serving():
            self._taking.step(Told.UNFIT)
            return
        self.giving.step(Word.ENDING)
        self.limiter.lifecycle.terminate(0.0 if self.giving.state in OFF else None)

    def finish(self) -> int:
        """After the reactor; the exit code."""
        if self._control is not None:
            self._control.tidy()
        return self.code or self.limiter.code

    def _told(self) -> None:
        if self._taking is not None:
            self._taking.on_endpoints_known()

    def _alone(self) -> None:
        where = self.limiter.configuration.listen
        try:
            made = bound(where.host, where.port, shared=True)
        except OSError as fault:
            print(f"thymeflow: cannot listen: {where}: {fault.strerror}", file=sys.stderr)
            self.code = CANNOT_LISTEN
            self.limiter.reactor.callWhenRunning(self.limiter.reactor.stop)
            return
        self._open_control()
        self.limiter.listen(made)
        self.limiter.connect(clock.now() + FIRST)

    def _open_control(self) -> None:
        if self._path is None:
            return
        limiter = self.limiter
        control = ControlServer(limiter.reactor, limiter.deadlines, self._path, PLACES, self.step_timeout, self._served)
        try:
            control.listen()
        except (ControlError, OSError, ValueError) as fault:  # where Unix sockets are refused, all else goes on
            log.note("hand-over", f"no successor can take over from this life: {fault}")
            return
        self._control = control
        limiter.lifecycle.on_phase = lambda phase: control.close() if phase is Phase.STOPPED else None

    def _served(self, caller: ControlCaller, message: Message) -> None:
        if not self.giving.handle(caller, message):
            caller.send({"ok": False, "why": "only a successor has anything to ask here"})

    # What a hand-over asks: see `succession.estate`.

    def descriptors(self) -> list[int]:
        """The listening socket."""
        return [self.limiter.lifecycle.port.fileno()]

    def adopt_descriptors(self, descriptors: list[int]) -> socket.socket:
        """The listening socket as it came; Unfit where it is none, or listens elsewhere."""
        try:
            if len(descriptors) != 1:
                raise listening_sockets.BadDescriptorError(f"{len(descriptors)} descriptors came with it, not 1")
            found = listening_sockets.checked(descriptors[0])
        except (listening_sockets.BadDescriptorError, OSError) as fault:
            raise RejectedHandoverError(str(fault)) from None
        where, wanted = found.getsockname()[:2], self.limiter.configuration.listen
        if where[0] != wanted.host or wanted.port not in (0, where[1]):
            found.close()
            raise RejectedHandoverError(f"it listens at {where[0]}:{where[1]}, and {wanted} is wanted")
        return found

    def accept(self, taken: socket.socket) -> str:
        """Accept from now on."""
        self._open_control()
        self.limiter.listen(taken)
        return ""

    def hand_over_allocation(self) -> None:
        """The platform divides nothing."""

    def inherit_allocation(self, message: object) -> None:
        """The platform divides nothing."""

    def on_taken_back(self, used: bool) -> None:
        """The platform divides nothing."""

    def on_resumed(self) -> None:
        """Successors may ask here again."""
        if self._control is not None:
            self._control.point()

    def abandon(self) -> None:
        """Nothing was taken over: serve alone, at the address as it is shared."""
        if self._ending:
            self.limiter.reactor.callWhenRunning(self.limiter.reactor.stop)
        else:
            log.note("hand-over", "given up: this life starts by itself")
            self._alone()

    def retreat(self) -> None:
        """The old copy is gone, or serves as well; this one goes on."""
        log.note("hand-over", "the earlier life ended before its last word: this one serves on")
