"""What the fleet may do, divided: the rule of the ledger, minds explored, the table on the disk, and real fleets."""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
import select
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

import psutil
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.fleet.support import FleetOf, cli
from tests.helpers import request, sends, settings, started
from tests.limiter import PATIENCE, ROOT, Limiter
from thymeflow.decision.events import TimerFired
from thymeflow.decision.gateway_state import TimerKind
from thymeflow.decision.settings import Information
from thymeflow.leases import grant_file
from thymeflow.leases.errors import OverAllocationError
from thymeflow.leases.holder import LEASE_MARGIN_SECONDS, Allocation, LeaseHolder, allocation_from_message, message_of
from thymeflow.leases.issuer import MOVES, LeaseIssuer, Move, State, Write
from thymeflow.leases.ledger import Ledger
from thymeflow.leases.resources import BASE, LENT, WHOLE, Resource, divide_by_demand
from thymeflow.testkit.lease_model import RULES, Model, caught
from thymeflow.testkit.model_checker import explored

ONES = (1.0,) * len(Resource)


@given(
    st.lists(
        st.tuples(st.sampled_from(["grant", "ack", "dead", "time"]), st.sampled_from("abc"), st.integers(0, 12)),
        max_size=40,
    )
)
def test_what_may_be_in_force_never_comes_to_more_than_the_whole(steps: list[tuple[str, str, int]]) -> None:
    # The model: every grant that was sent may have arrived, or not, unless it is known.
    ledger, now, sent = Ledger(10), 0.0, dict[str, list[tuple[int, int, float]]]()
    for number, (what, holder, amount) in enumerate(steps):
        if what == "grant":
            try:
                ledger.grant(holder, number, amount, now + 5.0, now)
                sent.setdefault(holder, []).append((number, amount, now + 5.0))
            except OverAllocationError:
                continue
        elif what == "ack" and sent.get(holder):
            last = sent[holder][-1]
            ledger.acked(holder, last[0])
            sent[holder] = [last]
        elif what == "dead":
            ledger.dead(holder)
            sent.pop(holder, None)
        else:
            now += amount / 3.0
        most = sum(max((a for _, a, end in grants if end > now), default=0) for grants in sent.values())
        assert most <= 10 and ledger.free(now) == 10 - most


@given(
    st.dictionaries(st.text(max_size=3), st.floats(allow_nan=True, allow_infinity=True), max_size=30),
    st.integers(0, WHOLE),
)
def test_a_division_never_comes_to_more_and_leaves_nobody_out(demand: dict[str, float], whole: int) -> None:
    parts = divide_by_demand(whole, demand)
    assert parts.keys() == demand.keys() and sum(parts.values()) <= whole and all(p >= 0 for p in parts.values())


def test_every_move_that_is_not_in_the_table_raises() -> None:
    for state in State:
        for move in Move:
            granter = LeaseIssuer(1, 0.0)
            granter.row("a").state = state
            if (state, move) in MOVES:
                assert granter._move("a", move).state is MOVES[state, move]
            else:
                with pytest.raises(KeyError):
                    granter._move("a", move)


def test_all_that_three_holders_and_a_granter_can_come_to_keeps_the_sum() -> None:
    found = explored(Model.running(), 4)
    assert not found.fault and found.states > 1000, found
    found = explored(Model(), 5)
    assert not found.fault and found.states > 100, found


@pytest.mark.parametrize("rule", RULES)
def test_each_rule_left_out_is_caught(rule: str) -> None:
    assert caught(RULES[rule])


def test_a_lease_is_over_for_its_holder_a_margin_before_its_end_however_long_it_slept() -> None:
    holder = LeaseHolder(Allocation(1, 1, (1, 2), (10, 20), 100.0))
    assert holder.amount(Resource.CONCURRENCY, 100.0 - LEASE_MARGIN_SECONDS - 0.01) == 11
    assert (
        holder.amount(Resource.CONCURRENCY, 100.0 - LEASE_MARGIN_SECONDS) == 1
        and holder.amount(Resource.RETRIES, 1e9) == 2
    )
    assert not holder.on_grant(Allocation(1, 1, (9, 9), (9, 9), 1e9)) and not holder.on_grant(Allocation(0, 5))
    assert holder.hand_over().number == 1 and holder.amount(Resource.CONCURRENCY, 0.0) == 0


@pytest.mark.parametrize(
    "message",
    [
        None,
        [],
        {},
        {"era": -1},
        {"era": True, "number": 1, "base": [0, 0], "lease": [0, 0], "end": 1.0},
        {"era": 1, "number": 1, "base": [0], "lease": [0, 0], "end": 1.0},
        {"era": 1, "number": 1, "base": [0, WHOLE + 1], "lease": [0, 0], "end": 1.0},
        {"era": 1, "number": 1, "base": [0, 0], "lease": [0, -1], "end": 1.0},
        {"era": 1, "number": 1, "base": [0, 0], "lease": [0, 0], "end": float("nan")},
    ],
)
def test_a_part_that_cannot_be_is_no_part(message: Any) -> None:
    with pytest.raises(ValueError):
        allocation_from_message(message)


def divided_among(names: str) -> LeaseIssuer:
    """A granter whose holders have all that there is."""
    granter = LeaseIssuer(3, 0.0)
    granter.resize(len(names))
    parts = {name: granter.on_starting(name, 0.0)[0] for name in names}
    for _ in range(4):
        for name in names:
            granter.on_report(name, parts[name], ONES, 0.0)
        for action in granter.tick(0.0):
            for send in granter.on_written(action.version) if isinstance(action, Write) else [action]:
                parts[send.holder] = send.part
    assert sum(parts[n].base[0] + parts[n].lease[0] for n in names) > 0.99 * WHOLE
    return granter


def test_a_table_that_is_cut_or_changed_at_any_byte_is_not_believed(tmp_path: Path) -> None:
    granter, path = divided_among("ab"), tmp_path / "fleet.grants"
    grant_file.write(path, granter, "f")
    whole = path.read_bytes()
    found, fault = grant_file.read(path, "f", 1.0, members_running=True)
    assert not fault and found.epoch == 4 and found.base[0].free(1.0) <= BASE // 50
    for length in range(len(whole)):
        for data in (whole[:length], whole[:length] + bytes([whole[length] ^ 1]) + whole[length + 1 :]):
            path.write_bytes(data)
            found, fault = grant_file.read(path, "f", 1.0, members_running=True)
            assert fault and found.epoch > 4 and not found.tick(1.0) and not found.base[0].whole
    for other in (msg for msg in (whole.replace(b'"version":1', b'"version":2'), whole)):
        path.write_bytes(other)
        assert grant_file.read(path, "g", 1.0, members_running=True)[1]


def test_parts_that_do_not_add_up_are_not_believed(tmp_path: Path) -> None:
    granter = divided_among("ab")
    granter.durable_amounts["a"] = (BASE,) * len(Resource) + (LENT,) * len(Resource)
    grant_file.write(tmp_path / "t", granter, "f")
    assert "come to" in grant_file.read(tmp_path / "t", "f", 0.0, members_running=True)[1]


def test_a_full_disk_lends_nothing_more_than_the_table_on_it_allows_for() -> None:
    granter = divided_among("ab")
    granter.on_death("b")
    granter.on_report("a", Allocation(3, granter.rows["a"].number), ONES, 0.1)
    (action,) = granter.tick(0.1)
    assert isinstance(action, Write)
    granter.on_write_failed(action.version)
    assert granter.on_written(action.version) == []


def in_force(fleet: FleetOf) -> dict[str, dict[str, int]]:
    """What each member says that it may use now."""
    return {m["name"]: m["told"]["part"]["in_force"] for m in fleet.status()["members"] if m["told"].get("part")}


def until(fleet: FleetOf, reached: Any, kept: bool = True) -> dict[str, dict[str, int]]:
    """Wait until what members say they may use is as wanted; at every look the table, which is ahead of all, adds up.

    What members say is of different moments, so its sum means nothing.
    """
    end = time.monotonic() + PATIENCE
    while True:
        parts = in_force(fleet)
        rows = grant_file.unpack((fleet.state / "fleet.grants").read_bytes(), "n").rows.values() if kept else ()
        for place in range(len(Resource)):
            assert sum(row.noted[place] + row.noted[place + len(Resource)] for row in rows) <= WHOLE, rows
        if reached({name: part["places"] / WHOLE for name, part in parts.items()}):
            return parts
        assert time.monotonic() < end, parts
        time.sleep(0.05)


def test_survivors_hold_the_whole_and_who_comes_back_gets_a_part_again(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, FleetOf(tmp_path, limiter) as fleet:
        until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        stopped = psutil.Process(fleet.ready(3)["members"][0]["pid"])
        stopped.send_signal(signal.SIGSTOP)  # its lease ends, its base stays its own
        until(fleet, lambda parts: parts["n1"] + parts["n2"] > 0.75)
        stopped.send_signal(signal.SIGCONT)
        until(fleet, lambda parts: min(parts.values()) > 0.2)
        for member in fleet.ready(3)["members"][1:]:
            psutil.Process(member["pid"]).kill()
        until(fleet, lambda parts: parts["n0"] > 0.9 or min(parts.values()) > 0.2)
        until(fleet, lambda parts: len(parts) == 3 and min(parts.values()) > 0.2)
        told = cli("budgets", "--state", str(fleet.state))
        assert told.returncode == 0 and "places: base" in told.stdout and "n2" in told.stdout


def test_a_supervisor_killed_under_way_leaves_bases_and_its_successor_divides_on(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, FleetOf(tmp_path, limiter) as fleet:
        until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        era = fleet.ask(do="budgets")["era"]
        fleet.process.kill()
        fleet.process.communicate()
        fleet.process = fleet.up()
        fleet.ready(3)
        assert fleet.ask(do="budgets")["era"] == era + 1
        until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        assert fleet.ask(do="upgrade")["ok"]  # each part is handed on, and never doubled
        until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        assert fleet.ask(do="scale", count=5)["ok"]
        until(fleet, lambda parts: len(parts) == 5 and sum(parts.values()) > 0.95 and min(parts.values()) > 0.1)
        assert fleet.ask(do="scale", count=2)["ok"]
        until(fleet, lambda parts: len(parts) == 2 and sum(parts.values()) > 0.95)


def test_a_lost_table_grants_nothing_until_all_that_it_lent_is_over(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, FleetOf(tmp_path, limiter) as fleet:
        until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        fleet.process.kill()
        fleet.process.communicate()
        (fleet.state / "fleet.grants").write_bytes(b"half")
        fleet.process = fleet.up()
        fleet.ready(3)
        assert "nothing is granted from the table of before" in (tmp_path / "log").read_text()
        until(fleet, lambda parts: 0.3 < sum(parts.values()) <= LENT / WHOLE, kept=False)
        until(fleet, lambda parts: 0.3 < sum(parts.values()) <= LENT / WHOLE)  # and there is a table again


def test_what_a_member_is_told_and_tells_is_json() -> None:
    part = Allocation(2, 5, tuple(range(len(Resource))), tuple(range(1, len(Resource) + 1)), 5.5)
    assert allocation_from_message(json.loads(json.dumps(message_of(part)))) == part
    before = allocation_from_message(
        {"era": 2, "number": 5, "base": [7, 8], "lease": [9, 1], "end": 5.5}
    )  # by an earlier program
    assert before.base[:3] == (7, 8, 0) and before.lease[:3] == (9, 1, 0)


def test_a_table_of_the_program_before_is_read_and_has_nothing_of_kinds_that_it_did_not_know() -> None:
    rows = {"n0": {"number": 3, "noted": [BASE, 5, LENT, 6]}}
    body = json.dumps(
        {"version": 1, "fleet": "f", "boot": grant_file.boot_id(), "era": 4, "until": 9.0, "rows": rows}
    ).encode()
    found = grant_file.unpack(hashlib.blake2b(body, digest_size=16).hexdigest().encode() + b"\n" + body, "f")
    kinds = len(Resource)
    assert found.rows["n0"].noted[:3] == [BASE, 5, 0] and found.rows["n0"].noted[kinds : kinds + 3] == [LENT, 6, 0]


def test_calls_trials_and_connections_keep_to_this_limiters_part() -> None:
    gateway = started(settings(information=Information(counter=True)), now=100.0)
    part = [0.1]
    gateway.fraction_of = lambda kind: part[0] if kind in gateway.fleet_limits else 1.0
    gateway.fleet_limits = {"calls": 20.0, "trials": 1.0, "connections": 30.0}
    for _ in range(50):
        gateway.handle(100.0, TimerFired(next(t for t, (kind, _) in gateway.timers.items() if kind is TimerKind.TICK)))
    assert gateway.call_credit == 2.0  # of 20 a second a tenth, saved up for a second
    out = [sends(gateway.handle(100.0, request(f"r{n}", 0.1)))[0].backend for n in range(12)]
    assert max(out.count(n) for n in out) == 3  # of 30 connections a tenth, to each server
    assert not sends(gateway.handle(100.0, request("more", 0.1)))
    server = gateway.backends[out[0]]
    for _ in range(2):
        server.record_failure("", 100.0)
    assert server.failures[""][1] == 110.0  # one trial a second, of which a tenth is ours
    part[0] = 0.0  # a lease is over, and nothing was granted since
    assert not sends(gateway.handle(101.0, request("none", 0.1)))


def test_who_claims_what_was_never_granted_is_given_nothing_for_it() -> None:
    granter = divided_among("ab")
    everything = (WHOLE,) * len(Resource)
    claims = Allocation(9, 9, everything, everything, 50.0)
    granter.on_report("stranger", claims, (float("inf"), float("nan")), 0.0)
    assert granter.epoch > 9  # or it would take nothing that is granted from now on
    for ledger in (*granter.base, *granter.lent):
        assert sum(ledger.out(name, 0.0) for name in ("a", "b", "stranger")) <= ledger.whole
    known = granter.rows["a"].number
    granter.on_report("a", Allocation(granter.epoch, known + 99, everything, everything, 50.0), ONES, 0.0)
    for ledger in (*granter.base, *granter.lent):
        assert ledger.free(0.0) >= 0


class Between(threading.Thread):
    """A relay on a member's control socket for who connects from now on; it can keep back what goes one way."""

    def __init__(self, state: Path, name: str) -> None:
        super().__init__(daemon=True)
        path, own = state / f"{name}.sock", state / f"{name}-relay"
        self.real, self.silent, self._over = state / os.readlink(path), set[str](), False
        self._listener = socket.socket(socket.AF_UNIX)
        self._listener.bind(str(own))
        self._listener.listen()
        (state / "link").symlink_to(own.name)
        os.replace(state / "link", path)
        self._ways: dict[socket.socket, tuple[socket.socket, str, bytearray]] = {}  # to whom, which way, kept back

    def run(self) -> None:
        while not self._over:
            ready = select.select([self._listener, *self._ways], [], [], 0.02)[0]
            if self._listener in ready:
                near, far = self._listener.accept()[0], socket.socket(socket.AF_UNIX)
                far.connect(str(self.real))
                self._ways |= {near: (far, "down", bytearray()), far: (near, "up", bytearray())}
            for end, (other, way, kept) in list(self._ways.items()):
                with contextlib.suppress(OSError):
                    if end in ready:
                        data = end.recv(65536)
                        kept += data
                        if not data:
                            self._ways = {e: w for e, w in self._ways.items() if e not in (end, other)}
                            end.close()
                            other.close()
                            continue
                    if kept and way not in self.silent:
                        other.sendall(kept)
                        kept.clear()

    def __enter__(self) -> Between:
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._over = True
        self.join()
        for end in (self._listener, *self._ways):
            end.close()


def test_silence_one_way_between_supervisor_and_member_costs_its_lease_and_never_the_sum(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, FleetOf(tmp_path, limiter) as fleet:
        until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        with Between(fleet.state, "n0") as between:
            fleet.process.kill()
            fleet.process.communicate()
            fleet.process = fleet.up()  # it speaks to n0 through the relay
            fleet.ready(3)
            until(fleet, lambda parts: len(parts) == 3 and min(parts.values()) > 0.2)
            for way in ("up", "down"):  # not heard; then it hears nothing
                between.silent.add(way)
                until(fleet, lambda parts: parts["n1"] + parts["n2"] > 0.75)
                word = own_word(fleet, 0, between.real)
                assert 0 < word["in_force"]["places"] <= word["base"][0], word
                between.silent.clear()  # what was kept back comes now, late
                until(fleet, lambda parts: len(parts) == 3 and min(parts.values()) > 0.2)


def own_word(fleet: FleetOf, number: int, path: Path | None = None) -> dict[str, Any]:
    """What a member says of its part at its own control socket."""
    with socket.socket(socket.AF_UNIX) as line:
        line.settimeout(PATIENCE)
        line.connect(str(path or fleet.state / f"n{number}.sock"))
        line.sendall(b'{"do":"status"}\n')
        found: dict[str, Any] = json.loads(line.makefile().readline())["part"]
        return found


def test_a_supervisor_that_stands_still_leaves_every_member_its_base_and_divides_on_when_it_wakes(
    tmp_path: Path,
) -> None:
    with Limiter(tmp_path) as limiter, FleetOf(tmp_path, limiter) as fleet:
        until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        fleet.process.send_signal(signal.SIGSTOP)
        end = time.monotonic() + PATIENCE
        while any((word := own_word(fleet, n))["in_force"]["places"] > word["base"][0] for n in range(3)):
            assert time.monotonic() < end
            time.sleep(0.05)
        assert all(0 < own_word(fleet, n)["in_force"]["places"] <= BASE for n in range(3))
        fleet.process.send_signal(signal.SIGCONT)
        until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)


def test_a_grant_over_the_control_socket_that_is_old_or_spoilt_changes_nothing(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter, FleetOf(tmp_path, limiter) as fleet:
        until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
        for part in (
            {"era": 0, "number": 1, "base": [WHOLE] * 2, "lease": [0, 0], "end": 0.0},
            {"era": 9, "number": 1, "base": [WHOLE * 2] * 2, "lease": [0, 0], "end": 0.0},
            "all",
        ):
            with socket.socket(socket.AF_UNIX) as line:
                line.connect(str(fleet.state / "n0.sock"))
                line.sendall(json.dumps({"do": "part", "part": part}).encode() + b"\n")
                line.sendall(b'{"do":"status"}\n')
                line.settimeout(PATIENCE)
                word = json.loads(line.makefile().readline())["part"]
                assert word["in_force"]["places"] < 0.9 * WHOLE and word["era"] == 1, word


# A supervisor that kills itself at a step: the count is of that step, over its life.
DYING = """
import os, signal, sys
from thymeflow.fleet.lease_distributor import LeaseDistributor
from thymeflow.leases import grant_file
step, count = {step!r}, [0]

def at(name, real):
    def done(*words):
        if step != name[0]:
            return real(*words)
        count[0] += 1
        if name[1] == "before" and count[0] == {count}:
            os.kill(os.getpid(), signal.SIGKILL)
        found = real(*words)
        if name[1] == "after" and count[0] == {count}:
            os.kill(os.getpid(), signal.SIGKILL)
        return found
    return done

grant_file.write = at(("before the write", "before"), at(("after the write", "after"), grant_file.write))
LeaseDistributor.on_report = at(("after a word", "after"), LeaseDistributor.on_report)
beat = LeaseDistributor._beat
def sending(self, _):
    self._send = at(("before a send", "before"), at(("after a send", "after"), self._send))
    LeaseDistributor._beat = beat
    beat(self, _)
LeaseDistributor._beat = sending
LeaseDistributor.on_starting = at(("after a birth is written", "after"), LeaseDistributor.on_starting)
from thymeflow.cli import run
sys.exit(run())
"""


@pytest.mark.parametrize(
    ("step", "count"),
    [
        ("before the write", 2),
        ("before the write", 5),
        ("after the write", 2),
        ("after the write", 5),
        ("before a send", 1),
        ("before a send", 3),
        ("after a send", 1),
        ("after a send", 3),
        ("after a word", 2),
        ("after a birth is written", 2),
    ],
)
def test_a_supervisor_killed_at_each_step_of_a_grant_is_followed_by_one_that_keeps_the_sum(
    tmp_path: Path, step: str, count: int
) -> None:
    class Dying(FleetOf):
        def up(self) -> Any:
            return subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    DYING.format(step=step, count=count),
                    "fleet",
                    "up",
                    "--settings",
                    str(self.ini),
                    "--platform",
                    str(self.path),
                    "--state",
                    str(self.state),
                ],
                cwd=ROOT,
                text=True,
                stderr=subprocess.PIPE,
            )

        def ready(self, count: int) -> dict[str, Any]:
            return {} if self.process.args[1] == "-c" else super().ready(count)  # type: ignore[index]

    with Limiter(tmp_path) as limiter, Dying(tmp_path, limiter) as fleet:
        assert fleet.process.wait(PATIENCE) == -signal.SIGKILL
        fleet.process.communicate()
        fleet.process = FleetOf.up(fleet)
        FleetOf.ready(fleet, 3)
        until(fleet, lambda parts: len(parts) == 3 and sum(parts.values()) > 0.95)
