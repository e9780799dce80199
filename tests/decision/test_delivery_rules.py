"""Property tests of the delivery rules: a gateway handles random events, and a checker verifies its actions."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tests.helpers import KEYED, RULES, fleet, request, sends, settings, started
from thymeflow.decision.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
    SubscribeEndpoints,
)
from thymeflow.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsChanged,
    Event,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.settings import DiscoveryMode, Idempotency
from thymeflow.decision.types import Backend, BackendState, EndpointListKind, Status

NOT_EXECUTED = {Status.FULL, Status.CONNECT_FAILED, Status.MOOT}
IDEMPOTENCY_BY_CLASS = {
    "read": Idempotency.IDEMPOTENT,
    "book": Idempotency.WITH_KEY,
    "sign": Idempotency.NOT_IDEMPOTENT,
    "odd": Idempotency.NOT_IDEMPOTENT,
}


@dataclass
class CheckedRequest:
    """State of one request from the point of view of the checker."""

    deadline: float
    idempotency: Idempotency
    is_answered: bool = False
    sent: list[tuple[int, float]] = field(default_factory=list)  # Backend and start time of each attempt.
    ended: dict[int, Status] = field(default_factory=dict)  # Results by attempt number.

    def find_possibly_executed(self) -> list[int]:
        """Return the numbers of the attempts that a backend may have executed."""
        return [n for n in range(len(self.sent)) if self.ended.get(n) not in NOT_EXECUTED]


class Checker:
    """Ends the attempts of a gateway with random results, and checks the first four delivery rules."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.config = settings()
        self.gateway = Gateway(self.config, seed)
        self.queue: list[tuple[float, int, Event]] = []
        self.event_count = 0
        self.requests: dict[str, CheckedRequest] = {}
        self.state: dict[int, Backend] = {b.id: b for b in fleet()}
        self.slow_start_attempts: dict[int, list[float]] = {}
        self.handle_event(EndpointsChanged(EndpointListKind.CACHED, fleet()))

    def schedule(self, delay: float, event: Event) -> None:
        self.event_count += 1
        heapq.heappush(self.queue, (self.now + delay, self.event_count, event))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, event = heapq.heappop(self.queue)
            if isinstance(event, AttemptEnded):
                checked = self.requests[event.id]
                if checked.ended.get(event.attempt) is not None:
                    continue
                event = AttemptEnded(
                    event.id,
                    event.attempt,
                    event.backend,
                    event.status,
                    event.latency,
                    request_answered=checked.is_answered or event.status is Status.OK,
                    actual_units=1.0,
                )
                checked.ended[event.attempt] = event.status
                checked.is_answered = checked.is_answered or event.status is Status.OK
            self.handle_event(event)
        self.now = until

    def handle_event(self, event: Event) -> None:
        if isinstance(event, RequestReceived):
            self.requests[event.id] = CheckedRequest(self.now + event.remaining, IDEMPOTENCY_BY_CLASS[event.class_name])
        for action in self.gateway.handle(self.now, event):
            self.check(action)

    def check(self, action: Action) -> None:
        match action:
            case SetTimer(token, delay):
                self.schedule(delay, TimerFired(token))
            case StartAttempt(name, backend):
                self.check_attempt(self.requests[name], name, backend)
            case RejectRequest(name) | FailRequest(name):
                checked = self.requests[name]
                assert not checked.is_answered, "the request got two final responses"
                assert self.now <= checked.deadline + RULES.response_grace, "the final response was late"
                checked.is_answered = True
                executed = checked.find_possibly_executed()
                if isinstance(action, RejectRequest) and executed:
                    assert checked.idempotency is Idempotency.IDEMPOTENT, "rejected although it may have been executed"
            case CancelAttempt(name, attempt):
                self.schedule(0.0, AttemptEnded(name, attempt, 0, Status.CANCELLED))

    def check_attempt(self, checked: CheckedRequest, name: str, backend: int) -> None:
        assert not checked.is_answered, "an attempt was started after the final response"
        endpoint = self.state[backend]
        assert endpoint.state is BackendState.READY, "an attempt was sent to a backend that is draining or gone"
        assert len(checked.sent) < self.config.limits.max_attempts
        attempts_in_flight = [n for n in range(len(checked.sent)) if n not in checked.ended]
        assert not attempts_in_flight, "the request has two attempts in flight"
        executed = checked.find_possibly_executed()
        if executed:
            assert checked.idempotency is not Idempotency.NOT_IDEMPOTENT, "an unsafe request was retried"
            if checked.idempotency is Idempotency.WITH_KEY:
                first_backend, sent_at = checked.sent[executed[0]]
                assert self.state[first_backend].zone == endpoint.zone, "an idempotency key was sent to another zone"
                assert self.now <= sent_at + KEYED.idempotency_window, "an idempotency key was sent after its window"
        if endpoint.started > 0 and self.now < endpoint.started + RULES.slow_start_seconds:
            self.slow_start_attempts.setdefault(backend, []).append(self.now)
        checked.sent.append((backend, self.now))
        status = self.rng.choice([Status.OK] * 4 + list(Status))
        self.schedule(
            min(self.rng.expovariate(2.0), checked.deadline - self.now + 0.001),
            AttemptEnded(name, len(checked.sent) - 1, backend, status, 0.1),
        )

    def change_endpoint(self) -> None:
        number = self.rng.choice(sorted(self.state))
        state = self.rng.choice(list(BackendState))
        started_at = self.now if state is BackendState.READY else self.state[number].started
        self.state[number] = Backend(number, self.state[number].zone, state, number % 2, started=started_at)
        self.handle_event(EndpointsChanged(EndpointListKind.DELTA, (self.state[number],)))


@hypothesis_settings(derandomize=True, max_examples=60, deadline=None)
@given(st.integers(0, 10**6))
def test_delivery_rules_hold_when_events_are_random(seed: int) -> None:
    checker = Checker(seed)
    for n in range(120):
        checker.run(checker.now + checker.rng.expovariate(20.0))
        if checker.rng.random() < 0.1:
            checker.change_endpoint()
        checker.handle_event(
            request(
                f"r{n}",
                checker.rng.choice([0.5, 1.0, 4.0]),
                customer=f"c{n % 9}",
                class_name=checker.rng.choice(list(IDEMPOTENCY_BY_CLASS)),
                is_retry=checker.rng.random() < 0.3,
                remaining=checker.rng.choice([0.001, 0.3, 2.0, 4.0]),
            )
        )
        for unknown in (
            ClientDisconnected("nobody"),
            TimerFired(10**9),
            ResponseStarted("nobody", 0, 1),
            AttemptEnded("nobody", 0, 1, Status.OK),
        ):
            assert checker.gateway.handle(checker.now, unknown) == []
    checker.run(checker.now + 20.0)
    assert all(checked.is_answered for checked in checker.requests.values()), "a request has no final response"
    assert not checker.gateway.pending
    assert checker.gateway.registry.in_flight == 0


def test_final_response_is_in_time_when_no_attempt_ends() -> None:
    gateway = started()
    actions = gateway.handle(100.0, request("r1", class_name="sign", remaining=2.0))
    timer = next(a for a in actions if isinstance(a, SetTimer))
    assert timer.delay < 2.0
    assert FailRequest("r1") in gateway.handle(100.0 + timer.delay, TimerFired(timer.token))


def test_endpoint_list_is_retained_and_requested_again_when_discovery_fails() -> None:
    gateway = Gateway(settings(discovery=DiscoveryMode.POLL), 1)
    assert SubscribeEndpoints(True) in gateway.handle(0.0, EndpointsChanged(EndpointListKind.CACHED, fleet()))
    timer = next(a for a in gateway.handle(1.0, EndpointsChanged(EndpointListKind.FAILED)) if isinstance(a, SetTimer))
    assert len(gateway.backends) == 4
    assert SubscribeEndpoints(True) in gateway.handle(3.0, TimerFired(timer.token))


def test_request_is_rejected_at_once_when_it_cannot_be_served() -> None:
    empty = Gateway(settings(), 1)
    assert any(isinstance(a, RejectRequest) for a in empty.handle(0.0, request("r1")))
    gateway = started()
    for invalid in (request("r2", float("nan")), request("r3", -1.0), request("r4", plan="none")):
        assert [type(a) for a in gateway.handle(100.0, invalid)] == [RejectRequest]


def test_stream_has_no_deadline_when_its_response_has_begun() -> None:
    gateway = started()
    actions = gateway.handle(100.0, request("r1", remaining=1.0))
    timer = next(a for a in actions if isinstance(a, SetTimer))
    send = sends(actions)[0]
    gateway.handle(100.5, ResponseStarted("r1", 0, send.backend))
    assert gateway.handle(101.0, TimerFired(timer.token)) == []
