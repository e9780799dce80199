"""Messages between processes: each kind has the same keys, values and bytes as an earlier version wrote.

A rolling restart runs two versions side by side, so that all of this outlives a change of names. What can be built
without a process is built by the functions that make it; the rest is asked of a daemon, of a fleet's supervisor, and
of both sides of a handover, with values that differ from run to run masked by their keys.
"""

from __future__ import annotations

import json
import os
import re
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, cast

import pytest

from tests.helpers import fleet, request, sends, settings
from tests.limiter import PATIENCE, ROOT, Limiter
from thymeflow.daemon.allocation import MemberAllocation
from thymeflow.decision.events import AttemptEnded, EndpointsChanged
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.types import EndpointListKind, Status
from thymeflow.fleet.lease_distributor import LeaseDistributor
from thymeflow.fleet.outlier_service import OutlierService
from thymeflow.gossip import codec
from thymeflow.handover import control_socket
from thymeflow.leases.holder import allocation_from_message, message_of
from thymeflow.limiter import management, phases
from thymeflow.outliers import member
from thymeflow.quota import counter_encoding
from thymeflow.runtime import clock
from thymeflow.shedding.threshold import LoadShedder

DATA = Path(__file__).resolve().parent / "data" / "before-rename"
PART = {"era": 3, "number": 9, "base": [1, 2, 3, 4, 5], "lease": [6, 7, 8, 9, 10], "end": 1234.5}
VOLATILE = {
    "pid", "life", "listen", "uptime_s", "at", "age_s", "bytes", "path", "site", "offer", "end", "era", "number",
    "demand", "pressure", "in_force",
}  # fmt: skip
AMOUNTS = {"base", "lease", "free", "state", "told", "ends_in_s"}  # of allocations: they grow in a fleet's first second
EVIDENCE = {"good": [], "trials": {}, "servers": 4, "zones": {"a": [1, 3], "b": [2, 4]}}
GOOD_ANSWER = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


# Builders: the only places that name how our objects are made.


def report_entry(number: int, plan: int, aggregated: bool, first: float, second: float) -> codec.Entry:
    """One customer's figures in a gossip message."""
    return codec.Entry(number, plan, aggregated, first, second)


def gossip(incarnation: int, sequence: int, pressure: float, *entries: codec.Entry) -> bytes:
    """A gossip message as it travels."""
    return codec.encode(codec.Message(incarnation, sequence, pressure, entries))


def gossip_values(data: bytes) -> list[Any] | None:
    """The values of a gossip message in the order in which they are declared; None where it is not believed."""
    found = codec.decode(data)
    return None if found is None else [*found[:3], [list(entry) for entry in found[3]]]


def part_values(message: Any) -> list[Any]:
    """The values of an allocation in declared order."""
    part = allocation_from_message(message)
    return [part.epoch, part.number, list(part.base), list(part.lease), part.ends_at]


def ejections(rows: Any) -> list[list[Any]]:
    """The values of ejections as a member reads them, and as they are written again."""
    found = member.ejections_from_message(rows)
    return [[*row.key, row.number, row.probe_permit, row.is_admitted, row.is_recovered, row.ends_at] for row in found]


def evidence() -> list[dict[str, Any]]:
    """What a member reports once one backend has failed, and once it has answered a half-open probe."""
    gateway = Gateway(settings(), 1)
    gateway.handle(0.0, EndpointsChanged(EndpointListKind.CACHED, fleet()))
    reporter, failed = member.MemberEjections(gateway), dict[str, Any]()
    for step in range(40):
        now = 0.05 * (step + 1)
        for send in sends(gateway.handle(now, request(f"r{step}"))):
            status = Status.ERROR if send.backend == 4 else Status.OK
            gateway.handle(now + 0.01, AttemptEnded(send.id, 0, send.backend, status, 0.01, request_answered=True))
            report = reporter.report(now + 0.01)
            failed = failed or (report if report["against"] else {})
    reporter.on_ejections(member.ejections_from_message([[4, "read", 1, 17, False, False, 9.0]]), 2.1, 2.1)
    for step in range(40):
        now = 2.2 + 0.01 * step
        for send in sends(gateway.handle(now, request(f"s{step}"))):
            gateway.handle(now + 0.005, AttemptEnded(send.id, 0, send.backend, Status.OK, 0.005, request_answered=True))
    return [failed, reporter.report(2.7)]


class VirtualDeadlines:
    """Keeps what is to be called later; the test says when."""

    def __init__(self) -> None:
        self.calls: list[Any] = []

    def schedule(self, _: float, call: Any, argument: int = 0) -> clock.ScheduledCall:
        """Call it later."""
        self.calls.append((call, argument))
        return clock.NOT_SCHEDULED

    def turn(self) -> None:
        """Call what is due."""
        due, self.calls = self.calls, []
        for call, argument in due:
            call(argument)


class Transport:
    """Keeps what was written."""

    def __init__(self) -> None:
        self.written: list[Any] = []

    def write(self, data: bytes) -> None:
        """Keep it."""
        self.written.append(data.decode())

    def sendFileDescriptor(self, descriptor: int) -> None:
        """Keep it."""
        self.written.append(descriptor)

    def loseConnection(self) -> None:
        """Keep that it was called."""
        self.written.append("closed")


class Heard(control_socket.ControlConnection):
    """A control connection that keeps its messages."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = Transport()
        self.transport = cast("Any", self.sent)
        self.heard: list[Any] = []

    def on_message(self, message: dict[str, Any]) -> None:
        """Keep it."""
        self.heard.append(message)


def fault_of(function: Any, value: Any) -> str:
    """The text of the ValueError that a value is refused with."""
    with pytest.raises(ValueError) as caught:
        function(value)
    return str(caught.value)


def typed(value: Any) -> Any:
    """A value with each part of it replaced by the name of its JSON type; the keys of objects stay."""
    if isinstance(value, dict):
        return {key: typed(part) for key, part in value.items()}
    if isinstance(value, list):
        return [typed(part) for part in value]
    kinds = {bool: "true or false", int: "number", float: "number", str: "text", type(None): None}
    return kinds[type(value)]


def masked(value: Any, keys: set[str] = VOLATILE) -> Any:
    """A message with the values that differ from run to run replaced by the names of their JSON types."""
    if isinstance(value, dict):
        return {key: typed(part) if key in keys else masked(part, keys) for key, part in value.items()}
    if isinstance(value, str):
        return re.sub(r"127\.0\.0\.1:[0-9]+", "127.0.0.1:PORT", value)
    return [masked(part, keys) for part in value] if isinstance(value, list) else value


def expected(name: str) -> Any:
    """What the earlier version wrote."""
    return json.loads((DATA / "messages.json").read_text())[name]


def same(name: str, found: Any) -> None:
    """The message, its keys in their order, is what the earlier version wrote; else its present form is printed."""
    text = json.dumps(found)
    assert text == json.dumps(expected(name)), f"{name} is now {text}"


# Without a process.


def test_counter_encoding_is_the_same_when_amounts_are_packed() -> None:
    found: list[Any] = []
    for customer, rate, burst in (("c", 10.0, 30.0), ("0xfeed", 0.01, 20.0), ("", 1e6, 1e9), ("é", 1e-12, 1e-12)):
        number = counter_encoding.customer_id(customer)
        for now in (0.0, 12345.678, 1764633600.25):
            name = counter_encoding.counter_name(number, now, rate, burst)
            for asked, charged in ((0.0, 0.0), (3.0, 2.5), (1e12, 1e12), (-4.0, -7.0), (rate * 9.9, -burst)):
                amount = counter_encoding.encode(name, asked, charged)
                found.append(
                    [number, name, amount, *counter_encoding.decode(name, amount), counter_encoding.is_reset(amount)]
                )
            found.append(
                [counter_encoding.window_age(number, now), counter_encoding.rendezvous_order(number, 2, 5, 24)]
            )
    same("counter encoding", found)


def test_gossip_has_the_same_bytes_when_it_is_packed() -> None:
    entries = [
        report_entry(n * 0x1234567 % 2**32, n % 120, n % 2 == 1, n * 97.3, n * 5000.25)
        for n in range(codec.MAX_ENTRIES + 3)
    ]
    found = [
        gossip(0, 0, 0.0).hex(),
        gossip(0xFFFF, 0x1FFFF, 7.0, report_entry(1, 127, True, -1.0, 1e9)).hex(),
        *(gossip(513, 700 + n, 0.456, *part).hex() for n, part in enumerate(codec.chunks(entries))),
        gossip(1, 2, 0.3, *codec.chunks([])[0]).hex(),
    ]
    same("gossip", found)


def test_gossip_has_the_same_values_when_it_is_unpacked() -> None:
    data = [bytes.fromhex(text) for text in expected("gossip")]
    bad = [b"", data[0][:-1], data[1] + b"\0", b"\x02" + data[0][1:], data[2] + bytes(9)]
    same("gossip values", [gossip_values(one) for one in data + bad])
    same("gossip differences", [[codec.increase(a, b), codec.change(a, b)] for a, b in ((5.0, 2.0), (1.0, 16383.0))])


def test_allocation_has_the_same_form_when_it_is_read_and_written() -> None:
    of_two = {**PART, "base": [1, 2], "lease": [3, 4], "end": 7}
    same("allocation", [[part_values(one), message_of(allocation_from_message(one))] for one in (PART, of_two)])


def test_allocation_is_refused_with_the_same_words_when_it_is_malformed() -> None:
    bad: list[Any] = [None, {}, {**PART, "era": -1}, {**PART, "number": True}, {**PART, "end": "soon"}]
    bad += [{**PART, "base": [1]}, {**PART, "lease": [1, 2, 3, 4, 1_000_001]}, {**PART, "base": "1"}]
    same("allocation refused", [fault_of(allocation_from_message, one) for one in bad])


def test_member_reports_its_allocation_alike_when_it_has_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clock, "now", lambda: 100.0)
    monkeypatch.setattr(clock, "monotonic", lambda: 1200.0)
    own = MemberAllocation(PART)
    monkeypatch.setattr(clock, "now", lambda: 102.0)
    core: Any = type("Core", (), {"response_counts": {"ok": 30, "busy": 11}})()
    told = own.report(core)
    refused = [own.on_grant({**PART, "number": 8}), own.on_grant({}), MemberAllocation(None).on_grant(PART)]
    same("allocation report", [told, own.on_grant({**PART, "number": 10}), refused, own.hand_over(), own.report(core)])


def test_ejections_have_the_same_form_when_they_are_read() -> None:
    rows = [[4, "read", 1, 17, False, False, 9.0], [-1, "zone-a", 2, 0, True, True, 3], [0, "", 0, 0, False, True, 1.5]]
    found = member.ejections_from_message(rows)
    same("ejections", [ejections(rows), [member.message_of(one) for one in found]])


def test_overload_messages_are_refused_with_the_same_words_when_they_are_malformed() -> None:
    good: list[Any] = [4, "read", 1, 17, False, False, 9.0]
    shed = LoadShedder(Gateway(settings(), 1))
    found: list[str] = [
        fault_of(member.ejections_from_message, bad) for bad in (None, [7], [good[:6]], [[*good[:6], True]])
    ]
    found += [fault_of(member.keys_from_message, bad) for bad in (None, [7], [[-1, ""]], [[1, 2]])]
    found += [fault_of(member.zones_from_message, bad) for bad in list[Any](([], {"a": 1}, {"a": ["x"]}))]
    found += [fault_of(member.probes_from_message, bad) for bad in list[Any](([], {"x": True}, {"1": 1}))]
    found += [fault_of(lambda level: shed.on_threshold(level, 0.0, 0.0), bad) for bad in (None, True, 1.5, "0.5")]
    same("overload refused", found)


def test_evidence_has_the_same_form_when_a_backend_has_failed() -> None:
    same("evidence", evidence())


@pytest.mark.parametrize(("case", "failed"), [("class", [[4, "read"]]), ("zone", [[4, "read"], [1, ""], [3, ""]])])
def test_overload_orders_and_status_are_the_same_when_backends_fail_and_come_back(
    case: str, failed: list[list[Any]], monkeypatch: pytest.MonkeyPatch
) -> None:
    deadlines, sent, now = VirtualDeadlines(), list[Any](), 50.0
    coordinator = OutlierService(deadlines, 1.0, lambda name, message: sent.append([name, message]))  # type: ignore[arg-type]
    seen = []
    for step in range(80):
        now += 0.25
        monkeypatch.setattr(clock, "now", lambda now=now: now)
        monkeypatch.setattr(clock, "monotonic", lambda now=now: now)
        if step == 0:
            coordinator.start()
        failing = 4 <= step < 24
        trials = [row for _, message in sent for row in message.get("verdicts", ()) if row[3]]
        ended = {str(row[3]): not failing for row in trials[-1:]}
        for name in ("n0", "n1", "n2"):
            against = failed if failing else []
            good = [[2, ""], [2, "read"], *([] if failing else [[4, "read"]])]
            pressure = 0.9 if failing else 0.1
            word = {**EVIDENCE, "against": against, "good": good, "trials": ended, "pressure": pressure}
            coordinator.on_report(name, word)
        coordinator.on_report("n3", {"against": 7})
        deadlines.turn()
        if step % 8 == 7:
            seen.append(coordinator.status())
    coordinator.on_member_gone("n2")
    seen.append(coordinator.status())
    same(f"overload orders, {case}", sent)
    same(f"overload status, {case}", seen)


def test_allocation_grants_and_status_are_the_same_when_members_report(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    deadlines, sent, now = VirtualDeadlines(), list[Any](), 50.0
    monkeypatch.setattr(clock, "now", lambda: now)
    monkeypatch.setattr(clock, "monotonic", lambda: now)
    issuer = LeaseDistributor(
        deadlines,  # type: ignore[arg-type]
        tmp_path / "fleet.grants",
        "web",
        lambda name, message: sent.append([name, message]),
        lambda: 3,
    )
    issuer.start(False)
    held: dict[str, Any] = {name: issuer.on_starting(name) for name in ("web0", "web1", "web2")}
    begun = dict(held)
    for step in range(24):
        now += 0.25
        held.update({name: message["part"] for name, message in sent})
        for place, name in enumerate(("web0", "web1", "web2")):
            issuer.on_report(name, {**held[name], "demand": [10.0 + 40.0 * place * (step // 8), 1.0, 2.0, 3.0, 4.0]})
        issuer.on_report("web1", {"era": "none"})
        deadlines.turn()
    status = [issuer.status()]
    issuer.on_disconnected("web1")
    issuer.on_death("web2")
    same("allocation grants", [begun, sent])
    same("allocation status", [*status, issuer.status(), issuer.holders()])


def test_control_line_has_the_same_framing_when_messages_are_written_and_read() -> None:
    line = Heard()
    line.send({"ok": True, "why": "é", "n": [1, 2.5, None]}, 7, 8)
    for data in (b'{"do":"sta', b'tus"}\n{"do":', b'"watch","x":[1]}\n\n'):
        line.dataReceived(data)
    broken = []
    for data in (b"[]\n", b"x" * (64 * 1024 + 1), b"{}" + b" " * 64 * 1024 + b"\n", b"\xff\n"):
        other = Heard()
        other.dataReceived(data)
        broken.append([other.sent.written, other.heard])
    same("control line", [line.sent.written, line.heard, broken])


def test_operators_calls_have_the_same_answers_when_they_are_made_in_each_phase() -> None:
    found = []
    for phase in phases.Phase:
        for word in ("readyz", "evacuate", "activate"):
            for takes in (True, False):
                after, yes, why = phases.apply_command(phase, phases.OperatorCommand(word), takes)
                found.append([phase.value, word, takes, after.value, yes, why])
    bad = [management.answer(line, lambda _: (True, "")) for line in (b"", b"reload", b"\xff", b"READYZ")]
    same("operators' calls", [found, bad, management.answer(b" readyz\r", lambda word: (False, word.value))])


# Asked of a process.


class ControlSession:
    """A control connection of the test: messages a line each, and the descriptors that came with them."""

    def __init__(self, line: socket.socket) -> None:
        line.settimeout(PATIENCE)
        self.line, self.held, self.descriptors = line, b"", list[int]()

    def send(self, *descriptors: int, **message: Any) -> None:
        """Write a message with descriptors beside it."""
        data = json.dumps(message).encode() + b"\n"
        socket.send_fds(self.line, [data], list(descriptors))

    def hear(self) -> Any:
        """The next message."""
        while b"\n" not in self.held:
            data, descriptors, _, _ = socket.recv_fds(self.line, 65536, 4)
            assert data, "the other end has closed"
            self.held += data
            self.descriptors += descriptors
        text, _, self.held = self.held.partition(b"\n")
        return json.loads(text)

    def hear_with(self, key: str) -> Any:
        """The next message that has the key; others are passed over."""
        while key not in (message := self.hear()):
            pass
        return message

    def close(self) -> None:
        """End it."""
        for descriptor in self.descriptors:
            os.close(descriptor)
        self.line.close()


@contextmanager
def talk_to(path: Path) -> Iterator[ControlSession]:
    """A connection to a control socket."""
    line = socket.socket(socket.AF_UNIX)
    line.connect(str(path))
    talk = ControlSession(line)
    try:
        yield talk
    finally:
        talk.close()


def test_daemon_answers_are_the_same_when_each_kind_is_asked(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter:
        asked: list[dict[str, Any]] = [
            {"do": "status"}, {"do": "level", "level": "debug"}, {"do": "level", "level": "loud"}, {"do": "snapshot"},
            {"do": "reload"}, {"do": "evacuate"}, {"do": "evacuate"}, {"do": "activate"}, {"do": "activate"},
            {"do": "fly"}, {}, {"do": "drain", "linger": -1}, {"do": "drain", "linger": "x"}, {"do": "ready"},
            {"do": "take", "site": "feed"},
        ]  # fmt: skip
        found = [[message, masked(limiter.ask(**message))] for message in asked]
        with talk_to(limiter.state / "n0.sock") as talk:
            talk.send(do="socket")
            found.append(["socket", masked(talk.hear()), len(talk.descriptors)])
            for silent in ({"do": "part", "part": PART}, {"do": "verdicts", "verdicts": 7}, {"do": "shed", "level": 2}):
                talk.send(**silent)
            talk.send(do="watch")
            found.append(["watch", masked(talk.hear_with("status"))])
            talk.send(do="drain", linger=0.1)
            found.append(["drain", masked(talk.hear_with("ok"))])
    same("daemon", found)


def test_daemon_reports_its_allocation_alike_when_it_was_started_with_one(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter:
        restart(limiter, (), part={**PART, "end": 0.0})
        with talk_to(limiter.state / "n0.sock") as talk:
            talk.send(do="watch")
            before = talk.hear()["status"]["part"]
            talk.send(do="part", part={**PART, "number": 10, "base": [5, 4, 3, 2, 1]})
            while (after := talk.hear()["status"]["part"])["number"] == 9:
                pass
    same("daemon allocation", [[before["number"], before["base"], list(before)], [after["number"], after["base"]]])


def restart(limiter: Limiter, words: tuple[str, ...], **configuration: Any) -> None:
    """End the daemon in good order, which writes its last snapshot, and start another one."""
    limiter.ask(do="drain", linger=0.1)
    limiter.process.communicate(timeout=PATIENCE)
    limiter.config.update(configuration)
    limiter.path.write_text(json.dumps(limiter.config))
    limiter.process = limiter.start(words)
    if not words:
        limiter.port = int(limiter.log("listening:").rsplit(":", 1)[1])


def test_handover_messages_of_the_sender_are_the_same_when_a_receiver_takes_over(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter:
        restart(limiter, (), part=PART)
        agent = limiter.connect()
        server = limiter.served(agent, 1)
        with talk_to(limiter.state / "n0.sock") as talk:
            site = (limiter.state / "n0.state").read_text().split(" ")[2]
            talk.send(do="take", life="0b1c2d3e", pid=os.getpid(), site=site)
            found: list[Any] = [masked(talk.hear()), len(talk.descriptors)]
            refused = limiter.ask(do="take", life="x", pid=1, site=site)
            talk.send(do="took")  # out of turn
            found += [refused, talk.hear()]
            talk.send(do="ready")
            told = talk.hear()
            state = os.pread(talk.descriptors[-1], told["state"] + 1, 0)
            found += [list(told), told["held"], told["part"], len(state) == told["state"], state[:21].decode()]
            limiter.served(agent, 2, server)
            talk.send(do="took")
            found.append(talk.hear())
            talk.send(do="serving")
            found += [talk.hear(), sorted(talk.hear_with("held"))]
            limiter.terminate()
            found += [talk.hear_with("late"), talk.hear_with("bye")]
    same("handover sender", found)


def test_handover_messages_of_the_receiver_are_the_same_when_it_takes_over(tmp_path: Path) -> None:
    with Limiter(tmp_path, serve=()) as limiter, socket.socket(socket.AF_UNIX) as door:
        path = limiter.state / "n0.sock"
        limiter.ask(do="drain", linger=0.1)
        limiter.process.communicate(timeout=PATIENCE)
        door.bind(str(path))
        door.listen()
        door.settimeout(PATIENCE)
        limiter.process = limiter.start(("--take-over",))
        talk = ControlSession(door.accept()[0])
        took = [talk.hear()]
        state = (limiter.state / "n0.state").read_bytes()
        found: list[Any] = [masked(took[0]), took[0]["site"] == state.split(b" ")[2].decode()]
        with (
            socket.create_server(("127.0.0.1", 0)) as listening,
            (limiter.state / "n0.lock").open("rb+") as lock,
            (limiter.state / "handed").open("wb+") as handed,
        ):
            talk.send(
                listening.fileno(), lock.fileno(), offer=f"127.0.0.1:{listening.getsockname()[1]}", life="0a1b2c3d"
            )
            watch, _ = limiter.watch()
            watch.send(b"1\r\n\n\r\n")
            found.append(talk.hear())
            handed.write(state)
            handed.flush()
            talk.send(handed.fileno(), state=len(state), held=0, part=None)
            found.append(talk.hear())
            talk.send(yours=True)
            found.append(talk.hear())
        talk.send(draining=True)
        talk.send(late={"1": 2.0, "7": -1.0})
        talk.send(bye=1)
        found += [limiter.log("handover: 0 of").partition("handover: ")[2], talk.line.recv(10).decode()]
        talk.close()
        found.append(limiter.ask(do="status")["snapshot"]["remembered_from"])
    same("handover receiver", found)


INI = "[fleet]\ninstances = {1}\nspread = 0s\nsettle = 10ms\nwait = 100ms\nready = 10s\n[log]\nfile = {0}/log\n"


@contextmanager
def supervisor(folder: Path, limiter: Limiter, members: int) -> Iterator[Path]:
    """A fleet's supervisor over the peers of a limiter: the path of its control socket."""
    ini = folder / "fleet.ini"
    ini.write_text(INI.format(folder, members))
    words = ["--settings", str(ini), "--platform", str(limiter.path), "--state", str(limiter.state)]
    process = subprocess.Popen([sys.executable, "-m", "thymeflow", "fleet", "up", *words], cwd=ROOT)
    path, end = limiter.state / "fleet.sock", time.monotonic() + PATIENCE
    try:
        while not path.exists() or fleet_status(path)["ready"] < members:
            assert process.poll() is None and time.monotonic() < end
            time.sleep(0.02)
        yield path
    finally:
        if process.poll() is None:
            process.terminate()
            process.wait(PATIENCE)


def fleet_status(path: Path) -> dict[str, Any]:
    """The supervisor's status."""
    with talk_to(path) as talk:
        talk.send(do="status")
        status: dict[str, Any] = talk.hear()
        return status


def answers_of(path: Path, message: dict[str, Any]) -> list[Any]:
    """The messages with which the supervisor answers an order, to the last one."""
    with talk_to(path) as talk:
        talk.send(**message)
        answers = [talk.hear()]
        while "ok" not in answers[-1]:
            answers.append(talk.hear())
    return answers


def test_supervisor_answers_are_the_same_when_each_kind_is_asked(tmp_path: Path) -> None:
    asked: list[dict[str, Any]] = [
        {"do": "budgets"}, {"do": "overload"}, {"do": "reload"}, {"do": "fly"}, {"do": "scale"},
        {"do": "scale", "count": 900}, {"do": "scale", "count": "x"}, {"do": "restart", "program": 7},
        {"do": "scale", "count": 2}, {"do": "down"},
    ]  # fmt: skip
    found: list[Any] = []
    with Limiter(tmp_path) as limiter, supervisor(tmp_path, limiter, 2) as path:
        found.append([{"do": "status"}, masked(fleet_status(path), VOLATILE | {"base", "lease"})])
        for message in asked:
            found.append([message, masked(answers_of(path, message), VOLATILE | AMOUNTS)])
    same("supervisor", found)


def test_supervisor_tells_the_same_on_the_way_when_it_restarts_a_member(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, supervisor(tmp_path, limiter, 1) as path:
        same("supervisor restart", answers_of(path, {"do": "restart"}))
