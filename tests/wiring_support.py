"""Builders for tests of what a limiter connects: a limiter in memory, its clients, and the dials that it makes."""

from __future__ import annotations

from math import inf
from typing import Any

import pytest
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure

from tests.discovery.support import HEAD, HEARTBEAT
from tests.limiter import SETTINGS
from tests.network_support import (
    DISCOVERY_PORT,
    InMemoryNetwork,
    make_backend_update,
    make_configuration,
)
from thymeflow.decision import actions, events
from thymeflow.decision.settings import GatewaySettings
from thymeflow.limiter.assembly import Limiter
from thymeflow.runtime import clock, log

MAX_WAIT_SECONDS = 9.0


class ScriptedGateway:
    """A gateway that answers every event with the same actions."""

    def __init__(self, *decided: actions.Action) -> None:
        self.decided = list(decided)

    def handle(self, _now: float, _event: events.Event) -> list[actions.Action]:
        """Return the actions."""
        return self.decided

    def take_cancelled_timers(self) -> list[int]:
        """Return no timers, because none was set."""
        return []


@pytest.fixture
def log_lines(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Return the log lines as they are written, none of them left out."""
    lines: list[str] = []
    monkeypatch.setattr(log, "_written_at", {})
    monkeypatch.setattr(log, "_sink", lambda kind, text, skipped, fields: lines.append(f"{kind}: {text}"))
    return lines


def build_limiter(network: InMemoryNetwork, gateway: Any = None, **changes: Any) -> Limiter:
    """Return a limiter that knows one active backend; `changes` replace keys of its configuration."""
    limiter = Limiter(make_configuration(**changes), network.reactor, gateway)
    limiter.on_endpoints_changed(make_backend_update("active", reset=True))
    return limiter


def changed_settings(**changes: Any) -> dict[str, Any]:
    """Return the platform's settings with other values for some keys."""
    return {**SETTINGS, **changes}


def settings_with(**changes: Any) -> GatewaySettings:
    """Return the same as settings of the gateway."""
    return make_configuration(settings=changed_settings(**changes)).settings


def connect_client(network: InMemoryNetwork, limiter: Limiter) -> Any:
    """Return a client's connection."""
    return network.connect_protocol(limiter.frontend.buildProtocol(None))


def dials_to(network: InMemoryNetwork, port: int) -> list[int]:
    """Return the numbers of the dials to a port, the first one first."""
    return [number for number, (_, dialed_port, *_) in enumerate(network.reactor.tcpClients) if dialed_port == port]


def fail_dial(network: InMemoryNetwork, number: int) -> None:
    """Let the dial of that number fail."""
    *_, factory, _, _ = network.reactor.tcpClients[number]
    reason = Failure(ConnectError())  # type: ignore[no-untyped-call]
    factory.clientConnectionFailed(network.reactor.connectors[number], reason)


def receive_first_list(network: InMemoryNetwork) -> Any:
    """Let the watch connect and receive its first message; return its stream."""
    stream = network.complete_dial(dials_to(network, DISCOVERY_PORT)[0])
    stream.dataReceived(HEAD + HEARTBEAT)
    return stream


def wait_of_next_watch(network: InMemoryNetwork, limiter: Limiter) -> float:
    """Let the limiter's first connect to discovery fail; return the seconds until the next."""
    port = limiter.configuration.discovery.port
    limiter.connect(inf)
    (dial,) = dials_to(network, port)  # limiters of one test watch at ports of their own
    fail_dial(network, dial)
    failed_at = clock.now()
    while len(dials_to(network, port)) < 2 and clock.now() - failed_at < MAX_WAIT_SECONDS:
        network.reactor.advance(0.001)
    return clock.now() - failed_at
