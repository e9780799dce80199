"""Changes of settings at run time: open requests keep the old rules, and new requests use the new rules."""

from __future__ import annotations

import copy
import json
import select
import signal
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from tests.helpers import KEYED, PLAN, SAFE, UNSAFE, ended, only_store, request, sends, settings, started
from tests.limiter import PATIENCE, Limiter, Peer
from tests.limiter import request as wire_request
from tests.network_support import SERVED_REPLY
from thymeflow.decision.events import SettingsChanged
from thymeflow.decision.settings import Idempotency
from thymeflow.decision.types import Status

CONNECT_FAILED = Status.CONNECT_FAILED


def test_open_request_keeps_its_attempts_and_its_class_when_settings_change() -> None:
    gateway = started()
    (first,) = sends(gateway.handle(0.1, request("old", class_name="book")))
    fewer = settings(limits=replace(settings().limits, max_attempts=1), classes=(SAFE, replace(UNSAFE, name="book")))
    gateway.handle(0.2, SettingsChanged(fewer))
    assert sends(gateway.handle(0.3, ended("old", first, CONNECT_FAILED))), (
        "three attempts were permitted when it was admitted"
    )
    (only,) = sends(gateway.handle(0.4, request("new", class_name="book")))
    assert not sends(gateway.handle(0.5, ended("new", only, CONNECT_FAILED)))
    assert gateway.pending == {} or "new" not in gateway.pending
    assert gateway.context.classes["book"].idempotency is Idempotency.NOT_IDEMPOTENT
    assert gateway.pending["old"].request_class is KEYED


def test_bucket_keeps_its_level_and_refills_at_the_new_rate_when_settings_change() -> None:
    gateway = started(settings(limiter_count=1))
    gateway.handle(0.1, request("a", 4.0, set_size=1))
    bucket = only_store(gateway)
    level = bucket.level
    faster = replace(PLAN, rate=2.0 * PLAN.rate, burst=10.0 * PLAN.burst)
    for _ in range(20):  # Repeated changes have no further effect on the level.
        gateway.handle(0.1, SettingsChanged(settings(limiter_count=1, plans=(faster,))))
    assert bucket.level == level
    assert bucket.plan is faster
    gateway.handle(0.2, request("b", 1.0, set_size=1))
    assert bucket.level == pytest.approx(level + 0.1 * faster.rate - 1.0, abs=0.2)
    gateway.handle(0.3, SettingsChanged(settings(limiter_count=1, plans=(replace(PLAN, burst=1.0),))))
    gateway.handle(0.3, request("c", 1.0, set_size=1))
    assert bucket.level <= 1.0, "a smaller burst applies at once"


def reload_config(limiter: Limiter, change: Any) -> str:
    """Write the changed configuration, send SIGHUP, and return the log line about the reload."""
    config = copy.deepcopy(limiter.config)
    text = change(config)
    limiter.path.write_text(text if isinstance(text, str) else json.dumps(config))
    limiter.process.send_signal(signal.SIGHUP)
    return limiter.log("reload:")


def build_setting_change(section: str, key: str, value: object) -> Any:
    def change(config: Any) -> None:
        target = config["settings"][section]
        (target[0] if isinstance(target, list) else target)[key] = value

    return change


def build_key_removal(*path: Any) -> Any:
    def change(config: Any) -> None:
        for key in path[:-1]:
            config = config[key]
        del config[path[-1]]

    return change


INVALID_CONFIGS: list[tuple[str, Any]] = [
    ("", lambda c: ""),
    ("", lambda c: json.dumps(c)[:400]),
    ("no JSON object", lambda c: "[]"),
    ("counter", build_key_removal("counter")),
    ("settings.classes[]", lambda c: c["settings"].update(classes=[])),
    ("settings.caps", build_key_removal("settings", "caps")),
    ("effect", build_key_removal("settings", "classes", 1, "effect")),
    ("seed", build_key_removal("seed")),
]


INVALID_VALUES: list[object] = [0, -1, float("nan"), float("inf"), "3", True, None, []]


INVALID_CONFIGS += [
    (key, build_setting_change(section, key, value))
    for section, key in (("classes", "deadline"), ("caps", "max-attempts"))
    for value in INVALID_VALUES
]


def test_old_settings_stay_in_force_and_the_log_reports_the_fault_when_the_file_is_invalid(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        server = None
        for number, (expected_text, change) in enumerate(INVALID_CONFIGS, 1):
            line = reload_config(limiter, change)
            assert "the old settings stay" in line
            assert expected_text in line
            assert "config.json" in line
            server = limiter.serve_request(client, number, server)
        limiter.path.write_text("")
        for _ in range(30):
            limiter.process.send_signal(signal.SIGHUP)
        limiter.serve_request(client, 100, server)


def test_open_requests_keep_their_rules_when_classes_change(tmp_path: Path) -> None:
    with Limiter(tmp_path, backend_count=2) as limiter:

        def accept_forwarded() -> Peer:
            ready = select.select([listener.sock for listener in limiter.backends], [], [], PATIENCE)[0]
            return Peer(ready[0].accept()[0])

        client = limiter.connect()
        other = limiter.connect()
        client.send(wire_request(1))
        server = accept_forwarded()
        server.read_command()

        def change(config: Any) -> None:
            look, keyed_class = config["settings"]["classes"]
            config["settings"]["classes"] = [keyed_class, {**look, "name": "sign", "effect": "fragile"}]
            config["settings"]["caps"]["max-attempts"] = 1

        line = reload_config(limiter, change)
        assert "discovery at" in line
        assert "classes added: sign; classes dropped: look; attempts: 3 to 1" in limiter.log("settings taken")
        other.send(wire_request(2))
        assert other.line() == b"-ERR unknown class"
        other.send(wire_request(3, "book").replace(b"c=book", b"c=sign"))
        second = accept_forwarded()
        second.read_command()
        second.send(b"-ERR failed\r\n")
        assert other.line() == b"-ERR failed"  # The request may have been executed and must not be retried.
        second.close()
        server.close()  # The old request keeps its rules and is retried.
        again = accept_forwarded()
        again.read_command()
        again.send(SERVED_REPLY)
        assert client.read_bulk() == b"value"
        limiter.terminate()
        limiter.process.send_signal(signal.SIGHUP)  # The limiter is draining.
        assert limiter.process.wait(PATIENCE) == 0
