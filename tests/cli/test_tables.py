"""The tables that commands print: they show terms of the field instead of the recorded values of messages.

The tests guard against a table that shows the spelling of the message format, and against columns out of line.
"""

from __future__ import annotations

import json
from pathlib import Path

from tests.recorded_messages import Json
from thymeflow.cli import budgets, instance, overload, snapshot
from thymeflow.snapshot import schema

RECORDED = Path(__file__).resolve().parents[1] / "data" / "before-rename"
MESSAGES: dict[str, Json] = json.loads((RECORDED / "messages.json").read_text())


def test_ejections_are_shown_in_the_terms_of_outlier_detection() -> None:
    summary, reports, header, row = overload.format_table(MESSAGES["overload status, zone"][3]).splitlines()
    assert summary == "admission threshold 0.79; pressure of the backends 0.10"
    assert reports.startswith("3 members report; 32 invalid reports were ignored;")
    assert header.split() == ["backend", "class", "state", "for", "s", "prober", "users", "reported", "by"]
    assert row.split() == ["zone", "a", "all", "recovering", "6.8", "-", "1", "n0,", "n1,", "n2"]


def test_allocations_are_shown_in_the_terms_of_leases() -> None:
    summary, header, first, *_ = budgets.format_table(MESSAGES["allocation status"][0]).splitlines()
    assert summary == "epoch 1; base allocations 60.0%, leases 40.0% of the fleet limits"
    assert header.startswith("name     state           last grant expires s demand/s")
    for resource in ("concurrency", "retries", "counter calls", "probes", "connections"):
        assert f"{resource}: base leased" in header
    assert first.split()[:5] == ["web0", "acknowledged", "1.4", "2.25", "10.0"]
    assert len(header) == len(first)


def test_status_is_shown_with_its_responses_backends_and_snapshot() -> None:
    status = {
        "name": "n0", "phase": "serving", "healthy": True, "pid": 4242, "life": "0a1b2c3d", "uptime_s": 3.0,
        "listen": "127.0.0.1:7000", "index": 1, "gateways": 3, "answers": {"served": 5, "unavailable": 2, "failed": 0},
        "open": 4, "user_agents": 6, "servers": {"ready": 3, "ejected": 1, "other": 0}, "list_version": 41,
        "counter_heard_s": None, "customers": 2, "pressure": 0.25,
        "snapshot": {"age_s": 1.0, "bytes": 900, "failed": 0, "remembered_from": "hand-over"},
    }  # fmt: skip
    assert instance.format_status(status).splitlines() == [
        "n0  serving  pid 4242, incarnation 0a1b2c3d, up 3.0 s, at 127.0.0.1:7000",
        "index     1 of 3 limiters",
        "responses 5 served, 2 rejected, 0 failed; 4 open, 6 clients",
        "backends  3 ready, 1 of them ejected, 0 other; endpoint list version 41",
        "gossip    none received; 2 customers, pressure 0.25",
        "snapshot  1.0 s old, 900 bytes, 0 failed; restored from a handover",
    ]


def test_snapshot_is_shown_with_its_incarnation_and_the_demand_of_customers() -> None:
    content = schema.unpack((RECORDED / "snapshot-v2-final").read_bytes())
    head, size, *customers = snapshot.format_snapshot(content, 1).splitlines()
    assert head.startswith(f"n0, incarnation {content.life}, site {content.site}: final, ")
    assert size.startswith(f"{len(content.servers)} backends (endpoint list version {content.version}), ")
    assert len(customers) == 1
    assert "/s at other limiters; charged" in customers[0]
