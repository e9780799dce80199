"""Effects of the lifecycle on the limiter's components: each test fails if one effect is missing."""

from __future__ import annotations

from typing import Any

import pytest

from tests.limiter import SETTINGS, command, request
from tests.network_support import (
    SERVED_REPLY,
    FakePort,
    InMemoryNetwork,
    make_backend_update,
    make_configuration,
    network,
)
from thymeflow.frontend.timeouts import REPLY_STALL_SECONDS
from thymeflow.limiter.assembly import Limiter
from thymeflow.limiter.lifecycle import (
    DELIVERY_CHECK_INTERVAL,
    EVACUATION_DELAY,
    STOP_CHECK_INTERVAL,
    TERMINATION_LINGER,
    UNREAD_RESPONSE_GRACE,
)
from thymeflow.limiter.phases import REASONS, OperatorCommand, Phase
from thymeflow.runtime import log

DEADLINE_SECONDS = 0.5  # deadline of every request class
LONGER_DEADLINE_SECONDS = 1.0
__all__ = ["network"]


def settings_with_deadline(seconds: float) -> dict[str, Any]:
    """Return the platform's settings with this deadline for every class, and without cancelling of attempts."""
    classes = [{**request_class, "deadline": seconds} for request_class in SETTINGS["classes"]]
    return {**SETTINGS, "classes": classes, "caps": {**SETTINGS["caps"], "cancel": False}}


def build_limiter(network: InMemoryNetwork, linger: float = TERMINATION_LINGER) -> Limiter:
    """Return a limiter that knows one active backend and doesn't listen yet."""
    configuration = make_configuration(settings=settings_with_deadline(DEADLINE_SECONDS))
    limiter = Limiter(configuration, network.reactor, linger=linger)
    limiter.on_endpoints_changed(make_backend_update("active", reset=True))
    return limiter


def build_serving_limiter(network: InMemoryNetwork, linger: float = TERMINATION_LINGER) -> tuple[Limiter, FakePort]:
    """Return a limiter that accepts clients, and its listening port."""
    limiter = build_limiter(network, linger)
    port = FakePort()
    limiter.lifecycle.on_listening(port)
    return limiter, port


def connect_client(network: InMemoryNetwork, limiter: Limiter) -> Any:
    """Connect a client and return its connection."""
    return network.connect_protocol(limiter.frontend.buildProtocol(None))


def test_ping_is_answered_with_the_reason_when_the_limiter_is_not_ready(network: InMemoryNetwork) -> None:
    limiter = build_limiter(network)
    client = connect_client(network, limiter)
    client.dataReceived(command(b"PING"))
    assert client.transport.value() == b"-LOADING %b\r\n" % REASONS[Phase.STARTING].encode()
    client.transport.clear()
    limiter.lifecycle.on_listening(FakePort())
    client.dataReceived(command(b"PING"))
    assert client.transport.value() == b"+PONG\r\n"
    client.transport.clear()
    limiter.lifecycle.on_command(OperatorCommand.EVACUATE)
    client.dataReceived(command(b"PING"))
    assert client.transport.value() == b"-LOADING %b\r\n" % REASONS[Phase.EVACUATED].encode()


def test_clients_are_drained_after_a_delay_when_the_limiter_is_evacuated(network: InMemoryNetwork) -> None:
    limiter, port = build_serving_limiter(network)
    client = connect_client(network, limiter)
    client.dataReceived(command(b"PING"))
    limiter.lifecycle.on_command(OperatorCommand.EVACUATE)
    network.reactor.pump([0.05] * int(EVACUATION_DELAY / 0.05 - 1))
    assert not client.transport.handle.is_half_closed
    network.reactor.pump([0.05] * 2)
    assert client.transport.handle.is_half_closed
    assert port.stopped_count == 0
    limiter.lifecycle.on_command(OperatorCommand.ACTIVATE)
    assert not limiter.frontend.is_draining


def test_delayed_drain_is_dropped_when_the_limiter_is_activated_and_evacuated_again(network: InMemoryNetwork) -> None:
    limiter, _ = build_serving_limiter(network)
    limiter.lifecycle.on_command(OperatorCommand.EVACUATE)
    network.reactor.pump([0.05] * int(EVACUATION_DELAY / 0.05 - 2))
    limiter.lifecycle.on_command(OperatorCommand.ACTIVATE)
    limiter.lifecycle.on_command(OperatorCommand.EVACUATE)
    network.reactor.pump([0.05] * 4)  # past the delay of the first evacuation
    assert not limiter.frontend.is_draining
    network.reactor.pump([0.05] * int(EVACUATION_DELAY / 0.05))
    assert limiter.frontend.is_draining


def test_clients_stay_when_the_limiter_is_activated_before_the_drain(network: InMemoryNetwork) -> None:
    limiter, _ = build_serving_limiter(network)
    limiter.lifecycle.on_command(OperatorCommand.EVACUATE)
    limiter.lifecycle.on_command(OperatorCommand.ACTIVATE)
    network.reactor.pump([0.05] * int(2 * EVACUATION_DELAY / 0.05))
    assert not limiter.frontend.is_draining


def test_limiter_serves_when_its_first_backend_is_known_after_it_listens(network: InMemoryNetwork) -> None:
    limiter = Limiter(make_configuration(), network.reactor)
    limiter.lifecycle.on_listening(FakePort())
    assert not limiter.lifecycle.is_accepting_clients()
    limiter.on_endpoints_changed(make_backend_update("active", reset=True))
    assert limiter.lifecycle.is_accepting_clients()


def test_phases_are_reported_and_logged_in_order_when_the_limiter_starts_and_stops(
    network: InMemoryNetwork, monkeypatch: pytest.MonkeyPatch
) -> None:
    limiter = build_limiter(network)
    phases: list[Phase] = []
    lines: list[str] = []
    monkeypatch.setattr(log, "_sink", lambda kind, text, skipped, fields: lines.append(f"{kind}: {text}"))
    limiter.lifecycle.on_phase = phases.append
    limiter.lifecycle.on_listening(FakePort())
    limiter.lifecycle.terminate(0.0)
    network.reactor.advance(0.01)
    assert phases == [Phase.SERVING, Phase.DRAINING, Phase.STOPPED]
    assert lines == ["listening: 127.0.0.1:1", "phase: serving", "phase: draining", "phase: stopped"]


@pytest.mark.parametrize("linger", [0.2, TERMINATION_LINGER])
def test_clients_are_accepted_when_the_limiter_lingers_and_rejected_afterwards(
    network: InMemoryNetwork, linger: float
) -> None:
    limiter, port = build_serving_limiter(network, linger)
    client = connect_client(network, limiter)
    client.dataReceived(request(1))
    limiter.lifecycle.terminate()
    network.reactor.pump([0.05] * int(linger / 0.05 - 1))
    assert limiter.lifecycle.is_accepting_clients()
    assert port.stopped_count == 0
    assert limiter.frontend.buildProtocol(None) is not None
    network.reactor.pump([0.05] * 2)
    assert not limiter.lifecycle.is_accepting_clients()
    assert port.stopped_count == 1
    assert limiter.frontend.buildProtocol(None) is None


def test_process_stops_at_once_when_the_last_client_of_a_closed_limiter_disconnects(network: InMemoryNetwork) -> None:
    limiter, _ = build_serving_limiter(network)
    client = connect_client(network, limiter)
    limiter.lifecycle.terminate(0.0)
    network.reactor.advance(0.01)
    assert not network.reactor.hasStopped
    client.connectionLost()
    assert network.reactor.hasStopped
    assert limiter.lifecycle.phase is Phase.STOPPED


def test_process_stops_when_the_last_attempt_ends_after_its_client_has_disconnected(network: InMemoryNetwork) -> None:
    limiter, _ = build_serving_limiter(network)
    client = connect_client(network, limiter)
    client.dataReceived(request(1))
    backend = network.complete_dial(0)
    limiter.lifecycle.terminate(0.0)
    network.reactor.advance(0.01)
    client.connectionLost()
    assert limiter.dispatcher.open_count() == 1
    assert not network.reactor.hasStopped
    backend.dataReceived(SERVED_REPLY)
    network.reactor.pump([STOP_CHECK_INTERVAL] * 2)
    assert network.reactor.hasStopped


@pytest.mark.parametrize("deadline", [DEADLINE_SECONDS, LONGER_DEADLINE_SECONDS, 0.1])
def test_process_stops_after_the_longest_deadline_when_a_client_never_reads_its_response(
    network: InMemoryNetwork, deadline: float
) -> None:
    limiter, _ = build_serving_limiter(network)
    client = connect_client(network, limiter)
    client.transport.handle.max_bytes = 0
    client.dataReceived(command(b"PING"))
    limiter.apply_settings(make_configuration(settings=settings_with_deadline(deadline)).settings)
    limiter.lifecycle.terminate(0.0)
    stop_after = max(deadline, DEADLINE_SECONDS) + UNREAD_RESPONSE_GRACE
    network.reactor.pump([0.05] * round(stop_after / 0.05 - 1))
    assert not network.reactor.hasStopped
    network.reactor.pump([0.05] * 2)
    assert network.reactor.hasStopped


def test_long_response_is_completed_when_its_backend_writes_slowly_while_the_process_drains(
    network: InMemoryNetwork,
) -> None:
    # Guards against cutting off a response that a backend is still writing.
    limiter, _ = build_serving_limiter(network)
    client = connect_client(network, limiter)
    client.dataReceived(request(1))
    backend = network.complete_dial(0)
    piece = b"x" * 10_000
    backend.dataReceived(b"*3\r\n$%d\r\n" % (len(piece) * 10))
    limiter.lifecycle.terminate(0.0)
    for _ in range(10):
        network.reactor.pump([0.1] * 19)
        assert not network.reactor.hasStopped
        backend.dataReceived(piece)
    backend.dataReceived(b"\r\n$-1\r\n$-1\r\n")
    assert client.transport.value().endswith(b"x\r\n")
    client.connectionLost()
    network.reactor.pump([STOP_CHECK_INTERVAL] * 2)
    assert network.reactor.hasStopped


def test_process_stops_when_a_backend_stops_in_the_middle_of_a_long_response(network: InMemoryNetwork) -> None:
    limiter, _ = build_serving_limiter(network)
    client = connect_client(network, limiter)
    client.dataReceived(request(1))
    network.complete_dial(0).dataReceived(b"*3\r\n$100000\r\nx")
    limiter.lifecycle.terminate(0.0)
    network.reactor.pump([0.1] * round((REPLY_STALL_SECONDS + DELIVERY_CHECK_INTERVAL) / 0.1 + 1))
    assert network.reactor.hasStopped


def test_process_stops_later_when_final_messages_need_time(network: InMemoryNetwork) -> None:
    limiter, _ = build_serving_limiter(network)
    limiter.lifecycle.on_stopping = lambda: 0.2
    limiter.lifecycle.terminate(0.0)
    network.reactor.advance(0.01)
    assert limiter.lifecycle.phase is Phase.STOPPED
    assert not network.reactor.hasStopped
    network.reactor.pump([0.05] * 5)
    assert network.reactor.hasStopped
