"""Adapter between the simulator's text protocol and the gateways: it only translates events and actions.

It reads batches of events from standard input, and writes and flushes one reply for each. Every instance of the
simulator is a separate gateway, and gateways share nothing. Unknown kinds of line and unknown keys are ignored. A
malformed line ends the program with one message on standard error. The field names are those of the protocol.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import TextIO

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
from thymeflow.decision.types import Backend, BackendState, EndpointListKind, LoadReport, Status
from thymeflow.errors import ThymeflowError
from thymeflow.platform.settings import JsonObject, parse_platform_settings

Fields = dict[str, str]

MAX_SHOWN_CHARACTERS = 200  # limit of a malformed line that an error message quotes


class MalformedLineError(ThymeflowError, ValueError):
    """A line does not have the format of the simulator's protocol."""


def parse_load_report(text: str | None) -> LoadReport | None:
    """Return the load report in comma-separated name:value pairs, None for an empty one; unknown names are ignored."""
    if not text or text == "-":
        return None
    values: dict[str, float] = {}
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        values[name] = float(value)
    milliseconds = values.get("avg_ms")
    return LoadReport(
        values.get("active"),
        values.get("waiting"),
        values.get("cpu"),
        None if milliseconds is None else milliseconds / 1000.0,
        values.get("rps"),
        values.get("err_rps"),
    )


def parse_backend(fields: Fields) -> Backend:
    """Return the backend in one entry of an endpoint table."""
    return Backend(
        int(fields["backend"]),
        fields.get("az", ""),
        BackendState(int(fields.get("lifecycle", "1"))),
        int(fields.get("group", "0")),
        fields.get("hw", ""),
        float(fields.get("rating", "1")),
        float(fields.get("started-at", "0")),
    )


def _parse_bytes(text: str) -> bytes:
    return b"" if text == "-" else bytes.fromhex(text)


def _parse_attempt_ended(fields: Fields) -> AttemptEnded:
    usage = int(fields.get("fleet-use", "0"))
    units = float(fields.get("billed", "0"))
    return AttemptEnded(
        fields["rid"],
        int(fields["round-no"]),
        int(fields["backend"]),
        Status(int(fields["reason"])),
        float(fields.get("spent", "0")),
        fields.get("over", "0") == "1",
        (usage - 1) / 100.0 if usage > 0 else None,
        units if units > 0 else None,
        parse_load_report(fields.get("metrics")),
    )


EVENT_PARSERS: dict[str, Callable[[Fields], Event]] = {
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
    "attempt_end": _parse_attempt_ended,
    "left": lambda f: ClientDisconnected(f["rid"]),
    "reminder": lambda f: TimerFired(int(f["cookie"])),
    "probe_done": lambda f: HealthCheckEnded(
        int(f["backend"]), Status(int(f["reason"])), float(f.get("spent", "0")), parse_load_report(f.get("metrics"))
    ),
    "message": lambda f: GossipReceived(int(f["sender"]), _parse_bytes(f["data"])),
    "ledger_reply": lambda f: CounterReplied(
        int(f["book"]), Status(int(f["reason"])), float(f.get("reading", "0")), float(f.get("spent", "0"))
    ),
}


def _format_seconds(value: float) -> str:
    return f"{value:.6f}"


def _format_start_attempt(action: StartAttempt) -> str:
    timeout = f" try-for={_format_seconds(action.timeout)}" if action.timeout else ""
    return f"issue rid={action.id} backend={action.backend}{timeout}"


def _format_reject(action: RejectRequest) -> str:
    retry_after = f" not-before-for={_format_seconds(action.retry_after)}" if action.retry_after > 0 else ""
    return f"bounce rid={action.id}{retry_after}"


def _format_add_to_counter(action: AddToCounter) -> str:
    return f"add ttl={_format_seconds(action.ttl)} qty={action.amount:.6g} book={action.name}"


ACTION_FORMATTERS: dict[type, Callable[..., str]] = {
    StartAttempt: _format_start_attempt,
    RejectRequest: _format_reject,
    FailRequest: lambda action: f"error rid={action.id}",
    CancelAttempt: lambda action: f"call_off rid={action.id} round-no={action.attempt}",
    SetTimer: lambda action: f"arm cookie={action.token} from-now={_format_seconds(action.delay)}",
    CheckHealth: lambda action: f"sound_out backend={action.backend}",
    CloseIdleConnections: lambda action: f"release backend={action.backend}",
    SendGossip: lambda action: f"share whom={action.peer} data={action.data.hex() or '-'}",
    AddToCounter: _format_add_to_counter,
    SubscribeEndpoints: lambda action: f"subscribe want={int(action.on)}",
    FetchEndpoints: lambda _: "fetch",
    WriteLog: lambda action: "emit text=" + " ".join(action.text.split()),
}


def format_action(action: Action) -> str:
    """Return the line of the reply for an action."""
    return ACTION_FORMATTERS[type(action)](action)


def parse_fields(kind: str, text: str) -> Fields:
    """Return the name=value pairs of a line as a dictionary; a text field extends to the end of the line.

    :raises MalformedLineError: if a field has no name or no equals sign.
    """
    fields: Fields = {}
    while text:
        name, separator, after = text.partition("=")
        if not separator or " " in name or not name:
            message = "a field is not name=value"
            raise MalformedLineError(message)
        if name == "settings" or (name == "text" and kind in ("emit", "exception")):
            fields[name] = after
            break
        fields[name], _, text = after.partition(" ")
    return fields


class SimulatorAdapter:
    """Holds the gateways of the simulator's instances, and the endpoint tables that were received."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.gateways: dict[int, Gateway] = {}
        self._tables: dict[str, tuple[Backend, ...]] = {}
        self._reply: list[str] = []
        self.now = 0.0
        self.instance = 0
        self._reply_instance: int | None = None  # the instance of the reply's last line
        self._table_name = ""  # the table that is being received
        self._missing_entries = 0  # number of its entries that have not arrived
        self._entries: list[Backend] = []
        self._line_handlers: dict[str, Callable[[Fields], None]] = {
            "clock": self._set_clock,
            "at": self._set_instance,
            "table": self._begin_table,
            "halt": self._halt,
            "born": self._start_instance,
            "membership": self._on_membership,
        }

    def handle_line(self, line: str) -> None:
        """Process one line of a batch.

        :raises ValueError, KeyError, TypeError, AttributeError: if the line is malformed.
        """
        kind, _, fields_text = line.partition(" ")
        if self._missing_entries:
            self._add_entry(kind, fields_text)
            return
        if kind == "end":
            self._end_batch()
            return
        fields = parse_fields(kind, fields_text)
        handler = self._line_handlers.get(kind)
        if handler is not None:
            handler(fields)
        elif kind in EVENT_PARSERS:
            self.handle_event(EVENT_PARSERS[kind](fields))

    def _add_entry(self, kind: str, fields_text: str) -> None:
        if kind != "backend":
            message = f"expected {self._missing_entries} more backend lines of table {self._table_name}"
            raise MalformedLineError(message)
        self._entries.append(parse_backend(parse_fields(kind, fields_text)))
        self._missing_entries -= 1
        if not self._missing_entries:
            self._tables[self._table_name] = tuple(self._entries)

    def _end_batch(self) -> None:
        self._reply.append("ready\n")
        self.out.write("\n".join(self._reply))
        self.out.flush()
        self._reply = []
        self._reply_instance = None

    def _set_clock(self, fields: Fields) -> None:
        self.now = float(fields["wall"])

    def _set_instance(self, fields: Fields) -> None:
        self.instance = int(fields["i"])

    def _begin_table(self, fields: Fields) -> None:
        self._table_name = fields["page"]
        self._missing_entries = int(fields["nodes-list"])
        self._entries = []
        if self._missing_entries <= 0:
            self._missing_entries = 0
            self._tables[self._table_name] = ()

    def _halt(self, _: Fields) -> None:
        self.gateways.pop(self.instance, None)

    def _start_instance(self, fields: Fields) -> None:
        source = json.loads(fields["settings"])
        seed = int(fields["salt"])
        if not isinstance(source, dict):
            message = "the settings are not a JSON object"
            raise MalformedLineError(message)
        self._report_exceptions(lambda: self._create_gateway(source, seed))

    def _create_gateway(self, source: JsonObject, seed: int) -> None:
        self.gateways.pop(self.instance, None)
        self.gateways[self.instance] = create_gateway(parse_platform_settings(source), seed)

    def _on_membership(self, fields: Fields) -> None:
        kind = EndpointListKind(int(fields["how"]))
        entries = () if kind is EndpointListKind.FAILED else self._tables[fields["page"]]
        self.handle_event(EndpointsChanged(kind, entries, int(fields.get("revision", "0"))))

    def handle_event(self, event: Event) -> None:
        """Pass an event to the gateway of the current instance, and add its actions to the reply."""
        gateway = self.gateways.get(self.instance)
        if gateway is not None:
            self._report_exceptions(
                lambda: self.write([format_action(action) for action in gateway.handle(self.now, event)])
            )

    def _report_exceptions(self, call: Callable[[], None]) -> None:
        # Reports an exception of a gateway to the simulator as an `exception` line.
        try:
            call()
        except Exception as fault:
            self.write(["exception text=" + " ".join(f"{type(fault).__name__}: {fault}".split())])

    def write(self, lines: list[str]) -> None:
        """Add lines to the reply, under the number of the current instance."""
        if lines and self._reply_instance != self.instance:
            self._reply.append(f"for i={self.instance}")
            self._reply_instance = self.instance
        self._reply.extend(lines)


def main(source: TextIO = sys.stdin, out: TextIO = sys.stdout) -> int:
    """Process batches until the input ends or a line is malformed, and return the exit code."""
    adapter = SimulatorAdapter(out)
    for number, raw in enumerate(source, 1):
        line = raw.rstrip("\r\n")
        if not line:
            continue
        try:
            adapter.handle_line(line)
        except (ValueError, KeyError, TypeError, AttributeError) as fault:
            shown = line[:MAX_SHOWN_CHARACTERS]
            print(f"thymeflow.simulator: line {number} is malformed ({fault}): {shown}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
