"""The supervisor's hands: processes, sockets, files and the control socket round `fleet.mind`.

It holds every listening socket and hands it to the members (LISTEN_FDS), so that an address never refuses a
connection while its member is being restarted. Members run in sessions of their own and go on when it dies; its
successor finds them by their control sockets, takes a copy of each listening socket from them, and goes on.
"""

from __future__ import annotations

import contextlib
import os
import random
import shlex
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from thymeflow.daemon.lock import Lock, NameTakenError, is_free
from thymeflow.daemon.notify import Notifier
from thymeflow.daemon.service import BAD_CONFIGURATION, CANNOT_LISTEN, NAME_HELD
from thymeflow.fleet import actions as fleet_actions
from thymeflow.fleet import events, registry
from thymeflow.fleet.controller import FleetController
from thymeflow.fleet.events import OperationKind
from thymeflow.fleet.lease_distributor import LeaseDistributor
from thymeflow.fleet.member_state import NO_RUN, MemberState
from thymeflow.fleet.outlier_service import OutlierService
from thymeflow.fleet.processes import Child, Found, Run, command, spawn
from thymeflow.frontend.listener import bound, opened
from thymeflow.handover import control_client, listening_sockets
from thymeflow.handover.control_socket import ControlCaller, ControlError, ControlServer, Message
from thymeflow.leases.holder import EMPTY_ALLOCATION, message_of
from thymeflow.logs.structured import StructuredLog
from thymeflow.platform import configuration
from thymeflow.runtime import clock, log
from thymeflow.settings import Settings, SettingsError
from thymeflow.settings.units import Count, InvalidValueError

FIND = 1.0  # s: in which a member that runs answers
LAST_WORDS = 0.1  # s: for the last answer to leave
MOST_MEMBERS = 256
CALLERS = 32


class SupervisorError(Exception):
    """The fleet is not begun; the text says why in one line, `code` is the exit code."""

    def __init__(self, why: str, code: int) -> None:
        super().__init__(why)
        self.code = code


@dataclass(frozen=True, slots=True)
class SupervisorOptions:
    """What a supervisor is started with: how our settings are read, and the files as members are to read them."""

    read: Callable[[], Settings]
    settings_path: str
    platform: Path
    folder: Path
    program: str = ""


class Supervisor:
    """Runs a fleet until it is down, or until it is told to leave it alone."""

    def __init__(self, given: SupervisorOptions, reactor: Any) -> None:
        self._given, self._reactor = given, reactor
        self.settings = given.read()
        self._fleet = self.settings.fleet
        self._names = registry.Names(given.folder, self._fleet.name)
        self._deadlines = clock.Deadlines(reactor)
        self._mind = FleetController(self._fleet, random.Random(os.urandom(8)))
        self._runs: dict[int, Run] = {}
        self._numbers: dict[int, int] = {}  # of the member, by run
        self._sockets: dict[int, socket.socket] = {}
        self._ports: dict[str, int] = {}
        self._program = given.program
        self._program_before: dict[int, str] = {}  # by order
        self._callers: dict[int, ControlCaller] = {}
        self._orders, self._written = 0, b""
        self._tick: clock.Entry = []
        self._lock: Lock
        self._control: ControlServer
        self._output = -1
        self._source: dict[str, Any] = {}
        self.book = StructuredLog(self.settings.log, "fleet", os.urandom(4).hex())
        self._notifier = Notifier(os.environ)
        self._division = LeaseDistributor(
            self._deadlines, self._names.own("grants"), self._fleet.name, self._grant, lambda: self._mind.fleet_size
        )
        self._court = OutlierService(self._deadlines, float(self.settings.budgets.trials), self._grant)
        self.code = 0

    # --- start and end -------------------------------------------------------------------------------------

    def start(self) -> None:
        """Take the fleet's name, find what runs, and begin; CannotSupervise says why not."""
        self.book.install()
        try:
            self._given.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._source = registry.template(self._given.platform)
            self._lock = Lock.take(self._names.own("lock"), "supervisor")
            self._output = os.open(self._names.own("out"), os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
            self._control = ControlServer(
                self._reactor,
                self._deadlines,
                self._names.own("sock"),
                CALLERS,
                self.settings.daemon.control_patience,
                self._served,
            )
            self._control.listen()
        except configuration.ConfigurationError as fault:
            raise SupervisorError(str(fault), BAD_CONFIGURATION) from None
        except NameTakenError as fault:
            raise SupervisorError(f"another supervisor runs: {fault}", NAME_HELD) from None
        except (ControlError, OSError) as fault:
            raise SupervisorError(f"{self._given.folder}: {fault}", CANNOT_LISTEN) from None
        count = self._fleet.instances
        try:
            before = registry.read_roster(self._names.own("json"))
        except ValueError as fault:
            log.note("roster", f"not used, the settings hold: {fault}")
            before = None
        if before is not None:
            self._ports = dict(before.ports)
            if before.working:
                log.note("roll", f"{before.working}, when the last supervisor ended; it is not gone on with")
        self._division.start(bool(self._names.running()))
        self._court.start()
        found = [self._find(number) for number in self._names.running()]

        def begin(results: list[tuple[bool, int | None]]) -> None:
            running = [number for good, number in results if good and number is not None]
            for name in self._division.holders():
                if is_free(self._names.folder / f"{name}.lock"):
                    self._division.on_death(name)  # by the kernel's word: whoever held the name has ended
            # What was ordered last holds on where members run by it; a fresh start goes by the settings.
            wanted = before.count if before is not None and running else count
            self._decide(events.FleetStarted(wanted))
            self._notifier.tell(ready=1, mainpid=os.getpid(), status=f"{wanted} members")

        DeferredList(found, consumeErrors=True).addCallback(begin)

    def _find(self, number: int) -> Deferred[int | None]:
        """Adopt a member that runs; the Deferred gives its number, or None where nobody answered."""
        path = self._names.path(number, "sock")

        def told(status: Message) -> Deferred[int | None] | None:
            if not status.get("ok") or not isinstance(status.get("pid"), int):
                return None
            try:
                found = Found(self._reactor, status["pid"])
            except OSError:
                return None
            actions = self._mind.handle(
                clock.now(), events.MemberAdopted(number, str(status["life"]), status["phase"] == "serving")
            )
            member = self._mind.members[number]
            self._follow(member.run_id, number, status["pid"], found)
            log.note("adopted", f"{self._names.name(number)}, pid {status['pid']}, {status['phase']}")
            self._carry_out(actions)
            return self._copy_socket(number, path)

        asking = control_client.ask(self._reactor, self._deadlines, path, {"do": "status"}, clock.now() + FIND)
        return asking.addCallbacks(told, lambda _: None)

    def _copy_socket(self, number: int, path: Path) -> Deferred[int | None]:
        done: Deferred[int | None] = Deferred()
        line: list[control_client.ControlSession] = []

        def heard(message: Message) -> None:
            talk = line[0]
            if message.get("ok") and talk.descriptors:
                descriptor = talk.descriptors.pop()
                with contextlib.suppress(listening_sockets.BadDescriptorError, OSError):
                    self._sockets[number] = listening_sockets.checked(descriptor)
                os.close(descriptor)
            talk.close()

        def ended() -> None:
            if not done.called:
                done.callback(number)

        def up(talk: control_client.ControlSession) -> None:
            line.append(talk)
            talk.send({"do": "socket"})

        control_client.talk(self._reactor, path, heard, ended).addCallbacks(up, lambda _: ended())
        return done

    def run(self) -> int:
        """Supervise until the end; the exit code."""
        # Twisted's own handlers are wanted for SIGCHLD, by which it hears of its children's ends; ours go over
        # its other ones.
        self._reactor.callWhenRunning(self._take_signals)
        self._reactor.run()
        self._control.close()
        self._lock.release()
        self.book.file.close()
        return self.code

    def _take_signals(self) -> None:
        for number, served in (
            (signal.SIGTERM, self._down),
            (signal.SIGINT, self._down),
            (signal.SIGHUP, self._reload),
        ):
            signal.signal(number, lambda *_, served=served: self._reactor.callFromThread(served))

    def _end(self) -> None:
        # Counted from the reactor's next turn: this one may still wait for the disk, and what was said last would
        # not have left when the time had passed.
        self._reactor.callLater(0, self._reactor.callLater, LAST_WORDS, self._reactor.stop)

    def _down(self) -> None:
        self._order(None, OperationKind.SHUTDOWN, 0)

    # --- the mind ------------------------------------------------------------------------------------------

    def _decide(self, event: events.Event) -> None:
        self._carry_out(self._mind.handle(clock.now(), event))

    def _carry_out(self, actions: list[fleet_actions.Action]) -> None:
        for action in actions:
            match action:
                case fleet_actions.StartProcess():
                    self._start(action)
                case fleet_actions.StopProcess(run):
                    self._signal(run, signal.SIGTERM)
                case fleet_actions.KillProcess(run):
                    self._signal(run, signal.SIGKILL)
                case fleet_actions.ResizeFleet(size):
                    self._resize(size)
                case fleet_actions.WriteLog(kind, text):
                    log.note(kind, text)
                case fleet_actions.ReportProgress():
                    self._report(action)
                case fleet_actions.Exit():
                    self._notifier.tell(stopping=1)
                    self._end()
        self._keep()
        if self._tick:
            self._deadlines.cancel(self._tick)
            self._tick = []
        due = self._mind.next_due_at()
        if due < inf:
            self._tick = self._deadlines.at(max(due, clock.now()), lambda _: self._decide(events.Tick()))

    def _keep(self) -> None:
        for number in [n for n in self._sockets if n not in self._mind.members]:
            self._sockets.pop(number).close()  # gone for good: its address refuses from now on
        held = registry.Roster(self._mind.wanted_count, self._ports, self._mind.describe_operation())
        data = repr(held).encode()
        if data != self._written and self._mind.wanted_count:
            self._written = data
            try:
                registry.write_roster(self._names.own("json"), held)
            except OSError as fault:
                log.say("roster", f"not written: {fault}")

    def _grant(self, name: str, message: Message) -> None:
        for run, number in self._numbers.items():
            if self._names.name(number) == name and run in self._runs:
                self._runs[run].say(message)

    def _signal(self, run: int, number: int) -> None:
        if run in self._runs:
            self._runs[run].signal(number)

    # --- members -------------------------------------------------------------------------------------------

    def _socket(self, number: int) -> socket.socket:
        held = self._sockets.get(number)
        if held is None:
            where = registry.listen_of(self._fleet.listen, number, self._ports)
            held = opened(bound(where.host, where.port))
            self._sockets[number] = held
        self._ports[str(number)] = held.getsockname()[1]
        return held

    def _start(self, action: fleet_actions.StartProcess) -> None:
        """Start a process, or take one that runs under that name already for it."""
        if action.is_replacement:
            self._spawn(action)
            return

        def told(status: Message) -> None:
            # Somebody answers to the name: the last supervisor's, in the middle of a hand-over.
            try:
                found = Found(self._reactor, status["pid"])
            except (OSError, KeyError, TypeError):
                self._spawn(action)
            else:
                log.note("adopted", f"{self._names.name(action.number)}, pid {status['pid']}")
                self._follow(action.run_id, action.number, status["pid"], found)

        path = self._names.path(action.number, "sock")
        if not path.is_symlink():
            self._spawn(action)
            return
        asking = control_client.ask(self._reactor, self._deadlines, path, {"do": "status"}, clock.now() + FIND)
        asking.addCallbacks(told, lambda _: self._spawn(action))

    def _spawn(self, action: fleet_actions.StartProcess) -> None:
        number, name = action.number, self._names.name(action.number)
        try:
            listening = self._socket(number)
            where = "{}:{}".format(*listening.getsockname()[:2])
            part = message_of(EMPTY_ALLOCATION) if action.is_replacement else self._division.on_starting(name)
            registry.write_member(self._names, self._source, where, number, self._mind.fleet_size, part)
            words = [
                "--platform",
                str(self._names.path(number, "json")),
                "--state",
                str(self._names.folder),
                "--detach",
            ]
            words += ["--settings", self._given.settings_path] if self._given.settings_path else []
            words += ["--joins"] if action.is_joining else []
            words += ["--take-over"] if action.is_replacement else []
            environment = {k: v for k, v in os.environ.items() if not k.startswith(("LISTEN_", "NOTIFY_"))}
            environment["THYMEFLOW_DAEMON_DRAIN_LINGER"] = f"{self._fleet.linger:g}s"
            child, pid = spawn(
                self._reactor,
                command(shlex.split(self._program), words),
                environment,
                self._output,
                None if action.is_replacement else listening,
            )
        except (OSError, ValueError) as fault:
            how = f"could not be started: {fault}"
            self._reactor.callLater(0, lambda: self._decide(events.RunEnded(action.run_id, how)))
            return
        log.note("started", f"{name}, pid {pid}{', to take over' if action.is_replacement else ''}", number=number)
        self._follow(action.run_id, number, pid, child)

    def _follow(self, run: int, number: int, pid: int, process: Child | Found) -> None:
        def heard(status: Message) -> None:
            serves = status.get("phase") == "serving"
            if status.get("part") is not None:
                self._division.on_report(self._names.name(number), status["part"])
            if status.get("evidence") is not None:
                self._court.on_report(self._names.name(number), status["evidence"])
            self._decide(events.StatusReported(run, str(status.get("life")), serves, bool(status.get("healthy"))))

        def over(how: str) -> None:
            self._runs.pop(run, None)
            self._numbers.pop(run, None)
            if number not in self._numbers.values():
                self._division.on_death(self._names.name(number))
                self._court.on_member_gone(self._names.name(number))
            self._decide(events.RunEnded(run, how))

        def ended(how: str) -> None:
            if isinstance(process, Child):
                over(how)
                return
            # One that was found may have been in the middle of a hand-over that the last supervisor began: then
            # its successor answers to the name, and that is the same member.
            asking = control_client.ask(
                self._reactor, self._deadlines, self._names.path(number, "sock"), {"do": "status"}, clock.now() + FIND
            )
            asking.addCallbacks(succeeded, lambda _: over(how), callbackArgs=(how,))

        def succeeded(status: Message, how: str) -> None:
            try:
                found = Found(self._reactor, status["pid"])
            except (OSError, KeyError, TypeError):
                over(how)
            else:
                log.note("adopted", f"{self._names.name(number)}, pid {status['pid']}, which took over")
                self._follow(run, number, status["pid"], found)

        def silent() -> None:
            if number in self._numbers.values():
                self._division.on_disconnected(self._names.name(number))
                self._court.on_member_gone(self._names.name(number))

        followed = Run(self._reactor, self._deadlines, self._names.path(number, "sock"), pid, heard, ended, silent)
        self._runs[run], self._numbers[run] = followed, number
        # Not at once: the mind is still at the actions among which this start was one.
        self._reactor.callLater(0, process.follow, followed)
        followed.link()

    def _resize(self, size: int) -> None:
        for number, member in self._mind.members.items():
            held = self._sockets.get(number)
            if held is None or member.run_id == NO_RUN:
                continue
            try:
                where = "{}:{}".format(*held.getsockname()[:2])
                registry.write_member(self._names, self._source, where, number, size)
            except OSError as fault:
                log.note("resize", f"{self._names.name(number)} was not told: {fault}")
                continue
            self._signal(member.run_id, signal.SIGHUP)

    def _reload(self) -> str:
        """SIGHUP or an order: the platform's file is read again and passed on; a bad one changes nothing."""
        try:
            fresh, source = self._given.read(), registry.template(self._given.platform)
        except (SettingsError, configuration.ConfigurationError) as fault:
            why = f"the old settings stay: {' | '.join(str(fault).splitlines())}"
            log.note("reload", why)
            return why
        self._source = source
        self.book.set_level(fresh.log.level)
        self._resize(self._mind.fleet_size)
        log.note("reload", "passed on to every member")
        return ""

    # --- control -------------------------------------------------------------------------------------------

    def _served(self, caller: ControlCaller, message: Message) -> None:
        word = message.get("do")
        if word == "status":
            caller.send({"ok": True, **self.status()})
        elif word == "budgets":
            caller.send({"ok": True, **self._division.status()})
        elif word == "overload":
            caller.send({"ok": True, **self._court.status()})
        elif word == "reload":
            why = self._reload()
            caller.send({"ok": not why, "why": why})
        elif word == "leave":
            log.note("leave", "the supervisor ends, its members go on")
            caller.send({"ok": True, "why": f"{len(self._mind.members)} members go on by themselves"})
            self._end()
        elif word in [kind.value for kind in OperationKind]:
            self._order(caller, OperationKind(word), message.get("count", 0), message.get("program"))
        else:
            words = ["status", "budgets", "overload", "reload", "leave", *(kind.value for kind in OperationKind)]
            caller.send({"ok": False, "why": f"'do' is {str(word)[:40]!r}; it may be {', '.join(words)}"})

    def _order(self, caller: ControlCaller | None, kind: OperationKind, count: Any, program: Any = None) -> None:
        if kind is OperationKind.SCALE:
            try:
                count = Count(1, MOST_MEMBERS).read(str(count))
            except InvalidValueError as fault:
                raise ValueError(f"count: {fault}; {fault.mend}") from None
        if program is not None and (not isinstance(program, str) or len(program) > 4096):
            raise ValueError("program is no command line")
        self._orders += 1
        if caller is not None:
            caller.is_persistent = True
            self._callers[self._orders] = caller
        if program is not None and not self._mind.describe_operation():
            self._program_before[self._orders] = self._program
            self._program = program
        log.note("order", f"{kind.value}{f' to {count}' if kind is OperationKind.SCALE else ''}")
        self._decide(events.Operation(self._orders, kind, count))

    def _report(self, report: fleet_actions.ReportProgress) -> None:
        log.note("order", report.text, done=report.is_done, good=report.is_successful)
        if report.is_done and report.operation_id in self._program_before:
            before = self._program_before.pop(report.operation_id)
            if not report.is_successful:  # what broke must not be what the next restart begins with
                self._program = before
        caller = self._callers.get(report.operation_id)
        if caller is not None and not caller.closed:
            caller.send({"ok": report.is_successful, "why": report.text} if report.is_done else {"text": report.text})
        if report.is_done:
            self._callers.pop(report.operation_id, None)

    def status(self) -> dict[str, Any]:
        """What there is to say of the fleet, as JSON takes it."""
        members = []
        for number, member in sorted(self._mind.members.items()):
            run = self._runs.get(member.run_id)
            held = self._sockets.get(number)
            members.append(
                {
                    "name": self._names.name(number),
                    "state": member.state.value,
                    "why": member.last_crash_reason,
                    "crashes": len(member.crashed_at),
                    "pid": run.pid if run else None,
                    "listen": "{}:{}".format(*held.getsockname()[:2]) if held else "",
                    "told": run.last if run else {},
                }
            )
        ready = sum(m.state in (MemberState.READY, MemberState.REPLACING) for m in self._mind.members.values())
        return {
            "wanted": self._mind.wanted_count,
            "ready": ready,
            "working": self._mind.describe_operation(),
            "pid": os.getpid(),
            "members": members,
        }


def supervise(given: SupervisorOptions) -> int:
    """Run a supervisor in the foreground; the exit code."""
    from twisted.internet import reactor

    loop: Any = reactor
    try:
        supervisor = Supervisor(given, loop)
        supervisor.start()
    except SupervisorError as fault:
        print(f"thymeflow: fleet cannot start: {fault}", file=sys.stderr)
        return fault.code
    return supervisor.run()
