"""The dispatcher, with a gateway or a counter that is faulty.

The tests guard against a request that never gets a response because the gateway raises an exception or returns no
action, and against two open counter calls with one name.
"""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import Deferred

from tests.limiter import SETTINGS, request
from tests.network_support import (
    InMemoryNetwork,
    make_backend_connections,
    network,
    parse_command,
)
from thymeflow.core.dispatcher import RequestDispatcher
from thymeflow.core.types import IncomingRequest, Response, ResponseKind
from thymeflow.counter.client import CounterResult
from thymeflow.decision.actions import Action, AddToCounter
from thymeflow.decision.events import Event
from thymeflow.decision.gateway import Gateway
from thymeflow.platform.settings import parse_platform_settings
from thymeflow.quota.token_bucket import MIN_CALL_INTERVAL_SECONDS
from thymeflow.runtime import clock
from thymeflow.transport.commands import CallReader

__all__ = ["network"]


class FaultyGateway:
    """A gateway that raises an exception for each event, or returns no actions."""

    def __init__(self, raises: bool) -> None:
        self.raises = raises

    def handle(self, now: float, event: Event) -> list[Action]:
        if self.raises:
            message = "out of order"
            raise RuntimeError(message)
        return []

    def take_cancelled_timers(self) -> list[int]:
        return []


@pytest.mark.parametrize("raises", [True, False])
def test_request_gets_one_response_when_the_gateway_fails(network: InMemoryNetwork, raises: bool) -> None:
    backends, _ = make_backend_connections(network)
    gateway: Any = FaultyGateway(raises)
    dispatcher = RequestDispatcher(
        parse_platform_settings(SETTINGS), gateway, network.deadlines, 10**6, backends, None, None
    )
    responses: list[Response] = []
    call, request_event = CallReader(parse_platform_settings(SETTINGS)).read(parse_command(request(1, wait=500)))
    dispatcher.submit(IncomingRequest(request_event, clock.now() + 0.5, call, 100)).addCallback(responses.append)
    network.reactor.advance(0.52)
    assert [response.kind for response in responses] == [ResponseKind.FAILED]
    assert dispatcher.open_count() == 0


class SlowCounter:
    """A counter that never replies, and records the deadline of the last call."""

    deadline = 0.0

    def add(self, name: int, amount: float, ttl: float, deadline: float) -> Deferred[CounterResult]:
        self.deadline = deadline
        return Deferred()


def test_counter_call_ends_before_the_next_of_its_name_when_its_reply_is_late(network: InMemoryNetwork) -> None:
    settings = parse_platform_settings(SETTINGS)
    counter = SlowCounter()
    backends, _ = make_backend_connections(network)
    dispatcher = RequestDispatcher(settings, Gateway(settings, 1), network.deadlines, 10**6, backends, counter, None)
    dispatcher._execute_action(AddToCounter(5, 1.0, 20.0))
    assert settings.information.counter_timeout < counter.deadline - clock.now() < MIN_CALL_INTERVAL_SECONDS
