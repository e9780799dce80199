"""The lease ledger, the issuer and its model, lease holders, and the grant file.

The tests guard against grants that exceed the total: a grant that was lost or delayed must still count, a
damaged grant file must not free any points, and a malformed message must change nothing.
"""

from __future__ import annotations

import hashlib
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.fleet_bounds import FixedFractions
from tests.helpers import request, sends, settings, started
from thymeflow.daemon.member_bounds import MemberBounds
from thymeflow.decision.context import TimerKind
from thymeflow.decision.events import TimerFired
from thymeflow.decision.settings import Information
from thymeflow.leases import grant_file
from thymeflow.leases.allocation import Allocation, allocation_from_message, allocation_to_message, report_from_message
from thymeflow.leases.errors import MalformedAllocationError, OverAllocationError
from thymeflow.leases.holder import LEASE_MARGIN_SECONDS, LeaseHolder
from thymeflow.leases.holder_state import HOLDER_TRANSITIONS, HolderEvent, HolderState
from thymeflow.leases.issuer import COVERED_PERIOD_SECONDS, LeaseIssuer, Write
from thymeflow.leases.ledger import Ledger
from thymeflow.leases.resources import BASE_POINTS, LEASED_POINTS, TOTAL_POINTS, Resource, divide_by_demand
from thymeflow.testkit.lease_model import LeaseModel
from thymeflow.testkit.lease_rules import RULES, violation_without
from thymeflow.testkit.model_checker import explore

ONES = (1.0,) * len(Resource)


@given(
    st.lists(
        st.tuples(st.sampled_from(["grant", "ack", "dead", "time"]), st.sampled_from("abc"), st.integers(0, 12)),
        max_size=40,
    )
)
def test_ledger_never_exceeds_its_total_when_grants_are_lost_acknowledged_or_expire(
    steps: list[tuple[str, str, int]],
) -> None:
    # The model: any grant of a holder may be in force until a newer one is acknowledged, it expires or the holder ends.
    ledger = Ledger(10)
    now = 0.0
    sent = dict[str, list[tuple[int, int, float]]]()
    for number, (label, holder, amount) in enumerate(steps):
        if label == "grant":
            try:
                ledger.grant(holder, number, amount, now + 5.0, now)
                sent.setdefault(holder, []).append((number, amount, now + 5.0))
            except OverAllocationError:
                continue
        elif label == "ack" and sent.get(holder):
            last = sent[holder][-1]
            ledger.acknowledge(holder, last[0])
            sent[holder] = [last]
        elif label == "dead":
            ledger.release(holder)
            sent.pop(holder, None)
        else:
            now += amount / 3.0
        max_in_force = sum(max((a for _, a, end in grants if end > now), default=0) for grants in sent.values())
        assert max_in_force <= 10
        assert ledger.free(now) == 10 - max_in_force


@given(
    st.dictionaries(st.text(max_size=3), st.floats(allow_nan=True, allow_infinity=True), max_size=30),
    st.integers(0, TOTAL_POINTS),
)
def test_division_has_every_holder_and_never_exceeds_the_total_when_demand_is_arbitrary(
    demand: dict[str, float], total: int
) -> None:
    amounts = divide_by_demand(total, demand)
    assert amounts.keys() == demand.keys()
    assert sum(amounts.values()) <= total
    assert all(amount >= 0 for amount in amounts.values())


def test_event_raises_key_error_when_the_transition_table_has_no_entry_for_it() -> None:
    for state in HolderState:
        for event in HolderEvent:
            issuer = LeaseIssuer(1, 0.0)
            issuer.get_or_create_record("a").state = state
            if (state, event) in HOLDER_TRANSITIONS:
                assert issuer._apply_event("a", event).state is HOLDER_TRANSITIONS[state, event]
            else:
                with pytest.raises(KeyError):
                    issuer._apply_event("a", event)


def test_sum_in_force_never_exceeds_the_total_when_all_states_of_the_lease_model_are_explored() -> None:
    running = explore(LeaseModel.all_running(), 4)
    assert not running.violation, running
    assert running.state_count > 1000, running
    starting = explore(LeaseModel(), 5)
    assert not starting.violation, starting
    assert starting.state_count > 100, starting


@pytest.mark.parametrize("rule", RULES)
def test_model_checker_finds_a_fault_when_a_rule_is_left_out(rule: str) -> None:
    assert violation_without(RULES[rule])


def test_lease_is_unusable_a_margin_before_its_end_when_the_holder_was_stopped() -> None:
    holder = LeaseHolder(Allocation(1, 1, (1, 2), (10, 20), 100.0))
    assert holder.usable_amount(Resource.CONCURRENCY, 100.0 - LEASE_MARGIN_SECONDS - 0.01) == 11
    assert holder.usable_amount(Resource.CONCURRENCY, 100.0 - LEASE_MARGIN_SECONDS) == 1
    assert holder.usable_amount(Resource.RETRIES, 1e9) == 2
    assert not holder.on_grant(Allocation(1, 1, (9, 9), (9, 9), 1e9))
    assert not holder.on_grant(Allocation(0, 5))
    assert holder.hand_over().number == 1
    assert holder.usable_amount(Resource.CONCURRENCY, 0.0) == 0


@pytest.mark.parametrize(
    "message",
    [
        None,
        [],
        {},
        {"era": -1},
        {"era": True, "number": 1, "base": [0, 0], "lease": [0, 0], "end": 1.0},
        {"era": 1, "number": 1, "base": [0], "lease": [0, 0], "end": 1.0},
        {"era": 1, "number": 1, "base": [0, TOTAL_POINTS + 1], "lease": [0, 0], "end": 1.0},
        {"era": 1, "number": 1, "base": [0, 0], "lease": [0, -1], "end": 1.0},
        {"era": 1, "number": 1, "base": [0, 0], "lease": [0, 0], "end": float("nan")},
    ],
)
def test_allocation_is_rejected_when_its_message_is_malformed(message: Any) -> None:
    with pytest.raises(ValueError):
        allocation_from_message(message)


@pytest.mark.parametrize("demand", [None, 7, ["many"], [None], [10**400]])
def test_report_is_rejected_when_its_demand_is_no_list_of_numbers(demand: object) -> None:
    message = {**allocation_to_message(Allocation(1, 1)), "demand": demand}
    with pytest.raises(MalformedAllocationError, match="demand is"):
        report_from_message(message)


def test_report_has_its_allocation_and_demand_when_it_was_json() -> None:
    message = {**allocation_to_message(Allocation(1, 2)), "demand": [1, 2.5]}
    report = report_from_message(json.loads(json.dumps(message)))
    assert report.allocation == Allocation(1, 2)
    assert report.demand == (1.0, 2.5)


def build_issuer_with_holders(names: str) -> LeaseIssuer:
    """Return an issuer that has granted more than 99 % of the total to holders with these one-letter names."""
    issuer = LeaseIssuer(3, 0.0)
    issuer.resize(len(names))
    allocations = {name: issuer.on_starting(name, 0.0)[0] for name in names}
    for _ in range(4):
        for name in names:
            issuer.on_report(name, allocations[name], ONES, 0.0)
        for action in issuer.tick(0.0):
            for send in issuer.on_written(action.version) if isinstance(action, Write) else [action]:
                allocations[send.holder] = send.allocation
    assert sum(allocations[n].base[0] + allocations[n].lease[0] for n in names) > 0.99 * TOTAL_POINTS
    return issuer


def add_digest(body: bytes) -> bytes:
    """Return the content of a grant file with this body, and the digest that belongs to it."""
    return hashlib.blake2b(body, digest_size=grant_file.DIGEST_BYTES).hexdigest().encode() + b"\n" + body


def test_grant_file_is_not_used_when_it_is_cut_or_changed_at_any_byte(tmp_path: Path) -> None:
    issuer = build_issuer_with_holders("ab")
    path = tmp_path / "fleet.grants"
    grant_file.write(path, issuer, "f")
    content = path.read_bytes()
    restored, error = grant_file.read(path, "f", 1.0, members_running=True)
    assert not error
    assert restored.epoch == 4
    assert restored.base[0].free(1.0) <= BASE_POINTS // 50
    for length in range(len(content)):
        for data in (content[:length], content[:length] + bytes([content[length] ^ 1]) + content[length + 1 :]):
            path.write_bytes(data)
            restored, error = grant_file.read(path, "f", 1.0, members_running=True)
            assert error
            assert restored.epoch > 4
            assert not restored.tick(1.0)
            assert not restored.base[0].total


def test_grant_file_is_not_used_when_it_is_of_another_fleet(tmp_path: Path) -> None:
    path = tmp_path / "fleet.grants"
    grant_file.write(path, build_issuer_with_holders("ab"), "f")
    assert "belongs to the fleet 'f'" in grant_file.read(path, "g", 1.0, members_running=True)[1]


def test_grant_file_is_not_used_when_it_is_of_a_newer_version(tmp_path: Path) -> None:
    path = tmp_path / "fleet.grants"
    grant_file.write(path, build_issuer_with_holders("ab"), "f")
    _, _, body = path.read_bytes().partition(b"\n")
    present = b'"version":%d' % grant_file.FILE_FORMAT_VERSION
    newer = b'"version":%d' % (grant_file.FILE_FORMAT_VERSION + 1)
    assert body.count(present) == 1
    path.write_bytes(add_digest(body.replace(present, newer)))
    restored, error = grant_file.read(path, "f", 1.0, members_running=True)
    assert "it has version 3" in error
    assert not restored.base[0].total


def find_granted_lease(issuer: LeaseIssuer, now: float) -> int:
    """Let holder `a` report, and return the amount of the first resource that the next tick leases to it."""
    issuer.on_report("a", Allocation(issuer.epoch, issuer.records["a"].number), ONES, now)
    sends = [
        send
        for action in issuer.tick(now)
        for send in (issuer.on_written(action.version) if isinstance(action, Write) else [action])
    ]
    assert not any(amount for send in sends for amount in send.allocation.base)
    return max((send.allocation.lease[0] for send in sends), default=0)


def test_leases_are_granted_only_when_all_leases_of_a_lost_grant_file_have_expired(tmp_path: Path) -> None:
    # Guards against a unit that is granted twice, by the issuer that lost its grant file and by the one before it.
    lost_at = 1.0
    issuer, error = grant_file.read(tmp_path / "missing", "f", lost_at, members_running=True)
    assert error
    issuer.resize(1)
    issuer.on_starting("a", lost_at)
    assert find_granted_lease(issuer, lost_at) == 0
    assert find_granted_lease(issuer, lost_at + COVERED_PERIOD_SECONDS - 0.1) == 0
    assert find_granted_lease(issuer, lost_at + COVERED_PERIOD_SECONDS + 0.1) > 0


def test_grant_file_is_not_used_when_its_amounts_exceed_the_total(tmp_path: Path) -> None:
    issuer = build_issuer_with_holders("ab")
    issuer.durable_amounts["a"] = (BASE_POINTS,) * len(Resource) + (LEASED_POINTS,) * len(Resource)
    grant_file.write(tmp_path / "t", issuer, "f")
    assert "add up to" in grant_file.read(tmp_path / "t", "f", 0.0, members_running=True)[1]


def test_nothing_is_sent_when_the_grant_file_cannot_be_written() -> None:
    issuer = build_issuer_with_holders("ab")
    issuer.on_death("b")
    issuer.on_report("a", Allocation(3, issuer.records["a"].number), ONES, 0.1)
    (action,) = issuer.tick(0.1)
    assert isinstance(action, Write)
    issuer.on_write_failed(action.version)
    assert issuer.on_written(action.version) == []


def test_allocation_is_the_same_when_it_was_json() -> None:
    allocation = Allocation(2, 5, tuple(range(len(Resource))), tuple(range(1, len(Resource) + 1)), 5.5)
    assert allocation_from_message(json.loads(json.dumps(allocation_to_message(allocation)))) == allocation
    earlier_message = {"era": 2, "number": 5, "base": [7, 8], "lease": [9, 1], "end": 5.5}
    earlier_allocation = allocation_from_message(earlier_message)
    assert earlier_allocation.base[:3] == (7, 8, 0)
    assert earlier_allocation.lease[:3] == (9, 1, 0)


def test_missing_resources_are_0_when_an_earlier_version_wrote_the_grant_file() -> None:
    rows = {"n0": {"number": 3, "noted": [BASE_POINTS, 5, LEASED_POINTS, 6]}}
    body = json.dumps(
        {"version": 1, "fleet": "f", "boot": grant_file.boot_id(), "era": 4, "until": 9.0, "rows": rows}
    ).encode()
    table = grant_file.unpack(add_digest(body), "f")
    amounts = table.rows["n0"].noted
    assert amounts[:3] == [BASE_POINTS, 5, 0]
    assert amounts[len(Resource) :][:3] == [LEASED_POINTS, 6, 0]


def test_calls_probes_and_connections_stay_in_the_allocation_when_they_are_limited() -> None:
    gateway = started(settings(information=Information(counter=True)), now=100.0)
    limits = {"calls": 20.0, "trials": 1.0, "connections": 30.0}
    allocation = FixedFractions(1.0, dict.fromkeys(limits, 0.1))
    gateway.set_fleet_bounds(MemberBounds(allocation, limits))
    for _ in range(50):
        gateway.handle(100.0, TimerFired(next(t for t, (kind, _) in gateway.timers.items() if kind is TimerKind.TICK)))
    assert gateway.reporter.call_credit == 2.0  # a tenth of 20 calls per second, saved up for one second
    backends = [sends(gateway.handle(100.0, request(f"r{n}", 0.1)))[0].backend for n in range(12)]
    assert max(backends.count(n) for n in backends) == 3  # a tenth of 30 connections to each backend
    assert not sends(gateway.handle(100.0, request("more", 0.1)))
    backend = gateway.backends[backends[0]]
    for _ in range(2):
        backend.record_failure("", 100.0)
    assert backend.failures[""][1] == 110.0  # a tenth of one half-open probe per second: one in 10 s
    allocation.by_resource = dict.fromkeys(limits, 0.0)  # the lease has expired, and no newer grant has arrived
    assert not sends(gateway.handle(101.0, request("none", 0.1)))


def test_total_is_not_exceeded_when_a_holder_reports_more_than_it_was_granted() -> None:
    issuer = build_issuer_with_holders("ab")
    everything = (TOTAL_POINTS,) * len(Resource)
    reported = Allocation(9, 9, everything, everything, 50.0)
    issuer.on_report("stranger", reported, (float("inf"), float("nan")), 0.0)
    assert issuer.epoch > 9  # otherwise the holder would ignore all later grants
    for ledger in (*issuer.base, *issuer.leased):
        assert sum(ledger.outstanding(name, 0.0) for name in ("a", "b", "stranger")) <= ledger.total
    granted_number = issuer.records["a"].number
    issuer.on_report("a", Allocation(issuer.epoch, granted_number + 99, everything, everything, 50.0), ONES, 0.0)
    for ledger in (*issuer.base, *issuer.leased):
        assert ledger.free(0.0) >= 0
