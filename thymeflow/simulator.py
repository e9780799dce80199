"""Adapter between the bench's text wire and the decision module: translation and nothing else.

Reads batches of events from standard input and writes one reply, with one flush, for each. Every
instance is a Gateway of its own and nothing is shared between them. Unknown kinds of line and
unknown keys are ignored; a malformed line ends the program with one message on standard error.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import MISSING, fields
from typing import Any, TextIO

from thymeflow.decision.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    RejectRequest,
    SendGossip,
    SetTimer,
    StartAttempt,
    SubscribeEndpoints,
    WriteLog,
)
from thymeflow.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointsChanged,
    Event,
    GossipReceived,
    HealthCheckEnded,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from thymeflow.decision.factory import create_gateway
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import (
    DiscoveryMode,
    GatewaySettings,
    Idempotency,
    IdempotencyScope,
    Information,
    InvalidSettingError,
    Limits,
    LoadReportMode,
    Plan,
    Prices,
    RequestClass,
    Rules,
)
from thymeflow.decision.types import Backend, BackendState, EndpointListKind, LoadReport, Status

Fields = dict[str, str]

EFFECTS = {"retryable": Idempotency.IDEMPOTENT, "dedup": Idempotency.WITH_KEY, "fragile": Idempotency.NOT_IDEMPOTENT}
SCOPES = {"all": IdempotencyScope.ALL, "zone": IdempotencyScope.ZONE, "cell": IdempotencyScope.CELL}
DISCOVERY = {"pushed": DiscoveryMode.PUSH, "on_request": DiscoveryMode.POLL}
REPORTS = {"inline": LoadReportMode.RESPONSES, "on_probe": LoadReportMode.HEALTH_CHECKS, "off": LoadReportMode.NONE}


def settings_from(info: dict[str, Any]) -> GatewaySettings:
    """Translate the settings object; absent keys take the interface's defaults. ValueError names key and value."""

    def part(cls: type[Any], where: str, source: dict[str, Any], names: dict[str, str], **more: Any) -> Any:
        try:
            return cls(**{ours: source[theirs] for ours, theirs in names.items() if theirs in source}, **more)
        except InvalidSettingError as fault:
            raise ValueError(
                f"settings.{where}.{names.get(fault.name, fault.name)}: {fault.value!r} makes no sense"
            ) from None
        except TypeError as fault:
            lacking = [names[f.name] for f in fields(cls) if f.default is MISSING and names[f.name] not in source]
            raise ValueError(f"settings.{where}: {f'{lacking[0]} is missing' if lacking else fault}") from None

    classes = tuple(
        part(
            RequestClass,
            f"classes[{n}]",
            c,
            {
                "name": "name",
                "latency_objective": "on-time",
                "deadline": "deadline",
                "priority_weight": "credit",
                "late_weight": "late-share",
                "idempotency_window": "window",
                "is_streamed": "stream",
                "latency_objective_stretch": "aim-stretch",
            },
            idempotency=EFFECTS.get(c.get("effect", ""), Idempotency.NOT_IDEMPOTENT),
            idempotency_scope=SCOPES.get(c.get("key-scope", "all"), IdempotencyScope.CELL),
        )
        for n, c in enumerate(info.get("classes", []))
    )
    plans = tuple(
        part(
            Plan,
            f"tiers-of-service[{n}]",
            p,
            {
                "name": "name",
                "rate": "refill",
                "burst": "most-at-once",
                "max_concurrency": "parallel",
                "price": "pays",
                "over_quota_weight": "over-worth",
                "over_quota_cost": "over-cost",
                "ceiling_rate": "never-over-rate",
                "ceiling_burst": "never-over-depth",
                "ceiling_slack": "cap-slack",
            },
        )
        for n, p in enumerate(info.get("tiers-of-service", []))
    )
    rules = part(
        Rules,
        "rules",
        info.get("rules", {}),
        {
            "drain_grace": "drain-grace",
            "overload_multiple": "fall-multiple",
            "overload_seconds": "fall",
            "slow_start_fraction": "cold-share",
            "slow_start_seconds": "cold",
            "response_grace": "grace-to-answer",
            "max_poll_interval": "must-ask-in",
        },
    )
    limits = part(
        Limits,
        "caps",
        info.get("caps", {}),
        {
            "cancel": "cancel",
            "health_checks": "probes",
            "gossip": "may-tell",
            "hedged_requests": "second-copies",
            "retry_after": "retry-after",
            "max_retry_after": "max-retry-after",
            "max_attempts": "max-attempts",
            "max_concurrent_requests": "open-cap",
            "connect_timeout": "dial-timeout",
            "connection_idle": "conn-idle",
            "streams_per_connection": "multiplex",
        },
    )
    family = info.get("family-info", {})
    prices = part(
        Prices,
        "costs",
        {**info.get("costs", {}), "counter-price": family.get("counter-price", 0.0)},
        {
            "cross_zone": "cross-zone",
            "waste": "waste",
            "late_fail": "late-fail",
            "gossip": "peer",
            "health_check": "probe",
            "counter": "counter-price",
        },
    )
    information = part(
        Information,
        "family-info",
        family,
        {
            "counter": "may-count",
            "counter_timeout": "counter-timeout",
            "meter_period": "meter",
            "max_units": "most-units",
            "max_gossip_per_second": "peer-intake",
            "settles_units": "trued-up",
        },
    )
    report = info.get("report", {})
    return GatewaySettings(
        index=info.get("index", 0),
        limiter_count=info.get("balancers", 1),
        zone=info.get("zone", ""),
        zones=tuple(info.get("azs", ())),
        classes=classes,
        plans=plans,
        rules=rules,
        limits=limits,
        prices=prices,
        information=information,
        discovery=DISCOVERY.get(info.get("discovery", "pushed"), DiscoveryMode.PUSH),
        load_report_mode=REPORTS.get(report.get("how", "off"), LoadReportMode.NONE),
        load_report_fields=tuple(report.get("fields", ())),
        timer_resolution=info.get("step", 0.001),
    )


def load_report(text: str | None) -> LoadReport | None:
    """Translate name:value pairs; names that are not known are left out."""
    if not text or text == "-":
        return None
    found: dict[str, float] = {}
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        found[name] = float(value)
    millis = found.get("avg_ms")
    return LoadReport(
        found.get("active"),
        found.get("waiting"),
        found.get("cpu"),
        None if millis is None else millis / 1000.0,
        found.get("rps"),
        found.get("err_rps"),
    )


def backend_from(f: Fields) -> Backend:
    """Translate one entry of a table."""
    return Backend(
        int(f["backend"]),
        f.get("az", ""),
        BackendState(int(f.get("lifecycle", "1"))),
        int(f.get("group", "0")),
        f.get("hw", ""),
        float(f.get("rating", "1")),
        float(f.get("started-at", "0")),
    )


def _raw(text: str) -> bytes:
    return b"" if text == "-" else bytes.fromhex(text)


def _ended(f: Fields) -> AttemptEnded:
    used, units = int(f.get("fleet-use", "0")), float(f.get("billed", "0"))
    return AttemptEnded(
        f["rid"],
        int(f["round-no"]),
        int(f["backend"]),
        Status(int(f["reason"])),
        float(f.get("spent", "0")),
        f.get("over", "0") == "1",
        (used - 1) / 100.0 if used > 0 else None,
        units if units > 0 else None,
        load_report(f.get("metrics")),
    )


EVENTS: dict[str, Callable[[Fields], Event]] = {
    "incoming": lambda f: RequestReceived(
        f["rid"],
        f["cls"],
        f.get("tier", ""),
        f.get("user-key", ""),
        float(f["remaining"]),
        float(f.get("weight", "1")),
        int(f.get("spread", "1")),
        int(f.get("first", "0")),
        f.get("is-retry", "0") == "1",
        f.get("is-write", "0") == "1",
    ),
    "head_received": lambda f: ResponseStarted(
        f["rid"], int(f["round-no"]), int(f["backend"]), float(f.get("spent", "0"))
    ),
    "attempt_end": _ended,
    "left": lambda f: ClientDisconnected(f["rid"]),
    "reminder": lambda f: TimerFired(int(f["cookie"])),
    "probe_done": lambda f: HealthCheckEnded(
        int(f["backend"]), Status(int(f["reason"])), float(f.get("spent", "0")), load_report(f.get("metrics"))
    ),
    "message": lambda f: GossipReceived(int(f["sender"]), _raw(f["data"])),
    "ledger_reply": lambda f: CounterReplied(
        int(f["book"]), Status(int(f["reason"])), float(f.get("reading", "0")), float(f.get("spent", "0"))
    ),
}


def _seconds(value: float) -> str:
    return f"{value:.6f}"


def line_for(action: Action) -> str:
    """Translate one action."""
    match action:
        case StartAttempt(rid, backend, timeout):
            tail = f" try-for={_seconds(timeout)}" if timeout else ""
            return f"issue rid={rid} backend={backend}{tail}"
        case RejectRequest(rid, wait):
            return f"bounce rid={rid}" + (f" not-before-for={_seconds(wait)}" if wait > 0 else "")
        case FailRequest(rid):
            return f"error rid={rid}"
        case CancelAttempt(rid, attempt):
            return f"call_off rid={rid} round-no={attempt}"
        case SetTimer(token, delay):
            return f"arm cookie={token} from-now={_seconds(delay)}"
        case CheckHealth(backend):
            return f"sound_out backend={backend}"
        case CloseIdleConnections(backend):
            return f"release backend={backend}"
        case SendGossip(peer, data):
            return f"share whom={peer} data={data.hex() or '-'}"
        case AddToCounter(name, amount, ttl):
            return f"add ttl={_seconds(ttl)} qty={amount:.6g} book={name}"
        case SubscribeEndpoints(on):
            return f"subscribe want={int(on)}"
        case FetchEndpoints():
            return "fetch"
        case WriteLog(text):
            return "emit text=" + " ".join(text.split())


class Drill:
    """The instances hosted by this process and the tables the wire has named."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.gateways: dict[int, Gateway] = {}
        self.tables: dict[str, tuple[Backend, ...]] = {}
        self.reply: list[str] = []
        self.now = 0.0
        self.instance = 0
        self.speaking: int | None = None
        self.table = ""
        self.missing = 0
        self.entries: list[Backend] = []

    def line(self, line: str) -> None:
        """Take in one line of a batch."""
        kind, _, rest = line.partition(" ")
        if self.missing:
            if kind != "backend":
                raise ValueError("a backend line was due")
            self.entries.append(backend_from(self.fields(kind, rest)))
            self.missing -= 1
            if not self.missing:
                self.tables[self.table] = tuple(self.entries)
            return
        if kind == "end":
            self.reply.append("ready\n")
            self.out.write("\n".join(self.reply))
            self.out.flush()
            self.reply, self.speaking = [], None
            return
        fields = self.fields(kind, rest)
        if kind == "clock":
            self.now = float(fields["wall"])
        elif kind == "at":
            self.instance = int(fields["i"])
        elif kind == "table":
            self.table, self.missing, self.entries = fields["page"], int(fields["nodes-list"]), []
            if self.missing <= 0:
                self.missing = 0
                self.tables[self.table] = ()
        elif kind == "halt":
            self.gateways.pop(self.instance, None)
        elif kind == "born":
            info, seed = json.loads(fields["settings"]), int(fields["salt"])
            if not isinstance(info, dict):
                raise ValueError("settings are no object")
            self.guard(lambda: self.born(info, seed))
        elif kind == "membership":
            how = EndpointListKind(int(fields["how"]))
            entries = () if how is EndpointListKind.FAILED else self.tables[fields["page"]]
            self.event(EndpointsChanged(how, entries, int(fields.get("revision", "0"))))
        elif kind in EVENTS:
            self.event(EVENTS[kind](fields))

    @staticmethod
    def fields(kind: str, rest: str) -> Fields:
        """Split name=value pairs; a text field runs to the end of the line."""
        found: Fields = {}
        while rest:
            name, mark, after = rest.partition("=")
            if not mark or " " in name or not name:
                raise ValueError("not name=value")
            if name == "settings" or (name == "text" and kind in ("emit", "exception")):
                found[name] = after
                break
            found[name], _, rest = after.partition(" ")
        return found

    def born(self, info: dict[str, Any], seed: int) -> None:
        """Start an instance that holds nothing."""
        self.gateways.pop(self.instance, None)
        self.gateways[self.instance] = create_gateway(settings_from(info), seed)

    def event(self, event: Event) -> None:
        """Hand an event to its instance and write down what it does."""
        gateway = self.gateways.get(self.instance)
        if gateway is not None:
            self.guard(lambda: self.say([line_for(a) for a in gateway.handle(self.now, event)]))

    def guard(self, work: Callable[[], None]) -> None:
        """Report an exception of the module as the wire's own fault action."""
        try:
            work()
        except Exception as fault:
            self.say(["exception text=" + " ".join(f"{type(fault).__name__}: {fault}".split())])

    def say(self, lines: list[str]) -> None:
        """Add actions to the reply under their instance."""
        if lines and self.speaking != self.instance:
            self.reply.append(f"for i={self.instance}")
            self.speaking = self.instance
        self.reply.extend(lines)


def main(source: TextIO = sys.stdin, out: TextIO = sys.stdout) -> int:
    """Answer batches until the input ends."""
    drill = Drill(out)
    for number, raw in enumerate(source, 1):
        line = raw.rstrip("\r\n")
        if not line:
            continue
        try:
            drill.line(line)
        except (ValueError, KeyError, TypeError, AttributeError) as fault:
            print(f"thymeflow.simulator: line {number} is malformed ({fault}): {line[:200]}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
