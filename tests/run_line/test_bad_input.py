"""Malformed input of a peer causes one log line or one error reply; the limiter loses no request and no list."""

from __future__ import annotations

import contextlib
import json
from pathlib import Path
from typing import Any

import pytest

from tests.limiter import SETTINGS, Limiter, Peer, command, is_connection_refused, request
from tests.network_support import parse_command
from thymeflow.decision.settings import Idempotency
from thymeflow.platform.configuration import ConfigurationError, parse_configuration
from thymeflow.platform.settings import parse_platform_settings
from thymeflow.transport.commands import CallError, CallReader

VALID_REPLY = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def message(generation: Any, *entries: dict[str, Any], is_complete: bool = False) -> bytes:
    return json.dumps({"generation": generation, "reset": is_complete, "instances": entries}).encode() + b"\n"


def test_endpoint_list_stays_and_the_next_valid_one_applies_when_a_list_is_malformed(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        watch, _ = limiter.watch()
        client = limiter.connect()
        server = limiter.serve_request(client, 1)
        leaving_entry = limiter.entry(0, "leaving")
        entry_without_port = {**limiter.entry(0), "hostPort": "nowhere"}
        malformed_inputs = [
            chunk(message(90, leaving_entry)[:-9]),
            chunk(b"{}\n"),
            chunk(b"[]\n"),
            chunk(b"null\n"),
            chunk(b"\xff\xfe\n"),
            chunk(message("x", leaving_entry)),
            chunk(message(90, entry_without_port)),
            chunk(b'{"generation":90,"instances":[7]}\n'),
            b"zz\r\n",
            b"-5\r\n",
            b"3\r\nabcdefgh\r\n",
            b"0\r\n\r\n",
            chunk(b'{"a":' * 30000 + b"1" + b"}" * 30000),
        ]
        for number, malformed_input in enumerate(malformed_inputs):
            watch.send(malformed_input)
            if number == 0:
                watch.close()  # The message is truncated.
            watch, request_line = (
                limiter.watch()
            )  # The limiter opens another watch from the version before the message.
            assert b"index=41 " in request_line, malformed_input
            limiter.serve_request(client, 100 + number, server)
        # Two messages with older versions are ignored.
        watch.send(chunk(message(12, leaving_entry, is_complete=True)) + chunk(message(13, leaving_entry)))
        limiter.serve_request(client, 200, server)
        watch.send(chunk(json.dumps(json.loads(message(42, leaving_entry)), indent=2).encode()))
        assert server.is_closed_by_peer()  # The valid message was applied.


def test_no_backend_is_left_and_the_watch_goes_on_when_a_complete_list_is_empty(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        watch, _ = limiter.watch()
        client = limiter.connect()
        server = limiter.serve_request(client, 1)
        watch.send(chunk(message(42, is_complete=True)))
        assert server.is_closed_by_peer()  # A backend that the complete list omits is gone, although it replies.
        client.send(request(2))
        assert client.line().startswith(b"-BUSY ")
        limiter.send_endpoint_change(watch, 43, limiter.entry(0))
        limiter.wait_for_reply(b"+PONG", command(b"PING"))
        client.send(request(3))
        while not client.receives_nothing(0.2):  # until the new list is read
            assert client.line().startswith(b"-BUSY ")
            client.send(request(3))
        limiter.backends[0].serve(VALID_REPLY)
        assert client.read_bulk() == b"value"


def send_bytewise(peer: Peer, data: bytes) -> None:
    for position in range(len(data)):
        peer.send(data[position : position + 1])


def test_every_command_is_answered_when_bytes_come_one_at_a_time_or_all_at_once(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        send_bytewise(client, request(1))
        server = limiter.backends[0].accept()
        server.read_command()
        send_bytewise(server, VALID_REPLY)
        assert client.read_bulk() == b"value"
        client.send(command(b"PING") * 300 + request(2) + command(b"PING") * 300)
        assert server.read_command()[2] == b"%016x" % 2
        assert [client.line() for _ in range(300)] == [b"+PONG"] * 300
        server.send(VALID_REPLY)
        assert client.read_bulk() == b"value"
        assert [client.line() for _ in range(300)] == [b"+PONG"] * 300


def test_reply_is_assigned_to_no_request_when_it_comes_twice_or_after_the_close(tmp_path: Path) -> None:
    with Limiter(tmp_path) as limiter:
        client = limiter.connect()
        server = limiter.serve_request(client, 1)
        server.send(VALID_REPLY)  # a second reply, while no request is pending
        assert server.is_closed_by_peer()
        client.send(request(2, wait=300))
        second = limiter.backends[0].accept()
        second.read_command()
        assert client.line().startswith(b"-BUSY")
        assert second.is_closed_by_peer()
        with contextlib.suppress(OSError):
            second.send(VALID_REPLY)
        client.send(request(3))
        limiter.backends[0].serve(b"*3\r\n$5\r\nthird\r\n$-1\r\n$-1\r\n")
        assert client.read_bulk() == b"third"


@pytest.mark.parametrize("name", ["d", "c", "k", "units", "first", "PING", "SVC.QUERY", "busy", "OK", "-ERR", "d=5"])
def test_requests_are_served_when_classes_and_plans_are_named_like_protocol_words(name: str) -> None:
    settings = parse_platform_settings(
        {
            **SETTINGS,
            "classes": [{"name": name, "on-time": 3.0, "deadline": 3.0, "effect": "retryable"}],
            "tiers-of-service": [{"name": name}],
        }
    )
    text = f"c={name},t={name},d=480,units=2,spread=1,first=0".encode()
    call, received = CallReader(settings).read([b"SVC.QUERY", b"00000000b4d65521", b"%016x" % 1, text])
    assert (received.class_name, received.plan, received.units) == (name, name, 2.0)
    assert parse_command(call.encode(77))[3] == text.replace(b"d=480", b"d=77")


def test_class_is_not_idempotent_when_its_effect_is_unknown_and_an_unlisted_class_is_rejected() -> None:
    settings = parse_platform_settings(
        {**SETTINGS, "classes": [{"name": "look", "on-time": 3.0, "deadline": 3.0, "effect": "wondrous"}]}
    )
    assert settings.classes[0].idempotency is Idempotency.NOT_IDEMPOTENT
    with pytest.raises(CallError, match="unknown class"):
        CallReader(settings).read(parse_command(request(1, "book")))


@pytest.mark.parametrize(
    ("section", "key"),
    [("classes", "on-time"), ("classes", "deadline"), ("classes", "name"), ("tiers-of-service", "name")],
)
def test_error_names_the_missing_key_when_a_class_or_plan_is_incomplete(section: str, key: str) -> None:
    missing_key = {name: value for name, value in SETTINGS[section][0].items() if name != key}
    with pytest.raises(ValueError, match=rf"settings\.{section}\[0\]: {key} is missing"):
        parse_platform_settings({**SETTINGS, section: [missing_key]})


@pytest.mark.parametrize("section", ["rules", "caps", "family-info"])
@pytest.mark.parametrize("value", [7, None, True])
def test_configuration_error_is_raised_when_a_section_of_the_settings_is_no_object(section: str, value: object) -> None:
    source = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "counter": "127.0.0.1:9",
        "settings": {**SETTINGS, section: value},
    }
    with pytest.raises(ConfigurationError):
        parse_configuration(source, "c.json", {})


@pytest.mark.parametrize("text", ["", "{", "[]", "null", '{"settings": {}}', "\x00"])
def test_limiter_exits_with_one_line_and_does_not_listen_when_its_configuration_is_malformed(
    tmp_path: Path, text: str
) -> None:
    with Limiter(tmp_path, is_list_sent=False) as limiter:
        limiter.process.kill()
        limiter.process.communicate()
        limiter.path.write_text(text)
        limiter.process = limiter.start()
        assert "thymeflow: bad configuration: " in limiter.log("thymeflow:")
        assert limiter.process.wait(20.0) == 2
        assert is_connection_refused(limiter)
