"""The dispatcher, with a gateway or counter that misbehaves."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import Deferred

from tests.limiter import SETTINGS, request
from tests.network_support import (
    InMemoryNetwork,
    make_backend_connections,
    parse_command,
    world,
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

__all__ = ["world"]


class Odd:
    """A decision module that is out of order."""

    def __init__(self, raises: bool) -> None:
        self.raises = raises

    def handle(self, now: float, event: Event) -> list[Action]:
        if self.raises:
            message = "out of order"
            raise RuntimeError(message)
        return []


@pytest.mark.parametrize("raises", [True, False])
def test_request_gets_one_response_when_the_gateway_fails(world: InMemoryNetwork, raises: bool) -> None:
    backends, _ = make_backend_connections(world)
    gateway: Any = Odd(raises)
    core = RequestDispatcher(parse_platform_settings(SETTINGS), gateway, world.deadlines, 10**6, backends, None, None)
    answers: list[Response] = []
    call, received = CallReader(parse_platform_settings(SETTINGS)).read(parse_command(request(1, wait=500)))
    core.submit(IncomingRequest(received, clock.now() + 0.5, call, 100)).addCallback(answers.append)
    world.reactor.advance(0.52)
    assert [answer.kind for answer in answers] == [ResponseKind.FAILED]
    assert core.open_count() == 0


class Slow:
    """A counter that notes until when it may answer."""

    until = 0.0

    def add(self, name: int, amount: float, ttl: float, deadline: float) -> Deferred[CounterResult]:
        self.until = deadline
        return Deferred()


def test_counter_call_ends_before_the_next_of_its_name_when_its_reply_is_late(world: InMemoryNetwork) -> None:
    settings = parse_platform_settings(SETTINGS)
    counter = Slow()
    backends, _ = make_backend_connections(world)
    core = RequestDispatcher(settings, Gateway(settings, 1), world.deadlines, 10**6, backends, counter, None)
    core._carry_out(AddToCounter(5, 1.0, 20.0))
    assert settings.information.counter_timeout < counter.until - clock.now() < MIN_CALL_INTERVAL_SECONDS
