"""The watch on discovery: lists are applied completely or not at all, one idle timeout, and changes of address."""

from __future__ import annotations

import json

import pytest

from tests.discovery.support import (
    HEARTBEAT,
    build_chunk,
    build_entry,
    build_message,
    connect,
    start_discovery,
    wait_for_connect,
)
from tests.discovery.support import network as network
from tests.network_support import InMemoryNetwork
from thymeflow.decision.types import BackendState
from thymeflow.discovery.backoff import INITIAL_BACKOFF, MAX_BACKOFF
from thymeflow.discovery.timeouts import (
    POLLED_FIRST_MESSAGE_TIMEOUT,
    POLLED_IDLE_TIMEOUT,
    PUSHED_FIRST_MESSAGE_TIMEOUT,
    PUSHED_IDLE_TIMEOUT,
)
from thymeflow.platform.endpoints import Address, EndpointUpdate, parse_endpoint_update
from thymeflow.runtime import log


def versions(updates: list[EndpointUpdate]) -> list[int]:
    """Return the endpoint list versions of the updates."""
    return [update.change.version for update in updates]


def test_indented_list_is_applied_when_complete_and_ignored_when_truncated(network: InMemoryNetwork) -> None:
    updates: list[EndpointUpdate] = []
    start_discovery(network, updates.append)
    stream = connect(network, 0)
    message = build_message(43, build_entry(1), build_entry(2, "leaving"), is_complete=True, indent=2)
    for position in range(0, len(message), 7):
        stream.dataReceived(build_chunk(message[position : position + 7]))
    assert versions(updates) == [43]
    assert not stream.ends
    stream.dataReceived(build_chunk(build_message(44, build_entry(1, "leaving"), indent=2)[:-9]))
    stream.connectionLost()
    assert len(updates) == 1
    network.reactor.advance(INITIAL_BACKOFF)
    next_stream = connect(network, 1)
    assert b"index=43 " in next_stream.transport.value()
    next_stream.dataReceived(build_chunk(build_message(44, build_entry(1, "leaving"))))
    assert updates[1].change.backends[0].state is BackendState.DRAINING


def test_watch_and_list_stay_when_a_message_has_an_older_version(
    network: InMemoryNetwork, monkeypatch: pytest.MonkeyPatch
) -> None:
    updates = list[EndpointUpdate]()
    logged = list[str]()
    monkeypatch.setattr(log, "emit_rate_limited", lambda kind, text, **fields: logged.append(text))
    start_discovery(network, updates.append)
    stream = connect(network, 0)
    for chunk in (
        build_chunk(build_message(43, build_entry(1, "leaving"))),
        build_chunk(build_message(42, build_entry(1), is_complete=True)),
        build_chunk(build_message(41)),
        HEARTBEAT,
        build_chunk(build_message(44, build_entry(2))),
    ):
        stream.dataReceived(chunk)
    assert versions(updates) == [43, 44]
    assert not stream.ends
    assert logged == [
        "ignored endpoint list version 42: version 43 is in use",
        "ignored endpoint list version 41: version 43 is in use",
    ]


def test_list_and_watch_stay_when_a_fetched_list_is_late_or_malformed(network: InMemoryNetwork) -> None:
    updates: list[EndpointUpdate] = []
    discovery = start_discovery(network, updates.append)
    stream = connect(network, 0)
    discovery.fetch_complete_list()
    discovery.fetch_complete_list()
    late = connect(network, 1)
    malformed = connect(network, 2)
    stream.dataReceived(build_chunk(build_message(43, build_entry(1, "leaving"))))
    late.dataReceived(build_chunk(build_message(42, build_entry(1), is_complete=True)))
    malformed.dataReceived(build_chunk(b'{"generation": 50}'))
    assert versions(updates) == [43]
    assert not stream.ends
    while not late.ends:
        stream.dataReceived(HEARTBEAT)
        network.reactor.advance(1.0)
    assert not stream.ends


def test_backend_counts_as_draining_and_other_entries_stay_when_its_lifecycle_is_unknown() -> None:
    message = build_message(43, build_entry(1, "resting"), build_entry(2, "leaving"), build_entry(3))
    update = parse_endpoint_update(json.loads(message))
    assert [backend.state for backend in update.change.backends] == [
        BackendState.DRAINING,
        BackendState.DRAINING,
        BackendState.READY,
    ]


@pytest.mark.parametrize("pushed", [True, False])
def test_idle_timeout_is_not_extended_when_a_new_watch_receives_nothing(network: InMemoryNetwork, pushed: bool) -> None:
    start_discovery(network, lambda update: None, pushed)
    first = connect(network, 0)
    first.dataReceived(HEARTBEAT)
    assert (
        wait_for_connect(network, 1) < (PUSHED_IDLE_TIMEOUT if pushed else POLLED_IDLE_TIMEOUT) + INITIAL_BACKOFF + 0.02
    )
    second = connect(network, 1)  # This stream connects and receives nothing either.
    max_wait = PUSHED_FIRST_MESSAGE_TIMEOUT if pushed else POLLED_FIRST_MESSAGE_TIMEOUT + MAX_BACKOFF
    assert wait_for_connect(network, 2) <= max_wait + 0.02
    third = connect(network, 2)
    second.dataReceived(HEARTBEAT)  # The response is late but valid.
    assert (first.ends, second.ends, third.ends) == (1, 0, 1)


def test_first_stream_with_a_message_is_kept_when_the_agent_was_silent_before(network: InMemoryNetwork) -> None:
    discovery = start_discovery(network, lambda update: None)
    streams = [connect(network, 0)]
    for _ in range(800):  # 8 s, with attempts at regular intervals and few at once
        network.reactor.advance(0.01)
        while len(streams) < len(network.reactor.tcpClients):
            streams.append(connect(network, len(streams)))
    assert discovery.is_ready  # Clients were admitted by the known list.
    assert 8.0 / PUSHED_FIRST_MESSAGE_TIMEOUT - 2 <= len(streams) <= 8.0 / PUSHED_FIRST_MESSAGE_TIMEOUT + 2
    assert sum(not stream.ends for stream in streams) == 3
    streams[-2].dataReceived(HEARTBEAT)
    assert sum(not stream.ends for stream in streams) == 1


def test_first_list_is_awaited_when_it_arrives_slowly_in_pieces(network: InMemoryNetwork) -> None:
    updates: list[EndpointUpdate] = []
    start_discovery(network, updates.append)
    stream = connect(network, 0)
    message = build_message(43, build_entry(1), is_complete=True, indent=1)
    for position in range(0, len(message), 10):
        network.reactor.advance(0.4)
        stream.dataReceived(build_chunk(message[position : position + 10]))
    assert len(updates) == len(network.reactor.tcpClients) == 1
    assert not stream.ends


def test_backoff_and_streams_of_the_old_address_are_dropped_when_the_address_changes(network: InMemoryNetwork) -> None:
    updates: list[EndpointUpdate] = []
    discovery = start_discovery(network, updates.append, pushed=False)
    old_stream = connect(network, 0)
    for _ in range(5):
        discovery._backoff.next_wait()
    discovery.set_address(Address("127.0.0.1", 9))
    assert old_stream.ends
    assert network.reactor.tcpClients[1][1] == 9  # without a backoff
    assert discovery._backoff.next_wait() <= MAX_BACKOFF
    assert discovery._backoff._bound > discovery._backoff._initial_bound - 1e-9
    old_stream.dataReceived(build_chunk(build_message(50, build_entry(1))))
    assert not updates
    connect(network, 1).dataReceived(build_chunk(build_message(51, build_entry(1))))
    assert versions(updates) == [51]


def test_backoff_starts_again_when_the_address_changes(network: InMemoryNetwork) -> None:
    discovery = start_discovery(network, lambda update: None, pushed=False, limiters=3)
    for _ in range(5):
        discovery._backoff.next_wait()
    discovery.set_address(Address("127.0.0.1", 9))
    assert discovery._backoff.next_wait() <= INITIAL_BACKOFF
