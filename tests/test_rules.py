"""The rules as properties: generated events go to the module, a checker of its own reads the actions."""

from __future__ import annotations

import heapq
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tests.helpers import KEYED, RULES, SAFE, ended, fleet, request, sends, settings, started
from thymeflow.decision.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
    SubscribeEndpoints,
)
from thymeflow.decision.context import TimerKind
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
from thymeflow.decision.request_state import RequestState
from thymeflow.decision.settings import DiscoveryMode, Idempotency, Plan
from thymeflow.decision.types import Backend, BackendState, EndpointListKind, Status
from thymeflow.health.backend_stats import FailureStreak

NEVER = {Status.FULL, Status.CONNECT_FAILED, Status.MOOT}
KINDS = {
    "read": Idempotency.IDEMPOTENT,
    "book": Idempotency.WITH_KEY,
    "sign": Idempotency.NOT_IDEMPOTENT,
    "odd": Idempotency.NOT_IDEMPOTENT,
}


class Checker:
    """A small world that ends attempts as told and checks the first four rules."""

    def __init__(self, seed: int) -> None:
        self.rng, self.now = random.Random(seed), 100.0
        self.config = settings()
        self.gateway = Gateway(self.config, seed)
        self.queue: list[tuple[float, int, Event]] = []
        self.count = 0
        self.tries: dict[str, dict[str, Any]] = {}
        self.state: dict[int, Backend] = {b.id: b for b in fleet()}
        self.cold_sends: dict[int, list[float]] = {}
        self.feed(EndpointsChanged(EndpointListKind.CACHED, fleet()))

    def later(self, delay: float, event: Event) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + delay, self.count, event))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, event = heapq.heappop(self.queue)
            if isinstance(event, AttemptEnded):
                entry = self.tries[event.id]
                if entry["ended"].get(event.attempt) is not None:
                    continue
                event = AttemptEnded(
                    event.id,
                    event.attempt,
                    event.backend,
                    event.status,
                    event.latency,
                    request_answered=entry["final"] or event.status is Status.OK,
                    actual_units=1.0,
                )
                entry["ended"][event.attempt] = event.status
                entry["final"] = entry["final"] or event.status is Status.OK
            self.feed(event)
        self.now = until

    def feed(self, event: Event) -> None:
        if isinstance(event, RequestReceived):
            self.tries[event.id] = {
                "final": False,
                "end": self.now + event.remaining,
                "sent": [],
                "ended": {},
                "effect": KINDS[event.class_name],
            }
        for action in self.gateway.handle(self.now, event):
            self.check(action)

    def check(self, action: Action) -> None:
        match action:
            case SetTimer(token, delay):
                self.later(delay, TimerFired(token))
            case StartAttempt(name, backend):
                self.check_send(self.tries[name], name, backend)
            case RejectRequest(name) | FailRequest(name):
                entry = self.tries[name]
                assert not entry["final"], "two answers"
                assert self.now <= entry["end"] + RULES.response_grace, "late answer"
                entry["final"] = True
                ran = [n for n in range(len(entry["sent"])) if entry["ended"].get(n) not in NEVER]
                if isinstance(action, RejectRequest) and ran:
                    assert entry["effect"] is Idempotency.IDEMPOTENT, "refused although it may have run"
            case CancelAttempt(name, attempt):
                self.later(0.0, AttemptEnded(name, attempt, 0, Status.CANCELLED))

    def check_send(self, entry: dict[str, Any], name: str, backend: int) -> None:
        assert not entry["final"], "sent after the answer"
        listed = self.state[backend]
        assert listed.state is BackendState.READY, "sent to a backend that drains or is gone"
        assert len(entry["sent"]) < self.config.limits.max_attempts
        out = [n for n in range(len(entry["sent"])) if n not in entry["ended"]]
        assert not out, "two attempts out"
        ran = [n for n in range(len(entry["sent"])) if entry["ended"].get(n) not in NEVER]
        if ran:
            assert entry["effect"] is not Idempotency.NOT_IDEMPOTENT, "an unsafe request sent twice"
            if entry["effect"] is Idempotency.WITH_KEY:
                first, when = entry["sent"][ran[0]]
                assert self.state[first].zone == listed.zone, "a key sent to another group"
                assert self.now <= when + KEYED.idempotency_window, "a key sent after its window"
        if listed.started > 0 and self.now < listed.started + RULES.slow_start_seconds:
            self.cold_sends.setdefault(backend, []).append(self.now)
        entry["sent"].append((backend, self.now))
        status = self.rng.choice([Status.OK] * 4 + list(Status))
        self.later(
            min(self.rng.expovariate(2.0), entry["end"] - self.now + 0.001),
            AttemptEnded(name, len(entry["sent"]) - 1, backend, status, 0.1),
        )

    def relist(self) -> None:
        number = self.rng.choice(sorted(self.state))
        state = self.rng.choice(list(BackendState))
        began = self.now if state is BackendState.READY else self.state[number].started
        self.state[number] = Backend(number, self.state[number].zone, state, number % 2, started=began)
        self.feed(EndpointsChanged(EndpointListKind.DELTA, (self.state[number],)))


@hypothesis_settings(derandomize=True, max_examples=60, deadline=None)
@given(st.integers(0, 10**6))
def test_rules_hold_whatever_comes(seed: int) -> None:
    world = Checker(seed)
    for n in range(120):
        world.run(world.now + world.rng.expovariate(20.0))
        if world.rng.random() < 0.1:
            world.relist()
        world.feed(
            request(
                f"r{n}",
                world.rng.choice([0.5, 1.0, 4.0]),
                customer=f"c{n % 9}",
                class_name=world.rng.choice(list(KINDS)),
                is_retry=world.rng.random() < 0.3,
                remaining=world.rng.choice([0.001, 0.3, 2.0, 4.0]),
            )
        )
        for strange in (
            ClientDisconnected("nobody"),
            TimerFired(10**9),
            ResponseStarted("nobody", 0, 1),
            AttemptEnded("nobody", 0, 1, Status.OK),
        ):
            assert world.gateway.handle(world.now, strange) == []
    world.run(world.now + 20.0)
    assert all(entry["final"] for entry in world.tries.values()), "a request without an answer"
    assert not world.gateway.pending
    assert world.gateway.registry.in_flight == 0


def test_answers_in_time_when_no_outcome_ever_comes() -> None:
    gateway = started()
    actions = gateway.handle(100.0, request("r1", class_name="sign", remaining=2.0))
    timer = next(a for a in actions if isinstance(a, SetTimer))
    assert timer.delay < 2.0
    assert FailRequest("r1") in gateway.handle(100.0 + timer.delay, TimerFired(timer.token))


@pytest.mark.parametrize("count", [1, 3, 100])
def test_a_cold_backend_gets_less_than_its_share_allows(count: int) -> None:
    """At most `fall_multiple` x present capacity within any fall time, sent by all gateways together."""
    gateways = [started(settings(index=n, limiter_count=count), seed=n) for n in range(count)]
    for gateway in gateways:
        gateway.handle(100.0, EndpointsChanged(EndpointListKind.DELTA, (Backend(9, "a", started=100.0),)))
    received, total, draw = [], 0, random.Random(count)
    for n in range(3000):
        now, gateway = 100.0 + n * 0.004, draw.choice(gateways)
        for send in sends(gateway.handle(now, request(f"r{n}", customer=f"c{n}"))):
            total += 1
            received += [now] if send.backend == 9 else []
            gateway.handle(now, ended(f"r{n}", send, Status.OK, actual_units=1.0))
    assert total > 2500
    share_of_a_warm_one = total / 12.0 / 5.0
    for start in received:
        window = [t for t in received if start <= t < start + RULES.overload_seconds]
        now_share = RULES.slow_start_fraction + (1 - RULES.slow_start_fraction) * min(
            1.0, (start - 100.0) / RULES.slow_start_seconds
        )
        if start + RULES.overload_seconds < 100.0 + RULES.slow_start_seconds:
            assert len(window) <= RULES.overload_multiple * now_share * share_of_a_warm_one * RULES.overload_seconds + 1
    assert received


def test_hundreds_saved_up_no_burst_for_a_cold_backend() -> None:
    """Budgets that hundreds of gateways fill in step are spent in step: 4 times what it could do, once."""
    gateways = [started(settings(index=n, limiter_count=200), seed=n) for n in range(200)]
    for gateway in gateways:  # a backend comes back and nothing is asked for some time
        gateway.handle(100.0, EndpointsChanged(EndpointListKind.DELTA, (Backend(9, "a", started=100.0),)))
    got = [s.backend for n, g in enumerate(gateways) for s in sends(g.handle(104.0, request(f"r{n}")))]
    assert got.count(9) < len(got) / 5.0


def test_gateways_that_see_little_do_not_herd() -> None:
    """With nothing out all lines look alike; the same heaviest backend must not be everybody's choice."""
    listed = tuple(Backend(n, "a", weight=1.0 + n / 100.0) for n in range(1, 21))
    got: list[int] = []
    for n in range(300):
        gateway = Gateway(settings(index=n, limiter_count=300), n)
        gateway.handle(0.0, EndpointsChanged(EndpointListKind.CACHED, listed))
        got += [s.backend for s in sends(gateway.handle(50.0, request(f"r{n}")))]
    assert len(got) == 300
    assert max(got.count(n) for n in range(1, 21)) < 3 * 300 / 20


def test_one_failure_is_enough_where_a_backend_is_met_seldom() -> None:
    gateway = started()
    send = sends(gateway.handle(100.0, request("r1")))[0]
    gateway.handle(100.5, ended("r1", send, Status.CONNECT_FAILED))
    assert not gateway.backends[send.backend].is_healthy("read", 101.0)


def test_who_refuses_all_tries_again() -> None:
    """Pressure is learned from answers: a gateway that refuses everything hears none and must not stay so."""
    gateway = started()
    gateway.registry.pressure = 1.0
    for n in range(300):
        tokens = [t for t, (kind, _) in gateway.timers.items() if kind is TimerKind.TICK]
        gateway.handle(100.0 + n * 0.1, TimerFired(tokens[0]))
    assert any(sends(gateway.handle(131.0, request(f"r{n}", customer=f"c{n}"))) for n in range(3))


def test_saved_up_retries_of_a_fleet_do_not_grow_with_it() -> None:
    assert sum(Gateway(settings(index=n, limiter_count=300), n).retries.max_budget() for n in range(300)) < 400


def test_a_restart_on_the_list_is_cold_again_and_forgets_health() -> None:
    gateway = started()
    gateway.backends[1].failures[""] = FailureStreak(5, 200.0)
    gateway.handle(100.0, EndpointsChanged(EndpointListKind.FULL, (Backend(1, "a", started=99.0),)))
    assert set(gateway.backends) == {1}
    assert gateway.backends[1].is_healthy("read", 100.0)
    sent = [bool(sends(gateway.handle(100.0, request(f"r{n}", customer=f"c{n}")))) for n in range(100)]
    assert sum(sent) < 40  # cold: a share of the requests only


def passed_by(gateway: Gateway, backend: int, class_name: str, now: float) -> bool:
    """Whether no request of the class goes to that backend, asked often and left no time to learn."""
    got = [
        s.backend
        for n in range(60)
        for s in sends(
            gateway.handle(now, request(f"q{class_name}{n}", class_name=class_name, customer=f"{class_name}{n}"))
        )
    ]
    return bool(got) and backend not in got


def play(gateway: Gateway, backend: int, status: Status, class_name: str, start: float) -> None:
    """Answer many requests at once; all of that class at that backend end with the status instead."""
    for n in range(120):
        now, name = start + n * 0.05, f"p{n}"
        cls = ("read", "book")[n % 2]
        more = sends(gateway.handle(now, request(name, class_name=cls, customer=f"p{n}")))
        for attempt in range(3):
            if more:
                ill = more[0].backend == backend and cls == class_name
                more = sends(gateway.handle(now + 0.02, ended(name, more[0], status if ill else Status.OK, attempt)))


@pytest.mark.parametrize("status", [Status.ERROR, Status.TIMEOUT])
def test_a_class_that_fails_at_one_backend_is_served_by_the_others(status: Status) -> None:
    gateway = started(settings(limiter_count=1))
    play(gateway, 1, status, "book", 100.0)
    assert passed_by(gateway, 1, "book", 106.05)
    assert not passed_by(gateway, 1, "read", 106.05)  # what it serves well goes there as before


def test_a_slow_request_is_no_evidence_against_a_backend_that_answers_others() -> None:
    gateway = started()
    for n in range(5):
        gateway.registry.pressure = 0.0
        send = sends(gateway.handle(100.0 + n, request(f"r{n}", customer=f"c{n}")))[0]
        gateway.backends[send.backend].last_response_at.update({"": 100.5 + n, "read": 100.5 + n})
        gateway.handle(100.9 + n, ended(f"r{n}", send, Status.TIMEOUT))
    assert all(not s.consecutive_failures("read") for s in gateway.backends.values())


def test_what_comes_after_the_aim_is_worth_nothing_and_is_not_waited_for() -> None:
    gateway = started()
    actions = gateway.handle(100.0, request("r1", remaining=4.0))
    timer = next(a for a in actions if isinstance(a, SetTimer))
    assert timer.delay <= SAFE.latency_objective
    kinds = [type(a) for a in gateway.handle(100.0 + timer.delay, TimerFired(timer.token))]
    assert kinds == [RejectRequest, CancelAttempt]  # answered at once, and the place is free


def test_a_suspect_backend_is_tried_once_at_a_time_and_not_for_long() -> None:
    gateway = started()
    gateway.registry.backends = {1: gateway.backends[1], **gateway.backends}
    gateway.backends[1].failures[""] = FailureStreak(2, 99.0)  # its ejection is over
    got = [s for n in range(40) for s in sends(gateway.handle(100.0, request(f"r{n}", customer=f"c{n}")))]
    assert [s.timeout < SAFE.latency_objective for s in got if s.backend == 1 and s.timeout] == [True]
    assert sum(s.backend == 1 for s in got) == 1


def test_quick_answers_leave_more_room_for_what_is_out() -> None:
    def out(pressure: float) -> int:
        gateway = started()
        gateway.registry.pressure = pressure
        return sum(bool(sends(gateway.handle(100.0, request(f"r{n}", customer=f"c{n}")))) for n in range(60))

    assert out(0.0) > 1.5 * out(0.4)


def test_a_common_slowdown_ejects_nobody_and_starts_no_retry_storm() -> None:
    gateway, sent = started(), 0
    for n in range(200):
        now = 100.0 + n * 0.05
        for send in sends(gateway.handle(now, request(f"r{n}", customer=f"c{n}"))):
            sent += 1
            attempt, more = 0, [send]
            while more:
                more = sends(gateway.handle(now + 0.01, ended(f"r{n}", more[0], Status.TIMEOUT, attempt)))
                attempt, sent = attempt + 1, sent + len(more)
    assert sent <= 200 * 1.1 + 12  # the retry budget
    assert gateway.balancer.select_backend(gateway.pending.get("x") or _job(gateway)) is not None


def _job(gateway: Gateway) -> Any:
    return RequestState(request("probe"), SAFE, next(iter(gateway.buckets.values())), 200.0)


def test_failed_discovery_is_asked_again_and_the_list_kept() -> None:
    gateway = Gateway(settings(discovery=DiscoveryMode.POLL), 1)
    assert SubscribeEndpoints(True) in gateway.handle(0.0, EndpointsChanged(EndpointListKind.CACHED, fleet()))
    timer = next(a for a in gateway.handle(1.0, EndpointsChanged(EndpointListKind.FAILED)) if isinstance(a, SetTimer))
    assert len(gateway.backends) == 4
    assert SubscribeEndpoints(True) in gateway.handle(3.0, TimerFired(timer.token))


def test_prompt_lawful_answers_without_a_way_to_serve() -> None:
    empty = Gateway(settings(), 1)
    assert any(isinstance(a, RejectRequest) for a in empty.handle(0.0, request("r1")))
    gateway = started()
    for bad in (request("r2", float("nan")), request("r3", -1.0), request("r4", plan="none")):
        assert [type(a) for a in gateway.handle(100.0, bad)] == [RejectRequest]


def test_a_stream_that_began_has_no_deadline() -> None:
    gateway = started()
    actions = gateway.handle(100.0, request("r1", remaining=1.0))
    timer, send = next(a for a in actions if isinstance(a, SetTimer)), sends(actions)[0]
    gateway.handle(100.5, ResponseStarted("r1", 0, send.backend))
    assert gateway.handle(101.0, TimerFired(timer.token)) == []


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"zones": ()}, "zones"),
        ({"index": 3}, "index"),
        ({"limiter_count": 0}, "gateways"),
        ({"timer_resolution": -1.0}, "tick"),
    ],
)
def test_settings_that_make_no_sense(changes: dict[str, Any], named: str) -> None:
    with pytest.raises(ValueError, match=named):
        settings(**changes)


def test_plan_with_a_negative_rate() -> None:
    with pytest.raises(ValueError, match=r"Plan\.rate"):
        Plan("x", rate=-1.0)
