"""The lease issuer, its holders, ledger and grant file, compared with the digests of recorded seeded runs.

A digest differs if a change of the code changes a grant, a message, the grant file or the division of a total.
"""

from __future__ import annotations

import json
import random
from math import inf, nan
from pathlib import Path
from typing import Any

import pytest

from tests.leases.lease_run import START_SECONDS, LeaseRun
from tests.leases.traced_fleet import (
    RESOURCE_COUNT,
    Message,
    is_over_total,
    is_rejected,
    ledger_steps,
    ledger_view,
    new_ledger,
)
from tests.trace_digest import TraceDigest
from thymeflow.leases.resources import compute_base_amount, divide_by_demand


@pytest.fixture
def lease_run(tmp_path: Path) -> TraceDigest:
    """Return the trace of a seeded run with five members."""
    return LeaseRun(21, tmp_path / "fleet.grants").run()


def test_messages_and_amounts_match_the_recorded_trace_when_members_and_issuers_come_and_go(
    lease_run: TraceDigest,
) -> None:
    lease_run.check("leases")


def test_ledger_sums_match_the_recorded_trace_when_grants_are_acknowledged_expire_or_are_too_large() -> None:
    rng = random.Random(22)
    trace = TraceDigest()
    now = START_SECONDS
    ledger = new_ledger(100)
    steps = ledger_steps(ledger)
    for number in range(1200):
        now = round(now + rng.choice((0.0, 0.1, 0.9)), 6)
        label = rng.choices(("grant", "acknowledge", "dead"), (12, 5, 1))[0]
        holder = rng.choice("abcd")
        amount = rng.choice((-1, 0, 10, 25, 40, 101))
        step_number = number - rng.choice((0, 0, 1, 3))
        end = inf if rng.random() < 0.1 else now + rng.choice((0.5, 2.0, 2.0, 4.0))

        def step(
            label: str = label,
            holder: str = holder,
            grant_number: int = step_number,
            amount: int = amount,
            end: float = end,
        ) -> None:
            steps[label](holder, grant_number, amount, end, now)  # noqa: B023 - the function is called before `now` changes

        is_rejected_step = is_over_total(step)
        trace.events[f"{label} too large" if is_rejected_step else label] += 1
        trace.add_step(json.dumps([label, is_rejected_step, ledger_view(ledger, "abcd", now)]))
    trace.check("lease-ledger")


def test_divided_amounts_match_the_recorded_trace_when_demand_is_extreme_or_absent() -> None:
    rng = random.Random(23)
    trace = TraceDigest()
    extreme_demands = (0.0, -1.0, inf, -inf, nan, 1e300, 1e-9)
    for _ in range(400):
        demand = {
            f"m{n}": rng.choice(extreme_demands) if rng.random() < 0.2 else rng.choice((0.0, 1.0, 100.0)) * rng.random()
            for n in range(rng.randrange(7))
        }
        total = rng.choice((0, 1, 7, 400_000))
        trace.add_step(json.dumps([divide_by_demand(total, demand), compute_base_amount(len(demand))]))
    trace.check("lease-division")


def test_allocations_are_rejected_as_recorded_when_their_message_form_is_corrupt() -> None:
    good: Message = {"era": 1, "number": 2, "base": [3] * RESOURCE_COUNT, "lease": [4] * RESOURCE_COUNT, "end": 5.0}
    corrupt: list[Any] = [None, [], 7, {}]
    for name in good:
        values: tuple[Any, ...] = (None, -1, 0, True, "1", 1.5, nan, inf, [], [0], [0, 1], [0, 1_000_001], [0, -1])
        corrupt.extend({**good, name: value} for value in (*values, [0, True], [0] * (RESOURCE_COUNT + 1)))
        corrupt.append({key: value for key, value in good.items() if key != name})
    rejections = "".join("x" if is_rejected(message) else "." for message in corrupt)
    assert rejections == "xxxxxx.xxxxxxxxxxxxxxx.xxxxxxxxxxxxxxxxxxxxxxx.xxxxxxxxxxxxxxx.xxxxxx..xx.xxxxxxxxxx"
