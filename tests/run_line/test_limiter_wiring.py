"""Effects of handovers, changed settings and reloads on the components: each test fails if one effect is missing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from math import inf

import pytest

from tests.limiter import SETTINGS, request
from tests.network_support import (
    COUNTER_PORT,
    DISCOVERY_PORT,
    SERVED_REPLY,
    FakePort,
    InMemoryNetwork,
    make_attempt_spec,
    make_backend_connections,
    make_backend_update,
    make_configuration,
    network,
)
from tests.wiring_support import (
    MAX_WAIT_SECONDS,
    build_limiter,
    changed_settings,
    connect_client,
    dials_to,
    log_lines,
    settings_with,
    wait_of_next_watch,
)
from thymeflow.decision.types import Status
from thymeflow.discovery.backoff import INITIAL_BACKOFF
from thymeflow.limiter.assembly import Limiter
from thymeflow.limiter.phases import Phase
from thymeflow.platform.configuration import Configuration

LARGE_SET_SIZE = 200  # number of limiters; in a large set, each waits longer before it connects to discovery again
POLLED = "on_request"  # the platform's value for polled endpoint lists
__all__ = ["log_lines", "network"]


# --- a handover --------------------------------------------------------------------------------------------


def test_idle_backend_connections_are_closed_when_the_limiter_is_handed_over(network: InMemoryNetwork) -> None:
    limiter = build_limiter(network)
    limiter.lifecycle.on_listening(FakePort())
    connect_client(network, limiter).dataReceived(request(1))
    backend = network.complete_dial(0)
    backend.dataReceived(SERVED_REPLY)
    assert not backend.closed
    assert limiter.backends.open_connections == 1
    limiter.on_handover_changed(True)
    assert backend.closed
    assert limiter.backends.open_connections == 0


@pytest.mark.parametrize("rolled_back", [False, True])
def test_backend_connection_is_closed_when_it_becomes_idle_after_the_handover(
    network: InMemoryNetwork, rolled_back: bool
) -> None:
    limiter = build_limiter(network)
    limiter.lifecycle.on_listening(FakePort())
    connect_client(network, limiter).dataReceived(request(1))
    backend = network.complete_dial(0)
    limiter.on_handover_changed(True)
    if rolled_back:
        limiter.on_handover_changed(False)
    backend.dataReceived(SERVED_REPLY)
    assert backend.closed != rolled_back
    assert limiter.backends.open_connections == int(rolled_back)


def test_waiting_attempt_is_served_when_its_connection_comes_up_after_the_handover(network: InMemoryNetwork) -> None:
    connections, results = make_backend_connections(network)
    connections.set_close_when_idle(True)
    connections.start_attempt(make_attempt_spec()).addCallback(results.append)
    backend = network.complete_dial(0)
    backend.dataReceived(SERVED_REPLY)
    assert [result.status for result in results] == [Status.OK]
    assert backend.closed
    assert connections.open_connections == 0


def test_clients_are_drained_when_the_limiter_is_handed_over_and_admitted_when_it_is_rolled_back(
    network: InMemoryNetwork,
) -> None:
    limiter = build_limiter(network)
    port = FakePort()
    limiter.lifecycle.on_listening(port)
    limiter.on_handover_changed(True)
    assert limiter.lifecycle.phase is Phase.HANDED_OVER
    assert limiter.frontend.is_draining
    assert limiter.frontend.buildProtocol(None) is None
    limiter.on_handover_changed(False)
    phase: Phase = limiter.lifecycle.phase
    assert phase is Phase.SERVING
    assert port.resumed_count == 1
    assert not limiter.frontend.is_draining
    assert limiter.frontend.buildProtocol(None) is not None


# --- changed settings --------------------------------------------------------------------------------------


def test_backoff_of_the_watch_is_adapted_when_the_number_of_limiters_changes(network: InMemoryNetwork) -> None:
    small_set = changed_settings(discovery=POLLED)
    large_set = changed_settings(discovery=POLLED, balancers=LARGE_SET_SIZE)
    small = build_limiter(network, settings=small_set, seed="7", discovery="127.0.0.1:101")
    large = build_limiter(network, settings=large_set, seed="7", discovery="127.0.0.1:102")
    resized = build_limiter(network, settings=small_set, seed="7", discovery="127.0.0.1:103")
    resized.apply_settings(make_configuration(settings=large_set).settings)
    wait_of_large_set = wait_of_next_watch(network, large)
    assert INITIAL_BACKOFF < wait_of_large_set < MAX_WAIT_SECONDS
    assert wait_of_next_watch(network, resized) == pytest.approx(wait_of_large_set, abs=0.002)
    assert wait_of_next_watch(network, small) <= INITIAL_BACKOFF + 0.002


def test_commands_are_parsed_with_the_new_classes_when_settings_change(network: InMemoryNetwork) -> None:
    limiter = build_limiter(network)
    client = connect_client(network, limiter)
    client.dataReceived(request(1).replace(b"c=look", b"c=news"))
    assert client.transport.value() == b"-ERR unknown class\r\n"
    limiter.apply_settings(settings_with(classes=[*SETTINGS["classes"], {**SETTINGS["classes"][0], "name": "news"}]))
    client.dataReceived(request(2).replace(b"c=look", b"c=news"))
    network.complete_dial(0).dataReceived(SERVED_REPLY)
    assert client.transport.value().endswith(b"$5\r\nvalue\r\n")


def test_open_requests_are_limited_to_the_new_number_when_settings_change(network: InMemoryNetwork) -> None:
    limiter = build_limiter(network)
    limiter.apply_settings(settings_with(caps={**SETTINGS["caps"], "open-cap": 1}))
    client = connect_client(network, limiter)
    client.dataReceived(request(1))
    connect_client(network, limiter).dataReceived(request(2))
    assert limiter.dispatcher.open_count() == 1


def test_connects_to_backends_end_after_the_new_timeout_when_settings_change(network: InMemoryNetwork) -> None:
    limiter = build_limiter(network)
    limiter.apply_settings(settings_with(caps={**SETTINGS["caps"], "dial-timeout": 0.5}))
    connect_client(network, limiter).dataReceived(request(1))
    network.reactor.pump([0.01] * 40)
    assert not network.reactor.connectors[0].stoppedConnecting
    network.reactor.pump([0.01] * 20)
    assert network.reactor.connectors[0].stoppedConnecting


# --- a reload ----------------------------------------------------------------------------------------------


def build_reloadable(network: InMemoryNetwork, load: Callable[[], Configuration]) -> Limiter:
    """Return a connected limiter whose reload gets its configuration from `load`."""
    limiter = Limiter(make_configuration(), network.reactor, load=load)
    limiter.connect(inf)
    return limiter


def test_counter_and_discovery_are_dialed_again_when_a_reload_changes_their_addresses(network: InMemoryNetwork) -> None:
    changed = make_configuration(discovery="127.0.0.1:18", counter="127.0.0.1:19")
    build_reloadable(network, lambda: changed).lifecycle.reload_settings()
    assert len(dials_to(network, 18)) == 1
    assert len(dials_to(network, 19)) == 3


def test_old_addresses_are_dialed_again_when_a_second_reload_restores_them(network: InMemoryNetwork) -> None:
    changed = make_configuration(discovery="127.0.0.1:18", counter="127.0.0.1:19")
    files = [changed, make_configuration()]
    limiter = build_reloadable(network, lambda: files.pop(0))
    limiter.lifecycle.reload_settings()
    known_dials = len(network.reactor.tcpClients)
    limiter.lifecycle.reload_settings()
    assert len([dial for dial in dials_to(network, DISCOVERY_PORT) if dial >= known_dials]) == 1
    assert len([dial for dial in dials_to(network, COUNTER_PORT) if dial >= known_dials]) == 3


def test_nothing_is_dialed_again_when_a_reload_changes_no_address(network: InMemoryNetwork) -> None:
    limiter = build_reloadable(network, make_configuration)
    known_dials = len(network.reactor.tcpClients)
    limiter.lifecycle.reload_settings()
    assert len(network.reactor.tcpClients) == known_dials
    assert limiter.reloader.last_result


def test_settings_are_applied_when_a_reload_changes_them(network: InMemoryNetwork, log_lines: list[str]) -> None:
    changed = make_configuration(settings=changed_settings(caps={**SETTINGS["caps"], "open-cap": 1}), memory=1)
    limiter = build_reloadable(network, lambda: changed)
    limiter.on_endpoints_changed(make_backend_update("active", reset=True))
    limiter.lifecycle.reload_settings()
    connect_client(network, limiter).dataReceived(request(1) + request(2))
    assert limiter.dispatcher.open_count() == 1
    assert any(line.startswith("reload: settings taken: ") for line in log_lines)


def test_values_that_need_a_restart_are_logged_when_a_reload_changes_them(
    network: InMemoryNetwork, log_lines: list[str]
) -> None:
    limiter = build_reloadable(network, lambda: replace(make_configuration(), memory=2**20, sockets=99))
    limiter.lifecycle.reload_settings()
    assert "reload: changes of sockets, memory take effect at the next start" in log_lines


def test_nothing_is_reloaded_when_the_limiter_has_stopped(network: InMemoryNetwork) -> None:
    limiter = build_reloadable(network, make_configuration)
    limiter.lifecycle.phase = Phase.STOPPED
    limiter.lifecycle.reload_settings()
    assert limiter.reloader.last_result == ""
