"""One limiter as a daemon: lock, sockets, memory, control and hand-over wired round the same parts.

What is decided lies elsewhere: `succession.table` (who accepts), `state.meaning` (what a snapshot means),
`net.lifecycle` (phases). Here are the hands that the parts share.
"""

from __future__ import annotations

import contextlib
import gc
import os
import secrets
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from thymeflow.daemon import activation
from thymeflow.daemon.control_requests import Answers
from thymeflow.daemon.lease_share import LeaseShare
from thymeflow.daemon.lock import Lock, NameTakenError
from thymeflow.daemon.notify import Notifier
from thymeflow.daemon.snapshots import Memory
from thymeflow.decision.gateway_state import INITIAL_FILL
from thymeflow.discovery.watch import FIRST
from thymeflow.frontend.listener import bound
from thymeflow.handover import listening_sockets
from thymeflow.handover.control_socket import ControlError, ControlServer
from thymeflow.handover.participant import RejectedHandoverError
from thymeflow.handover.receiver import HandoverReceiver
from thymeflow.handover.sender import DELEGATED_STATES, HandoverSender
from thymeflow.handover.state_machine import ReceiverEvent, SenderEvent, SenderState
from thymeflow.limiter.assembly import Limiter, made
from thymeflow.limiter.phases import Phase
from thymeflow.logs.structured import StructuredLog
from thymeflow.outliers.member import MemberEjections
from thymeflow.platform import configuration
from thymeflow.runtime import clock, log
from thymeflow.settings import Settings, SettingsError
from thymeflow.shedding.threshold import LoadShedder
from thymeflow.snapshot import restore, schema

BAD_CONFIGURATION, CANNOT_LISTEN, NAME_HELD, NO_HAND_OVER = 2, 3, 4, 5  # exit codes; docs/fleet.md


@dataclass(frozen=True, slots=True)
class Options:
    """How this start differs from a plain one."""

    joins: bool = False  # into a running set, where every slice is given out already
    take_over: bool = False  # from a running process of the same name


class StartError(Exception):
    """The daemon does not start; the text says why in one line, `code` is the exit code."""

    def __init__(self, why: str, code: int) -> None:
        super().__init__(why)
        self.code = code


class Service:
    """The daemon, from its start to its end."""

    def __init__(
        self,
        settings: Settings,
        load: Callable[[], configuration.Configuration],
        options: Options,
        reactor: Any,
        read: Callable[[], Settings],
    ) -> None:
        self.settings, self.options, self.reactor, self._load, self._read = settings, options, reactor, load, read
        self.given = load()
        self.name, self.incarnation, self.begun = self.given.name, secrets.token_hex(4), clock.now()
        self.book = StructuredLog(settings.log, self.name, self.incarnation)
        self.notifier = Notifier(os.environ)
        self.folder = Path(settings.daemon.state or f".thymeflow-{self.name}")
        self.memory = Memory(self.path("state"), self.name, self.incarnation, self.given.endpoints)
        self.part = LeaseShare(self.given.allocation)
        self.verdicts: MemberEjections | None = None
        self.shedding: LoadShedder | None = None
        self.lock: Lock | None = None
        self.control: ControlServer | None = None
        self.limiter: Limiter
        self.answers, self.giving = Answers(self), HandoverSender(self)
        self.taking: HandoverReceiver | None = HandoverReceiver(self, self.path("sock")) if options.take_over else None
        self.code = 0
        self.reloaded = ""  # what the last reload came to

    def path(self, kind: str) -> Path:
        """A file of this instance: `lock`, `sock` or `state`."""
        return self.folder / f"{self.name}.{kind}"

    def start(self) -> None:
        """Take name and sockets, remember, and serve; CannotStart says why not."""
        self.book.install()
        log.note(
            "start",
            f"life {self.incarnation} of {self.name}, pid {os.getpid()}",
            joins=self.options.joins,
            take_over=self.options.take_over,
        )
        if self.notifier.fault:
            log.note("notify", self.notifier.fault)
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        except OSError as fault:
            raise StartError(f"[daemon] state {self.folder}: {fault.strerror}", BAD_CONFIGURATION) from None
        if self.taking is not None:
            self._make(None)
            self.taking.begin()
            return
        try:
            handed = activation.handed_in(os.environ, os.getpid())
            self.lock = Lock.take(self.path("lock"), self.incarnation)
        except listening_sockets.BadDescriptorError as fault:
            raise StartError(f"sockets handed in: {fault}", CANNOT_LISTEN) from None
        except NameTakenError as fault:
            raise StartError(str(fault), NAME_HELD) from None
        except OSError as fault:
            raise StartError(f"{self.path('lock')}: {fault.strerror}", NAME_HELD) from None
        kept = self.settings.snapshot
        site = schema.site_digest(self.given.settings)
        self._make(self.memory.read(site, kept.fresh) if kept.keep else None)
        if fault_text := self.open_control():
            raise StartError(fault_text, CANNOT_LISTEN)
        try:
            where = self.given.listen
            self.limiter.listen(handed[0] if handed else bound(where.host, where.port), waited=bool(handed))
        except OSError as fault:
            raise StartError(f"{self.given.listen}: {fault.strerror}", CANNOT_LISTEN) from None
        self.limiter.connect(clock.now() + FIRST)
        for more in handed[1:]:
            log.note("sockets", f"{more.getsockname()} was handed in and is not used")
            more.close()

    def _make(self, snapshot: schema.Snapshot | None) -> None:
        given = self.given
        if snapshot is not None:
            given = replace(given, endpoints=restore.newest_endpoint_update(snapshot, given.endpoints))
        # Members of a fleet are on one machine, whose monotonic clock does not step as that of the day does.
        gateway = made(
            replace(given, units=self.settings.budgets.units),
            0.0 if self.options.joins else INITIAL_FILL,
            clock.monotonic() - clock.now(),
        )
        budgets = self.settings.budgets
        gateway.fleet_limits = {"calls": float(budgets.calls), "trials": float(budgets.trials)} | (
            {"connections": float(budgets.connections)} if budgets.connections else {}
        )
        together = self.settings.overload.together
        self.verdicts = MemberEjections(gateway) if together else None
        self.shedding = LoadShedder(gateway) if together else None
        self.memory.set_gateway(gateway)
        self.part.serve(gateway)
        if self.shedding is not None:
            self.shedding.limit_retries()
        self.limiter = Limiter(given, self.reactor, gateway, self._load, self.settings.daemon.drain_linger)
        self.limiter.on_list, self.limiter.when_endpoints_ready = self.memory.on_endpoint_update, self._told
        self.memory.on_endpoint_update(given.endpoints)
        if snapshot is not None:
            self.memory.restore(snapshot, "file")
        self.limiter.lifecycle.on_phase = self._entered

    def open_control(self) -> str:
        """Open the control socket; the fault, or nothing."""
        daemon = self.settings.daemon
        if daemon.control:
            self.control = ControlServer(
                self.reactor,
                self.limiter.deadlines,
                self.path("sock"),
                daemon.control_callers,
                daemon.control_patience,
                self.answers.served,
            )
            try:
                self.control.listen()
            except (ControlError, OSError) as fault:
                return f"control socket: {fault}"
        return ""

    def heed(self) -> None:
        """Take signals from now on; those that come before the reactor runs are served as it begins.

        Whoever is told READY=1 may signal at once, and the reactor runs only some moments later.
        """
        for number, served in ((signal.SIGTERM, self.end), (signal.SIGINT, self.end), (signal.SIGHUP, self.reload)):
            signal.signal(number, lambda *_, served=served: self.reactor.callFromThread(served))

    def run(self) -> int:
        """Serve until the end; the exit code."""
        self._now_and_then(0)
        self.answers.beat()
        gc.collect()
        gc.freeze()
        self.reactor.run(installSignalHandlers=False)
        self._finish()
        return self.code or self.limiter.code

    def _entered(self, phase: Phase) -> None:
        if phase is Phase.SERVING:
            took = clock.now() - self.begun
            log.note("ready", f"{took:.3f} s after the start", seconds=round(took, 3))
            self.notifier.tell(ready=1, mainpid=os.getpid(), status=f"{self.name} serves")
        elif phase is Phase.DRAINING:
            self.notifier.tell(stopping=1, status=f"{self.name} finishes what it took")
        self.answers.tell()

    def _told(self) -> None:
        if self.taking is not None:
            self.taking.on_endpoints_known()

    def end(self, linger: float | None = None) -> None:
        """SIGTERM, SIGINT or a word over the control socket: end in good order, however often it comes."""
        if self.taking is not None and not self.taking.is_serving():
            self.taking.step(ReceiverEvent.ABORTED)
            return
        self.giving.step(SenderEvent.SHUTDOWN_REQUESTED)
        self.limiter.lifecycle.terminate(linger)

    def reload(self) -> bool:
        """SIGHUP: the platform's file and ours are read again; what cannot be used changes nothing."""
        if self.limiter.lifecycle.phase is Phase.STOPPED:
            return False
        self.notifier.tell(reloading=1, monotonic_usec=int(clock.monotonic() * 1e6))
        ours = ""
        try:
            fresh = self._read()
        except SettingsError as fault:
            ours = f"our settings stay as they are: {' | '.join(map(str, fault.faults))}"
            log.note("reload", ours)
        else:
            self.settings = replace(self.settings, log=fresh.log, snapshot=fresh.snapshot)
            self.book.set_level(fresh.log.level)
        good = self.limiter.reload.now()
        self.reloaded = " | ".join(filter(None, (self.limiter.reload.last, ours)))
        self.notifier.tell(ready=1)
        self.answers.tell()
        return good and not ours

    def _owner(self) -> bool:
        return self.giving.state not in DELEGATED_STATES and self.lock is not None

    # What a hand-over asks of the daemon: see `succession.estate`.

    @property
    def snapshots(self) -> Memory:
        """What is remembered."""
        return self.memory

    @property
    def step_timeout(self) -> float:
        """Seconds for a step."""
        return self.settings.daemon.hand_over

    rollback_window, requires_same_site = 0.0, True  # whoever started the successor watches it, and starts another

    def descriptors(self) -> list[int]:
        """Listening socket and lock."""
        assert self.lock is not None
        return [self.limiter.lifecycle.port.fileno(), self.lock.descriptor]

    def adopt_descriptors(self, descriptors: list[int]) -> socket.socket:
        """Listening socket and lock as they came; Unfit where they are not that."""
        try:
            if len(descriptors) != 2:
                raise listening_sockets.BadDescriptorError(f"{len(descriptors)} descriptors came with it, not 2")
            found = listening_sockets.duplicate_listening_socket(descriptors[0])
            self.lock = Lock.passed_on(self.path("lock"), descriptors[1])
        except (listening_sockets.BadDescriptorError, NameTakenError, OSError) as fault:
            raise RejectedHandoverError(str(fault)) from None
        return found

    def accept(self, taken: socket.socket) -> str:
        """Hold the name, and accept."""
        fault = self.open_control()
        if not fault:
            assert self.lock is not None
            self.lock.sign(self.incarnation)
            self.limiter.listen(taken)
        return fault

    def hand_over_allocation(self) -> dict[str, Any] | None:
        """The part of what the fleet may do."""
        return self.part.hand_on()

    def inherit_allocation(self, message: object) -> None:
        """The part of the life before."""
        self.part.inherit(message)

    def on_taken_back(self, used: bool) -> None:
        """The state is ours again."""
        self.part.resumed(used)

    def on_resumed(self) -> None:
        """The name is ours again."""
        if self.lock is not None:
            self.lock.sign(self.incarnation)

    def _now_and_then(self, _: int) -> None:
        self.limiter.deadlines.at(clock.now() + self.settings.snapshot.every, self._now_and_then)
        if self.settings.snapshot.keep and self.limiter.lifecycle.phase is Phase.SERVING:
            self.memory.write_now(self._owner)

    def abandon(self) -> None:
        """End at once, having accepted nothing: somebody else serves under this name."""
        log.note("hand-over", "given up: the process that serves goes on")
        self.lock = None  # the other end holds it too, and goes on holding it
        self.code = self.code or NO_HAND_OVER
        self.reactor.callWhenRunning(self.reactor.stop)

    def retreat(self) -> None:
        """End in good order, leaving name, socket and snapshot to another."""
        log.note("hand-over", "the old life took everything back: this one finishes what it took")
        self.giving.state = SenderState.DRAINING  # name and snapshot are not ours to write
        self.code = NO_HAND_OVER
        self.limiter.lifecycle.terminate(0.0)

    def _finish(self) -> None:
        # After the reactor: nothing more can be sent on, so this snapshot is the last word.
        if self.control is not None:
            self.control.close()
        if self._owner() and self.lock is not None:
            if self.settings.snapshot.keep:
                self.memory.write_last()
            self.lock.release()
        self.book.file.close()


def serve(
    settings: Settings, load: Callable[[], configuration.Configuration], options: Options, read: Callable[[], Settings]
) -> int:
    """Run one limiter as a daemon; the exit code."""
    early: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    from twisted.internet import reactor

    loop: Any = reactor
    try:
        service = Service(settings, load, options, loop, read)
        service.heed()
        service.start()
    except configuration.ConfigurationError as fault:
        print(f"thymeflow: bad configuration: {fault}", file=sys.stderr)
        return BAD_CONFIGURATION
    except StartError as fault:
        print(f"thymeflow: cannot start: {fault}", file=sys.stderr)
        return fault.code
    if early:
        loop.callFromThread(service.reload)
    with contextlib.suppress(KeyboardInterrupt):
        return service.run()
    return 0
