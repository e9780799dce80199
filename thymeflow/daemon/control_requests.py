"""What the control socket answers: one function for each word that may be asked."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from thymeflow.decision.types import BackendState
from thymeflow.handover.control_socket import ControlCaller, Message
from thymeflow.limiter import phases
from thymeflow.limiter.phases import Phase
from thymeflow.logs.structured import LEVELS
from thymeflow.outliers.member import ejections_from_message
from thymeflow.runtime import clock, log

if TYPE_CHECKING:
    from thymeflow.daemon.service import Service

WATCH = 0.5  # s: pace of what a watch is told
MOST_LINGER = 60.0  # s


class Answers:
    """Answers callers, and tells those that watch."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._watchers: list[ControlCaller] = []
        self._words: dict[str, Callable[[ControlCaller, Message], None]] = {
            "status": self._status,
            "watch": self._watch,
            "drain": self._drain,
            "reload": self._reload,
            "evacuate": self._call,
            "activate": self._call,
            "level": self._level,
            "snapshot": self._snapshot,
            "socket": self._socket,
            "part": self._part,
            "verdicts": self._verdicts,
            "shed": self._shed,
        }

    def served(self, caller: ControlCaller, message: Message) -> None:
        """Answer one message."""
        word = message.get("do")
        if self._service.giving.handle(caller, message):
            return
        if isinstance(word, str) and word in self._words:
            self._words[word](caller, message)
        else:
            caller.send({"ok": False, "why": f"'do' is {str(word)[:40]!r}; it may be {', '.join(self._words)}"})

    def status(self) -> dict[str, Any]:
        """What there is to say of this instance, as JSON takes it."""
        service, limiter, now = self._service, self._service.limiter, clock.now()
        gateway, phase = limiter.gateway, limiter.lifecycle.phase
        servers = list(gateway.backends.values())
        ready = [s for s in servers if s.endpoint.state is BackendState.READY]
        return {
            "name": service.name,
            "life": service.incarnation,
            "pid": os.getpid(),
            "phase": phase.value,
            "listen": limiter.lifecycle.where,
            "uptime_s": round(now - service.begun, 3),
            "healthy": phase is Phase.SERVING and bool(ready),
            "index": gateway.settings.index,
            "gateways": gateway.settings.limiter_count,
            "list_version": service.memory.version,
            "servers": {
                "ready": len(ready),
                "other": len(servers) - len(ready),
                "ejected": sum(not s.is_healthy("", now) for s in ready),
            },
            "open": limiter.core.open_count(),
            "user_agents": len(limiter.front.agents),
            "answers": {verdict.value: count for verdict, count in limiter.core.response_counts.items()},
            "customers": len(gateway.buckets),
            "pressure": round(gateway.pressure, 3),
            "counter_heard_s": round(now - gateway.last_gossip_at, 3) if gateway.last_gossip_at > 0 else None,
            "snapshot": service.memory.told(),
            "hand_over": service.giving.state.value,
            "log_lost": service.book.file.dropped_lines,
            "evidence": None if service.verdicts is None else service.verdicts.report(now),
            "part": service.part.told(limiter.core),
        }

    def tell(self) -> None:
        """Tell those that watch."""
        if self._watchers:
            told = {"status": self.status()}
            for caller in list(self._watchers):
                caller.send(told)

    def beat(self, _: int = 0) -> None:
        """Tell them now and then."""
        self.tell()
        self._service.limiter.deadlines.at(clock.now() + WATCH, self.beat)

    def _status(self, caller: ControlCaller, _: Message) -> None:
        caller.send({"ok": True, **self.status()})

    def _watch(self, caller: ControlCaller, _: Message) -> None:
        caller.is_persistent = True
        self._watchers.append(caller)
        caller.on_disconnected = lambda: self._watchers.remove(caller)
        caller.send({"status": self.status()})

    def _drain(self, caller: ControlCaller, message: Message) -> None:
        linger = message.get("linger")
        if linger is not None and (
            isinstance(linger, bool) or not isinstance(linger, int | float) or not 0.0 <= linger <= MOST_LINGER
        ):
            raise ValueError(f"linger is {str(linger)[:40]!r}, no number of seconds from 0 to {MOST_LINGER:g}")
        caller.send({"ok": True, "open": self._service.limiter.core.open_count()})
        self._service.end(linger)

    def _call(self, caller: ControlCaller, message: Message) -> None:
        yes, why = self._service.limiter.lifecycle.call(phases.Word(message["do"]))
        caller.send({"ok": yes, "why": why})

    def _reload(self, caller: ControlCaller, _: Message) -> None:
        good = self._service.reload()
        caller.send({"ok": good, "why": self._service.reloaded})

    def _level(self, caller: ControlCaller, message: Message) -> None:
        level = message.get("level")
        if level not in LEVELS:
            raise ValueError(f"level is {str(level)[:40]!r}; it may be {', '.join(LEVELS)}")
        self._service.book.set_level(level)
        log.note("level", f"{level} from now on, until a reload")
        caller.send({"ok": True})

    def _snapshot(self, caller: ControlCaller, _: Message) -> None:
        memory = self._service.memory
        writing = memory.write_now()
        if writing is None:
            caller.send({"ok": False, "why": "one is being written, or this life does not hold the name"})
        else:
            writing.addCallback(
                lambda fault: caller.send({"ok": not fault, "why": fault, "path": str(memory.path), **memory.told()})
            )

    def _part(self, _: ControlCaller, message: Message) -> None:
        # No answer: what is held is said with the next word to whoever watches.
        self._service.part.offered(message.get("part"))
        self.tell()

    def _verdicts(self, _: ControlCaller, message: Message) -> None:
        if self._service.verdicts is not None:
            try:
                found = ejections_from_message(message.get("verdicts"))
            except ValueError as fault:
                log.say("overload", f"verdicts that cannot be read change nothing: {fault}")
            else:
                self._service.verdicts.on_ejections(found, clock.now(), clock.monotonic())

    def _shed(self, _: ControlCaller, message: Message) -> None:
        if self._service.shedding is not None:
            try:
                self._service.shedding.on_threshold(message.get("level"), clock.now(), clock.monotonic())
            except ValueError as fault:
                log.say("overload", f"a level that cannot be read changes nothing: {fault}")

    def _socket(self, caller: ControlCaller, _: Message) -> None:
        # A supervisor that adopts us wants the listening socket, so that it outlives us.
        lifecycle = self._service.limiter.lifecycle
        if lifecycle.port is None:
            caller.send({"ok": False, "why": "it does not listen"})
        else:
            caller.send({"ok": True, "listen": lifecycle.where}, lifecycle.port.fileno())
